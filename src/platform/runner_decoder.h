/* Decodes what runners say of themselves, and encodes orders to them. */
#ifndef RHUBARBTRAIL_PLATFORM_RUNNER_DECODER_H
#define RHUBARBTRAIL_PLATFORM_RUNNER_DECODER_H

#include "decision/fleet/order_type.h"
#include "decision/fleet/runner_type.h"
#include "http/http_type.h"

#include <string>
#include <tl/expected.hpp>

namespace rhubarbtrail::platform {

/* Returns the entry that a runner keeps in the platform's list. Anyone may have written the row,
 * so each member is checked. */
tl::expected<fleet::RunnerEntry, std::string> DecodeRunnerEntry(const std::string& aId,
                                                                const std::string& aDocument);

tl::expected<fleet::RunnerReport, std::string> DecodeRunnerReport(const std::string& aDocument);

/* Returns the call that asks a runner for its report. */
http::Request EncodeReportCall(const EndpointId& aRunner);

/* Returns the call that gives a runner an order. */
http::Request EncodeOrder(const fleet::RunnerOrder& aOrder);

/* Returns what a runner's answer to an order means. */
fleet::OrderOutcome DecodeOrderAnswer(unsigned aStatus);

} // namespace rhubarbtrail::platform

#endif

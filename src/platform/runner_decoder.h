/* Decodes runners' entries and reports, and encodes orders to runners. */
#ifndef RHUBARBTRAIL_PLATFORM_RUNNER_DECODER_H
#define RHUBARBTRAIL_PLATFORM_RUNNER_DECODER_H

#include "decision/fleet/order_type.h"
#include "decision/fleet/runner_type.h"
#include "http/http_type.h"

#include <string>
#include <tl/expected.hpp>

namespace rhubarbtrail::platform {

/* Decodes the row of a runner in the runner table, or returns an error message. Each member that is
 * used is checked, because any process may have written the row. */
tl::expected<fleet::RunnerEntry, std::string> DecodeRunnerEntry(const std::string& aId,
                                                                const std::string& aDocument);

/* Decodes a runner's report, or returns an error message. */
tl::expected<fleet::RunnerReport, std::string> DecodeRunnerReport(const std::string& aDocument);

/* Returns the HTTP request for a runner's report. */
http::Request EncodeReportRequest(const EndpointId& aRunner);

/* Returns the HTTP request that sends an order to a runner, or what is wrong with its names. */
tl::expected<http::Request, std::string> EncodeOrder(const fleet::RunnerOrder& aOrder);

/* Returns the outcome of an order from the HTTP status of the runner's answer. */
fleet::OrderOutcome DecodeOrderOutcome(unsigned aStatus);

} // namespace rhubarbtrail::platform

#endif

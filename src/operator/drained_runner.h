/* Adds a runner to the drained endpoints in a configuration document, or removes it. */
#ifndef RHUBARBTRAIL_OPERATOR_DRAINED_RUNNER_H
#define RHUBARBTRAIL_OPERATOR_DRAINED_RUNNER_H

#include "core/id_type.h"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

namespace rhubarbtrail {

enum class Drained : std::uint8_t
{
  kNo,
  kYes,
};

/* Returns the document with the runner added to the service's list of drained endpoints, or removed
 * from it. The document is parsed and written anew, so comments and layout are lost. The error says
 * why the document cannot be changed. */
tl::expected<std::string, std::string> SetRunnerDrained(const std::string& aDocument,
                                                        const ServiceId& aService,
                                                        const EndpointId& aRunner,
                                                        Drained aDrained);

} // namespace rhubarbtrail

#endif

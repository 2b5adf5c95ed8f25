/* Marks a runner as drained in a configuration document. */
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

/* Returns the document with the runner on the service's list of drained endpoints, or off it. */
tl::expected<std::string, std::string> WithDrainedRunner(const std::string& aDocument,
                                                         const ServiceId& aService,
                                                         const EndpointId& aRunner,
                                                         Drained aDrained);

} // namespace rhubarbtrail

#endif

/* Decodes the operators' configuration document. */
#ifndef RHUBARBTRAIL_PLATFORM_CONFIGURATION_DECODER_H
#define RHUBARBTRAIL_PLATFORM_CONFIGURATION_DECODER_H

#include "decision/fleet/fleet_configuration_type.h"

#include <string>
#include <tl/expected.hpp>

namespace rhubarbtrail::platform {

/* Returns the configuration, or an error message if the document is invalid. */
tl::expected<fleet::FleetConfiguration, std::string> DecodeConfiguration(
  const std::string& aDocument);

} // namespace rhubarbtrail::platform

#endif

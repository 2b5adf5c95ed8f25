/* The operators' YAML document: reading it, and checking it whole. */
#ifndef RHUBARBTRAIL_CONFIG_CONFIGURATION_DOCUMENT_H
#define RHUBARBTRAIL_CONFIG_CONFIGURATION_DOCUMENT_H

#include "decision/configuration_type.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace rhubarbtrail {

/* A fault in a document: its line, the path of the faulty value, and why. */
struct DocumentError
{
  int line = 0;
  std::string path;
  std::string reason;
};

/* Parses and checks a document. All faults are reported at once. */
tl::expected<Configuration, std::vector<DocumentError>> ParseConfiguration(
  const std::string& aDocument,
  ConfigVersion aVersion);

} // namespace rhubarbtrail

#endif

/* Parses and validates the YAML document in which operators write the configuration. */
#ifndef RHUBARBTRAIL_CONFIG_CONFIGURATION_DOCUMENT_H
#define RHUBARBTRAIL_CONFIG_CONFIGURATION_DOCUMENT_H

#include "decision/configuration_type.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace rhubarbtrail {

/* An error in a document. */
struct DocumentError
{
  int line = 0;     ///< Counted from 1.
  std::string path; ///< Of the faulty value, such as "models.NAME.memory_mb". May be empty.
  std::string reason;
};

/* Parses and validates a document. aVersion becomes the version of the configuration. If the YAML
 * is invalid or CheckShape() finds errors, only these are reported. Otherwise, all errors are
 * returned at once, ordered by line. */
tl::expected<Configuration, std::vector<DocumentError>> ParseConfiguration(
  const std::string& aDocument,
  ConfigVersion aVersion);

} // namespace rhubarbtrail

#endif

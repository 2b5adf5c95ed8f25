/* Checks the YAML structure of a document before the document is loaded. */
#ifndef RHUBARBTRAIL_CONFIG_DOCUMENT_SHAPE_H
#define RHUBARBTRAIL_CONFIG_DOCUMENT_SHAPE_H

#include "config/configuration_document.h"

#include <string>
#include <vector>

namespace rhubarbtrail {

/* Checks that a text is a single document, is not too large, is not nested too deeply and contains
 * no aliases. Works on the events of the YAML parser, without building nodes. Throws
 * YAML::Exception if the parser finds invalid YAML. */
std::vector<DocumentError> CheckShape(const std::string& aDocument);

} // namespace rhubarbtrail

#endif

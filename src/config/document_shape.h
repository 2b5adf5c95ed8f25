/* Checks the shape of a YAML document (size, depth, aliases) before the document is loaded. */
#ifndef RHUBARBTRAIL_CONFIG_DOCUMENT_SHAPE_H
#define RHUBARBTRAIL_CONFIG_DOCUMENT_SHAPE_H

#include "config/configuration_document.h"

#include <string>
#include <vector>

namespace rhubarbtrail {

/* Returns errors if a text is larger than 4 MiB, is not exactly one document, contains aliases or
 * is nested more than 16 levels deep. Works on the events of the YAML parser, without building
 * nodes, and throws YAML::Exception if the parser finds invalid YAML.
 *
 * Most documents are accepted by a quick search of the text instead. The search does not find
 * invalid YAML, and it measures only the depth of brackets and braces, not that of indentation. */
std::vector<DocumentError> CheckShape(const std::string& aDocument);

} // namespace rhubarbtrail

#endif

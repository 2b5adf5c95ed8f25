/* The outer shape of a document, checked before anything is built from it. */
#ifndef RHUBARBTRAIL_CONFIG_DOCUMENT_SHAPE_H
#define RHUBARBTRAIL_CONFIG_DOCUMENT_SHAPE_H

#include "config/configuration_document.h"

#include <string>
#include <vector>

namespace rhubarbtrail {

/* Checks size, depth, aliases and the number of documents in one pass over the events. Broken
 * YAML throws YAML::Exception. */
std::vector<DocumentError> CheckShape(const std::string& aDocument);

} // namespace rhubarbtrail

#endif

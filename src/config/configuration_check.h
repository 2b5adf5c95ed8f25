/* Checks between the parts of a configuration. */
#ifndef RHUBARBTRAIL_CONFIG_CONFIGURATION_CHECK_H
#define RHUBARBTRAIL_CONFIG_CONFIGURATION_CHECK_H

#include "config/document_reader.h"

namespace rhubarbtrail {

/* Finds references that lead nowhere, memory that cannot fit and limits that contradict. */
void CheckConfiguration(DocumentReader& aReader, const Configuration& aConfiguration);

} // namespace rhubarbtrail

#endif

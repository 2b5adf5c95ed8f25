/* Checks the parts of a configuration against each other. */
#ifndef RHUBARBTRAIL_CONFIG_CONFIGURATION_CHECK_H
#define RHUBARBTRAIL_CONFIG_CONFIGURATION_CHECK_H

#include "config/document_reader.h"

namespace rhubarbtrail {

/* Adds an error to aReader for each required part that is missing, reference to an unknown part,
 * model that does not fit into a runner, route that is never reached, and setting that contradicts
 * another one. aReader is the one that read the document. */
void CheckConfiguration(DocumentReader& aReader, const Configuration& aConfiguration);

} // namespace rhubarbtrail

#endif

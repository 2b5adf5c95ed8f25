/* Values that are computed from a configuration. */
#ifndef RHUBARBTRAIL_DECISION_CONFIGURATION_FUNC_H
#define RHUBARBTRAIL_DECISION_CONFIGURATION_FUNC_H

#include "decision/configuration_type.h"

namespace rhubarbtrail {

/* Returns the memory that is reserved for a replica of the model, including all its adapters. */
MemoryMb ReservedMemory(const ModelSpec& aModel);

} // namespace rhubarbtrail

#endif

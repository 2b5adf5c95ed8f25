/* What follows from a configuration. */
#ifndef RHUBARBTRAIL_DECISION_CONFIGURATION_FUNC_H
#define RHUBARBTRAIL_DECISION_CONFIGURATION_FUNC_H

#include "decision/configuration_type.h"

namespace rhubarbtrail {

/* Returns the memory that a replica of a model reserves: its weights and all its adapters. */
MemoryMb ReservedMemory(const ModelSpec& aModel);

} // namespace rhubarbtrail

#endif

/* How the runners that have room for a replica are ranked. */
#ifndef RHUBARBTRAIL_DECISION_SCHEDULER_PLACEMENT_POLICY_TYPE_H
#define RHUBARBTRAIL_DECISION_SCHEDULER_PLACEMENT_POLICY_TYPE_H

#include "core/unit_type.h"

namespace rhubarbtrail {

/* The higher score is the better place; members are compared in their order. */
struct PlacementScore
{
  bool hasCheckpoint = false; ///< The load takes less time, and nothing from the weight store.
  bool isCandidate = false;   ///< Also allowed while the table is down.
  MemoryMb free;

  auto operator<=>(const PlacementScore&) const = default;
};

} // namespace rhubarbtrail

#endif

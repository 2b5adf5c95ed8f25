/* The ranking of the runners that have enough free memory for a replica. */
#ifndef RHUBARBTRAIL_DECISION_SCHEDULER_PLACEMENT_POLICY_TYPE_H
#define RHUBARBTRAIL_DECISION_SCHEDULER_PLACEMENT_POLICY_TYPE_H

#include "core/unit_type.h"

namespace rhubarbtrail {

/* The runner with the highest score gets the replica. Members are compared in the order in which
 * they are declared. */
struct PlacementScore
{
  bool hasCheckpoint = false; ///< The load is faster and reads nothing from the weight store.
  bool isCandidate = false;   ///< The runner may also load the model while the table is down.
  MemoryMb free;              ///< Free memory on the runner before the load.

  auto operator<=>(const PlacementScore&) const = default;
};

} // namespace rhubarbtrail

#endif

/* What the load of a model is worth to the requests that wait for it. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_MODEL_WORTH_H
#define RHUBARBTRAIL_DECISION_FLEET_MODEL_WORTH_H

#include "core/unit_type.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace rhubarbtrail::fleet {

/* What is known of a request that waits for a model. */
struct WaitingWork
{
  std::uint32_t priority = 0;
  TimePoint latestInTime{}; ///< When its answer must begin to meet the latency objective.
  TimePoint deadline{};
};

/* The worth of a load that ends at a given time. */
struct LoadWorth
{
  /* Requests that are served, a late answer counted as a part of one in time. */
  double value = 0.0;
  /* The most urgent priority among the requests that are served. */
  std::uint32_t priority = std::numeric_limits<std::uint32_t>::max();
  /* When the first of these requests would be late or lost if the load ended later. */
  TimePoint firstLossAt = TimePoint::max();
};

/* Returns the worth of a load that ends at aReadyAt. */
LoadWorth WorthOfLoad(const std::vector<WaitingWork>& aWaiting, TimePoint aReadyAt);

/* Returns whether the first load goes before the second one. Load pattern: requests for many rare
 * models at once, more than the runners can load before their latency objectives. The load that
 * serves most goes first, among equal ones the one with the most urgent request, and then the one
 * that would first lose a request by waiting. */
bool GoesBefore(const LoadWorth& aLeft, const LoadWorth& aRight);

} // namespace rhubarbtrail::fleet

#endif

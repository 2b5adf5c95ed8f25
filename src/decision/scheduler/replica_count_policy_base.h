/* The target number of replicas of a model, computed from demand with hysteresis. */
#ifndef RHUBARBTRAIL_DECISION_SCHEDULER_REPLICA_COUNT_POLICY_BASE_H
#define RHUBARBTRAIL_DECISION_SCHEDULER_REPLICA_COUNT_POLICY_BASE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace rhubarbtrail {

/* Configured limits for the target number of replicas. */
struct ReplicaCountLimits
{
  std::uint32_t maximum = 1;     ///< Maximum number of replicas.
  std::uint32_t concurrency = 1; ///< Requests that one replica runs at a time.
};

/* Computes the target number of replicas of one model. */
class ReplicaCountPolicy
{
public:
  /* Records how many requests a router has waiting or in flight for one adapter. The number counts
   * until aExpiresAt or the router's next report for that adapter. */
  void RecordRequests(const DaemonId& aRouter,
                      const AdapterId& aAdapter,
                      std::uint32_t aRequestCount,
                      TimePoint aExpiresAt);

  /* Raises the target to the replicas that exist, which a former holder may have added. */
  void RaiseTarget(std::uint32_t aReplicas);

  /* Changes the target by at most one and returns it. It rises after the requests have exceeded the
   * capacity of the replicas for a short time, and falls after one replica fewer has been
   * sufficient for a long time. */
  std::uint32_t UpdateTarget(TimePoint aNow, const ReplicaCountLimits& aLimits);

  std::uint32_t target() const { return mTarget; }

private:
  struct RouterRequests
  {
    std::uint32_t requests = 0;
    TimePoint expiresAt{};
  };

  std::map<std::pair<DaemonId, AdapterId>, RouterRequests> mRouterRequests;
  std::uint32_t mTarget = 1;
  std::optional<TimePoint> mShortageSince;
  std::optional<TimePoint> mSurplusSince;
};

} // namespace rhubarbtrail

#endif

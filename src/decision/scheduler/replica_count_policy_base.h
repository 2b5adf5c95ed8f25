/* How many replicas of a model are decided: from demand, with hysteresis. */
#ifndef RHUBARBTRAIL_DECISION_SCHEDULER_REPLICA_COUNT_POLICY_BASE_H
#define RHUBARBTRAIL_DECISION_SCHEDULER_REPLICA_COUNT_POLICY_BASE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace rhubarbtrail {

/* The limits between which the number of replicas moves. */
struct ReplicaCountLimits
{
  std::uint32_t maximum = 1;
  std::uint32_t concurrency = 1; ///< Requests that one replica runs at a time.
};

/* The decided number of replicas of one model. */
class ReplicaCount
{
public:
  /* Takes a router's report for one adapter: its requests that run or wait. */
  void Report(const DaemonId& aRouter,
              const AdapterId& aAdapter,
              std::uint32_t aRequests,
              TimePoint aExpires);

  /* Adopts replicas that a former holder had decided. */
  void Adopt(std::uint32_t aReplicas);

  /* Moves the number by at most one and returns it. It grows when demand has exceeded the
   * replicas for a short time, and shrinks when one less would do for a long time. */
  std::uint32_t Update(TimePoint aNow, const ReplicaCountLimits& aLimits);

  std::uint32_t decided() const { return mDecided; }

private:
  struct Use
  {
    std::uint32_t requests = 0;
    TimePoint expires{};
  };

  std::map<std::pair<DaemonId, AdapterId>, Use> mUses;
  std::uint32_t mDecided = 1;
  std::optional<TimePoint> mShortSince;
  std::optional<TimePoint> mSpareSince;
};

} // namespace rhubarbtrail

#endif

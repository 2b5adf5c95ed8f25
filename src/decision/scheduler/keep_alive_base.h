/* Keep-alive policies: how long an idle replica stays loaded, and when an unloaded model is loaded
 * before its next use. */
#ifndef RHUBARBTRAIL_DECISION_SCHEDULER_KEEP_ALIVE_BASE_H
#define RHUBARBTRAIL_DECISION_SCHEDULER_KEEP_ALIVE_BASE_H

#include "core/unit_type.h"
#include "decision/configuration_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace rhubarbtrail {

/* Histogram of the idle times of a model or a cell. The first bucket ends at 1 s, and the bounds
 * then double every four buckets. The last bucket also counts all longer times. */
class IdleHistogram
{
public:
  static constexpr std::size_t kBuckets = 72;

  void Add(Duration aIdleTime);
  std::uint32_t total() const { return mTotal; }
  std::uint32_t count(std::size_t aBucket) const { return mBucketCounts[aBucket]; }

  /* Returns the bucket that counts this idle time. */
  static std::size_t BucketOf(Duration aIdleTime);
  /* Returns the upper bound of the bucket. */
  static Duration UpperEnd(std::size_t aBucket);

  /* Returns the upper bound of the bucket in which the percentile lies. */
  Duration Percentile(std::uint32_t aPercentile) const;

private:
  std::array<std::uint32_t, kBuckets> mBucketCounts{};
  std::uint32_t mTotal = 0;
};

/* The recorded use of a model. */
struct ModelUsage
{
  TimePoint lastUsed{};
  bool isUsed = false;      ///< A use has been recorded.
  bool isPreloaded = false; ///< A preload was decided since the last use. It is not repeated.
  IdleHistogram idleTimes;
};

/* The data on which a policy decides. */
struct KeepAliveInput
{
  const ModelUsage& usage;
  const IdleHistogram& cellIdleTimes; ///< All models of the cell, for models with few idle times.
  Duration expectedLoad{};            ///< Expected duration of a load.
  double memoryShare = 0;             ///< Fraction of the runner's memory that the replica takes.
};

/* Returns whether a replica that has been idle for this time stays loaded. */
bool ShouldKeepLoaded(const KeepAlivePolicy& aPolicy,
                      const KeepAliveInput& aInput,
                      Duration aIdleTime);

/* Returns whether an unloaded model that has been idle for this time is loaded before its next use.
 * Only the cost-aware policy preloads. */
bool ShouldPreload(const KeepAlivePolicy& aPolicy,
                   const KeepAliveInput& aInput,
                   Duration aIdleTime);

} // namespace rhubarbtrail

#endif

/* Keep-alive policies: how long an idle replica keeps its accelerator, and when it comes back. */
#ifndef RHUBARBTRAIL_DECISION_SCHEDULER_KEEP_ALIVE_BASE_H
#define RHUBARBTRAIL_DECISION_SCHEDULER_KEEP_ALIVE_BASE_H

#include "core/unit_type.h"
#include "decision/configuration_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace rhubarbtrail {

/* Counts the idle times of a model in buckets of growing length, four to each doubling. */
class IdleHistogram
{
public:
  static constexpr std::size_t kBuckets = 72;

  void Add(Duration aIdle);
  std::uint32_t total() const { return mTotal; }
  std::uint32_t count(std::size_t aBucket) const { return mCounts[aBucket]; }

  static std::size_t BucketOf(Duration aIdle);
  static Duration UpperEnd(std::size_t aBucket);

  /* Returns the upper end of the bucket in which the percentile lies. */
  Duration Percentile(std::uint32_t aPercentile) const;

private:
  std::array<std::uint32_t, kBuckets> mCounts{};
  std::uint32_t mTotal = 0;
};

/* What is known of the use of a model. */
struct ModelUsage
{
  TimePoint lastUsed{};
  bool isUsed = false;
  bool isPreloaded = false; ///< Since it was last used: a prediction is tried once.
  IdleHistogram idleTimes;
};

/* What a policy may weigh when it decides about a replica. */
struct KeepAliveInput
{
  const ModelUsage& usage;
  const IdleHistogram& cellIdleTimes; ///< Of all models of the cell: what to expect of a new one.
  Duration expectedLoad{};
  double memoryShare = 0; ///< Of the runner's memory.
};

/* Returns whether a replica that was idle for this time keeps its memory. */
bool IsWorthHolding(const KeepAlivePolicy& aPolicy, const KeepAliveInput& aInput, Duration aIdle);

/* Returns whether an unloaded model, idle for this time, is to be loaded before it is asked for. */
bool IsWorthPreloading(const KeepAlivePolicy& aPolicy,
                       const KeepAliveInput& aInput,
                       Duration aIdle);

} // namespace rhubarbtrail

#endif

/* Keep-alive policies: how long an idle replica keeps its accelerator. */
#ifndef RHUBARBTRAIL_DECISION_SCHEDULER_KEEP_ALIVE_BASE_H
#define RHUBARBTRAIL_DECISION_SCHEDULER_KEEP_ALIVE_BASE_H

#include "core/unit_type.h"
#include "decision/configuration_type.h"

#include <array>
#include <cstdint>

namespace rhubarbtrail {

/* Counts the idle times of a model in buckets that double in length, from one second. */
class IdleHistogram
{
public:
  void Add(Duration aIdle);
  std::uint32_t total() const { return mTotal; }

  /* Returns the upper end of the bucket in which the percentile lies. */
  Duration Percentile(std::uint32_t aPercentile) const;

  /* Returns the share of idle times longer than aFrom that end before aTo. */
  double ReturnShare(Duration aFrom, Duration aTo) const;

private:
  static constexpr std::size_t kBuckets = 20;
  static std::size_t BucketOf(Duration aIdle);
  static Duration UpperEnd(std::size_t aBucket);

  std::array<std::uint32_t, kBuckets> mCounts{};
  std::uint32_t mTotal = 0;
};

/* What is known of the use of a model. */
struct ModelUsage
{
  TimePoint lastUsed{};
  bool isUsed = false;
  IdleHistogram idleTimes;
};

/* What a policy may weigh when it sets the idle limit of a replica. */
struct KeepAliveInput
{
  const ModelUsage& usage;
  Duration expectedLoad{};
  double memoryShare = 0; ///< Of the runner's memory.
};

/* Returns the idle time after which a replica is unloaded. */
Duration IdleLimit(const KeepAlivePolicy& aPolicy, const KeepAliveInput& aInput);

} // namespace rhubarbtrail

#endif

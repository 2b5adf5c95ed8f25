/* Keep-alive policies: a fixed limit, a histogram of idle times, and a comparison of the expected
 * cold start with the cost of the memory. */
#include "decision/scheduler/keep_alive_base.h"

#include "core/overloaded.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtrail {

namespace {

/* Number of recorded idle times below which the policies do not predict from them. */
constexpr std::uint32_t kMinSamples = 8;
/* Weight of the whole cell histogram, in samples, when it is added to a model's own. */
constexpr double kCellHistogramWeight = 2.0;
/* Idle limit while there are too few idle times to predict from. */
constexpr Duration kDefaultIdleLimit = 60s;
/* Number of histogram buckets for each doubling of the idle time. */
constexpr double kBucketsPerOctave = 4.0;
/* Factor by which the expected benefit of a preload must exceed its cost, as a prediction can be
 * wrong. */
constexpr double kPreloadMargin = 1.5;

bool ShouldKeep(const HistogramKeepAlive& aPolicy, const KeepAliveInput& aInput, Duration aIdleTime)
{
  if (aInput.usage.idleTimes.total() < kMinSamples) {
    return aIdleTime < std::clamp(kDefaultIdleLimit, aPolicy.minimum, aPolicy.maximum);
  }
  const Duration percentileLimit = aInput.usage.idleTimes.Percentile(aPolicy.percentile);
  // If the percentile exceeds the maximum, a replica cannot be kept long enough to cover that share
  // of the idle times, so only the minimum applies.
  return aIdleTime < (percentileLimit > aPolicy.maximum
                        ? aPolicy.minimum
                        : std::max(percentileLimit, aPolicy.minimum));
}

/* Returns the ratio of the expected saving to the expected cost of a replica that is kept from idle
 * time aIdleTime on. The saving is the probability of reuse x the load time x coldStartWeight. The
 * cost is the fraction of the memory x the expected time until reuse or unload. The replica could
 * be kept until the end of any later bucket, and the highest ratio of all these ends is returned.
 * At 1 or more, keeping the replica is worth its cost. */
double KeepAliveBenefitRatio(const CostAwareKeepAlive& aPolicy,
                             const KeepAliveInput& aInput,
                             Duration aIdleTime)
{
  const IdleHistogram& ownHistogram = aInput.usage.idleTimes;
  const IdleHistogram& cellHistogram = aInput.cellIdleTimes;
  const double cellWeight =
    cellHistogram.total() == 0 ? 0.0 : kCellHistogramWeight / cellHistogram.total();
  const auto weightOf = [&](std::size_t aBucket) {
    return ownHistogram.count(aBucket) + cellWeight * cellHistogram.count(aBucket);
  };
  const std::size_t firstBucket = IdleHistogram::BucketOf(aIdleTime);
  double remainingWeight = 0;
  for (std::size_t bucket = firstBucket; bucket < IdleHistogram::kBuckets; ++bucket) {
    remainingWeight += weightOf(bucket);
  }
  const double coldStartSaving =
    aPolicy.coldStartWeight * std::chrono::duration<double>(aInput.expectedLoad).count();
  double bestRatio = 0;
  double returnedWeight = 0;
  double memoryTime = 0;
  Duration intervalStart = aIdleTime;
  for (std::size_t bucket = firstBucket; bucket < IdleHistogram::kBuckets && remainingWeight > 0;
       ++bucket) {
    const Duration intervalEnd = IdleHistogram::UpperEnd(bucket);
    const double intervalSeconds =
      std::chrono::duration<double>(intervalEnd - intervalStart).count();
    const double returningWeight = weightOf(bucket);
    // Idle times that end within the bucket are assumed to end at its middle.
    memoryTime += intervalSeconds * (remainingWeight - returningWeight / 2);
    remainingWeight -= returningWeight;
    returnedWeight += returningWeight;
    bestRatio =
      std::max(bestRatio,
               returnedWeight * coldStartSaving / std::max(1e-9, memoryTime * aInput.memoryShare));
    intervalStart = intervalEnd;
  }
  return bestRatio;
}

bool ShouldKeep(const CostAwareKeepAlive& aPolicy, const KeepAliveInput& aInput, Duration aIdleTime)
{
  if (aInput.usage.idleTimes.total() + aInput.cellIdleTimes.total() < kMinSamples) {
    return aIdleTime < kDefaultIdleLimit;
  }
  return KeepAliveBenefitRatio(aPolicy, aInput, aIdleTime) >= 1.0;
}

} // namespace

std::size_t IdleHistogram::BucketOf(Duration aIdleTime)
{
  const double seconds = std::chrono::duration<double>(aIdleTime).count();
  if (seconds < 1.0) {
    return 0;
  }
  return std::min(kBuckets - 1,
                  1 + static_cast<std::size_t>(kBucketsPerOctave * std::log2(seconds)));
}

Duration IdleHistogram::UpperEnd(std::size_t aBucket)
{
  const double seconds = std::exp2(static_cast<double>(aBucket) / kBucketsPerOctave);
  return Duration{ static_cast<Duration::rep>(seconds * 1e6) };
}

void IdleHistogram::Add(Duration aIdleTime)
{
  ++mBucketCounts[BucketOf(aIdleTime)];
  ++mTotal;
}

Duration IdleHistogram::Percentile(std::uint32_t aPercentile) const
{
  const std::uint64_t wantedCount = (std::uint64_t{ mTotal } * aPercentile + 99) / 100;
  std::uint64_t cumulativeCount = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    cumulativeCount += mBucketCounts[bucket];
    if (cumulativeCount >= wantedCount) {
      return UpperEnd(bucket);
    }
  }
  return UpperEnd(kBuckets - 1);
}

bool ShouldKeepLoaded(const KeepAlivePolicy& aPolicy,
                      const KeepAliveInput& aInput,
                      Duration aIdleTime)
{
  return std::visit(Overloaded{ [&](const FixedKeepAlive& aFixedPolicy) {
                                 return aIdleTime < aFixedPolicy.idleLimit;
                               },
                                [&](const auto& aHistogramBasedPolicy) {
                                  return ShouldKeep(aHistogramBasedPolicy, aInput, aIdleTime);
                                } },
                    aPolicy);
}

bool ShouldPreload(const KeepAlivePolicy& aPolicy, const KeepAliveInput& aInput, Duration aIdleTime)
{
  const auto* policy = std::get_if<CostAwareKeepAlive>(&aPolicy);
  if (policy == nullptr || aInput.usage.idleTimes.total() < kMinSamples) {
    return false;
  }
  return KeepAliveBenefitRatio(*policy, aInput, aIdleTime) >= kPreloadMargin;
}

} // namespace rhubarbtrail

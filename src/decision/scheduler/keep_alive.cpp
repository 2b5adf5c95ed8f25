/* Keep-alive policies: a fixed limit, a histogram of idle times, and a comparison of the expected
 * cold start with the cost of the memory. */
#include "decision/scheduler/keep_alive_base.h"

#include "core/overloaded.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtrail {

namespace {

/* Number of recorded idle times below which the policies do not predict from them. */
constexpr std::uint32_t kTrustedSamples = 8;
/* Weight of the whole cell histogram, in samples, when it is added to a model's own. */
constexpr double kPriorSamples = 2.0;
/* Idle limit while there are too few idle times to predict from. */
constexpr Duration kUntrustedLimit = 60s;
/* Number of histogram buckets for each doubling of the idle time. */
constexpr double kBucketsPerOctave = 4.0;
/* Factor by which the expected benefit of a preload must exceed its cost, as a prediction can be
 * wrong. */
constexpr double kPreloadMargin = 1.5;

bool IsHeld(const HistogramKeepAlive& aPolicy, const KeepAliveInput& aInput, Duration aIdle)
{
  if (aInput.usage.idleTimes.total() < kTrustedSamples) {
    return aIdle < std::clamp(kUntrustedLimit, aPolicy.minimum, aPolicy.maximum);
  }
  const Duration tail = aInput.usage.idleTimes.Percentile(aPolicy.percentile);
  // If the percentile exceeds the maximum, a replica cannot be kept long enough to cover that share
  // of the idle times, so only the minimum applies.
  return aIdle < (tail > aPolicy.maximum ? aPolicy.minimum : std::max(tail, aPolicy.minimum));
}

/* Returns the ratio of the expected cold-start time saved to the expected memory time spent if the
 * replica is kept from idle time aIdle on, for the end of keeping that gives the highest ratio.
 * From 1 on, keeping the replica is worth its cost. */
double HoldingRatio(const CostAwareKeepAlive& aPolicy, const KeepAliveInput& aInput, Duration aIdle)
{
  const IdleHistogram& own = aInput.usage.idleTimes;
  const IdleHistogram& cell = aInput.cellIdleTimes;
  const double prior = cell.total() == 0 ? 0.0 : kPriorSamples / cell.total();
  const auto weightOf = [&](std::size_t aBucket) {
    return own.count(aBucket) + prior * cell.count(aBucket);
  };
  const std::size_t first = IdleHistogram::BucketOf(aIdle);
  double remaining = 0;
  for (std::size_t bucket = first; bucket < IdleHistogram::kBuckets; ++bucket) {
    remaining += weightOf(bucket);
  }
  const double saving =
    aPolicy.coldStartWeight * std::chrono::duration<double>(aInput.expectedLoad).count();
  double best = 0;
  double returned = 0;
  double held = 0;
  Duration from = aIdle;
  for (std::size_t bucket = first; bucket < IdleHistogram::kBuckets && remaining > 0; ++bucket) {
    const Duration end = IdleHistogram::UpperEnd(bucket);
    const double length = std::chrono::duration<double>(end - from).count();
    const double returning = weightOf(bucket);
    // Idle times that end within the bucket are assumed to end at its middle.
    held += length * (remaining - returning / 2);
    remaining -= returning;
    returned += returning;
    best = std::max(best, returned * saving / std::max(1e-9, held * aInput.memoryShare));
    from = end;
  }
  return best;
}

bool IsHeld(const CostAwareKeepAlive& aPolicy, const KeepAliveInput& aInput, Duration aIdle)
{
  if (aInput.usage.idleTimes.total() + aInput.cellIdleTimes.total() < kTrustedSamples) {
    return aIdle < kUntrustedLimit;
  }
  return HoldingRatio(aPolicy, aInput, aIdle) >= 1.0;
}

} // namespace

std::size_t IdleHistogram::BucketOf(Duration aIdle)
{
  const double seconds = std::chrono::duration<double>(aIdle).count();
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

void IdleHistogram::Add(Duration aIdle)
{
  ++mCounts[BucketOf(aIdle)];
  ++mTotal;
}

Duration IdleHistogram::Percentile(std::uint32_t aPercentile) const
{
  const std::uint64_t wanted = (std::uint64_t{ mTotal } * aPercentile + 99) / 100;
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += mCounts[bucket];
    if (seen >= wanted) {
      return UpperEnd(bucket);
    }
  }
  return UpperEnd(kBuckets - 1);
}

bool IsWorthHolding(const KeepAlivePolicy& aPolicy, const KeepAliveInput& aInput, Duration aIdle)
{
  return std::visit(
    Overloaded{ [&](const FixedKeepAlive& aFixed) { return aIdle < aFixed.idleLimit; },
                [&](const auto& aLearning) { return IsHeld(aLearning, aInput, aIdle); } },
    aPolicy);
}

bool IsWorthPreloading(const KeepAlivePolicy& aPolicy, const KeepAliveInput& aInput, Duration aIdle)
{
  const auto* policy = std::get_if<CostAwareKeepAlive>(&aPolicy);
  if (policy == nullptr || aInput.usage.idleTimes.total() < kTrustedSamples) {
    return false;
  }
  return HoldingRatio(*policy, aInput, aIdle) >= kPreloadMargin;
}

} // namespace rhubarbtrail

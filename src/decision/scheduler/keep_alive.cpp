/* Keep-alive policies. */
#include "decision/scheduler/keep_alive_base.h"

#include "core/overloaded.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtrail {

namespace {

/* Idle times that a model must have shown before its own histogram is trusted alone. */
constexpr std::uint32_t kTrustedSamples = 8;
/* Weight, in samples, of the cell's histogram beside a model's own. */
constexpr double kPriorSamples = 2.0;
/* Idle limit while neither the model nor its cell has shown idle times. */
constexpr Duration kUntrustedLimit = 60s;
/* Buckets to each doubling of the idle time. */
constexpr double kBucketsPerOctave = 4.0;
/* A pre-load must be worth this many times its cost, as the prediction may be wrong. */
constexpr double kPreloadMargin = 1.5;

bool IsHeld(const HistogramKeepAlive& aPolicy, const KeepAliveInput& aInput, Duration aIdle)
{
  if (aInput.usage.idleTimes.total() < kTrustedSamples) {
    return aIdle < std::clamp(kUntrustedLimit, aPolicy.minimum, aPolicy.maximum);
  }
  const Duration tail = aInput.usage.idleTimes.Percentile(aPolicy.percentile);
  // A model that mostly returns later than the maximum is not worth keeping at all.
  return aIdle < (tail > aPolicy.maximum ? aPolicy.minimum : std::max(tail, aPolicy.minimum));
}

/* Returns the best ratio, over all horizons, of the expected cold start saved to the memory time
 * spent by holding from aIdle on. Above 1, holding pays. */
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
    // Those that return within the bucket do so at its middle on average.
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

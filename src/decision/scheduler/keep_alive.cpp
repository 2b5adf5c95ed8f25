/* Keep-alive policies. */
#include "decision/scheduler/keep_alive_base.h"

#include "core/overloaded.h"

#include <algorithm>
#include <bit>

namespace rhubarbtrail {

namespace {

/* Idle times that a model must have shown before its histogram is trusted. */
constexpr std::uint32_t kTrustedSamples = 8;
/* Idle limit of a model whose histogram is not trusted yet. */
constexpr Duration kUntrustedLimit = 60s;

Duration LimitOf(const HistogramKeepAlive& aPolicy, const KeepAliveInput& aInput)
{
  if (aInput.usage.idleTimes.total() < kTrustedSamples) {
    return std::clamp(kUntrustedLimit, aPolicy.minimum, aPolicy.maximum);
  }
  const Duration tail = aInput.usage.idleTimes.Percentile(aPolicy.percentile);
  // A model that mostly returns later than the maximum is not worth keeping at all.
  return tail > aPolicy.maximum ? aPolicy.minimum : std::max(tail, aPolicy.minimum);
}

Duration LimitOf(const CostAwareKeepAlive& aPolicy, const KeepAliveInput& aInput)
{
  if (aInput.usage.idleTimes.total() < kTrustedSamples) {
    return kUntrustedLimit;
  }
  const double benefit =
    aPolicy.coldStartWeight * std::chrono::duration<double>(aInput.expectedLoad).count();
  Duration limit = 1s;
  while (limit < 1h) {
    const Duration next = 2 * limit;
    const double cost = aInput.memoryShare * std::chrono::duration<double>(next - limit).count();
    if (aInput.usage.idleTimes.ReturnShare(limit, next) * benefit < cost) {
      break;
    }
    limit = next;
  }
  return limit;
}

} // namespace

std::size_t IdleHistogram::BucketOf(Duration aIdle)
{
  const auto seconds =
    static_cast<std::uint64_t>(std::max<Duration::rep>(0, aIdle.count()) / 1'000'000);
  return std::min(kBuckets - 1, static_cast<std::size_t>(std::bit_width(seconds)));
}

Duration IdleHistogram::UpperEnd(std::size_t aBucket)
{
  return std::chrono::seconds{ std::int64_t{ 1 } << aBucket };
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

double IdleHistogram::ReturnShare(Duration aFrom, Duration aTo) const
{
  std::uint32_t longer = 0;
  std::uint32_t within = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    if (UpperEnd(bucket) <= aFrom) {
      continue;
    }
    longer += mCounts[bucket];
    if (UpperEnd(bucket) <= aTo) {
      within += mCounts[bucket];
    }
  }
  return longer == 0 ? 0.0 : static_cast<double>(within) / longer;
}

Duration IdleLimit(const KeepAlivePolicy& aPolicy, const KeepAliveInput& aInput)
{
  return std::visit(Overloaded{ [](const FixedKeepAlive& aFixed) { return aFixed.idleLimit; },
                                [&](const auto& aLearning) { return LimitOf(aLearning, aInput); } },
                    aPolicy);
}

} // namespace rhubarbtrail

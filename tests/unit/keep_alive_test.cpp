/* Keep-alive policies: which idle replicas stay loaded, and which models are loaded ahead of their
 * next use. */
#include "decision/scheduler/keep_alive_base.h"

#include <doctest/doctest.h>

#include <vector>

using namespace rhubarbtrail;

namespace {

ModelUsage UsageOf(const std::vector<Duration>& aIdleTimes)
{
  ModelUsage usage;
  usage.isUsed = true;
  for (const Duration idle : aIdleTimes) {
    usage.idleTimes.Add(idle);
  }
  return usage;
}

} // namespace

TEST_CASE("an idle time is counted in the histogram bucket that contains it")
{
  for (const Duration idle : { Duration{ 0 },
                               Duration{ 999ms },
                               Duration{ 1s },
                               Duration{ 90s },
                               Duration{ 1h },
                               Duration{ 20h } }) {
    const std::size_t bucket = IdleHistogram::BucketOf(idle);
    CAPTURE(idle.count());
    CHECK(idle < IdleHistogram::UpperEnd(bucket));
    CHECK((bucket == 0 || idle >= IdleHistogram::UpperEnd(bucket - 1) - 1us));
  }
}

TEST_CASE("which models the policies keep loaded and preload")
{
  const std::vector<Duration> frequent(20, 20s);
  const std::vector<Duration> hourly(20, 1h);
  const std::vector<Duration> rare(20, 20h);
  struct Row
  {
    const char* name;
    KeepAlivePolicy policy;
    std::vector<Duration> idleTimes;
    Duration idle;
    bool isKept;
    bool isPreloaded;
  };
  const std::vector<Row> rows{
    { "fixed, before its limit", FixedKeepAlive{ 60s }, frequent, 59s, true, false },
    { "fixed, at its limit", FixedKeepAlive{ 60s }, frequent, 60s, false, false },
    { "histogram, within the tail", HistogramKeepAlive{}, frequent, 19s, true, false },
    { "histogram, after the tail", HistogramKeepAlive{}, frequent, 40s, false, false },
    { "histogram, next use too late", HistogramKeepAlive{}, rare, 6s, false, false },
    { "histogram, too few idle times", HistogramKeepAlive{}, { 1h }, 50s, true, false },
    { "cost, too few idle times", CostAwareKeepAlive{}, { 1h }, 50s, true, false },
    { "cost, next use soon", CostAwareKeepAlive{}, frequent, 10s, true, true },
    { "cost, next use overdue", CostAwareKeepAlive{}, frequent, 60s, false, false },
    { "cost, next use much later", CostAwareKeepAlive{}, hourly, 60s, false, false },
    { "cost, next use due", CostAwareKeepAlive{ 20 }, hourly, 3'550s, true, true },
    { "cost, hardly ever used", CostAwareKeepAlive{}, rare, 10s, false, false },
  };
  const IdleHistogram cell;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const ModelUsage usage = UsageOf(row.idleTimes);
    const KeepAliveInput input{ usage, cell, 10s, 0.2 };
    CHECK(ShouldKeepLoaded(row.policy, input, row.idle) == row.isKept);
    CHECK(ShouldPreload(row.policy, input, row.idle) == row.isPreloaded);
  }
}

TEST_CASE("a model without idle times is treated like the others of its cell")
{
  IdleHistogram cell;
  for (int i = 0; i < 50; ++i) {
    cell.Add(20h);
  }
  const ModelUsage unused;
  const KeepAliveInput input{ unused, cell, 10s, 0.2 };
  CHECK_FALSE(ShouldKeepLoaded(CostAwareKeepAlive{}, input, 20s));
}

TEST_CASE("a higher cold start weight never keeps a replica for less time")
{
  const ModelUsage usage = UsageOf({ 15s, 20s, 40s, 80s, 300s, 900s, 1h, 2h, 15s, 30s });
  const IdleHistogram cell;
  const KeepAliveInput input{ usage, cell, 10s, 0.2 };
  for (Duration idle = 1s; idle < 4h; idle *= 2) {
    bool wasKept = false;
    for (const double weight : { 0.1, 1.0, 10.0, 100.0 }) {
      const bool isKept = ShouldKeepLoaded(CostAwareKeepAlive{ weight }, input, idle);
      CHECK((isKept || !wasKept));
      wasKept = isKept;
    }
  }
}

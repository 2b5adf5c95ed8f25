/* Keep-alive policies: what is held, what is given back, and what is loaded ahead. */
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

TEST_CASE("idle times fall into the bucket that ends after them")
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

TEST_CASE("which replicas are worth their memory")
{
  const std::vector<Duration> often(20, 20s);
  const std::vector<Duration> hourly(20, 1h);
  const std::vector<Duration> seldom(20, 20h);
  struct Row
  {
    const char* name;
    KeepAlivePolicy policy;
    std::vector<Duration> idleTimes;
    Duration idle;
    bool isHeld;
    bool isPreloaded;
  };
  const std::vector<Row> rows{
    { "fixed, before its limit", FixedKeepAlive{ 60s }, often, 59s, true, false },
    { "fixed, at its limit", FixedKeepAlive{ 60s }, often, 60s, false, false },
    { "histogram, within the tail", HistogramKeepAlive{}, often, 19s, true, false },
    { "histogram, after the tail", HistogramKeepAlive{}, often, 40s, false, false },
    { "histogram, returns too late", HistogramKeepAlive{}, seldom, 6s, false, false },
    { "histogram, too little seen", HistogramKeepAlive{}, { 1h }, 50s, true, false },
    { "cost, too little seen", CostAwareKeepAlive{}, { 1h }, 50s, true, false },
    { "cost, returns soon", CostAwareKeepAlive{}, often, 10s, true, true },
    { "cost, the return is overdue", CostAwareKeepAlive{}, often, 60s, false, false },
    { "cost, returns much later", CostAwareKeepAlive{}, hourly, 60s, false, false },
    { "cost, about to return", CostAwareKeepAlive{ 20 }, hourly, 3'550s, true, true },
    { "cost, hardly ever used", CostAwareKeepAlive{}, seldom, 10s, false, false },
  };
  const IdleHistogram cell;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const ModelUsage usage = UsageOf(row.idleTimes);
    const KeepAliveInput input{ usage, cell, 10s, 0.2 };
    CHECK(ShouldKeepLoaded(row.policy, input, row.idle) == row.isHeld);
    CHECK(ShouldPreload(row.policy, input, row.idle) == row.isPreloaded);
  }
}

TEST_CASE("a model that is new to a known cell is treated like the others")
{
  IdleHistogram cell;
  for (int i = 0; i < 50; ++i) {
    cell.Add(20h);
  }
  const ModelUsage fresh;
  const KeepAliveInput input{ fresh, cell, 10s, 0.2 };
  CHECK_FALSE(ShouldKeepLoaded(CostAwareKeepAlive{}, input, 20s));
}

TEST_CASE("a higher weight never holds less")
{
  const ModelUsage usage = UsageOf({ 15s, 20s, 40s, 80s, 300s, 900s, 1h, 2h, 15s, 30s });
  const IdleHistogram cell;
  const KeepAliveInput input{ usage, cell, 10s, 0.2 };
  for (Duration idle = 1s; idle < 4h; idle *= 2) {
    bool wasHeld = false;
    for (const double weight : { 0.1, 1.0, 10.0, 100.0 }) {
      const bool isHeld = ShouldKeepLoaded(CostAwareKeepAlive{ weight }, input, idle);
      CHECK((isHeld || !wasHeld));
      wasHeld = isHeld;
    }
  }
}

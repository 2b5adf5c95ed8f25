/* The target number of replicas follows demand with hysteresis: a replica is added after 2 s of too
 * many requests and removed after 60 s in which one fewer is enough. Otherwise, each short peak
 * would cost a load. */
#include "decision/scheduler/replica_count_policy_base.h"

#include <doctest/doctest.h>

#include <vector>

using namespace rhubarbtrail;

TEST_CASE("the target number of replicas by recorded requests")
{
  struct Row
  {
    const char* name;
    std::vector<std::uint32_t> requests; ///< Recorded in each second.
    std::uint32_t maximum;
    std::uint32_t target; ///< After the last second.
  };
  const std::vector<std::uint32_t> calm(200, 5);
  std::vector<std::uint32_t> overload(10, 100);
  std::vector<std::uint32_t> dip = overload;
  dip.insert(dip.end(), 30, 5);
  std::vector<std::uint32_t> ended = overload;
  ended.insert(ended.end(), 200, 5);
  std::vector<std::uint32_t> between = overload;
  between.insert(between.end(), 200, 30);
  const std::vector<Row> rows{
    { "calm", calm, 4, 1 },
    { "a peak of one second", { 5, 100, 5, 5 }, 4, 1 },
    { "overload", overload, 4, 4 },
    { "overload up to the limit", overload, 2, 2 },
    { "a short dip", dip, 4, 4 },
    { "an overload that has ended", ended, 4, 1 },
    // Four replicas run 64 requests. 30 exceed half of the 48 that three would run.
    { "too much for one replica fewer", between, 4, 4 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ReplicaCountPolicy policy;
    TimePoint now{};
    for (const std::uint32_t requests : row.requests) {
      now += 1s;
      policy.RecordRequests(DaemonId{ "d0" }, {}, requests, now + 10s);
      const std::uint32_t before = policy.target();
      const std::uint32_t after = policy.UpdateTarget(now, { row.maximum, 16 });
      CHECK(after <= row.maximum);
      CHECK(after <= before + 1);
    }
    CHECK(policy.target() == row.target);
  }
}

TEST_CASE("requests recorded by several routers add up and expire")
{
  ReplicaCountPolicy policy;
  TimePoint now{};
  for (int second = 0; second < 5; ++second) {
    now += 1s;
    policy.RecordRequests(DaemonId{ "d0" }, {}, 10, now + 10s);
    policy.RecordRequests(DaemonId{ "d1" }, {}, 10, now + 10s);
    policy.UpdateTarget(now, { 4, 16 });
  }
  CHECK(policy.target() == 2);
  for (int second = 0; second < 120; ++second) {
    now += 1s;
    policy.UpdateTarget(now, { 4, 16 });
  }
  CHECK(policy.target() == 1);
}

// A new holder of the cell knows no demand yet. With the initial target of 1, it would have too
// many replicas and could remove those that its predecessor added.
TEST_CASE("a new holder raises the target to the replicas that it finds")
{
  ReplicaCountPolicy policy;
  policy.RaiseTarget(3);
  CHECK(policy.UpdateTarget(TimePoint{} + 1s, { 4, 16 }) == 3);
  CHECK(policy.UpdateTarget(TimePoint{} + 2s, { 2, 16 }) == 2);
}

/* The pace after a start or a recovery, in simulated time. bench/pace_bench compares the policies.
 */
#include "bench/recovery_simulation.h"
#include "decision/fleet/runner_registry.h"
#include "tests/fleet/fleet_world.h"

#include <doctest/doctest.h>

#include <cstdio>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;
using bench::ToTime;

// An endpoint that is back is the least loaded one, so that each daemon used to turn to it at once.
TEST_CASE("endpoint window: late or refused requests in the 10 s after a recovery")
{
  for (const bench::Scenario& scenario : bench::RecoveryScenarios()) {
    const double off = bench::MeanShareLateOrRefused(scenario, "off");
    const double on = bench::MeanShareLateOrRefused(scenario, "aimd");
    std::printf("%s: late or refused %.2f %% off, %.2f %% on\n", scenario.name, off, on);
    if (scenario.endpoints > 1) {
      CHECK(on < off);
    } else {
      CHECK(on == doctest::Approx(off)); // With no other endpoint it holds nothing back.
    }
  }
}

// A window must neither stay closed nor impose a limit on an endpoint that never started one.
TEST_CASE(
  "endpoint window: it opens with time and answers, and halves once for a burst of refusals")
{
  EndpointWindow window;
  CHECK(window.HasRoom(ToTime(0.0), 1'000, 0.0));
  window.Start(ToTime(1.0), { .first = 2.0, .full = 16.0 });
  CHECK(window.SizeAt(ToTime(0.5)) == 2.0);
  CHECK(window.HasRoom(ToTime(1.0), 1, 0.0));
  CHECK_FALSE(window.HasRoom(ToTime(1.0), 2, 0.0));
  window.Record(ToTime(1.0), PaceSignal::kInTime);
  CHECK(window.SizeAt(ToTime(1.0)) == 3.0);
  CHECK(window.SizeAt(ToTime(1.5)) == 6.0);
  for (int answer = 0; answer < 5; ++answer) {
    window.Record(ToTime(1.5), PaceSignal::kRefused);
  }
  CHECK(window.SizeAt(ToTime(1.5)) == 3.0);
  CHECK(window.SizeAt(ToTime(2.5)) == 7.0);
  CHECK_FALSE(window.IsOpening(ToTime(6.0)));
  window.Record(ToTime(6.0), PaceSignal::kLate);
  CHECK(window.HasRoom(ToTime(6.0), 1'000, 0.0));
  window.Start(ToTime(7.0), { .first = 0.1, .full = 6.0 });
  CHECK(window.HasRoom(ToTime(7.0), 0, 0.05));
  CHECK_FALSE(window.HasRoom(ToTime(7.0), 0, 0.5));
}

TEST_CASE("endpoint window: the choice prefers others until an endpoint that is back has opened")
{
  for (const bool isPaced : { false, true }) {
    RunnerRegistry registry;
    registry.SetPaced(isPaced);
    registry.SetDaemonCount(ToTime(0.0), 90);
    const auto entryOf = [](const char* aId, std::int64_t aStartedAtMs) {
      return RunnerEntry{ .id = EndpointId{ aId },
                          .service = ServiceId{ "s" },
                          .address = aId,
                          .slots = 6,
                          .startedAtMs = aStartedAtMs };
    };
    registry.Apply(ToTime(0.0), entryOf("a", 1));
    registry.Apply(ToTime(0.0), entryOf("b", 1));
    registry.RecordRequestStart(EndpointId{ "b" });
    const auto shareOfA = [&](double aNow) {
      int count = 0;
      for (std::uint64_t affinity = 0; affinity < 200; ++affinity) {
        const auto chosen =
          registry.Choose(ToTime(aNow), { .service = ServiceId{ "s" }, .affinity = affinity });
        REQUIRE(chosen.has_value());
        count += *chosen == EndpointId{ "a" } ? 1 : 0;
      }
      return count / 200.0;
    };
    CHECK(shareOfA(30.0) == 1.0); // The least loaded one.
    registry.Apply(ToTime(31.0), entryOf("a", 2));
    CHECK(shareOfA(31.0) == doctest::Approx(isPaced ? 6.0 / 90.0 : 1.0).epsilon(0.5));
    CHECK(shareOfA(40.0) == 1.0);
    registry.Apply(ToTime(41.0), entryOf("a", 3));
    registry.Remove(ToTime(41.0), EndpointId{ "b" });
    registry.OnStoreReachable(ToTime(0.0));
    CHECK(shareOfA(41.0) == 1.0); // No other endpoint is left.
  }
}

// A runner that is back has nothing in flight, so that the dispatcher used to fill all of its slots
// at once. With no other runner the window must not hold a request back.
TEST_CASE("endpoint window: the dispatcher prefers other runners until one that is back has opened")
{
  const auto countAtFirst = [](std::uint32_t aRunners, bool aIsPaced) {
    test::FleetWorld world({ .runners = aRunners, .models = 3 });
    world.dispatcher.SetPaced(aIsPaced);
    for (int request = 0; request < 40; ++request) {
      world.SendRequest("m0");
    }
    world.Run(100ms);
    world.Run(3s);
    world.dispatcher.OnRunnerGone(world.now, EndpointId{ "r0" });
    world.SendEntry(0);
    for (int request = 0; request < 20; ++request) {
      world.SendRequest("m0");
    }
    world.Run(50ms);
    CHECK(world.CountServed() == 60);
    return world.runners[0].runningRequests.size();
  };
  const std::size_t off = countAtFirst(2, false);
  const std::size_t on = countAtFirst(2, true);
  std::printf("dispatcher: of 20 requests at a runner that is back: off %zu, on %zu\n", off, on);
  CHECK(on <= 3);
  CHECK(off > 6);
  CHECK(countAtFirst(1, true) == 20);
}

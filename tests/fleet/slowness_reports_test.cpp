/* The slowness of runners on its way to the dispatcher, and the dispatcher's choice by it. */
#include "decision/fleet/slowness_reports.h"
#include "tests/fleet/fleet_world.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <random>
#include <string>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;
using namespace rhubarbtrail::fleet::test;

namespace {

SlownessStatement StatementOf(std::size_t aRunner, double aFactor)
{
  return { .endpoint = EndpointId{ "r" + std::to_string(aRunner) },
           .startedAtMs = 1,
           .slowness = { aFactor } };
}

/* Sends requests for a model that two runners hold and returns how many r0 got. */
std::size_t CountAtFirstRunner(FleetWorld& aWorld, bool aIsStated)
{
  std::size_t count = 0;
  for (int request = 0; request < 100; ++request) {
    if (aIsStated) {
      aWorld.dispatcher.OnSlownessStatement(aWorld.now, StatementOf(0, 2.5));
      aWorld.dispatcher.OnSlownessStatement(aWorld.now, StatementOf(1, 1.0));
    }
    const auto before = aWorld.runners[0].runningRequests.size();
    aWorld.SendRequest("m0");
    aWorld.Run(20ms);
    count += aWorld.runners[0].runningRequests.size() > before ? 1 : 0;
  }
  return count;
}

} // namespace

// A message for each answer would cost the dispatcher's host as much as a request.
TEST_CASE("slowness reports: only material changes are sent, in bounded messages")
{
  SlownessReports reports;
  const Slowness usual{ 1.2 };
  TimePoint now{ 100s };
  reports.Record(now, StatementOf(0, 1.0), usual);
  CHECK(reports.TakeDue(now).empty());
  reports.Record(now, StatementOf(0, 2.5), usual);
  CHECK(reports.TakeDue(now).size() == 1);
  now += 250ms;
  reports.Record(now, StatementOf(0, 2.5), usual);
  CHECK(reports.TakeDue(now).empty()); // The last report still tells most of it.
  now += 750ms;
  reports.Record(now, StatementOf(0, 2.5), usual);
  CHECK(reports.TakeDue(now).size() == 1);
  now += 50ms;
  reports.Record(now, StatementOf(0, 1.0), usual);
  CHECK(reports.TakeDue(now).empty()); // Too soon after the last message.
  now += 200ms;
  const auto due = reports.TakeDue(now);
  REQUIRE(due.size() == 1);
  CHECK(due[0].slowness == Slowness{ 1.0 });
  CHECK(due[0].age == 200ms);
  reports.OnNewDispatcher();
  reports.Record(now, StatementOf(0, 2.5), usual);
  now += kSlownessReportInterval;
  CHECK(reports.TakeDue(now).size() == 1);
  for (std::size_t runner = 0; runner < 1'000; ++runner) {
    reports.Record(now, StatementOf(runner, 2.5), usual);
  }
  now += kSlownessReportInterval;
  CHECK(reports.TakeDue(now).size() == kMaxSlownessPerMessage);
  CHECK(reports.TakeDue(now).empty());
  now += 3s; // The rest is too old to be of use.
  CHECK(reports.TakeDue(now).empty());
}

// Deployment B: 90 runners, 89 daemons, about 200 answers of runners a second.
TEST_CASE("slowness reports: messages of a fleet are fewer than its requests")
{
  constexpr std::size_t kDaemons = 89;
  constexpr std::size_t kRunners = 90;
  constexpr int kSeconds = 30;
  constexpr int kAnswersPerSecond = 200;
  std::vector<SlownessReports> daemons(kDaemons);
  std::vector<double> factors(kRunners, 1.0);
  std::mt19937 random(1);
  std::size_t messages = 0;
  std::size_t statements = 0;
  for (int tick = 0; tick < kSeconds * 20; ++tick) { // Of 50 ms, as in the daemon.
    const TimePoint now = TimePoint{ 100s } + tick * 50ms;
    for (std::size_t runner = 0; tick % 12 == 0 && runner < kRunners; ++runner) {
      factors[runner] = random() % 100 < 15 ? 2.5 : 1.0;
    }
    for (int answer = 0; answer < kAnswersPerSecond / 20; ++answer) {
      const std::size_t runner = random() % kRunners;
      daemons[random() % kDaemons].Record(now, StatementOf(runner, factors[runner]), { 1.225 });
    }
    for (SlownessReports& daemon : daemons) {
      const auto due = daemon.TakeDue(now);
      messages += due.empty() ? 0 : 1;
      statements += due.size();
    }
  }
  std::printf("slowness reports: %.1f messages a second with %.1f statements, for %d answers\n",
              static_cast<double>(messages) / kSeconds,
              static_cast<double>(statements) / kSeconds,
              kAnswersPerSecond);
  CHECK(messages < kSeconds * kAnswersPerSecond / 3);
}

// The dispatcher used to give a runner on a slow host as many requests as the others.
TEST_CASE("dispatcher: a runner that states that it is slow gets fewer requests")
{
  const WorldOptions options{ .runners = 2, .models = 3 };
  FleetWorld without(options);
  const std::size_t usual = CountAtFirstRunner(without, false);
  FleetWorld with(options);
  const std::size_t slow = CountAtFirstRunner(with, true);
  std::printf(
    "dispatcher: requests at the slow one of two runners: off %zu, on %zu of 100\n", usual, slow);
  CHECK(slow < usual * 3 / 4);
  CHECK(with.CountServed() == without.CountServed());
}

// Without the figure, and for other processes of a runner, the estimate must not change.
TEST_CASE("dispatcher: no slowness is assumed before a runner's present process states one")
{
  FleetWorld world({ .runners = 2, .models = 3 });
  const auto slowness = [&](const char* aRunner) {
    return world.dispatcher.SlownessOf(world.now,
                                       world.dispatcher.runners().at(EndpointId{ aRunner }));
  };
  world.SendRequest("m0");
  world.Run(2s);
  CHECK_FALSE(slowness("r0"));
  SlownessStatement former = StatementOf(0, 2.5);
  former.startedAtMs = 0;
  CHECK_FALSE(world.dispatcher.OnSlownessStatement(world.now, former));
  CHECK_FALSE(slowness("r0"));
  CHECK(world.dispatcher.OnSlownessStatement(world.now, StatementOf(0, 2.5)));
  CHECK(slowness("r0")->factor > 2.0);
  CHECK(slowness("r1")->factor < 1.1);
}

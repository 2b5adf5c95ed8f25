/* A request that crashes runners is quarantined after two crashes. Every request in flight at a
 * crashed runner may have caused the crash and becomes a suspect. Suspects run isolated, that is,
 * alone at a runner, so only the crashing request causes a second crash there. */
#include "tests/unit/router_world.h"

#include <doctest/doctest.h>

using namespace rhubarbtrail;
using namespace rhubarbtrail::test;

namespace {

/* Runners that crash when they run one of the crashing requests. All other requests in flight there
 * fail, too. */
struct CrashingRunners
{
  explicit CrashingRunners(World& aWorld)
    : world(aWorld)
  {
    world.endOfAttempt = [this](const StartedAttempt& aStarted) { return Serve(aStarted); };
  }

  std::optional<SimulatedEnd> Serve(const StartedAttempt& aStarted)
  {
    const EndpointId runner = aStarted.attempt.endpoint;
    auto& runningRequests = runningByRunner[runner];
    std::erase_if(runningRequests, [&](const auto& aItem) { return aItem.second <= world.now; });
    const bool isCrashing = crashingRequests.contains(aStarted.attempt.request);
    Duration duration = 300ms;
    if (isCrashing) {
      ++crashes;
      maxRequestsBesideCrash = std::max(maxRequestsBesideCrash, runningRequests.size());
      for (const auto& [started, end] : runningRequests) {
        world.Post(started.daemon,
                   50ms,
                   AttemptEnded{ .request = started.attempt.request,
                                 .attempt = started.attempt.attempt,
                                 .outcome = AttemptOutcome::kCrashed });
      }
      runningRequests.clear();
      return SimulatedEnd{ AttemptOutcome::kCrashed, 50ms };
    }
    runningRequests.emplace_back(aStarted, world.now + duration);
    return SimulatedEnd{ AttemptOutcome::kCompleted, duration };
  }

  World& world;
  std::set<RequestId> crashingRequests;
  std::map<EndpointId, std::vector<std::pair<StartedAttempt, TimePoint>>> runningByRunner;
  int crashes = 0;
  /* Largest number of other requests that were in flight at a runner when it crashed. */
  std::size_t maxRequestsBesideCrash = 0;
};

} // namespace

TEST_CASE("a crashing request is quarantined after two crashes, and requests beside it are not")
{
  for (const std::size_t daemons : { 1, 3 }) {
    for (const std::size_t crashAt : { 0, 2 }) {
      INFO(daemons, " daemons, crashing request at daemon ", crashAt);
      World world({ .daemons = daemons, .runners = 3 });
      CrashingRunners crashingRunners(world);
      for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        world.SendRequest({}, daemon); // Loads the model and makes each daemon know of it.
      }
      world.Run(2s);
      std::vector<RequestId> otherRequests;
      for (std::size_t index = 0; index < 6; ++index) {
        otherRequests.push_back(world.SendRequest({}, index % daemons));
      }
      world.Run(50ms);
      const std::size_t at = crashAt % daemons;
      RequestArrived suspect{ .fingerprint = FingerprintId{ "killer" } };
      crashingRunners.crashingRequests.insert(RequestId{ "r" + std::to_string(daemons + 7) });
      const RequestId first = world.SendRequest(suspect, at);
      REQUIRE(crashingRunners.crashingRequests.contains(first));
      world.Run(25s);
      CHECK(world.CodeOf(first) == 5103);
      CHECK(crashingRunners.crashes == 2);
      for (const RequestId& other : otherRequests) {
        CHECK(world.CodeOf(other) == 1000);
      }
      for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        const RequestId again = world.SendRequest(suspect, daemon);
        CHECK(world.CodeOf(again) == 5101);
        CHECK(world.DumpOf("router.suspects", daemon) == "0");
      }
      const RequestId after = world.SendRequest({}, 0);
      world.Run(5s);
      CHECK(world.CodeOf(after) == 1000);
    }
  }
}

// Otherwise the suspect's second crash would end these requests, too, and it would not be certain
// which request caused it.
TEST_CASE("the runner of an isolated suspect gets no other requests")
{
  World world({ .daemons = 3 });
  CrashingRunners crashingRunners(world);
  for (std::size_t daemon = 0; daemon < 3; ++daemon) {
    world.SendRequest({}, daemon);
  }
  world.Run(2s);
  crashingRunners.crashingRequests.insert(RequestId{ "r4" });
  const RequestId suspect = world.SendRequest({ .fingerprint = FingerprintId{ "killer" } }, 1);
  for (int index = 0; index < 100; ++index) {
    world.Run(100ms);
    world.SendRequest({}, static_cast<std::size_t>(index) % 3);
  }
  world.Run(30s);
  CHECK(world.CodeOf(suspect) == 5103);
  CHECK(crashingRunners.crashes == 2);
  CHECK(crashingRunners.maxRequestsBesideCrash == 0);
  for (const auto& [request, finished] : world.finished) {
    CHECK((request == suspect || finished.finish.code == ResultCode::kOk));
  }
  CHECK(world.finished.size() == 104);
}

// The only runner is reserved for the suspect, whose second attempt does not end. If the
// reservation outlived the failed daemon, the runner would never serve another request.
TEST_CASE("an isolated runner is released when the daemon of its suspect fails")
{
  World world({ .daemons = 3 });
  world.endOfAttempt = [&](const StartedAttempt& aStarted) {
    const bool isSuspect = aStarted.attempt.request == RequestId{ "r1" };
    const bool isFirst = aStarted.attempt.attempt.value == 1;
    return isSuspect ? (isFirst ? std::optional{ SimulatedEnd{ AttemptOutcome::kCrashed, 1ms } }
                                : std::nullopt)
                     : std::optional{ SimulatedEnd{} };
  };
  // Daemon 2 fails if daemon 0 holds the cell, otherwise daemon 1.
  const std::size_t holder = world.DumpOf("cells.models.held", 0) == "yes" ? 0 : 1;
  const std::size_t failedDaemon = 2 - holder;
  world.SendRequest({ .fingerprint = FingerprintId{ "f" } }, failedDaemon);
  world.Run(5s);
  CHECK(world.started.size() == 2);
  const RequestId blocked = world.SendRequest({}, holder);
  world.Run(2s);
  CHECK(world.CodeOf(blocked) == 0);
  world.Kill(failedDaemon);
  world.Run(3s);
  CHECK(world.CodeOf(blocked) == 1000);
}

// Daemon 1 gets the release and tells the others by a ConvictedMessage without validity, which must
// remove the fingerprint from quarantine. If daemon 0 took this message for a quarantine of the
// fingerprint, it would refuse its waiting requests with that fingerprint.
TEST_CASE("a release from quarantine by an operator does not refuse waiting requests")
{
  World world({ .daemons = 2 });
  world.endOfAttempt = [](const StartedAttempt&) { return std::optional<SimulatedEnd>{}; };
  const RequestArrived arrived{ .timeLeft = 20s, .fingerprint = FingerprintId{ "f" } };
  std::vector<RequestId> requests;
  for (int index = 0; index < 40; ++index) {
    requests.push_back(world.SendRequest(arrived, 0));
  }
  world.Run(1s);
  world.Apply(1, QuarantineReleased{ FingerprintId{ "f" } });
  world.Run(1s);
  for (const RequestId& request : requests) {
    CHECK(world.CodeOf(request) == 0);
  }
}

/* A random search over what endpoints state in their answers, in simulated time. Several daemons,
 * each with a registry, send requests to endpoints that announce their leaving, ask for pauses and
 * restart under their ids, while entries and the daemons' messages arrive late or not at all. What
 * the endpoints receive is checked against the operators' rules, whatever the daemons believe. */
#include "decision/fleet/crash_guard.h"
#include "decision/fleet/runner_registry.h"
#include "tests/support/trace_digest.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

const ServiceId kService{ "plain" };
constexpr std::size_t kDaemons = 3;
constexpr std::size_t kEndpoints = 3;
/* The operators' bounds: time for which a leaving endpoint still takes requests, time after which a
 * pause must be heeded, and number of requests that may be on their way meanwhile. */
constexpr Duration kDrainTime = 2s;
constexpr Duration kPauseReaction = 500ms;
constexpr std::size_t kRequestsInPause = 2;

struct Process
{
  std::int64_t startedAtMs = 1;
  bool saysLeaving = false;
  TimePoint refusesUntil{};
};

/* A request that reached a process of an endpoint. */
struct Arrival
{
  std::size_t daemon = 0;
  EndpointProcess process;
  TimePoint clientSentAt{};
  TimePoint arrivedAt{};
};

/* What a daemon has read in an answer of a process. */
struct Statement
{
  std::size_t daemon = 0;
  EndpointProcess process;
  TimePoint readAt{};
  Duration pause{}; ///< 0 for the announcement of leaving.
};

class StatementWorld
{
public:
  explicit StatementWorld(std::uint32_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
      for (RunnerRegistry& registry : mRegistries) {
        registry.Apply(mNow, EntryOf(endpoint));
      }
    }
  }

  void Run()
  {
    constexpr Duration kStep = 20ms;
    for (const TimePoint end = mNow + 12s; mNow < end; mNow += kStep) {
      RunDueEvents();
      ChangeEndpoints();
      const std::size_t daemon = Draw(kDaemons);
      if (mNow >= mFrozenUntil[daemon]) {
        Send(daemon, mNow);
      }
    }
  }

  std::vector<std::string> FindViolations() const
  {
    std::vector<std::string> violations;
    for (const Statement& statement : mStatements) {
      std::size_t inPause = 0;
      for (const Arrival& arrival : mArrivals) {
        if (arrival.daemon != statement.daemon || arrival.process != statement.process) {
          continue;
        }
        const bool isPause = statement.pause > Duration::zero();
        if (!isPause && arrival.clientSentAt > statement.readAt + kDrainTime) {
          violations.emplace_back("a request reached a leaving endpoint");
        }
        inPause += isPause && arrival.arrivedAt > statement.readAt + kPauseReaction &&
                       arrival.arrivedAt < statement.readAt + statement.pause
                     ? 1
                     : 0;
      }
      if (inPause > kRequestsInPause) {
        violations.emplace_back("requests reached a paused endpoint");
      }
    }
    return violations;
  }

  std::size_t arrivalCount() const { return mArrivals.size(); }
  void AddTo(TraceDigest& aTrace) const
  {
    for (const Arrival& arrival : mArrivals) {
      aTrace.Add(arrival.daemon);
      aTrace.Add(arrival.process.endpoint.str());
      aTrace.Add(arrival.arrivedAt);
    }
  }

private:
  std::size_t Draw(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>{ 0, aCount - 1 }(mRandom);
  }

  Duration DrawTime(std::size_t aMilliseconds)
  {
    return std::chrono::milliseconds{ 1 + Draw(aMilliseconds) };
  }

  RunnerEntry EntryOf(std::size_t aEndpoint) const
  {
    return { .id = EndpointId{ "e" + std::to_string(aEndpoint) },
             .service = kService,
             .zone = ZoneId{ "a" },
             .address = "10.0.0.1:1",
             .softwareVersion = SoftwareVersion{ "v1" },
             .startedAtMs = mProcesses[aEndpoint].startedAtMs };
  }

  void After(Duration aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(mNow + aTime, std::move(aEvent));
  }

  void RunDueEvents()
  {
    while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      const auto event = mEvents.begin()->second;
      mEvents.erase(mEvents.begin());
      event();
    }
  }

  void ChangeEndpoints()
  {
    const std::size_t endpoint = Draw(kEndpoints);
    Process& process = mProcesses[endpoint];
    switch (Draw(60)) {
      case 0:
        process.saysLeaving = true;
        break;
      case 1:
        process.refusesUntil = mNow + DrawTime(400);
        break;
      case 2:
        process = { .startedAtMs = process.startedAtMs + 1 };
        AnnounceEntry(endpoint);
        break;
      case 3:
        AnnounceEntry(endpoint); // Says ready, also of a process that is leaving.
        break;
      case 4: {
        const TimePoint until = mNow + DrawTime(3'000);
        mFrozenUntil[Draw(kDaemons)] = until;
        break;
      }
      default:
        break;
    }
  }

  /* The daemons receive an endpoint's entries late, but in the order of their versions. */
  void AnnounceEntry(std::size_t aEndpoint)
  {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      TimePoint& arrivesAt = mEntryArrival[{ daemon, aEndpoint }];
      arrivesAt = std::max(arrivesAt, mNow + DrawTime(1'500));
      mEvents.emplace(arrivesAt, [this, daemon, entry = EntryOf(aEndpoint)] {
        mRegistries[daemon].Apply(mNow, entry);
      });
    }
  }

  void Send(std::size_t aDaemon, TimePoint aClientSentAt)
  {
    RunnerRegistry& registry = mRegistries[aDaemon];
    const auto chosen = registry.Choose(mNow, { .service = kService, .zone = ZoneId{ "a" } });
    if (!chosen) {
      // It waits, like a request that waits for the end of a pause, and is chosen for again.
      if (mNow - aClientSentAt < 4s) {
        After(40ms, [this, aDaemon, aClientSentAt] { Send(aDaemon, aClientSentAt); });
      }
      return;
    }
    const std::int64_t knownStart = registry.Find(*chosen)->entry.startedAtMs;
    registry.RecordRequestStart(*chosen);
    const std::size_t endpoint = std::stoul(chosen->str().substr(1));
    After(DrawTime(5), [=, this] { Arrive(aDaemon, endpoint, knownStart, aClientSentAt); });
  }

  void Arrive(std::size_t aDaemon,
              std::size_t aEndpoint,
              std::int64_t aKnownStart,
              TimePoint aClientSentAt)
  {
    const Process& process = mProcesses[aEndpoint];
    const EndpointId id{ "e" + std::to_string(aEndpoint) };
    const EndpointProcess reached{ .endpoint = id, .startedAtMs = process.startedAtMs };
    mArrivals.push_back(
      { .daemon = aDaemon, .process = reached, .clientSentAt = aClientSentAt, .arrivedAt = mNow });
    const bool isRefused = mNow < process.refusesUntil;
    const Duration pause = isRefused ? DrawTime(2'500) : Duration::zero();
    const bool isLeaving = process.saysLeaving;
    const Duration answerTime =
      std::max(mFrozenUntil[aDaemon] - mNow, Duration::zero()) + DrawTime(isRefused ? 5 : 300);
    After(answerTime, [=, this] {
      RunnerRegistry& registry = mRegistries[aDaemon];
      registry.RecordRequestEnd(
        mNow, id, isRefused ? EndpointOutcome::kRefused : EndpointOutcome::kSucceeded);
      // A daemon whose entry is of another process cannot tell which process has answered.
      const bool isKnown = aKnownStart == reached.startedAtMs &&
                           registry.Find(id)->entry.startedAtMs == reached.startedAtMs;
      if (isLeaving) {
        registry.RecordLeaving(id, aKnownStart);
        TellOthers(aDaemon, id, aKnownStart);
      }
      if (pause > Duration::zero()) {
        registry.RecordPause(mNow, id, aKnownStart, pause);
      }
      if (isKnown && isLeaving) {
        mStatements.push_back({ .daemon = aDaemon, .process = reached, .readAt = mNow });
      }
      if (isKnown && pause > Duration::zero()) {
        mStatements.push_back(
          { .daemon = aDaemon, .process = reached, .readAt = mNow, .pause = pause });
      }
      if (isRefused && mNow - aClientSentAt < 4s) {
        Send(aDaemon, aClientSentAt); // The request has not run, so it is sent elsewhere.
      }
    });
  }

  void TellOthers(std::size_t aFrom, const EndpointId& aEndpoint, std::int64_t aStartedAtMs)
  {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      const bool isLost = Draw(4) == 0;
      if (daemon != aFrom && !isLost) {
        After(DrawTime(800),
              [=, this] { mRegistries[daemon].RecordLeaving(aEndpoint, aStartedAtMs); });
      }
    }
  }

  std::mt19937 mRandom;
  TimePoint mNow{ 1'000s };
  std::multimap<TimePoint, std::function<void()>> mEvents;
  Process mProcesses[kEndpoints];
  RunnerRegistry mRegistries[kDaemons];
  TimePoint mFrozenUntil[kDaemons]{};
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> mEntryArrival;
  std::vector<Arrival> mArrivals;
  std::vector<Statement> mStatements;
};

} // namespace

TEST_CASE("random announcements, pauses and restarts: no daemon sends what an endpoint has refused")
{
  constexpr std::uint32_t kSeeds = 10'000;
  std::size_t arrivals = 0;
  TraceDigest trace;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    StatementWorld world(seed);
    world.Run();
    CAPTURE(seed);
    const auto violations = world.FindViolations();
    // doctest evaluates the message also when the check passes and --success is given.
    REQUIRE_MESSAGE(violations.empty(), (violations.empty() ? std::string{} : violations.front()));
    arrivals += world.arrivalCount();
    if (seed <= 100) {
      world.AddTo(trace);
    }
  }
  CHECK(arrivals > 100 * kSeeds);
  CHECK(trace.value() == 0x11e5'bc9e'd05b'58c9);
}

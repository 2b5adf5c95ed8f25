/* Endpoints that state a limit on requests, in simulated time. They must get no more calls than the
 * operators allow, counted anew at each arrival, and must be used near their limit while callers
 * wait. */
#include "decision/fleet/runner_registry.h"
#include "tests/fleet/fleet_world.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;
using namespace rhubarbtrail::fleet::test;

namespace {

constexpr Duration kWindow = 4s;
/* Time after the first answer with a limit from which it must be kept. */
constexpr Duration kReactionTime = 500ms;
/* Part of a limit that must be used while callers wait. */
constexpr double kLeastUse = 0.7;

/* Returns the greatest number of calls in a window, of those at a time or later. */
std::size_t MostInWindow(std::vector<TimePoint> aCalls, TimePoint aSince)
{
  std::sort(aCalls.begin(), aCalls.end());
  auto first = std::lower_bound(aCalls.begin(), aCalls.end(), aSince);
  std::size_t most = 0;
  for (auto last = first; last != aCalls.end(); ++last) {
    while (*last - *first >= kWindow) {
      ++first;
    }
    most = std::max<std::size_t>(most, static_cast<std::size_t>(last - first) + 1);
  }
  return most;
}

bool IsWithinLimit(const std::vector<TimePoint>& aCalls, TimePoint aSince, RequestRate aLimit)
{
  const double seconds = std::chrono::duration<double>(kWindow).count();
  return static_cast<double>(MostInWindow(aCalls, aSince)) <=
         1.5 * aLimit.perSecond * seconds + 5.0;
}

/* Lets a runner state a limit and waits until the dispatcher knows it. */
TimePoint StateLimit(FleetWorld& aWorld, std::size_t aRunner, RequestRate aLimit)
{
  aWorld.runners[aRunner].limit = aLimit;
  aWorld.dispatcher.OnLimitStatement(aWorld.now,
                                     { .endpoint = EndpointId{ aWorld.runners[aRunner].id },
                                       .startedAtMs = aWorld.runners[aRunner].startedAtMs,
                                       .limit = aLimit });
  return aWorld.now + kReactionTime;
}

} // namespace

TEST_CASE("an allowance starts empty and keeps no more than its burst")
{
  constexpr TimePoint kStart{ 100s };
  RequestAllowance allowance(kStart, { .perSecond = 2.0, .burst = 3.0 });
  CHECK_FALSE(allowance.Take(kStart));
  CHECK(allowance.TimeUntil(kStart, 1) == 500ms);
  CHECK(allowance.TimeUntil(kStart, 4) == 2s);
  CHECK(allowance.Take(kStart + 500ms));
  CHECK_FALSE(allowance.Take(kStart + 501ms));
  std::size_t taken = 0;
  while (allowance.Take(kStart + 1'000s)) {
    ++taken;
  }
  CHECK(taken == 3);
  allowance.GiveBack(kStart + 1'000s);
  CHECK(allowance.Take(kStart + 1'000s));
  allowance.SetOptions(kStart + 2'000s, { .perSecond = 0.0, .burst = 1.0 });
  CHECK(allowance.Take(kStart + 2'000s));
  CHECK(allowance.TimeUntil(kStart + 2'000s, 1) == Duration::max());
}

// The parts are used by different daemons, so each may be used to the full in the same window.
TEST_CASE("the parts of a limit add up to less than the operators allow")
{
  for (const double limit : { 0.0, 0.1, 0.2, 0.5, 1.0, 2.0, 3.7, 10.0, 50.0, 1'000.0 }) {
    for (std::size_t daemons = 1; daemons <= 400; ++daemons) {
      const double seconds = std::chrono::duration<double>(kWindow).count();
      const auto most = [&](const RequestAllowance::Options& aOptions) {
        return aOptions.perSecond * seconds + aOptions.burst;
      };
      const auto share = OwnShareOf({ limit }, daemons);
      const double total = most(RequestAllowanceOf({ limit })) +
                           most(ControlAllowanceOf({ limit })) +
                           (share ? most(*share) * static_cast<double>(daemons) : 0.0);
      CAPTURE(limit);
      CAPTURE(daemons);
      CHECK(total <= 1.5 * limit * seconds + 5.0);
    }
  }
}

// Orders and reports count like requests, and nothing bounded their rate.
TEST_CASE("random limits, adapters, swaps and takeovers: a runner gets no more than it takes")
{
  constexpr std::uint32_t kSeeds = 150;
  constexpr std::array kLimits{ 0.0, 0.2, 1.0, 3.7, 50.0 };
  TraceDigest trace;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    FleetWorld world({ .runners = 2 + seed % 3,
                       .models = 12,
                       .modelsPerRunner = 3,
                       .adapters = seed % 2 == 0 ? 10U : 0U,
                       .areAllModelsOnDisk = seed % 5 != 0,
                       .seed = seed });
    world.requestDuration = 400ms;
    const auto draw = [&](std::uint32_t aCount) {
      return std::uniform_int_distribution<std::uint32_t>{ 0, aCount - 1 }(world.random);
    };
    const RequestRate limit{ kLimits[draw(kLimits.size())] };
    const std::size_t limited = draw(4) == 0 ? world.runners.size() : 1;
    TimePoint since{};
    for (std::size_t runner = 0; runner < limited; ++runner) {
      since = StateLimit(world, runner, limit);
    }
    for (int step = 0; step < 1'200; ++step) {
      if (draw(5) == 0) {
        const std::string adapter =
          world.options.adapters > 0 && draw(2) == 0 ? "a" + std::to_string(1 + draw(10)) : "";
        // The order of evaluation of arguments differs by machine.
        const std::uint32_t priority = draw(3);
        world.SendRequest("m" + std::to_string(draw(12)), adapter, priority, 8s);
      }
      if (draw(400) == 0) {
        world.ReplaceDispatcher();
        world.Run(std::chrono::milliseconds{ draw(1'500) });
      }
      world.Run(10ms);
    }
    for (std::size_t runner = 0; runner < limited; ++runner) {
      CAPTURE(seed);
      CAPTURE(limit.perSecond);
      CAPTURE(MostInWindow(world.runners[runner].calls, since));
      CHECK(IsWithinLimit(world.runners[runner].calls, since, limit));
    }
    for (const std::string& violation : world.violations) {
      INFO(violation);
      CHECK(false);
    }
    world.AddTo(trace);
  }
  CHECK(trace.value() == 0x4cea'be57'29ac'2034);
}

TEST_CASE(
  "a limited runner is used near its limit while callers wait, and refuses the rest at once")
{
  for (const double perSecond : { 0.5, 1.0, 3.7, 20.0 }) {
    FleetWorld world({ .runners = 1, .models = 3 });
    world.requestDuration = 200ms;
    const TimePoint since = StateLimit(world, 0, { perSecond });
    const TimePoint start = world.now;
    while (world.now < start + 20s) {
      for (int request = 0; request < 1 + static_cast<int>(perSecond); ++request) {
        world.SendRequest("m" + std::to_string(request % 3), {}, 1, 3s);
      }
      world.Run(100ms);
    }
    CAPTURE(perSecond);
    CHECK(IsWithinLimit(world.runners[0].calls, since, { perSecond }));
    CHECK(static_cast<double>(world.CountServed()) >= kLeastUse * perSecond * 20.0);
    for (const auto& [number, outcome] : world.outcomes) {
      if (outcome.isRefused) {
        CHECK(outcome.endedAt - outcome.requestedAt <= 100ms);
        REQUIRE(outcome.retryAfter);
        CHECK(*outcome.retryAfter > 2s);
      }
    }
  }
}

// Its account would else be refused whenever the other one has filled the queue.
TEST_CASE("an account with few requests gets its part of a limit beside one with many")
{
  FleetWorld world({ .runners = 1, .models = 3 });
  world.requestDuration = 200ms;
  StateLimit(world, 0, { 2.0 });
  const auto send = [&](const char* aAccount) {
    return world.SendRequest("m0", {}, 1, 4s, [&](PlacementRequest& aRequest) {
      aRequest.account = ClientAccountId{ aAccount };
    });
  };
  std::vector<std::uint64_t> small;
  for (int step = 0; step < 200; ++step) {
    send("large");
    if (step % 20 == 0) {
      small.push_back(send("small"));
    }
    world.Run(100ms);
  }
  world.Run(4s);
  const auto served = std::count_if(small.begin(), small.end(), [&](std::uint64_t aNumber) {
    return world.outcomes[aNumber].startedAt.has_value();
  });
  CHECK(served == static_cast<std::ptrdiff_t>(small.size()));
}

// The load is far below what a replica without a limit serves, so it is no reason for a second one.
TEST_CASE("a busy model at a limited runner gets a copy elsewhere")
{
  FleetWorld world({ .runners = 2, .models = 6 });
  world.requestDuration = 200ms;
  StateLimit(world, 0, { 1.0 });
  REQUIRE(world.CountReplicas("m0") == 1);
  for (int step = 0; step < 80; ++step) {
    world.SendRequest("m0", {}, 1, 5s);
    world.Run(500ms);
  }
  CHECK(world.CountReplicas("m0") == 2);
  CHECK(world.CountServed() > 65);
}

TEST_CASE("a limit ends with an answer without it, and not with one that overtook a statement")
{
  constexpr TimePoint kStart{ 100s };
  StatedLimit limit;
  CHECK(limit.Record(kStart, { 1.0 }));
  CHECK_FALSE(limit.Record(kStart + 1s, { 1.0 }));
  CHECK_FALSE(limit.RecordNone(kStart + 500ms));
  CHECK(limit.Record(kStart + 2s, { 3.0 }));
  CHECK(limit.RecordNone(kStart + 2'100ms));
  CHECK_FALSE(limit.RecordNone(kStart + 3s));
  CHECK_FALSE(limit.rate());
}

// The statement would be lost, since the daemon that read it states it only once.
TEST_CASE("a limit of a process whose entry arrives later is known to the dispatcher")
{
  FleetWorld world({ .runners = 1, .models = 3 });
  const EndpointId id{ world.runners[0].id };
  world.Restart(0);
  world.dispatcher.OnLimitStatement(
    world.now,
    { .endpoint = id, .startedAtMs = world.runners[0].startedAtMs, .limit = RequestRate{ 1.0 } });
  CHECK_FALSE(world.dispatcher.runners().at(id).limit.rate());
  world.SendEntry(0);
  CHECK(world.dispatcher.runners().at(id).limit.rate() == RequestRate{ 1.0 });
  world.Restart(0);
  world.SendEntry(0);
  CHECK_FALSE(world.dispatcher.runners().at(id).limit.rate());
}

namespace {

struct LimitSearchOptions
{
  std::size_t daemons = 8;
  double perSecond = 1.0;
  double load = 10.0; ///< Requests per second, as a multiple of what the endpoints take.
  bool hasFaults = true;
  std::uint32_t seed = 1;
};

/* Daemons that send requests to two endpoints without models. The daemon that is the dispatcher
 * changes, and daemons lose touch with it for some time, while all reach the endpoints. */
class LimitSearchWorld
{
public:
  explicit LimitSearchWorld(const LimitSearchOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
    , mRegistries(aOptions.daemons)
    , mCutUntil(aOptions.daemons)
  {
    for (RunnerRegistry& registry : mRegistries) {
      registry.SetDaemonCount(mNow, aOptions.daemons);
      for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
        registry.Apply(mNow, EntryOf(endpoint));
      }
    }
    TakeOver();
    mDispatcherFrom = mNow;
  }

  void Run(Duration aTime)
  {
    constexpr Duration kStep = 20ms;
    const double rate = std::max(mOptions.load * mOptions.perSecond * kEndpoints, 5.0) *
                        std::chrono::duration<double>(kStep).count();
    double due = 0.0;
    for (const TimePoint end = mNow + aTime; mNow < end; mNow += kStep) {
      FindDispatcher();
      RunDueEvents();
      if (mOptions.hasFaults) {
        CauseFault();
      }
      for (due += rate; due >= 1.0; due -= 1.0) {
        // The order of evaluation of arguments differs by machine.
        const TimePoint deadline = mNow + DrawTime(3'000);
        Send(Draw(mOptions.daemons), deadline, 0);
      }
      for (const DispatchAction& action : mDispatcher->Tick(mNow)) {
        if (const auto* reply = std::get_if<PlacementReply>(&action)) {
          After(DrawTime(3), [this, reply = *reply] { OnReply(reply); });
        }
      }
    }
  }

  const std::vector<TimePoint>& arrivals(std::size_t aEndpoint) const
  {
    return mArrivals[aEndpoint];
  }
  static constexpr std::size_t kEndpoints = 2;
  TimePoint start{ 1'000s };

private:
  std::size_t Draw(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>{ 0, aCount - 1 }(mRandom);
  }

  Duration DrawTime(std::size_t aMilliseconds)
  {
    return std::chrono::milliseconds{ 1 + Draw(aMilliseconds) };
  }

  static RunnerEntry EntryOf(std::size_t aEndpoint)
  {
    return { .id = EndpointId{ "e" + std::to_string(aEndpoint) },
             .service = ServiceId{ "plain" },
             .zone = ZoneId{ "a" },
             .address = "10.0.0.1:1",
             .softwareVersion = SoftwareVersion{ "v1" },
             .slots = 6,
             .startedAtMs = 1 };
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

  void CauseFault()
  {
    switch (Draw(300)) {
      case 0: // The dispatcher's host fails, and another daemon takes over.
        mDispatcherFrom = mNow + DrawTime(4'000);
        TakeOver();
        break;
      case 1: // Daemons lose touch with the dispatcher, which serves the others.
        for (TimePoint& until : mCutUntil) {
          until = Draw(2) == 0 ? mNow + DrawTime(6'000) : until;
        }
        break;
      default:
        break;
    }
  }

  void TakeOver()
  {
    mDispatcher = std::make_unique<Dispatcher>(mStreamOrigins, mRecordedVersions);
    mDispatcher->SetConfiguration(std::make_shared<FleetConfiguration>());
    mDispatcher->SetOrderPermission({ .mayOrder = true, .holder = "d", .fence = { ++mFence } });
    for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
      mDispatcher->OnRunnerEntry(mNow, EntryOf(endpoint));
    }
    mIsInTouch.assign(mOptions.daemons, false);
  }

  /* A daemon that finds the dispatcher sends it the limits that it knows. */
  void FindDispatcher()
  {
    for (std::size_t daemon = 0; daemon < mOptions.daemons; ++daemon) {
      const bool wasInTouch = mIsInTouch[daemon];
      mIsInTouch[daemon] = HasDispatcher(daemon);
      if (!mIsInTouch[daemon] || wasInTouch) {
        continue;
      }
      for (const LimitStatement& statement : mRegistries[daemon].Limits()) {
        mDispatcher->OnLimitStatement(mNow, statement);
      }
    }
  }

  bool HasDispatcher(std::size_t aDaemon) const
  {
    return mNow >= mDispatcherFrom && mNow >= mCutUntil[aDaemon];
  }

  void Send(std::size_t aDaemon, TimePoint aDeadline, int aTries)
  {
    RunnerRegistry& registry = mRegistries[aDaemon];
    const bool mayAsk = HasDispatcher(aDaemon);
    const auto chosen = registry.Choose(mNow,
                                        { .service = ServiceId{ "plain" },
                                          .zone = ZoneId{ "a" },
                                          .limited = mayAsk ? LimitedEndpoints::kIfOthersAreFull
                                                            : LimitedEndpoints::kWithinOwnShare });
    if (chosen && mayAsk && registry.IsLimited(*chosen)) {
      const PlacementRequestId id{ .daemon = DaemonId{ std::to_string(aDaemon) },
                                   .number = ++mNumber };
      After(DrawTime(3), [this, id, aDeadline, fence = mFence] {
        if (fence != mFence) {
          return; // The connection to the former dispatcher has ended.
        }
        mDispatcher->OnPlacementRequest(
          mNow,
          { .id = id,
            .service = ServiceId{ "plain" },
            .work = {},
            .timeLeft = std::max(aDeadline - mNow, Duration::zero()) },
          ZoneId{ "a" });
      });
    } else if (chosen && registry.TakeOwnShare(mNow, *chosen)) {
      Arrive(aDaemon, *chosen);
    } else if (aTries < 50 && mNow < aDeadline) {
      After(40ms, [=, this] { Send(aDaemon, aDeadline, aTries + 1); });
    }
  }

  void OnReply(const PlacementReply& aReply)
  {
    const auto daemon = static_cast<std::size_t>(std::stoul(aReply.id.daemon.str()));
    const auto* assigned = std::get_if<RunnerAssigned>(&aReply.answer);
    if (assigned != nullptr && mNow >= mCutUntil[daemon]) {
      Arrive(daemon, assigned->runner);
      After(DrawTime(200),
            [this, id = aReply.id] { mDispatcher->OnAssignmentReleased(mNow, { .id = id }); });
    }
  }

  void Arrive(std::size_t aDaemon, const EndpointId& aEndpoint)
  {
    const auto endpoint = static_cast<std::size_t>(std::stoul(aEndpoint.str().substr(1)));
    // The operators count requests of daemons that have known of the limit for half a second.
    const auto known = mKnownSince.find({ aDaemon, aEndpoint });
    if (known != mKnownSince.end() && mNow >= known->second + kReactionTime) {
      mArrivals[endpoint].push_back(mNow);
    }
    After(DrawTime(200), [=, this] {
      const LimitStatement statement{ .endpoint = aEndpoint,
                                      .startedAtMs = 1,
                                      .limit = RequestRate{ mOptions.perSecond } };
      if (Record(aDaemon, statement) && HasDispatcher(aDaemon)) {
        mDispatcher->OnLimitStatement(mNow, statement);
        After(DrawTime(400), [=, this] {
          for (std::size_t daemon = 0; daemon < mOptions.daemons; ++daemon) {
            if (HasDispatcher(daemon)) {
              Record(daemon, statement);
            }
          }
        });
      }
    });
  }

  bool Record(std::size_t aDaemon, const LimitStatement& aStatement)
  {
    mKnownSince.try_emplace({ aDaemon, aStatement.endpoint }, mNow);
    return mRegistries[aDaemon].RecordLimit(mNow, aStatement);
  }

  LimitSearchOptions mOptions;
  std::mt19937 mRandom;
  TimePoint mNow{ 1'000s };
  std::multimap<TimePoint, std::function<void()>> mEvents;
  StreamOrigins mStreamOrigins;
  RecordedVersions mRecordedVersions;
  std::unique_ptr<Dispatcher> mDispatcher;
  std::uint64_t mFence = 0;
  std::uint64_t mNumber = 0;
  TimePoint mDispatcherFrom{};
  std::vector<RunnerRegistry> mRegistries;
  std::vector<TimePoint> mCutUntil;
  std::vector<bool> mIsInTouch;
  std::map<std::pair<std::size_t, EndpointId>, TimePoint> mKnownSince;
  std::vector<TimePoint> mArrivals[kEndpoints];
};

} // namespace

TEST_CASE("random takeovers and cuts: daemons together keep to the limits of plain endpoints")
{
  constexpr std::uint32_t kSeeds = 60;
  TraceDigest trace;
  for (const std::size_t daemons : { 1U, 8U, 60U, 300U }) {
    for (const double perSecond : { 0.0, 0.2, 1.0, 3.7, 50.0 }) {
      for (std::uint32_t seed = 1; seed <= kSeeds / (daemons > 60 ? 10 : 1); ++seed) {
        LimitSearchWorld world({ .daemons = daemons, .perSecond = perSecond, .seed = seed });
        world.Run(15s);
        for (std::size_t endpoint = 0; endpoint < LimitSearchWorld::kEndpoints; ++endpoint) {
          CAPTURE(seed);
          CAPTURE(daemons);
          CAPTURE(perSecond);
          const TimePoint since = world.start + 1s; // The first answers take 200 ms.
          CAPTURE(MostInWindow(world.arrivals(endpoint), since));
          CHECK(IsWithinLimit(world.arrivals(endpoint), since, { perSecond }));
          for (const TimePoint arrival : world.arrivals(endpoint)) {
            trace.Add(arrival);
          }
        }
      }
    }
  }
  CHECK(trace.value() == 0x3b49'ccf1'7b93'acb9);
}

TEST_CASE("plain endpoints are used near their limits while callers wait")
{
  for (const std::size_t daemons : { 1U, 8U, 60U }) {
    for (const double perSecond : { 1.0, 3.7, 50.0 }) {
      LimitSearchWorld world({ .daemons = daemons, .perSecond = perSecond, .hasFaults = false });
      world.Run(20s);
      for (std::size_t endpoint = 0; endpoint < LimitSearchWorld::kEndpoints; ++endpoint) {
        CAPTURE(daemons);
        CAPTURE(perSecond);
        CHECK(static_cast<double>(world.arrivals(endpoint).size()) >= kLeastUse * perSecond * 20.0);
      }
    }
  }
}

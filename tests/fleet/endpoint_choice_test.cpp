/* The choice among endpoints that state their slowness: a seeded search in simulated time, with 300
 * daemons, 3 endpoints and reports that are up to a second old. Without the sample, all daemons
 * turn to the same endpoint with each report. */
#include "decision/fleet/endpoint_choice.h"
#include "decision/fleet/runner_registry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

const ServiceId kService{ "plain" };
constexpr std::size_t kDaemons = 300;
constexpr std::size_t kEndpoints = 3;
constexpr std::uint32_t kSlots = 6;
constexpr Duration kServiceTime = 40ms;
constexpr Duration kSlownessInterval = 600ms;
constexpr Duration kReportInterval = 1s;
constexpr Duration kRunTime = 20s;

EndpointId IdOf(std::size_t aEndpoint)
{
  return EndpointId{ "p" + std::to_string(aEndpoint) };
}

/* How daemons choose in a run. */
enum class Mode : std::uint8_t
{
  kOff,    ///< Endpoints state no slowness.
  kBestOf, ///< By the least expected time of all endpoints.
  kOn,     ///< By the decision as it is.
};

struct RunOptions
{
  Mode mode = Mode::kOn;
  double requestsPerSecond = 0.0;
  /* One endpoint is slower by this factor and does not state it. */
  double hiddenSlowness = 1.0;
  std::uint32_t seed = 1;
};

struct RunResult
{
  std::vector<double> times;      ///< To the answer, in milliseconds.
  double busiestShare = 0.0;      ///< Mean over 200 ms of the busiest endpoint's share of requests.
  double slowEndpointShare = 0.0; ///< Share of requests at the endpoint with hidden slowness.

  double Quantile(double aQuantile) const
  {
    return times[static_cast<std::size_t>(aQuantile * static_cast<double>(times.size() - 1))];
  }
};

struct SimEndpoint
{
  double slowness = 1.0; ///< Stated.
  double hidden = 1.0;
  std::uint32_t running = 0;
  std::deque<std::size_t> waiting; ///< Numbers of requests.
};

struct SimRequest
{
  TimePoint sentAt{};
  std::size_t daemon = 0;
  std::size_t endpoint = 0;
};

/* The endpoints, the requests in flight and the daemons' registries. */
class ChoiceWorld
{
public:
  explicit ChoiceWorld(const RunOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
    , mDaemons(kDaemons)
  {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      mDaemons[daemon].SetSampleSeed(mRandom());
      for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
        mDaemons[daemon].Apply(mNow,
                               { .id = IdOf(endpoint),
                                 .service = kService,
                                 .zone = ZoneId{ "z" + std::to_string(endpoint) },
                                 .address = "h:1",
                                 .slots = kSlots,
                                 .startedAtMs = 1 });
      }
    }
    mEndpoints[0].hidden = aOptions.hiddenSlowness;
  }

  RunResult Run()
  {
    std::exponential_distribution<double> gap(mOptions.requestsPerSecond);
    const TimePoint end = mNow + kRunTime;
    TimePoint nextRequestAt = mNow;
    while (mNow < end) {
      const TimePoint doneAt = mDone.empty() ? TimePoint::max() : mDone.top().first;
      mNow = std::min({ nextRequestAt, doneAt, mNextSlownessAt, mNextReportAt });
      if (mNow == doneAt) {
        Finish();
      } else if (mNow == mNextSlownessAt) {
        ChangeSlowness();
      } else if (mNow == mNextReportAt) {
        Report();
      } else {
        StartRequest();
        nextRequestAt += Duration{ static_cast<Duration::rep>(gap(mRandom) * 1e6) + 1 };
      }
    }
    std::sort(mResult.times.begin(), mResult.times.end());
    mResult.busiestShare /= std::max(mWindows, 1.0);
    mResult.slowEndpointShare /= static_cast<double>(mRequests.size());
    return mResult;
  }

private:
  static constexpr Duration kWindow = 200ms;

  void ChangeSlowness()
  {
    mNextSlownessAt += kSlownessInterval;
    for (SimEndpoint& endpoint : mEndpoints) {
      endpoint.slowness = mRandom() % 100 < 15 ? 2.5 : 1.0;
    }
  }

  /* All daemons learn the load and the slowness of all endpoints at the same time, which is when
   * they are most likely to turn to the same one. */
  void Report()
  {
    mNextReportAt += kReportInterval;
    for (RunnerRegistry& daemon : mDaemons) {
      for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
        TellLoad(daemon, endpoint);
      }
    }
  }

  void TellLoad(RunnerRegistry& aDaemon, std::size_t aEndpoint)
  {
    const EndpointLoad load = LoadOf(aEndpoint);
    aDaemon.RecordLoad(mNow, IdOf(aEndpoint), load);
    if (load.slowness) {
      aDaemon.RecordSlowness(
        mNow, { .endpoint = IdOf(aEndpoint), .startedAtMs = 1, .slowness = *load.slowness });
    }
  }

  EndpointLoad LoadOf(std::size_t aEndpoint) const
  {
    const SimEndpoint& endpoint = mEndpoints.at(aEndpoint);
    EndpointLoad load{ .running = endpoint.running,
                       .waiting = static_cast<std::uint32_t>(endpoint.waiting.size()),
                       .slots = kSlots };
    if (mOptions.mode != Mode::kOff) {
      load.slowness = Slowness{ endpoint.slowness };
    }
    return load;
  }

  std::size_t Choose(RunnerRegistry& aDaemon)
  {
    if (mOptions.mode == Mode::kBestOf) {
      std::size_t best = 0;
      double bestTime = 1e9;
      for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
        const KnownRunner& runner = *aDaemon.Find(IdOf(endpoint));
        const double ahead =
          std::max<double>(runner.load.running + runner.load.waiting, runner.inFlight);
        const double time = ExpectedTime({ .id = runner.entry.id,
                                           .requestsAhead = ahead,
                                           .slots = kSlots,
                                           .slowness = *aDaemon.SlownessOf(mNow, runner) });
        if (time < bestTime) {
          best = endpoint;
          bestTime = time;
        }
      }
      return best;
    }
    const auto chosen =
      aDaemon.Choose(mNow, { .service = kService, .zone = ZoneId{ "z9" }, .affinity = mRandom() });
    REQUIRE(chosen.has_value());
    std::size_t endpoint = 0;
    while (IdOf(endpoint) != *chosen) {
      ++endpoint;
    }
    return endpoint;
  }

  void StartRequest()
  {
    const std::size_t daemon = mRandom() % kDaemons;
    const std::size_t endpoint = Choose(mDaemons[daemon]);
    mDaemons[daemon].RecordRequestStart(IdOf(endpoint));
    mRequests.push_back({ .sentAt = mNow, .daemon = daemon, .endpoint = endpoint });
    mEndpoints[endpoint].waiting.push_back(mRequests.size() - 1);
    CountInWindow(endpoint);
    RunWaiting(endpoint);
  }

  void CountInWindow(std::size_t aEndpoint)
  {
    if (mNow >= mWindowEnd) {
      const double total = static_cast<double>(mWindow[0] + mWindow[1] + mWindow[2]);
      if (total > 0.0) {
        mResult.busiestShare += *std::max_element(mWindow.begin(), mWindow.end()) / total;
        mWindows += 1.0;
      }
      mWindow = {};
      mWindowEnd = mNow + kWindow;
    }
    ++mWindow.at(aEndpoint);
    mResult.slowEndpointShare += aEndpoint == 0 ? 1.0 : 0.0;
  }

  void RunWaiting(std::size_t aEndpoint)
  {
    SimEndpoint& endpoint = mEndpoints.at(aEndpoint);
    while (!endpoint.waiting.empty() && endpoint.running < kSlots) {
      std::uniform_real_distribution<double> spread(0.5, 1.5);
      const double time = static_cast<double>(kServiceTime.count()) * endpoint.slowness *
                          endpoint.hidden * spread(mRandom);
      ++endpoint.running;
      mDone.emplace(mNow + Duration{ static_cast<Duration::rep>(time) }, endpoint.waiting.front());
      endpoint.waiting.pop_front();
    }
  }

  void Finish()
  {
    const SimRequest request = mRequests[mDone.top().second];
    mDone.pop();
    --mEndpoints.at(request.endpoint).running;
    RunWaiting(request.endpoint);
    const Duration time = mNow - request.sentAt;
    mResult.times.push_back(std::chrono::duration<double, std::milli>(time).count());
    RunnerRegistry& daemon = mDaemons[request.daemon];
    daemon.RecordRequestEnd(mNow, IdOf(request.endpoint), EndpointOutcome::kSucceeded);
    daemon.RecordAnswerTime(mNow,
                            { .endpoint = IdOf(request.endpoint),
                              .kind = "r",
                              .time = time,
                              .load = LoadOf(request.endpoint) });
  }

  RunOptions mOptions;
  std::mt19937 mRandom;
  TimePoint mNow{ 100s };
  std::vector<RunnerRegistry> mDaemons;
  std::array<SimEndpoint, kEndpoints> mEndpoints;
  std::vector<SimRequest> mRequests;
  std::priority_queue<std::pair<TimePoint, std::size_t>,
                      std::vector<std::pair<TimePoint, std::size_t>>,
                      std::greater<>>
    mDone;
  TimePoint mNextSlownessAt = mNow;
  TimePoint mNextReportAt = mNow;
  TimePoint mWindowEnd = mNow + kWindow;
  std::array<std::uint32_t, kEndpoints> mWindow{};
  double mWindows = 0.0;
  RunResult mResult;
};

/* Runs several seeds and returns all times, and the means of the shares. */
RunResult RunSeeds(RunOptions aOptions, std::uint32_t aSeeds)
{
  RunResult all;
  for (aOptions.seed = 1; aOptions.seed <= aSeeds; ++aOptions.seed) {
    const RunResult result = ChoiceWorld{ aOptions }.Run();
    all.times.insert(all.times.end(), result.times.begin(), result.times.end());
    all.busiestShare += result.busiestShare / aSeeds;
    all.slowEndpointShare += result.slowEndpointShare / aSeeds;
  }
  std::sort(all.times.begin(), all.times.end());
  return all;
}

void Print(const char* aName, const RunResult& aResult)
{
  std::printf("%-34s busiest of 3 in 200 ms %.2f, slow one %.2f; ms p50 %.0f p95 %.0f p99 %.0f\n",
              aName,
              aResult.busiestShare,
              aResult.slowEndpointShare,
              aResult.Quantile(0.5),
              aResult.Quantile(0.95),
              aResult.Quantile(0.99));
}

} // namespace

TEST_CASE("choice by slowness: 300 daemons with reports a second old spread over 3 endpoints")
{
  constexpr std::uint32_t kSeeds = 10;
  // The endpoints together answer 450 requests a second at usual speed. The lower rate is that of
  // deployment B.
  for (const double rate : { 77.0, 200.0 }) {
    RunOptions options{ .requestsPerSecond = rate };
    std::printf("%.0f requests a second:\n", rate);
    options.mode = Mode::kOff;
    const RunResult off = RunSeeds(options, kSeeds);
    Print("  off", off);
    options.mode = Mode::kBestOf;
    const RunResult best = RunSeeds(options, kSeeds);
    Print("  best of all by the same reports", best);
    options.mode = Mode::kOn;
    const RunResult on = RunSeeds(options, kSeeds);
    Print("  on", on);
    CHECK(on.busiestShare < best.busiestShare);
    CHECK(on.Quantile(0.95) <= off.Quantile(0.95));
    CHECK(on.Quantile(0.99) < best.Quantile(0.99));
  }
}

// An endpoint that is four times as slow and does not state it used to get as many requests as the
// others.
TEST_CASE("choice by slowness: an endpoint that is slow without stating it gets fewer requests")
{
  RunOptions options{ .requestsPerSecond = 200.0, .hiddenSlowness = 4.0 };
  options.mode = Mode::kOff;
  const RunResult off = RunSeeds(options, 5);
  Print("hidden slowness 4, off", off);
  options.mode = Mode::kOn;
  const RunResult on = RunSeeds(options, 5);
  Print("hidden slowness 4, on", on);
  CHECK(on.slowEndpointShare < 0.8 * off.slowEndpointShare);
  CHECK(on.Quantile(0.95) < 0.7 * off.Quantile(0.95));
}

// Elsewhere the choice must not change: no sample is drawn before an endpoint states a slowness.
TEST_CASE("choice by slowness: it begins with the first statement and ends with a new process")
{
  RunnerRegistry registry;
  const TimePoint now{ 100s };
  for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
    registry.Apply(now,
                   { .id = IdOf(endpoint),
                     .service = kService,
                     .address = "h:1",
                     .slots = kSlots,
                     .startedAtMs = 1 });
    registry.RecordRequestStart(IdOf(endpoint));
  }
  registry.RecordRequestStart(IdOf(0));
  registry.RecordRequestStart(IdOf(1));
  const auto countChosen = [&](std::size_t aEndpoint) {
    int count = 0;
    for (std::uint64_t affinity = 0; affinity < 300; ++affinity) {
      count +=
        registry.Choose(now, { .service = kService, .affinity = affinity }) == IdOf(aEndpoint);
    }
    return count;
  };
  CHECK(countChosen(2) == 300); // The least loaded one.
  CHECK_FALSE(registry.RecordSlowness(
    now, { .endpoint = IdOf(2), .startedAtMs = 2, .slowness = { 2.5 } })); // Another process.
  CHECK(countChosen(2) == 300);
  CHECK(
    registry.RecordSlowness(now, { .endpoint = IdOf(2), .startedAtMs = 1, .slowness = { 2.5 } }));
  CHECK(countChosen(2) == 0);
  CHECK(countChosen(0) > 50);
  CHECK(registry.SlownessOf(now, *registry.Find(IdOf(2)))->factor > 2.0);
  registry.Apply(
    now,
    { .id = IdOf(2), .service = kService, .address = "h:1", .slots = kSlots, .startedAtMs = 3 });
  CHECK(registry.SlownessOf(now, *registry.Find(IdOf(2)))->factor < 1.1);
}

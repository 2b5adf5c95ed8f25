/* The choice among endpoints that state their slowness: a seeded search in simulated time, with 300
 * daemons, 3 endpoints and reports that are up to a second old. Reports of the load alone make all
 * daemons turn to the same endpoint. */
#include "decision/fleet/runner_registry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdio>
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
constexpr double kServiceMs = 40.0;
constexpr Duration kRunTime = 20s;

EndpointId IdOf(std::size_t aEndpoint)
{
  return EndpointId{ "p" + std::to_string(aEndpoint) };
}

RunnerEntry EntryOf(std::size_t aEndpoint, std::int64_t aStartedAtMs = 1)
{
  return { .id = IdOf(aEndpoint),
           .service = kService,
           .address = "h:1",
           .slots = kSlots,
           .startedAtMs = aStartedAtMs };
}

struct RunOptions
{
  bool areStated = false; ///< Endpoints state their slowness.
  double requestsPerSecond = 0.0;
  double hiddenSlowness = 1.0; ///< Of the first endpoint, which does not state it.
};

struct RunResult
{
  std::vector<double> times;  ///< To the answer, in milliseconds.
  double busiestShare = 0.0;  ///< Of the requests in 200 ms, mean.
  double firstEndpoint = 0.0; ///< Share of the first endpoint.

  double Quantile(double aQuantile) const
  {
    return times[static_cast<std::size_t>(aQuantile * static_cast<double>(times.size() - 1))];
  }
};

struct SimEndpoint
{
  double slowness = 1.0;
  std::array<TimePoint, kSlots> slotFreeAt{};
  std::uint32_t inFlight = 0;
  std::uint32_t inWindow = 0;
};

struct SimRequest
{
  TimePoint endsAt{};
  TimePoint sentAt{};
  std::size_t daemon = 0;
  std::size_t endpoint = 0;
  bool operator<(const SimRequest& aOther) const { return endsAt > aOther.endsAt; }
};

void Simulate(const RunOptions& aOptions, std::uint32_t aSeed, RunResult& aResult)
{
  std::mt19937 random(aSeed);
  std::exponential_distribution<double> gap(aOptions.requestsPerSecond);
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  std::vector<RunnerRegistry> daemons(kDaemons);
  std::array<SimEndpoint, kEndpoints> endpoints;
  std::priority_queue<SimRequest> running;
  std::vector<double> shares;
  double first = 0.0;
  double requests = 0.0;
  const TimePoint start{ 100s };
  for (RunnerRegistry& daemon : daemons) {
    daemon.SetSampleSeed(random());
    for (std::size_t number = 0; number < kEndpoints; ++number) {
      daemon.Apply(start, EntryOf(number));
    }
  }
  const auto loadOf = [&](std::size_t aEndpoint) {
    const SimEndpoint& endpoint = endpoints.at(aEndpoint);
    EndpointLoad load{ .running = std::min(endpoint.inFlight, kSlots), .slots = kSlots };
    load.waiting = endpoint.inFlight - load.running;
    if (aOptions.areStated) {
      load.slowness = Slowness{ endpoint.slowness };
    }
    return load;
  };
  std::int64_t step = 0; // Of 200 ms.
  for (TimePoint now = start; now < start + kRunTime;
       now += Duration{ static_cast<Duration::rep>(gap(random) * 1e6) + 1 }) {
    for (; start + step * 200ms <= now; ++step) {
      const double total = endpoints[0].inWindow + endpoints[1].inWindow + endpoints[2].inWindow;
      double most = 0.0;
      for (SimEndpoint& endpoint : endpoints) {
        most = std::max<double>(most, std::exchange(endpoint.inWindow, 0));
        if (step % 3 == 0) {
          endpoint.slowness = random() % 100 < 15 ? 2.5 : 1.0;
        }
      }
      if (total > 0.0) {
        shares.push_back(most / total);
      }
      // All daemons get the same reports at once, when they are most likely to act alike.
      for (std::size_t report = 0; step % 5 == 0 && report < kDaemons * kEndpoints; ++report) {
        const std::size_t number = report % kEndpoints;
        const EndpointLoad load = loadOf(number);
        RunnerRegistry& daemon = daemons[report / kEndpoints];
        daemon.RecordLoad(now, IdOf(number), load);
        if (load.slowness) {
          daemon.RecordSlowness(
            now, { .endpoint = IdOf(number), .startedAtMs = 1, .slowness = *load.slowness });
        }
      }
    }
    for (; !running.empty() && running.top().endsAt <= now; running.pop()) {
      const SimRequest& ended = running.top();
      --endpoints.at(ended.endpoint).inFlight;
      RunnerRegistry& daemon = daemons[ended.daemon];
      daemon.RecordRequestEnd(ended.endsAt, IdOf(ended.endpoint), EndpointOutcome::kSucceeded);
      daemon.RecordAnswerTime(ended.endsAt,
                              { .endpoint = IdOf(ended.endpoint),
                                .kind = "r",
                                .time = ended.endsAt - ended.sentAt,
                                .load = loadOf(ended.endpoint) });
      aResult.times.push_back(
        std::chrono::duration<double, std::milli>(ended.endsAt - ended.sentAt).count());
    }
    const std::size_t daemon = random() % kDaemons;
    const auto chosen = daemons[daemon].Choose(now, { .service = kService, .affinity = random() });
    std::size_t number = 0;
    while (IdOf(number) != chosen.value()) {
      ++number;
    }
    daemons[daemon].RecordRequestStart(*chosen);
    SimEndpoint& endpoint = endpoints.at(number);
    ++endpoint.inFlight;
    ++endpoint.inWindow;
    const double ms = kServiceMs * spread(random) * endpoint.slowness *
                      (number == 0 ? aOptions.hiddenSlowness : 1.0);
    TimePoint& slot = *std::min_element(endpoint.slotFreeAt.begin(), endpoint.slotFreeAt.end());
    slot = std::max(slot, now) + Duration{ static_cast<Duration::rep>(ms * 1e3) };
    running.push({ .endsAt = slot, .sentAt = now, .daemon = daemon, .endpoint = number });
    first += number == 0 ? 1.0 : 0.0;
    requests += 1.0;
  }
  for (const double share : shares) {
    aResult.busiestShare += share / static_cast<double>(shares.size());
  }
  aResult.firstEndpoint += first / requests;
}

RunResult Search(const RunOptions& aOptions)
{
  constexpr std::uint32_t kSeeds = 10;
  RunResult result;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    Simulate(aOptions, seed, result);
  }
  std::sort(result.times.begin(), result.times.end());
  result.busiestShare /= kSeeds;
  result.firstEndpoint /= kSeeds;
  std::printf(
    "choice at %.0f requests a second, one endpoint %.0f times as slow, %-3s: busiest of 3 "
    "%.2f, first %.2f, ms p50 %.0f p95 %.0f p99 %.0f\n",
    aOptions.requestsPerSecond,
    aOptions.hiddenSlowness,
    aOptions.areStated ? "on" : "off",
    result.busiestShare,
    result.firstEndpoint,
    result.Quantile(0.5),
    result.Quantile(0.95),
    result.Quantile(0.99));
  return result;
}

} // namespace

// The endpoints together answer 450 requests a second at usual speed. The lower rate is that of
// deployment B.
TEST_CASE("choice by slowness: 300 daemons with reports a second old spread over 3 endpoints")
{
  for (const double rate : { 77.0, 200.0 }) {
    const RunResult off = Search({ .areStated = false, .requestsPerSecond = rate });
    const RunResult on = Search({ .areStated = true, .requestsPerSecond = rate });
    CHECK(on.busiestShare < off.busiestShare);
    CHECK(on.Quantile(0.95) < off.Quantile(0.95));
  }
}

// An endpoint that is slow without stating it was told from the others by its queue alone.
TEST_CASE("choice by slowness: an endpoint that is slow without stating it gets fewer requests")
{
  const RunOptions options{ .requestsPerSecond = 200.0, .hiddenSlowness = 4.0 };
  const RunResult off = Search(options);
  const RunResult on =
    Search({ .areStated = true, .requestsPerSecond = 200.0, .hiddenSlowness = 4.0 });
  CHECK(on.firstEndpoint < 0.8 * off.firstEndpoint);
  CHECK(on.Quantile(0.95) < 0.7 * off.Quantile(0.95));
}

// Elsewhere the choice must not change: no sample is drawn before an endpoint states a slowness.
TEST_CASE("choice by slowness: it begins with the first statement and ends with a new process")
{
  RunnerRegistry registry;
  const TimePoint now{ 100s };
  for (const std::size_t request : { 0, 0, 1, 1, 2 }) {
    registry.Apply(now, EntryOf(request));
    registry.RecordRequestStart(IdOf(request));
  }
  const auto countChosen = [&](std::size_t aEndpoint) {
    int count = 0;
    for (std::uint64_t affinity = 0; affinity < 300; ++affinity) {
      count +=
        registry.Choose(now, { .service = kService, .affinity = affinity }) == IdOf(aEndpoint);
    }
    return count;
  };
  CHECK(countChosen(2) == 300); // The least loaded one.
  SlownessStatement statement{ .endpoint = IdOf(2), .startedAtMs = 2, .slowness = { 2.5 } };
  CHECK_FALSE(registry.RecordSlowness(now, statement)); // Of another process.
  CHECK(countChosen(2) == 300);
  statement.startedAtMs = 1;
  CHECK(registry.RecordSlowness(now, statement));
  CHECK(countChosen(2) == 0);
  CHECK(countChosen(0) > 50);
  registry.Apply(now, EntryOf(2, 3));
  CHECK(registry.SlownessOf(now, *registry.Find(IdOf(2)))->factor < 1.1);
}

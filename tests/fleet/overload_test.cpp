/* What the dispatcher does while demand exceeds capacity, in simulated time. Each load is run with
 * the decision and without accounts, where requests are tried by priority and arrival. */
#include "decision/fleet/dispatch_estimate.h"
#include "tests/fleet/fleet_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <set>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;
using namespace rhubarbtrail::fleet::test;

namespace {

/* Tokens of a request of FleetWorld. */
constexpr double kRequestTokens = 1'170.0;

struct AccountLoad
{
  std::string name;
  double usualRate = 1.0; ///< Requests per second, on which the quota is based.
  double factor = 1.0;    ///< By which it sends more in the second half.
  std::uint32_t priority = 1;
};

struct Served
{
  double burst = 0.0; ///< Part of the requests of the second half that were served.
  double burstCount = 0.0;
};

/* Requests of the second half that both runners can serve at the most: they run for 1.5 s each, and
 * the last ones start 6 s after its end. */
constexpr double kMostServed = 2 * 4 * (30.0 + 6.0) / 1.5;

std::vector<ClientAccount> AccountsOf(const std::vector<AccountLoad>& aLoads)
{
  std::vector<ClientAccount> accounts;
  for (const AccountLoad& load : aLoads) {
    accounts.push_back({ .id = ClientAccountId{ load.name },
                         .quota = { .unit = QuotaUnit::kTokens,
                                    .perSecond = 1.8 * load.usualRate * kRequestTokens } });
  }
  return accounts;
}

/* Runs 60 s of random arrivals at two runners with four slots each, which serve 5.3 requests a
 * second, and returns what each account got. */
std::map<std::string, Served> RunAccounts(const std::vector<AccountLoad>& aLoads,
                                          bool aIsFair,
                                          std::uint32_t aSeed)
{
  FleetWorld world({ .runners = 2,
                     .models = 2,
                     .modelsPerRunner = 2,
                     .slots = 4,
                     .seed = aSeed,
                     .accounts = aIsFair ? AccountsOf(aLoads) : std::vector<ClientAccount>{} });
  const TimePoint start = world.now;
  std::map<std::string, std::vector<std::uint64_t>> sent;
  std::uniform_real_distribution<double> uniform{ 0.0, 1.0 };
  while (world.now < start + 60s) {
    for (const AccountLoad& load : aLoads) {
      const double factor = world.now < start + 30s ? 1.0 : load.factor;
      if (uniform(world.random) < load.usualRate * factor * 0.01) {
        const auto setAccount = [&](PlacementRequest& aRequest) {
          aRequest.account = ClientAccountId{ load.name };
        };
        const std::string model = uniform(world.random) < 0.5 ? "m0" : "m1";
        sent[load.name].push_back(world.SendRequest(model, {}, load.priority, 6s, setAccount));
      }
    }
    world.Run(10ms);
  }
  world.Run(8s);
  std::map<std::string, Served> result;
  for (const auto& [name, numbers] : sent) {
    double served = 0.0;
    double all = 0.0;
    for (const std::uint64_t number : numbers) {
      const SimOutcome& outcome = world.outcomes[number];
      if (outcome.requestedAt >= start + 30s) {
        served += outcome.startedAt ? 1.0 : 0.0;
        all += 1.0;
      }
    }
    result[name] = { .burst = served / std::max(all, 1.0), .burstCount = served };
  }
  return result;
}

} // namespace

// By priority and arrival, the account that sends seven times its usual traffic took slots from the
// others in proportion. The upper bound for the others is all that they send.
TEST_CASE("load: an account that sends seven times its traffic takes nothing from the others")
{
  for (const std::string& burster : { std::string{ "large" }, std::string{ "small1" } }) {
    for (const std::uint32_t seed : { 1U, 2U, 3U }) {
      CAPTURE(burster);
      CAPTURE(seed);
      std::vector<AccountLoad> loads{ { .name = "large", .usualRate = 2.0 },
                                      { .name = "small1", .usualRate = 0.8 },
                                      { .name = "small2", .usualRate = 0.8 },
                                      { .name = "small3", .usualRate = 0.2 } };
      for (AccountLoad& load : loads) {
        load.factor = load.name == burster ? 7.0 : 1.0;
      }
      const auto fair = RunAccounts(loads, true, seed);
      const auto byArrival = RunAccounts(loads, false, seed);
      double count = 0.0;
      for (const AccountLoad& load : loads) {
        MESSAGE(burster << " sends 7 times, " << load.name << " is served "
                        << fair.at(load.name).burst << ", by arrival "
                        << byArrival.at(load.name).burst);
        if (load.name != burster) {
          CHECK(fair.at(load.name).burst >= 0.97);
        }
        count += fair.at(load.name).burstCount;
      }
      MESSAGE("served in all " << count << " of " << kMostServed << " at the most");
      CHECK(count >= 0.8 * kMostServed);
    }
  }
}

// Strict priority gave a less urgent account no slot while the more urgent ones filled them all.
TEST_CASE("load: no account is starved by more urgent ones")
{
  const std::vector<AccountLoad> loads{ { .name = "urgent", .usualRate = 8.0, .priority = 0 },
                                        { .name = "other", .usualRate = 1.0, .priority = 3 } };
  const auto fair = RunAccounts(loads, true, 1);
  const auto byArrival = RunAccounts(loads, false, 1);
  MESSAGE("urgent " << fair.at("urgent").burst << ", other " << fair.at("other").burst
                    << ", strict priority " << byArrival.at("urgent").burst << " and "
                    << byArrival.at("other").burst);
  CHECK(fair.at("other").burst > 0.25 * fair.at("urgent").burst);
  CHECK(fair.at("other").burst < fair.at("urgent").burst);
}

// Between full rounds, a new request took a slot that had just become free before the requests that
// had waited for it. A request that its client repeats gained by this, too.
TEST_CASE("load: a new request takes no slot for which others have waited")
{
  FleetWorld world({ .runners = 1,
                     .models = 1,
                     .modelsPerRunner = 1,
                     .slots = 2,
                     .accounts = { { .id = ClientAccountId{ "a" } } } });
  const auto setAccount = [](PlacementRequest& aRequest) {
    aRequest.account = ClientAccountId{ "a" };
  };
  for (int count = 0; count < 120; ++count) {
    world.SendRequest("m0", {}, 1, 60s, setAccount);
  }
  for (int step = 0; step < 600; ++step) {
    if (step % 5 == 0) {
      world.SendRequest("m0", {}, 1, 60s, setAccount);
    }
    world.Run(10ms);
  }
  std::uint64_t last = 0;
  for (const auto& [number, outcome] : world.outcomes) {
    last = outcome.startedAt ? number : last;
  }
  CHECK(last == world.CountServed());
}

namespace {

struct Burst
{
  std::size_t served = 0;
  std::size_t refused = 0;
  Duration longestRefusedWait{}; ///< From the arrival of a request to its refusal.
  Duration refusedWaits{};       ///< Of all refused requests together.
  std::size_t refusedWhileHalfFree = 0;
  std::set<Duration> retryTimes;
};

/* Sends requests of random accounts at this rate for 20 s to one runner with 8 slots, which serves
 * 5.3 a second. */
Burst RunBurst(double aRate, bool aIsEnabled, std::uint32_t aSeed)
{
  std::vector<ClientAccount> accounts;
  for (const char* name : { "a", "b", "c", "d" }) {
    accounts.push_back({ .id = ClientAccountId{ name } });
  }
  FleetWorld world({ .runners = 1,
                     .models = 2,
                     .modelsPerRunner = 2,
                     .slots = 8,
                     .seed = aSeed,
                     .accounts = aIsEnabled ? accounts : std::vector<ClientAccount>{} });
  std::uniform_real_distribution<double> uniform{ 0.0, 1.0 };
  Burst result;
  for (int step = 0; step < 2'600; ++step) {
    if (step < 2'000 && uniform(world.random) < aRate * 0.01) {
      const auto index = static_cast<std::size_t>(uniform(world.random) * 4.0);
      world.SendRequest(step % 2 == 0 ? "m0" : "m1", {}, 1, 5s, [&](PlacementRequest& aRequest) {
        aRequest.account = accounts[index].id;
      });
    }
    const std::size_t refusedBefore = world.CountRefused();
    world.Run(10ms);
    if (world.CountRefused() > refusedBefore && world.runners[0].runningRequests.size() < 4) {
      ++result.refusedWhileHalfFree;
    }
  }
  result.served = world.CountServed();
  result.refused = world.CountRefused();
  for (const auto& [number, outcome] : world.outcomes) {
    if (outcome.isRefused) {
      const Duration wait = outcome.endedAt - outcome.requestedAt;
      result.longestRefusedWait = std::max(result.longestRefusedWait, wait);
      result.refusedWaits += wait;
      result.retryTimes.insert(outcome.retryAfter.value_or(Duration::zero()));
    }
  }
  return result;
}

} // namespace

// Each request that got no slot waited until its deadline, 5 s here, before it was refused.
TEST_CASE("load: a request that gets no slot before its deadline is refused on arrival")
{
  for (const std::uint32_t seed : { 1U, 2U, 3U }) {
    CAPTURE(seed);
    const Burst on = RunBurst(20.0, true, seed);
    const Burst off = RunBurst(20.0, false, seed);
    MESSAGE("served " << on.served << ", refused " << on.refused << " after "
                      << ToSeconds(on.refusedWaits) / static_cast<double>(on.refused)
                      << " s on average, at most " << ToSeconds(on.longestRefusedWait)
                      << " s; without the decision " << off.served << ", " << off.refused << ", "
                      << ToSeconds(off.refusedWaits) / static_cast<double>(off.refused) << " s, "
                      << ToSeconds(off.longestRefusedWait) << " s");
    CHECK(2.0 * ToSeconds(on.refusedWaits) / static_cast<double>(on.refused) <
          ToSeconds(off.refusedWaits) / static_cast<double>(off.refused));
    CHECK(static_cast<double>(on.served) >= 0.97 * static_cast<double>(off.served));
    CHECK(on.refusedWhileHalfFree == 0);
  }
}

// With one retry time for all, those refused together came back together and were refused again.
TEST_CASE("load: clients refused together are told different times to come back")
{
  const Burst on = RunBurst(60.0, true, 1);
  MESSAGE(on.refused << " refused with " << on.retryTimes.size() << " retry times from "
                     << ToSeconds(*on.retryTimes.begin()) << " to "
                     << ToSeconds(*on.retryTimes.rbegin()) << " s");
  CHECK(2 * on.retryTimes.size() > on.refused);
}

// A refused client comes back once only, so a refusal without need is worse than a wait.
TEST_CASE("load: nothing is refused while the runners can serve all")
{
  for (const std::uint32_t seed : { 1U, 2U, 3U }) {
    CHECK(RunBurst(4.8, true, seed).refused <= RunBurst(4.8, false, seed).refused);
  }
}

TEST_CASE("a runner with under half of its slots taken gives no forecast")
{
  const FullRunner full{ .slots = 12, .inFlight = 12, .holdTime = 6s };
  const auto forecast = ForecastSlot({ full, full }, 7.0);
  REQUIRE(forecast);
  CHECK(forecast->wait == 2s);
  CHECK(forecast->interval == 250ms);
  CHECK_FALSE(ForecastSlot({ full, { .slots = 12, .inFlight = 5, .holdTime = 6s } }, 7.0));
  CHECK_FALSE(ForecastSlot({ full, { .slots = 12, .inFlight = 12 } }, 7.0));
  CHECK_FALSE(ForecastSlot({}, 7.0));
  CHECK(IsTooLongToWait(*forecast, 1'400ms, false));
  CHECK_FALSE(IsTooLongToWait(*forecast, 1'400ms, true));
}

namespace {

struct RareLoad
{
  double hotRate = 12.0; ///< Requests a second for models in constant use.
  double rareRate = 2.0; ///< For all other models together.
  double burstFactor = 4.0;
  std::uint32_t seed = 1;
};

struct RareResult
{
  double rareValue = 0.0; ///< Of requests for rare models, a late answer counted as 0.22.
  double hotValue = 0.0;
  double rare = 0.0;
  double hot = 0.0;
  double bound = 0.0; ///< Of the value for rare models, for who knows all requests in advance.
};

/* Returns what the loads of the day can serve at the most, by the times of the requests for each
 * rare model. The models in constant use need eight of the sixteen places. In each of the others, a
 * load and the requests after it take 3.1 s, and one load serves the requests of 5 s in time. */
double BoundOf(const std::map<std::string, std::vector<TimePoint>>& aArrivals)
{
  std::vector<double> counts;
  for (const auto& [model, times] : aArrivals) {
    TimePoint end{};
    for (const TimePoint time : times) {
      if (time >= end) {
        end = time + 5s;
        counts.push_back(0.0);
      }
      counts.back() += 1.0;
    }
  }
  std::sort(counts.begin(), counts.end(), std::greater<>{});
  counts.resize(std::min<std::size_t>(counts.size(), static_cast<std::size_t>(8 * 60.0 / 3.1)));
  return std::accumulate(counts.begin(), counts.end(), 0.0);
}

/* Runs 60 s with a burst of requests for rare models in the middle at 8 runners with two models
 * each, of 60 models. Those in constant use fill half of the places. */
RareResult RunRare(const RareLoad& aLoad, bool aIsEnabled)
{
  FleetWorld world({ .runners = 8,
                     .models = 60,
                     .modelsPerRunner = 2,
                     .slots = 12,
                     .diskLoadTime = 1'600ms,
                     .seed = aLoad.seed,
                     .accounts = aIsEnabled
                                   ? std::vector<ClientAccount>{ { .id = ClientAccountId{ "a" } } }
                                   : std::vector<ClientAccount>{} });
  const TimePoint start = world.now;
  std::uniform_real_distribution<double> uniform{ 0.0, 1.0 };
  std::map<std::uint64_t, bool> isRare;
  const auto send = [&](bool aIsRare) {
    const double model = aIsRare ? 8.0 + 52.0 * uniform(world.random) : 8.0 * uniform(world.random);
    isRare[world.SendRequest("m" + std::to_string(static_cast<int>(model)),
                             {},
                             aIsRare ? 1 : 0,
                             aIsRare ? 20s : 12s,
                             [&](PlacementRequest& aRequest) {
                               aRequest.account = ClientAccountId{ "a" };
                               aRequest.latencyObjective = aIsRare ? 5s : 500ms;
                             })] = aIsRare;
  };
  while (world.now < start + 60s) {
    const bool isBurst = world.now > start + 20s && world.now < start + 40s;
    if (uniform(world.random) < aLoad.hotRate * 0.01) {
      send(false);
    }
    if (uniform(world.random) < aLoad.rareRate * (isBurst ? aLoad.burstFactor : 1.0) * 0.01) {
      send(true);
    }
    world.Run(10ms);
  }
  world.Run(21s);
  RareResult result;
  std::map<std::string, std::vector<TimePoint>> rareArrivals;
  for (const auto& [number, outcome] : world.outcomes) {
    const bool isRareOne = isRare[number];
    const Duration objective = isRareOne ? Duration{ 5s } : Duration{ 500ms };
    double value = 0.0;
    if (outcome.startedAt) {
      value = *outcome.startedAt - outcome.requestedAt <= objective ? 1.0 : 0.22;
    }
    (isRareOne ? result.rareValue : result.hotValue) += value;
    (isRareOne ? result.rare : result.hot) += 1.0;
    if (isRareOne) {
      rareArrivals[outcome.model].push_back(outcome.requestedAt);
    }
  }
  result.bound = BoundOf(rareArrivals);
  return result;
}

} // namespace

// Among models with equally many waiting requests, the first in the order of their names was loaded
// first. Those with late names, and requests that would soon be late, came last again and again.
TEST_CASE(
  "load: loads in the order of their worth serve more than in the order of waiting requests")
{
  RareResult on;
  RareResult off;
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    for (const bool isOn : { true, false }) {
      const RareResult result = RunRare({ .burstFactor = 10.0, .seed = seed }, isOn);
      RareResult& sum = isOn ? on : off;
      sum.rareValue += result.rareValue;
      sum.hotValue += result.hotValue;
      sum.rare += result.rare;
      sum.hot += result.hot;
      sum.bound += result.bound;
    }
  }
  MESSAGE("rare " << on.rareValue << ", by count " << off.rareValue << ", at most " << on.bound
                  << " of " << on.rare << "; in constant use " << on.hotValue << ", by count "
                  << off.hotValue << " of " << on.hot);
  CHECK(on.rareValue + on.hotValue > 1.01 * (off.rareValue + off.hotValue));
}

TEST_CASE("a load that serves as many goes first if it has a more urgent or a sooner lost request")
{
  const TimePoint now{ 100s };
  const WaitingWork soon{ .priority = 1, .latestInTime = now + 3s, .deadline = now + 20s };
  const WaitingWork later{ .priority = 1, .latestInTime = now + 5s, .deadline = now + 20s };
  const WaitingWork urgent{ .priority = 0, .latestInTime = now + 5s, .deadline = now + 20s };
  const auto worth = [&](const std::vector<WaitingWork>& aWaiting) {
    return WorthOfLoad(aWaiting, now + 2s);
  };
  CHECK(GoesBefore(worth({ soon }), worth({ later })));
  CHECK(GoesBefore(worth({ urgent }), worth({ soon })));
  CHECK(GoesBefore(worth({ later, later }), worth({ urgent })));
  // A late answer is worth less, and one after the deadline nothing.
  CHECK(GoesBefore(WorthOfLoad({ later }, now + 4s), WorthOfLoad({ soon, soon }, now + 4s)));
  CHECK(WorthOfLoad({ soon, later }, now + 20s).value == 0.0);
}

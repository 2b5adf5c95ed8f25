/* What the dispatcher does while demand exceeds capacity, in simulated time. Each load is run with
 * the decision and without accounts, where requests are tried by priority and arrival. */
#include "tests/fleet/fleet_world.h"

#include <doctest/doctest.h>

#include <algorithm>

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
  double usual = 0.0; ///< Part of the requests of the first half that were served.
  double burst = 0.0; ///< Of those of the second half.
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
    std::map<bool, std::pair<double, double>> halves;
    for (const std::uint64_t number : numbers) {
      const SimOutcome& outcome = world.outcomes[number];
      auto& [served, all] = halves[outcome.requestedAt >= start + 30s];
      served += outcome.startedAt ? 1.0 : 0.0;
      all += 1.0;
    }
    result[name] = { .usual = halves[false].first / std::max(halves[false].second, 1.0),
                     .burst = halves[true].first / std::max(halves[true].second, 1.0),
                     .burstCount = halves[true].first };
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

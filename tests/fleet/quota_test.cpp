/* Quotas of client accounts: the bucket that counts what is given back, the dispatcher's ledger and
 * a daemon's share. A fault here lets an account exceed its quota, or refuses its requests below
 * it. */
#include "decision/fleet/quota_ledger.h"
#include "decision/fleet/quota_share.h"

#include <doctest/doctest.h>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

constexpr TimePoint kStart{ 100s };
const ClientAccountId kAccount{ "large" };
const DaemonId kDaemon{ "d1" };
const DaemonId kOther{ "d2" };

std::shared_ptr<const ClientAccounts> Accounts(double aPerSecond)
{
  auto accounts = std::make_shared<ClientAccounts>();
  accounts->byId[kAccount] = {
    .id = kAccount,
    .priority = {},
    .quota = { .unit = QuotaUnit::kTokens, .perSecond = aPerSecond, .burst = aPerSecond }
  };
  return accounts;
}

PlacementRequest Request(const DaemonId& aDaemon, std::uint64_t aNumber, double aCost)
{
  PlacementRequest request;
  request.id = { .daemon = aDaemon, .number = aNumber };
  request.account = kAccount;
  request.quotaCost = aCost;
  return request;
}

/* A ledger whose bucket has been refilled for a second: its level is 10,000 or more. */
QuotaLedger FilledLedger()
{
  QuotaLedger ledger;
  ledger.Start(kStart - 1s, kDaemon);
  ledger.SetQuotas(kStart - 1s, Accounts(10'000.0), {});
  for (TimePoint time = kStart - 1s; time <= kStart; time += 100ms) {
    ledger.Tick(time);
  }
  return ledger;
}

double Level(const QuotaLedger& aLedger)
{
  return aLedger.View(kStart).front().level;
}

} // namespace

TEST_CASE("quota bucket: what a full bucket could not have kept is not given back")
{
  QuotaBucket bucket;
  bucket.SetLimits(kStart, 100.0, 100.0);
  bucket.Add(100.0);
  bucket.Take(kStart, 80.0);
  for (int step = 1; step <= 4; ++step) {
    bucket.Refill(kStart + step * 175ms); // The level rises to 90.
  }
  bucket.Take(kStart + 700ms, 50.0);
  bucket.GiveBack(kStart + 700ms, 80.0, kStart);
  CHECK(bucket.level() == doctest::Approx(50.0)); // 40 and the 10 that were lacking at 700 ms.
}

TEST_CASE("quota bucket: nothing is added for a time in which the process did not run")
{
  QuotaBucket bucket;
  bucket.SetLimits(kStart, 100.0, 100.0);
  bucket.Refill(kStart + 10s);
  CHECK(bucket.level() == 0.0);
  bucket.Refill(kStart + 10'200ms);
  CHECK(bucket.level() == doctest::Approx(20.0));
}

TEST_CASE("quota ledger: a request is counted once, and given back if it has not run")
{
  QuotaLedger ledger = FilledLedger();
  const double before = Level(ledger);
  CHECK_FALSE(ledger.Charge(kStart, Request(kDaemon, 1, 500.0)));
  CHECK_FALSE(ledger.Charge(kStart, Request(kDaemon, 1, 500.0)));
  CHECK(Level(ledger) == doctest::Approx(before - 500.0));
  ledger.End(kStart, { .daemon = kDaemon, .number = 1 }, false);
  ledger.End(kStart, { .daemon = kDaemon, .number = 1 }, false);
  CHECK(Level(ledger) == doctest::Approx(before));
  CHECK_FALSE(ledger.Charge(kStart, Request(kDaemon, 2, 500.0)));
  ledger.End(kStart, { .daemon = kDaemon, .number = 2 }, true);
  CHECK(Level(ledger) == doctest::Approx(before - 500.0));
}

TEST_CASE("quota ledger: a request over the limit is told when there is room")
{
  QuotaLedger ledger = FilledLedger();
  std::uint64_t number = 0;
  while (!ledger.Charge(kStart, Request(kDaemon, ++number, 1'000.0))) {
  }
  const auto exceeded = ledger.Charge(kStart, Request(kDaemon, ++number, 1'000.0));
  REQUIRE(exceeded);
  CHECK(exceeded->retryAfter > Duration::zero());
  CHECK(exceeded->retryAfter < 100ms);
  ledger.Tick(kStart + exceeded->retryAfter);
  CHECK_FALSE(ledger.Charge(kStart + exceeded->retryAfter, Request(kDaemon, ++number, 1'000.0)));
}

TEST_CASE("quota ledger: what a silent daemon may spend is withheld until its process ends")
{
  QuotaLedger ledger = FilledLedger();
  CHECK_FALSE(ledger.Charge(kStart, Request(kDaemon, 1, 3'000.0)));
  CHECK_FALSE(ledger.Charge(kStart, Request(kOther, 1, 1'000.0)));
  ledger.OnDaemonSilent(kStart, kDaemon);
  CHECK(ledger.View(kStart).front().withheld == doctest::Approx(0.75));
  ledger.OnDaemonHeard(kStart, kDaemon);
  CHECK(ledger.View(kStart).front().withheld == 0.0);
  ledger.OnDaemonSilent(kStart, kDaemon);
  ledger.OnDaemonEnded(kStart, kDaemon);
  CHECK(ledger.View(kStart).front().withheld == 0.0);
}

TEST_CASE("quota share: a request waits for a grant, and following ones use what is in advance")
{
  QuotaLedger ledger = FilledLedger();
  QuotaShare share;
  share.SetQuotas(kStart, Accounts(10'000.0), {});
  share.OnDispatcherFound(kStart);
  CHECK(std::holds_alternative<QuotaUndecided>(share.Take(kStart, 1, kAccount, 300.0)));
  const auto report = share.TakeReport(kStart);
  REQUIRE(report);
  CHECK_FALSE(share.TakeReport(kStart)); // Not asked twice.
  const auto decided = share.OnReply(kStart, ledger.OnReport(kStart, kDaemon, *report));
  REQUIRE(decided.size() == 1);
  CHECK(std::holds_alternative<QuotaAdmitted>(decided.front().decision));
  CHECK(std::holds_alternative<QuotaAdmitted>(share.Take(kStart, 2, kAccount, 50.0)));
}

TEST_CASE("quota share: an account without a limit costs no message")
{
  QuotaShare share;
  share.SetQuotas(kStart, Accounts(0.0), {});
  share.OnDispatcherFound(kStart);
  CHECK(std::holds_alternative<QuotaAdmitted>(share.Take(kStart, 1, kAccount, 300.0)));
  CHECK(share.Cost(kAccount, 300, true) == 0.0);
  CHECK_FALSE(share.TakeReport(kStart + 5s));
  QuotaShare withoutAccounts;
  withoutAccounts.OnDispatcherFound(kStart);
  CHECK(std::holds_alternative<QuotaAdmitted>(withoutAccounts.Take(kStart, 1, kAccount, 1.0)));
  CHECK_FALSE(withoutAccounts.TakeReport(kStart + 5s));
}

TEST_CASE("quota share: without a dispatcher a daemon goes on at its part of the recent use")
{
  QuotaShare share;
  share.SetQuotas(kStart, Accounts(10'000.0), {});
  share.OnDispatcherFound(kStart);
  share.RecordCharged(kStart, kAccount, 4'000.0); // 500 a second; the fleet uses 1,000.
  share.OnStatements(kStart, { { .account = kAccount, .usePerSecond = 1'000.0, .level = 0.0 } });
  share.OnDispatcherLost(kStart, false);
  double admitted = 0.0;
  for (TimePoint time = kStart; time < kStart + 8s; time += 5ms) {
    const QuotaDecision decision = share.Take(time, 1, kAccount, 50.0);
    admitted += std::holds_alternative<QuotaAdmitted>(decision) ? 50.0 : 0.0;
  }
  const QuotaBudget budget = BudgetOf(Accounts(10'000.0)->Find(kAccount)->quota, {});
  CHECK(admitted > 8 * budget.rate / 2 * 0.95);
  CHECK(admitted < 8 * budget.rate / 2 + budget.saved * 1.1);
}

TEST_CASE("quota share: a daemon that has never found a dispatcher admits nothing by itself")
{
  QuotaShare share;
  share.SetQuotas(kStart, Accounts(10'000.0), {});
  CHECK(std::holds_alternative<QuotaExceeded>(share.Take(kStart + 1s, 1, kAccount, 10.0)));
}

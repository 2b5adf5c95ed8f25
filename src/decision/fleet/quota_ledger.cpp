/* The dispatcher's side of the accounts' quotas. */
#include "decision/fleet/quota_ledger.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* How long the part of a silent daemon is withheld from the others. Longer partitions may exceed
 * the limit; a shorter time would refuse too little during usual ones. The part of a daemon whose
 * process is known to have ended is not withheld. */
constexpr Duration kWithholdTime = 12s;
/* Part of the grants that one daemon may get for requests that are expected soon, before it is
 * divided among all daemons with recent use of the account. */
constexpr double kAdvanceRatio = 0.5;
/* Time for which a silent daemon may have spent its part while the others had it too: until it was
 * found silent, and from when it is heard until it has found the dispatcher. */
constexpr double kOverlapS = 0.7;
constexpr Duration kSweepInterval = 100ms;
/* Recent use, per second, below which an account counts as unused. */
constexpr double kMinUse = 1e-3;

} // namespace

QuotaLedger::Account* QuotaLedger::Find(const ClientAccountId& aAccount)
{
  const auto found = mLimited.find(aAccount);
  return found == mLimited.end() ? nullptr : &found->second;
}

void QuotaLedger::SetQuotas(TimePoint aNow,
                            std::shared_ptr<const ClientAccounts> aAccounts,
                            const QuotaRules& aRules)
{
  mAccounts = std::move(aAccounts);
  mRules = aRules;
  std::erase_if(mLimited, [&](const auto& aItem) {
    const ClientAccount* account = mAccounts ? mAccounts->Find(aItem.first) : nullptr;
    return account == nullptr || !account->quota.IsLimited();
  });
  if (!mAccounts) {
    return;
  }
  for (const auto& [id, account] : mAccounts->byId) {
    if (!account.quota.IsLimited()) {
      continue;
    }
    const auto [limited, isNew] = mLimited.try_emplace(id);
    limited->second.quota = account.quota;
    limited->second.budget = BudgetOf(account.quota, mRules);
    ApplyLimits(aNow, limited->second);
    if (isNew) {
      limited->second.bucket.Add(limited->second.budget.initial);
    }
  }
}

void QuotaLedger::Start(TimePoint aNow, const DaemonId& aSelf)
{
  mSelf = aSelf;
  mLimited.clear();
  mCharged.clear();
  mDaemons.clear();
  mStartedAt = aNow;
  SetQuotas(aNow, mAccounts, mRules);
}

double QuotaLedger::WithheldShare(TimePoint aNow, const Account& aAccount) const
{
  double share = 0.0;
  for (const auto& [id, daemon] : aAccount.daemons) {
    share += daemon.withheld;
  }
  if (aAccount.hadUse && aNow - mStartedAt < kWithholdTime) {
    share += std::max(1.0 - aAccount.joinedShare, 0.0);
  }
  return std::clamp(share, 0.0, 1.0);
}

void QuotaLedger::ApplyLimits(TimePoint aNow, Account& aAccount) const
{
  const double share = 1.0 - WithheldShare(aNow, aAccount);
  aAccount.bucket.SetLimits(aNow, aAccount.budget.rate * share, aAccount.budget.capacity);
}

void QuotaLedger::Tick(TimePoint aNow)
{
  if (aNow < mNextSweepAt) {
    return;
  }
  mNextSweepAt = aNow + kSweepInterval;
  for (auto& [id, account] : mLimited) {
    std::erase_if(account.daemons, [&](const auto& aItem) {
      const auto daemon = mDaemons.find(aItem.first);
      return daemon == mDaemons.end() ||
             (daemon->second.silentSince && aNow - *daemon->second.silentSince >= kWithholdTime);
    });
    ApplyLimits(aNow, account);
  }
  std::erase_if(mDaemons, [&](const auto& aItem) {
    return aItem.second.silentSince && aNow - *aItem.second.silentSince >= kWithholdTime;
  });
}

void QuotaLedger::Record(TimePoint aNow, Account& aAccount, DaemonUse& aDaemon, double aAmount)
{
  aAccount.use.Add(aNow, aAmount);
  aDaemon.use.Add(aNow, aAmount);
}

std::optional<QuotaExceeded> QuotaLedger::Charge(TimePoint aNow, const PlacementRequest& aRequest)
{
  Account* account = Find(aRequest.account);
  if (account == nullptr || aRequest.quotaCost <= 0.0 || mCharged.contains(aRequest.id)) {
    return std::nullopt;
  }
  account->bucket.Refill(aNow);
  // A request may cost more than the bucket holds. It is admitted when the bucket is full, up to
  // what the budget allows in addition.
  const double cost = aRequest.quotaCost;
  const double capacity = account->budget.capacity;
  if (cost > capacity + account->budget.saved) {
    return QuotaExceeded{};
  }
  const double neededLevel = std::min(cost, capacity);
  if (account->bucket.level() < neededLevel) {
    return QuotaExceeded{ .retryAfter = account->bucket.TimeUntil(neededLevel) };
  }
  account->bucket.Take(aNow, cost);
  const DaemonId& daemon = aRequest.id.daemon;
  mDaemons.try_emplace(daemon);
  Record(aNow, *account, account->daemons[daemon], cost);
  mCharged.emplace(aRequest.id, Charged{ .account = aRequest.account, .cost = cost, .at = aNow });
  return std::nullopt;
}

void QuotaLedger::End(TimePoint aNow, const PlacementRequestId& aRequest, bool aHasRun)
{
  const auto charged = mCharged.find(aRequest);
  if (charged == mCharged.end()) {
    return;
  }
  if (Account* account = Find(charged->second.account); account != nullptr && !aHasRun) {
    account->bucket.GiveBack(aNow, charged->second.cost, charged->second.at);
  }
  mCharged.erase(charged);
}

void QuotaLedger::BeginEpoch(TimePoint aNow, const DaemonId& aDaemon, const QuotaReport& aReport)
{
  const bool wasKnown = mDaemons.contains(aDaemon);
  mDaemons[aDaemon] = { .epoch = aReport.epoch };
  for (auto& [id, account] : mLimited) {
    if (const auto use = account.daemons.find(aDaemon); use != account.daemons.end()) {
      use->second.granted = 0.0;
      use->second.spent = 0.0;
      use->second.returned = 0.0;
      use->second.spentOnArrival = 0.0;
      use->second.withheld = 0.0;
    }
  }
  for (const QuotaOwnState& state : aReport.ownStates) {
    Account* account = Find(state.account);
    if (account == nullptr) {
      continue;
    }
    const double share = std::clamp(state.share, 0.0, 1.0);
    if (!wasKnown) {
      account->joinedShare = std::min(account->joinedShare + share, 1.0);
      account->hadUse = account->hadUse || state.wasUsed;
    }
    DaemonUse& use = account->daemons[aDaemon];
    const double unknownUse = state.usePerSecond - use.use.ValueAt(aNow);
    if (unknownUse > 0.0) {
      Record(aNow, *account, use, unknownUse * kQuotaUseTimeConstantS);
    }
    // This dispatcher's bucket already has what a daemon that it knew has saved.
    const double saved = account->budget.capacity * share;
    account->bucket.Add(std::min(state.level, wasKnown ? 0.0 : saved));
  }
  for (auto& [id, account] : mLimited) {
    ApplyLimits(aNow, account);
  }
}

QuotaReply QuotaLedger::OnReport(TimePoint aNow,
                                 const DaemonId& aDaemon,
                                 const QuotaReport& aReport)
{
  const auto known = mDaemons.find(aDaemon);
  if (known == mDaemons.end() || known->second.epoch != aReport.epoch) {
    if (known != mDaemons.end() && aReport.epoch < known->second.epoch) {
      return { .epoch = aReport.epoch };
    }
    BeginEpoch(aNow, aDaemon, aReport);
  } else {
    OnDaemonHeard(aNow, aDaemon);
  }
  QuotaReply reply{ .epoch = aReport.epoch };
  for (const QuotaUse& use : aReport.uses) {
    Account* account = Find(use.account);
    if (account == nullptr) {
      // Not limited here, or not known yet. The daemon may admit what waits.
      reply.grants.push_back({ .account = use.account, .granted = use.spent + use.needed });
      continue;
    }
    DaemonUse& daemon = account->daemons[aDaemon];
    daemon.spentOnArrival = 0.0;
    const double newlySpent = use.spent - daemon.spent;
    if (newlySpent > 0.0) {
      // What was spent without a grant, while this dispatcher did not answer in time.
      const double ungranted = std::max(use.spent + use.returned - daemon.granted, 0.0);
      if (ungranted > 0.0) {
        account->bucket.Take(aNow, ungranted);
        daemon.granted += ungranted;
      }
      Record(aNow, *account, daemon, newlySpent);
      daemon.spent = use.spent;
    }
    if (use.returned > daemon.returned) {
      account->bucket.Refill(aNow);
      account->bucket.Add(std::min(use.returned - daemon.returned, daemon.Held()));
      daemon.returned = use.returned;
    }
    for (const QuotaRefund& refund : use.refunds) {
      account->bucket.GiveBack(aNow, std::max(refund.amount, 0.0), aNow - refund.age);
    }
    reply.grants.push_back(Grant(aNow, *account, daemon, use));
  }
  return reply;
}

QuotaGrant QuotaLedger::Grant(TimePoint aNow,
                              Account& aAccount,
                              DaemonUse& aDaemon,
                              const QuotaUse& aUse)
{
  QuotaBucket& bucket = aAccount.bucket;
  bucket.Refill(aNow);
  double held = 0.0;
  double users = 0.0;
  for (const auto& [id, daemon] : aAccount.daemons) {
    held += daemon.Held();
    users += daemon.use.ValueAt(aNow) > kMinUse ? 1.0 : 0.0;
  }
  const double free = std::max(aAccount.budget.grants - held, 0.0);
  const double level = std::max(bucket.level(), 0.0);
  const double alreadyHeld = aDaemon.Held();
  const double needed = std::max(aUse.needed - alreadyHeld, 0.0);
  const double forNeeded = std::min(needed, level);
  // Advances leave the rest of the fleet something in a bucket that is nearly empty.
  const double advanceLimit =
    aAccount.budget.grants * kAdvanceRatio / std::max(users, 1.0) - alreadyHeld;
  const double forWanted =
    std::max(std::min({ aUse.wanted - std::max(alreadyHeld - aUse.needed, 0.0),
                        free,
                        (level - forNeeded) / 4,
                        advanceLimit }),
             0.0);
  const double amount = forNeeded + forWanted;
  if (amount > 0.0) {
    bucket.Take(aNow, amount);
    aDaemon.granted += amount;
  }
  aDaemon.spentOnArrival = std::min(aUse.needed, alreadyHeld + forNeeded);
  QuotaGrant grant{ .account = aUse.account, .granted = aDaemon.granted };
  if (needed > forNeeded) {
    grant.retryAfter =
      std::max(bucket.TimeUntil(std::min(needed - forNeeded, bucket.capacity())), Duration{ 1ms });
  }
  return grant;
}

void QuotaLedger::OnDaemonSilent(TimePoint aNow, const DaemonId& aDaemon)
{
  const auto known = mDaemons.find(aDaemon);
  if (known == mDaemons.end() || known->second.silentSince) {
    return;
  }
  known->second.silentSince = aNow;
  for (auto& [id, account] : mLimited) {
    const auto use = account.daemons.find(aDaemon);
    const double total = account.use.ValueAt(aNow);
    if (use == account.daemons.end() || total <= kMinUse) {
      continue;
    }
    use->second.withheld = std::min(use->second.use.ValueAt(aNow) / total, 1.0);
    account.bucket.Refill(aNow);
    account.bucket.Add(-use->second.withheld * account.budget.rate * kOverlapS);
    ApplyLimits(aNow, account);
  }
}

void QuotaLedger::OnDaemonHeard(TimePoint aNow, const DaemonId& aDaemon)
{
  const auto known = mDaemons.find(aDaemon);
  if (known == mDaemons.end() || !known->second.silentSince) {
    return;
  }
  known->second.silentSince.reset();
  for (auto& [id, account] : mLimited) {
    if (const auto use = account.daemons.find(aDaemon); use != account.daemons.end()) {
      use->second.withheld = 0.0;
      ApplyLimits(aNow, account);
    }
  }
}

void QuotaLedger::OnDaemonEnded(TimePoint aNow, const DaemonId& aDaemon)
{
  std::erase_if(mCharged, [&](const auto& aItem) { return aItem.first.daemon == aDaemon; });
  if (mDaemons.erase(aDaemon) == 0) {
    return;
  }
  for (auto& [id, account] : mLimited) {
    if (account.daemons.erase(aDaemon) > 0) {
      ApplyLimits(aNow, account);
    }
  }
}

std::vector<QuotaStatement> QuotaLedger::Statements(TimePoint aNow) const
{
  std::vector<QuotaStatement> statements;
  for (const auto& [id, account] : mLimited) {
    const double use = account.use.ValueAt(aNow);
    const double joined = 1.0 - WithheldShare(aNow, account);
    if (use > kMinUse && joined > 0.0) {
      // With the use through daemons that are not heard of, so that no daemon's part is too large.
      const auto own = account.daemons.find(mSelf);
      const double ownUse = own == account.daemons.end() ? 0.0 : own->second.use.ValueAt(aNow);
      statements.push_back({ .account = id,
                             .usePerSecond = use / joined,
                             .level = account.bucket.level(),
                             .dispatcherShare = std::min(ownUse / use * joined, 1.0) });
    }
  }
  return statements;
}

std::vector<QuotaLedger::AccountView> QuotaLedger::View(TimePoint aNow) const
{
  std::vector<AccountView> views;
  for (const auto& [id, account] : mLimited) {
    AccountView view{ .account = id,
                      .perSecond = account.quota.perSecond,
                      .level = account.bucket.level(),
                      .capacity = account.bucket.capacity(),
                      .usePerSecond = account.use.ValueAt(aNow),
                      .withheld = WithheldShare(aNow, account) };
    for (const auto& [daemon, use] : account.daemons) {
      view.granted += use.Held();
    }
    views.push_back(view);
  }
  return views;
}

} // namespace rhubarbtrail::fleet

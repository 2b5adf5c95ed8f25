/* A daemon's side of the accounts' quotas. */
#include "decision/fleet/quota_share.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rhubarbtrail::fleet {

namespace {

/* Shortest time between two reports while requests wait. It bounds the reports of 300 daemons that
 * all have waiting requests to 12,000 a second, and adds little to a latency goal of 100 ms. */
constexpr Duration kAskInterval = 25ms;
/* Times between two reports while no request waits: when the grants run low, and otherwise. */
constexpr Duration kRefillInterval = 100ms;
constexpr Duration kUseInterval = 1s;
/* Grants in advance cover the use expected in this time. */
constexpr double kAdvanceS = 0.3;
/* Time without use after which grants are given back. */
constexpr Duration kIdleTime = 2s;
/* Time after which a waiting request no longer waits for the dispatcher. */
constexpr Duration kMaxWait = 150ms;
/* Longest time for which the dispatcher is not asked again after it has denied. */
constexpr Duration kMaxDenial = 100ms;
/* Longest retry time that is stated without a dispatcher: a new one may be found meanwhile. */
constexpr Duration kMaxOwnRetryAfter = 2s;
/* Sums of grants and of costs may differ by rounding. */
constexpr double kRounding = 1e-6;
/* Part of an account's use below which a daemon counts as not using it. */
constexpr double kMinShare = 1e-3;

} // namespace

QuotaShare::Account* QuotaShare::Find(const ClientAccountId& aAccount)
{
  const auto found = mLimited.find(aAccount);
  return found == mLimited.end() ? nullptr : &found->second;
}

void QuotaShare::SetQuotas(TimePoint aNow,
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
    Account& limited = mLimited[id];
    limited.ownLevel = OwnLevel(aNow, limited);
    limited.ownLevelAt = aNow;
    limited.quota = account.quota;
    limited.budget = BudgetOf(account.quota, mRules);
  }
}

double QuotaShare::Cost(const ClientAccountId& aAccount,
                        std::uint64_t aTokens,
                        bool aHasTokens) const
{
  const auto found = mLimited.find(aAccount);
  return found == mLimited.end() ? 0.0 : CostOf(found->second.quota, aTokens, aHasTokens);
}

double QuotaShare::NextRandom()
{
  // The linear congruential generator of Knuth's MMIX; its upper bits are the better ones.
  mRandomState = mRandomState * 6364136223846793005U + 1442695040888963407U;
  return std::ldexp(static_cast<double>(mRandomState >> 11U), -53);
}

double QuotaShare::OwnRate(const Account& aAccount) const
{
  return aAccount.share * aAccount.budget.rate + UnknownPart(aAccount) / aAccount.budget.windowS;
}

double QuotaShare::OwnCapacity(const Account& aAccount) const
{
  const double ofShare = mHasDispatcherEnded ? aAccount.budget.capacity : aAccount.budget.saved;
  return aAccount.share * ofShare + UnknownPart(aAccount);
}

double QuotaShare::OwnLevel(TimePoint aNow, const Account& aAccount) const
{
  const double passedS = std::chrono::duration<double>(aNow - aAccount.ownLevelAt).count();
  return std::min(OwnCapacity(aAccount),
                  aAccount.ownLevel + OwnRate(aAccount) * std::max(passedS, 0.0));
}

void QuotaShare::SpendOwn(TimePoint aNow, Account& aAccount, double aCost) const
{
  aAccount.ownLevel = OwnLevel(aNow, aAccount) - aCost;
  aAccount.ownLevelAt = aNow;
}

bool QuotaShare::SpendGrant(TimePoint aNow, Account& aAccount, double aCost)
{
  if (aAccount.Held() < aCost - kRounding) {
    return false;
  }
  aAccount.spent += aCost;
  aAccount.use.Add(aNow, aCost);
  return true;
}

QuotaDecision QuotaShare::Take(TimePoint aNow,
                               std::uint64_t aRequest,
                               const ClientAccountId& aAccount,
                               double aCost)
{
  Account* account = Find(aAccount);
  if (account == nullptr || aCost <= 0.0) {
    return QuotaAdmitted{};
  }
  if (!mHasDispatcher) {
    return TakeAlone(aNow, aAccount, aCost);
  }
  account->lastTakenAt = aNow;
  account->grantUse.Add(aNow, aCost);
  const bool isFirst = std::none_of(mWaiting.begin(), mWaiting.end(), [&](const Waiting& aItem) {
    return aItem.account == aAccount;
  });
  if (isFirst && SpendGrant(aNow, *account, aCost)) {
    SpendOwn(aNow, *account, aCost);
    return QuotaAdmitted{};
  }
  if (aNow < account->deniedUntil) {
    return QuotaExceeded{ .retryAfter = std::max(account->roomAt - aNow, Duration{ 1ms }) };
  }
  mWaiting.push_back({ .request = aRequest, .account = aAccount, .cost = aCost, .since = aNow });
  return QuotaUndecided{};
}

QuotaDecision QuotaShare::TakeAlone(TimePoint aNow, const ClientAccountId& aAccount, double aCost)
{
  Account* account = Find(aAccount);
  if (account == nullptr || aCost <= 0.0 || SpendGrant(aNow, *account, aCost)) {
    return QuotaAdmitted{};
  }
  const double available = OwnLevel(aNow, *account) + account->share * account->budget.saved;
  const double chance = std::clamp(available / aCost, 0.0, 1.0);
  if (NextRandom() >= chance) {
    SpendOwn(aNow, *account, std::max(available, 0.0));
    const double seconds = (aCost - available) / std::max(OwnRate(*account), 1e-6);
    return QuotaExceeded{ .retryAfter = std::chrono::ceil<Duration>(
                            std::min(std::chrono::duration<double>(seconds),
                                     std::chrono::duration<double>(kMaxOwnRetryAfter))) };
  }
  SpendOwn(aNow, *account, std::min(available, aCost));
  account->spent += aCost;
  account->use.Add(aNow, aCost);
  return QuotaAdmitted{};
}

void QuotaShare::Withdraw(std::uint64_t aRequest)
{
  std::erase_if(mWaiting, [&](const Waiting& aItem) { return aItem.request == aRequest; });
}

void QuotaShare::GiveBack(TimePoint aNow,
                          const ClientAccountId& aAccount,
                          double aCost,
                          TimePoint aTakenAt)
{
  Account* account = Find(aAccount);
  if (account == nullptr || aCost <= 0.0) {
    return;
  }
  if (!mHasDispatcher) {
    // Only as much as the level would be higher had the request never been counted, if the level
    // has not been at its limit since.
    if (aNow - aTakenAt < kMaxWait) {
      SpendOwn(aNow, *account, -aCost);
    }
    return;
  }
  account->refunds.emplace_back(aCost, aTakenAt);
}

void QuotaShare::RecordCharged(TimePoint aNow, const ClientAccountId& aAccount, double aCost)
{
  Account* account = Find(aAccount);
  if (account == nullptr || aCost <= 0.0) {
    return;
  }
  account->use.Add(aNow, aCost);
  SpendOwn(aNow, *account, aCost);
}

template<typename F>
std::vector<QuotaShare::Decided> QuotaShare::DecideWaiting(F aDecide)
{
  std::vector<Decided> decided;
  std::deque<Waiting> remaining;
  for (Waiting& waiting : mWaiting) {
    const QuotaDecision decision = aDecide(waiting);
    if (std::holds_alternative<QuotaUndecided>(decision)) {
      remaining.push_back(std::move(waiting));
    } else {
      decided.push_back({ .request = waiting.request, .decision = decision });
    }
  }
  mWaiting = std::move(remaining);
  return decided;
}

std::vector<QuotaShare::Decided> QuotaShare::Tick(TimePoint aNow)
{
  if (mWaiting.empty() || aNow - mWaiting.front().since < kMaxWait) {
    return {};
  }
  return DecideWaiting([&](const Waiting& aWaiting) -> QuotaDecision {
    if (aNow - aWaiting.since < kMaxWait) {
      return QuotaUndecided{};
    }
    return TakeAlone(aNow, aWaiting.account, aWaiting.cost);
  });
}

std::vector<QuotaShare::Decided> QuotaShare::OnReply(TimePoint aNow, const QuotaReply& aReply)
{
  if (!mHasDispatcher || aReply.epoch != mEpoch) {
    return {};
  }
  std::map<ClientAccountId, Duration> denials;
  for (const QuotaGrant& grant : aReply.grants) {
    Account* account = Find(grant.account);
    if (account == nullptr) {
      continue;
    }
    account->granted = std::max(account->granted, grant.granted);
    if (grant.retryAfter > Duration::zero()) {
      denials.emplace(grant.account, grant.retryAfter);
      account->deniedUntil = aNow + std::min(grant.retryAfter, kMaxDenial);
      account->roomAt = aNow + grant.retryAfter;
    }
  }
  if (mWaiting.empty()) {
    return {};
  }
  return DecideWaiting([&](const Waiting& aWaiting) -> QuotaDecision {
    Account* account = Find(aWaiting.account);
    if (account == nullptr) {
      return QuotaAdmitted{}; // Its limit was removed meanwhile.
    }
    if (SpendGrant(aNow, *account, aWaiting.cost)) {
      SpendOwn(aNow, *account, aWaiting.cost);
      return QuotaAdmitted{};
    }
    const auto denial = denials.find(aWaiting.account);
    if (denial != denials.end() && aWaiting.isAsked) {
      return QuotaExceeded{ .retryAfter = denial->second };
    }
    return QuotaUndecided{};
  });
}

void QuotaShare::OnDispatcherFound(TimePoint aNow)
{
  ++mEpoch;
  mHasDispatcher = true;
  mOwnStates.clear();
  for (auto& [id, account] : mLimited) {
    const double level = OwnLevel(aNow, account);
    if (account.isUsed || level < 0.0) {
      mOwnStates.push_back({ .account = id,
                             .share = account.share,
                             .usePerSecond = account.use.ValueAt(aNow),
                             .level = level,
                             .wasUsed = account.isUsed });
    }
    // What it has saved now belongs to the dispatcher's bucket.
    account.ownLevel = std::min(level, 0.0);
    account.ownLevelAt = aNow;
    account.bucketLevel = 0.0;
    account.granted = 0.0;
    account.spent = 0.0;
    account.returned = 0.0;
    account.reportedSpent = 0.0;
    account.refunds.clear();
    account.deniedUntil = {};
  }
  mHasDispatcherEnded = false;
}

std::vector<QuotaShare::Decided> QuotaShare::OnDispatcherLost(TimePoint aNow, bool aHasEnded)
{
  mHasDispatcher = false;
  mHasDispatcherEnded = aHasEnded;
  if (aHasEnded) {
    for (auto& [id, account] : mLimited) {
      // What the dispatcher's own clients used is left to the others.
      const double others = 1.0 - std::exchange(account.dispatcherShare, 0.0);
      account.isUsed = account.isUsed && others > kMinShare;
      account.share = account.isUsed ? std::min(account.share / others, 1.0) : 0.0;
      SpendOwn(aNow, account, -std::exchange(account.bucketLevel, 0.0));
    }
  }
  return DecideWaiting(
    [&](const Waiting& aWaiting) { return TakeAlone(aNow, aWaiting.account, aWaiting.cost); });
}

void QuotaShare::OnStatements(TimePoint aNow, const std::vector<QuotaStatement>& aStatements)
{
  mStatedAt = aNow;
  for (auto& item : mLimited) {
    const ClientAccountId& id = item.first;
    Account& account = item.second;
    const auto statement =
      std::find_if(aStatements.begin(), aStatements.end(), [&](const QuotaStatement& aItem) {
        return aItem.account == id;
      });
    const bool isUsed = statement != aStatements.end() && statement->usePerSecond > 0.0;
    account.share =
      isUsed ? std::min(account.use.ValueAt(aNow) / statement->usePerSecond, 1.0) : 0.0;
    account.isUsed = isUsed;
    account.dispatcherShare = isUsed ? statement->dispatcherShare : 0.0;
    account.ownLevel =
      isUsed ? account.share * std::min(statement->level, account.budget.saved) : 0.0;
    account.ownLevelAt = aNow;
    account.bucketLevel =
      isUsed ? account.share * std::max(statement->level - account.budget.saved, 0.0) : 0.0;
  }
}

double QuotaShare::Wanted(TimePoint aNow, const Account& aAccount)
{
  return aAccount.grantUse.ValueAt(aNow) * kAdvanceS;
}

bool QuotaShare::IsReportDue(TimePoint aNow, const Account& aAccount, double aNeeded) const
{
  if (aNeeded > 0.0) {
    return aNow - mReportedAt >= kAskInterval;
  }
  const Duration sinceReport = aNow - aAccount.reportedAt;
  const double unreported = aAccount.spent - aAccount.reportedSpent;
  const bool isLow = unreported > 0.0 && aAccount.Held() < Wanted(aNow, aAccount) / 2;
  const bool isIdle = aAccount.Held() > 0.0 && aNow - aAccount.lastTakenAt >= kIdleTime;
  if (isLow) {
    return sinceReport >= kRefillInterval;
  }
  return (unreported > 0.0 || isIdle || !aAccount.refunds.empty()) && sinceReport >= kUseInterval;
}

std::optional<QuotaReport> QuotaShare::TakeReport(TimePoint aNow)
{
  if (!mHasDispatcher || mLimited.empty()) {
    return std::nullopt;
  }
  QuotaReport report{ .epoch = mEpoch, .uses = {}, .ownStates = std::move(mOwnStates) };
  mOwnStates.clear();
  std::map<ClientAccountId, double> needed;
  for (const Waiting& waiting : mWaiting) {
    needed[waiting.account] += waiting.cost;
  }
  for (auto& [id, account] : mLimited) {
    const auto need = needed.find(id);
    const double amount = need == needed.end() ? 0.0 : need->second;
    if (!IsReportDue(aNow, account, amount)) {
      continue;
    }
    if (amount <= 0.0 && aNow - account.lastTakenAt >= kIdleTime && account.Held() > 0.0) {
      account.returned += account.Held();
    }
    QuotaUse use{ .account = id,
                  .spent = account.spent,
                  .returned = account.returned,
                  .needed = amount,
                  .wanted = Wanted(aNow, account),
                  .refunds = {} };
    for (const auto& [refund, takenAt] : std::exchange(account.refunds, {})) {
      use.refunds.push_back({ .amount = refund, .age = aNow - takenAt });
    }
    account.reportedSpent = account.spent;
    account.reportedAt = aNow;
    report.uses.push_back(std::move(use));
  }
  if (report.uses.empty() && report.ownStates.empty()) {
    return std::nullopt;
  }
  for (Waiting& waiting : mWaiting) {
    const auto isItsUse = [&](const QuotaUse& aUse) { return aUse.account == waiting.account; };
    waiting.isAsked =
      waiting.isAsked || std::any_of(report.uses.begin(), report.uses.end(), isItsUse);
  }
  mReportedAt = aNow;
  return report;
}

std::vector<QuotaShare::AccountView> QuotaShare::View(TimePoint aNow) const
{
  std::vector<AccountView> views;
  for (const auto& [id, account] : mLimited) {
    views.push_back({ .account = id,
                      .held = account.Held(),
                      .share = account.share,
                      .ownLevel = OwnLevel(aNow, account),
                      .usePerSecond = account.use.ValueAt(aNow) });
  }
  return views;
}

} // namespace rhubarbtrail::fleet

/* A daemon's side of the accounts' quotas. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_QUOTA_SHARE_H
#define RHUBARBTRAIL_DECISION_FLEET_QUOTA_SHARE_H

#include "decision/fleet/demand_tracker.h"
#include "decision/fleet/quota_type.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace rhubarbtrail::fleet {

/* Decides about requests that the dispatcher does not see, from the grants that the dispatcher
 * gives in advance, and asks it when they are spent. Without a dispatcher, the daemon goes on at
 * its part of the account's recent use. It keeps that up to date from the dispatcher's statements.
 * When a request costs more than the part has left, chance decides, so that the parts of all
 * daemons that are smaller than a request add up to what they allow on average. */
class QuotaShare
{
public:
  /* Sets the quotas of the accounts. Null for a deployment without accounts. */
  void SetQuotas(TimePoint aNow,
                 std::shared_ptr<const ClientAccounts> aAccounts,
                 const QuotaRules& aRules);
  /* Until it is set, nothing is admitted without a dispatcher. */
  void SetDaemonCount(std::uint32_t aDaemons) { mDaemons = aDaemons; }

  /* Returns what a request counts as, or 0 if the account has no limit. */
  double Cost(const ClientAccountId& aAccount, std::uint64_t aTokens, bool aHasTokens) const;

  /* Counts a request that the dispatcher does not see. If the decision is QuotaUndecided, it
   * follows later, from one of the functions that return decisions. */
  QuotaDecision Take(TimePoint aNow,
                     std::uint64_t aRequest,
                     const ClientAccountId& aAccount,
                     double aCost);
  /* Counts a request that cannot wait for the dispatcher. */
  QuotaDecision TakeAlone(TimePoint aNow, const ClientAccountId& aAccount, double aCost);
  /* A request that waits for a decision has ended. */
  void Withdraw(std::uint64_t aRequest);
  /* A request that was counted here has not run. */
  void GiveBack(TimePoint aNow, const ClientAccountId& aAccount, double aCost, TimePoint aTakenAt);
  /* The dispatcher has counted a request of this daemon. */
  void RecordCharged(TimePoint aNow, const ClientAccountId& aAccount, double aCost);

  struct Decided
  {
    std::uint64_t request = 0;
    QuotaDecision decision;
  };
  /* Decides about requests that the dispatcher has not decided in time. */
  std::vector<Decided> Tick(TimePoint aNow);
  std::vector<Decided> OnReply(TimePoint aNow, const QuotaReply& aReply);
  void OnDispatcherFound(TimePoint aNow);
  /* aHasEnded: its process is known to have ended, so that what its buckets held is left to the
   * daemons. */
  std::vector<Decided> OnDispatcherLost(TimePoint aNow, bool aHasEnded);
  void OnStatements(TimePoint aNow, const std::vector<QuotaStatement>& aStatements);

  /* Returns the report to the dispatcher if one is due. */
  std::optional<QuotaReport> TakeReport(TimePoint aNow);

  bool hasDispatcher() const { return mHasDispatcher; }
  /* When the dispatcher's last statement arrived. */
  TimePoint statedAt() const { return mStatedAt; }
  std::size_t waitingCount() const { return mWaiting.size(); }

  /* The state of one account at this daemon, for operators. */
  struct AccountView
  {
    ClientAccountId account;
    double held = 0.0;         ///< Grants that are not spent.
    double share = 0.0;        ///< Part of the account's recent use.
    double ownLevel = 0.0;     ///< What may be spent without a dispatcher.
    double usePerSecond = 0.0; ///< Recent use through this daemon.
  };
  std::vector<AccountView> View(TimePoint aNow) const;

private:
  struct Account
  {
    AccountQuota quota;
    QuotaBudget budget;
    // Grants, as totals of the epoch.
    double granted = 0.0;
    double spent = 0.0;
    double returned = 0.0;
    double reportedSpent = 0.0;
    /* What was given back, and when it had been counted. */
    std::vector<std::pair<double, TimePoint>> refunds;
    TimePoint reportedAt{};
    TimePoint lastTakenAt{};
    TimePoint deniedUntil{};
    TimePoint roomAt{}; ///< When the dispatcher expects room, as of its last denial.
    /* Recent use of grants; it decays fast, so that the grants in advance follow it. */
    DecayingRate grantUse{ 1.0 };
    // Without a dispatcher.
    DecayingRate use{ kQuotaUseTimeConstantS };
    double share = 0.0;
    double ownLevel = 0.0;
    TimePoint ownLevelAt{};
    /* Part of what the dispatcher's bucket held beyond ownLevel, as of its last statement. */
    double bucketLevel = 0.0;
    double dispatcherShare = 0.0; ///< The dispatcher's own part of the use.
    bool isUsed = false;          ///< There is recent use through any daemon.

    double Held() const { return granted - spent - returned; }
  };

  struct Waiting
  {
    std::uint64_t request = 0;
    ClientAccountId account;
    double cost = 0.0;
    TimePoint since{};
    bool isAsked = false; ///< A report has stated it.
  };

  Account* Find(const ClientAccountId& aAccount);
  /* Returns the next pseudo-random number from 0 to 1. */
  double NextRandom();
  double OwnRate(const Account& aAccount) const;
  double OwnCapacity(const Account& aAccount) const;
  /* Returns this daemon's part of what daemons that know of no recent use may admit. */
  double UnknownPart(const Account& aAccount) const
  {
    return mDaemons == 0 ? 0.0 : aAccount.budget.unknown / mDaemons;
  }
  double OwnLevel(TimePoint aNow, const Account& aAccount) const;
  static bool SpendGrant(TimePoint aNow, Account& aAccount, double aCost);
  void SpendOwn(TimePoint aNow, Account& aAccount, double aCost) const;
  bool IsReportDue(TimePoint aNow, const Account& aAccount, double aNeeded) const;
  static double Wanted(TimePoint aNow, const Account& aAccount);
  /* Decides about all waiting requests for which the function returns a decision. */
  template<typename F>
  std::vector<Decided> DecideWaiting(F aDecide);

  std::shared_ptr<const ClientAccounts> mAccounts;
  QuotaRules mRules;
  std::map<ClientAccountId, Account> mLimited;
  std::deque<Waiting> mWaiting;
  std::uint32_t mDaemons = 0; ///< 0 if not known.
  std::uint64_t mEpoch = 0;
  bool mHasDispatcher = false;
  bool mHasDispatcherEnded = false;
  std::uint64_t mRandomState = 1;
  std::vector<QuotaOwnState> mOwnStates; ///< To be stated to a new dispatcher.
  TimePoint mReportedAt{};
  TimePoint mStatedAt{};
};

} // namespace rhubarbtrail::fleet

#endif

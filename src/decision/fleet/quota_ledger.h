/* The dispatcher's side of the accounts' quotas. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_QUOTA_LEDGER_H
#define RHUBARBTRAIL_DECISION_FLEET_QUOTA_LEDGER_H

#include "decision/fleet/demand_tracker.h"
#include "decision/fleet/dispatch_type.h"
#include "decision/fleet/quota_bucket.h"
#include "decision/fleet/quota_type.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace rhubarbtrail::fleet {

/* Counts what the accounts send through all daemons. Requests for models are counted when their
 * placement requests arrive. For other requests, daemons get grants in advance, which are taken
 * from the same bucket; together they hold at most QuotaBudget::grants.
 *
 * A daemon without a dispatcher goes on at its part of the account's recent use. While a daemon
 * that is no longer heard of may do that, its part is withheld from the others. */
class QuotaLedger
{
public:
  /* Sets the quotas of the accounts. Null for a deployment without accounts. Levels are kept, up to
   * the new capacities. */
  void SetQuotas(TimePoint aNow,
                 std::shared_ptr<const ClientAccounts> aAccounts,
                 const QuotaRules& aRules);
  /* This daemon has become the dispatcher. Forgets all that it knew from an earlier time. */
  void Start(TimePoint aNow, const DaemonId& aSelf);
  /* Refills the buckets. To be called at least every QuotaBucket::kMaxRefillTime. */
  void Tick(TimePoint aNow);

  /* Counts the cost of a placement request. Returns when the account has room if it has none now.
   * Does nothing for an account without a limit and for a request that is counted already. */
  std::optional<QuotaExceeded> Charge(TimePoint aNow, const PlacementRequest& aRequest);
  /* A placement request or an assignment has ended. Gives back its cost if it did not run. */
  void End(TimePoint aNow, const PlacementRequestId& aRequest, bool aHasRun);

  QuotaReply OnReport(TimePoint aNow, const DaemonId& aDaemon, const QuotaReport& aReport);
  /* A daemon is silent, and may go on without this dispatcher. */
  void OnDaemonSilent(TimePoint aNow, const DaemonId& aDaemon);
  /* A silent daemon is heard of again. */
  void OnDaemonHeard(TimePoint aNow, const DaemonId& aDaemon);
  /* A daemon's process has ended. */
  void OnDaemonEnded(TimePoint aNow, const DaemonId& aDaemon);

  /* Returns what the daemons need to know of the accounts with limits and recent use. */
  std::vector<QuotaStatement> Statements(TimePoint aNow) const;

  /* The state of one account, for operators. */
  struct AccountView
  {
    ClientAccountId account;
    double perSecond = 0.0; ///< Configured limit.
    double level = 0.0;
    double capacity = 0.0;
    double usePerSecond = 0.0;
    double granted = 0.0;  ///< Held by daemons.
    double withheld = 0.0; ///< Part, from 0 to 1, of daemons that are not heard of.
  };
  std::vector<AccountView> View(TimePoint aNow) const;

private:
  /* What one daemon does with an account. */
  struct DaemonUse
  {
    DecayingRate use{ kQuotaUseTimeConstantS };
    double granted = 0.0;
    double spent = 0.0;
    double returned = 0.0;
    /* Granted for requests that waited, so that it is spent by now, but not reported yet. */
    double spentOnArrival = 0.0;
    /* Part of the account's use that is withheld while the daemon is silent. */
    double withheld = 0.0;

    double Held() const { return std::max(granted - spent - returned - spentOnArrival, 0.0); }
  };

  struct Account
  {
    AccountQuota quota;
    QuotaBudget budget;
    QuotaBucket bucket;
    DecayingRate use{ kQuotaUseTimeConstantS };
    std::unordered_map<DaemonId, DaemonUse> daemons;
    /* Part of the use that joined daemons stated before this dispatcher, and whether any of them
     * knows of such use. */
    double joinedShare = 0.0;
    bool hadUse = false;
  };

  struct Charged
  {
    ClientAccountId account;
    double cost = 0.0;
    TimePoint at{};
  };

  struct Daemon
  {
    std::uint64_t epoch = 0;
    std::optional<TimePoint> silentSince;
  };

  Account* Find(const ClientAccountId& aAccount);
  /* Sets the bucket's limits to what is not withheld. */
  void ApplyLimits(TimePoint aNow, Account& aAccount) const;
  double WithheldShare(TimePoint aNow, const Account& aAccount) const;
  void BeginEpoch(TimePoint aNow, const DaemonId& aDaemon, const QuotaReport& aReport);
  QuotaGrant Grant(TimePoint aNow, Account& aAccount, DaemonUse& aDaemon, const QuotaUse& aUse);
  static void Record(TimePoint aNow, Account& aAccount, DaemonUse& aDaemon, double aAmount);

  std::shared_ptr<const ClientAccounts> mAccounts;
  QuotaRules mRules;
  DaemonId mSelf;
  std::map<ClientAccountId, Account> mLimited; ///< The accounts with limits.
  std::map<PlacementRequestId, Charged> mCharged;
  std::map<DaemonId, Daemon> mDaemons;
  TimePoint mStartedAt{};
  TimePoint mNextSweepAt{};
};

} // namespace rhubarbtrail::fleet

#endif

/* Quotas of client accounts: the rules, and what daemons and the dispatcher state to each other. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_QUOTA_TYPE_H
#define RHUBARBTRAIL_DECISION_FLEET_QUOTA_TYPE_H

#include "core/id_type.h"
#include "core/unit_type.h"
#include "decision/fleet/client_account_type.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

namespace rhubarbtrail::fleet {

/* What the operators allow beyond the quotas, in any window. */
struct QuotaRules
{
  Duration window = 8s;
  double overage = 0.1;   ///< Fraction of what a quota allows in a window.
  double slack = 11000.0; ///< In the quota's unit, in addition.

  bool operator==(const QuotaRules&) const = default;
};

/* How much of an account's quota and of the allowed excess each part of the fleet may use. In a
 * window, the excess X = overage * (rate * window + burst) + slack is divided into: X/4 for a
 * higher rate and X/4 for a larger bucket, so that accounts close to their limits are refused less;
 * X/4 for the grants that daemons hold; X/16 for the first level of a new dispatcher's bucket; X/16
 * for daemons without a dispatcher that do not know of recent use. The rest, X/8, is for what
 * daemons without a dispatcher have saved, or use on credit. */
struct QuotaBudget
{
  double rate = 0.0;     ///< Per second, of the dispatcher's bucket.
  double capacity = 0.0; ///< Of the dispatcher's bucket.
  double grants = 0.0;   ///< What all daemons together may hold.
  double initial = 0.0;  ///< First level of the bucket of a new dispatcher.
  double unknown = 0.0;  ///< Per window, for all daemons together that know of no recent use.
  double saved = 0.0;    ///< What all daemons without a dispatcher may have saved, or owe.
  double windowS = 8.0;
};

inline QuotaBudget BudgetOf(const AccountQuota& aQuota, const QuotaRules& aRules)
{
  const double windowS = std::max(std::chrono::duration<double>(aRules.window).count(), 1.0);
  const double excess = aRules.overage * (aQuota.perSecond * windowS + aQuota.burst) + aRules.slack;
  return { .rate = aQuota.perSecond + excess / 4 / windowS,
           .capacity = aQuota.burst + excess / 4,
           .grants = excess / 4,
           .initial = excess / 16,
           .unknown = excess / 16,
           .saved = excess / 16,
           .windowS = windowS };
}

/* Returns what a request counts as. */
inline double CostOf(const AccountQuota& aQuota, std::uint64_t aTokens, bool aHasTokens)
{
  if (aQuota.unit == QuotaUnit::kRequests) {
    return 1.0;
  }
  return aHasTokens ? static_cast<double>(aTokens) : aQuota.plainTokens;
}

struct QuotaAdmitted
{};

struct QuotaExceeded
{
  Duration retryAfter{}; ///< When the account has room again. 0 if it never has for this request.
};

/* The daemon has nothing left of its own and asks the dispatcher. */
struct QuotaUndecided
{};

using QuotaDecision = std::variant<QuotaAdmitted, QuotaExceeded, QuotaUndecided>;

/* Part of a cost that is given back because the request did not run. */
struct QuotaRefund
{
  double amount = 0.0;
  Duration age{}; ///< Time since it was counted.
};

/* What a daemon states about one account. The totals count from the beginning of the epoch. */
struct QuotaUse
{
  ClientAccountId account;
  double spent = 0.0;    ///< Total admitted by the daemon itself.
  double returned = 0.0; ///< Total of the grants that it gave back.
  double needed = 0.0;   ///< For requests that wait.
  double wanted = 0.0;   ///< For requests that are expected soon.
  std::vector<QuotaRefund> refunds;
};

/* An account's quota at a daemon that had no dispatcher. */
struct QuotaOwnState
{
  ClientAccountId account;
  double share = 0.0;        ///< Its part of the account's recent use, from 0 to 1.
  double usePerSecond = 0.0; ///< Its recent use.
  double level = 0.0;        ///< What it has saved, or owes if negative.
  bool wasUsed = false;      ///< It knows of recent use through any daemon.
};

/* A daemon's report to the dispatcher. */
struct QuotaReport
{
  /* Number of times that the daemon has found a dispatcher. The totals begin again with each. */
  std::uint64_t epoch = 0;
  std::vector<QuotaUse> uses;
  std::vector<QuotaOwnState> ownStates; ///< Only in the first report of an epoch.
};

/* What the dispatcher grants to one daemon for one account. */
struct QuotaGrant
{
  ClientAccountId account;
  double granted = 0.0; ///< Total since the beginning of the epoch.
  /* Set if not all that was needed could be granted. */
  Duration retryAfter{};
};

struct QuotaReply
{
  std::uint64_t epoch = 0;
  std::vector<QuotaGrant> grants;
};

/* What the dispatcher states about an account to all daemons, with its heartbeat. */
struct QuotaStatement
{
  ClientAccountId account;
  double usePerSecond = 0.0;    ///< Recent use through all daemons.
  double level = 0.0;           ///< Of its bucket.
  double dispatcherShare = 0.0; ///< Part of the use that is the dispatcher's own, from 0 to 1.
};

/* Time constant of the averages of recent use, at the dispatcher and at the daemons. */
inline constexpr double kQuotaUseTimeConstantS = 8.0;

} // namespace rhubarbtrail::fleet

#endif

/* Decides about clients' requests by the quotas of their accounts. */
#ifndef RHUBARBTRAIL_GATEWAY_QUOTA_CLIENT_H
#define RHUBARBTRAIL_GATEWAY_QUOTA_CLIENT_H

#include "decision/fleet/quota_share.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace rhubarbtrail {

/* What became of requests since the start. */
struct QuotaCounts
{
  std::uint64_t admitted = 0; ///< Of limited accounts, here or by the dispatcher.
  std::uint64_t refused = 0;
  std::uint64_t waited = 0; ///< For a grant of the dispatcher.
  std::uint64_t alone = 0;  ///< Decided without the dispatcher.
};

/* Keeps this daemon's share of the accounts' quotas and the requests that wait for grants. The
 * owner sends its reports to the dispatcher. */
class QuotaClient
{
public:
  using Handler = std::function<void(const fleet::QuotaDecision&)>;
  using Decisions = std::vector<fleet::QuotaShare::Decided>;

  /* aOnWaiting is called when a request begins to wait, so that a report can be sent. */
  void OnWaiting(std::function<void()> aOnWaiting) { mOnWaiting = std::move(aOnWaiting); }

  /* Counts a request that the dispatcher does not see. The handler is called once, during this call
   * or later, unless Withdraw() comes before. Returns the id for Withdraw(). */
  std::uint64_t Take(TimePoint aNow,
                     const ClientAccountId& aAccount,
                     double aCost,
                     Handler aHandler)
  {
    const std::uint64_t id = ++mLastId;
    mCounts.alone += mShare.hasDispatcher() ? 0U : 1U;
    const fleet::QuotaDecision decision = mShare.Take(aNow, id, aAccount, aCost);
    if (std::holds_alternative<fleet::QuotaUndecided>(decision)) {
      ++mCounts.waited;
      mHandlers.emplace(id, std::move(aHandler));
      mOnWaiting();
    } else {
      Count(decision);
      aHandler(decision);
    }
    return id;
  }
  /* Counts a request for a model that is sent without an assignment of the dispatcher. */
  fleet::QuotaDecision TakeAlone(TimePoint aNow, const ClientAccountId& aAccount, double aCost)
  {
    ++mCounts.alone;
    const fleet::QuotaDecision decision = mShare.TakeAlone(aNow, aAccount, aCost);
    Count(decision);
    return decision;
  }
  void Withdraw(std::uint64_t aId)
  {
    if (mHandlers.erase(aId) > 0) {
      mShare.Withdraw(aId);
    }
  }
  void RecordCharged(TimePoint aNow, const ClientAccountId& aAccount, double aCost)
  {
    ++mCounts.admitted;
    mShare.RecordCharged(aNow, aAccount, aCost);
  }
  /* The dispatcher has refused a request for a model. */
  void RecordRefused() { ++mCounts.refused; }

  void Tick(TimePoint aNow) { Handle(mShare.Tick(aNow)); }
  void OnReply(TimePoint aNow, const fleet::QuotaReply& aReply)
  {
    Handle(mShare.OnReply(aNow, aReply));
  }
  void OnDispatcherLost(TimePoint aNow, bool aHasEnded)
  {
    Handle(mShare.OnDispatcherLost(aNow, aHasEnded));
  }

  fleet::QuotaShare& share() { return mShare; }
  const fleet::QuotaShare& share() const { return mShare; }
  const QuotaCounts& counts() const { return mCounts; }

private:
  void Count(const fleet::QuotaDecision& aDecision)
  {
    ++(std::holds_alternative<fleet::QuotaAdmitted>(aDecision) ? mCounts.admitted
                                                               : mCounts.refused);
  }
  void Handle(const Decisions& aDecisions)
  {
    for (const auto& [id, decision] : aDecisions) {
      const auto found = mHandlers.find(id);
      if (found == mHandlers.end()) {
        continue;
      }
      const Handler handler = std::move(found->second);
      mHandlers.erase(found);
      Count(decision);
      handler(decision);
    }
  }

  fleet::QuotaShare mShare;
  std::map<std::uint64_t, Handler> mHandlers;
  std::function<void()> mOnWaiting = [] {};
  QuotaCounts mCounts;
  std::uint64_t mLastId = 0;
};

} // namespace rhubarbtrail

#endif

/* The order in which the dispatcher tries waiting requests where the deployment has client
 * accounts: by priority, and within a priority fairly over the accounts. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_ASSIGNMENT_ORDER_H
#define RHUBARBTRAIL_DECISION_FLEET_ASSIGNMENT_ORDER_H

#include "decision/fleet/client_account_type.h"
#include "decision/fleet/demand_tracker.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace rhubarbtrail::fleet {

/* What a request uses of its runner. */
struct RunnerUse
{
  Duration time{}; ///< Estimated runner time.
  std::uint64_t tokens = 0;
};

/* Keeps what each account has used of the runners in the last seconds, in relation to what it is
 * entitled to. Load pattern: one account sends several times its usual traffic while the runners
 * are full. By priority and arrival alone, it gets most of the slots that become free.
 *
 * An account with a quota is entitled to runner time in proportion to its quota, so that large and
 * small accounts give way by the same factor over their usual use. The others are entitled to an
 * equal part each. */
class AssignmentOrder
{
public:
  /* Takes the accounts of the configuration. Without accounts, requests are tried by priority and
   * arrival. */
  void SetAccounts(std::shared_ptr<const ClientAccounts> aAccounts)
  {
    mAccounts = std::move(aAccounts);
    ++mChangeCount;
  }
  bool IsEnabled() const { return mAccounts != nullptr; }

  void OnRequest(TimePoint aNow, const ClientAccountId& aAccount);
  void OnAssigned(TimePoint aNow, const ClientAccountId& aAccount, const RunnerUse& aUse);
  /* A runner did not run a request that was assigned to it. */
  void OnNotRun(TimePoint aNow, const ClientAccountId& aAccount, const RunnerUse& aUse);
  void Clear();

  /* Returns the runner time that the account has used lately, as a part of its entitlement. */
  double RelativeUse(TimePoint aNow, const ClientAccountId& aAccount) const;
  /* Returns whether a much smaller part of the account's requests was assigned than of all
   * requests, although it has used less than the accounts on average. Its requests go first then,
   * because strict priority would keep a less urgent account from any slot. */
  bool IsStarved(TimePoint aNow, const ClientAccountId& aAccount) const;
  /* Returns the accounts with recent requests. */
  std::vector<ClientAccountId> Accounts() const;
  /* Counts all changes of what the functions above return, other than by the passing of time. */
  std::uint64_t changeCount() const { return mChangeCount; }

private:
  static constexpr double kUseTimeConstantS = 10.0;
  static constexpr double kServedTimeConstantS = 30.0;

  struct Account
  {
    DecayingRate runnerTime{ kUseTimeConstantS };
    DecayingRate requests{ kServedTimeConstantS };
    DecayingRate assigned{ kServedTimeConstantS };
  };

  Account& Track(TimePoint aNow, const ClientAccountId& aAccount);
  void AddUse(TimePoint aNow, const ClientAccountId& aAccount, const RunnerUse& aUse, double aSign);
  /* Returns the runner time that the account is entitled to, in seconds per second. */
  double Entitlement(TimePoint aNow, const ClientAccountId& aAccount) const;

  std::shared_ptr<const ClientAccounts> mAccounts;
  std::map<ClientAccountId, Account> mTracked;
  Account mTotal;
  DecayingRate mTotalTokens{ kUseTimeConstantS };
  DecayingRate mTotalAssigned{ kUseTimeConstantS };
  std::uint64_t mChangeCount = 0;
};

/* A waiting request, by its position in order of priority and arrival. */
struct WaitingTurn
{
  std::size_t position = 0;
  std::uint32_t priority = 0;
  ClientAccountId account;
};

/* Goes through waiting requests once. Within a priority, the next request is the oldest one of the
 * account that has used least at that time, so an assignment counts for the request after it. It
 * costs a logarithm of the number of accounts for each request. */
class AssignmentRound
{
public:
  /* aOrder must outlive this. aTurns are ordered by position. */
  AssignmentRound(const AssignmentOrder& aOrder,
                  TimePoint aNow,
                  const std::vector<WaitingTurn>& aTurns);
  AssignmentRound(const AssignmentRound&) = delete;
  AssignmentRound& operator=(const AssignmentRound&) = delete;
  /* Returns the position of the next request, or nothing at the end. */
  std::optional<std::size_t> Next();

private:
  /* The requests of one account and priority. */
  struct Queue
  {
    ClientAccountId account;
    std::int64_t rank = 0; ///< The priority, or kStarvedRank.
    std::vector<std::size_t> positions;
    std::size_t next = 0;
    double use = 0.0;
    std::uint64_t usedAtChange = 0; ///< Change count of the order when the use was determined.
  };
  static constexpr std::int64_t kStarvedRank = -1;

  /* Returns whether the queue on the right goes first. */
  struct GoesAfter
  {
    const std::vector<Queue>* queues;
    bool operator()(std::size_t aLeft, std::size_t aRight) const;
  };

  /* Determines the queue's use if it may have changed. Returns whether it did. */
  bool UpdateUse(Queue& aQueue) const;

  const AssignmentOrder* mOrder;
  TimePoint mNow;
  std::vector<Queue> mQueues;
  std::priority_queue<std::size_t, std::vector<std::size_t>, GoesAfter> mHeap;
};

} // namespace rhubarbtrail::fleet

#endif

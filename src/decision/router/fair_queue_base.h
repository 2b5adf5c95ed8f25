/* Waiting requests: by priority, then fairly among customers, then by deadline. */
#ifndef RHUBARBTRAIL_DECISION_ROUTER_FAIR_QUEUE_BASE_H
#define RHUBARBTRAIL_DECISION_ROUTER_FAIR_QUEUE_BASE_H

#include "core/id_type.h"
#include "core/unit_type.h"
#include "decision/message_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace rhubarbtrail {

/* What the queue must know of a request. */
struct QueuedRequest
{
  RequestId request;
  CustomerId customer;
  std::uint32_t weight = 1; ///< Share of the customer against others.
  std::uint32_t priority = 1;
  TimePoint deadline{};
};

/* The virtual time of each customer: how much service it has had for its weight. One clock is
 * shared by all queues of a daemon, so that service on one model counts on another. */
class FairClock
{
public:
  /* Returns the virtual time at which the customer's next request starts. */
  double StartOf(const CustomerId& aCustomer) const;

  /* Charges the customer for one request that is being started. */
  void Charge(const CustomerId& aCustomer, std::uint32_t aWeight);

private:
  std::unordered_map<CustomerId, double> mVirtualTimes;
  double mNow = 0;
};

/* The waiting requests of one artifact or plain service. */
class FairQueue
{
public:
  void Push(const QueuedRequest& aRequest);
  void Remove(const QueuedRequest& aRequest);

  /* Returns the request that goes next, or nothing. Costs one step for each waiting customer. */
  std::optional<RequestId> Peek(const FairClock& aClock) const;

  /* Returns the rank of the request that Peek() names; the smaller one goes first. */
  std::optional<std::pair<std::uint32_t, double>> BestRank(const FairClock& aClock) const;

  /* Returns how many waiting requests go before this one if it is pushed now: those of higher
   * priority, and of each customer as many as its weight allows while this customer's own
   * requests go. */
  double CountAhead(const QueuedRequest& aRequest) const;

  /* Returns the customer's request that would go last. */
  std::optional<RequestId> LastOf(const CustomerId& aCustomer) const;

  bool empty() const { return mSize == 0; }
  std::size_t size() const { return mSize; }
  TimePoint EarliestDeadline() const;
  /* Returns the requests whose deadlines are before a time. */
  std::vector<RequestId> DueBefore(TimePoint aTime) const;

private:
  using ByDeadline = std::set<std::pair<TimePoint, RequestId>>;
  struct Best
  {
    std::uint32_t priority = 0;
    double start = 0;
    const ByDeadline* requests = nullptr;
  };
  std::optional<Best> FindBest(const FairClock& aClock) const;

  struct Backlog
  {
    ByDeadline requests;
    std::uint32_t weight = 1;
  };

  std::map<std::uint32_t, std::map<CustomerId, Backlog>> mByPriority;
  std::size_t mSize = 0;
};

} // namespace rhubarbtrail

#endif

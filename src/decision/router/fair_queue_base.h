/* Queue of waiting requests, ordered by priority, then fairly among customers, then by deadline. */
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

/* The properties of a request that decide its order in the queue. */
struct QueuedRequest
{
  RequestId request;
  CustomerId customer;
  std::uint32_t weight = 1;   ///< Share of service of the customer, relative to other customers.
  std::uint32_t priority = 1; ///< Lower values go first.
  TimePoint deadline{};
};

/* The virtual time of each customer, which is the service it has received divided by its weight.
 * All queues of a daemon share one clock, so that service by one model counts for all models. */
class FairClock
{
public:
  /* Returns the virtual time at which the customer's next request starts. */
  double VirtualStartOf(const CustomerId& aCustomer) const;

  /* Advances the customer's virtual time by the cost of one request, which starts now. */
  void Charge(const CustomerId& aCustomer, std::uint32_t aWeight);

private:
  std::unordered_map<CustomerId, double> mVirtualTimes;
  double mVirtualNow = 0;
};

/* The waiting requests for one artifact or plain service. */
class FairQueue
{
public:
  void Push(const QueuedRequest& aRequest);
  void Remove(const QueuedRequest& aRequest);

  /* Returns the request to start next, if any. Takes time linear in the number of customers that
   * wait at the best priority. */
  std::optional<RequestId> Peek(const FairClock& aClock) const;

  /* Returns the priority and the virtual start time of the request that Peek() returns. Among
   * several queues the one with the smallest rank goes first. */
  std::optional<std::pair<std::uint32_t, double>> BestRank(const FairClock& aClock) const;

  /* Estimates how many waiting requests would start before this one if it were pushed now. Counts
   * all requests of higher priority and all of its own customer at its priority. Of each other
   * customer at its priority it counts at most n x the ratio of that customer's weight to its own,
   * where n is the number of its own customer's requests at that priority including itself. */
  double EstimateAhead(const QueuedRequest& aRequest) const;

  /* Returns the customer's request of the lowest priority and, among these, the latest deadline. */
  std::optional<RequestId> LastRequestOf(const CustomerId& aCustomer) const;

  bool empty() const { return mSize == 0; }
  std::size_t size() const { return mSize; }
  /* Returns TimePoint::max() if the queue is empty. */
  TimePoint EarliestDeadline() const;
  /* Returns the requests with a deadline before aTime. */
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

/* Start-time fair queueing among customers, and earliest deadline first for each customer. */
#include "decision/router/fair_queue_base.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Number of stored virtual times above which those that are not ahead of the clock are erased. That
 * changes no order, as VirtualStartOf() returns the clock's time for these customers anyway. */
constexpr std::size_t kStoredCustomerLimit = 65'536;

} // namespace

double FairClock::VirtualStartOf(const CustomerId& aCustomer) const
{
  const auto found = mVirtualTimes.find(aCustomer);
  return found == mVirtualTimes.end() ? mVirtualNow : std::max(mVirtualNow, found->second);
}

void FairClock::Charge(const CustomerId& aCustomer, std::uint32_t aWeight)
{
  const double start = VirtualStartOf(aCustomer);
  mVirtualNow = start;
  mVirtualTimes[aCustomer] = start + 1.0 / std::max(1U, aWeight);
  if (mVirtualTimes.size() > kStoredCustomerLimit) {
    std::erase_if(mVirtualTimes, [this](const auto& aItem) { return aItem.second <= mVirtualNow; });
  }
}

void FairQueue::Push(const QueuedRequest& aRequest)
{
  Backlog& backlog = mByPriority[aRequest.priority][aRequest.customer];
  backlog.weight = std::max(1U, aRequest.weight);
  if (backlog.requests.emplace(aRequest.deadline, aRequest.request).second) {
    ++mSize;
  }
}

void FairQueue::Remove(const QueuedRequest& aRequest)
{
  const auto byCustomer = mByPriority.find(aRequest.priority);
  if (byCustomer == mByPriority.end()) {
    return;
  }
  const auto requests = byCustomer->second.find(aRequest.customer);
  if (requests == byCustomer->second.end()) {
    return;
  }
  mSize -= requests->second.requests.erase({ aRequest.deadline, aRequest.request });
  if (requests->second.requests.empty()) {
    byCustomer->second.erase(requests);
  }
  if (byCustomer->second.empty()) {
    mByPriority.erase(byCustomer);
  }
}

std::optional<FairQueue::Best> FairQueue::FindBest(const FairClock& aClock) const
{
  if (mByPriority.empty()) {
    return std::nullopt;
  }
  const auto& [priority, byCustomer] = *mByPriority.begin();
  Best best{ priority, 0, nullptr };
  for (const auto& [customer, backlog] : byCustomer) {
    const double start = aClock.VirtualStartOf(customer);
    if (best.requests == nullptr || start < best.start) {
      best.start = start;
      best.requests = &backlog.requests;
    }
  }
  return best;
}

std::optional<RequestId> FairQueue::Peek(const FairClock& aClock) const
{
  const auto best = FindBest(aClock);
  if (!best) {
    return std::nullopt;
  }
  return best->requests->begin()->second;
}

std::optional<std::pair<std::uint32_t, double>> FairQueue::BestRank(const FairClock& aClock) const
{
  const auto best = FindBest(aClock);
  if (!best) {
    return std::nullopt;
  }
  return std::pair{ best->priority, best->start };
}

double FairQueue::EstimateAhead(const QueuedRequest& aRequest) const
{
  double ahead = 0;
  for (const auto& [priority, byCustomer] : mByPriority) {
    if (priority > aRequest.priority) {
      break;
    }
    const auto own = byCustomer.find(aRequest.customer);
    const std::size_t ownWaiting = own == byCustomer.end() ? 0 : own->second.requests.size();
    const double rounds =
      static_cast<double>(ownWaiting + 1) / static_cast<double>(std::max(1U, aRequest.weight));
    for (const auto& [customer, backlog] : byCustomer) {
      const auto waiting = static_cast<double>(backlog.requests.size());
      const bool isShared = priority == aRequest.priority && customer != aRequest.customer;
      ahead += isShared ? std::min(waiting, rounds * backlog.weight) : waiting;
    }
  }
  return ahead;
}

std::optional<RequestId> FairQueue::LastRequestOf(const CustomerId& aCustomer) const
{
  for (auto byCustomer = mByPriority.rbegin(); byCustomer != mByPriority.rend(); ++byCustomer) {
    const auto found = byCustomer->second.find(aCustomer);
    if (found != byCustomer->second.end()) {
      return found->second.requests.rbegin()->second;
    }
  }
  return std::nullopt;
}

TimePoint FairQueue::EarliestDeadline() const
{
  TimePoint earliest = TimePoint::max();
  for (const auto& [priority, byCustomer] : mByPriority) {
    for (const auto& [customer, backlog] : byCustomer) {
      earliest = std::min(earliest, backlog.requests.begin()->first);
    }
  }
  return earliest;
}

std::vector<RequestId> FairQueue::DueBefore(TimePoint aTime) const
{
  std::vector<RequestId> due;
  for (const auto& [priority, byCustomer] : mByPriority) {
    for (const auto& [customer, backlog] : byCustomer) {
      for (const auto& [deadline, request] : backlog.requests) {
        if (deadline >= aTime) {
          break;
        }
        due.push_back(request);
      }
    }
  }
  return due;
}

} // namespace rhubarbtrail

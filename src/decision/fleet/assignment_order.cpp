/* Fair order of waiting requests over client accounts. */
#include "decision/fleet/assignment_order.h"

#include "decision/fleet/dispatch_estimate.h"

#include <algorithm>
#include <tuple>

namespace rhubarbtrail::fleet {

namespace {

/* Operators set quotas to 1.8 times the usual use. An account without a quota is entitled to as
 * much over its equal part. */
constexpr double kQuotaPerUsualUse = 1.8;
/* An account counts as starved below this part of the share of assigned requests of all accounts.
 * Operators allow a quarter at the least. */
constexpr double kStarvedShare = 0.35;
/* Requests of an account within the time constant from which its share is meaningful. */
constexpr double kMinRequestsForShare = 4.0;
/* Part of the average relative use above which an account is not starved, whatever it sent: it
 * sends more than its part. */
constexpr double kStarvedUse = 0.5;
/* Number of accounts above which those without recent requests are forgotten, and their rate. */
constexpr std::size_t kMaxTrackedAccounts = 1'000;
constexpr double kForgottenRate = 1e-3;

} // namespace

AssignmentOrder::Account& AssignmentOrder::Track(TimePoint aNow, const ClientAccountId& aAccount)
{
  if (mTracked.size() > kMaxTrackedAccounts) {
    std::erase_if(mTracked, [&](const auto& aItem) {
      return aItem.first != aAccount && aItem.second.requests.ValueAt(aNow) < kForgottenRate;
    });
  }
  return mTracked[aAccount];
}

void AssignmentOrder::OnRequest(TimePoint aNow, const ClientAccountId& aAccount)
{
  if (IsEnabled()) {
    Track(aNow, aAccount).requests.Add(aNow, 1.0);
    mTotal.requests.Add(aNow, 1.0);
  }
}

void AssignmentOrder::OnAssigned(TimePoint aNow,
                                 const ClientAccountId& aAccount,
                                 const RunnerUse& aUse)
{
  AddUse(aNow, aAccount, aUse, 1.0);
}

void AssignmentOrder::OnNotRun(TimePoint aNow,
                               const ClientAccountId& aAccount,
                               const RunnerUse& aUse)
{
  AddUse(aNow, aAccount, aUse, -1.0);
}

void AssignmentOrder::AddUse(TimePoint aNow,
                             const ClientAccountId& aAccount,
                             const RunnerUse& aUse,
                             double aSign)
{
  if (!IsEnabled()) {
    return;
  }
  ++mChangeCount;
  Account& account = Track(aNow, aAccount);
  const double time = ToSeconds(aUse.time) * aSign;
  for (Account* changed : { &account, &mTotal }) {
    changed->runnerTime.Add(aNow, time);
    changed->assigned.Add(aNow, aSign);
  }
  mTotalTokens.Add(aNow, static_cast<double>(aUse.tokens) * aSign);
  mTotalAssigned.Add(aNow, aSign);
}

void AssignmentOrder::Clear()
{
  mTracked.clear();
  mTotal = {};
  mTotalTokens = DecayingRate{ kUseTimeConstantS };
  mTotalAssigned = DecayingRate{ kUseTimeConstantS };
  ++mChangeCount;
}

std::vector<ClientAccountId> AssignmentOrder::Accounts() const
{
  std::vector<ClientAccountId> accounts;
  accounts.reserve(mTracked.size());
  for (const auto& [id, account] : mTracked) {
    accounts.push_back(id);
  }
  return accounts;
}

double AssignmentOrder::Entitlement(TimePoint aNow, const ClientAccountId& aAccount) const
{
  const double total = mTotal.runnerTime.ValueAt(aNow);
  const ClientAccount* account = mAccounts ? mAccounts->Find(aAccount) : nullptr;
  if (account == nullptr || !account->quota.IsLimited()) {
    return kQuotaPerUsualUse * total / std::max<double>(static_cast<double>(mTracked.size()), 1.0);
  }
  const DecayingRate& units =
    account->quota.unit == QuotaUnit::kTokens ? mTotalTokens : mTotalAssigned;
  const double unitRate = units.ValueAt(aNow);
  return unitRate > 0.0 ? account->quota.perSecond * total / unitRate : 0.0;
}

double AssignmentOrder::RelativeUse(TimePoint aNow, const ClientAccountId& aAccount) const
{
  const auto found = mTracked.find(aAccount);
  const double use = found == mTracked.end() ? 0.0 : found->second.runnerTime.ValueAt(aNow);
  const double entitlement = Entitlement(aNow, aAccount);
  return use > 0.0 && entitlement > 0.0 ? use / entitlement : 0.0;
}

bool AssignmentOrder::IsStarved(TimePoint aNow, const ClientAccountId& aAccount) const
{
  const auto found = mTracked.find(aAccount);
  if (found == mTracked.end()) {
    return false;
  }
  const double requests = found->second.requests.ValueAt(aNow);
  const double allRequests = mTotal.requests.ValueAt(aNow);
  if (requests * kServedTimeConstantS < kMinRequestsForShare ||
      found->second.assigned.ValueAt(aNow) * allRequests >=
        kStarvedShare * mTotal.assigned.ValueAt(aNow) * requests) {
    return false;
  }
  double sum = 0.0;
  for (const auto& [id, account] : mTracked) {
    sum += RelativeUse(aNow, id);
  }
  return RelativeUse(aNow, aAccount) * static_cast<double>(mTracked.size()) < kStarvedUse * sum;
}

bool AssignmentRound::GoesAfter::operator()(std::size_t aLeft, std::size_t aRight) const
{
  const auto key = [this](std::size_t aIndex) {
    const Queue& queue = (*queues)[aIndex];
    return std::tuple{ queue.rank, queue.use, queue.positions[queue.next] };
  };
  return key(aLeft) > key(aRight);
}

AssignmentRound::AssignmentRound(const AssignmentOrder& aOrder,
                                 TimePoint aNow,
                                 const std::vector<WaitingTurn>& aTurns)
  : mOrder(&aOrder)
  , mNow(aNow)
  , mHeap(GoesAfter{ &mQueues })
{
  std::map<ClientAccountId, bool> starved;
  std::map<std::pair<std::int64_t, ClientAccountId>, std::size_t> indexes;
  for (const WaitingTurn& turn : aTurns) {
    const auto [isStarved, isNew] = starved.try_emplace(turn.account, false);
    if (isNew) {
      isStarved->second = aOrder.IsStarved(aNow, turn.account);
    }
    const std::int64_t rank = isStarved->second ? kStarvedRank : std::int64_t{ turn.priority };
    const auto [index, isFirst] =
      indexes.try_emplace(std::pair{ rank, turn.account }, mQueues.size());
    if (isFirst) {
      mQueues.push_back({ .account = turn.account,
                          .rank = rank,
                          .positions = {},
                          .use = aOrder.RelativeUse(aNow, turn.account),
                          .usedAtChange = aOrder.changeCount() });
    }
    mQueues[index->second].positions.push_back(turn.position);
  }
  for (std::size_t index = 0; index < mQueues.size(); ++index) {
    mHeap.push(index);
  }
}

bool AssignmentRound::UpdateUse(Queue& aQueue) const
{
  if (aQueue.usedAtChange == mOrder->changeCount()) {
    return false;
  }
  const double use = mOrder->RelativeUse(mNow, aQueue.account);
  const bool isChanged = use != aQueue.use;
  aQueue.use = use;
  aQueue.usedAtChange = mOrder->changeCount();
  return isChanged;
}

std::optional<std::size_t> AssignmentRound::Next()
{
  while (!mHeap.empty()) {
    const std::size_t index = mHeap.top();
    mHeap.pop();
    Queue& queue = mQueues[index];
    if (UpdateUse(queue)) {
      mHeap.push(index); // An assignment since then may have put another account first.
      continue;
    }
    const std::size_t position = queue.positions[queue.next++];
    if (queue.next < queue.positions.size()) {
      mHeap.push(index);
    }
    return position;
  }
  return std::nullopt;
}

} // namespace rhubarbtrail::fleet

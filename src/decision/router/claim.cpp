/* Group commit of claims: one table transaction writes many of them. */
#include "decision/router/claim_base.h"

#include <algorithm>
#include <utility>

namespace rhubarbtrail {

namespace {

/* Time without a claim result after which the request is refused as not run. */
constexpr Duration kClaimTimeout = 2s;
/* Least time between the starts of two transactions under load, so that batches become larger. */
constexpr Duration kCommitSpacing = 20ms;
/* Batch size from which on the next transaction is delayed by kCommitSpacing. */
constexpr std::size_t kGroupSize = 4;
/* Consecutive transactions with an unknown outcome after which a daemon may stop. */
constexpr std::uint32_t kShutdownFailures = 10;

} // namespace

std::optional<ClaimVerdict> ClaimBook::Ask(Context& aContext, const RequestArrived& aArrived)
{
  Entry entry;
  entry.key = ClaimKey(aArrived.customer, aArrived.key);
  entry.row.request = aArrived.request;
  entry.row.owner = aContext.self();
  entry.row.fingerprint = aArrived.fingerprint;
  entry.askedAt = aContext.now();
  const auto other = mByKey.find(entry.key);
  if (other != mByKey.end()) {
    const ClaimRow& found = mEntries.at(other->second).row;
    const ClaimOutcome outcome = Judge(found, entry.row);
    return ClaimVerdict{ aArrived.request,
                         outcome == ClaimOutcome::kHeld ? ClaimOutcome::kInProgress : outcome,
                         found };
  }
  mByKey[entry.key] = aArrived.request;
  Entry& stored = mEntries[aArrived.request] = std::move(entry);
  Queue(aArrived.request, stored);
  aContext.WakeBy(aContext.now() + kClaimTimeout);
  Send(aContext);
  return std::nullopt;
}

void ClaimBook::Queue(const RequestId& aRequest, Entry& aEntry)
{
  if (!aEntry.isQueued && !aEntry.inBatch) {
    aEntry.isQueued = true;
    mWaiting.push_back(aRequest);
  }
}

void ClaimBook::Erase(const RequestId& aRequest)
{
  const auto found = mEntries.find(aRequest);
  mByKey.erase(found->second.key);
  mEntries.erase(found);
}

void ClaimBook::Record(Context& aContext,
                       const RequestId& aRequest,
                       ClaimState aState,
                       ClaimEnd aEnd,
                       const AttemptEnded& aEnded)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.row.state = aState;
  entry.row.httpStatus = aEnded.httpStatus;
  entry.row.contentType = aEnded.contentType;
  entry.row.answer = aEnded.answer;
  entry.step = Step::kUpdate;
  entry.isOpen = aEnd == ClaimEnd::kOpen;
  Queue(aRequest, entry);
  Send(aContext);
}

void ClaimBook::Release(Context& aContext, const RequestId& aRequest)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.isAsked = false;
  if (entry.step == Step::kInsert) {
    const bool wasSent = entry.inBatch || entry.mayLand;
    if (!wasSent) {
      Erase(aRequest);
    }
    // Otherwise the insertion may still take effect. SettleInsert() releases the claim when it has.
    return;
  }
  entry.step = Step::kRelease;
  entry.isOpen = false;
  Queue(aRequest, entry);
  Send(aContext);
}

void ClaimBook::Send(Context& aContext)
{
  if (!mChange.empty() || mWaiting.empty()) {
    return;
  }
  if (mNextSend > aContext.now()) {
    aContext.WakeBy(mNextSend);
    return;
  }
  TableTransaction transaction;
  while (!mWaiting.empty() && mBatch.size() < aContext.settings().claimBatch) {
    const RequestId request = std::move(mWaiting.front());
    mWaiting.pop_front();
    const auto found = mEntries.find(request);
    if (found == mEntries.end() || !found->second.isQueued) {
      continue;
    }
    Entry& entry = found->second;
    entry.isQueued = false;
    entry.inBatch = true;
    if (entry.step == Step::kRelease) {
      entry.row.state = ClaimState::kReleased;
    }
    transaction.conditions.push_back({ entry.key, entry.version });
    // After a deletion an insertion that takes effect late would succeed. While one is possible,
    // the row is kept and marked as released instead.
    const bool isDeleted = entry.step == Step::kRelease && !entry.mayLand;
    transaction.writes.push_back(
      { entry.key, isDeleted ? std::nullopt : std::optional<RowValue>{ entry.row } });
    mBatch.push_back(request);
  }
  if (mBatch.empty()) {
    return;
  }
  mChange = ChangeId{ aContext.NewName() };
  mNextSend = aContext.now() + (mBatch.size() >= kGroupSize ? kCommitSpacing : Duration{});
  transaction.change = mChange;
  aContext.Emit(std::move(transaction));
}

ClaimOutcome ClaimBook::Judge(const ClaimRow& aFound, const ClaimRow& aOurs)
{
  if (aFound.fingerprint != aOurs.fingerprint) {
    return ClaimOutcome::kReused;
  }
  switch (aFound.state) {
    case ClaimState::kClaimed:
    case ClaimState::kReleased:
      return ClaimOutcome::kHeld;
    case ClaimState::kDone:
      return ClaimOutcome::kDone;
    case ClaimState::kUnknown:
      break;
  }
  return ClaimOutcome::kUnknown;
}

void ClaimBook::Settle(const RequestId& aRequest, const Row& aRow, std::vector<ClaimVerdict>& aOut)
{
  Entry& entry = mEntries.at(aRequest);
  const auto* row = aRow.value ? std::get_if<ClaimRow>(&*aRow.value) : nullptr;
  const bool isOurs = row != nullptr && row->request == aRequest && row->owner == entry.row.owner;
  entry.version = aRow.version;
  if (entry.step == Step::kInsert) {
    SettleInsert(aRequest, entry, row, aOut);
    return;
  }
  // The write of an end or a release is repeated until the row has its state.
  const bool isWritten = !isOurs || row->state == entry.row.state;
  if (!isWritten) {
    Queue(aRequest, entry);
  } else if (entry.isOpen && isOurs) {
    entry.step = Step::kGranted;
  } else {
    Erase(aRequest);
  }
}

void ClaimBook::SettleInsert(const RequestId& aRequest,
                             Entry& aEntry,
                             const ClaimRow* aRow,
                             std::vector<ClaimVerdict>& aOut)
{
  const bool isFree = aRow == nullptr || aRow->state == ClaimState::kReleased;
  if (isFree) {
    if (!aEntry.isAsked && !aEntry.mayLand) {
      Erase(aRequest);
      return;
    }
    Queue(aRequest, aEntry);
    return;
  }
  if (aRow->request != aRequest || aRow->owner != aEntry.row.owner) {
    if (aEntry.isAsked) {
      aOut.push_back({ aRequest, Judge(*aRow, aEntry.row), *aRow });
    }
    Erase(aRequest);
    return;
  }
  if (!aEntry.isAsked) {
    aEntry.step = Step::kRelease;
    Queue(aRequest, aEntry);
    return;
  }
  aEntry.isAsked = false;
  aEntry.step = Step::kGranted;
  aOut.push_back({ aRequest, ClaimOutcome::kGranted, {} });
}

std::vector<ClaimVerdict> ClaimBook::OnResult(Context& aContext, const TransactionResult& aResult)
{
  std::vector<ClaimVerdict> verdicts;
  if (mChange.empty() || aResult.change != mChange) {
    return verdicts;
  }
  mChange = {};
  const bool isUnknown = aResult.outcome == TransactionOutcome::kUnknown;
  mFailures = isUnknown ? mFailures + 1 : 0;
  if (isUnknown) {
    mNextSend = aContext.now() + aContext.settings().tableRetry;
  }
  const std::vector<RequestId> batch = std::exchange(mBatch, {});
  for (const RequestId& request : batch) {
    Entry& entry = mEntries.at(request);
    entry.inBatch = false;
    entry.mayLand = entry.mayLand || isUnknown;
    const auto row = std::find_if(aResult.rows.begin(), aResult.rows.end(), [&](const Row& aRow) {
      return aRow.key == entry.key;
    });
    if (!isUnknown && row != aResult.rows.end()) {
      Settle(request, *row, verdicts);
    }
  }
  // Claims go first in the next batch if their outcome is unknown or if the transaction failed
  // because of other rows. So at most one batch of insertions can take effect late. A repeated
  // insertion whose first write took effect fails its condition, and the table returns the claim's
  // own row.
  for (auto request = batch.rbegin(); request != batch.rend(); ++request) {
    const auto found = mEntries.find(*request);
    const bool isSettled =
      found == mEntries.end() || found->second.isQueued || found->second.step == Step::kGranted;
    if (!isSettled) {
      found->second.isQueued = true;
      mWaiting.push_front(*request);
    }
  }
  Send(aContext);
  return verdicts;
}

std::vector<ClaimVerdict> ClaimBook::OnWake(Context& aContext)
{
  std::vector<ClaimVerdict> verdicts;
  for (auto& [request, entry] : mEntries) {
    if (entry.step != Step::kInsert || !entry.isAsked) {
      continue;
    }
    if (aContext.now() - entry.askedAt >= kClaimTimeout) {
      entry.isAsked = false;
      verdicts.push_back({ request, ClaimOutcome::kUnavailable, {} });
      continue;
    }
    aContext.WakeBy(entry.askedAt + kClaimTimeout);
  }
  Send(aContext);
  return verdicts;
}

bool ClaimBook::IsIdle() const
{
  return mEntries.empty() || mFailures >= kShutdownFailures;
}

} // namespace rhubarbtrail

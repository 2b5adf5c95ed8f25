/* Group commit of claims: one table transaction writes many of them. */
#include "decision/router/claim_base.h"

#include <algorithm>
#include <utility>

namespace rhubarbtrail {

namespace {

/* Time without a claim result after which the request is refused as not run. */
constexpr Duration kClaimTimeout = 2s;
/* Time from the request of a claim during which a claim that another daemon's request holds is read
 * again before the request is refused, and the interval of these reads. A daemon answers its caller
 * before the answer is stored, so a repeat of the request may find the claim still held. */
constexpr Duration kHeldClaimWait = 400ms;
constexpr Duration kHeldClaimInterval = 50ms;
/* Least time between the starts of two transactions under load, so that batches become larger. */
constexpr Duration kCommitSpacing = 20ms;
/* Batch size from which on the next transaction is delayed by kCommitSpacing. */
constexpr std::size_t kDelayingBatchSize = 4;
/* Consecutive transactions with an unknown outcome after which a daemon may stop. */
constexpr std::uint32_t kShutdownUnknowns = 10;

} // namespace

std::optional<ClaimResult> ClaimWriter::RequestClaim(Context& aContext,
                                                     const RequestArrived& aArrived)
{
  Entry entry;
  entry.key = ClaimKey(aArrived.customer, aArrived.key);
  entry.row.request = aArrived.request;
  entry.row.owner = aContext.self();
  entry.row.fingerprint = aArrived.fingerprint;
  entry.requestedAt = aContext.now();
  const auto other = mRequestsByKey.find(entry.key);
  if (other != mRequestsByKey.end()) {
    const ClaimRow& found = mEntries.at(other->second).row;
    const ClaimOutcome outcome = OutcomeOf(found, entry.row);
    return ClaimResult{ aArrived.request,
                        outcome == ClaimOutcome::kHeld ? ClaimOutcome::kInProgress : outcome,
                        found };
  }
  mRequestsByKey[entry.key] = aArrived.request;
  Entry& stored = mEntries[aArrived.request] = std::move(entry);
  QueueWrite(aArrived.request, stored);
  aContext.WakeBy(aContext.now() + kClaimTimeout);
  SendBatch(aContext);
  return std::nullopt;
}

void ClaimWriter::QueueWrite(const RequestId& aRequest, Entry& aEntry)
{
  if (!aEntry.isQueued && !aEntry.isInBatch) {
    aEntry.isQueued = true;
    mQueued.push_back(aRequest);
  }
}

void ClaimWriter::Erase(const RequestId& aRequest)
{
  const auto found = mEntries.find(aRequest);
  mRequestsByKey.erase(found->second.key);
  mEntries.erase(found);
}

void ClaimWriter::Record(Context& aContext,
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
  entry.isProvisional = aEnd == ClaimEnd::kProvisional;
  QueueWrite(aRequest, entry);
  SendBatch(aContext);
}

void ClaimWriter::Release(Context& aContext, const RequestId& aRequest)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.isResultDue = false;
  if (entry.step == Step::kInsert) {
    const bool wasSent = entry.isInBatch || entry.mayTakeEffectLate;
    if (!wasSent) {
      Erase(aRequest);
    }
    // Otherwise the insertion may still take effect. ApplyInsertedRow() releases the claim when it
    // has.
    return;
  }
  entry.step = Step::kRelease;
  entry.isProvisional = false;
  QueueWrite(aRequest, entry);
  SendBatch(aContext);
}

void ClaimWriter::SendBatch(Context& aContext)
{
  if (!mPendingChange.empty() || mQueued.empty()) {
    return;
  }
  if (mNextSendAt > aContext.now()) {
    aContext.WakeBy(mNextSendAt);
    return;
  }
  TableTransaction transaction;
  while (!mQueued.empty() && mBatch.size() < aContext.settings().claimBatch) {
    const RequestId request = std::move(mQueued.front());
    mQueued.pop_front();
    const auto found = mEntries.find(request);
    if (found == mEntries.end() || !found->second.isQueued) {
      continue;
    }
    Entry& entry = found->second;
    entry.isQueued = false;
    entry.isInBatch = true;
    if (entry.step == Step::kRelease) {
      entry.row.state = ClaimState::kReleased;
    }
    transaction.conditions.push_back({ entry.key, entry.version });
    // After a deletion an insertion that takes effect late would succeed. While one is possible,
    // the row is kept and marked as released instead.
    const bool isDeleted = entry.step == Step::kRelease && !entry.mayTakeEffectLate;
    transaction.writes.push_back(
      { entry.key, isDeleted ? std::nullopt : std::optional<RowValue>{ entry.row } });
    mBatch.push_back(request);
  }
  if (mBatch.empty()) {
    return;
  }
  mPendingChange = ChangeId{ aContext.NewUniqueId() };
  mNextSendAt =
    aContext.now() + (mBatch.size() >= kDelayingBatchSize ? kCommitSpacing : Duration{});
  transaction.change = mPendingChange;
  aContext.Emit(std::move(transaction));
}

ClaimOutcome ClaimWriter::OutcomeOf(const ClaimRow& aFound, const ClaimRow& aOurs)
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

void ClaimWriter::ApplyRow(Context& aContext,
                           const RequestId& aRequest,
                           const Row& aRow,
                           std::vector<ClaimResult>& aResults)
{
  Entry& entry = mEntries.at(aRequest);
  const auto* row = aRow.value ? std::get_if<ClaimRow>(&*aRow.value) : nullptr;
  const bool isOurs = row != nullptr && row->request == aRequest && row->owner == entry.row.owner;
  entry.version = aRow.version;
  if (entry.step == Step::kInsert) {
    ApplyInsertedRow(aContext, aRequest, entry, row, aResults);
    return;
  }
  // The write of an end or a release is repeated until the row has its state.
  const bool isWritten = !isOurs || row->state == entry.row.state;
  if (!isWritten) {
    QueueWrite(aRequest, entry);
  } else if (entry.isProvisional && isOurs) {
    entry.step = Step::kGranted;
  } else {
    Erase(aRequest);
  }
}

void ClaimWriter::ApplyInsertedRow(Context& aContext,
                                   const RequestId& aRequest,
                                   Entry& aEntry,
                                   const ClaimRow* aRow,
                                   std::vector<ClaimResult>& aResults)
{
  const bool isFree = aRow == nullptr || aRow->state == ClaimState::kReleased;
  if (isFree) {
    if (!aEntry.isResultDue && !aEntry.mayTakeEffectLate) {
      Erase(aRequest);
      return;
    }
    QueueWrite(aRequest, aEntry);
    return;
  }
  if (aRow->request != aRequest || aRow->owner != aEntry.row.owner) {
    const ClaimOutcome outcome = OutcomeOf(*aRow, aEntry.row);
    if (aEntry.isResultDue && outcome == ClaimOutcome::kHeld &&
        aContext.now() - aEntry.requestedAt < kHeldClaimWait) {
      aEntry.version = {}; // The insertion must not replace the other request's claim.
      aEntry.nextInsertAt = aContext.now() + kHeldClaimInterval;
      aContext.WakeBy(*aEntry.nextInsertAt);
      return;
    }
    if (aEntry.isResultDue) {
      aResults.push_back({ aRequest, outcome, *aRow });
    }
    Erase(aRequest);
    return;
  }
  if (!aEntry.isResultDue) {
    aEntry.step = Step::kRelease;
    QueueWrite(aRequest, aEntry);
    return;
  }
  aEntry.isResultDue = false;
  aEntry.step = Step::kGranted;
  aResults.push_back({ aRequest, ClaimOutcome::kGranted, {} });
}

std::vector<ClaimResult> ClaimWriter::OnResult(Context& aContext, const TransactionResult& aResult)
{
  std::vector<ClaimResult> results;
  if (mPendingChange.empty() || aResult.change != mPendingChange) {
    return results;
  }
  mPendingChange = {};
  const bool isUnknown = aResult.outcome == TransactionOutcome::kUnknown;
  mConsecutiveUnknowns = isUnknown ? mConsecutiveUnknowns + 1 : 0;
  if (isUnknown) {
    mNextSendAt = aContext.now() + aContext.settings().tableRetryDelay;
  }
  const std::vector<RequestId> batch = std::exchange(mBatch, {});
  for (const RequestId& request : batch) {
    Entry& entry = mEntries.at(request);
    entry.isInBatch = false;
    entry.mayTakeEffectLate = entry.mayTakeEffectLate || isUnknown;
    const auto row = std::find_if(aResult.rows.begin(), aResult.rows.end(), [&](const Row& aRow) {
      return aRow.key == entry.key;
    });
    if (!isUnknown && row != aResult.rows.end()) {
      ApplyRow(aContext, request, *row, results);
    }
  }
  // Claims go first in the next batch if their outcome is unknown or if the transaction failed
  // because of other rows. So at most one batch of insertions can take effect late. A repeated
  // insertion whose first write took effect fails its condition, and the table returns the claim's
  // own row.
  for (auto request = batch.rbegin(); request != batch.rend(); ++request) {
    const auto found = mEntries.find(*request);
    const bool isSettled = found == mEntries.end() || found->second.isQueued ||
                           found->second.nextInsertAt || found->second.step == Step::kGranted;
    if (!isSettled) {
      found->second.isQueued = true;
      mQueued.push_front(*request);
    }
  }
  SendBatch(aContext);
  return results;
}

std::vector<ClaimResult> ClaimWriter::OnWake(Context& aContext)
{
  std::vector<ClaimResult> results;
  for (auto& [request, entry] : mEntries) {
    if (entry.nextInsertAt && aContext.now() >= *entry.nextInsertAt) {
      entry.nextInsertAt.reset();
      QueueWrite(request, entry);
    } else if (entry.nextInsertAt) {
      aContext.WakeBy(*entry.nextInsertAt);
    }
    if (entry.step != Step::kInsert || !entry.isResultDue) {
      continue;
    }
    if (aContext.now() - entry.requestedAt >= kClaimTimeout) {
      entry.isResultDue = false;
      results.push_back({ request, ClaimOutcome::kUnavailable, {} });
      continue;
    }
    aContext.WakeBy(entry.requestedAt + kClaimTimeout);
  }
  SendBatch(aContext);
  return results;
}

bool ClaimWriter::IsIdle() const
{
  return mEntries.empty() || mConsecutiveUnknowns >= kShutdownUnknowns;
}

} // namespace rhubarbtrail

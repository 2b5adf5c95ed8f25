/* Group commit of claims. */
#include "decision/router/claim_base.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Longest wait for a claim before the request is refused as not run. */
constexpr Duration kClaimTimeout = 2s;
/* Tries to write a claim's end before it is left to the table's retention. */
constexpr std::uint32_t kRecordTries = 10'000;

} // namespace

void ClaimBook::Ask(Context& aContext, const RequestArrived& aArrived)
{
  Entry entry;
  entry.key = ClaimKey(aArrived.customer, aArrived.key);
  entry.row.request = aArrived.request;
  entry.row.owner = aContext.self();
  entry.row.fingerprint = aArrived.fingerprint;
  entry.askedAt = aContext.now();
  mEntries[aArrived.request] = std::move(entry);
  mWaiting.push_back(aArrived.request);
  aContext.WakeBy(aContext.now() + kClaimTimeout);
  Send(aContext);
}

void ClaimBook::Record(Context& aContext,
                       const RequestId& aRequest,
                       ClaimState aState,
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
  entry.tries = 0;
  mWaiting.push_back(aRequest);
  Send(aContext);
}

void ClaimBook::Release(Context& aContext, const RequestId& aRequest)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end()) {
    return;
  }
  found->second.isAsked = false;
  if (found->second.step != Step::kGranted) {
    // The insertion may still take effect: it is settled first, and released then.
    found->second.tries = 0;
    return;
  }
  found->second.step = Step::kRelease;
  found->second.tries = 0;
  mWaiting.push_back(aRequest);
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
  std::set<RowKey> keys;
  std::deque<RequestId> later;
  while (!mWaiting.empty() && mBatch.size() < aContext.settings().claimBatch) {
    RequestId request = mWaiting.front();
    mWaiting.pop_front();
    const auto found = mEntries.find(request);
    if (found == mEntries.end()) {
      continue;
    }
    Entry& entry = found->second;
    if (!keys.insert(entry.key).second) {
      later.push_back(std::move(request));
      continue;
    }
    entry.inBatch = true;
    transaction.conditions.push_back({ entry.key, entry.version });
    if (entry.step == Step::kRelease) {
      transaction.writes.push_back({ entry.key, std::nullopt });
    } else {
      transaction.writes.push_back({ entry.key, RowValue{ entry.row } });
    }
    mBatch.push_back(std::move(request));
  }
  mWaiting.insert(mWaiting.begin(), later.begin(), later.end());
  if (mBatch.empty()) {
    return;
  }
  mChange = ChangeId{ aContext.NewName() };
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
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end()) {
    return;
  }
  Entry& entry = found->second;
  const auto* row = aRow.value ? std::get_if<ClaimRow>(&*aRow.value) : nullptr;
  const bool isOurs = row != nullptr && row->request == aRequest && row->owner == entry.row.owner;
  entry.version = aRow.version;
  if (entry.step != Step::kInsert) {
    // An ending: it is written when the row says so, and otherwise written again.
    const bool isWritten =
      entry.step == Step::kRelease ? !isOurs : (isOurs && row->state == entry.row.state) || !isOurs;
    if (isWritten) {
      mEntries.erase(found);
    } else {
      mWaiting.push_back(aRequest);
    }
    return;
  }
  if (row == nullptr) {
    mWaiting.push_back(aRequest);
    return;
  }
  if (!isOurs) {
    if (entry.isAsked) {
      aOut.push_back({ aRequest, Judge(*row, entry.row), *row });
    }
    mEntries.erase(found);
    return;
  }
  if (!entry.isAsked) {
    entry.step = Step::kRelease;
    mWaiting.push_back(aRequest);
    return;
  }
  entry.isAsked = false;
  entry.step = Step::kGranted;
  aOut.push_back({ aRequest, ClaimOutcome::kGranted, {} });
}

std::vector<ClaimVerdict> ClaimBook::OnResult(Context& aContext, const TransactionResult& aResult)
{
  std::vector<ClaimVerdict> verdicts;
  if (aResult.change != mChange || mChange.empty()) {
    return verdicts;
  }
  mChange = {};
  const std::vector<RequestId> batch = std::move(mBatch);
  mBatch.clear();
  if (aResult.outcome == TransactionOutcome::kUnknown) {
    mNextSend = aContext.now() + aContext.settings().tableRetry;
  }
  for (const RequestId& request : batch) {
    const auto found = mEntries.find(request);
    if (found == mEntries.end()) {
      continue;
    }
    Entry& entry = found->second;
    entry.inBatch = false;
    const auto row = std::find_if(aResult.rows.begin(), aResult.rows.end(), [&](const Row& aRow) {
      return aRow.key == entry.key;
    });
    if (row != aResult.rows.end() && aResult.outcome != TransactionOutcome::kUnknown) {
      Settle(request, *row, verdicts);
      continue;
    }
    // Unknown, or held up by another row's conflict: the same write is tried again, and finds
    // its own row if it has taken effect already.
    if (++entry.tries > kRecordTries && !entry.isAsked) {
      mEntries.erase(found);
      continue;
    }
    mWaiting.push_back(request);
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

} // namespace rhubarbtrail

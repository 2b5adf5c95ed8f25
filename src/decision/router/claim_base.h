/* Claims: the right to run a non-idempotent request, taken in the table in groups. */
#ifndef RHUBARBTRAIL_DECISION_ROUTER_CLAIM_BASE_H
#define RHUBARBTRAIL_DECISION_ROUTER_CLAIM_BASE_H

#include "decision/context_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace rhubarbtrail {

/* What came of asking for a claim. */
enum class ClaimOutcome : std::uint8_t
{
  kGranted,
  kHeld,        ///< Another request with the key is claimed and may be running.
  kDone,        ///< The key's request has run; its answer is stored.
  kUnknown,     ///< The key's request was sent, and its outcome is unknown.
  kReused,      ///< The key belongs to another request body.
  kUnavailable, ///< The table cannot be reached; nothing was sent.
};

struct ClaimVerdict
{
  RequestId request;
  ClaimOutcome outcome = ClaimOutcome::kGranted;
  ClaimRow row; ///< The row found, when it is another request's.
};

/* Batches claims and their endings into transactions, one under way at a time. */
class ClaimBook
{
public:
  /* Asks for the claim of a request; the verdict comes from OnResult() or OnWake(). */
  void Ask(Context& aContext, const RequestArrived& aArrived);

  /* Records the end of a claimed request: done with its answer, or unknown. */
  void Record(Context& aContext,
              const RequestId& aRequest,
              ClaimState aState,
              const AttemptEnded& aEnded);

  /* Gives a claim back whose request was never sent. */
  void Release(Context& aContext, const RequestId& aRequest);

  /* Returns the verdicts that a transaction's result brings. */
  std::vector<ClaimVerdict> OnResult(Context& aContext, const TransactionResult& aResult);

  /* Gives up on claims whose transaction brought no answer in time. */
  std::vector<ClaimVerdict> OnWake(Context& aContext);

  /* Returns whether nothing is left to write. */
  bool IsIdle() const { return mEntries.empty(); }

private:
  enum class Step : std::uint8_t
  {
    kInsert,
    kGranted,
    kUpdate,
    kRelease,
  };
  struct Entry
  {
    RowKey key;
    ClaimRow row;
    RowVersion version;
    Step step = Step::kInsert;
    bool inBatch = false;
    bool isAsked = true; ///< Its verdict is still owed.
    TimePoint askedAt{};
    std::uint32_t tries = 0;
  };

  void Send(Context& aContext);
  void Settle(const RequestId& aRequest, const Row& aRow, std::vector<ClaimVerdict>& aOut);
  static ClaimOutcome Judge(const ClaimRow& aFound, const ClaimRow& aOurs);

  std::unordered_map<RequestId, Entry> mEntries;
  std::deque<RequestId> mWaiting;
  std::vector<RequestId> mBatch;
  ChangeId mChange; ///< The transaction under way; empty when none.
  TimePoint mNextSend{};
};

} // namespace rhubarbtrail

#endif

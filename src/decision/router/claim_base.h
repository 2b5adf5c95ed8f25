/* Claims: table rows, one for each idempotency key of a customer. An at-most-once request is sent
 * only while it holds the claim of its key, so that it runs at most once. */
#ifndef RHUBARBTRAIL_DECISION_ROUTER_CLAIM_BASE_H
#define RHUBARBTRAIL_DECISION_ROUTER_CLAIM_BASE_H

#include "decision/context_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rhubarbtrail {

/* The result of requesting a claim. */
enum class ClaimOutcome : std::uint8_t
{
  kGranted,
  kInProgress,  ///< This daemon has another unfinished claim for the key.
  kHeld,        ///< Another request holds the claim and may be running.
  kDone,        ///< The request with the key has run and its answer is stored.
  kUnknown,     ///< The request with the key was sent and its outcome is unknown.
  kReused,      ///< The key was used before with a different request body.
  kUnavailable, ///< The table gave no answer in time. The request was not sent.
};

struct ClaimResult
{
  RequestId request;
  ClaimOutcome outcome = ClaimOutcome::kGranted;
  ClaimRow row; ///< The row found, if it belongs to another request.
};

/* Whether another end of the same claim may be recorded later. */
enum class ClaimEnd : std::uint8_t
{
  kFinal,
  kProvisional, ///< The attempt is still running, and its end will be recorded too.
};

/* Writes claims and their ends to the table in batches, with one transaction in flight at a time.
 *
 * There is one entry for each requested claim until its last write is confirmed. While the table is
 * unavailable, this limits the entries to the requests that were in flight when the outage began,
 * the claims that wait for a result, which takes at most the claim timeout, and one batch of
 * insertions that may still take effect. */
class ClaimWriter
{
public:
  /* Requests the claim for a request. Returns the result if this daemon has an entry for the key
   * already. Otherwise OnResult() or OnWake() returns it later. */
  std::optional<ClaimResult> RequestClaim(Context& aContext, const RequestArrived& aArrived);

  /* Records the end of a claimed request: kDone with its answer, or kUnknown. */
  void Record(Context& aContext,
              const RequestId& aRequest,
              ClaimState aState,
              ClaimEnd aEnd,
              const AttemptEnded& aEnded);

  /* Releases the claim of a request that was never sent. */
  void Release(Context& aContext, const RequestId& aRequest);

  /* Applies the result of a transaction and returns the claim results that follow from it. */
  std::vector<ClaimResult> OnResult(Context& aContext, const TransactionResult& aResult);

  /* Repeats the insertions that are due, and returns kUnavailable for each claim without a result
   * after the claim timeout. */
  std::vector<ClaimResult> OnWake(Context& aContext);

  /* Returns whether no claim is unfinished, or the table has not answered for so long that a
   * stopping daemon leaves the unfinished claims behind. Once that daemon is proven dead, other
   * daemons report the outcome of these claims as unknown. */
  bool IsIdle() const;
  std::size_t size() const { return mEntries.size(); }

private:
  enum class Step : std::uint8_t
  {
    kInsert,
    kGranted, ///< The claim is in the table. Nothing is written until the request ends.
    kUpdate,
    kRelease,
  };
  struct Entry
  {
    RowKey key;
    ClaimRow row;
    RowVersion version;
    Step step = Step::kInsert;
    bool isQueued = false;      ///< In mQueued, to be written in a later batch.
    bool isInBatch = false;     ///< Part of the transaction in flight.
    bool isResultDue = true;    ///< The router still expects a result.
    bool isProvisional = false; ///< The recorded end is not final.
    /* The outcome of an earlier write is unknown, so it may still take effect. */
    bool mayTakeEffectLate = false;
    /* When the insertion is repeated because another daemon's request held the claim. */
    std::optional<TimePoint> nextInsertAt;
    TimePoint requestedAt{};
  };

  /* Queues the entry's next write, unless it is queued or in flight already. */
  void QueueWrite(const RequestId& aRequest, Entry& aEntry);
  void Erase(const RequestId& aRequest);
  /* Sends the next batch, unless one is in flight or the next one must be delayed. */
  void SendBatch(Context& aContext);
  /* Compares an entry with the row that the table returned, and decides on its next write. */
  void ApplyRow(Context& aContext,
                const RequestId& aRequest,
                const Row& aRow,
                std::vector<ClaimResult>& aResults);
  /* Does the same for an entry whose insertion is not confirmed yet. aRow is null if there is no
   * row. */
  void ApplyInsertedRow(Context& aContext,
                        const RequestId& aRequest,
                        Entry& aEntry,
                        const ClaimRow* aRow,
                        std::vector<ClaimResult>& aResults);
  /* Returns the outcome of a claim whose key already has the row aFound. */
  static ClaimOutcome OutcomeOf(const ClaimRow& aFound, const ClaimRow& aOurs);

  std::unordered_map<RequestId, Entry> mEntries;
  std::unordered_map<RowKey, RequestId> mRequestsByKey;
  std::deque<RequestId> mQueued;
  std::vector<RequestId> mBatch;
  ChangeId mPendingChange; ///< The transaction in flight, or empty.
  TimePoint mNextSendAt{};
  std::uint32_t mConsecutiveUnknowns = 0; ///< Consecutive transactions with an unknown outcome.
};

} // namespace rhubarbtrail

#endif

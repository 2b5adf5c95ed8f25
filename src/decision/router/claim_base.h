/* Claims: the right to run a non-idempotent request, taken in the table in groups. */
#ifndef RHUBARBTRAIL_DECISION_ROUTER_CLAIM_BASE_H
#define RHUBARBTRAIL_DECISION_ROUTER_CLAIM_BASE_H

#include "decision/context_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rhubarbtrail {

/* What came of asking for a claim. */
enum class ClaimOutcome : std::uint8_t
{
  kGranted,
  kInProgress,  ///< Another request with the key is under way on this daemon.
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

/* Whether more may become known of a claimed request after its end was recorded. */
enum class ClaimEnd : std::uint8_t
{
  kFinal,
  kOpen, ///< The attempt is still running; its end follows.
};

/* Batches claims and their endings into transactions, one under way at a time.
 *
 * State: one entry for each claim that was asked for and is not finished in the table. While the
 * table is down these are the requests in flight when it went down, those waiting for their
 * verdict for at most the claim timeout, and one batch whose insertion may still take effect. */
class ClaimBook
{
public:
  /* Asks for the claim of a request. The verdict is returned when this daemon knows it already;
   * otherwise it comes from OnResult() or OnWake(). */
  std::optional<ClaimVerdict> Ask(Context& aContext, const RequestArrived& aArrived);

  /* Records the end of a claimed request: done with its answer, or unknown. */
  void Record(Context& aContext,
              const RequestId& aRequest,
              ClaimState aState,
              ClaimEnd aEnd,
              const AttemptEnded& aEnded);

  /* Gives a claim back whose request was never sent. */
  void Release(Context& aContext, const RequestId& aRequest);

  /* Returns the verdicts that a transaction's result brings. */
  std::vector<ClaimVerdict> OnResult(Context& aContext, const TransactionResult& aResult);

  /* Gives up on claims whose transaction brought no answer in time. */
  std::vector<ClaimVerdict> OnWake(Context& aContext);

  /* Returns whether nothing is left to write, or nothing that the table takes: a stopping daemon
   * leaves such claims behind, and its death makes them of unknown outcome. */
  bool IsIdle() const;
  std::size_t size() const { return mEntries.size(); }

private:
  enum class Step : std::uint8_t
  {
    kInsert,
    kGranted, ///< Nothing to write until the request ends.
    kUpdate,
    kRelease,
  };
  struct Entry
  {
    RowKey key;
    ClaimRow row;
    RowVersion version;
    Step step = Step::kInsert;
    bool isQueued = false; ///< Waits for its turn in a batch.
    bool inBatch = false;
    bool isAsked = true;  ///< Its verdict is still owed.
    bool isOpen = false;  ///< Another ending may follow.
    bool mayLand = false; ///< A write with an unknown outcome may take effect late.
    TimePoint askedAt{};
  };

  void Queue(const RequestId& aRequest, Entry& aEntry);
  void Erase(const RequestId& aRequest);
  void Send(Context& aContext);
  void Settle(const RequestId& aRequest, const Row& aRow, std::vector<ClaimVerdict>& aOut);
  void SettleInsert(const RequestId& aRequest,
                    Entry& aEntry,
                    const ClaimRow* aRow,
                    std::vector<ClaimVerdict>& aOut);
  static ClaimOutcome Judge(const ClaimRow& aFound, const ClaimRow& aOurs);

  std::unordered_map<RequestId, Entry> mEntries;
  std::unordered_map<RowKey, RequestId> mByKey;
  std::deque<RequestId> mWaiting;
  std::vector<RequestId> mBatch;
  ChangeId mChange; ///< The transaction under way; empty when none.
  TimePoint mNextSend{};
  std::uint32_t mFailures = 0; ///< Transactions with an unknown outcome in a row.
};

} // namespace rhubarbtrail

#endif

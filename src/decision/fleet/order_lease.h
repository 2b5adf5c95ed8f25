/* The order lease: a row in the platform's store that decides which daemon may send orders to
 * runners. At most one daemon holds it at a time. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_ORDER_LEASE_H
#define RHUBARBTRAIL_DECISION_FLEET_ORDER_LEASE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace rhubarbtrail::fleet {

/* The contents of the lease row in the store. */
struct OrderLeaseRow
{
  DaemonId holder; ///< Empty after the holder has released the lease.
  IncarnationId incarnation;
  std::string address; ///< Address at which the holder accepts connections of other daemons.
  bool isOrderWaitOver = false; ///< The wait after orders of former holders is over.
  StoreEra era;               ///< The store's era when the row was written, as its writer knew it.
  std::uint64_t renewals = 0; ///< Number of times that the row was written, over all holders.

  bool operator==(const OrderLeaseRow&) const = default;
};

struct OrderLeaseOptions
{
  DaemonId self;
  IncarnationId incarnation;
  std::string address;
  Duration spacing = 3s;            ///< Minimum time between orders of two different holders.
  Duration renewalInterval = 700ms; ///< Time between renewals.
  /* Time in which orders may be sent, from the sending of the last confirmed renewal. */
  Duration orderWindow = 1'200ms;
  Duration takeoverDelay = 2'200ms;   ///< Time without heartbeat or row change before a takeover.
  Duration orderDeliveryTime = 200ms; ///< Longest time that an order takes to reach its runner.
  /* Before a takeover, reads must return the same row for this time. */
  Duration unchangedRowTime = 1'200ms;
  /* Time without heartbeat or row change after which the row is read. While no daemon holds the
   * lease, the row is read without this wait. */
  Duration heartbeatTimeout = 1'100ms;
  Duration readInterval = 400ms; ///< Time between these reads.
  /* Additional wait before this daemon takes a free or expired lease. Hosts with little processor
   * time set it, so that better equipped hosts get the lease first. There is no wait when the row
   * still names this host as the holder. */
  Duration additionalTakeoverDelay{};
};

/* Whether the holder's renewals reach the store. A heartbeat delays a takeover only if the holder
 * is renewing or if the heartbeat has a new version of the row. */
enum class HolderState : std::uint8_t
{
  kRenewing,
  kStalled,
};

struct ReadLease
{};

struct WriteLease
{
  OrderLeaseRow row;
  RowVersion expectedVersion;
};

using LeaseAction = std::variant<ReadLease, WriteLease>;

/* The state machine of one daemon for the order lease. The caller carries out the returned reads
 * and writes and reports their results.
 *
 * Endpoints do not compare fencing tokens, so the lease alone must keep the orders of two holders
 * apart:
 * - The holder sends no order once the order window has passed since it sent its last confirmed
 *   renewal.
 * - A daemon that takes over waits before its first order: for the order window, the delivery time
 *   of an order and the spacing, by its own clock, from when it last saw the row change.
 *
 * The wait is shorter by the order window if the former holder released the lease. There is no wait
 * if the row is new, or if this host was the last one that could send orders: its former process
 * has ended, since it listened at the same address. A name alone proves nothing, as hosts are
 * replaced under their names.
 *
 * A store that comes back from an older copy has forgotten renewals and takeovers, and gives their
 * versions out again. So a row that was written in an earlier era proves nothing about who sent
 * orders last, and neither does a missing row once the store states an era:
 * - When the era rises, a holder stops, and any daemon may take the lease again, also the same one.
 * - Whoever takes it waits in full: the order window, the delivery time and the spacing, from when
 * it first saw the row or the new era. A former holder's last confirmed renewal was sent before the
 *   store went back, since an answer of the new era ends its term. So its order window has ended,
 * and the spacing passed, when the wait is over.
 * - A write that the store answers in a later era than it was sent in does not count, even if its
 *   condition held: the expected version may be of another row than the one that was read.
 *
 * All times must come from a clock that keeps counting while the host is suspended. */
class OrderLease
{
public:
  explicit OrderLease(OrderLeaseOptions aOptions);

  /* Returns the next read or write of the row, if one is due. There is at most one in progress. */
  std::optional<LeaseAction> Tick(TimePoint aNow);

  /* A read has returned the row. The version is 0 when the store has no such row. */
  void OnRead(TimePoint aNow, const OrderLeaseRow& aRow, RowVersion aVersion);
  void OnReadFailed(TimePoint aNow);
  void OnWritten(TimePoint aNow, RowVersion aVersion);
  /* A write was rejected because the row has another version. The arguments are the current row. */
  void OnConflict(TimePoint aNow, const OrderLeaseRow& aRow, RowVersion aVersion);
  /* A write failed. If its result is unknown, the next action is a read that finds out. */
  void OnWriteFailed(TimePoint aNow, bool aMayHaveSucceeded);
  /* A heartbeat of the holder has arrived, with the row and version that the holder knows. A daemon
   * that holds an older version of the row has been replaced. */
  void OnHolderHeartbeat(TimePoint aNow,
                         const OrderLeaseRow& aRow,
                         RowVersion aVersion,
                         HolderState aState);
  /* The store's era has risen: it came back from an older copy. */
  void OnEra(TimePoint aNow, StoreEra aEra);
  /* Renews the lease ahead of the interval because the row has to name something new. */
  void RenewSoon() { mIsRenewalUrgent = true; }
  /* Releases the lease because the daemon shuts down. The next renewal clears the holder. */
  void Release() { mIsReleasing = true; }

  /* Returns the state that this daemon sends in its heartbeats while it is the holder. */
  HolderState state(TimePoint aNow) const;
  bool isHolder() const { return mPhase == Phase::kHeld; }
  /* Returns whether this daemon may send an order now. */
  bool MayOrder(TimePoint aNow) const;
  /* Returns when this daemon may send its first order, while it holds the lease and waits after the
   * orders of a former holder. */
  std::optional<TimePoint> ordersAllowedFrom(TimePoint aNow) const
  {
    return mPhase == Phase::kHeld && aNow < mOrdersAllowedFrom ? std::optional{ mOrdersAllowedFrom }
                                                               : std::nullopt;
  }
  /* Returns the fencing token of this lease term: the row's version when the lease was taken. */
  FencingToken fence() const { return mFence; }
  /* Returns the last known row. Its holder is empty when no daemon holds the lease. */
  const OrderLeaseRow& row() const { return mRow; }
  RowVersion version() const { return mVersion; }
  bool isReleased() const { return mIsReleasing && mPhase != Phase::kHeld; }

private:
  enum class Phase : std::uint8_t
  {
    kWatching,  ///< Another daemon holds the lease, or none does.
    kAcquiring, ///< A write that takes the lease is in progress, or its result is unknown.
    kHeld,      ///< This daemon has taken the lease and does not know that it has lost it.
  };

  void UpdateRow(TimePoint aNow, const OrderLeaseRow& aRow, RowVersion aVersion);
  void LoseLease();
  OrderLeaseRow MakeOwnRow(TimePoint aNow) const;
  std::optional<LeaseAction> TickWatching(TimePoint aNow);
  std::optional<LeaseAction> TickHeld(TimePoint aNow);
  bool IsUrgentRenewalDue(TimePoint aNow) const;
  /* Returns whether the row names this host, or a former process of it, as the holder. */
  bool IsRowOfThisHost() const;
  /* Returns from when orders are allowed in a term that begins now. */
  TimePoint FirstOrderTime(TimePoint aNow) const;
  static FencingToken FenceOf(RowVersion aVersion);

  OrderLeaseOptions mOptions;
  Phase mPhase = Phase::kWatching;
  OrderLeaseRow mRow;
  RowVersion mVersion;
  StoreEra mEra;             ///< The highest known.
  StoreEra mActionEra;       ///< The era known when the action in progress was started.
  TimePoint mEraChangedAt{}; ///< When this daemon saw it rise.
  FencingToken mFence;
  bool mIsActionInProgress = false; ///< A read or write is in progress.
  bool mIsRowKnown = false;         ///< The row was read, or arrived with a heartbeat.
  bool mIsWriteUnconfirmed = false; ///< The result of a write is unknown, so the row must be read.
  bool mIsReleasing = false;
  bool mIsRenewalUrgent = false;
  OrderLeaseRow mRowBeingWritten;
  TimePoint mRowChangedAt{}; ///< When this daemon last saw a new version of the row.
  std::optional<TimePoint> mRowUnchangedSince; ///< Since when all reads have returned this row.
  TimePoint mHolderSeenAt{}; ///< Last heartbeat of a renewing holder, or last change of the row.
  TimePoint mWriteSentAt{};  ///< When the last write was sent.
  TimePoint mConfirmedWriteSentAt{}; ///< When the last write that the store confirmed was sent.
  TimePoint mOrdersAllowedFrom{};    ///< End of the wait after orders of former holders.
  TimePoint mNextActionAt{};
};

} // namespace rhubarbtrail::fleet

#endif

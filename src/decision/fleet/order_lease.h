/* The right to give orders to runners: one daemon at a time, by a row in the platform's store. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_ORDER_LEASE_H
#define RHUBARBTRAIL_DECISION_FLEET_ORDER_LEASE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace rhubarbtrail::fleet {

/* The row of the lease. */
struct LeaseRow
{
  DaemonId holder; ///< Empty: handed back.
  IncarnationId incarnation;
  std::string address;    ///< Of the holder's link.
  bool hasWaited = false; ///< Orders of former holders are far enough in the past.
  std::uint64_t renewals = 0;

  bool operator==(const LeaseRow&) const = default;
};

struct OrderLeaseOptions
{
  DaemonId self;
  IncarnationId incarnation;
  std::string address;
  Duration spacing = 3s;          ///< Least time between orders of two holders.
  Duration renewal = 700ms;       ///< Time between renewals.
  Duration orderWindow = 1'200ms; ///< Orders may leave for so long after a renewal was sent.
  Duration patience = 2'200ms;    ///< Silence after which the lease is taken over.
  Duration flight = 200ms;        ///< Longest time that an order is on its way.
  Duration proof = 1'200ms;       ///< Time for which the store must show the same row before that.
  Duration silence = 1'100ms;     ///< Time without word from the holder before the row is read.
  Duration look = 400ms;          ///< Time between reads from then on.
  Duration headStart{};           ///< How much longer this host waits than better equipped ones.
};

/* Whether the holder can write to the store. */
enum class HolderState : std::uint8_t
{
  kRenewing,
  kStalled,
};

struct ReadLease
{};

struct WriteLease
{
  LeaseRow row;
  RowVersion expected;
};

using LeaseAction = std::variant<ReadLease, WriteLease>;

/* Endpoints do not compare fencing numbers, so the lease alone keeps two holders' orders apart:
 * - the holder counts from when it sent a renewal, and gives no order after the window;
 * - who takes over waits, by its own clock, from when it last saw the row change, for the window,
 *   the flight of an order and the spacing.
 * Times come from a clock that counts suspensions. */
class OrderLease
{
public:
  explicit OrderLease(OrderLeaseOptions aOptions);

  /* Returns what to do now; at most one action is under way at a time. */
  std::optional<LeaseAction> Tick(TimePoint aNow);

  /* The row as read; version 0 when it is absent. */
  void OnRead(TimePoint aNow, const LeaseRow& aRow, RowVersion aVersion);
  void OnReadFailed(TimePoint aNow);
  void OnWritten(TimePoint aNow, RowVersion aVersion);
  /* Another daemon has written the row, as given. */
  void OnConflict(TimePoint aNow, const LeaseRow& aRow, RowVersion aVersion);
  void OnWriteFailed(TimePoint aNow, bool aMayHaveBeenDone);
  /* The holder says that it is alive and which version the row has. */
  void OnHolderHeard(TimePoint aNow, const LeaseRow& aRow, RowVersion aVersion, HolderState aState);
  /* The daemon stops: the lease is handed back. */
  void Release() { mIsReleasing = true; }

  /* Of this daemon, while it is the holder. */
  HolderState state(TimePoint aNow) const;
  bool isHolder() const { return mPhase == Phase::kHeld; }
  /* Returns whether an order may leave now. */
  bool MayOrder(TimePoint aNow) const;
  /* The fencing number of this tenure: the row's version when the lease was taken. */
  Fence fence() const { return mFence; }
  /* The row as last known; the holder is empty when nobody holds the lease. */
  const LeaseRow& row() const { return mRow; }
  RowVersion version() const { return mVersion; }
  bool isReleased() const { return mIsReleasing && mPhase != Phase::kHeld; }

private:
  enum class Phase : std::uint8_t
  {
    kWatching,
    kTaking,
    kHeld,
  };

  void See(TimePoint aNow, const LeaseRow& aRow, RowVersion aVersion);
  void Lose();
  LeaseRow OwnRow(TimePoint aNow) const;
  std::optional<LeaseAction> TickWatching(TimePoint aNow);
  std::optional<LeaseAction> TickHeld(TimePoint aNow);

  OrderLeaseOptions mOptions;
  Phase mPhase = Phase::kWatching;
  LeaseRow mRow;
  RowVersion mVersion;
  Fence mFence;
  bool mIsBusy = false;   ///< An action is under way.
  bool mIsKnown = false;  ///< The row was read or heard of.
  bool mIsUnsure = false; ///< A write may have been done; the row must be read.
  bool mIsReleasing = false;
  LeaseRow mWriting;
  TimePoint mChangedAt{};              ///< When the row was last seen to change.
  std::optional<TimePoint> mSameSince; ///< The store has shown this row since then.
  TimePoint mHeardAt{};                ///< When the holder was last heard of.
  TimePoint mSentAt{};                 ///< When the write under way was sent.
  TimePoint mConfirmedAt{};            ///< When the last confirmed renewal was sent.
  TimePoint mOrdersFrom{}; ///< Former holders' orders are far enough in the past from here on.
  TimePoint mNextAction{};
};

} // namespace rhubarbtrail::fleet

#endif

/* The order lease: taking, renewing and releasing it. */
#include "decision/fleet/order_lease.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* Time from a failed read or write to the next attempt. */
constexpr Duration kRetryDelay = 200ms;
/* Minimum time from a renewal to one that is urgent. */
constexpr Duration kUrgentRenewalDelay = 100ms;
/* Bits of a fencing token that hold the row's version. The era is in the bits above them, so that
 * tokens rise although versions go back. Both fit into the integers that JSON keeps exactly. */
constexpr unsigned kVersionBits = 40;

} // namespace

OrderLease::OrderLease(OrderLeaseOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

std::optional<LeaseAction> OrderLease::Tick(TimePoint aNow)
{
  if (mIsActionInProgress || (aNow < mNextActionAt && !IsUrgentRenewalDue(aNow))) {
    return std::nullopt;
  }
  mActionEra = mEra;
  if (mIsWriteUnconfirmed) {
    mIsActionInProgress = true;
    return ReadLease{};
  }
  return mPhase == Phase::kHeld ? TickHeld(aNow) : TickWatching(aNow);
}

std::optional<LeaseAction> OrderLease::TickWatching(TimePoint aNow)
{
  if (mIsReleasing) {
    return std::nullopt;
  }
  const bool isFree =
    mIsRowKnown &&
    (IsRowOfThisHost() ||
     (mRow.holder.empty() && aNow - mRowChangedAt >= mOptions.additionalTakeoverDelay));
  // Reads must have returned the same row for a while. After an outage of the store that prevented
  // renewals, this gives the holder the time to renew before another daemon takes over.
  const bool isHolderTimedOut =
    mIsRowKnown &&
    aNow - mHolderSeenAt >= mOptions.takeoverDelay + mOptions.additionalTakeoverDelay &&
    mRowUnchangedSince && aNow - *mRowUnchangedSince >= mOptions.unchangedRowTime;
  if (isFree || isHolderTimedOut) {
    // The last known row may be outdated. The store rejects the write unless the version matches.
    mPhase = Phase::kAcquiring;
    mIsActionInProgress = true;
    mWriteSentAt = aNow;
    mOrdersAllowedFrom = FirstOrderTime(aNow);
    mRowBeingWritten = MakeOwnRow(aNow);
    return WriteLease{ mRowBeingWritten, mVersion };
  }
  const bool isHeld = mIsRowKnown && !mRow.holder.empty();
  if (!isHeld || aNow - mHolderSeenAt >= mOptions.heartbeatTimeout) {
    mIsActionInProgress = true;
    mNextActionAt = aNow + mOptions.readInterval;
    return ReadLease{};
  }
  return std::nullopt;
}

/* Load pattern: the holder fails, and another host comes under its name and may order at once. The
 * former one may still do so, if it was cut off or suspended. */
bool OrderLease::IsRowOfThisHost() const
{
  return mRow.holder == mOptions.self && mRow.address == mOptions.address;
}

TimePoint OrderLease::FirstOrderTime(TimePoint aNow) const
{
  const Duration wait = mOptions.orderDeliveryTime + mOptions.spacing;
  const bool isRowMissing = mVersion.value == 0;
  const bool isRowOfThisEra = !isRowMissing && mRow.era == mEra;
  if (!isRowOfThisEra && mEra > StoreEra{}) {
    return std::max(mRowChangedAt, mEraChangedAt) + mOptions.orderWindow + wait;
  }
  // The row shows this host as a holder that could send orders. No other one has done so since.
  const bool wasLastToOrder = IsRowOfThisHost() && mRow.isOrderWaitOver;
  if (isRowMissing || wasLastToOrder) {
    return aNow;
  }
  // A holder sends no orders from when it releases the lease, before the row shows the release.
  return mRowChangedAt + (mRow.holder.empty() ? Duration::zero() : mOptions.orderWindow) + wait;
}

FencingToken OrderLease::FenceOf(RowVersion aVersion)
{
  return { (aVersion.era.value << kVersionBits) | aVersion.value };
}

void OrderLease::OnEra(TimePoint aNow, StoreEra aEra)
{
  if (aEra <= mEra) {
    return;
  }
  mEra = aEra;
  mEraChangedAt = aNow;
  LoseLease();
  mIsWriteUnconfirmed = false;
  mIsRowKnown = false;
  mRowUnchangedSince.reset();
  mRow = {};
  mVersion = {};
  mNextActionAt = aNow;
}

/* After a failed write, the next one keeps its delay. */
bool OrderLease::IsUrgentRenewalDue(TimePoint aNow) const
{
  return mIsRenewalUrgent && mPhase == Phase::kHeld && mConfirmedWriteSentAt == mWriteSentAt &&
         aNow >= mWriteSentAt + kUrgentRenewalDelay;
}

std::optional<LeaseAction> OrderLease::TickHeld(TimePoint aNow)
{
  mIsRenewalUrgent = false;
  mIsActionInProgress = true;
  mWriteSentAt = aNow;
  mNextActionAt = aNow + mOptions.renewalInterval;
  mRowBeingWritten = MakeOwnRow(aNow);
  if (mIsReleasing) {
    mRowBeingWritten.holder = {};
  }
  return WriteLease{ mRowBeingWritten, mVersion };
}

OrderLeaseRow OrderLease::MakeOwnRow(TimePoint aNow) const
{
  return { .holder = mOptions.self,
           .incarnation = mOptions.incarnation,
           .address = mOptions.address,
           .isOrderWaitOver = aNow >= mOrdersAllowedFrom,
           .era = mEra,
           .renewals = mRow.renewals + 1 };
}

void OrderLease::UpdateRow(TimePoint aNow, const OrderLeaseRow& aRow, RowVersion aVersion)
{
  if (mIsRowKnown && aVersion < mVersion) {
    return; // The row that this daemon knows is newer.
  }
  if (!mIsRowKnown || aVersion != mVersion) {
    mRowChangedAt = aNow;
    mHolderSeenAt = aNow;
  }
  mIsRowKnown = true;
  mRow = aRow;
  mVersion = aVersion;
}

void OrderLease::LoseLease()
{
  mPhase = Phase::kWatching;
  mConfirmedWriteSentAt = {};
}

void OrderLease::OnRead(TimePoint aNow, const OrderLeaseRow& aRow, RowVersion aVersion)
{
  mIsActionInProgress = false;
  if (aVersion.era < mEra && aVersion.value != 0) {
    return; // Read before the store went back to an older copy.
  }
  const bool wasWriteUnconfirmed = std::exchange(mIsWriteUnconfirmed, false);
  if (wasWriteUnconfirmed && aRow == mRowBeingWritten && aRow.incarnation == mOptions.incarnation) {
    // The write with the unknown result has succeeded.
    mIsActionInProgress = true;
    OnWritten(aNow, aVersion);
    return;
  }
  if (mPhase != Phase::kWatching && aVersion != mVersion) {
    LoseLease();
  }
  if (mPhase == Phase::kAcquiring) {
    mPhase = Phase::kWatching;
  }
  if (!mRowUnchangedSince || aVersion != mVersion) {
    mRowUnchangedSince = aNow;
  }
  UpdateRow(aNow, aRow, aVersion);
}

void OrderLease::OnReadFailed(TimePoint aNow)
{
  mIsActionInProgress = false;
  mRowUnchangedSince.reset();
  mNextActionAt = aNow + kRetryDelay;
}

void OrderLease::OnWritten(TimePoint aNow, RowVersion aVersion)
{
  mIsActionInProgress = false;
  if (mActionEra != mEra) {
    mNextActionAt =
      aNow; // The store went back to an older copy meanwhile, so the row is read again.
    return;
  }
  if (mIsRowKnown && aVersion < mVersion) {
    return; // A heartbeat has shown a newer row meanwhile.
  }
  mRow = mRowBeingWritten;
  mVersion = aVersion;
  mRowChangedAt = aNow;
  mHolderSeenAt = aNow;
  if (mRow.holder.empty()) {
    LoseLease();
    return;
  }
  if (mPhase != Phase::kHeld) {
    mPhase = Phase::kHeld;
    mFence = FenceOf(aVersion);
  }
  mConfirmedWriteSentAt = mWriteSentAt;
  mNextActionAt = mWriteSentAt + mOptions.renewalInterval;
}

void OrderLease::OnConflict(TimePoint aNow, const OrderLeaseRow& aRow, RowVersion aVersion)
{
  mIsActionInProgress = false;
  if (mActionEra != mEra) {
    mNextActionAt = aNow;
    return;
  }
  const bool isRowOutdated = mIsRowKnown && aVersion < mVersion;
  if (!isRowOutdated && aRow.incarnation == mOptions.incarnation && aRow.holder == mOptions.self &&
      aRow.renewals >= mRow.renewals) {
    // An earlier write of this process took effect late, so the row is still this daemon's own.
    mRow = aRow;
    mVersion = aVersion;
    mRowChangedAt = aNow;
    mHolderSeenAt = aNow;
    if (mPhase != Phase::kHeld) {
      mPhase = Phase::kHeld;
      mFence = FenceOf(aVersion);
    }
    return;
  }
  LoseLease();
  UpdateRow(aNow, aRow, aVersion);
}

void OrderLease::OnWriteFailed(TimePoint aNow, bool aMayHaveSucceeded)
{
  mIsActionInProgress = false;
  if (mActionEra != mEra) {
    mNextActionAt = aNow;
    return;
  }
  mIsWriteUnconfirmed = mIsWriteUnconfirmed || aMayHaveSucceeded;
  mNextActionAt = aNow + kRetryDelay;
  if (mPhase == Phase::kAcquiring && !aMayHaveSucceeded) {
    mPhase = Phase::kWatching;
  }
}

void OrderLease::OnHolderHeartbeat(TimePoint aNow,
                                   const OrderLeaseRow& aRow,
                                   RowVersion aVersion,
                                   HolderState aState)
{
  const bool isOwnRow = aRow.holder == mOptions.self && aRow.incarnation == mOptions.incarnation;
  const bool isReplaced = mPhase == Phase::kHeld && mIsRowKnown && aVersion > mVersion && !isOwnRow;
  if (isReplaced && aVersion.era >= mEra) {
    // Load pattern: the store turns the holder away for seconds, and another daemon takes the lease
    // meanwhile. The store cannot tell this one.
    LoseLease();
    mIsWriteUnconfirmed = false;
  }
  if (mPhase != Phase::kWatching || aVersion.era < mEra || (mIsRowKnown && aVersion < mVersion)) {
    return;
  }
  UpdateRow(aNow, aRow, aVersion);
  if (aState == HolderState::kRenewing) {
    mHolderSeenAt = aNow;
    mRowUnchangedSince.reset();
  }
}

HolderState OrderLease::state(TimePoint aNow) const
{
  return aNow - mConfirmedWriteSentAt < mOptions.takeoverDelay ? HolderState::kRenewing
                                                               : HolderState::kStalled;
}

bool OrderLease::MayOrder(TimePoint aNow) const
{
  return mPhase == Phase::kHeld && !mIsReleasing && aNow >= mOrdersAllowedFrom &&
         aNow < mConfirmedWriteSentAt + mOptions.orderWindow;
}

} // namespace rhubarbtrail::fleet

/* The order lease: taking, renewing and releasing it. */
#include "decision/fleet/order_lease.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* Time from a failed read or write to the next attempt. */
constexpr Duration kRetryPause = 200ms;

} // namespace

OrderLease::OrderLease(OrderLeaseOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

std::optional<LeaseAction> OrderLease::Tick(TimePoint aNow)
{
  if (mIsBusy || aNow < mNextAction) {
    return std::nullopt;
  }
  if (mIsUnsure) {
    mIsBusy = true;
    return ReadLease{};
  }
  return mPhase == Phase::kHeld ? TickHeld(aNow) : TickWatching(aNow);
}

std::optional<LeaseAction> OrderLease::TickWatching(TimePoint aNow)
{
  if (mIsReleasing) {
    return std::nullopt;
  }
  const bool isOwn = mRow.holder == mOptions.self;
  const bool isFree =
    mIsKnown && (isOwn || (mRow.holder.empty() && aNow - mChangedAt >= mOptions.headStart));
  // Reads must have returned the same row for a while. After an outage of the store that prevented
  // renewals, this gives the holder the time to renew before another daemon takes over.
  const bool isSilent = mIsKnown && aNow - mHeardAt >= mOptions.patience + mOptions.headStart &&
                        mSameSince && aNow - *mSameSince >= mOptions.proof;
  if (isFree || isSilent) {
    // The last known row may be outdated. The store rejects the write unless the version matches.
    mPhase = Phase::kTaking;
    mIsBusy = true;
    mSentAt = aNow;
    const bool isFirst = mVersion.value == 0;
    const bool isContinued = isOwn && mRow.hasWaited; // No other daemon has sent orders since.
    // A holder sends no orders from when it releases the lease, before the row shows the release.
    const Duration window = mRow.holder.empty() ? Duration::zero() : mOptions.orderWindow;
    mOrdersFrom =
      isFirst || isContinued ? aNow : mChangedAt + window + mOptions.flight + mOptions.spacing;
    mWriting = OwnRow(aNow);
    return WriteLease{ mWriting, mVersion };
  }
  const bool isHeld = mIsKnown && !mRow.holder.empty();
  if (!isHeld || aNow - mHeardAt >= mOptions.silence) {
    mIsBusy = true;
    mNextAction = aNow + mOptions.look;
    return ReadLease{};
  }
  return std::nullopt;
}

std::optional<LeaseAction> OrderLease::TickHeld(TimePoint aNow)
{
  mIsBusy = true;
  mSentAt = aNow;
  mNextAction = aNow + mOptions.renewal;
  mWriting = OwnRow(aNow);
  if (mIsReleasing) {
    mWriting.holder = {};
  }
  return WriteLease{ mWriting, mVersion };
}

LeaseRow OrderLease::OwnRow(TimePoint aNow) const
{
  return { .holder = mOptions.self,
           .incarnation = mOptions.incarnation,
           .address = mOptions.address,
           .hasWaited = aNow >= mOrdersFrom,
           .renewals = mRow.renewals + 1 };
}

void OrderLease::See(TimePoint aNow, const LeaseRow& aRow, RowVersion aVersion)
{
  if (mIsKnown && aVersion < mVersion) {
    return; // The row that this daemon knows is newer.
  }
  if (!mIsKnown || aVersion != mVersion) {
    mChangedAt = aNow;
    mHeardAt = aNow;
  }
  mIsKnown = true;
  mRow = aRow;
  mVersion = aVersion;
}

void OrderLease::Lose()
{
  mPhase = Phase::kWatching;
  mConfirmedAt = {};
}

void OrderLease::OnRead(TimePoint aNow, const LeaseRow& aRow, RowVersion aVersion)
{
  mIsBusy = false;
  const bool wasUnsure = std::exchange(mIsUnsure, false);
  if (wasUnsure && aRow == mWriting && aRow.incarnation == mOptions.incarnation) {
    // The write with the unknown result has succeeded.
    mIsBusy = true;
    OnWritten(aNow, aVersion);
    return;
  }
  if (mPhase != Phase::kWatching && aVersion != mVersion) {
    Lose();
  }
  if (mPhase == Phase::kTaking) {
    mPhase = Phase::kWatching;
  }
  if (!mSameSince || aVersion != mVersion) {
    mSameSince = aNow;
  }
  See(aNow, aRow, aVersion);
}

void OrderLease::OnReadFailed(TimePoint aNow)
{
  mIsBusy = false;
  mSameSince.reset();
  mNextAction = aNow + kRetryPause;
}

void OrderLease::OnWritten(TimePoint aNow, RowVersion aVersion)
{
  mIsBusy = false;
  mRow = mWriting;
  mVersion = aVersion;
  mChangedAt = aNow;
  mHeardAt = aNow;
  if (mRow.holder.empty()) {
    Lose();
    return;
  }
  if (mPhase != Phase::kHeld) {
    mPhase = Phase::kHeld;
    mFence = { aVersion.value };
  }
  mConfirmedAt = mSentAt;
  mNextAction = mSentAt + mOptions.renewal;
}

void OrderLease::OnConflict(TimePoint aNow, const LeaseRow& aRow, RowVersion aVersion)
{
  mIsBusy = false;
  if (aRow.incarnation == mOptions.incarnation && aRow.holder == mOptions.self &&
      aRow.renewals >= mRow.renewals) {
    // An earlier write of this process took effect late, so the row is still this daemon's own.
    mRow = aRow;
    mVersion = aVersion;
    mChangedAt = aNow;
    mHeardAt = aNow;
    if (mPhase != Phase::kHeld) {
      mPhase = Phase::kHeld;
      mFence = { aVersion.value };
    }
    return;
  }
  Lose();
  See(aNow, aRow, aVersion);
}

void OrderLease::OnWriteFailed(TimePoint aNow, bool aMayHaveBeenDone)
{
  mIsBusy = false;
  mIsUnsure = mIsUnsure || aMayHaveBeenDone;
  mNextAction = aNow + kRetryPause;
  if (mPhase == Phase::kTaking && !aMayHaveBeenDone) {
    mPhase = Phase::kWatching;
  }
}

void OrderLease::OnHolderHeard(TimePoint aNow,
                               const LeaseRow& aRow,
                               RowVersion aVersion,
                               HolderState aState)
{
  if (mPhase != Phase::kWatching || (mIsKnown && aVersion < mVersion)) {
    return;
  }
  See(aNow, aRow, aVersion);
  if (aState == HolderState::kRenewing) {
    mHeardAt = aNow;
    mSameSince.reset();
  }
}

HolderState OrderLease::state(TimePoint aNow) const
{
  return aNow - mConfirmedAt < mOptions.patience ? HolderState::kRenewing : HolderState::kStalled;
}

bool OrderLease::MayOrder(TimePoint aNow) const
{
  return mPhase == Phase::kHeld && !mIsReleasing && aNow >= mOrdersFrom &&
         aNow < mConfirmedAt + mOptions.orderWindow;
}

} // namespace rhubarbtrail::fleet

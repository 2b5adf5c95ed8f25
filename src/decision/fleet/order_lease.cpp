/* The right to give orders to runners. */
#include "decision/fleet/order_lease.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* Time between two tries to write or read after a failure. */
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
  // The store must have shown the same row for a while: after an outage that kept the holder from
  // renewing, the holder comes first.
  const bool isSilent = mIsKnown && aNow - mHeardAt >= mOptions.patience + mOptions.headStart &&
                        mSameSince && aNow - *mSameSince >= mOptions.proof;
  if (isFree || isSilent) {
    // What this daemon has last read may be old; the write is bound to that version.
    mPhase = Phase::kTaking;
    mIsBusy = true;
    mSentAt = aNow;
    const bool isFirst = mVersion.value == 0;
    const bool isContinued = isOwn && mRow.hasWaited; // The same host was the last to give orders.
    // A holder that hands the lease back has given no order since.
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
    return; // An old state of the row.
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
    // The write whose answer was lost has been done.
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
    // A write of this process took effect late; its version is the newest now.
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

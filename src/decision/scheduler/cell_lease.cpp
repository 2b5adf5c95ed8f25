/* The lease of a cell: watching, acquiring, renewing and releasing it. */
#include "decision/scheduler/cell_base.h"

#include "decision/configuration_func.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Number of daemons, the best ranked for the cell, that watch its lease in order to take it over.
 * Daemons with a pending demand for the cell watch it, too. */
constexpr std::size_t kWatchers = 3;

} // namespace

Cell::Cell(CellId aId)
  : mId(std::move(aId))
{
}

void Cell::OnWake(Context& aContext, const View& aView)
{
  if (mPhase != LeasePhase::kHeld) {
    Watch(aContext, aView);
    return;
  }
  if (mNextLeaseAction <= aContext.now()) {
    Renew(aContext);
  }
  aContext.WakeBy(mNextLeaseAction);
  SyncRunners(aContext, aView);
  ReleaseReserved(aContext, aView);
  UnloadIdle(aContext, aView);
  ContinueDrains(aContext, aView);
  ServeIsolation(aContext, aView);
  ServeDemands(aContext, aView);
  UpdateReplicaCounts(aContext, aView);
  PreloadExpected(aContext, aView);
  WritePlacement(aContext);
  SendOrders(aContext, aView);
}

void Cell::Watch(Context& aContext, const View& aView)
{
  if (mPhase == LeasePhase::kAcquiring || aView.readiness() == Readiness::kStopping) {
    return;
  }
  if (mDemands.empty() && !aView.IsAmongFirst(aContext, mId.str(), kWatchers)) {
    return;
  }
  std::erase_if(mDemands,
                [&](const auto& aItem) { return aItem.second.expiresAt <= aContext.now(); });
  if (mNextLeaseAction <= aContext.now() && mRead.empty()) {
    ReadRows(aContext);
    mNextLeaseAction = aContext.now() + aContext.settings().leaseRenewal / 2;
  }
  if (mRead.empty() || mNextLeaseAction > aContext.now()) {
    aContext.WakeBy(mNextLeaseAction);
  }
}

void Cell::ReadRows(Context& aContext)
{
  mRead = ChangeId{ aContext.NewName() };
  aContext.Emit(TableRead{ mRead, { CellLeaseKey(mId), PlacementKey(mId) } });
}

void Cell::OnReadResult(Context& aContext, const View& aView, const ReadResult& aResult)
{
  if (aResult.read != mRead || mRead.empty()) {
    return;
  }
  mRead = {};
  mIsTableUp = aResult.ok;
  if (!aResult.ok || aResult.rows.size() != 2) {
    mNextLeaseAction = aContext.now() + aContext.settings().tableRetry;
    aContext.WakeBy(mNextLeaseAction);
    return;
  }
  OnRows(aContext, aView, aResult.rows[0], aResult.rows[1]);
}

void Cell::OnRows(Context& aContext, const View& aView, const Row& aLease, const Row& aPlacement)
{
  const auto* lease = aLease.value ? std::get_if<CellLeaseRow>(&*aLease.value) : nullptr;
  const auto* placement =
    aPlacement.value ? std::get_if<PlacementRow>(&*aPlacement.value) : nullptr;
  const Incarnation holder = lease != nullptr ? lease->holder : Incarnation{};
  const Fence fence = lease != nullptr ? lease->fence : Fence{};
  const bool isOurs = holder == aContext.self();

  if (mPhase == LeasePhase::kHeld) {
    // While the lease is held, the rows are read only after a write that conflicted or whose result
    // is unknown.
    if (!isOurs || fence != mFence) {
      StepDown(aContext);
      return;
    }
    mLeaseVersion = aLease.version;
    mRenewals = lease->renewals;
    mPlacementVersion = aPlacement.version;
    // The placement write may be the one that failed, so the placement is written again.
    mIsDirty = true;
    mNextLeaseAction = aContext.now();
    mNextPlacementWrite = aContext.now();
    aContext.WakeBy(aContext.now());
    return;
  }

  const bool isChanged = !mIsSeen || aLease.version != mLeaseVersion;
  if (isChanged) {
    mSeenSince = aContext.now();
    mIsSeen = true;
  }
  mLeaseVersion = aLease.version;
  mPlacementVersion = aPlacement.version;
  mSeenPlacement = placement != nullptr ? *placement : PlacementRow{};
  mHolder = holder;
  mFence = fence;
  mRenewals = lease != nullptr ? lease->renewals : 0;
  if (aView.readiness() == Readiness::kStopping) {
    return;
  }
  if (isOurs) {
    // This daemon acquired the lease, but the result was lost. As the time of the acquisition is
    // unknown, the lease is treated as expired until the next renewal.
    mLeaseUntil = {};
    BeginTenure(aContext, aView, mSeenPlacement);
    mNextLeaseAction = aContext.now();
    return;
  }
  // The holder measures the lease length by its own clock. The extra quarter allows for a clock
  // that runs slower than this daemon's.
  const Duration patience = aContext.settings().leaseLength * 5 / 4;
  if (holder.daemon.empty() || aContext.now() - mSeenSince >= patience) {
    Acquire(aContext);
  }
}

void Cell::Acquire(Context& aContext)
{
  mPhase = LeasePhase::kAcquiring;
  mLeaseChange = ChangeId{ aContext.NewName() };
  mLeaseSentAt = aContext.now();
  CellLeaseRow lease{ .holder = aContext.self(),
                      .fence = Fence{ mFence.value + 1 },
                      .renewals = 0,
                      .change = mLeaseChange };
  PlacementRow placement = mSeenPlacement;
  placement.fence = lease.fence;
  placement.change = mLeaseChange;
  TableTransaction transaction{ .change = mLeaseChange, .conditions = {}, .writes = {} };
  transaction.conditions = { { CellLeaseKey(mId), mLeaseVersion },
                             { PlacementKey(mId), mPlacementVersion } };
  transaction.writes = { { CellLeaseKey(mId), RowValue{ lease } },
                         { PlacementKey(mId), RowValue{ placement } } };
  aContext.Emit(std::move(transaction));
}

void Cell::Renew(Context& aContext)
{
  if (!mLeaseChange.empty() || !mRead.empty()) {
    mNextLeaseAction = aContext.now() + aContext.settings().tableRetry;
    return;
  }
  mLeaseChange = ChangeId{ aContext.NewName() };
  mLeaseSentAt = aContext.now();
  mNextLeaseAction = aContext.now() + aContext.settings().leaseRenewal;
  const CellLeaseRow lease{
    .holder = aContext.self(), .fence = mFence, .renewals = mRenewals + 1, .change = mLeaseChange
  };
  aContext.Emit(TableTransaction{ .change = mLeaseChange,
                                  .conditions = { { CellLeaseKey(mId), mLeaseVersion } },
                                  .writes = { { CellLeaseKey(mId), RowValue{ lease } } } });
}

void Cell::HandOver(Context& aContext, const View& aView)
{
  if (mPhase != LeasePhase::kHeld || !mLeaseChange.empty()) {
    return;
  }
  mLeaseChange = ChangeId{ aContext.NewName() };
  mIsReleasing = true;
  const CellLeaseRow lease{
    .holder = {}, .fence = mFence, .renewals = mRenewals + 1, .change = mLeaseChange
  };
  aContext.Emit(TableTransaction{ .change = mLeaseChange,
                                  .conditions = { { CellLeaseKey(mId), mLeaseVersion } },
                                  .writes = { { CellLeaseKey(mId), RowValue{ lease } } } });
  for (const auto& [artifact, demand] : mDemands) {
    for (const DaemonId& waiter : demand.waiters) {
      Reply(aContext,
            aView,
            waiter,
            { .cell = mId, .artifact = artifact, .status = DemandStatus::kNotHolder });
    }
  }
}

void Cell::OnTransactionResult(Context& aContext,
                               const View& aView,
                               const TransactionResult& aResult)
{
  const bool isLease = !mLeaseChange.empty() && aResult.change == mLeaseChange;
  const bool isPlacement = !mPlacementChange.empty() && aResult.change == mPlacementChange;
  if (!isLease && !isPlacement) {
    return;
  }
  mIsTableUp = aResult.outcome != TransactionOutcome::kUnknown;
  if (isLease) {
    mLeaseChange = {};
  } else {
    mPlacementChange = {};
  }
  if (isPlacement && aResult.outcome != TransactionOutcome::kCommitted) {
    // The placement may not have been written, so it is written again.
    mIsDirty = true;
    mWriting.clear();
  }
  if (aResult.outcome == TransactionOutcome::kUnknown) {
    mNextLeaseAction = aContext.now() + aContext.settings().tableRetry;
    aContext.WakeBy(mNextLeaseAction);
    mPhase = mPhase == LeasePhase::kHeld && !mIsReleasing ? mPhase : LeasePhase::kWatching;
    mIsReleasing = false;
    if (mRead.empty()) {
      ReadRows(aContext);
    }
    return;
  }
  if (aResult.outcome == TransactionOutcome::kConflict) {
    if (mPhase != LeasePhase::kHeld) {
      StepDown(aContext);
      return;
    }
    // Either another daemon took the lease over, or an earlier write by this daemon took effect
    // late.
    mIsReleasing = false;
    if (mRead.empty()) {
      ReadRows(aContext);
    }
    return;
  }
  for (const Row& row : aResult.rows) {
    if (row.key == CellLeaseKey(mId)) {
      mLeaseVersion = row.version;
    } else if (row.key == PlacementKey(mId)) {
      mPlacementVersion = row.version;
    }
  }
  if (isPlacement) {
    for (auto& [id, runner] : mRunners) {
      for (auto& [model, replica] : runner.replicas) {
        replica.isWritten = replica.isWritten || mWriting.contains(replica.order);
      }
    }
    mWriting.clear();
    aContext.WakeBy(aContext.now());
    return;
  }
  if (mIsReleasing) {
    StepDown(aContext);
    return;
  }
  mLeaseUntil = mLeaseSentAt + aContext.settings().leaseLength;
  if (mPhase == LeasePhase::kAcquiring) {
    ++mFence.value;
    mRenewals = 0;
    BeginTenure(aContext, aView, mSeenPlacement);
    return;
  }
  ++mRenewals;
}

void Cell::BeginTenure(Context& aContext, const View& aView, const PlacementRow& aPlacement)
{
  mPhase = LeasePhase::kHeld;
  mHolder = aContext.self();
  mRunners.clear();
  mPlanned.clear();
  mIsolation.reset();
  mIsolationWaits.clear();
  mCounts.clear();
  mNextLeaseAction = aContext.now() + aContext.settings().leaseRenewal;
  mNextKeepAlive = aContext.now() + aContext.settings().replicaLifetime;
  for (const PlacementEntry& entry : aPlacement.entries) {
    Runner& runner = mRunners[entry.runner];
    runner.id = entry.runner;
    Replica& replica = runner.replicas[entry.model];
    const auto model = aView.configuration().models.find(entry.model);
    replica.model = entry.model;
    replica.version = entry.version;
    replica.order = entry.order;
    replica.issuer = entry.issuer;
    replica.isWritten = true;
    replica.mayBeKnown = true;
    replica.lastUsed = aContext.now();
    replica.unloadableFrom = aContext.now() + UseLimit(aContext);
    if (model != aView.configuration().models.end()) {
      replica.memory = ReservedMemory(model->second);
    }
    replica.isReserved = IsUnchecked(aView) && entry.issuer != aContext.self() &&
                         entry.state != PlacementState::kLoaded &&
                         aContext.IsEnabled(Mechanism::kReservedIntent);
    switch (entry.state) {
      case PlacementState::kLoad:
        replica.phase = ReplicaPhase::kLoading;
        break;
      case PlacementState::kLoaded:
        replica.phase = ReplicaPhase::kLoaded;
        break;
      case PlacementState::kUnload:
        replica.phase = ReplicaPhase::kUnloading;
        break;
    }
  }
  aContext.WakeBy(aContext.now());
}

void Cell::StepDown(Context& aContext)
{
  mPhase = LeasePhase::kWatching;
  mIsReleasing = false;
  mIsSeen = false;
  mHolder = {};
  mLeaseChange = {};
  mPlacementChange = {};
  mWriting.clear();
  mRunners.clear();
  mPlanned.clear();
  mIsolation.reset();
  mIsolationWaits.clear();
  mNextLeaseAction = aContext.now() + aContext.settings().tableRetry;
  aContext.WakeBy(mNextLeaseAction);
}

bool Cell::IsLeaseSafe(const Context& aContext) const
{
  if (!aContext.IsEnabled(Mechanism::kLeaseMargin)) {
    return true;
  }
  return aContext.now() + aContext.settings().orderFlight < mLeaseUntil;
}

} // namespace rhubarbtrail

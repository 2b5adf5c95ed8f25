/* The lease of a cell: watching, acquiring, renewing and releasing it. */
#include "decision/scheduler/cell_base.h"

#include "decision/configuration_func.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Number of daemons, the best ranked for the cell, that watch its lease in order to take it over.
 * Daemons with a pending demand for the cell watch it, too. */
constexpr std::size_t kTakeoverCandidates = 3;

} // namespace

Cell::Cell(CellId aId)
  : mId(std::move(aId))
{
}

void Cell::OnWake(Context& aContext, const View& aView)
{
  if (mPhase != LeasePhase::kHeld) {
    WatchLease(aContext, aView);
    return;
  }
  if (mNextLeaseAction <= aContext.now()) {
    RenewLease(aContext);
  }
  aContext.WakeBy(mNextLeaseAction);
  SyncRunners(aContext, aView);
  ReleaseFormerOrderReservations(aContext, aView);
  DrainIdleReplicas(aContext, aView);
  ContinueDrains(aContext, aView);
  ServeIsolation(aContext, aView);
  ServeDemands(aContext, aView);
  UpdateReplicaCounts(aContext, aView);
  PreloadPredictedModels(aContext, aView);
  WritePlacement(aContext);
  SendOrders(aContext, aView);
}

void Cell::WatchLease(Context& aContext, const View& aView)
{
  if (mPhase == LeasePhase::kAcquiring || aView.readiness() == Readiness::kStopping) {
    return;
  }
  if (mDemands.empty() && !aView.IsAmongFirst(aContext, mId.str(), kTakeoverCandidates)) {
    return;
  }
  std::erase_if(mDemands,
                [&](const auto& aItem) { return aItem.second.expiresAt <= aContext.now(); });
  if (mNextLeaseAction <= aContext.now() && mReadInFlight.empty()) {
    ReadLeaseAndPlacement(aContext);
    mNextLeaseAction = aContext.now() + aContext.settings().leaseRenewal / 2;
  }
  if (mReadInFlight.empty() || mNextLeaseAction > aContext.now()) {
    aContext.WakeBy(mNextLeaseAction);
  }
}

void Cell::ReadLeaseAndPlacement(Context& aContext)
{
  mReadInFlight = ChangeId{ aContext.NewUniqueId() };
  aContext.Emit(TableRead{ mReadInFlight, { CellLeaseKey(mId), PlacementKey(mId) } });
}

void Cell::OnReadResult(Context& aContext, const View& aView, const ReadResult& aResult)
{
  if (aResult.read != mReadInFlight || mReadInFlight.empty()) {
    return;
  }
  mReadInFlight = {};
  mIsTableReachable = aResult.hasSucceeded;
  if (!aResult.hasSucceeded || aResult.rows.size() != 2) {
    mNextLeaseAction = aContext.now() + aContext.settings().tableRetryDelay;
    aContext.WakeBy(mNextLeaseAction);
    return;
  }
  OnRowsRead(aContext, aView, aResult.rows[0], aResult.rows[1]);
}

void Cell::OnRowsRead(Context& aContext,
                      const View& aView,
                      const Row& aLease,
                      const Row& aPlacement)
{
  const auto* lease = aLease.value ? std::get_if<CellLeaseRow>(&*aLease.value) : nullptr;
  const auto* placement =
    aPlacement.value ? std::get_if<PlacementRow>(&*aPlacement.value) : nullptr;
  const Incarnation holder = lease != nullptr ? lease->holder : Incarnation{};
  const FencingToken fence = lease != nullptr ? lease->fence : FencingToken{};
  const bool isHeldBySelf = holder == aContext.self();

  if (mPhase == LeasePhase::kHeld) {
    // While the lease is held, the rows are read only after a write that conflicted or whose result
    // is unknown.
    if (!isHeldBySelf || fence != mFence) {
      StepDown(aContext);
      return;
    }
    mLeaseVersion = aLease.version;
    mRenewals = lease->renewals;
    mPlacementVersion = aPlacement.version;
    // The placement write may be the one that failed, so the placement is written again.
    mIsPlacementDirty = true;
    mNextLeaseAction = aContext.now();
    mNextPlacementWrite = aContext.now();
    aContext.WakeBy(aContext.now());
    return;
  }

  const bool hasLeaseChanged = !mIsLeaseRead || aLease.version != mLeaseVersion;
  if (hasLeaseChanged) {
    mLeaseVersionReadAt = aContext.now();
    mIsLeaseRead = true;
  }
  mLeaseVersion = aLease.version;
  mPlacementVersion = aPlacement.version;
  mLastReadPlacement = placement != nullptr ? *placement : PlacementRow{};
  mHolder = holder;
  mFence = fence;
  mRenewals = lease != nullptr ? lease->renewals : 0;
  if (aView.readiness() == Readiness::kStopping) {
    return;
  }
  if (isHeldBySelf) {
    // This daemon acquired the lease, but the result was lost. As the time of the acquisition is
    // unknown, the lease is treated as expired until the next renewal.
    mLeaseValidUntil = {};
    BeginLeaseTerm(aContext, aView, mLastReadPlacement);
    mNextLeaseAction = aContext.now();
    return;
  }
  // The holder measures the lease length by its own clock. The extra quarter allows for a clock
  // that runs slower than this daemon's.
  const Duration takeoverDelay = aContext.settings().leaseLength * 5 / 4;
  if (holder.daemon.empty() || aContext.now() - mLeaseVersionReadAt >= takeoverDelay) {
    AcquireLease(aContext);
  }
}

void Cell::AcquireLease(Context& aContext)
{
  mPhase = LeasePhase::kAcquiring;
  mLeaseChange = ChangeId{ aContext.NewUniqueId() };
  mLeaseChangeSentAt = aContext.now();
  CellLeaseRow lease{ .holder = aContext.self(),
                      .fence = FencingToken{ mFence.value + 1 },
                      .renewals = 0,
                      .change = mLeaseChange };
  PlacementRow placement = mLastReadPlacement;
  placement.fence = lease.fence;
  placement.change = mLeaseChange;
  TableTransaction transaction{ .change = mLeaseChange, .conditions = {}, .writes = {} };
  transaction.conditions = { { CellLeaseKey(mId), mLeaseVersion },
                             { PlacementKey(mId), mPlacementVersion } };
  transaction.writes = { { CellLeaseKey(mId), RowValue{ lease } },
                         { PlacementKey(mId), RowValue{ placement } } };
  aContext.Emit(std::move(transaction));
}

void Cell::RenewLease(Context& aContext)
{
  if (!mLeaseChange.empty() || !mReadInFlight.empty()) {
    mNextLeaseAction = aContext.now() + aContext.settings().tableRetryDelay;
    return;
  }
  mLeaseChange = ChangeId{ aContext.NewUniqueId() };
  mLeaseChangeSentAt = aContext.now();
  mNextLeaseAction = aContext.now() + aContext.settings().leaseRenewal;
  const CellLeaseRow lease{
    .holder = aContext.self(), .fence = mFence, .renewals = mRenewals + 1, .change = mLeaseChange
  };
  aContext.Emit(TableTransaction{ .change = mLeaseChange,
                                  .conditions = { { CellLeaseKey(mId), mLeaseVersion } },
                                  .writes = { { CellLeaseKey(mId), RowValue{ lease } } } });
}

void Cell::ReleaseLease(Context& aContext, const View& aView)
{
  if (mPhase != LeasePhase::kHeld || !mLeaseChange.empty()) {
    return;
  }
  mLeaseChange = ChangeId{ aContext.NewUniqueId() };
  mIsReleasingLease = true;
  const CellLeaseRow lease{
    .holder = {}, .fence = mFence, .renewals = mRenewals + 1, .change = mLeaseChange
  };
  aContext.Emit(TableTransaction{ .change = mLeaseChange,
                                  .conditions = { { CellLeaseKey(mId), mLeaseVersion } },
                                  .writes = { { CellLeaseKey(mId), RowValue{ lease } } } });
  for (const auto& [artifact, demand] : mDemands) {
    for (const DaemonId& waitingRouter : demand.waitingRouters) {
      SendDemandReply(aContext,
                      aView,
                      waitingRouter,
                      { .cell = mId, .artifact = artifact, .status = DemandStatus::kNotHolder });
    }
  }
}

void Cell::OnTransactionResult(Context& aContext,
                               const View& aView,
                               const TransactionResult& aResult)
{
  const bool isLeaseResult = !mLeaseChange.empty() && aResult.change == mLeaseChange;
  const bool isPlacementResult = !mPlacementChange.empty() && aResult.change == mPlacementChange;
  if (!isLeaseResult && !isPlacementResult) {
    return;
  }
  mIsTableReachable = aResult.outcome != TransactionOutcome::kUnknown;
  if (isLeaseResult) {
    mLeaseChange = {};
  } else {
    mPlacementChange = {};
  }
  if (isPlacementResult && aResult.outcome != TransactionOutcome::kCommitted) {
    // The placement may not have been written, so it is written again.
    mIsPlacementDirty = true;
    mOrdersBeingWritten.clear();
  }
  if (aResult.outcome == TransactionOutcome::kUnknown) {
    mNextLeaseAction = aContext.now() + aContext.settings().tableRetryDelay;
    aContext.WakeBy(mNextLeaseAction);
    mPhase = mPhase == LeasePhase::kHeld && !mIsReleasingLease ? mPhase : LeasePhase::kNotHeld;
    mIsReleasingLease = false;
    if (mReadInFlight.empty()) {
      ReadLeaseAndPlacement(aContext);
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
    mIsReleasingLease = false;
    if (mReadInFlight.empty()) {
      ReadLeaseAndPlacement(aContext);
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
  if (isPlacementResult) {
    for (auto& [id, runner] : mRunners) {
      for (auto& [model, replica] : runner.replicas) {
        replica.isOrderWritten =
          replica.isOrderWritten || mOrdersBeingWritten.contains(replica.order);
      }
    }
    mOrdersBeingWritten.clear();
    aContext.WakeBy(aContext.now());
    return;
  }
  if (mIsReleasingLease) {
    StepDown(aContext);
    return;
  }
  mLeaseValidUntil = mLeaseChangeSentAt + aContext.settings().leaseLength;
  if (mPhase == LeasePhase::kAcquiring) {
    ++mFence.value;
    mRenewals = 0;
    BeginLeaseTerm(aContext, aView, mLastReadPlacement);
    return;
  }
  ++mRenewals;
}

void Cell::BeginLeaseTerm(Context& aContext, const View& aView, const PlacementRow& aPlacement)
{
  mPhase = LeasePhase::kHeld;
  mHolder = aContext.self();
  mRunners.clear();
  mPlannedRunners.clear();
  mIsolation.reset();
  mQueuedIsolations.clear();
  mReplicaCountPolicies.clear();
  mNextLeaseAction = aContext.now() + aContext.settings().leaseRenewal;
  mNextKeepAliveCheck = aContext.now() + aContext.settings().replicaLifetime;
  for (const PlacementEntry& entry : aPlacement.entries) {
    Runner& runner = mRunners[entry.runner];
    runner.id = entry.runner;
    Replica& replica = runner.replicas[entry.model];
    const auto model = aView.configuration().models.find(entry.model);
    replica.model = entry.model;
    replica.version = entry.version;
    replica.order = entry.order;
    replica.issuer = entry.issuer;
    replica.isOrderWritten = true;
    replica.mayHaveReachedRunner = true;
    replica.lastUsed = aContext.now();
    replica.unloadableFrom = aContext.now() + LocationValidity(aContext);
    if (model != aView.configuration().models.end()) {
      replica.memory = ReservedMemory(model->second);
    }
    // A runner that does not check the fencing token may still carry out an order that a former
    // holder has sent, so the memory stays reserved until the order cannot arrive any more.
    replica.isReservedForFormerOrder = AreOrdersUnchecked(aView) &&
                                       entry.issuer != aContext.self() &&
                                       entry.state != PlacementState::kLoaded &&
                                       aContext.IsEnabled(Mechanism::kFormerOrderReservation);
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
  mPhase = LeasePhase::kNotHeld;
  mIsReleasingLease = false;
  mIsLeaseRead = false;
  mHolder = {};
  mLeaseChange = {};
  mPlacementChange = {};
  mOrdersBeingWritten.clear();
  mRunners.clear();
  mPlannedRunners.clear();
  mIsolation.reset();
  mQueuedIsolations.clear();
  mNextLeaseAction = aContext.now() + aContext.settings().tableRetryDelay;
  aContext.WakeBy(mNextLeaseAction);
}

bool Cell::LeaseCoversOrderDelivery(const Context& aContext) const
{
  if (!aContext.IsEnabled(Mechanism::kLeaseMargin)) {
    return true;
  }
  return aContext.now() + aContext.settings().orderFlight < mLeaseValidUntil;
}

} // namespace rhubarbtrail

/* Orders to the runners of a cell and the handling of their results. */
#include "decision/scheduler/cell_base.h"

#include "decision/configuration_func.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Interval between inventory orders to a runner that answers. */
constexpr Duration kInventoryInterval = 2s;
/* Delay before the first inventory order if a test disables Mechanism::kInventoryBeforeUse. */
constexpr Duration kFirstInventoryDelay = 60s;
/* Boot id recorded for a runner whose process has ended. No process has this id. */
constexpr const char* kEndedProcessBootId = "none";

} // namespace

void Cell::SyncRunners(Context& aContext, const View& aView)
{
  for (const EndpointId& id : aView.EndpointsOf(ServiceId{ mId.str() })) {
    const EndpointInfo& info = *aView.FindEndpoint(id);
    Runner& runner = mRunners[id];
    runner.id = id;
    const ServiceSpec* service = FindServiceSpec(aView);
    if (!aContext.IsEnabled(Mechanism::kInventoryBeforeUse) && runner.bootId.empty() &&
        service != nullptr) {
      // Only in tests: the first inventory is not awaited. The boot id comes from the host list,
      // the memory from the configuration and the replicas from the written placement.
      runner.bootId = info.bootId;
      runner.reachability = RunnerReachability::kReachable;
      runner.memory = service->runnerMemory;
      runner.nextInventoryAt = aContext.now() + kFirstInventoryDelay;
    }
    if (!runner.inventoryOrder.empty() || runner.nextInventoryAt > aContext.now()) {
      if (runner.inventoryOrder.empty()) {
        aContext.WakeBy(runner.nextInventoryAt);
      }
      continue;
    }
    runner.inventoryOrder = OrderId{ aContext.NewUniqueId() };
    runner.inventoryRequestedAt = aContext.now();
    aContext.Emit(SendOrder{ .cell = mId,
                             .runner = id,
                             .address = info.address,
                             .order = runner.inventoryOrder,
                             .kind = OrderKind::kInventory,
                             .fence = mFence,
                             .artifact = {},
                             .version = {},
                             .memory = {} });
  }
  // A runner that the host list no longer contains is gone, together with its replicas.
  const auto runnerCountBefore = mRunners.size();
  std::erase_if(mRunners,
                [&](const auto& aItem) { return aView.FindEndpoint(aItem.first) == nullptr; });
  mIsPlacementDirty = mIsPlacementDirty || mRunners.size() != runnerCountBefore;
}

bool Cell::MaySendOrder(const Context& aContext,
                        const View& aView,
                        const Runner& aRunner,
                        const Replica& aReplica) const
{
  const bool areOrdersUnchecked = AreOrdersUnchecked(aView);
  if (areOrdersUnchecked && !LeaseCoversOrderDelivery(aContext)) {
    return false;
  }
  if (!aReplica.isOrderWritten && areOrdersUnchecked &&
      aContext.IsEnabled(Mechanism::kPlacementBeforeOrder)) {
    return false;
  }
  if (aReplica.isOrderWritten) {
    return true;
  }
  if (!aContext.IsEnabled(Mechanism::kPlacementBeforeOrder)) {
    return true;
  }
  // While the table is down, runners that check the fencing token get unwritten orders, too:
  // unloads everywhere, and loads on the candidate runners of the model only.
  const bool isUnload = aReplica.phase == ReplicaPhase::kUnloadDecided;
  return !mIsTableReachable &&
         (isUnload || IsCandidate(aContext, aView, aReplica.model, aRunner.id));
}

bool Cell::InventoryShowsIdle(const Runner& aRunner, const Replica& aReplica)
{
  return aReplica.running == 0 && aRunner.reachability == RunnerReachability::kReachable &&
         aRunner.inventoryOrder.empty() && aRunner.inventoryRequestedAt >= aReplica.idleCheckFrom;
}

bool Cell::ConfirmIdle(Context& aContext, Runner& aRunner, Replica& aReplica)
{
  if (!aContext.IsEnabled(Mechanism::kDrainBeforeUnload)) {
    return true;
  }
  if (!aReplica.isFinalInventoryRequested) {
    // The placement write may have taken long, so another inventory has to show that no request is
    // left before the unload order is sent.
    aReplica.isFinalInventoryRequested = true;
    RequestIdleCheck(aContext, aRunner, aReplica);
    aContext.WakeBy(aContext.now());
    return false;
  }
  return InventoryShowsIdle(aRunner, aReplica);
}

void Cell::SendOrders(Context& aContext, const View& aView)
{
  for (auto& [id, runner] : mRunners) {
    if (runner.bootId.empty()) {
      // Orders wait for the first inventory of the lease term. Reconcile() may remove a former
      // holder's replica that this inventory does not list, which would be wrong if its load order
      // had been sent again before.
      continue;
    }
    for (auto& [model, replica] : runner.replicas) {
      const bool isLoad =
        replica.phase == ReplicaPhase::kLoadDecided || replica.phase == ReplicaPhase::kLoading;
      const bool isUnload =
        replica.phase == ReplicaPhase::kUnloadDecided || replica.phase == ReplicaPhase::kUnloading;
      if ((!isLoad && !isUnload) || replica.isOrderConfirmed) {
        continue;
      }
      if (replica.nextSendAt > aContext.now()) {
        aContext.WakeBy(replica.nextSendAt);
        continue;
      }
      const EndpointInfo* info = aView.FindEndpoint(id);
      if (info == nullptr || !MaySendOrder(aContext, aView, runner, replica)) {
        continue;
      }
      if (replica.phase == ReplicaPhase::kUnloadDecided &&
          !ConfirmIdle(aContext, runner, replica)) {
        continue;
      }
      replica.phase = isLoad ? ReplicaPhase::kLoading : ReplicaPhase::kUnloading;
      // The order is not repeated before its result is known.
      replica.nextSendAt = TimePoint::max();
      aContext.Emit(SendOrder{ .cell = mId,
                               .runner = id,
                               .address = info->address,
                               .order = replica.order,
                               .kind = isLoad ? OrderKind::kLoadModel : OrderKind::kUnloadModel,
                               .fence = mFence,
                               .artifact = { model, {} },
                               .version = replica.version,
                               .memory = replica.memory });
    }
  }
}

void Cell::OnOrderResult(Context& aContext, const View& aView, const OrderResult& aResult)
{
  const auto found = mRunners.find(aResult.runner);
  if (mPhase != LeasePhase::kHeld || found == mRunners.end()) {
    return;
  }
  if (aResult.outcome == OrderOutcome::kFenced) {
    StepDown(aContext);
    return;
  }
  Runner& runner = found->second;
  if (aResult.order == runner.inventoryOrder) {
    runner.inventoryOrder = {};
    const bool wasReachable = runner.reachability == RunnerReachability::kReachable;
    if (aResult.outcome == OrderOutcome::kDone) {
      runner.nextInventoryAt = aContext.now() + kInventoryInterval;
      Reconcile(aContext, aView, runner, aResult.inventory);
    } else {
      if (aResult.outcome == OrderOutcome::kConnectionRefused && !runner.bootId.empty()) {
        // The runner's process has ended, and with it the replicas that it had.
        Reconcile(aContext, aView, runner, { .bootId = kEndedProcessBootId, .models = {} });
      }
      runner.nextInventoryAt = aContext.now() + aContext.settings().orderRetryDelay;
      runner.reachability = RunnerReachability::kUnreachable;
    }
    const bool isReachable = runner.reachability == RunnerReachability::kReachable;
    if (wasReachable && isReachable && !mIsPlacementDirty && mDemands.empty()) {
      // The runner still answers, the placement is unchanged and no demand is pending, so the other
      // steps wait for the next wake-up.
      aContext.WakeBy(runner.nextInventoryAt);
      return;
    }
    OnWake(aContext, aView);
    return;
  }
  for (auto& [model, replica] : runner.replicas) {
    if (replica.order == aResult.order) {
      if (replica.phase == ReplicaPhase::kLoading) {
        OnLoadResult(aContext, aView, runner, replica, aResult);
      } else if (replica.phase == ReplicaPhase::kUnloading) {
        OnUnloadResult(aContext, runner, replica, aResult);
      }
      OnWake(aContext, aView);
      return;
    }
    if (!aResult.order.str().starts_with(replica.order.str() + "+")) {
      continue;
    }
    const AdapterId adapter{ aResult.order.str().substr(replica.order.str().size() + 1) };
    if (aResult.outcome == OrderOutcome::kDone) {
      replica.adapterRetryAt.erase(adapter);
      replica.adapters.insert(adapter);
      SendReadyReplies(aContext, aView, { model, adapter });
    } else if (aResult.outcome != OrderOutcome::kAccepted) {
      replica.adapterRetryAt[adapter] = aContext.now() + aContext.settings().orderRetryDelay;
      runner.nextInventoryAt = aContext.now();
    }
    OnWake(aContext, aView);
    return;
  }
}

void Cell::OnLoadResult(Context& aContext,
                        const View& aView,
                        Runner& aRunner,
                        Replica& aReplica,
                        const OrderResult& aResult)
{
  const ModelId model = aReplica.model;
  switch (aResult.outcome) {
    case OrderOutcome::kAccepted:
      aReplica.isOrderConfirmed = true;
      aReplica.mayHaveReachedRunner = true;
      aReplica.orderConfirmedAt = aContext.now();
      return;
    case OrderOutcome::kDone:
      aReplica.isOrderConfirmed = true;
      aReplica.mayHaveReachedRunner = true;
      aReplica.orderConfirmedAt = aContext.now();
      aReplica.phase = ReplicaPhase::kLoaded;
      aReplica.lastUsed = aContext.now();
      mIsPlacementDirty = true;
      SendReadyReplies(aContext, aView, { model, {} });
      return;
    case OrderOutcome::kNoMemory:
    case OrderOutcome::kFailed:
      if (aReplica.isReservedForFormerOrder) {
        aReplica.nextSendAt = aContext.now() + aContext.settings().orderRetryDelay;
        return;
      }
      RemoveReplica(aRunner, model);
      return;
    case OrderOutcome::kNotConnected:
    case OrderOutcome::kConnectionRefused:
      aRunner.reachability = RunnerReachability::kUnreachable;
      aRunner.nextInventoryAt = aContext.now();
      if (!aReplica.mayHaveReachedRunner && !aReplica.isReservedForFormerOrder) {
        RemoveReplica(aRunner, model);
        return;
      }
      aReplica.nextSendAt = aContext.now() + aContext.settings().orderRetryDelay;
      return;
    case OrderOutcome::kUnknown:
    case OrderOutcome::kFenced:
      aReplica.mayHaveReachedRunner = true;
      aReplica.isOrderConfirmed = false;
      aReplica.nextSendAt = aContext.now() + aContext.settings().orderRetryDelay;
      return;
  }
}

void Cell::OnUnloadResult(Context& aContext,
                          Runner& aRunner,
                          Replica& aReplica,
                          const OrderResult& aResult)
{
  if (aResult.outcome == OrderOutcome::kDone && !aReplica.isReservedForFormerOrder) {
    RemoveReplica(aRunner, ModelId{ aReplica.model });
    return;
  }
  if (aResult.outcome == OrderOutcome::kAccepted) {
    aReplica.isOrderConfirmed = true;
    aReplica.orderConfirmedAt = aContext.now();
    return;
  }
  aReplica.isOrderConfirmed = false;
  aReplica.nextSendAt = aContext.now() + aContext.settings().orderRetryDelay;
}

void Cell::Reconcile(Context& aContext,
                     const View& aView,
                     Runner& aRunner,
                     const Inventory& aInventory)
{
  const bool isRestarted = !aRunner.bootId.empty() && aRunner.bootId != aInventory.bootId;
  const bool isFirstInventory = aRunner.bootId.empty();
  aRunner.reachability = RunnerReachability::kReachable;
  aRunner.bootId = aInventory.bootId;
  aRunner.memory = aInventory.memory;
  aRunner.reportedLoad = aInventory.running + aInventory.queued;
  aRunner.checkpoints = { aInventory.checkpoints.begin(), aInventory.checkpoints.end() };
  for (const LoadedModel& loaded : aInventory.models) {
    Replica& replica = aRunner.replicas[loaded.model];
    if (replica.model.empty()) {
      // The model was loaded by an order that is not in the placement known to this daemon.
      const auto spec = aView.configuration().models.find(loaded.model);
      replica.model = loaded.model;
      replica.version = loaded.version;
      replica.order = OrderId{ aContext.NewUniqueId() };
      replica.issuer = aContext.self();
      replica.lastUsed = aContext.now();
      replica.unloadableFrom = aContext.now() + LocationValidity(aContext);
      replica.phase = loaded.ready ? ReplicaPhase::kLoaded : ReplicaPhase::kLoading;
      replica.isOrderConfirmed = true;
      replica.isOrderWritten = true;
      if (spec != aView.configuration().models.end()) {
        replica.memory = ReservedMemory(spec->second);
      }
      mIsPlacementDirty = true;
    }
    replica.mayHaveReachedRunner = true;
    replica.running = loaded.running;
    if (replica.phase == ReplicaPhase::kLoaded && !replica.isOrderConfirmed) {
      // The inventory confirms a former holder's replica. If a later inventory does not list it, it
      // is gone.
      replica.isOrderConfirmed = true;
      replica.orderConfirmedAt = aContext.now();
    }
    replica.adapters.insert(loaded.adapters.begin(), loaded.adapters.end());
    const bool wasLoading = replica.phase == ReplicaPhase::kLoading;
    if (wasLoading && loaded.ready) {
      replica.phase = ReplicaPhase::kLoaded;
      replica.isOrderConfirmed = true;
      replica.orderConfirmedAt = aContext.now();
      replica.lastUsed = aContext.now();
      mIsPlacementDirty = true;
      SendReadyReplies(aContext, aView, { loaded.model, {} });
    }
  }
  std::vector<ModelId> missingModels;
  for (auto& [id, replica] : aRunner.replicas) {
    const ModelId& model = id;
    const bool isInInventory =
      std::any_of(aInventory.models.begin(),
                  aInventory.models.end(),
                  [&](const LoadedModel& aLoaded) { return aLoaded.model == model; });
    // An inventory that was requested before the order was confirmed may be older than the load, so
    // it does not prove that the model is gone.
    const bool wasLoaded =
      replica.phase == ReplicaPhase::kLoaded || replica.phase == ReplicaPhase::kDraining;
    const bool wasConfirmedBefore = (replica.isOrderConfirmed || wasLoaded) &&
                                    replica.orderConfirmedAt < aRunner.inventoryRequestedAt;
    const bool isFromFormerHolder = isFirstInventory && replica.issuer != aContext.self();
    if (isInInventory || replica.phase == ReplicaPhase::kLoadDecided) {
      continue;
    }
    if (replica.isReservedForFormerOrder) {
      replica.phase =
        replica.phase == ReplicaPhase::kLoaded ? ReplicaPhase::kLoading : replica.phase;
      replica.isOrderConfirmed = false;
      continue;
    }
    // Once a runner that checks the fencing token has answered an order of this term, it rejects
    // all orders of former holders, so a load of theirs that the inventory does not list never
    // happens. A loaded replica has no load order in flight.
    const bool areOrdersChecked = !AreOrdersUnchecked(aView);
    const bool isKnownMissing =
      isFromFormerHolder && (areOrdersChecked || replica.phase == ReplicaPhase::kLoaded);
    if (wasConfirmedBefore || isKnownMissing || (isRestarted && replica.isOrderConfirmed)) {
      missingModels.push_back(model);
    }
  }
  for (const ModelId& model : missingModels) {
    RemoveReplica(aRunner, model);
  }
}

void Cell::ReleaseFormerOrderReservations(Context& aContext, const View& aView)
{
  for (auto& [id, runner] : mRunners) {
    for (auto& [model, replica] : runner.replicas) {
      if (!replica.isReservedForFormerOrder) {
        continue;
      }
      if (aView.IsProvenDead(aContext, replica.issuer)) {
        replica.isReservedForFormerOrder = false;
        continue;
      }
      if (mNextKeepAliveCheck <= aContext.now()) {
        aView.SendTo(aContext,
                     replica.issuer.daemon,
                     WithdrawOrderMessage{ mId, replica.order, replica.issuer });
      }
    }
  }
}

void Cell::OnOrderWithdrawn(Context& aContext,
                            const View& aView,
                            const OrderWithdrawnMessage& aWithdrawn)
{
  if (mPhase != LeasePhase::kHeld) {
    return;
  }
  for (auto& [id, runner] : mRunners) {
    for (auto& [model, replica] : runner.replicas) {
      if (replica.order == aWithdrawn.order && replica.issuer == aWithdrawn.issuer) {
        replica.isReservedForFormerOrder = false;
      }
    }
  }
  OnWake(aContext, aView);
}

void Cell::OnWithdrawOrder(Context& aContext, const OrderId& aOrder)
{
  for (const auto& [id, runner] : mRunners) {
    for (const auto& [model, replica] : runner.replicas) {
      if (replica.order == aOrder) {
        // A newer holder has adopted the order, so this daemon no longer holds the lease.
        StepDown(aContext);
        return;
      }
    }
  }
}

} // namespace rhubarbtrail

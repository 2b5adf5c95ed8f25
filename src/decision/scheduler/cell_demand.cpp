/* Demands of the routers. They are merged by artifact, served by loads and answered with the
 * locations of replicas. */
#include "decision/scheduler/cell_base.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Time after which a demand is dropped unless a router repeats it. */
constexpr Duration kDemandLifetime = 3s;
/* Delay after which a refused router may repeat its demand. It is fixed, as no better estimate
 * exists. */
constexpr Duration kRefusalRetryDelay = 2s;

} // namespace

bool Cell::IsArtifactLoaded(const Artifact& aArtifact) const
{
  for (const auto& [id, runner] : mRunners) {
    const auto found = runner.replicas.find(aArtifact.model);
    if (found == runner.replicas.end() || found->second.phase != ReplicaPhase::kLoaded) {
      continue;
    }
    if (aArtifact.adapter.empty() || found->second.adapters.contains(aArtifact.adapter)) {
      return true;
    }
  }
  return false;
}

void Cell::SendDemandReply(Context& aContext,
                           const View& aView,
                           const DaemonId& aTo,
                           DemandReplyMessage aReply) const
{
  aReply.fence = mFence;
  if (aTo == aContext.self().daemon) {
    aContext.Emit(SendMessage{ aTo, {}, std::move(aReply) });
    return;
  }
  aView.SendTo(aContext, aTo, std::move(aReply));
}

void Cell::RecordUse(const Context& aContext, const DemandMessage& aDemand)
{
  ModelUsage& usage = mModelUsage[aDemand.artifact.model];
  const Duration idle = aContext.now() - usage.lastUsed;
  // Routers report the use of a model at shorter intervals than this, so after a shorter gap
  // between reports the model may not have been idle.
  if (usage.isUsed && idle >= aContext.settings().replicaLifetime) {
    usage.idleTimes.Add(idle);
    mCellIdleTimes.Add(idle);
  }
  usage.lastUsed = aContext.now();
  usage.isUsed = true;
  usage.isPreloaded = false;
  for (auto& [id, runner] : mRunners) {
    const auto replica = runner.replicas.find(aDemand.artifact.model);
    if (replica != runner.replicas.end()) {
      replica->second.lastUsed = aContext.now();
    }
  }
}

void Cell::OnDemand(Context& aContext,
                    const View& aView,
                    const DaemonId& aFrom,
                    const DemandMessage& aDemand)
{
  const bool hasWaitingRequests = aDemand.waiting > 0;
  if (mPhase != LeasePhase::kHeld) {
    if (hasWaitingRequests) {
      PendingDemand& demand = mDemands[aDemand.artifact];
      demand.expiresAt = aContext.now() + kDemandLifetime;
      demand.deadline = aContext.now() + aDemand.timeLeft;
      demand.waitingRouters.insert(aFrom);
    }
    SendDemandReply(
      aContext,
      aView,
      aFrom,
      { .cell = mId,
        .artifact = aDemand.artifact,
        .status = DemandStatus::kNotHolder,
        .holder = mHolder.daemon == aContext.self().daemon ? DaemonId{} : mHolder.daemon });
    return;
  }
  const auto spec = aView.configuration().models.find(aDemand.artifact.model);
  if (spec == aView.configuration().models.end()) {
    SendDemandReply(aContext,
                    aView,
                    aFrom,
                    { .cell = mId,
                      .artifact = aDemand.artifact,
                      .status = DemandStatus::kRefused,
                      .refusal = ResultCode::kModelUnknown });
    return;
  }
  if (hasWaitingRequests || aDemand.startedSince > 0 || aDemand.inFlight > 0) {
    RecordUse(aContext, aDemand);
    if (spec->second.maxReplicas > 1) {
      mReplicaCountPolicies[aDemand.artifact.model].RecordRequests(
        aFrom,
        aDemand.artifact.adapter,
        aDemand.waiting + aDemand.inFlight,
        aContext.now() + aContext.settings().replicaLifetime);
    }
  }
  if (IsArtifactLoaded(aDemand.artifact)) {
    SendDemandReply(aContext,
                    aView,
                    aFrom,
                    { .cell = mId,
                      .artifact = aDemand.artifact,
                      .status = DemandStatus::kReady,
                      .replicas = GrantLocations(aContext, aView, aDemand.artifact, aFrom) });
    return;
  }
  if (!hasWaitingRequests) {
    return;
  }
  PendingDemand& demand = mDemands[aDemand.artifact];
  const TimePoint deadline = aContext.now() + aDemand.timeLeft;
  demand.deadline = demand.waitingRouters.empty() ? deadline : std::min(demand.deadline, deadline);
  demand.expiresAt = aContext.now() + kDemandLifetime;
  demand.waiting = std::max(demand.waiting, aDemand.waiting);
  demand.waitingRouters.insert(aFrom);
  OnWake(aContext, aView);
  if (mDemands.contains(aDemand.artifact)) {
    SendDemandReply(aContext,
                    aView,
                    aFrom,
                    { .cell = mId,
                      .artifact = aDemand.artifact,
                      .status = DemandStatus::kLoading,
                      .expectedWait = spec->second.expectedLoad });
  }
}

std::vector<ReplicaLocation> Cell::GrantLocations(Context& aContext,
                                                  const View& aView,
                                                  const Artifact& aArtifact,
                                                  const DaemonId& aRouter)
{
  std::vector<ReplicaLocation> locations;
  const ServiceSpec* service = FindServiceSpec(aView);
  for (auto& [id, runner] : mRunners) {
    const auto found = runner.replicas.find(aArtifact.model);
    if (found == runner.replicas.end() || found->second.phase != ReplicaPhase::kLoaded ||
        !aView.IsUsable(id, aContext.now()) || IsIsolated(id)) {
      continue;
    }
    Replica& replica = found->second;
    if (!aArtifact.adapter.empty() && !replica.adapters.contains(aArtifact.adapter)) {
      continue;
    }
    replica.permittedRouters[aRouter] = aContext.now() + LocationValidity(aContext);
    const auto routerCount = static_cast<std::uint32_t>(replica.permittedRouters.size());
    const std::uint32_t concurrencyShare = std::max(1U, service->endpointConcurrency / routerCount);
    locations.push_back({ id, concurrencyShare, runner.reportedLoad });
  }
  return locations;
}

void Cell::SendReadyReplies(Context& aContext, const View& aView, const Artifact& aArtifact)
{
  const auto found = mDemands.find(aArtifact);
  if (found == mDemands.end() || !IsArtifactLoaded(aArtifact)) {
    return;
  }
  const std::set<DaemonId> waitingRouters = std::move(found->second.waitingRouters);
  mDemands.erase(found);
  for (const DaemonId& waitingRouter : waitingRouters) {
    SendDemandReply(aContext,
                    aView,
                    waitingRouter,
                    { .cell = mId,
                      .artifact = aArtifact,
                      .status = DemandStatus::kReady,
                      .replicas = GrantLocations(aContext, aView, aArtifact, waitingRouter) });
  }
}

std::uint32_t Cell::LoadsInFlight() const
{
  std::uint32_t loads = 0;
  for (const auto& [id, runner] : mRunners) {
    for (const auto& [model, replica] : runner.replicas) {
      const bool isLoading =
        replica.phase == ReplicaPhase::kLoadDecided || replica.phase == ReplicaPhase::kLoading;
      loads += isLoading ? 1 : 0;
    }
  }
  return loads;
}

std::uint32_t Cell::AdapterLoadsInFlight() const
{
  std::size_t loads = 0;
  for (const auto& [id, runner] : mRunners) {
    for (const auto& [model, replica] : runner.replicas) {
      loads += replica.adapterRetryAt.size();
    }
  }
  return static_cast<std::uint32_t>(loads);
}

bool Cell::TakeLoadToken(const Context& aContext, const ServiceSpec& aService)
{
  const double elapsed =
    std::chrono::duration<double>(aContext.now() - mLoadTokensUpdatedAt).count();
  const double burst = std::max(1.0, static_cast<double>(aService.store.concurrentLoads));
  mLoadTokens = std::min(burst, mLoadTokens + elapsed * aService.store.loadsPerSecond);
  mLoadTokensUpdatedAt = aContext.now();
  if (mLoadTokens < 1.0) {
    return false;
  }
  mLoadTokens -= 1.0;
  return true;
}

void Cell::LoadAdapter(Context& aContext, const View& aView, const Artifact& aArtifact)
{
  const ServiceSpec* service = FindServiceSpec(aView);
  for (auto& [id, runner] : mRunners) {
    const auto found = runner.replicas.find(aArtifact.model);
    if (found == runner.replicas.end() || found->second.phase != ReplicaPhase::kLoaded) {
      continue;
    }
    Replica& replica = found->second;
    if (replica.adapters.contains(aArtifact.adapter)) {
      continue;
    }
    const auto loading = replica.adapterRetryAt.find(aArtifact.adapter);
    if (loading != replica.adapterRetryAt.end() && loading->second > aContext.now()) {
      aContext.WakeBy(std::min(loading->second, aContext.now() + 1s));
      return;
    }
    const EndpointInfo* info = aView.FindEndpoint(id);
    const bool maySend =
      info != nullptr && (!AreOrdersUnchecked(aView) || LeaseCoversOrderDelivery(aContext));
    if (!maySend || AdapterLoadsInFlight() >= service->store.adaptersInTransit) {
      return;
    }
    replica.adapterRetryAt[aArtifact.adapter] = TimePoint::max();
    aContext.Emit(SendOrder{
      .cell = mId,
      .runner = id,
      .address = info->address,
      .order = OrderId{ replica.order.str() + "+" + aArtifact.adapter.str() },
      .kind = OrderKind::kLoadAdapter,
      .fence = mFence,
      .artifact = aArtifact,
      .version = replica.version,
      .memory = {},
    });
    return;
  }
}

void Cell::ServeDemands(Context& aContext, const View& aView)
{
  const ServiceSpec* service = FindServiceSpec(aView);
  if (service == nullptr) {
    return;
  }
  std::erase_if(mDemands,
                [&](const auto& aItem) { return aItem.second.expiresAt <= aContext.now(); });
  std::erase_if(mPlannedRunners, [&](const auto& aItem) {
    const auto runner = mRunners.find(aItem.second);
    return runner == mRunners.end() ||
           runner->second.reachability != RunnerReachability::kReachable;
  });
  std::vector<std::pair<TimePoint, Artifact>> byDeadline;
  for (const auto& [artifact, demand] : mDemands) {
    byDeadline.emplace_back(demand.deadline, artifact);
    aContext.WakeBy(demand.expiresAt);
  }
  std::sort(byDeadline.begin(), byDeadline.end());
  for (const auto& [deadline, artifact] : byDeadline) {
    if (IsArtifactLoaded(artifact)) {
      SendReadyReplies(aContext, aView, artifact);
      continue;
    }
    const auto spec = aView.configuration().models.find(artifact.model);
    if (spec == aView.configuration().models.end()) {
      continue;
    }
    if (IsArtifactLoaded({ artifact.model, {} })) {
      LoadAdapter(aContext, aView, artifact);
      continue;
    }
    const bool hasEnoughReplicas =
      CountReplicas(aContext, aView, artifact.model) >= TargetReplicas(artifact.model);
    if (hasEnoughReplicas && aContext.IsEnabled(Mechanism::kDemandMerging)) {
      continue;
    }
    if (LoadsInFlight() >= service->store.concurrentLoads || !TakeLoadToken(aContext, *service)) {
      aContext.WakeBy(aContext.now() + 100ms);
      continue;
    }
    if (TryPlaceReplica(aContext, aView, spec->second)) {
      continue;
    }
    mLoadTokens += 1.0;
    const bool isPlacementBlocked = !mIsTableReachable && AreOrdersUnchecked(aView);
    if (!isPlacementBlocked && TryFreeMemory(aContext, aView, spec->second)) {
      aContext.WakeBy(aContext.now() + 100ms);
      continue;
    }
    const bool cannotLoadInTime = deadline - aContext.now() < spec->second.expectedLoad;
    if (!isPlacementBlocked && !cannotLoadInTime) {
      aContext.WakeBy(aContext.now() + 100ms);
      continue;
    }
    for (const DaemonId& waitingRouter : mDemands[artifact].waitingRouters) {
      SendDemandReply(
        aContext,
        aView,
        waitingRouter,
        { .cell = mId,
          .artifact = artifact,
          .status = DemandStatus::kRefused,
          .expectedWait = kRefusalRetryDelay,
          .refusal = ResultCode::kReplicaUnavailable,
          .refusesBelow = isPlacementBlocked ? Duration{} : spec->second.expectedLoad });
    }
    mDemands.erase(artifact);
  }
}

} // namespace rhubarbtrail

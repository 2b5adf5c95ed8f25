/* Chooses the runners for new replicas and the replicas to evict, drains replicas and writes the
 * placement row. */
#include "decision/scheduler/cell_base.h"

#include "decision/configuration_func.h"
#include "decision/rendezvous_func.h"
#include "decision/scheduler/placement_policy_type.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Interval between checks for idle replicas. */
constexpr Duration kKeepAliveCheckInterval = 500ms;
/* Interval at which a drain message is repeated to a router that has not answered it. */
constexpr Duration kDrainRepeatInterval = 1s;
/* Idle time after which a replica may be evicted for another model. */
constexpr Duration kMinEvictableIdleTime = 1s;

PlacementState StateOf(ReplicaPhase aPhase)
{
  switch (aPhase) {
    case ReplicaPhase::kLoadDecided:
    case ReplicaPhase::kLoading:
      return PlacementState::kLoad;
    case ReplicaPhase::kLoaded:
    case ReplicaPhase::kDraining:
      return PlacementState::kLoaded;
    case ReplicaPhase::kUnloadDecided:
    case ReplicaPhase::kUnloading:
      break;
  }
  return PlacementState::kUnload;
}

} // namespace

const ServiceSpec* Cell::FindServiceSpec(const View& aView) const
{
  const auto found = aView.configuration().services.find(ServiceId{ mId.str() });
  return found == aView.configuration().services.end() ? nullptr : &found->second;
}

bool Cell::AreOrdersUnchecked(const View& aView) const
{
  const ServiceSpec* service = FindServiceSpec(aView);
  return service == nullptr || service->orderCheck == OrderCheck::kUnchecked;
}

bool Cell::IsCandidate(const Context& aContext,
                       const View& aView,
                       const ModelId& aModel,
                       const EndpointId& aRunner) const
{
  const std::uint64_t weight = RendezvousWeight(aModel.str(), aRunner.str());
  std::uint32_t higherRanked = 0;
  for (const EndpointId& id : aView.EndpointsOf(ServiceId{ mId.str() })) {
    higherRanked += RendezvousWeight(aModel.str(), id.str()) > weight ? 1 : 0;
  }
  return higherRanked < aContext.settings().candidateRunners;
}

std::uint32_t Cell::CountReplicas(const Context& aContext,
                                  const View& aView,
                                  const ModelId& aModel) const
{
  std::uint32_t count = 0;
  for (const auto& [id, runner] : mRunners) {
    if (runner.replicas.contains(aModel)) {
      ++count;
      continue;
    }
    const bool mayHoldUnwrittenReplica = runner.reachability != RunnerReachability::kReachable &&
                                         runner.bootId.empty() && !AreOrdersUnchecked(aView) &&
                                         aContext.IsEnabled(Mechanism::kPossibleReplicas);
    if (mayHoldUnwrittenReplica && IsCandidate(aContext, aView, aModel, id)) {
      ++count;
    }
  }
  return count;
}

MemoryMb Cell::FreeMemory(const Context& aContext,
                          const View& aView,
                          const Runner& aRunner,
                          const ModelId& aPlacedModel) const
{
  const ServiceSpec* service = FindServiceSpec(aView);
  MemoryMb free = aRunner.memory - service->kvCacheReserve;
  for (const auto& [model, replica] : aRunner.replicas) {
    const bool isMemoryReserved =
      replica.phase == ReplicaPhase::kLoaded || aContext.IsEnabled(Mechanism::kMemoryReservation);
    free = free - (isMemoryReserved ? replica.memory : MemoryMb{});
  }
  for (const auto& [model, runner] : mPlannedRunners) {
    const auto spec = aView.configuration().models.find(model);
    if (runner == aRunner.id && model != aPlacedModel &&
        spec != aView.configuration().models.end()) {
      free = free - ReservedMemory(spec->second);
    }
  }
  return free;
}

bool Cell::TryPlaceReplica(Context& aContext, const View& aView, const ModelSpec& aModel)
{
  const MemoryMb needed = ReservedMemory(aModel);
  const bool isTableDown = !mIsTableReachable;
  if (isTableDown && AreOrdersUnchecked(aView)) {
    return false;
  }
  Runner* best = nullptr;
  PlacementScore bestScore;
  for (auto& [id, runner] : mRunners) {
    const bool isUsable = runner.reachability == RunnerReachability::kReachable &&
                          aView.IsUsable(id, aContext.now()) &&
                          !runner.replicas.contains(aModel.id);
    if (!isUsable || FreeMemory(aContext, aView, runner, aModel.id) < needed) {
      continue;
    }
    const bool isCandidate = IsCandidate(aContext, aView, aModel.id, id);
    if (isTableDown && !isCandidate) {
      continue;
    }
    const PlacementScore score{ .hasCheckpoint = runner.checkpoints.contains(aModel.id),
                                .isCandidate = isCandidate,
                                .free = FreeMemory(aContext, aView, runner, aModel.id) };
    if (best == nullptr || score > bestScore) {
      best = &runner;
      bestScore = score;
    }
  }
  if (best == nullptr) {
    return false;
  }
  Replica& replica = best->replicas[aModel.id];
  replica.model = aModel.id;
  replica.version = aModel.version;
  replica.memory = needed;
  replica.phase = ReplicaPhase::kLoadDecided;
  replica.order = OrderId{ aContext.NewUniqueId() };
  replica.issuer = aContext.self();
  replica.lastUsed = aContext.now();
  mPlannedRunners.erase(aModel.id);
  mIsPlacementDirty = true;
  return true;
}

bool Cell::TryFreeMemory(Context& aContext, const View& aView, const ModelSpec& aModel)
{
  if (mPlannedRunners.contains(aModel.id)) {
    return true;
  }
  const MemoryMb needed = ReservedMemory(aModel);
  Runner* best = nullptr;
  std::vector<Replica*> bestVictims;
  TimePoint bestLatestUse = TimePoint::max();
  for (auto& [id, runner] : mRunners) {
    if (runner.reachability != RunnerReachability::kReachable ||
        !aView.IsUsable(id, aContext.now())) {
      continue;
    }
    std::vector<Replica*> idle;
    for (auto& [model, replica] : runner.replicas) {
      const bool isIdle = replica.phase == ReplicaPhase::kLoaded &&
                          !replica.isReservedForFormerOrder &&
                          replica.lastUsed + kMinEvictableIdleTime <= aContext.now() &&
                          replica.unloadableFrom <= aContext.now();
      if (isIdle) {
        idle.push_back(&replica);
      }
    }
    std::sort(idle.begin(), idle.end(), [](const Replica* aLeft, const Replica* aRight) {
      return aLeft->lastUsed < aRight->lastUsed;
    });
    MemoryMb free = FreeMemory(aContext, aView, runner, aModel.id);
    std::vector<Replica*> victims;
    for (Replica* replica : idle) {
      if (free >= needed) {
        break;
      }
      free += replica->memory;
      victims.push_back(replica);
    }
    // Prefers a runner that needs no eviction, then the one whose most recently used victim has
    // been idle the longest.
    const TimePoint latestUse = victims.empty() ? TimePoint::min() : victims.back()->lastUsed;
    if (free >= needed && latestUse < bestLatestUse) {
      best = &runner;
      bestVictims = std::move(victims);
      bestLatestUse = latestUse;
    }
  }
  if (best == nullptr) {
    return false;
  }
  mPlannedRunners[aModel.id] = best->id;
  for (Replica* victim : bestVictims) {
    StartDrain(aContext, aView, *best, *victim);
  }
  return true;
}

void Cell::StartDrain(Context& aContext, const View& aView, Runner& aRunner, Replica& aReplica)
{
  aReplica.phase = ReplicaPhase::kDraining;
  aReplica.nextSendAt = aContext.now();
  RequestIdleCheck(aContext, aRunner, aReplica);
  if (!aContext.IsEnabled(Mechanism::kDrainBeforeUnload)) {
    aReplica.permittedRouters.clear();
  }
  ContinueDrains(aContext, aView);
  aContext.WakeBy(aContext.now());
}

void Cell::RequestIdleCheck(const Context& aContext, Runner& aRunner, Replica& aReplica)
{
  aReplica.idleCheckFrom = aContext.now();
  aRunner.nextInventoryAt = aContext.now();
}

/* Returns whether a runner takes no new requests, because it is leaving or operators drain it. */
static bool IsLeaving(const View& aView, const EndpointId& aRunner)
{
  const EndpointInfo* info = aView.FindEndpoint(aRunner);
  return info != nullptr && info->state == EndpointState::kLeaving;
}

void Cell::ContinueDrains(Context& aContext, const View& aView)
{
  for (auto& [id, runner] : mRunners) {
    for (auto& [model, replica] : runner.replicas) {
      // Replicas on a leaving runner are drained, so that their models can be loaded elsewhere.
      if (replica.phase == ReplicaPhase::kLoaded && IsLeaving(aView, id)) {
        replica.phase = ReplicaPhase::kDraining;
        replica.nextSendAt = aContext.now();
      }
      if (replica.phase != ReplicaPhase::kDraining) {
        continue;
      }
      const bool hadPermittedRouters = !replica.permittedRouters.empty();
      std::erase_if(replica.permittedRouters, [&](const auto& aRouterPermission) {
        return aRouterPermission.second <= aContext.now();
      });
      if (hadPermittedRouters && replica.permittedRouters.empty()) {
        RequestIdleCheck(aContext, runner, replica);
      }
      // After a takeover, routers that a former holder informed are not in permittedRouters. The
      // inventory still shows their requests.
      if (replica.permittedRouters.empty() &&
          (InventoryShowsIdle(runner, replica) ||
           !aContext.IsEnabled(Mechanism::kDrainBeforeUnload))) {
        replica.isFinalInventoryRequested = false;
        replica.phase = ReplicaPhase::kUnloadDecided;
        replica.order = OrderId{ aContext.NewUniqueId() };
        replica.issuer = aContext.self();
        replica.isOrderWritten = false;
        replica.isOrderConfirmed = false;
        mIsPlacementDirty = true;
        continue;
      }
      if (replica.nextSendAt <= aContext.now()) {
        replica.nextSendAt = aContext.now() + kDrainRepeatInterval;
        const DrainMessage drain{ mId, id, model, mFence };
        for (const auto& [router, until] : replica.permittedRouters) {
          if (router == aContext.self().daemon) {
            aContext.Emit(SendMessage{ router, {}, drain });
          } else {
            aView.SendTo(aContext, router, drain);
          }
        }
      }
      aContext.WakeBy(replica.nextSendAt);
    }
  }
}

void Cell::OnDrained(Context& aContext,
                     const View& aView,
                     const DaemonId& aFrom,
                     const DrainedMessage& aDrained)
{
  const auto runner = mRunners.find(aDrained.runner);
  if (mPhase != LeasePhase::kHeld || aDrained.fence != mFence || runner == mRunners.end()) {
    return;
  }
  const auto replica = runner->second.replicas.find(aDrained.model);
  if (replica == runner->second.replicas.end() ||
      (replica->second.phase != ReplicaPhase::kDraining && !IsIsolated(aDrained.runner))) {
    return;
  }
  replica->second.permittedRouters.erase(aFrom);
  if (replica->second.permittedRouters.empty()) {
    RequestIdleCheck(aContext, runner->second, replica->second);
  }
  OnWake(aContext, aView);
}

void Cell::DrainIdleReplicas(Context& aContext, const View& aView)
{
  if (mNextKeepAliveCheck > aContext.now()) {
    aContext.WakeBy(mNextKeepAliveCheck);
    return;
  }
  mNextKeepAliveCheck = aContext.now() + kKeepAliveCheckInterval;
  aContext.WakeBy(mNextKeepAliveCheck);
  const ServiceSpec* service = FindServiceSpec(aView);
  if (service == nullptr) {
    return;
  }
  for (auto& [id, runner] : mRunners) {
    for (auto& [model, replica] : runner.replicas) {
      const bool mayBeUnloaded = replica.phase == ReplicaPhase::kLoaded &&
                                 !replica.isReservedForFormerOrder &&
                                 replica.unloadableFrom <= aContext.now();
      const auto spec = aView.configuration().models.find(model);
      if (!mayBeUnloaded) {
        continue;
      }
      const bool isDeclared = spec != aView.configuration().models.end();
      const double memoryShare =
        runner.memory.value == 0
          ? 0.0
          : static_cast<double>(replica.memory.value) / static_cast<double>(runner.memory.value);
      // The idle time of a preloaded replica starts with the last use of its model, not with its
      // load.
      const ModelUsage& usage = mModelUsage[model];
      const Duration idle = aContext.now() - (usage.isUsed ? usage.lastUsed : replica.lastUsed);
      const bool isKept =
        isDeclared &&
        (idle < aContext.settings().replicaLifetime ||
         ShouldKeepLoaded(service->keepAlive,
                          { usage, mCellIdleTimes, spec->second.expectedLoad, memoryShare },
                          idle));
      if (!isKept) {
        StartDrain(aContext, aView, runner, replica);
      }
    }
  }
}

PlacementRow Cell::MakePlacementRow(Context& aContext) const
{
  PlacementRow row{ .fence = mFence, .entries = {}, .change = ChangeId{ aContext.NewUniqueId() } };
  for (const auto& [id, runner] : mRunners) {
    for (const auto& [model, replica] : runner.replicas) {
      row.entries.push_back({ .runner = id,
                              .model = model,
                              .version = replica.version,
                              .state = StateOf(replica.phase),
                              .order = replica.order,
                              .issuer = replica.issuer });
    }
  }
  return row;
}

void Cell::WritePlacement(Context& aContext)
{
  if (!mIsPlacementDirty || !mPlacementChange.empty() || !mReadInFlight.empty()) {
    return;
  }
  if (mNextPlacementWrite > aContext.now()) {
    aContext.WakeBy(mNextPlacementWrite);
    return;
  }
  mIsPlacementDirty = false;
  const PlacementRow row = MakePlacementRow(aContext);
  mPlacementChange = row.change;
  mOrdersBeingWritten.clear();
  for (const PlacementEntry& entry : row.entries) {
    mOrdersBeingWritten.insert(entry.order);
  }
  aContext.Emit(TableTransaction{ .change = row.change,
                                  .conditions = { { PlacementKey(mId), mPlacementVersion } },
                                  .writes = { { PlacementKey(mId), RowValue{ row } } } });
}

Duration Cell::LocationValidity(const Context& aContext)
{
  return aContext.settings().replicaLifetime * 5 / 4;
}

void Cell::RemoveReplica(Runner& aRunner, const ModelId& aModel)
{
  aRunner.replicas.erase(aModel);
  mIsPlacementDirty = true;
}

} // namespace rhubarbtrail

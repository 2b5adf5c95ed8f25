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
constexpr Duration kKeepAliveInterval = 500ms;
/* Interval at which a drain message is repeated to a router that has not answered it. */
constexpr Duration kDrainRepeat = 1s;
/* Idle time after which a replica may be evicted for another model. */
constexpr Duration kEvictableIdle = 1s;

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

const ServiceSpec* Cell::Service(const View& aView) const
{
  const auto found = aView.configuration().services.find(ServiceId{ mId.str() });
  return found == aView.configuration().services.end() ? nullptr : &found->second;
}

bool Cell::IsUnchecked(const View& aView) const
{
  const ServiceSpec* service = Service(aView);
  return service == nullptr || service->orderCheck == OrderCheck::kUnchecked;
}

bool Cell::IsCandidate(const Context& aContext,
                       const View& aView,
                       const ModelId& aModel,
                       const EndpointId& aRunner) const
{
  const std::uint64_t weight = RendezvousWeight(aModel.str(), aRunner.str());
  std::uint32_t better = 0;
  for (const EndpointId& id : aView.EndpointsOf(ServiceId{ mId.str() })) {
    better += RendezvousWeight(aModel.str(), id.str()) > weight ? 1 : 0;
  }
  return better < aContext.settings().candidateRunners;
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
    const bool mayHoldUnwritten = runner.reach != RunnerReach::kReached && runner.bootId.empty() &&
                                  !IsUnchecked(aView) &&
                                  aContext.IsEnabled(Mechanism::kPossibleReplicas);
    if (mayHoldUnwritten && IsCandidate(aContext, aView, aModel, id)) {
      ++count;
    }
  }
  return count;
}

MemoryMb Cell::FreeMemory(const Context& aContext,
                          const View& aView,
                          const Runner& aRunner,
                          const ModelId& aFor) const
{
  const ServiceSpec* service = Service(aView);
  MemoryMb free = aRunner.memory - service->kvCacheReserve;
  for (const auto& [model, replica] : aRunner.replicas) {
    const bool isCounted =
      replica.phase == ReplicaPhase::kLoaded || aContext.IsEnabled(Mechanism::kMemoryReservation);
    free = free - (isCounted ? replica.memory : MemoryMb{});
  }
  for (const auto& [model, runner] : mPlanned) {
    const auto spec = aView.configuration().models.find(model);
    if (runner == aRunner.id && model != aFor && spec != aView.configuration().models.end()) {
      free = free - ReservedMemory(spec->second);
    }
  }
  return free;
}

bool Cell::TryPlace(Context& aContext, const View& aView, const ModelSpec& aModel)
{
  const MemoryMb needed = ReservedMemory(aModel);
  const bool isUnwritten = !mIsTableUp;
  if (isUnwritten && IsUnchecked(aView)) {
    return false;
  }
  Runner* best = nullptr;
  PlacementScore bestScore;
  for (auto& [id, runner] : mRunners) {
    const bool isUsable = runner.reach == RunnerReach::kReached &&
                          aView.IsUsable(id, aContext.now()) &&
                          !runner.replicas.contains(aModel.id);
    if (!isUsable || FreeMemory(aContext, aView, runner, aModel.id) < needed) {
      continue;
    }
    const bool isCandidate = IsCandidate(aContext, aView, aModel.id, id);
    if (isUnwritten && !isCandidate) {
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
  replica.order = OrderId{ aContext.NewName() };
  replica.issuer = aContext.self();
  replica.lastUsed = aContext.now();
  mPlanned.erase(aModel.id);
  mIsDirty = true;
  return true;
}

bool Cell::TryEvict(Context& aContext, const View& aView, const ModelSpec& aModel)
{
  if (mPlanned.contains(aModel.id)) {
    return true;
  }
  const MemoryMb needed = ReservedMemory(aModel);
  Runner* best = nullptr;
  std::vector<Replica*> bestVictims;
  TimePoint bestAge = TimePoint::max();
  for (auto& [id, runner] : mRunners) {
    if (runner.reach != RunnerReach::kReached || !aView.IsUsable(id, aContext.now())) {
      continue;
    }
    std::vector<Replica*> idle;
    for (auto& [model, replica] : runner.replicas) {
      const bool isIdle = replica.phase == ReplicaPhase::kLoaded && !replica.isReserved &&
                          replica.lastUsed + kEvictableIdle <= aContext.now() &&
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
    const TimePoint age = victims.empty() ? TimePoint::min() : victims.back()->lastUsed;
    if (free >= needed && age < bestAge) {
      best = &runner;
      bestVictims = std::move(victims);
      bestAge = age;
    }
  }
  if (best == nullptr) {
    return false;
  }
  mPlanned[aModel.id] = best->id;
  for (Replica* victim : bestVictims) {
    StartDrain(aContext, aView, *best, *victim);
  }
  return true;
}

void Cell::StartDrain(Context& aContext, const View& aView, Runner& aRunner, Replica& aReplica)
{
  aReplica.phase = ReplicaPhase::kDraining;
  aReplica.nextOrder = aContext.now();
  NoteUnused(aContext, aRunner, aReplica);
  if (!aContext.IsEnabled(Mechanism::kDrainBeforeUnload)) {
    aReplica.users.clear();
  }
  ContinueDrains(aContext, aView);
  aContext.WakeBy(aContext.now());
}

void Cell::NoteUnused(const Context& aContext, Runner& aRunner, Replica& aReplica)
{
  aReplica.drainedFrom = aContext.now();
  aRunner.nextInventory = aContext.now();
}

/* Returns whether a runner is leaving and takes no new requests. */
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
        replica.nextOrder = aContext.now();
      }
      if (replica.phase != ReplicaPhase::kDraining) {
        continue;
      }
      const bool wasUsed = !replica.users.empty();
      std::erase_if(replica.users,
                    [&](const auto& aUser) { return aUser.second <= aContext.now(); });
      if (wasUsed && replica.users.empty()) {
        NoteUnused(aContext, runner, replica);
      }
      // After a takeover, routers that a former holder informed are not in the list of users. The
      // inventory still shows their requests.
      if (replica.users.empty() &&
          (IsSeenQuiet(runner, replica) || !aContext.IsEnabled(Mechanism::kDrainBeforeUnload))) {
        replica.isLastLook = false;
        replica.phase = ReplicaPhase::kUnloadDecided;
        replica.order = OrderId{ aContext.NewName() };
        replica.issuer = aContext.self();
        replica.isWritten = false;
        replica.isAnswered = false;
        mIsDirty = true;
        continue;
      }
      if (replica.nextOrder <= aContext.now()) {
        replica.nextOrder = aContext.now() + kDrainRepeat;
        const DrainMessage drain{ mId, id, model, mFence };
        for (const auto& [user, until] : replica.users) {
          if (user == aContext.self().daemon) {
            aContext.Emit(SendMessage{ user, {}, drain });
          } else {
            aView.SendTo(aContext, user, drain);
          }
        }
      }
      aContext.WakeBy(replica.nextOrder);
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
  replica->second.users.erase(aFrom);
  if (replica->second.users.empty()) {
    NoteUnused(aContext, runner->second, replica->second);
  }
  OnWake(aContext, aView);
}

void Cell::UnloadIdle(Context& aContext, const View& aView)
{
  if (mNextKeepAlive > aContext.now()) {
    aContext.WakeBy(mNextKeepAlive);
    return;
  }
  mNextKeepAlive = aContext.now() + kKeepAliveInterval;
  aContext.WakeBy(mNextKeepAlive);
  const ServiceSpec* service = Service(aView);
  if (service == nullptr) {
    return;
  }
  for (auto& [id, runner] : mRunners) {
    for (auto& [model, replica] : runner.replicas) {
      const bool isUnloadable = replica.phase == ReplicaPhase::kLoaded && !replica.isReserved &&
                                replica.unloadableFrom <= aContext.now();
      const auto spec = aView.configuration().models.find(model);
      if (!isUnloadable) {
        continue;
      }
      const bool isDeclared = spec != aView.configuration().models.end();
      const double share = runner.memory.value == 0 ? 0.0
                                                    : static_cast<double>(replica.memory.value) /
                                                        static_cast<double>(runner.memory.value);
      // The idle time of a preloaded replica starts with the last use of its model, not with its
      // load.
      const ModelUsage& usage = mUsage[model];
      const Duration idle = aContext.now() - (usage.isUsed ? usage.lastUsed : replica.lastUsed);
      const bool isHeld =
        isDeclared &&
        (idle < aContext.settings().replicaLifetime ||
         IsWorthHolding(
           service->keepAlive, { usage, mCellIdleTimes, spec->second.expectedLoad, share }, idle));
      if (!isHeld) {
        StartDrain(aContext, aView, runner, replica);
      }
    }
  }
}

PlacementRow Cell::MakePlacementRow(Context& aContext) const
{
  PlacementRow row{ .fence = mFence, .entries = {}, .change = ChangeId{ aContext.NewName() } };
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
  if (!mIsDirty || !mPlacementChange.empty() || !mRead.empty()) {
    return;
  }
  if (mNextPlacementWrite > aContext.now()) {
    aContext.WakeBy(mNextPlacementWrite);
    return;
  }
  mIsDirty = false;
  const PlacementRow row = MakePlacementRow(aContext);
  mPlacementChange = row.change;
  mWriting.clear();
  for (const PlacementEntry& entry : row.entries) {
    mWriting.insert(entry.order);
  }
  aContext.Emit(TableTransaction{ .change = row.change,
                                  .conditions = { { PlacementKey(mId), mPlacementVersion } },
                                  .writes = { { PlacementKey(mId), RowValue{ row } } } });
}

Duration Cell::UseLimit(const Context& aContext)
{
  return aContext.settings().replicaLifetime * 5 / 4;
}

void Cell::Remove(Runner& aRunner, const ModelId& aModel)
{
  aRunner.replicas.erase(aModel);
  mIsDirty = true;
}

} // namespace rhubarbtrail

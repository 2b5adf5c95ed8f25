/* Plans which runners load which models, and which models they unload for them. */
#include "decision/fleet/dispatch_estimate.h"
#include "decision/fleet/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtrail::fleet {

namespace {

/* Time ahead for which the chance of a request for a model, and the work beyond what its replicas
 * can serve, are weighed, in seconds. */
constexpr double kDemandHorizonS = 8.0;
/* Caller delay that is expected from unloading a replica, in seconds, for each request per second
 * that it serves. */
constexpr double kLostReplicaCostS = 0.3;
/* Expected time until the requests that a replica still runs have ended, in seconds. */
constexpr double kExpectedDrainS = 1.2;
/* Cost added for a runner that already has a planned swap, in seconds. */
constexpr double kPlannedSwapCostS = 1.3;
/* Least benefit of a planned replica, in seconds of caller delay, so that it pays for its load. */
constexpr double kMinBenefitS = 1.5;
/* Share of the concurrent weight store loads that may fill free memory. The rest stays available to
 * models that callers wait for. */
constexpr double kFreeMemoryLoadShare = 0.5;
/* Least value of a model that fills free memory, in seconds of caller delay per second, when it is
 * loaded from the weight store and from the runner's own disk or host memory. */
constexpr double kMinStoreFillValueS = 0.02;
constexpr double kMinLocalFillValueS = 0.002;
/* Time for which a refused request for a model without a replica counts as demand for one. */
constexpr Duration kRefusedDemandTime = 5s;
/* Limit of models per planning round, and the time between two rounds. Planning a model scans all
 * runners. */
constexpr std::size_t kMaxPlansPerRound = 12;
constexpr Duration kPlanInterval = 20ms;
/* Time after which a missing model is weighed again if no swap was planned for it. */
constexpr Duration kReplanInterval = 150ms;
/* Time for which a cached retention value is used. The value follows rates averaged over seconds,
 * so it changes slowly. */
constexpr Duration kRetentionValueLifetime = 50ms;
/* Time between two checks for models whose demand exceeds what their replicas can serve, and for
 * free memory. */
constexpr Duration kOverloadCheckInterval = 200ms;
/* Time for which the result of a search for local copies is used. A search scans all runners. */
constexpr Duration kLocalCopyCheckInterval = 200ms;
/* Time after which a planned swap whose load the runner has not accepted is cancelled. */
constexpr Duration kSwapTimeout = 15s;

/* Returns the size of a model's weights. A model that is no longer configured counts as the
 * largest. */
MemoryMb WeightsOf(const ManagedRunner& aRunner, const ModelId& aModel)
{
  const Model* model = aRunner.engine->Find(aModel);
  return model == nullptr ? aRunner.weightMemory.largestModel : model->weights;
}

/* Returns the memory that a runner has left for models. */
MemoryMb FreeMemory(const ManagedRunner& aRunner)
{
  const auto further = static_cast<std::int64_t>(aRunner.furtherModels);
  MemoryMb freeMemory = aRunner.weightMemory.availableToModels -
                        MemoryMb{ aRunner.weightMemory.largestModel.value * further };
  for (const auto& [id, held] : aRunner.models) {
    freeMemory = freeMemory - WeightsOf(aRunner, id);
  }
  return freeMemory;
}

} // namespace

bool HoldsMoreThanFits(const ManagedRunner& aRunner)
{
  if (aRunner.engine == nullptr) {
    return false;
  }
  const MemoryMb reservedForAdapters =
    aRunner.engine->weights - aRunner.weightMemory.availableToModels;
  return FreeMemory(aRunner) + reservedForAdapters < MemoryMb{};
}

Duration LoadTime(const ManagedRunner& aRunner, const Model& aModel)
{
  if (aRunner.inHostMemory.contains(aModel.id)) {
    return aModel.memoryLoadTime;
  }
  return aRunner.onDisk.contains(aModel.id) ? aModel.diskLoadTime : aModel.storeLoadTime;
}

const std::vector<ManagedRunner*>& Dispatcher::RunnersWithModel(const ModelId& aModel) const
{
  static const std::vector<ManagedRunner*> kNone;
  if (std::exchange(mIsModelIndexStale, false)) {
    mRunnersByModel.clear();
    for (const auto& [id, runner] : mRunners) {
      for (const auto& [model, held] : runner.models) {
        // mRunners is not const, and only non-const functions change runners through this index.
        mRunnersByModel[model].push_back(const_cast<ManagedRunner*>(&runner));
      }
    }
  }
  const auto found = mRunnersByModel.find(aModel);
  return found == mRunnersByModel.end() ? kNone : found->second;
}

std::uint32_t Dispatcher::CountReplicas(const ServiceId& aService,
                                        const ModelId& aModel,
                                        const SoftwareVersion& aVersion) const
{
  std::uint32_t count = 0;
  for (const ManagedRunner* runner : RunnersWithModel(aModel)) {
    const bool isExcluded = runner->entry.service != aService || !IsUsable(*runner) ||
                            runner->unreachableSince || !HasVersion(*runner, aVersion);
    count += isExcluded || runner->models.at(aModel).isLeaving ? 0 : 1;
  }
  return count;
}

/* Counts the replicas that are planned or being loaded. */
void Dispatcher::CountIncomingReplicas(TimePoint aNow)
{
  mIncomingReplicas.clear();
  for (const auto& [id, swap] : mSwaps) {
    CountIncomingReplica(swap.service, swap.model, SwapDoneAt(aNow, swap));
  }
  for (const auto& [id, runner] : mRunners) {
    if (runner.order && runner.order->order.kind == OrderKind::kLoad &&
        !runner.order->isPresumedDone && IsUsable(runner) && !mSwaps.contains(id)) {
      CountIncomingReplica(
        runner.entry.service,
        runner.order->order.subject.model,
        runner.order->isFromStore
          ? ExpectedStoreLoadEnd(
              aNow, runner.order->sentAt, runner.order->expectedDuration, CountStoreLoads() - 1)
          : std::max(runner.order->expectedDoneAt, aNow));
    }
  }
}

void Dispatcher::CountIncomingReplica(const ServiceId& aService,
                                      const ModelId& aModel,
                                      TimePoint aReadyAt)
{
  IncomingReplicaCount& incoming = mIncomingReplicas[{ aService, aModel }];
  ++incoming.count;
  incoming.firstReadyAt = std::min(incoming.firstReadyAt, aReadyAt);
}

std::uint32_t Dispatcher::IncomingReplicas(const ServiceId& aService, const ModelId& aModel) const
{
  const auto found = mIncomingReplicas.find({ aService, aModel });
  return found == mIncomingReplicas.end() ? 0 : found->second.count;
}

const Dispatcher::Swap* Dispatcher::PlannedSwap(const EndpointId& aRunner) const
{
  const auto found = mSwaps.find(aRunner);
  return found == mSwaps.end() ? nullptr : &found->second;
}

bool Dispatcher::CanPlanSwap(const ManagedRunner& aRunner) const
{
  return aRunner.engine != nullptr && IsUsable(aRunner) && aRunner.areHoldingsConfirmed &&
         !aRunner.order && !mSwaps.contains(aRunner.entry.id);
}

/* Returns the caller delay to expect if a replica is unloaded, in seconds. The result is cached for
 * kRetentionValueLifetime. */
double Dispatcher::RetentionValue(TimePoint aNow,
                                  const ManagedRunner& aRunner,
                                  const ModelId& aModel,
                                  const HeldModel& aHeld) const
{
  if (aNow - aHeld.retentionValueAt >= kRetentionValueLifetime) {
    aHeld.retentionValue = ComputeRetentionValue(aNow, aRunner, aModel, aHeld);
    aHeld.retentionValueAt = aNow;
  }
  return aHeld.retentionValue;
}

double Dispatcher::ComputeRetentionValue(TimePoint aNow,
                                         const ManagedRunner& aRunner,
                                         const ModelId& aModel,
                                         const HeldModel& aHeld) const
{
  const Model* model = aRunner.engine->Find(aModel);
  if (model == nullptr) {
    return 0.0; // The model is no longer configured, so no request can be for it.
  }
  const double rate = mDemand.RequestRate(aNow, aModel);
  const double needed =
    std::max(1.0, std::ceil(mDemand.BusyRunners(aNow, aModel) / kMaxWorkPerReplica));
  const double replicas = std::max<double>(CountReplicas(aRunner.entry.service, aModel), 1.0);
  const double requestProbability = 1.0 - std::exp(-rate * kDemandHorizonS);
  const double value =
    requestProbability * ToSeconds(LoadTime(aRunner, *model)) + kLostReplicaCostS * rate / replicas;
  // Among models without demand, the most recently used one is kept.
  const double age = ToSeconds(aNow - aHeld.lastUsed);
  const double recency = 1e-3 / (1.0 + std::max(age, 0.0));
  return (replicas > needed ? kSurplusReplicaFactor * value : value) + recency;
}

std::optional<Dispatcher::Swap> Dispatcher::FindSwap(TimePoint aNow,
                                                     const ManagedRunner& aRunner,
                                                     const Model& aModel) const
{
  const bool hasCopy =
    aRunner.inHostMemory.contains(aModel.id) || aRunner.onDisk.contains(aModel.id);
  Swap swap{ .runner = aRunner.entry.id,
             .service = aRunner.entry.service,
             .model = aModel.id,
             .victims = {},
             .loadTime = LoadTime(aRunner, aModel),
             .isFromStore = !hasCopy,
             .plannedAt = aNow };
  swap.cost = ToSeconds(swap.loadTime);
  if (aRunner.order) {
    swap.cost += std::max(ToSeconds(aRunner.order->expectedDoneAt - aNow), 0.1);
  }
  swap.cost += LimitedSwapDelay(aRunner);
  if (PlannedSwap(aRunner.entry.id) != nullptr) {
    swap.cost += kPlannedSwapCostS;
  }
  MemoryMb freeMemory = FreeMemory(aRunner);
  const bool canFillFromDisk =
    !aRunner.onDisk.empty() && freeMemory >= aModel.weights + aRunner.weightMemory.smallestModel;
  if (swap.isFromStore && canFillFromDisk) {
    // A restarted runner could fill the rest of its memory from its disk in that time.
    swap.cost += ToSeconds(swap.loadTime);
  }
  std::vector<std::pair<double, const ModelId*>> candidates;
  for (const auto& [id, held] : aRunner.models) {
    if (!held.isLeaving) {
      const double drain = held.inFlight > 0 ? kExpectedDrainS : 0.0;
      candidates.emplace_back(RetentionValue(aNow, aRunner, id, held) + drain, &id);
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  for (const auto& [value, id] : candidates) {
    if (freeMemory >= aModel.weights) {
      break;
    }
    freeMemory += WeightsOf(aRunner, *id);
    swap.cost += value;
    swap.victims.push_back(*id);
  }
  return freeMemory >= aModel.weights ? std::optional{ std::move(swap) } : std::nullopt;
}

/* Adds a planned swap and marks its victims as leaving. */
void Dispatcher::AddSwap(TimePoint aNow, Swap aSwap, std::string_view aWhy)
{
  ManagedRunner& runner = mRunners[aSwap.runner];
  for (const ModelId& victim : aSwap.victims) {
    runner.models[victim].isLeaving = true;
    for (const ManagedRunner* replica : RunnersWithModel(victim)) {
      // With one replica less, the others are worth more, so their cached values are dropped.
      replica->models.at(victim).retentionValueAt = {};
    }
  }
  LogDecision({ .event = "swap_planned",
                .request = {},
                .runner = aSwap.runner,
                .model = { .model = aSwap.model, .adapter = {} },
                .why = aWhy,
                .time = aSwap.loadTime,
                .count = aSwap.victims.size() });
  CountIncomingReplica(aSwap.service, aSwap.model, SwapDoneAt(aNow, aSwap));
  mSwapRate.Add(aNow, 1.0);
  const EndpointId id = aSwap.runner;
  mSwaps.emplace(id, std::move(aSwap));
}

void Dispatcher::RunPlanningRound(TimePoint aNow)
{
  if (aNow < mNextPlanAt) {
    ScheduleTick(mNextPlanAt);
    return;
  }
  mNextPlanAt = aNow + kPlanInterval;
  const bool isOverloadCheckDue = aNow >= mNextOverloadCheckAt;
  if (isOverloadCheckDue) {
    mNextOverloadCheckAt = aNow + kOverloadCheckInterval;
    mReturningCopies.Expire(aNow);
    PlanOverloadedModels(aNow);
  }
  PlanMissingModels(aNow);
  if (isOverloadCheckDue) {
    FillFreeMemory(aNow);
  }
}

/* Load pattern: many rarely used models. For a model that requests wait for, or were refused for, a
 * swap is planned at the runner where it delays other callers least. */
void Dispatcher::PlanMissingModels(TimePoint aNow)
{
  std::erase_if(mRefusedModels,
                [&](const auto& aItem) { return aNow - aItem.second > kRefusedDemandTime; });
  std::erase_if(mNextPlanAtByModel, [&](const auto& aItem) { return aNow >= aItem.second; });
  const bool canPlanAnySwap = std::any_of(
    mRunners.begin(), mRunners.end(), [&](const auto& aItem) { return CanPlanSwap(aItem.second); });
  if (!canPlanAnySwap || (mWaitingRequests.empty() && mRefusedModels.empty())) {
    return;
  }
  std::map<MissingModel, std::vector<const WaitingRequest*>> missing;
  for (const WaitingRequest& waiting : mWaitingRequests) {
    const PlacementRequest& request = waiting.request;
    missing[{ .service = request.service,
              .model = request.work.target.model,
              .version = RequiredVersion(request) }]
      .push_back(&waiting);
  }
  for (const auto& [key, refusedAt] : mRefusedModels) {
    missing.try_emplace({ .service = key.first, .model = key.second, .version = {} });
  }
  std::vector<std::pair<std::size_t, MissingModel>> ordered;
  ordered.reserve(missing.size());
  for (const auto& [key, waiting] : missing) {
    const auto next = mNextPlanAtByModel.find(key);
    if (next != mNextPlanAtByModel.end() && aNow < next->second) {
      continue;
    }
    const Engine* engine = EngineOf(key.service);
    if (engine == nullptr || engine->Find(key.model) == nullptr ||
        EffectiveReplicas(aNow, key.service, key.model, key.version) >= 1.0) {
      continue;
    }
    if (!HasIncomingReplica(aNow, key) ||
        (key.version.empty() && HasFasterCopy(aNow, key.service, *engine->Find(key.model)))) {
      ordered.emplace_back(waiting.size(), key);
    }
  }
  std::stable_sort(ordered.begin(), ordered.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first > aRight.first;
  });
  if (mAssignmentOrder.IsEnabled() && mOverloadDecisions.ordersLoadsByWorth) {
    std::map<MissingModel, LoadWorth> worths;
    for (const auto& [count, key] : ordered) {
      worths.emplace(key, WorthOfLoadNow(aNow, key, missing.at(key)));
    }
    std::stable_sort(ordered.begin(), ordered.end(), [&](const auto& aLeft, const auto& aRight) {
      return GoesBefore(worths.at(aLeft.second), worths.at(aRight.second));
    });
  }
  // Planning a model scans all runners. Models beyond the limit are planned in the next rounds.
  std::size_t planned = 0;
  for (const auto& [count, key] : ordered) {
    if (++planned > kMaxPlansPerRound) {
      ScheduleTick(mNextPlanAt);
      break;
    }
    PlanMissingModel(aNow, key, missing.at(key));
  }
}

LoadWorth Dispatcher::WorthOfLoadNow(TimePoint aNow,
                                     const MissingModel& aMissing,
                                     const std::vector<const WaitingRequest*>& aWaiting)
{
  const Model& model = *EngineOf(aMissing.service)->Find(aMissing.model);
  const Duration loadTime = HadLocalCopy(aNow, aMissing.service, aMissing.model)
                              ? std::min(model.diskLoadTime, model.storeLoadTime)
                              : model.storeLoadTime;
  std::vector<WaitingWork> work;
  work.reserve(aWaiting.size());
  for (const WaitingRequest* waiting : aWaiting) {
    work.push_back({ .priority = waiting->request.priority,
                     .latestInTime = waiting->receivedAt + waiting->request.latencyObjective,
                     .deadline = waiting->deadline });
  }
  return WorthOfLoad(work, aNow + loadTime);
}

void Dispatcher::PlanMissingModel(TimePoint aNow,
                                  const MissingModel& aMissing,
                                  const std::vector<const WaitingRequest*>& aWaiting)
{
  const Engine& engine = *EngineOf(aMissing.service);
  const Model& model = *engine.Find(aMissing.model);
  // A replica that was planned in this round for any version may serve this one, too.
  const bool hasIncomingReplica = HasIncomingReplica(aNow, aMissing);
  if (hasIncomingReplica && !HasFasterCopy(aNow, aMissing.service, model)) {
    return;
  }
  mNextPlanAtByModel[aMissing] = aNow + kReplanInterval;
  auto swap = FindCheapestSwap(aNow, aMissing.service, model, aMissing.version);
  // If the best runner is still busy, no swap is planned: waiting for it costs less than a swap at
  // another runner.
  if (!swap || !CanPlanSwap(mRunners[swap->runner])) {
    return;
  }
  if (swap->isFromStore && (hasIncomingReplica || !MayLoadFromStore(aNow, engine) ||
                            ShouldWaitForCopy(aNow, aMissing.service, model))) {
    return;
  }
  if (ExpectedGain(aNow, *swap, model, aWaiting) > ExpectedLoss(aNow, *swap)) {
    AddSwap(aNow, std::move(*swap), "asked_for");
  }
}

/* Load pattern: demand for a few models exceeds what their replicas can serve, or moves to other
 * models. The reason logged for these swaps is "crowded". */
void Dispatcher::PlanOverloadedModels(TimePoint aNow)
{
  if (!mConfiguration) {
    return;
  }
  for (const ModelId& model : mDemand.Models()) {
    const double work = mDemand.BusyRunners(aNow, model);
    if (work <= kMaxWorkPerReplica) {
      continue;
    }
    for (const auto& [serviceId, service] : mConfiguration->services) {
      double replicas = EffectiveReplicas(aNow, serviceId, model);
      if (replicas == 0.0) {
        continue; // PlanMissingModels() plans for models without a replica.
      }
      // A sudden rise needs several replicas at once. One after the other would take a second each.
      replicas += IncomingReplicas(serviceId, model);
      while (work > kMaxWorkPerReplica * replicas) {
        const double benefit =
          (work / replicas - kMaxWorkPerReplica) * kDemandHorizonS + kMinBenefitS;
        if (!PlanSwap(aNow, serviceId, model, benefit, "crowded")) {
          break;
        }
        replicas += 1.0;
      }
    }
  }
}

bool Dispatcher::HadLocalCopy(TimePoint aNow, const ServiceId& aService, const ModelId& aModel)
{
  LocalCopyCheck& check = mLocalCopyChecks[{ aService, aModel }];
  if (aNow - check.checkedAt >= kLocalCopyCheckInterval) {
    check = { .hasCopy = HasLocalCopy(aService, aModel), .checkedAt = aNow };
  }
  return check.hasCopy;
}

void Dispatcher::RecordLostCopies(TimePoint aNow, const ManagedRunner& aRunner)
{
  if (aRunner.engine == nullptr || aRunner.saysLeaving ||
      aRunner.entry.state != RunnerState::kReady) {
    return;
  }
  std::set<ModelId> copies = aRunner.onDisk;
  for (const auto& [model, held] : aRunner.models) {
    copies.insert(model); // Each load leaves a copy on the disk.
  }
  mReturningCopies.RecordLost(aNow, aRunner.entry.service, copies);
}

/* Load pattern: runners crash or flap, and for a time none that can take orders has a copy. */
bool Dispatcher::ShouldWaitForCopy(TimePoint aNow, const ServiceId& aService, const Model& aModel)
{
  if (!IsWorthWaitingForCopy(aModel)) {
    return false;
  }
  const bool isExpected = mReturningCopies.IsExpected(aNow, aService, aModel.id) ||
                          HadLocalCopy(aNow, aService, aModel.id);
  return mReturningCopies.ShouldWait(aNow, aService, aModel.id, isExpected);
}

/* Load pattern: a load from the weight store was planned while the only runners with copies were
 * down. Once one of them is back, its copy serves callers much earlier. */
bool Dispatcher::HasFasterCopy(TimePoint aNow, const ServiceId& aService, const Model& aModel)
{
  const auto ready = TimeUntilReplica(aNow, aService, aModel.id);
  if (!ready || !IsWorthWaitingForCopy(aModel) ||
      *ready < (kCopyReturnTime + aModel.diskLoadTime)) {
    return false;
  }
  return std::any_of(mRunners.begin(), mRunners.end(), [&](const auto& aItem) {
    const ManagedRunner& runner = aItem.second;
    return runner.entry.service == aService && CanPlanSwap(runner) &&
           !runner.health.IsAvoided(aNow) &&
           (runner.onDisk.contains(aModel.id) || runner.inHostMemory.contains(aModel.id));
  });
}

bool Dispatcher::HasLocalCopy(const ServiceId& aService, const ModelId& aModel) const
{
  return std::any_of(mRunners.begin(), mRunners.end(), [&](const auto& aItem) {
    const ManagedRunner& runner = aItem.second;
    return runner.entry.service == aService && IsUsable(runner) &&
           (runner.onDisk.contains(aModel) || runner.inHostMemory.contains(aModel));
  });
}

/* Load pattern: runners are replaced one after the other, and new ones hold no models and no
 * copies. Filling free memory unloads nothing, so models are loaded there before callers wait for
 * them. The model with the highest request rate times load time comes first, with less weight for
 * each replica that it already has. The reason logged for these swaps is "fills_room". */
void Dispatcher::FillFreeMemory(TimePoint aNow)
{
  std::unordered_set<ModelId> copiedModels;
  for (const auto& [id, runner] : mRunners) {
    if (IsUsable(runner)) {
      copiedModels.insert(runner.inHostMemory.begin(), runner.inHostMemory.end());
      copiedModels.insert(runner.onDisk.begin(), runner.onDisk.end());
    }
  }
  bool mayUseStore = static_cast<double>(CountStoreLoads()) + 1.0 <=
                     std::max(kFreeMemoryLoadShare * mStoreConcurrency, 1.0);
  for (auto& [id, runner] : mRunners) {
    if (!CanPlanSwap(runner) || !MayReceiveNewOrder(aNow, runner) || runner.limitedTraffic ||
        runner.health.IsAvoided(aNow) || FreeMemory(runner) < runner.weightMemory.smallestModel) {
      continue;
    }
    auto model = BestLocalModelForFreeMemory(aNow, runner, copiedModels);
    if (!model && mayUseStore && MayLoadFromStore(aNow, *runner.engine)) {
      // Looking at all models takes long, and the store serves few loads anyway.
      mayUseStore = false;
      model = BestModelForFreeMemory(aNow, runner, copiedModels);
    }
    auto swap = model ? FindSwap(aNow, runner, runner.engine->models.at(*model)) : std::nullopt;
    if (swap && swap->victims.empty()) {
      AddSwap(aNow, std::move(*swap), "fills_room");
    }
  }
}

/* Returns how much a further replica of a model is expected to save callers who come for it, in
 * seconds per second, or 0 if the runner cannot take it now. */
double Dispatcher::FillValue(TimePoint aNow,
                             const ManagedRunner& aRunner,
                             const ModelId& aModel,
                             const std::unordered_set<ModelId>& aCopiedModels) const
{
  const Model* model = aRunner.engine->Find(aModel);
  if (model == nullptr || model->weights > FreeMemory(aRunner) || aRunner.models.contains(aModel) ||
      IncomingReplicas(aRunner.entry.service, aModel) > 0) {
    return 0.0;
  }
  const double rate =
    std::max(mDemand.RequestRate(aNow, aModel), mDemand.SustainedRequestRate(aNow, aModel));
  const double replicas = CountReplicas(aRunner.entry.service, aModel);
  const double missDelay =
    ToSeconds(aCopiedModels.contains(aModel) ? model->diskLoadTime : model->storeLoadTime);
  return rate * missDelay / ((1.0 + replicas) * (1.0 + replicas));
}

/* A restarted runner has copies on its disk, which load in a tenth of the time and without the
 * weight store, whose few loads at full speed may all be taken. */
std::optional<ModelId> Dispatcher::BestLocalModelForFreeMemory(
  TimePoint aNow,
  const ManagedRunner& aRunner,
  const std::unordered_set<ModelId>& aCopiedModels) const
{
  std::optional<ModelId> best;
  double bestValue = kMinLocalFillValueS;
  for (const auto* copies : { &aRunner.inHostMemory, &aRunner.onDisk }) {
    for (const ModelId& id : *copies) {
      if (const double value = FillValue(aNow, aRunner, id, aCopiedModels); value > bestValue) {
        best = id;
        bestValue = value;
      }
    }
  }
  return best;
}

std::optional<ModelId> Dispatcher::BestModelForFreeMemory(
  TimePoint aNow,
  const ManagedRunner& aRunner,
  const std::unordered_set<ModelId>& aCopiedModels) const
{
  std::optional<ModelId> best;
  double bestValue = kMinStoreFillValueS;
  for (const ModelId& id : mDemand.Models()) {
    if (const double value = FillValue(aNow, aRunner, id, aCopiedModels); value > bestValue) {
      best = id;
      bestValue = value;
    }
  }
  return best;
}

/* Load pattern: hundreds of runners, and many models to plan at once, as after a crash of runners.
 * Weighing a swap costs much more than looking for a copy. So runners without one are weighed only
 * if no runner has one. */
std::optional<Dispatcher::Swap> Dispatcher::FindCheapestSwap(TimePoint aNow,
                                                             const ServiceId& aService,
                                                             const Model& aModel,
                                                             const SoftwareVersion& aVersion) const
{
  std::optional<Swap> best;
  for (const bool needsCopy : { true, false }) {
    for (const auto& [id, runner] : mRunners) {
      const bool hasCopy =
        runner.onDisk.contains(aModel.id) || runner.inHostMemory.contains(aModel.id);
      if (hasCopy != needsCopy || runner.entry.service != aService || !IsUsable(runner) ||
          !HasVersion(runner, aVersion) || runner.models.contains(aModel.id) ||
          runner.health.IsAvoided(aNow)) {
        continue;
      }
      auto swap = FindSwap(aNow, runner, aModel);
      if (swap && (!best || swap->cost < best->cost)) {
        best = std::move(swap);
      }
    }
    if (best || !MayLoadFromStore(aNow, *EngineOf(aService))) {
      break;
    }
  }
  return best;
}

bool Dispatcher::PlanSwap(TimePoint aNow,
                          const ServiceId& aService,
                          const ModelId& aModel,
                          double aBenefit,
                          std::string_view aWhy)
{
  const Engine* engine = EngineOf(aService);
  const Model* model = engine == nullptr ? nullptr : engine->Find(aModel);
  if (model == nullptr || aBenefit < kMinBenefitS) {
    return false;
  }
  auto best = FindCheapestSwap(aNow, aService, *model);
  // If the best runner is still busy, no swap is planned: waiting for it costs less than a swap at
  // another runner.
  if (!best || best->cost > aBenefit || !CanPlanSwap(mRunners[best->runner])) {
    return false;
  }
  if (best->isFromStore &&
      (!MayLoadFromStore(aNow, *engine) || ShouldWaitForCopy(aNow, aService, *model))) {
    return false;
  }
  AddSwap(aNow, std::move(*best), aWhy);
  return true;
}

void Dispatcher::AdvanceSwaps(TimePoint aNow)
{
  std::erase_if(mSwaps, [&](const auto& aItem) { return AdvanceSwap(aNow, aItem.second); });
}

/* Sends the next order of a swap when the runner can take it. Returns whether the swap is finished
 * or cancelled. */
bool Dispatcher::AdvanceSwap(TimePoint aNow, const Swap& aSwap)
{
  const auto found = mRunners.find(aSwap.runner);
  if (found == mRunners.end()) {
    return true;
  }
  ManagedRunner& runner = found->second;
  const bool isTimedOut = aNow - aSwap.plannedAt > kSwapTimeout;
  const bool isLoading = runner.order && runner.order->order.kind == OrderKind::kLoad &&
                         runner.order->order.subject.model == aSwap.model &&
                         runner.order->phase == PendingOrder::Phase::kAccepted;
  if (!IsUsable(runner) || isTimedOut || isLoading || runner.models.contains(aSwap.model)) {
    for (const ModelId& victim : aSwap.victims) {
      if (const auto held = runner.models.find(victim); held != runner.models.end()) {
        held->second.isLeaving = false;
      }
    }
    return true;
  }
  // For the load that follows an accepted unload, the unloaded model already counts as gone.
  const bool isAfterUnload = MayLoadAfterUnload(aNow, runner);
  const ModelId unloadingModel = isAfterUnload ? runner.order->order.subject.model : ModelId{};
  if (!isAfterUnload && !MayReceiveNewOrder(aNow, runner)) {
    return false;
  }
  bool hasVictims = false;
  for (const ModelId& victim : aSwap.victims) {
    const auto held = runner.models.find(victim);
    if (held == runner.models.end() || victim == unloadingModel) {
      continue;
    }
    hasVictims = true;
    held->second.isLeaving = true;
    if (held->second.inFlight == 0 && !isAfterUnload && !HasAdapterLoad(aNow, held->second)) {
      SendOrder(
        aNow,
        runner,
        OrderKind::kUnload,
        { .model = victim, .adapter = {} },
        { .expectedDuration = Duration::zero(), .isFromStore = false, .why = "makes_room" });
      return false;
    }
  }
  if (hasVictims) {
    return false;
  }
  // The runner's holdings may have changed since the swap was planned, so the model may no longer
  // fit.
  const Model* model = runner.engine == nullptr ? nullptr : runner.engine->Find(aSwap.model);
  if (model == nullptr) {
    return true;
  }
  const bool isUnloadingModelHeld = runner.models.contains(unloadingModel);
  const MemoryMb freeMemory = isUnloadingModelHeld
                                ? FreeMemory(runner) + WeightsOf(runner, unloadingModel)
                                : FreeMemory(runner);
  if (model->weights > freeMemory) {
    return true;
  }
  SendOrder(aNow,
            runner,
            OrderKind::kLoad,
            { .model = aSwap.model, .adapter = {} },
            { .expectedDuration = aSwap.loadTime,
              .durationWithoutMemoryCopy = std::max(aSwap.loadTime, model->diskLoadTime),
              .isFromStore = aSwap.isFromStore,
              .why = "asked_for" });
  return false;
}

} // namespace rhubarbtrail::fleet

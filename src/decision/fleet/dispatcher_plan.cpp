/* Plans which runners load which models, and which models they unload for them. */
#include "decision/fleet/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtrail::fleet {

namespace {

/* Work that one replica of a model should have at most, as a share of a runner's time. With more,
 * prompts queue. */
constexpr double kReplicaWork = 0.5;
/* Time ahead for which the chance of a request for a model, and the work beyond what its replicas
 * can serve, are weighed, in seconds. */
constexpr double kHorizonS = 8.0;
/* Caller delay per request a second that an unloaded replica would have served, in seconds. */
constexpr double kCrowdingCost = 0.3;
/* Value of a replica beyond the number needed, relative to a needed one. */
constexpr double kSurplusValue = 0.05;
/* Expected time until the requests that a replica still runs have ended, in seconds. */
constexpr double kDrainTimeS = 1.2;
/* Cost added for a runner that already has a planned swap, in seconds. */
constexpr double kSwapTimeS = 1.3;
/* Least benefit of a planned replica, in seconds of caller delay, so that it pays for its load. */
constexpr double kLeastBenefitS = 1.5;
/* Share of the concurrent weight store loads that may fill free memory. The rest stays available to
 * models that callers wait for. */
constexpr double kRoomPart = 0.5;
/* Least value of a model that fills free memory, in seconds of caller delay per second. */
constexpr double kLeastRoomValueS = 0.02;
/* Value of a late answer relative to one in time. Operators state a seventh to a half. */
constexpr double kLateValue = 0.2;
/* Benefit of a model that requests wait for. It exceeds the cost of any swap. */
constexpr double kWantedBenefitS = 1e9;
/* Limit of models per planning round, and the time between two rounds. Planning a model scans all
 * runners. */
constexpr std::size_t kPlansAtOnce = 12;
constexpr Duration kPlanInterval = 20ms;
/* Time for which a cached keep value is used. The value follows rates averaged over seconds, so it
 * changes slowly. */
constexpr Duration kValueLifetime = 50ms;
/* Time between two checks for models whose demand exceeds their replicas, and for free memory. */
constexpr Duration kCrowdedInterval = 200ms;
/* Time after which a planned swap whose load the runner has not accepted is cancelled. */
constexpr Duration kSwapLimit = 15s;

double SecondsOf(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/* Returns the size of a model's weights. A model that is no longer configured counts as the
 * largest. */
MemoryMb WeightsOf(const ManagedRunner& aRunner, const ModelId& aModel)
{
  const Model* model = aRunner.engine->Find(aModel);
  return model == nullptr ? aRunner.room.largest : model->weights;
}

/* Returns the memory that a runner has left for models. */
MemoryMb FreeRoom(const ManagedRunner& aRunner)
{
  MemoryMb room = aRunner.room.models;
  for (const auto& [id, held] : aRunner.models) {
    room = room - WeightsOf(aRunner, id);
  }
  return room;
}

/* Returns the time to load a model from the fastest source that the runner has: host memory, its
 * disk, or the weight store. */
Duration LoadTime(const ManagedRunner& aRunner, const Model& aModel)
{
  if (aRunner.inHostMemory.contains(aModel.id)) {
    return aModel.memoryLoad;
  }
  return aRunner.onDisk.contains(aModel.id) ? aModel.diskLoad : aModel.storeLoad;
}

} // namespace

const std::vector<ManagedRunner*>& Dispatcher::Holders(const ModelId& aModel) const
{
  static const std::vector<ManagedRunner*> kNone;
  if (std::exchange(mIsIndexStale, false)) {
    mHolders.clear();
    for (const auto& [id, runner] : mRunners) {
      for (const auto& [model, held] : runner.models) {
        // mRunners is not const, and only non-const functions change runners through this index.
        mHolders[model].push_back(const_cast<ManagedRunner*>(&runner));
      }
    }
  }
  const auto found = mHolders.find(aModel);
  return found == mHolders.end() ? kNone : found->second;
}

std::uint32_t Dispatcher::Replicas(const ServiceId& aService, const ModelId& aModel) const
{
  std::uint32_t count = 0;
  for (const ManagedRunner* runner : Holders(aModel)) {
    const bool isOther = runner->entry.service != aService || !IsUsable(*runner);
    count += isOther || runner->models.at(aModel).isLeaving ? 0 : 1;
  }
  return count;
}

/* Counts the replicas that are planned or being loaded. */
void Dispatcher::NoteComing()
{
  mComing.clear();
  for (const auto& [id, swap] : mSwaps) {
    ++mComing[{ swap.service, swap.model }];
  }
  for (const auto& [id, runner] : mRunners) {
    if (runner.order && runner.order->order.kind == OrderKind::kLoad &&
        !runner.order->IsAboutAdapter() && !runner.order->isPresumedDone && IsUsable(runner) &&
        !mSwaps.contains(id)) {
      ++mComing[{ runner.entry.service, runner.order->order.subject.model }];
    }
  }
}

std::uint32_t Dispatcher::Coming(const ServiceId& aService, const ModelId& aModel) const
{
  const auto found = mComing.find({ aService, aModel });
  return found == mComing.end() ? 0 : found->second;
}

const Dispatcher::Swap* Dispatcher::SwapAt(const EndpointId& aRunner) const
{
  const auto found = mSwaps.find(aRunner);
  return found == mSwaps.end() ? nullptr : &found->second;
}

bool Dispatcher::IsFree(const ManagedRunner& aRunner) const
{
  return aRunner.engine != nullptr && IsUsable(aRunner) && aRunner.isVerified &&
         (!aRunner.order || aRunner.order->IsAboutAdapter()) && !mSwaps.contains(aRunner.entry.id);
}

/* Returns the caller delay to expect if a replica is unloaded, in seconds. The result is cached. */
double Dispatcher::KeepValue(TimePoint aNow,
                             const ManagedRunner& aRunner,
                             const ModelId& aModel,
                             const HeldModel& aHeld) const
{
  if (aNow - aHeld.keepValueAt >= kValueLifetime) {
    aHeld.keepValue = WorkOutKeepValue(aNow, aRunner, aModel, aHeld);
    aHeld.keepValueAt = aNow;
  }
  return aHeld.keepValue;
}

double Dispatcher::WorkOutKeepValue(TimePoint aNow,
                                    const ManagedRunner& aRunner,
                                    const ModelId& aModel,
                                    const HeldModel& aHeld) const
{
  const Model* model = aRunner.engine->Find(aModel);
  if (model == nullptr) {
    return 0.0; // The model is no longer configured, so no request can be for it.
  }
  const double rate = mDemand.Rate(aNow, aModel);
  const double needed = std::max(1.0, std::ceil(mDemand.Work(aNow, aModel) / kReplicaWork));
  const double replicas = std::max<double>(Replicas(aRunner.entry.service, aModel), 1.0);
  const double isAsked = 1.0 - std::exp(-rate * kHorizonS);
  const double value =
    isAsked * SecondsOf(LoadTime(aRunner, *model)) + kCrowdingCost * rate / replicas;
  // Among models without demand, the most recently used one is kept.
  const double age = SecondsOf(aNow - aHeld.lastUsed);
  const double recency = 1e-3 / (1.0 + std::max(age, 0.0));
  return (replicas > needed ? kSurplusValue * value : value) + recency;
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
  swap.cost = SecondsOf(swap.loadTime);
  if (aRunner.order && !aRunner.order->IsAboutAdapter()) {
    swap.cost += std::max(SecondsOf(aRunner.order->expectedAt - aNow), 0.1);
  }
  if (SwapAt(aRunner.entry.id) != nullptr) {
    swap.cost += kSwapTimeS;
  }
  MemoryMb room = FreeRoom(aRunner);
  std::vector<std::pair<double, const ModelId*>> candidates;
  for (const auto& [id, held] : aRunner.models) {
    if (!held.isLeaving) {
      const double drain = held.inFlight > 0 ? kDrainTimeS : 0.0;
      candidates.emplace_back(KeepValue(aNow, aRunner, id, held) + drain, &id);
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  for (const auto& [value, id] : candidates) {
    if (room >= aModel.weights) {
      break;
    }
    room += WeightsOf(aRunner, *id);
    swap.cost += value;
    swap.victims.push_back(*id);
  }
  return room >= aModel.weights ? std::optional{ std::move(swap) } : std::nullopt;
}

/* Adds a planned swap and marks its victims as leaving. */
void Dispatcher::AddSwap(Swap aSwap, std::string_view aWhy)
{
  ManagedRunner& runner = mRunners[aSwap.runner];
  for (const ModelId& victim : aSwap.victims) {
    runner.models[victim].isLeaving = true;
    for (const ManagedRunner* holder : Holders(victim)) {
      // With one replica less, the others are worth more, so their cached values are dropped.
      holder->models.at(victim).keepValueAt = {};
    }
  }
  Note({ .event = "swap_planned",
         .request = {},
         .runner = aSwap.runner,
         .model = { .model = aSwap.model, .adapter = {} },
         .why = aWhy,
         .time = aSwap.loadTime,
         .count = aSwap.victims.size() });
  ++mComing[{ aSwap.service, aSwap.model }];
  const EndpointId id = aSwap.runner;
  mSwaps.emplace(id, std::move(aSwap));
}

void Dispatcher::PlanModels(TimePoint aNow)
{
  if (aNow < mNextPlan) {
    Wake(mNextPlan);
    return;
  }
  mNextPlan = aNow + kPlanInterval;
  const bool isCrowdedCheck = aNow >= mNextCrowdedCheck;
  if (isCrowdedCheck) {
    mNextCrowdedCheck = aNow + kCrowdedInterval;
    PlanCrowded(aNow);
  }
  PlanMissing(aNow);
  if (isCrowdedCheck) {
    PlanRoom(aNow);
  }
}

/* Returns the value of loading a request's model now. An answer within the objective is worth
 * several late ones, so a request that has already waited too long counts less. */
double Dispatcher::ValueOf(TimePoint aNow, const Waiting& aWaiting, Duration aLoadTime) const
{
  const bool isInTime = aNow + aLoadTime <= aWaiting.askedAt + aWaiting.ask.objective;
  return isInTime ? 1.0 : kLateValue;
}

/* Load pattern: many rarely used models. For a model that requests wait for, a swap is planned at
 * the runner where it delays other callers least. */
void Dispatcher::PlanMissing(TimePoint aNow)
{
  const bool isAnyFree = std::any_of(
    mRunners.begin(), mRunners.end(), [&](const auto& aItem) { return IsFree(aItem.second); });
  if (!isAnyFree || mWaiting.empty()) {
    return;
  }
  std::map<std::pair<ServiceId, ModelId>, double> missing;
  for (const Waiting& waiting : mWaiting) {
    const ModelId& id = waiting.ask.work.target.model;
    const Engine* engine = EngineOf(waiting.ask.service);
    const Model* model = engine == nullptr ? nullptr : engine->Find(id);
    if (model != nullptr) {
      missing[{ waiting.ask.service, id }] += ValueOf(aNow, waiting, model->diskLoad);
    }
  }
  std::vector<std::pair<double, std::pair<ServiceId, ModelId>>> ordered;
  ordered.reserve(missing.size());
  for (const auto& [key, value] : missing) {
    if (Replicas(key.first, key.second) == 0 && Coming(key.first, key.second) == 0) {
      ordered.emplace_back(value, key);
    }
  }
  std::stable_sort(ordered.begin(), ordered.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first > aRight.first;
  });
  // Planning a model scans all runners. Models beyond the limit are planned in the next rounds.
  std::size_t planned = 0;
  for (const auto& [value, key] : ordered) {
    if (++planned > kPlansAtOnce) {
      Wake(mNextPlan);
      break;
    }
    PlanSwap(aNow, key.first, key.second, kWantedBenefitS, "asked_for");
  }
}

/* Load pattern: demand for a few models exceeds their replicas, or moves to other models. */
void Dispatcher::PlanCrowded(TimePoint aNow)
{
  if (!mConfiguration) {
    return;
  }
  for (const ModelId& model : mDemand.Models()) {
    const double work = mDemand.Work(aNow, model);
    if (work <= kReplicaWork) {
      continue;
    }
    for (const auto& [serviceId, service] : mConfiguration->services) {
      double replicas = Replicas(serviceId, model);
      if (replicas == 0.0) {
        continue; // PlanMissing() plans for models without a replica.
      }
      // A sudden rise needs several replicas at once. One after the other would take a second each.
      replicas += Coming(serviceId, model);
      while (work > kReplicaWork * replicas) {
        const double benefit = (work / replicas - kReplicaWork) * kHorizonS + kLeastBenefitS;
        if (!PlanSwap(aNow, serviceId, model, benefit, "crowded")) {
          break;
        }
        replicas += 1.0;
      }
    }
  }
}

bool Dispatcher::HasCopy(const ServiceId& aService, const ModelId& aModel) const
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
 * each replica that it already has. */
void Dispatcher::PlanRoom(TimePoint aNow)
{
  for (auto& [id, runner] : mRunners) {
    if (!IsFree(runner) || !MayOrderTo(aNow, runner) || runner.health.IsDoubted(aNow)) {
      continue;
    }
    const auto model = BestForRoom(aNow, runner);
    if (!model) {
      continue;
    }
    auto swap = FindSwap(aNow, runner, runner.engine->models.at(*model));
    const bool isStoreBusy =
      swap && swap->isFromStore &&
      (!MayLoadFromStore(aNow, *runner.engine) || static_cast<double>(StoreLoadsUnderWay()) + 1.0 >
                                                    std::max(kRoomPart * mStoreLoadsAtOnce, 1.0));
    if (swap && swap->victims.empty() && !isStoreBusy) {
      AddSwap(std::move(*swap), "fills_room");
    }
  }
}

std::optional<ModelId> Dispatcher::BestForRoom(TimePoint aNow, const ManagedRunner& aRunner) const
{
  const Engine& engine = *aRunner.engine;
  const MemoryMb room = FreeRoom(aRunner);
  if (room < aRunner.room.smallest) {
    return std::nullopt;
  }
  std::optional<ModelId> best;
  double bestValue = kLeastRoomValueS;
  for (const ModelId& id : mDemand.Models()) {
    const Model* model = engine.Find(id);
    if (model == nullptr || model->weights > room || aRunner.models.contains(id) ||
        Coming(aRunner.entry.service, id) > 0) {
      continue;
    }
    const double replicas = Replicas(aRunner.entry.service, id);
    const double miss =
      SecondsOf(HasCopy(aRunner.entry.service, id) ? model->diskLoad : model->storeLoad);
    const double value = mDemand.Rate(aNow, id) * miss / ((1.0 + replicas) * (1.0 + replicas));
    if (value > bestValue) {
      best = id;
      bestValue = value;
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
  if (model == nullptr || aBenefit < kLeastBenefitS) {
    return false;
  }
  std::optional<Swap> best;
  for (const auto& [id, runner] : mRunners) {
    if (runner.entry.service != aService || !IsUsable(runner) || runner.models.contains(aModel) ||
        runner.health.IsDoubted(aNow)) {
      continue;
    }
    auto swap = FindSwap(aNow, runner, *model);
    if (swap && (!best || swap->cost < best->cost)) {
      best = std::move(swap);
    }
  }
  // If the best runner is still busy, no swap is planned: waiting for it costs less than a swap at
  // another runner.
  if (!best || best->cost > aBenefit || SwapAt(best->runner) != nullptr) {
    return false;
  }
  if (!IsFree(mRunners[best->runner])) {
    return false;
  }
  if (best->isFromStore && !MayLoadFromStore(aNow, *engine)) {
    return false;
  }
  AddSwap(std::move(*best), aWhy);
  return true;
}

void Dispatcher::FollowSwaps(TimePoint aNow)
{
  std::erase_if(mSwaps, [&](const auto& aItem) { return FollowSwap(aNow, aItem.second); });
}

/* Sends the next order of a swap when the runner can take it. Returns whether the swap is finished
 * or cancelled. */
bool Dispatcher::FollowSwap(TimePoint aNow, const Swap& aSwap)
{
  const auto found = mRunners.find(aSwap.runner);
  if (found == mRunners.end()) {
    return true;
  }
  ManagedRunner& runner = found->second;
  const bool isTooLate = aNow - aSwap.plannedAt > kSwapLimit;
  const bool isLoading = runner.order && runner.order->order.kind == OrderKind::kLoad &&
                         runner.order->order.subject.model == aSwap.model &&
                         runner.order->phase == PendingOrder::Phase::kAccepted;
  if (!IsUsable(runner) || isTooLate || isLoading || runner.models.contains(aSwap.model)) {
    for (const ModelId& victim : aSwap.victims) {
      if (const auto held = runner.models.find(victim); held != runner.models.end()) {
        held->second.isLeaving = false;
      }
    }
    return true;
  }
  // For the load that follows an accepted unload, the unloaded model already counts as gone.
  const bool isAfterUnload = MayLoadAfterUnload(aNow, runner);
  const ModelId going = isAfterUnload ? runner.order->order.subject.model : ModelId{};
  if (!isAfterUnload && !MayOrderTo(aNow, runner)) {
    return false;
  }
  bool hasVictims = false;
  for (const ModelId& victim : aSwap.victims) {
    const auto held = runner.models.find(victim);
    if (held == runner.models.end() || victim == going) {
      continue;
    }
    hasVictims = true;
    held->second.isLeaving = true;
    if (held->second.inFlight == 0 && !isAfterUnload && !HasArrivingAdapter(aNow, held->second)) {
      SendOrder(aNow,
                runner,
                OrderKind::kUnload,
                { .model = victim, .adapter = {} },
                { .expected = Duration::zero(), .isFromStore = false, .why = "makes_room" });
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
  const bool isGoing = runner.models.contains(going);
  const MemoryMb room = isGoing ? FreeRoom(runner) + WeightsOf(runner, going) : FreeRoom(runner);
  if (model->weights > room) {
    return true;
  }
  SendOrder(aNow,
            runner,
            OrderKind::kLoad,
            { .model = aSwap.model, .adapter = {} },
            { .expected = aSwap.loadTime,
              .longest = std::max(aSwap.loadTime, model->diskLoad),
              .isFromStore = aSwap.isFromStore,
              .why = "asked_for" });
  return false;
}

} // namespace rhubarbtrail::fleet

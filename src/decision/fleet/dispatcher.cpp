/* The dispatcher's state: runners, waiting placement requests and assignments. */
#include "decision/fleet/dispatcher.h"

#include "decision/fleet/dispatch_estimate.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* Longest time between two ticks while requests wait or swaps are planned, and otherwise. */
constexpr Duration kWatchInterval = 100ms;
constexpr Duration kIdleInterval = 500ms;
/* Delay of the report request after a runner refused a request. Reports lag behind the runner's
 * state. One requested after this time shows the state at the refusal or later. Requests for the
 * refused adapter wait as long. */
constexpr Duration kRefusalReportDelay = 150ms;

/* Shorter expected times count as this when they are compared with measured ones. */
constexpr Duration kMinMeasuredTime = 5ms;

/* Largest number of prompt parts that are kept for all runners together. Each takes some 120 bytes,
 * so they stay well below the 256 MB of a daemon, also if a client sends nothing but small parts.
 */
constexpr std::size_t kMaxCachedParts = 600'000;

/* Largest number of models at a runner that are kept although the configuration does not name them.
 * A runner holds a few models, and the configuration may have named them before. */
constexpr std::ptrdiff_t kMaxUnknownModels = 256;

EndpointOutcome EndpointOutcomeOf(AssignmentEnd aEnd)
{
  switch (aEnd) {
    case AssignmentEnd::kDone:
      return EndpointOutcome::kSucceeded;
    case AssignmentEnd::kRefused:
      return EndpointOutcome::kRefused;
    case AssignmentEnd::kFailed:
    case AssignmentEnd::kLost:
      return EndpointOutcome::kFailed;
    case AssignmentEnd::kWithdrawn:
      return EndpointOutcome::kCancelled;
  }
  return EndpointOutcome::kCancelled;
}

} // namespace

void Dispatcher::SetConfiguration(std::shared_ptr<const FleetConfiguration> aConfiguration)
{
  mConfiguration = std::move(aConfiguration);
  mAssignmentOrder.SetAccounts(mConfiguration->accounts);
  mWeightMemories.clear();
  for (const auto& [id, service] : mConfiguration->services) {
    if (service.engine) {
      mWeightMemories.emplace(id, WeightMemoryOf(*service.engine));
    }
  }
  for (auto& [id, runner] : mRunners) {
    const bool hadEngine = runner.engine != nullptr;
    SetEngine(runner);
    if (runner.engine != nullptr && hadEngine) {
      AddCopies(runner);
    } else if (runner.engine != nullptr) {
      AdoptHoldings(runner.adoptedAt, runner, RunnerHoldings{ runner.adopted });
    }
  }
}

/* Called once per service when a configuration is set, since planning needs the result for every
 * runner. */
WeightMemory Dispatcher::WeightMemoryOf(const Engine& aEngine)
{
  WeightMemory memory{ .smallestModel = aEngine.weights };
  MemoryMb largestAdapter;
  for (const auto& [id, model] : aEngine.models) {
    memory.largestModel = std::max(memory.largestModel, model.weights);
    memory.smallestModel = std::min(memory.smallestModel, model.weights);
    if (model.adapters > 0) {
      largestAdapter = std::max(largestAdapter, model.adapterWeights);
    }
  }
  // Memory for a full set of the largest adapters is reserved, so that loading an adapter never
  // overcommits the runner.
  memory.availableToModels =
    aEngine.weights -
    MemoryMb{ largestAdapter.value * static_cast<std::int64_t>(aEngine.adapterSlots) };
  return memory;
}

void Dispatcher::SetEngine(ManagedRunner& aRunner) const
{
  aRunner.engine = EngineOf(aRunner.entry.service);
  const auto memory = mWeightMemories.find(aRunner.entry.service);
  aRunner.weightMemory = memory == mWeightMemories.end() ? WeightMemory{} : memory->second;
  aRunner.cache.SetCapacity(aRunner.engine == nullptr ? 0 : aRunner.engine->cacheTokens);
}

void Dispatcher::SetOrderPermission(const OrderPermission& aPermission)
{
  if (aPermission.fence != mOrderPermission.fence) {
    mIsTakingOver = true;
    // Another daemon may have sent orders since this daemon last held the lease.
    for (auto& [id, runner] : mRunners) {
      runner.areHoldingsConfirmed = false;
      runner.isReported = false;
      runner.order.reset();
      runner.adapterOrder.reset();
    }
    CancelSwaps();
  }
  mOrderPermission = aPermission;
}

void Dispatcher::CancelSwaps()
{
  mSwaps.clear();
  for (auto& [id, runner] : mRunners) {
    for (auto& [model, held] : runner.models) {
      held.isLeaving = false;
    }
  }
}

const Engine* Dispatcher::EngineOf(const ServiceId& aService) const
{
  const Service* service = mConfiguration ? mConfiguration->Find(aService) : nullptr;
  return service != nullptr && service->engine ? &*service->engine : nullptr;
}

void Dispatcher::ScheduleTick(TimePoint aTime)
{
  mNextTickAt = std::min(mNextTickAt, aTime);
}

/* Replaces everything known about a runner by its entry and drops its assignments and its swap,
 * because the runner is new, was restarted, or has another address or service. */
void Dispatcher::ResetRunner(TimePoint aNow, ManagedRunner& aRunner, const RunnerEntry& aEntry)
{
  aRunner = {};
  aRunner.entry = aEntry;
  SetEngine(aRunner);
  std::erase_if(mAssignments, [&](const auto& aItem) { return aItem.second.runner == aEntry.id; });
  mSwaps.erase(aEntry.id);
  if (const auto early = mEarlyLimits.find(aEntry.id); early != mEarlyLimits.end()) {
    const LimitStatement statement = early->second;
    mEarlyLimits.erase(early);
    OnLimitStatement(aNow, statement);
  }
  AdoptHoldings(aNow, aRunner, aEntry.holdings);
  StartWindow(aNow, aRunner, {}, aRunner.window, "new_process");
}

void Dispatcher::StartWindow(TimePoint aAt,
                             const ManagedRunner& aRunner,
                             const ModelId& aModel,
                             EndpointWindow& aWindow,
                             std::string_view aWhy)
{
  if (!mIsPaced || aRunner.engine == nullptr) {
    return;
  }
  aWindow.Start(aAt,
                { .first = kFirstRunnerWindow,
                  .full = std::max<double>(aRunner.entry.slots, kFirstRunnerWindow) });
  if (mOrderPermission.mayOrder) { // Other daemons do not collect the records.
    LogDecision({ .event = "window_started",
                  .request = {},
                  .runner = aRunner.entry.id,
                  .model = { .model = aModel, .adapter = {} },
                  .why = aWhy,
                  .count = aRunner.inFlight });
  }
}

bool Dispatcher::HasRoom(TimePoint aNow, const ManagedRunner& aRunner, const ModelId& aModel) const
{
  if (!mIsPaced) {
    return true;
  }
  const auto held = aRunner.models.find(aModel);
  return aRunner.window.HasRoom(aNow, aRunner.inFlight, 0.0) &&
         (held == aRunner.models.end() ||
          held->second.window.HasRoom(aNow, held->second.inFlight, 0.0));
}

void Dispatcher::RecordPace(TimePoint aNow,
                            const Assignment& aAssignment,
                            const AssignmentReleased& aReleased)
{
  const auto found = mRunners.find(aAssignment.runner);
  if (!mIsPaced || found == mRunners.end()) {
    return;
  }
  ManagedRunner& runner = found->second;
  const auto held = runner.models.find(aAssignment.model.model);
  const auto record = [&](PaceSignal aSignal) {
    runner.window.Record(aNow, aSignal);
    if (held != runner.models.end()) {
      held->second.window.Record(aNow, aSignal);
    }
  };
  const bool hasFailed =
    aReleased.end == AssignmentEnd::kFailed || aReleased.end == AssignmentEnd::kLost;
  if (hasFailed && runner.health.IsAvoided(aNow)) {
    StartWindow(runner.health.avoidedUntil(), runner, {}, runner.window, "failures");
  } else if (hasFailed || aReleased.end == AssignmentEnd::kRefused) {
    record(PaceSignal::kRefused);
  } else if (aReleased.end == AssignmentEnd::kDone &&
             aReleased.timeToFirstEvent > Duration::zero()) {
    record(aReleased.timeToFirstEvent > aAssignment.latencyObjective ? PaceSignal::kLate
                                                                     : PaceSignal::kInTime);
  }
}

void Dispatcher::OnRunnerEntry(TimePoint aNow, const RunnerEntry& aEntry)
{
  ManagedRunner& runner = mRunners[aEntry.id];
  const bool isNewOrChanged = runner.entry.id.empty() || runner.entry.address != aEntry.address ||
                              runner.entry.startedAtMs != aEntry.startedAtMs ||
                              runner.entry.service != aEntry.service;
  if (isNewOrChanged) {
    ResetRunner(aNow, runner, aEntry);
    return;
  }
  runner.entry = aEntry;
  if (std::exchange(runner.isGone, false)) {
    StartWindow(aNow, runner, {}, runner.window, "entry_returned");
  }
  // An entry does not tell which orders it already reflects, so it does not replace what a report
  // has shown. A new report is requested instead.
  if (!runner.isReported) {
    AdoptHoldings(aNow, runner, aEntry.holdings);
  } else {
    ScheduleReport(aNow, runner);
  }
}

void Dispatcher::OnRunnerGone(TimePoint aNow, const EndpointId& aRunner)
{
  if (const auto found = mRunners.find(aRunner); found != mRunners.end()) {
    if (!found->second.isGone) {
      RecordLostCopies(aNow, found->second);
    }
    found->second.isGone = true;
    mSwaps.erase(aRunner);
    if (found->second.inFlight == 0) {
      mIsModelIndexStale = true;
      mRunners.erase(found);
    }
  }
}

void Dispatcher::OnRunnerLeaving(const EndpointId& aRunner, std::int64_t aStartedAtMs)
{
  const auto found = mRunners.find(aRunner);
  if (found != mRunners.end() && found->second.entry.startedAtMs == aStartedAtMs) {
    found->second.saysLeaving = true;
  }
}

/* Replaces the assumed holdings by those of an entry or report. Times of use and counts of requests
 * in flight are kept for what is still held. A model whose load is presumed done is kept, because
 * the report may be older than that.
 *
 * Load pattern: entries and reports of another writer with thousands of names. Only what the
 * configuration names, and what fits into the runner besides, gets a state of its own. */
void Dispatcher::AdoptHoldings(TimePoint aNow,
                               ManagedRunner& aRunner,
                               const RunnerHoldings& aHoldings)
{
  mIsModelIndexStale = true;
  aRunner.adopted = aHoldings;
  aRunner.adoptedAt = aNow;
  aRunner.inHostMemory.clear();
  aRunner.onDisk.clear();
  if (aRunner.engine == nullptr) {
    aRunner.models.clear(); // SetConfiguration() adopts them once it names an engine.
    aRunner.furtherModels = 0;
    aRunner.furtherAdapters = 0;
    return;
  }
  DropUnlistedHoldings(aRunner, aHoldings);
  AdoptModels(aRunner, aHoldings.models);
  AdoptAdapters(aNow, aRunner, aHoldings);
  AddCopies(aRunner);
}

void Dispatcher::DropUnlistedHoldings(ManagedRunner& aRunner, const RunnerHoldings& aHoldings)
{
  const ModelId* presumed =
    aRunner.order && aRunner.order->isPresumedDone ? &aRunner.order->order.subject.model : nullptr;
  std::erase_if(aRunner.models, [&](const auto& aItem) {
    const bool isHeld =
      aHoldings.models.contains(aItem.first) || (presumed != nullptr && *presumed == aItem.first);
    if (!isHeld) {
      aRunner.cache.RemoveModel(aItem.first);
    }
    return !isHeld;
  });
  for (auto& item : aRunner.models) {
    const ModelId& model = item.first;
    if (!aHoldings.models.contains(model)) {
      continue; // Its load is presumed done, and nothing is stated about its adapters.
    }
    std::erase_if(item.second.adapters, [&](const auto& aItem) {
      return !aHoldings.models.contains(model, aItem.first) &&
             !aHoldings.loadingAdapters.contains(
               LoadingAdapterOf({ .model = model, .adapter = aItem.first }));
    });
  }
}

/* Adds the listed models. Of those that the configuration does not name, only some are kept. The
 * others are counted, since they take memory, too. */
void Dispatcher::AdoptModels(ManagedRunner& aRunner, const LoadedModels& aModels)
{
  const auto isUnknown = [&](const ModelId& aModel) {
    return aRunner.engine->Find(aModel) == nullptr;
  };
  auto unknown = std::count_if(aRunner.models.begin(),
                               aRunner.models.end(),
                               [&](const auto& aItem) { return isUnknown(aItem.first); });
  aRunner.furtherModels = 0;
  for (std::size_t index = 0; index < aModels.size(); ++index) {
    const ModelId model = aModels.model(index);
    if (aRunner.models.contains(model)) {
      continue;
    }
    if (isUnknown(model) && ++unknown > kMaxUnknownModels) {
      ++aRunner.furtherModels;
      continue;
    }
    aRunner.models.try_emplace(model);
  }
}

/* Adds the listed adapters of the models held, as many as the runner has slots, at most. Further
 * ones are only counted. */
void Dispatcher::AdoptAdapters(TimePoint aNow,
                               ManagedRunner& aRunner,
                               const RunnerHoldings& aHoldings)
{
  std::size_t count = 0;
  for (const auto& [model, held] : aRunner.models) {
    count += held.adapters.size();
  }
  aRunner.furtherAdapters = 0;
  /* Returns the adapter, or null if the runner cannot hold it as well. */
  const auto findOrAdd = [&](HeldModel& aModel, const AdapterId& aAdapter) -> HeldAdapter* {
    const auto known = aModel.adapters.find(aAdapter);
    if (known != aModel.adapters.end()) {
      return &known->second;
    }
    if (count >= aRunner.engine->adapterSlots) {
      ++aRunner.furtherAdapters;
      return nullptr;
    }
    ++count;
    return &aModel.adapters[aAdapter];
  };
  for (std::size_t index = 0; index < aHoldings.models.size(); ++index) {
    const auto held = aRunner.models.find(aHoldings.models.model(index));
    if (held == aRunner.models.end()) {
      aRunner.furtherAdapters += aHoldings.models.adapterCount(index);
      continue;
    }
    for (std::size_t adapter = 0; adapter < aHoldings.models.adapterCount(index); ++adapter) {
      if (auto* loaded = findOrAdd(held->second, aHoldings.models.adapter(index, adapter))) {
        loaded->isOrdered = false;
        loaded->readyAt = std::min(loaded->readyAt, aNow);
      }
    }
  }
  for (const LoadingAdapterId& id : aHoldings.loadingAdapters) {
    const ModelRef loading = ModelRefOf(id);
    const auto held = aRunner.models.find(loading.model);
    if (held == aRunner.models.end()) {
      continue;
    }
    const bool isNew = !held->second.adapters.contains(loading.adapter);
    HeldAdapter* adapter = findOrAdd(held->second, loading.adapter);
    if (adapter != nullptr && (isNew || adapter->isOrdered)) {
      adapter->isOrdered = false;
      adapter->readyAt = aNow + kAdapterLoadTime;
    }
  }
}

/* Adds the listed copies of models that the configuration names. */
void Dispatcher::AddCopies(ManagedRunner& aRunner)
{
  const auto add = [&](const NameSet<ModelId>& aListed, std::set<ModelId>& aCopies) {
    for (const ModelId& model : aListed) {
      if (aRunner.engine->Find(model) != nullptr) {
        aCopies.insert(model);
      }
    }
  };
  add(aRunner.adopted.inHostMemory, aRunner.inHostMemory);
  add(aRunner.adopted.onDisk, aRunner.onDisk);
}

void Dispatcher::OnPlacementRequest(TimePoint aNow,
                                    const PlacementRequest& aRequest,
                                    const ZoneId& aZone)
{
  mActiveSince = mActiveSince.value_or(aNow);
  if (const auto known = mAssignments.find(aRequest.id); known != mAssignments.end()) {
    // A repeated request is already assigned: the first reply was lost with a connection.
    const auto runner = mRunners.find(known->second.runner);
    mActions.emplace_back(PlacementReply{
      .id = aRequest.id,
      .answer = RunnerAssigned{ .runner = known->second.runner,
                                .version = runner == mRunners.end()
                                             ? SoftwareVersion{}
                                             : runner->second.entry.softwareVersion } });
    return;
  }
  const bool isAlreadyWaiting =
    std::any_of(mWaitingRequests.begin(), mWaitingRequests.end(), [&](const WaitingRequest& aItem) {
      return aItem.request.id == aRequest.id;
    });
  if (isAlreadyWaiting) {
    return;
  }
  const Engine* engine = EngineOf(aRequest.service);
  const ModelId& model = aRequest.work.target.model;
  // Clients may name any model, and the demand of each is kept.
  if (aRequest.UsesModel() && engine != nullptr && engine->Has(aRequest.work.target)) {
    const double factor = mServiceTimes.Factor(model);
    mDemand.Record(aNow, model, ScaleDuration(EstimateRunnerTime(aRequest.work), factor));
  }
  mAssignmentOrder.OnRequest(aNow, aRequest.account);
  // Load pattern: bursts at several hosts at once. The most urgent requests of all hosts go first.
  const auto position = std::upper_bound(mWaitingRequests.begin(),
                                         mWaitingRequests.end(),
                                         aRequest.priority,
                                         [](std::uint32_t aPriority, const WaitingRequest& aItem) {
                                           return aPriority < aItem.request.priority;
                                         });
  mWaitingRequests.insert(position,
                          { .request = aRequest,
                            .zone = aZone,
                            .receivedAt = aNow,
                            .deadline = aNow + aRequest.timeLeft });
}

void Dispatcher::OnAssignmentReleased(TimePoint aNow, const AssignmentReleased& aReleased)
{
  std::erase_if(mWaitingRequests,
                [&](const WaitingRequest& aItem) { return aItem.request.id == aReleased.id; });
  const auto assignment = mAssignments.find(aReleased.id);
  if (assignment == mAssignments.end()) {
    return;
  }
  if (assignment->second.model.adapter.empty() &&
      assignment->second.expectedTimeToFirstEvent > Duration::zero()) {
    mServiceTimes.Record(assignment->second.model.model,
                         assignment->second.expectedTimeToFirstEvent,
                         aReleased.timeToFirstEvent);
  }
  RecordSlowness(aNow, assignment->second, aReleased.timeToFirstEvent);
  if (aReleased.end == AssignmentEnd::kWithdrawn) {
    GiveBackRequestAllowance(aNow, assignment->second);
  }
  if (aReleased.end == AssignmentEnd::kWithdrawn || aReleased.end == AssignmentEnd::kRefused) {
    mAssignmentOrder.OnNotRun(
      aNow,
      assignment->second.account,
      { .time = assignment->second.runnerTime, .tokens = assignment->second.tokens });
  }
  const auto runner = mRunners.find(assignment->second.runner);
  if (runner != mRunners.end()) {
    if (aReleased.end == AssignmentEnd::kLost) {
      OnUnreachable(aNow, runner->second);
    } else if (aReleased.end == AssignmentEnd::kDone || aReleased.end == AssignmentEnd::kRefused) {
      runner->second.unreachableSince.reset();
    }
    runner->second.health.Record(aNow, EndpointOutcomeOf(aReleased.end));
    const bool hasRun =
      aReleased.end == AssignmentEnd::kDone || aReleased.end == AssignmentEnd::kFailed;
    if (hasRun && assignment->second.expectedTimeToFirstEvent > Duration::zero()) {
      runner->second.holdTime.Record(aNow - assignment->second.assignedAt);
    }
    if (aReleased.end == AssignmentEnd::kRefused) {
      // The runner may not hold what is assumed. It gets no orders until a report confirms its
      // state.
      const ModelRef target = assignment->second.model;
      RevokePresumedLoad(runner->second, target.model);
      const auto held = runner->second.models.find(target.model);
      if (held != runner->second.models.end() && held->second.adapters.contains(target.adapter)) {
        HeldAdapter& adapter = held->second.adapters[target.adapter];
        adapter.readyAt = std::max(adapter.readyAt, aNow + kRefusalReportDelay);
      }
      runner->second.areHoldingsConfirmed = false;
      ScheduleReport(aNow + kRefusalReportDelay, runner->second);
    }
  }
  RecordPace(aNow, assignment->second, aReleased);
  ReleaseAssignment(aNow, aReleased.id);
}

/* Load pattern: runners crash, and their entries stay for seconds. Each request for a model that
 * only such a runner holds would be assigned to it until its tries are spent. So the runner does
 * not count as a replica, and the model is loaded elsewhere, until a report shows that it lives. */
void Dispatcher::OnUnreachable(TimePoint aNow, ManagedRunner& aRunner)
{
  const bool hasJustReported =
    aRunner.lastReportAt && aNow - *aRunner.lastReportAt < kTrustedReportTime;
  if (!aRunner.unreachableSince && !hasJustReported) {
    aRunner.unreachableSince = aNow;
    RequireReport(aNow, aRunner);
  }
}

void Dispatcher::ForgetUnreachable(TimePoint aNow)
{
  for (auto& [id, runner] : mRunners) {
    if (runner.unreachableSince && aNow - *runner.unreachableSince >= kMaxUnreachableTime) {
      runner.unreachableSince.reset();
    }
  }
}

std::optional<Slowness> Dispatcher::OnSlownessStatement(TimePoint aNow,
                                                        const SlownessStatement& aStatement)
{
  const auto runner = mRunners.find(aStatement.endpoint);
  if (runner == mRunners.end() || runner->second.engine == nullptr ||
      runner->second.entry.startedAtMs != aStatement.startedAtMs) {
    return std::nullopt;
  }
  runner->second.slowness.RecordStated(aNow - aStatement.age, aStatement.slowness);
  ServiceSlowness& service = mSlowness[runner->second.entry.service];
  service.RecordStated(aStatement.slowness);
  return service.usual();
}

std::optional<Slowness> Dispatcher::SlownessOf(TimePoint aNow, const ManagedRunner& aRunner) const
{
  const auto service = mSlowness.find(aRunner.entry.service);
  return service == mSlowness.end()
           ? std::nullopt
           : std::optional{ aRunner.slowness.At(aNow, service->second.usual()) };
}

void Dispatcher::RecordSlowness(TimePoint aNow,
                                const Assignment& aAssignment,
                                Duration aTimeToFirstEvent)
{
  const auto runner = mRunners.find(aAssignment.runner);
  const bool isMeasured =
    aAssignment.expectedTimeToFirstEvent > Duration::zero() && aTimeToFirstEvent > Duration::zero();
  if (!isMeasured || runner == mRunners.end()) {
    return;
  }
  const auto service = mSlowness.find(runner->second.entry.service);
  if (service == mSlowness.end()) {
    return;
  }
  // The expected time contains the queue and the stated slowness already.
  const double expected = static_cast<double>(
    std::max<Duration>(aAssignment.expectedTimeToFirstEvent, kMinMeasuredTime).count());
  const Duration time =
    ScaleDuration(1s, static_cast<double>(aTimeToFirstEvent.count()) / expected);
  runner->second.slowness.RecordMeasured(
    aNow, service->second.RecordTime(aAssignment.model.model.str(), time));
}

void Dispatcher::OnAssignmentInUse(TimePoint aNow, const AssignmentInUse& aAssignment)
{
  const auto runner = mRunners.find(aAssignment.runner);
  if (runner != mRunners.end() && !mAssignments.contains(aAssignment.request.id)) {
    AddAssignment(aNow, aAssignment.request, runner->second, Duration::zero());
  }
}

void Dispatcher::OnDaemonLost(const DaemonId& aDaemon)
{
  std::erase_if(mWaitingRequests,
                [&](const WaitingRequest& aItem) { return aItem.request.id.daemon == aDaemon; });
  ReleaseAssignmentsOf(aDaemon);
}

void Dispatcher::ReleaseAssignmentsOf(const std::optional<DaemonId>& aDaemon)
{
  std::vector<PlacementRequestId> requests;
  for (const auto& [id, assignment] : mAssignments) {
    if (!aDaemon || id.daemon == *aDaemon) {
      requests.push_back(id);
    }
  }
  for (const PlacementRequestId& id : requests) {
    ReleaseAssignment({}, id);
  }
}

void Dispatcher::Clear()
{
  mActiveSince.reset();
  mWaitingRequests.clear();
  mAssignmentOrder.Clear();
  CancelSwaps();
  ReleaseAssignmentsOf(std::nullopt);
  for (auto& [id, runner] : mRunners) {
    runner.order.reset();
    runner.adapterOrder.reset();
    runner.areHoldingsConfirmed = false;
    runner.isReported = false;
    runner.nextReportAt.reset();
  }
}

void Dispatcher::AddAssignment(TimePoint aNow,
                               const PlacementRequest& aRequest,
                               ManagedRunner& aRunner,
                               Duration aTimeToFirstEvent)
{
  const ModelRef& target = aRequest.work.target;
  const Assignment assignment{ .runner = aRunner.entry.id,
                               .model = target,
                               .tokens = aRequest.work.promptTokens + aRequest.work.outputTokens,
                               .account = aRequest.account,
                               .runnerTime = ScaleDuration(EstimateRunnerTime(aRequest.work),
                                                           mServiceTimes.Factor(target.model)),
                               .assignedAt = aNow,
                               .latencyObjective = aRequest.latencyObjective,
                               .expectedTimeToFirstEvent = aTimeToFirstEvent };
  mAssignments.insert_or_assign(aRequest.id, assignment);
  mAssignmentOrder.OnAssigned(
    aNow, aRequest.account, { .time = assignment.runnerTime, .tokens = assignment.tokens });
  ++aRunner.inFlight;
  aRunner.tokens += assignment.tokens;
  const std::uint32_t cachedTokens = aRunner.cache.CachedTokens(aRequest.work);
  const Duration promptTime = PromptProcessingTime(
    aRequest.work.promptTokens - std::min(cachedTokens, aRequest.work.promptTokens));
  aRunner.promptsDoneAt = std::max(aRunner.promptsDoneAt, aNow) +
                          ScaleDuration(promptTime, mServiceTimes.Factor(target.model));
  aRunner.cache.Record(aRequest.work, kMaxCachedParts / std::max<std::size_t>(mRunners.size(), 1));
  if (const auto held = aRunner.models.find(target.model); held != aRunner.models.end()) {
    ++held->second.inFlight;
    held->second.lastUsed = aNow;
    if (const auto adapter = held->second.adapters.find(target.adapter);
        adapter != held->second.adapters.end()) {
      ++adapter->second.inFlight;
      adapter->second.lastUsed = aNow;
    }
  }
}

void Dispatcher::ReleaseAssignment(TimePoint aNow, const PlacementRequestId& aRequest)
{
  const auto found = mAssignments.find(aRequest);
  if (found == mAssignments.end()) {
    return;
  }
  const Assignment assignment = found->second;
  mAssignments.erase(found);
  const auto runner = mRunners.find(assignment.runner);
  if (runner == mRunners.end()) {
    return;
  }
  const auto decrement = [](auto& aCount, auto aBy) { aCount -= std::min(aCount, aBy); };
  decrement(runner->second.inFlight, 1U);
  decrement(runner->second.tokens, assignment.tokens);
  if (mAssignmentOrder.IsEnabled()) {
    for (const auto& [model, state] : runner->second.models) {
      mFreedModels.insert(model);
    }
  }
  const auto held = runner->second.models.find(assignment.model.model);
  if (held != runner->second.models.end()) {
    decrement(held->second.inFlight, 1U);
    held->second.lastUsed = std::max(held->second.lastUsed, aNow);
    if (const auto adapter = held->second.adapters.find(assignment.model.adapter);
        adapter != held->second.adapters.end()) {
      decrement(adapter->second.inFlight, 1U);
    }
  }
  if (runner->second.isGone && runner->second.inFlight == 0) {
    mIsModelIndexStale = true;
    mRunners.erase(runner);
  }
}

std::vector<DispatchAction> Dispatcher::Tick(TimePoint aNow)
{
  CountIncomingReplicas(aNow);
  mNextTickAt =
    aNow + (mWaitingRequests.empty() && mSwaps.empty() ? kIdleInterval : kWatchInterval);
  while (!mStoreLoadStarts.empty() && aNow - mStoreLoadStarts.front() > mStoreLimits.window) {
    mStoreLoadStarts.pop_front();
  }
  if (std::exchange(mIsTakingOver, false)) {
    RestartLimitedTraffic(aNow);
  }
  PresumeLoads(aNow);
  ForgetUnreachable(aNow);
  AssignWaitingRequests(aNow);
  if (mOrderPermission.mayOrder) {
    RunPlanningRound(aNow);
    AdvanceSwaps(aNow);
    RequestDueReports(aNow);
  }
  return std::exchange(mActions, {});
}

} // namespace rhubarbtrail::fleet

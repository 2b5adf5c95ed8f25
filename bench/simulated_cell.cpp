/* Simulates the runners, the weight store and the table for one node. */
#include "bench/simulated_cell.h"

#include <algorithm>

namespace rhubarbtrail::bench {

namespace {

constexpr Duration kTableCallTime = 5ms;    ///< Time of a table call.
constexpr Duration kOrderAnswerDelay = 2ms; ///< Time from an order to the runner's first answer.
constexpr Duration kMessageDelay = 1ms;     ///< Delay of a message, and of a refused attempt.
constexpr Duration kAdapterLoadTime = 10ms; ///< Time to load an adapter.
/* Number of concurrent loads that the weight store serves at full speed. With n loads in progress,
 * including the new one, the new one takes n divided by this number times as long, if that is more
 * than 1. */
constexpr std::uint32_t kStoreLoadsAtFullSpeed = 4;
/* Maximum number of checkpoints that a runner's host keeps in memory. */
constexpr std::size_t kCachedCheckpoints = 3;
/* Time of a load from host memory, as a fraction of the model's expected load time. */
constexpr double kCachedLoadTimeFactor = 0.2;

const ServiceId kService{ "models" };

} // namespace

SimulatedCell::SimulatedCell(const Deployment& aDeployment,
                             Duration aWarmUp,
                             CheckpointReport aCheckpointReport)
  : mConfiguration(aDeployment.configuration)
  , mCheckpointReport(aCheckpointReport)
  , mNode({ .self = { DaemonId{ "d0" }, IncarnationId{ "1" } },
            .zone = ZoneId{ "a" },
            .settings = {},
            .disabledMechanisms = {} })
  , mWarmUpEnd(TimePoint{} + aWarmUp)
{
  for (std::uint32_t i = 0; i < kRunners; ++i) {
    mRunners[EndpointId{ "r" + std::to_string(i) }];
  }
}

void SimulatedCell::Schedule(TimePoint aTime, std::function<void()> aCallback)
{
  mCallbacks.emplace(aTime, std::move(aCallback));
}

RunResult SimulatedCell::Run(const std::vector<Arrival>& aArrivals, Duration aLength)
{
  HostListReceived hosts;
  for (const auto& [id, runner] : mRunners) {
    hosts.hosts.push_back({ .kind = HostKind::kEndpoint,
                            .id = id.str(),
                            .bootId = "boot",
                            .service = kService,
                            .zone = ZoneId{ "a" },
                            .address = id.str() });
  }
  Apply(ConfigurationLoaded{ ConfigurationRow{ .version = { 1 }, .document = {}, .author = {} },
                             std::make_shared<Configuration>(mConfiguration) });
  Apply(hosts);
  Apply(Wake{});
  const TimePoint end = TimePoint{} + aLength;
  auto arrival = aArrivals.begin();
  while (true) {
    const TimePoint nextArrival = arrival == aArrivals.end() ? TimePoint::max() : arrival->at;
    const TimePoint nextCallback =
      mCallbacks.empty() ? TimePoint::max() : mCallbacks.begin()->first;
    const TimePoint next = std::min({ nextArrival, nextCallback, mNextWakeAt });
    if (next > end) {
      break;
    }
    mNow = next;
    AddIdleMemory();
    if (nextCallback == next) {
      const auto callback = std::move(mCallbacks.begin()->second);
      mCallbacks.erase(mCallbacks.begin());
      callback();
    } else if (nextArrival == next) {
      const RequestId request{ std::to_string(++mLastRequestNumber) };
      mPendingRequests[request] = { .arrival = *arrival, .runner = {} };
      if (IsWarmUpOver()) {
        ++mResult.requests;
        mResult.coldWakeUps += arrival->isWakeUp && !IsModelReady(arrival->artifact) ? 1 : 0;
      }
      Apply(RequestArrived{ .request = request,
                            .customer = CustomerId{ "c" },
                            .service = kService,
                            .artifact = arrival->artifact,
                            .requestClass = ClassId{ "default" },
                            .key = {},
                            .fingerprint = FingerprintId{ request.str() } });
      ++arrival;
    } else {
      mNextWakeAt = TimePoint::max();
      Apply(Wake{});
    }
  }
  return std::move(mResult);
}

void SimulatedCell::Apply(const Event& aEvent)
{
  for (const Action& action : mNode.Apply(mNow, aEvent)) {
    std::visit([this](const auto& aAction) { Handle(aAction); }, action);
  }
}

/* Adds the memory that was idle since the previous event to the result, except for the warm-up. */
void SimulatedCell::AddIdleMemory()
{
  const TimePoint from = std::max(mIdleMemoryAddedUntil, mWarmUpEnd);
  mIdleMemoryAddedUntil = mNow;
  if (mNow <= from) {
    return;
  }
  std::int64_t idle = 0;
  for (const auto& [id, runner] : mRunners) {
    for (const auto& [model, loaded] : runner.models) {
      idle += loaded.inFlight == 0 ? loaded.memory.value : 0;
    }
  }
  const double runnerMemory =
    static_cast<double>(mConfiguration.services.at(kService).runnerMemory.value);
  mResult.idleAcceleratorHours += static_cast<double>(idle) / runnerMemory *
                                  std::chrono::duration<double>(mNow - from).count() / 3'600;
}

bool SimulatedCell::IsModelReady(const Artifact& aArtifact) const
{
  return std::any_of(mRunners.begin(), mRunners.end(), [&](const auto& aItem) {
    const auto found = aItem.second.models.find(aArtifact.model);
    return found != aItem.second.models.end() && found->second.ready;
  });
}

void SimulatedCell::Handle(const StartAttempt& aAction)
{
  PendingRequest& pending = mPendingRequests.at(aAction.request);
  SimulatedRunner& runner = mRunners.at(aAction.endpoint);
  const auto found = runner.models.find(pending.arrival.artifact.model);
  AttemptEnded ended{ .request = aAction.request,
                      .attempt = aAction.attempt,
                      .outcome = AttemptOutcome::kNotRun,
                      .contentType = {},
                      .answer = {} };
  if (found == runner.models.end() || !found->second.ready) {
    Schedule(mNow + kMessageDelay, [this, ended] { Apply(ended); });
    return;
  }
  if (!pending.isStarted && pending.arrival.isWakeUp && pending.arrival.at >= mWarmUpEnd) {
    mResult.wakeUpWaitSeconds.push_back(
      std::chrono::duration<double>(mNow - pending.arrival.at).count());
  }
  pending.isStarted = true;
  pending.runner = aAction.endpoint;
  ++found->second.inFlight;
  ++found->second.startedRequests;
  ended.outcome = AttemptOutcome::kCompleted;
  Schedule(mNow + pending.arrival.serviceTime,
           [this, ended, model = found->first, id = aAction.endpoint] {
             --mRunners.at(id).models.at(model).inFlight;
             Apply(ended);
           });
}

void SimulatedCell::Handle(const FinishRequest& aAction)
{
  if (aAction.code != ResultCode::kOk && IsWarmUpOver()) {
    ++mResult.refusals[aAction.code];
  }
  const auto found = mPendingRequests.find(aAction.request);
  if (found == mPendingRequests.end()) {
    return;
  }
  if (aAction.code != ResultCode::kOk && found->second.arrival.isWakeUp && IsWarmUpOver()) {
    // The time until the refusal is only a lower bound of the wait, because the request was never
    // served. It counts with its whole deadline of 120 s.
    mResult.wakeUpWaitSeconds.push_back(std::chrono::duration<double>(120s).count());
  }
  mPendingRequests.erase(found);
}

void SimulatedCell::Handle(const TableTransaction& aAction)
{
  TransactionResult result{ .change = aAction.change, .rows = {} };
  for (const RowCondition& condition : aAction.conditions) {
    if (mTable[condition.key].version != condition.version) {
      result.outcome = TransactionOutcome::kConflict;
    }
  }
  for (const RowWrite& write : aAction.writes) {
    Row& row = mTable[write.key];
    row.key = write.key;
    if (result.outcome == TransactionOutcome::kCommitted) {
      ++row.version.value;
      row.value = write.value;
    }
    result.rows.push_back(row);
  }
  Schedule(mNow + kTableCallTime, [this, result] { Apply(result); });
}

void SimulatedCell::Handle(const TableRead& aAction)
{
  ReadResult result{ .read = aAction.read, .hasSucceeded = true, .rows = {} };
  for (const RowKey& key : aAction.keys) {
    const auto found = mTable.find(key);
    result.rows.push_back(found == mTable.end() ? Row{ .key = key, .version = {}, .value = {} }
                                                : found->second);
  }
  Schedule(mNow + kTableCallTime, [this, result] { Apply(result); });
}

void SimulatedCell::Handle(const SendMessage& aAction)
{
  Schedule(mNow + kMessageDelay, [this, message = aAction.message] {
    Apply(MessageReceived{ { DaemonId{ "d0" }, IncarnationId{ "1" } }, { 1 }, message });
  });
}

void SimulatedCell::Handle(const WakeAt& aAction)
{
  mNextWakeAt = std::max(aAction.time, mNow);
}

Inventory SimulatedCell::InventoryOf(const SimulatedRunner& aRunner) const
{
  Inventory inventory{ .bootId = "boot",
                       .memory = mConfiguration.services.at(kService).runnerMemory,
                       .models = {},
                       .checkpoints = {} };
  if (mCheckpointReport == CheckpointReport::kListed) {
    inventory.checkpoints.assign(aRunner.checkpoints.begin(), aRunner.checkpoints.end());
  }
  for (const auto& [model, loaded] : aRunner.models) {
    inventory.models.push_back({ .model = model,
                                 .version = "1",
                                 .ready = loaded.ready,
                                 .adapters = { loaded.adapters.begin(), loaded.adapters.end() },
                                 .running = loaded.inFlight });
    inventory.running += loaded.inFlight;
  }
  return inventory;
}

void SimulatedCell::SendOrderResult(const SendOrder& aOrder, OrderOutcome aOutcome)
{
  Apply(OrderResult{ .cell = aOrder.cell,
                     .runner = aOrder.runner,
                     .order = aOrder.order,
                     .outcome = aOutcome,
                     .inventory = InventoryOf(mRunners.at(aOrder.runner)) });
}

void SimulatedCell::Handle(const SendOrder& aAction)
{
  SimulatedRunner& runner = mRunners.at(aAction.runner);
  const ModelId& model = aAction.artifact.model;
  switch (aAction.kind) {
    case OrderKind::kInventory:
      break;
    case OrderKind::kLoadModel:
      StartLoad(aAction);
      return;
    case OrderKind::kUnloadModel: {
      const auto found = runner.models.find(model);
      if (found != runner.models.end()) {
        mResult.wastedLoads += IsWarmUpOver() && found->second.startedRequests == 0 ? 1 : 0;
        runner.models.erase(found);
        runner.checkpoints.remove(model);
        runner.checkpoints.push_front(model);
        runner.checkpoints.resize(std::min(runner.checkpoints.size(), kCachedCheckpoints));
      }
      break;
    }
    case OrderKind::kLoadAdapter:
      Schedule(mNow + kAdapterLoadTime, [this, aAction] {
        mRunners.at(aAction.runner)
          .models.at(aAction.artifact.model)
          .adapters.insert(aAction.artifact.adapter);
        SendOrderResult(aAction, OrderOutcome::kDone);
      });
      return;
  }
  Schedule(mNow + kOrderAnswerDelay,
           [this, aAction] { SendOrderResult(aAction, OrderOutcome::kDone); });
}

void SimulatedCell::StartLoad(const SendOrder& aOrder)
{
  SimulatedRunner& runner = mRunners.at(aOrder.runner);
  const ModelId& model = aOrder.artifact.model;
  const auto cached = std::find(runner.checkpoints.begin(), runner.checkpoints.end(), model);
  const bool isCached = cached != runner.checkpoints.end();
  runner.models[model] = { .memory = aOrder.memory, .adapters = {} };
  mResult.loads += IsWarmUpOver() ? 1 : 0;
  mResult.storeLoads += IsWarmUpOver() && !isCached ? 1 : 0;
  mStoreLoadsInProgress += isCached ? 0 : 1;
  const double storeSlowdown =
    std::max(1.0, static_cast<double>(mStoreLoadsInProgress) / kStoreLoadsAtFullSpeed);
  const double loadTimeFactor = isCached ? kCachedLoadTimeFactor : storeSlowdown;
  const auto loadTime = std::chrono::duration_cast<Duration>(
    mConfiguration.models.at(model).expectedLoad * loadTimeFactor);
  Schedule(mNow + kOrderAnswerDelay,
           [this, aOrder] { SendOrderResult(aOrder, OrderOutcome::kAccepted); });
  Schedule(mNow + kOrderAnswerDelay + loadTime, [this, aOrder, isCached] {
    mStoreLoadsInProgress -= isCached ? 0 : 1;
    mRunners.at(aOrder.runner).models.at(aOrder.artifact.model).ready = true;
    SendOrderResult(aOrder, OrderOutcome::kDone);
  });
}

} // namespace rhubarbtrail::bench

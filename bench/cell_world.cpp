/* Simulates the runners, the weight store and the table for one node. */
#include "bench/cell_world.h"

#include <algorithm>

namespace rhubarbtrail::bench {

namespace {

constexpr Duration kTableDelay = 5ms;   ///< Time of a table call.
constexpr Duration kOrderDelay = 2ms;   ///< Time from an order to the runner's first answer.
constexpr Duration kMessageDelay = 1ms; ///< Delay of a message, and of a refused attempt.
constexpr Duration kAdapterLoad = 10ms; ///< Time to load an adapter.
/* Number of concurrent loads that the weight store serves at full speed. With n loads in progress,
 * including the new one, the new one takes n divided by this number times as long, if that is more
 * than 1. */
constexpr std::uint32_t kStoreFullSpeed = 4;
/* Maximum number of checkpoints that a runner's host keeps in memory. */
constexpr std::size_t kCachedCheckpoints = 3;
/* Time of a load from host memory, as a fraction of the model's expected load time. */
constexpr double kCachedLoadShare = 0.2;

const ServiceId kService{ "models" };

} // namespace

CellWorld::CellWorld(const Deployment& aDeployment, Duration aWarmUp, CheckpointReport aReport)
  : mConfiguration(aDeployment.configuration)
  , mReport(aReport)
  , mNode({ .self = { DaemonId{ "d0" }, IncarnationId{ "1" } },
            .zone = ZoneId{ "a" },
            .settings = {},
            .disabled = {} })
  , mMeasureFrom(TimePoint{} + aWarmUp)
{
  for (std::uint32_t i = 0; i < kRunners; ++i) {
    mRunners[EndpointId{ "r" + std::to_string(i) }];
  }
}

void CellWorld::At(TimePoint aTime, std::function<void()> aStep)
{
  mSteps.emplace(aTime, std::move(aStep));
}

Outcome CellWorld::Run(const std::vector<Arrival>& aArrivals, Duration aLength)
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
    const TimePoint nextStep = mSteps.empty() ? TimePoint::max() : mSteps.begin()->first;
    const TimePoint next = std::min({ nextArrival, nextStep, mWake });
    if (next > end) {
      break;
    }
    mNow = next;
    Account();
    if (nextStep == next) {
      const auto step = std::move(mSteps.begin()->second);
      mSteps.erase(mSteps.begin());
      step();
    } else if (nextArrival == next) {
      const RequestId request{ std::to_string(++mNextRequest) };
      mPending[request] = { .arrival = *arrival, .runner = {} };
      if (IsMeasured()) {
        ++mOutcome.requests;
        mOutcome.coldWakeUps += arrival->isWakeUp && !IsReady(arrival->artifact) ? 1 : 0;
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
      mWake = TimePoint::max();
      Apply(Wake{});
    }
  }
  return std::move(mOutcome);
}

void CellWorld::Apply(const Event& aEvent)
{
  for (const Action& action : mNode.Apply(mNow, aEvent)) {
    std::visit([this](const auto& aAction) { Handle(aAction); }, action);
  }
}

/* Adds the memory that was idle since the previous event to the result, except for the warm-up. */
void CellWorld::Account()
{
  const TimePoint from = std::max(mAccountedTo, mMeasureFrom);
  mAccountedTo = mNow;
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
  mOutcome.idleAcceleratorHours += static_cast<double>(idle) / runnerMemory *
                                   std::chrono::duration<double>(mNow - from).count() / 3'600;
}

bool CellWorld::IsReady(const Artifact& aArtifact) const
{
  return std::any_of(mRunners.begin(), mRunners.end(), [&](const auto& aItem) {
    const auto found = aItem.second.models.find(aArtifact.model);
    return found != aItem.second.models.end() && found->second.ready;
  });
}

void CellWorld::Handle(const StartAttempt& aAction)
{
  Pending& pending = mPending.at(aAction.request);
  FakeRunner& runner = mRunners.at(aAction.endpoint);
  const auto found = runner.models.find(pending.arrival.artifact.model);
  AttemptEnded ended{ .request = aAction.request,
                      .attempt = aAction.attempt,
                      .outcome = AttemptOutcome::kNotRun,
                      .contentType = {},
                      .answer = {} };
  if (found == runner.models.end() || !found->second.ready) {
    At(mNow + kMessageDelay, [this, ended] { Apply(ended); });
    return;
  }
  if (!pending.isStarted && pending.arrival.isWakeUp && pending.arrival.at >= mMeasureFrom) {
    mOutcome.wakeUpSeconds.push_back(
      std::chrono::duration<double>(mNow - pending.arrival.at).count());
  }
  pending.isStarted = true;
  pending.runner = aAction.endpoint;
  ++found->second.inFlight;
  ++found->second.served;
  ended.outcome = AttemptOutcome::kCompleted;
  At(mNow + pending.arrival.service, [this, ended, model = found->first, id = aAction.endpoint] {
    --mRunners.at(id).models.at(model).inFlight;
    Apply(ended);
  });
}

void CellWorld::Handle(const FinishRequest& aAction)
{
  if (aAction.code != ResultCode::kOk && IsMeasured()) {
    ++mOutcome.refusals[aAction.code];
  }
  const auto found = mPending.find(aAction.request);
  if (found == mPending.end()) {
    return;
  }
  if (aAction.code != ResultCode::kOk && found->second.arrival.isWakeUp && IsMeasured()) {
    // The time until the refusal is only a lower bound of the wait, because the request was never
    // served. It counts with its whole deadline of 120 s.
    mOutcome.wakeUpSeconds.push_back(std::chrono::duration<double>(120s).count());
  }
  mPending.erase(found);
}

void CellWorld::Handle(const TableTransaction& aAction)
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
  At(mNow + kTableDelay, [this, result] { Apply(result); });
}

void CellWorld::Handle(const TableRead& aAction)
{
  ReadResult result{ .read = aAction.read, .ok = true, .rows = {} };
  for (const RowKey& key : aAction.keys) {
    const auto found = mTable.find(key);
    result.rows.push_back(found == mTable.end() ? Row{ .key = key, .version = {}, .value = {} }
                                                : found->second);
  }
  At(mNow + kTableDelay, [this, result] { Apply(result); });
}

void CellWorld::Handle(const SendMessage& aAction)
{
  At(mNow + kMessageDelay, [this, message = aAction.message] {
    Apply(MessageReceived{ { DaemonId{ "d0" }, IncarnationId{ "1" } }, { 1 }, message });
  });
}

void CellWorld::Handle(const WakeAt& aAction)
{
  mWake = std::max(aAction.time, mNow);
}

Inventory CellWorld::InventoryOf(const FakeRunner& aRunner) const
{
  Inventory inventory{ .bootId = "boot",
                       .memory = mConfiguration.services.at(kService).runnerMemory,
                       .models = {},
                       .checkpoints = {} };
  if (mReport == CheckpointReport::kListed) {
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

void CellWorld::Answer(const SendOrder& aOrder, OrderOutcome aOutcome)
{
  Apply(OrderResult{ .cell = aOrder.cell,
                     .runner = aOrder.runner,
                     .order = aOrder.order,
                     .outcome = aOutcome,
                     .inventory = InventoryOf(mRunners.at(aOrder.runner)) });
}

void CellWorld::Handle(const SendOrder& aAction)
{
  FakeRunner& runner = mRunners.at(aAction.runner);
  const ModelId& model = aAction.artifact.model;
  switch (aAction.kind) {
    case OrderKind::kInventory:
      break;
    case OrderKind::kLoadModel:
      Load(aAction);
      return;
    case OrderKind::kUnloadModel: {
      const auto found = runner.models.find(model);
      if (found != runner.models.end()) {
        mOutcome.wastedLoads += IsMeasured() && found->second.served == 0 ? 1 : 0;
        runner.models.erase(found);
        runner.checkpoints.remove(model);
        runner.checkpoints.push_front(model);
        runner.checkpoints.resize(std::min(runner.checkpoints.size(), kCachedCheckpoints));
      }
      break;
    }
    case OrderKind::kLoadAdapter:
      At(mNow + kAdapterLoad, [this, aAction] {
        mRunners.at(aAction.runner)
          .models.at(aAction.artifact.model)
          .adapters.insert(aAction.artifact.adapter);
        Answer(aAction, OrderOutcome::kDone);
      });
      return;
  }
  At(mNow + kOrderDelay, [this, aAction] { Answer(aAction, OrderOutcome::kDone); });
}

void CellWorld::Load(const SendOrder& aOrder)
{
  FakeRunner& runner = mRunners.at(aOrder.runner);
  const ModelId& model = aOrder.artifact.model;
  const auto cached = std::find(runner.checkpoints.begin(), runner.checkpoints.end(), model);
  const bool isCached = cached != runner.checkpoints.end();
  runner.models[model] = { .memory = aOrder.memory, .adapters = {} };
  mOutcome.loads += IsMeasured() ? 1 : 0;
  mOutcome.storeLoads += IsMeasured() && !isCached ? 1 : 0;
  mStoreLoads += isCached ? 0 : 1;
  const double slowdown = std::max(1.0, static_cast<double>(mStoreLoads) / kStoreFullSpeed);
  const double share = isCached ? kCachedLoadShare : slowdown;
  const auto length =
    std::chrono::duration_cast<Duration>(mConfiguration.models.at(model).expectedLoad * share);
  At(mNow + kOrderDelay, [this, aOrder] { Answer(aOrder, OrderOutcome::kAccepted); });
  At(mNow + kOrderDelay + length, [this, aOrder, isCached] {
    mStoreLoads -= isCached ? 0 : 1;
    mRunners.at(aOrder.runner).models.at(aOrder.artifact.model).ready = true;
    Answer(aOrder, OrderOutcome::kDone);
  });
}

} // namespace rhubarbtrail::bench

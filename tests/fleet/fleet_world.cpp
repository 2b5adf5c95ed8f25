/* A fleet in simulated time: the dispatcher under test, and runners that carry out its orders and
 * run requests. */
#include "tests/fleet/fleet_world.h"

#include "core/overloaded.h"

#include <algorithm>

namespace rhubarbtrail::fleet::test {

namespace {

const ServiceId kService{ "llm" };
constexpr std::int64_t kModelMb = 70'000;
constexpr std::int64_t kAdapterMb = 60;
constexpr Duration kStep = 10ms;
/* Adapters that one runner may load at the same time. */
constexpr std::size_t kMaxLoadingAdapters = 4;
constexpr Duration kHeadDelay = 50ms; ///< Time until the head of the answer to a request.
constexpr Duration kRoundTrip = 3ms;  ///< Time until the answer to an order or report request.
constexpr Duration kTakeoverWait = 3'200ms; ///< Time after which a new dispatcher may send orders.

} // namespace

FleetWorld::FleetWorld(WorldOptions aOptions)
  : options(aOptions)
  , random(aOptions.seed)
  , mConfiguration(std::make_shared<FleetConfiguration>())
{
  Engine engine{ .slots = options.slots,
                 .cacheTokens = 120'000,
                 .weights = { kModelMb * options.modelsPerRunner + 10'000 },
                 .adapterSlots = options.adapterSlots,
                 .loadsPerSecond = 4.0,
                 .models = {} };
  for (std::uint32_t number = 0; number < options.models; ++number) {
    const ModelId id{ "m" + std::to_string(number) };
    engine.models.emplace(id,
                          Model{ .id = id,
                                 .weights = { kModelMb },
                                 .adapterWeights = { kAdapterMb },
                                 .adapters = options.adapters,
                                 .adapterPrefix = "a",
                                 .storeLoadTime = options.storeLoadTime,
                                 .memoryLoadTime = options.diskLoadTime,
                                 .diskLoadTime = options.diskLoadTime });
  }
  mConfiguration->version = { 1 };
  if (!options.accounts.empty()) {
    auto accounts = std::make_shared<ClientAccounts>();
    for (const ClientAccount& account : options.accounts) {
      accounts->byId.emplace(account.id, account);
    }
    mConfiguration->accounts = std::move(accounts);
  }
  mConfiguration->services.emplace(kService, Service{ .id = kService, .engine = engine });
  std::uint32_t next = 0;
  for (std::uint32_t number = 0; number < options.runners; ++number) {
    SimRunner runner{ .id = "r" + std::to_string(number) };
    for (std::uint32_t index = 0; index < options.modelsPerRunner; ++index) {
      runner.models[ModelId{ "m" + std::to_string(next++ % options.models) }];
    }
    for (std::uint32_t model = 0; options.areAllModelsOnDisk && model < options.models; ++model) {
      runner.onDisk.insert(ModelId{ "m" + std::to_string(model) });
    }
    runners.push_back(std::move(runner));
  }
  dispatcher.SetConfiguration(mConfiguration);
  SetOrderPermission(true);
  for (std::size_t number = 0; number < runners.size(); ++number) {
    SendEntry(number);
  }
  Run(500ms);
}

void FleetWorld::SetOrderPermission(bool aMayOrder)
{
  dispatcher.SetOrderPermission({ .mayOrder = aMayOrder, .holder = "d0", .fence = { mFence } });
}

void FleetWorld::ReplaceDispatcher()
{
  dispatcher = Dispatcher{ streamOrigins, recordedVersions };
  dispatcher.SetConfiguration(mConfiguration);
  ++mFence;
  SetOrderPermission(false);
  std::erase_if(mPending, [](const Pending& aItem) { return aItem.isForCurrentDispatcher; });
  Schedule(kTakeoverWait, [this, fence = mFence] {
    if (fence == mFence) {
      SetOrderPermission(true);
    }
  });
  for (std::size_t number = 0; number < runners.size(); ++number) {
    SendEntry(number);
    if (runners[number].limit) {
      StateLimit(runners[number], now); // The daemons tell each new dispatcher what they know.
    }
  }
  for (const auto& [number, outcome] : outcomes) {
    if (!outcome.startedAt && !outcome.isRefused) {
      SubmitRequest(number);
    }
  }
}

void FleetWorld::Restart(std::size_t aRunner)
{
  SimRunner& runner = runners[aRunner];
  runner.startedAtMs += 1'000;
  runner.orderCount = 0;
  runner.models.clear();
  runner.loadingAdapters.clear();
  runner.order.reset();
  runner.runningRequests.clear();
  runner.pastReports.clear();
}

void FleetWorld::SendEntry(std::size_t aRunner)
{
  const RunnerEntry entry = EntryOf(runners[aRunner]);
  VersionsByService versions = recordedVersions.versions();
  versions[entry.service].insert(entry.softwareVersion);
  recordedVersions.Set(std::move(versions));
  dispatcher.OnRunnerEntry(now, entry);
}

void FleetWorld::SendEntryLater(std::size_t aRunner, Duration aTime)
{
  Schedule(aTime,
           [this, entry = EntryOf(runners[aRunner])] { dispatcher.OnRunnerEntry(now, entry); });
}

void FleetWorld::StateLimit(const SimRunner& aRunner, TimePoint aRequestSentAt)
{
  dispatcher.OnLimitStatement(now,
                              { .endpoint = EndpointId{ aRunner.id },
                                .startedAtMs = aRunner.startedAtMs,
                                .limit = aRunner.limit,
                                .age = now - aRequestSentAt });
}

void FleetWorld::Drain(std::size_t aRunner)
{
  RunnerEntry entry = EntryOf(runners[aRunner]);
  entry.state = RunnerState::kDraining;
  dispatcher.OnRunnerEntry(now, entry);
}

std::uint64_t FleetWorld::SendRequest(const std::string& aModel,
                                      const std::string& aAdapter,
                                      std::uint32_t aPriority,
                                      Duration aTimeLeft,
                                      const std::function<void(PlacementRequest&)>& aChange)
{
  const std::uint64_t number = mNextRequestNumber++;
  outcomes[number] = { .model = aModel, .requestedAt = now };
  mRequests[number] = { .id = { .daemon = DaemonId{ "d0" }, .number = number },
                        .requestId = std::to_string(number),
                        .route = "route",
                        .service = kService,
                        .work = { .target = { .model = ModelId{ aModel },
                                              .adapter = AdapterId{ aAdapter } },
                                  .promptTokens = 1'000,
                                  .outputTokens = 170,
                                  .parts = { { .id = number, .tokens = 1'000 } } },
                        .priority = aPriority,
                        .latencyObjective = 3s,
                        .timeLeft = aTimeLeft };
  if (aChange) {
    aChange(mRequests[number]);
  }
  SubmitRequest(number);
  return number;
}

std::uint64_t FleetWorld::SendResumed(const std::string& aModel,
                                      const std::string& aVersion,
                                      std::optional<StreamKey> aStream,
                                      Duration aTimeLeft)
{
  const std::uint64_t number = mNextRequestNumber;
  mRequiredVersions[number] = aVersion;
  SendRequest(aModel, {}, 1, aTimeLeft, [&](PlacementRequest& aRequest) {
    aRequest.isResumable = true;
    aRequest.resumedStream = aStream;
    if (!aStream) {
      aRequest.origin = { .service = kService, .version = SoftwareVersion{ aVersion } };
    }
  });
  return number;
}

/* Sends a placement request, for the first time or again, as daemons do after a runner refused it
 * or when another daemon became the dispatcher. */
void FleetWorld::SubmitRequest(std::uint64_t aNumber)
{
  PlacementRequest request = mRequests[aNumber];
  request.timeLeft -= now - outcomes[aNumber].requestedAt;
  dispatcher.OnPlacementRequest(now, request, ZoneId{ "a" });
}

SimRunner& FleetWorld::Find(const EndpointId& aRunner)
{
  return *std::find_if(
    runners.begin(), runners.end(), [&](const auto& aItem) { return aItem.id == aRunner.str(); });
}

RunnerReport FleetWorld::ReportOf(const SimRunner& aRunner) const
{
  RunnerReport report{ .isBusy = aRunner.order.has_value(),
                       .orderCount = aRunner.orderCount,
                       .startedAtMs = aRunner.startedAtMs };
  std::vector<LoadingAdapterId> loadingAdapters;
  for (const ModelRef& adapter : aRunner.loadingAdapters) {
    loadingAdapters.push_back(LoadingAdapterOf(adapter));
  }
  report.holdings = { .models = LoadedModels{ aRunner.models },
                      .loadingAdapters = NameSet<LoadingAdapterId>::Of(loadingAdapters),
                      .onDisk = NameSet<ModelId>::Of(aRunner.onDisk) };
  return report;
}

RunnerEntry FleetWorld::EntryOf(const SimRunner& aRunner) const
{
  return { .id = EndpointId{ aRunner.id },
           .service = kService,
           .zone = ZoneId{ "a" },
           .address = "10.0.0.1:" + aRunner.id.substr(1),
           .softwareVersion = SoftwareVersion{ aRunner.version },
           .slots = options.slots,
           .startedAtMs = aRunner.startedAtMs,
           .holdings = ReportOf(aRunner).holdings };
}

bool FleetWorld::IsAdapterInUse(const SimRunner& aRunner, const ModelRef& aAdapter)
{
  return std::any_of(aRunner.runningRequests.begin(),
                     aRunner.runningRequests.end(),
                     [&](const auto& aRun) { return aRun.second.model == aAdapter; });
}

void FleetWorld::Withdraw(std::uint64_t aNumber)
{
  outcomes[aNumber].isRefused = true;
  dispatcher.OnAssignmentReleased(
    now,
    { .id = { .daemon = DaemonId{ "d0" }, .number = aNumber }, .end = AssignmentEnd::kWithdrawn });
}

OrderOutcome FleetWorld::DeliverOrderLate(const RunnerOrder& aOrder, Duration aTime)
{
  const std::int64_t startTimeMs = Find(aOrder.runner).startedAtMs;
  Schedule(aTime, [this, aOrder, startTimeMs] {
    if (Find(aOrder.runner).startedAtMs == startTimeMs) {
      DeliverOrder(aOrder);
    }
  });
  return OrderOutcome::kUnknown;
}

/* Carries out an order at its runner and returns the runner's answer. */
OrderOutcome FleetWorld::DeliverOrder(const RunnerOrder& aOrder)
{
  SimRunner& runner = Find(aOrder.runner);
  const ModelId& model = aOrder.subject.model;
  const bool isModel = aOrder.subject.adapter.empty();
  if (runner.order) {
    const bool isSame =
      runner.order->kind == aOrder.kind && runner.order->subject == aOrder.subject;
    // A repeated order does not increase the order count.
    return isSame ? OrderOutcome::kAccepted : OrderOutcome::kConflict;
  }
  if (aOrder.expectedOrderCount != runner.orderCount) {
    return OrderOutcome::kConflict;
  }
  if (!isModel) {
    const auto heldModel = runner.models.find(model);
    if (heldModel == runner.models.end()) {
      return OrderOutcome::kRejected;
    }
    auto& adapters = heldModel->second;
    const bool isHeld =
      adapters.contains(aOrder.subject.adapter) || runner.loadingAdapters.contains(aOrder.subject);
    if (isHeld == (aOrder.kind == OrderKind::kLoad)) {
      return OrderOutcome::kAlreadyDone; // Does not increase the order count.
    }
    ++runner.orderCount;
    if (aOrder.kind == OrderKind::kUnload) {
      if (IsAdapterInUse(runner, aOrder.subject)) {
        runner.adaptersToUnload.insert(aOrder.subject);
        return OrderOutcome::kAccepted;
      }
      adapters.erase(aOrder.subject.adapter);
      return OrderOutcome::kAlreadyDone;
    }
    std::size_t held = runner.loadingAdapters.size() + 1;
    for (const auto& [id, names] : runner.models) {
      held += names.size();
    }
    if (held > options.adapterSlots) {
      violations.push_back(runner.id + " has no slot for another adapter");
    }
    runner.loadingAdapters.insert(aOrder.subject);
    if (runner.loadingAdapters.size() > kMaxLoadingAdapters) {
      violations.push_back(runner.id + " loads too many adapters at once");
    }
    std::size_t loadingAtAllRunners = 0;
    for (const SimRunner& other : runners) {
      loadingAtAllRunners += other.loadingAdapters.size();
    }
    const std::size_t sharing =
      std::max<std::size_t>(1, loadingAtAllRunners / options.fullSpeedAdapterLoads);
    Schedule(options.adapterLoadTime * sharing, [this, order = aOrder] {
      SimRunner& target = Find(order.runner);
      const auto held = target.models.find(order.subject.model);
      if (target.loadingAdapters.erase(order.subject) > 0 && held != target.models.end()) {
        held->second.insert(order.subject.adapter);
      }
    });
    return OrderOutcome::kAccepted;
  }
  ++runner.orderCount;
  if (aOrder.kind == OrderKind::kLoad) {
    if (runner.models.size() >= options.modelsPerRunner) {
      violations.push_back(runner.id + " has no free memory for " + model.str());
    }
    const bool isFromStore = !runner.onDisk.contains(model);
    startedStoreLoads += isFromStore ? 1 : 0;
    runner.order =
      SimRunner::Order{ .kind = OrderKind::kLoad,
                        .subject = aOrder.subject,
                        .doneAt = isFromStore ? TimePoint::max()
                                              : now + options.diskLoadTime + extraDiskLoadTime,
                        .isFromStore = isFromStore,
                        .remainingFraction = 1.0 };
    return OrderOutcome::kAccepted;
  }
  runner.order = SimRunner::Order{ .kind = OrderKind::kUnload,
                                   .subject = aOrder.subject,
                                   .doneAt = now + options.unloadTime };
  return OrderOutcome::kAccepted;
}

void FleetWorld::Schedule(Duration aTime,
                          std::function<void()> aAction,
                          bool aIsForCurrentDispatcher)
{
  mPending.push_back({ .at = now + aTime,
                       .action = std::move(aAction),
                       .isForCurrentDispatcher = aIsForCurrentDispatcher });
}

void FleetWorld::Execute(const DispatchAction& aAction)
{
  std::visit(
    Overloaded{
      [this](const PlacementReply& aReply) {
        SimOutcome& outcome = outcomes[aReply.id.number];
        const auto* assigned = std::get_if<RunnerAssigned>(&aReply.answer);
        outcome.endedAt = now;
        if (assigned == nullptr) {
          outcome.isRefused = true;
          if (const auto* refused = std::get_if<PlacementRefused>(&aReply.answer)) {
            outcome.refusalCode = refused->code;
            outcome.retryAfter = refused->retryAfter;
          }
          return;
        }
        SimRunner& runner = Find(assigned->runner);
        runner.calls.push_back(now);
        Schedule(kHeadDelay,
                 [this, id = assigned->runner, sentAt = now] { StateLimit(Find(id), sentAt); });
        if (unreachableRunners.contains(runner.id)) {
          Schedule(kRoundTrip, [this, id = aReply.id] { OnUnreachable(id); });
          return;
        }
        if (isBusy && isBusy()) {
          outcome.isRefused = true;
          dispatcher.OnAssignmentReleased(now, { .id = aReply.id, .end = AssignmentEnd::kRefused });
          return;
        }
        if (!runner.models.contains(ModelId{ outcome.model })) {
          ++runnerRefusals; // The daemon sends the placement request again.
          dispatcher.OnAssignmentReleased(now, { .id = aReply.id, .end = AssignmentEnd::kRefused });
          SubmitRequest(aReply.id.number);
          return;
        }
        const auto required = mRequiredVersions.find(aReply.id.number);
        if (required != mRequiredVersions.end() && required->second != runner.version) {
          violations.push_back("a stream of " + required->second + " goes on at " + runner.version);
        }
        outcome.startedAt = now;
        runner.runningRequests[aReply.id.number] = { .model =
                                                       mRequests[aReply.id.number].work.target,
                                                     .endsAt = now + requestDuration };
      },
      [this](const RunnerOrder& aOrder) {
        ++sentOrders;
        Find(aOrder.runner).calls.push_back(now);
        const auto forced = orderOverride ? orderOverride(aOrder) : std::nullopt;
        const OrderOutcome outcome = forced ? *forced
                                     : unreachableRunners.contains(aOrder.runner.str())
                                       ? OrderOutcome::kNotSent
                                       : DeliverOrder(aOrder);
        refusedOrders += outcome == OrderOutcome::kConflict ? 1 : 0;
        Schedule(
          kRoundTrip,
          [this, aOrder, outcome] { dispatcher.OnOrderResult(now, aOrder, outcome); },
          true);
      },
      [this](const ReportRequest& aRequest) {
        const SimRunner& runner = Find(aRequest.runner);
        Find(aRequest.runner).calls.push_back(now);
        const Duration delay = reportDelay ? reportDelay() : Duration{};
        const auto reportAt = [this, id = aRequest.runner](TimePoint aShownAt) {
          const SimRunner& shown = Find(id);
          RunnerReport report = ReportOf(shown);
          for (const auto& [at, old] : shown.pastReports) {
            if (at <= aShownAt) {
              report = old;
            }
          }
          return report;
        };
        // A slow answer shows the state when the report was requested.
        const auto slow = delay > Duration{} && !runner.pastReports.empty()
                            ? std::optional{ reportAt(now - options.reportLag) }
                            : std::nullopt;
        Schedule(
          kRoundTrip + delay,
          [this, aRequest, reportAt, slow] {
            const RunnerReport report = slow ? *slow : reportAt(now - options.reportLag);
            auto arrived = reportOverride ? reportOverride(report) : std::optional{ report };
            if (unreachableRunners.contains(aRequest.runner.str())) {
              arrived.reset();
            }
            dispatcher.OnReport(now, aRequest.runner, arrived ? &*arrived : nullptr);
          },
          true);
      },
      [](const DispatchLogRecord&) {} },
    aAction);
}

void FleetWorld::OnUnreachable(const PlacementRequestId& aRequest)
{
  constexpr int kMaxAttempts = 4;
  SimOutcome& outcome = outcomes[aRequest.number];
  dispatcher.OnAssignmentReleased(now, { .id = aRequest, .end = AssignmentEnd::kLost });
  if (++outcome.lostAttempts < kMaxAttempts) {
    SubmitRequest(aRequest.number);
  } else {
    outcome.isRefused = true;
    outcome.endedAt = now;
  }
}

void FleetWorld::Step()
{
  now += kStep;
  const double sharing =
    std::max(1.0, static_cast<double>(CountStoreLoads()) / fullSpeedStoreLoads);
  for (SimRunner& runner : runners) {
    if (runner.order && runner.order->isFromStore) {
      runner.order->remainingFraction -= static_cast<double>(kStep.count()) /
                                         static_cast<double>(options.storeLoadTime.count()) /
                                         sharing;
      runner.order->doneAt = runner.order->remainingFraction <= 0.0 ? now : TimePoint::max();
    }
  }
  for (SimRunner& runner : runners) {
    std::vector<std::uint64_t> ended;
    for (const auto& [number, run] : runner.runningRequests) {
      if (run.endsAt <= now) {
        ended.push_back(number);
      }
    }
    for (const std::uint64_t number : ended) {
      runner.runningRequests.erase(number);
      dispatcher.OnAssignmentReleased(
        now,
        { .id = { .daemon = DaemonId{ "d0" }, .number = number }, .end = AssignmentEnd::kDone });
    }
    if (runner.order && runner.order->doneAt <= now) {
      const SimRunner::Order order = *runner.order;
      const bool isRunning = std::any_of(
        runner.runningRequests.begin(), runner.runningRequests.end(), [&](const auto& aRun) {
          return aRun.second.model.model == order.subject.model;
        });
      if (order.kind == OrderKind::kLoad) {
        runner.models[order.subject.model];
        runner.onDisk.insert(order.subject.model);
        runner.order.reset();
      } else if (!isRunning) {
        runner.models.erase(order.subject.model);
        runner.order.reset();
      }
    }
    std::erase_if(runner.adaptersToUnload, [&](const ModelRef& aAdapter) {
      if (IsAdapterInUse(runner, aAdapter)) {
        return false;
      }
      if (const auto held = runner.models.find(aAdapter.model); held != runner.models.end()) {
        held->second.erase(aAdapter.adapter);
      }
      return true;
    });
    runner.pastReports.emplace_back(now, ReportOf(runner));
    if (runner.pastReports.size() > 200) {
      runner.pastReports.pop_front();
    }
  }
  const auto pending = std::exchange(mPending, {});
  for (const Pending& item : pending) {
    if (item.at <= now) {
      item.action();
    } else {
      mPending.push_back(item);
    }
  }
  for (const DispatchAction& action : dispatcher.Tick(now)) {
    Execute(action);
  }
  CheckAssumedHoldings();
}

/* Records a violation if a runner that may be sent an order holds something that is not assumed.
 * The runner refuses orders with another count than its own, so only equal counts matter. */
void FleetWorld::CheckAssumedHoldings()
{
  for (const SimRunner& runner : runners) {
    const auto found = dispatcher.runners().find(EndpointId{ runner.id });
    if (found == dispatcher.runners().end()) {
      continue;
    }
    const ManagedRunner& assumed = found->second;
    if (!assumed.areHoldingsConfirmed || assumed.entry.startedAtMs != runner.startedAtMs ||
        assumed.orderCount != runner.orderCount) {
      continue;
    }
    const auto isAssumed = [&](const ModelRef& aSubject) {
      const auto model = assumed.models.find(aSubject.model);
      return aSubject.adapter.empty()
               ? model != assumed.models.end() ||
                   (assumed.order && assumed.order->order.subject.model == aSubject.model)
               : model != assumed.models.end() && model->second.adapters.contains(aSubject.adapter);
    };
    std::vector<ModelRef> held{ runner.loadingAdapters.begin(), runner.loadingAdapters.end() };
    for (const auto& [model, adapters] : runner.models) {
      held.push_back({ .model = model, .adapter = {} });
      for (const AdapterId& adapter : adapters) {
        held.push_back({ .model = model, .adapter = adapter });
      }
    }
    if (runner.order && runner.order->kind == OrderKind::kLoad) {
      held.push_back(runner.order->subject);
    }
    for (const ModelRef& subject : held) {
      if (!isAssumed(subject)) {
        violations.push_back(runner.id + " holds " + subject.model.str() + "/" +
                             subject.adapter.str() + ", which is not assumed");
      }
    }
  }
}

void FleetWorld::Run(Duration aTime)
{
  for (const TimePoint end = now + aTime; now < end;) {
    Step();
  }
}

std::size_t FleetWorld::CountServed() const
{
  return static_cast<std::size_t>(
    std::count_if(outcomes.begin(), outcomes.end(), [](const auto& aItem) {
      return aItem.second.startedAt.has_value();
    }));
}

std::size_t FleetWorld::CountRefused() const
{
  return static_cast<std::size_t>(std::count_if(
    outcomes.begin(), outcomes.end(), [](const auto& aItem) { return aItem.second.isRefused; }));
}

std::size_t FleetWorld::CountStoreLoads() const
{
  return static_cast<std::size_t>(
    std::count_if(runners.begin(), runners.end(), [](const SimRunner& aRunner) {
      return aRunner.order && aRunner.order->isFromStore;
    }));
}

std::size_t FleetWorld::CountWaiting() const
{
  return outcomes.size() - CountServed() - CountRefused();
}

Duration FleetWorld::LongestWait() const
{
  Duration longest{};
  for (const auto& [number, outcome] : outcomes) {
    if (outcome.startedAt) {
      longest = std::max(longest, *outcome.startedAt - outcome.requestedAt);
    }
  }
  return longest;
}

void FleetWorld::AddTo(TraceDigest& aTrace) const
{
  for (const auto& [number, outcome] : outcomes) {
    aTrace.Add(outcome.model);
    aTrace.Add(outcome.requestedAt);
    aTrace.Add(outcome.startedAt.value_or(TimePoint{}));
    aTrace.Add(outcome.endedAt);
    aTrace.Add(outcome.isRefused);
  }
  for (const SimRunner& runner : runners) {
    for (const TimePoint call : runner.calls) {
      aTrace.Add(call);
    }
  }
}

std::uint32_t FleetWorld::CountReplicas(const std::string& aModel) const
{
  return static_cast<std::uint32_t>(
    std::count_if(runners.begin(), runners.end(), [&](const SimRunner& aRunner) {
      return aRunner.models.contains(ModelId{ aModel });
    }));
}

} // namespace rhubarbtrail::fleet::test

/* Simulated time, daemon processes, and how the actions of the Nodes are carried out. */
#include "tests/matrix/world.h"

#include <algorithm>

namespace rhubarbtrail::matrix {

namespace {

constexpr std::size_t kHosts = 3;
constexpr std::size_t kRunners = 3;
constexpr std::size_t kPlainEndpoints = 2;
constexpr std::uint64_t kMaxEvents = 60'000;
constexpr Duration kTableTimeout = 1s;
constexpr Duration kOrderTimeout = 900ms;

} // namespace

World::World(const Scenario& aScenario)
  : mScenario(aScenario)
  , mRandom(aScenario.seed)
  , mHosts(kHosts)
  , mEndpoints(kRunners + kPlainEndpoints)
{
  for (std::size_t index = 0; index < mEndpoints.size(); ++index) {
    mEndpoints[index].id = EndpointId{ "e" + std::to_string(index) };
    mEndpoints[index].service = ServiceId{ index < kRunners ? "models" : "ledger" };
  }
  AcceptConfiguration(false);
  for (std::size_t index = 0; index < kHosts; ++index) {
    mHosts[index].id = DaemonId{ "d" + std::to_string(index) };
    mHosts[index].clockRate = 1.0 + 0.03 * (static_cast<double>(RandomIndex(3)) - 1.0);
    mHosts[index].clockOffset = RandomDuration(1s, 1000s);
    StartDaemon(index);
  }
  PublishHosts();
}

void World::Schedule(Duration aDelay, std::function<void()> aTask)
{
  mQueue.push({ mNow + std::max(aDelay, Duration{}), ++mLastNumber, std::move(aTask) });
}

Duration World::RandomDuration(Duration aMinimum, Duration aMaximum)
{
  return Duration{ std::uniform_int_distribution<Duration::rep>(aMinimum.count(),
                                                                aMaximum.count())(mRandom) };
}

void World::RecordViolation(const std::string& aInvariant, const std::string& aDetail)
{
  if (mResult.violations.size() < 20) {
    mResult.violations.push_back(aInvariant + ": " + aDetail + " at " +
                                 std::to_string(mNow.count() / 1000) + " ms");
  }
}

ScenarioResult World::Run()
{
  constexpr SimulatedTime kStepTime = 6s;
  constexpr SimulatedTime kRunEnd = 42s;
  if (mScenario.hasBackgroundTraffic) {
    Schedule(2s, [this] { SendBackgroundTraffic(); });
  }
  Schedule(kStepTime, [this] { StartStep(mScenario.step); });
  for (const Fault fault : mScenario.faults) {
    Schedule(kStepTime + RandomDuration(-100ms, mScenario.faultStartWindow),
             [this, fault] { InjectFault(fault); });
  }
  for (const DirectedFault& fault : mScenario.directedFaults) {
    Schedule(kStepTime + fault.at, [this, fault] { InjectDirectedFault(fault); });
  }
  // With the default faultStartWindow, all faults except freezes have ended by 26 s, so each daemon
  // must serve requests again. A freeze that still waits for an order is cancelled.
  Schedule(26s - 1ms, [this] { mFreezeOnNextOrder.reset(); });
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    Schedule(26s, [this, host] {
      if (mHosts[host].node == nullptr || mHosts[host].isStopping ||
          mNow - mHosts[host].startedAt < 4s) {
        return;
      }
      const ModelId model{ "m" + std::to_string(host) };
      mRequests[SendRequest(host, { model, {} }, {}, 14s)].mustSucceed = true;
    });
  }
  while (!mQueue.empty() && mQueue.top().time <= kRunEnd) {
    const ScheduledTask task = mQueue.top();
    mQueue.pop();
    mNow = task.time;
    if (++mResult.eventCount > kMaxEvents) {
      RecordViolation("busy loop", "the run exceeded its limit of events");
      break;
    }
    task.run();
  }
  return mResult;
}

void World::StartDaemon(std::size_t aHost)
{
  DaemonHost& host = mHosts[aHost];
  ++host.generation;
  host.startedAt = mNow;
  host.isFrozen = false;
  host.isStopping = false;
  host.deferredTasks.clear();
  host.configurationVersion = {};
  host.readiness = Readiness::kStarting;
  const IncarnationId incarnation{ "i" + std::to_string(host.generation) };
  NodeOptions options{ .self = { host.id, incarnation }, .zone = ZoneId{ "z" } };
  options.settings.leaseLength = 3s;
  options.settings.leaseRenewal = 1s;
  options.settings.orderFlight = 1s;
  options.settings.replicaLifetime = 4s;
  options.settings.candidateRunners = 2;
  options.disabledMechanisms = mScenario.disabled;
  host.node = std::make_unique<Node>(std::move(options));
  DeliverEvent(aHost, host.generation, Wake{}, 1ms);
}

void World::KillDaemon(std::size_t aHost)
{
  DaemonHost& host = mHosts[aHost];
  host.node.reset();
  host.deferredTasks.clear();
  host.isFrozen = false;
  for (FakeEndpoint& endpoint : mEndpoints) {
    std::erase_if(endpoint.running, [&](const auto& aItem) { return aItem.second.first == aHost; });
  }
}

void World::FreezeDaemon(std::size_t aHost, Duration aLength)
{
  DaemonHost& host = mHosts[aHost];
  if (host.node == nullptr || host.isFrozen) {
    return;
  }
  host.isFrozen = true;
  Schedule(aLength, [this, aHost, generation = host.generation] {
    DaemonHost& host = mHosts[aHost];
    if (host.generation != generation || !host.isFrozen) {
      return;
    }
    host.isFrozen = false;
    host.resumedAt = mNow;
    const auto deferredTasks = std::move(host.deferredTasks);
    host.deferredTasks.clear();
    for (const auto& task : deferredTasks) {
      Schedule({}, task);
    }
  });
}

void World::DeliverEvent(std::size_t aHost,
                         std::uint32_t aGeneration,
                         Event aEvent,
                         Duration aDelay)
{
  Schedule(aDelay, [this, aHost, aGeneration, event = std::move(aEvent)]() mutable {
    DaemonHost& host = mHosts[aHost];
    if (host.node == nullptr || host.generation != aGeneration) {
      return;
    }
    if (host.isFrozen) {
      host.deferredTasks.emplace_back(
        [this, aHost, aGeneration, event = std::move(event)]() mutable {
          DeliverEvent(aHost, aGeneration, std::move(event), {});
        });
      return;
    }
    ApplyEvent(aHost, event);
  });
}

void World::ApplyEvent(std::size_t aHost, const Event& aEvent)
{
  DaemonHost& host = mHosts[aHost];
  const auto elapsed = static_cast<double>(mNow.count()) * host.clockRate;
  const TimePoint now{ host.clockOffset + Duration{ static_cast<Duration::rep>(elapsed) } };
  const std::vector<Action> actions = host.node->Apply(now, aEvent);
  mResult.trace.Add(mNow);
  mResult.trace.Add(aHost);
  mResult.trace.Add(aEvent.index());
  for (const Action& action : actions) {
    mResult.trace.Add(action.index());
    std::visit([&](const auto& aKind) { CarryOut(aHost, aKind); }, action);
    if (host.node == nullptr) {
      return;
    }
  }
  const auto* arrived = std::get_if<RequestArrived>(&aEvent);
  if (arrived != nullptr) {
    mRequests[arrived->request].answerDue = mNow + arrived->timeLeft * 11 / 10 + 100ms;
  }
  if (arrived != nullptr && mRequests[arrived->request].answerCount == 0) {
    // The daemon admitted the request, so its configuration must not be out of date.
    for (const auto& [version, acceptedAt] : mConfigurationAcceptedAt) {
      if (mNow - acceptedAt > 5s && host.configurationVersion.value < version) {
        RecordViolation("configuration",
                        host.id.str() + " admitted a request with an outdated configuration");
      }
    }
  }
}

void World::ScheduleSend(std::size_t aHost, std::function<void()> aTask)
{
  Schedule(200us, [this, aHost, generation = mHosts[aHost].generation, task = std::move(aTask)] {
    DaemonHost& host = mHosts[aHost];
    if (host.node == nullptr || host.generation != generation) {
      return;
    }
    if (host.isFrozen) {
      host.deferredTasks.push_back(task);
      return;
    }
    task();
  });
}

std::size_t World::LeaseHolderOr(std::size_t aDefault) const
{
  const auto row = mRows.find(CellLeaseKey(CellId{ "models" }));
  if (row == mRows.end() || !row->second.value) {
    return aDefault;
  }
  const auto& lease = std::get<CellLeaseRow>(*row->second.value);
  for (std::size_t index = 0; index < mHosts.size(); ++index) {
    if (mHosts[index].id == lease.holder.daemon) {
      return index;
    }
  }
  return aDefault;
}

void World::CarryOut(std::size_t aHost, const StartAttempt& aAction)
{
  ScheduleSend(aHost, [this, aHost, aAction, generation = mHosts[aHost].generation] {
    const auto endAttempt = [=, this](AttemptOutcome aOutcome, Duration aDelay) {
      AttemptEnded ended{ .request = aAction.request,
                          .attempt = aAction.attempt,
                          .outcome = aOutcome };
      ended.httpStatus = 200;
      DeliverEvent(aHost, generation, ended, aDelay);
    };
    FakeEndpoint* endpoint = FindEndpoint(aAction.endpoint);
    ClientRequest& request = mRequests[aAction.request];
    if (mHosts[aHost].isCutFromRunners || !endpoint->isAlive || endpoint->isUnreachable) {
      endAttempt(AttemptOutcome::kNotConnected, 1ms);
      return;
    }
    if (endpoint->leavingSince) {
      if (endpoint->knownLeavingAt && mNow - *endpoint->knownLeavingAt > 3s &&
          !mHosts[aHost].isCutFromPeers) {
        RecordViolation("leaving",
                        endpoint->id.str() +
                          " got a request more than 3 s after its leaving could be known, from " +
                          mHosts[aHost].id.str());
      }
      endpoint->knownLeavingAt = endpoint->knownLeavingAt.value_or(mNow);
      endAttempt(AttemptOutcome::kLeaving, 1ms);
      return;
    }
    ModelId model;
    if (endpoint->service == ServiceId{ "models" }) {
      model = request.artifact.model;
      const AdapterId& adapter = request.artifact.adapter;
      const auto found = endpoint->models.find(model);
      const bool isReady = found != endpoint->models.end() && found->second.ready &&
                           (adapter.empty() || found->second.adapters.contains(adapter));
      if (!isReady) {
        endAttempt(AttemptOutcome::kNotRun, 1ms);
        return;
      }
    }
    ++request.runCount;
    if (request.wasReportedNotRun) {
      RecordViolation("not run",
                      aAction.request.str() + " ran after it had been reported as not run");
    }
    if (!request.key.empty() && ++mRunCountByKey[request.key] > 1) {
      RecordViolation("at most once", request.key.str() + " ran more than once");
    }
    endpoint->running[aAction.request] = { aHost, model };
    const bool isSilent = RandomBool(mSilentRunProbability);
    Schedule(request.runTime, [=, this, bootNumber = endpoint->bootNumber] {
      FakeEndpoint* current = FindEndpoint(aAction.endpoint);
      const bool isSameProcess = current->bootNumber == bootNumber && current->isAlive;
      const bool isStopped = mStoppedAttempts.contains({ aAction.request, aAction.attempt.value });
      if (isSameProcess) {
        current->running.erase(aAction.request);
      }
      if (isStopped) {
        endAttempt(AttemptOutcome::kCancelled, 1ms);
      } else if (!isSameProcess) {
        endAttempt(AttemptOutcome::kCrashed, 1ms);
      } else {
        endAttempt(isSilent ? AttemptOutcome::kTimedOut : AttemptOutcome::kCompleted,
                   isSilent ? aAction.progressLimit : 1ms);
      }
    });
  });
}

void World::CarryOut(std::size_t /*aHost*/, const StopAttempt& aAction)
{
  mStoppedAttempts.emplace(aAction.request, aAction.attempt.value);
  for (FakeEndpoint& endpoint : mEndpoints) {
    endpoint.running.erase(aAction.request);
  }
}

void World::CarryOut(std::size_t aHost, const FinishRequest& aAction)
{
  ClientRequest& request = mRequests[aAction.request];
  const ResultCodeInfo& info = rhubarbtrail::Describe(aAction.code);
  if (++request.answerCount > 1) {
    RecordViolation("one answer", aAction.request.str() + " was answered more than once");
  }
  const bool isOk = aAction.code == ResultCode::kOk;
  (isOk ? mResult.answeredCount : mResult.refusedCount) += 1;
  if (info.execution == Execution::kNotRun) {
    request.wasReportedNotRun = true;
    if (request.runCount > 0) {
      RecordViolation("not run",
                      aAction.request.str() + " ran, but its result code is " +
                        std::string{ info.name });
    }
  }
  const bool isRecentlyResumed = mNow - mHosts[aHost].resumedAt < 4s;
  if (request.mustSucceed && !isOk && !isRecentlyResumed) {
    RecordViolation("recovery",
                    aAction.request.str() + " at " + mHosts[aHost].id.str() +
                      " was refused after the faults had ended: " + std::string{ info.name });
  }
  if (!isOk && !request.key.empty()) {
    Schedule(300ms, [this, request = aAction.request] { ResendRequest(request); });
  }
}

void World::CarryOut(std::size_t aHost, const TableTransaction& aAction)
{
  ScheduleSend(aHost, [this, aHost, aAction, generation = mHosts[aHost].generation] {
    const TransactionResult unknown{ .change = aAction.change,
                                     .outcome = TransactionOutcome::kUnknown };
    if (mIsTableDown || mHosts[aHost].isCutFromTable) {
      DeliverEvent(aHost, generation, unknown, kTableTimeout);
      return;
    }
    const Duration requestDelay = 1ms + RandomDuration({}, mMaxTableDelay);
    const Duration answerDelay = 1ms + RandomDuration({}, mMaxTableDelay);
    const bool isAnswerLost = RandomBool(mLostTableAnswerProbability);
    const Duration extraDelay =
      isAnswerLost && RandomBool(0.3) ? RandomDuration(0ms, 2500ms) : Duration{};
    Schedule(requestDelay + extraDelay, [=, this] {
      const TransactionResult result = CommitTransaction(aAction);
      if (!isAnswerLost && requestDelay + answerDelay < kTableTimeout) {
        DeliverEvent(aHost, generation, result, answerDelay);
      }
    });
    if (isAnswerLost || requestDelay + answerDelay >= kTableTimeout) {
      DeliverEvent(aHost, generation, unknown, kTableTimeout);
    }
  });
}

void World::CarryOut(std::size_t aHost, const TableRead& aAction)
{
  ScheduleSend(aHost, [this, aHost, aAction, generation = mHosts[aHost].generation] {
    const Duration requestDelay = 1ms + RandomDuration({}, mMaxTableDelay);
    const Duration answerDelay = 1ms + RandomDuration({}, mMaxTableDelay);
    if (mIsTableDown || mHosts[aHost].isCutFromTable ||
        requestDelay + answerDelay >= kTableTimeout) {
      DeliverEvent(aHost, generation, ReadResult{ .read = aAction.read }, kTableTimeout);
      return;
    }
    Schedule(requestDelay, [=, this] {
      ReadResult result{ .read = aAction.read, .hasSucceeded = true };
      for (const RowKey& key : aAction.keys) {
        const auto row = mRows.find(key);
        result.rows.push_back(row == mRows.end() ? Row{ .key = key } : row->second);
      }
      DeliverEvent(aHost, generation, result, answerDelay);
      const Row& firstRow = result.rows.front();
      if (firstRow.key != ConfigurationHeadKey()) {
        return;
      }
      const auto& head = std::get<ConfigurationRow>(*firstRow.value);
      DeliverEvent(aHost,
                   generation,
                   ConfigurationLoaded{ head, mConfigurations.at(head.version.value) },
                   answerDelay + 1ms);
    });
  });
}

void World::CarryOut(std::size_t aHost, const SendOrder& aAction)
{
  if (mFreezeOnNextOrder == aHost && aAction.kind != OrderKind::kInventory) {
    mFreezeOnNextOrder.reset();
    FreezeDaemon(aHost, RandomDuration(1s, 10s));
  }
  ScheduleSend(aHost, [this, aHost, aAction, generation = mHosts[aHost].generation] {
    OrderResult failed{ .cell = aAction.cell, .runner = aAction.runner, .order = aAction.order };
    const FakeEndpoint* endpoint = FindEndpoint(aAction.runner);
    const bool isCut = mHosts[aHost].isCutFromRunners || endpoint->isUnreachable;
    failed.outcome = isCut ? OrderOutcome::kNotConnected : OrderOutcome::kConnectionRefused;
    if (mHosts[aHost].isCutFromRunners || !endpoint->isAlive || endpoint->isUnreachable) {
      DeliverEvent(aHost, generation, failed, 1ms);
      return;
    }
    failed.outcome = OrderOutcome::kUnknown;
    const bool isAnswerLost = RandomBool(mLostMessageProbability);
    const Duration deliveryDelay = 1ms + RandomDuration({}, mMaxOrderDelay);
    Schedule(deliveryDelay, [=, this] {
      FakeEndpoint* endpoint = FindEndpoint(aAction.runner);
      if (!endpoint->isAlive) {
        return;
      }
      const OrderResult result = ExecuteOrder(aHost, aAction);
      if (isAnswerLost || deliveryDelay >= kOrderTimeout) {
        return;
      }
      DeliverEvent(aHost, generation, result, 1ms);
    });
    if (isAnswerLost || deliveryDelay >= kOrderTimeout) {
      DeliverEvent(aHost, generation, failed, kOrderTimeout);
    } else {
      Schedule(deliveryDelay, [=, this] {
        if (!FindEndpoint(aAction.runner)->isAlive) {
          DeliverEvent(aHost, generation, failed, 1ms);
        }
      });
    }
  });
}

void World::CarryOut(std::size_t aHost, const SendMessage& aAction)
{
  const DaemonHost& sender = mHosts[aHost];
  const bool isToItself = aAction.to == sender.id;
  const auto to = static_cast<std::size_t>(aAction.to.str().back() - '0');
  const MessageReceived received{ { sender.id,
                                    IncarnationId{ "i" + std::to_string(sender.generation) } },
                                  sender.configurationVersion,
                                  aAction.message };
  ScheduleSend(aHost, [=, this] {
    const bool isLost = mHosts[aHost].isCutFromPeers || mHosts[to].isCutFromPeers ||
                        RandomBool(mLostMessageProbability);
    if (isLost && !isToItself) {
      return;
    }
    const std::uint32_t generation = mHosts[to].generation;
    const Duration delay =
      isToItself ? 0ms : RandomDuration(500us, mLostMessageProbability > 0 ? 300ms : 2ms);
    DeliverEvent(to, generation, received, delay);
    if (!isToItself && mLostMessageProbability > 0 && RandomBool(0.2)) {
      DeliverEvent(to, generation, received, delay + RandomDuration(0ms, 2s));
    }
    if (const auto* sent = std::get_if<ConfigurationMessage>(&received.message)) {
      DeliverEvent(to,
                   generation,
                   ConfigurationLoaded{ sent->row, mConfigurations.at(sent->row.version.value) },
                   delay);
    }
  });
}

void World::CarryOut(std::size_t aHost, const WakeAt& aAction)
{
  DaemonHost& host = mHosts[aHost];
  const auto local =
    static_cast<double>((aAction.time.time_since_epoch() - host.clockOffset).count());
  const SimulatedTime due{ static_cast<Duration::rep>(local / host.clockRate) + 2 };
  Schedule(due - mNow, [this, aHost, generation = host.generation, number = ++host.lastWakeNumber] {
    if (mHosts[aHost].lastWakeNumber == number) {
      DeliverEvent(aHost, generation, Wake{}, {});
    }
  });
}

void World::CarryOut(std::size_t aHost, const PublishConfiguration& aAction)
{
  DaemonHost& host = mHosts[aHost];
  if (aAction.configuration->version < host.configurationVersion) {
    RecordViolation("configuration", host.id.str() + " replaced its configuration by an older one");
  }
  host.configurationVersion = aAction.configuration->version;
}

void World::CarryOut(std::size_t aHost, const PublishReadiness& aAction)
{
  mHosts[aHost].readiness = aAction.readiness;
}

void World::CarryOut(std::size_t aHost, const ShutdownComplete& /*aAction*/)
{
  DaemonHost& host = mHosts[aHost];
  for (const auto& [id, request] : mRequests) {
    if (request.host == aHost && request.generation == host.generation && request.answerDue > 0us &&
        request.answerCount == 0) {
      RecordViolation("shutdown", host.id.str() + " ended without an answer to " + id.str());
    }
  }
  host.isStopping = false;
  KillDaemon(aHost);
  Schedule(3s, [this, aHost] { StartDaemon(aHost); });
}

} // namespace rhubarbtrail::matrix

/* Runs the decisions of daemons against a fake table and fake endpoints, in simulated time. */
#ifndef RHUBARBTRAIL_TESTS_UNIT_ROUTER_WORLD_H
#define RHUBARBTRAIL_TESTS_UNIT_ROUTER_WORLD_H

#include "core/overloaded.h"
#include "decision/decision.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbtrail::test {

enum class TableMode
{
  kUp,
  kDown,       ///< No write takes effect, and the outcome is unknown.
  kAnswerLost, ///< Writes take effect, but the outcome is unknown.
  kLate,       ///< The outcome is unknown. Writes take effect with ApplyLateTransactions().
};

/* How an endpoint ends an attempt. World::endOfAttempt returns no value for an attempt that does
 * not end by itself. */
struct SimulatedEnd
{
  AttemptOutcome outcome = AttemptOutcome::kCompleted;
  Duration delay = 10ms;
};

/* An attempt that a daemon has started. */
struct StartedAttempt
{
  std::size_t daemon = 0;
  TimePoint at;
  StartAttempt attempt;
};

/* The result of a request that a daemon has finished. */
struct FinishedRequest
{
  TimePoint at;
  FinishRequest finish;
};

struct WorldOptions
{
  std::size_t daemons = 1;
  int runners = 1; ///< Number of endpoints of each of the services "models" and "plain".
  Duration tableLatency = 5ms;
  MechanismSet disabled;
  /* Changes the default configuration and settings, if set. */
  std::function<void(Configuration&, DecisionSettings&)> configure;
};

/* A cluster of daemons with the services "models" and "plain", the models "m" and "m2", the classes
 * "any" and "once" and the customers "big" and "small". */
class World
{
public:
  explicit World(WorldOptions aOptions)
    : mOptions(std::move(aOptions))
  {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = { 1 };
    const ServiceId models{ "models" };
    configuration->services[models] = { .id = models };
    configuration->services[ServiceId{ "plain" }] = { .id = ServiceId{ "plain" },
                                                      .kind = ServiceKind::kPlain };
    for (const char* name : { "m", "m2" }) {
      configuration->models[ModelId{ name }] = {
        .id = ModelId{ name }, .service = models, .memory = { 8'000 }, .expectedLoad = 200ms
      };
    }
    configuration->classes[ClassId{ "any" }] = { .id = ClassId{ "any" } };
    configuration->classes[ClassId{ "once" }] = { .id = ClassId{ "once" },
                                                  .repeatability = Repeatability::kAtMostOnce };
    for (const char* name : { "big", "small" }) {
      configuration->customers[CustomerId{ name }] = { .id = CustomerId{ name },
                                                       .allModels = true };
    }
    DecisionSettings settings;
    if (mOptions.configure) {
      mOptions.configure(*configuration, settings);
    }
    mConfiguration = configuration;
    for (std::size_t index = 0; index < mOptions.daemons; ++index) {
      mDaemons.push_back(
        std::make_unique<Node>(NodeOptions{ .self = IncarnationOf(index),
                                            .settings = settings,
                                            .disabledMechanisms = mOptions.disabled }));
      Post(index, {}, ConfigurationLoaded{ { .version = { 1 } }, mConfiguration });
    }
    SendHostList();
    Run(3s);
  }

  static Incarnation IncarnationOf(std::size_t aDaemon)
  {
    return { DaemonId{ "d" + std::to_string(aDaemon) }, IncarnationId{ "1" } };
  }

  /* Sends a request to a daemon and returns its id. Empty fields get default values. */
  RequestId SendRequest(RequestArrived aArrived, std::size_t aDaemon = 0)
  {
    aArrived.request = RequestId{ "r" + std::to_string(++mNextRequest) };
    if (aArrived.customer.empty()) {
      aArrived.customer = CustomerId{ "big" };
    }
    if (aArrived.service.empty()) {
      aArrived.service = ServiceId{ "models" };
    }
    if (aArrived.service.str() == "models" && aArrived.artifact.model.empty()) {
      aArrived.artifact.model = ModelId{ "m" };
    }
    if (aArrived.requestClass.empty()) {
      aArrived.requestClass = ClassId{ aArrived.key.empty() ? "any" : "once" };
    }
    if (aArrived.fingerprint.empty()) {
      aArrived.fingerprint = FingerprintId{ "f" + aArrived.request.str() };
    }
    Apply(aDaemon, aArrived);
    return aArrived.request;
  }

  /* Advances the time and delivers the events that become due. */
  void Run(Duration aTime)
  {
    constexpr std::size_t kEventLimit = 5'000'000;
    const TimePoint until = now + aTime;
    while (!mEvents.empty() && mEvents.begin()->first <= until) {
      auto [at, scheduled] = std::move(*mEvents.begin());
      mEvents.erase(mEvents.begin());
      if (++mEventCount > kEventLimit) {
        throw std::runtime_error(
          "event limit of the simulation exceeded: the daemons keep scheduling events");
      }
      now = std::max(now, at);
      Apply(scheduled.first, scheduled.second);
    }
    now = until;
  }

  /* Delivers an event to a daemon and carries out the actions that it returns. Does nothing if the
   * daemon was killed. */
  void Apply(std::size_t aDaemon, const Event& aEvent)
  {
    if (mDaemons[aDaemon] == nullptr) {
      return;
    }
    for (const Action& action : mDaemons[aDaemon]->Apply(now, aEvent)) {
      std::visit([&](const auto& aKind) { Execute(aDaemon, aKind); }, action);
    }
  }

  /* Schedules an event for a daemon. */
  void Post(std::size_t aDaemon, Duration aDelay, Event aEvent)
  {
    mEvents.emplace(now + aDelay, std::pair{ aDaemon, std::move(aEvent) });
  }

  /* Ends a daemon's process without a shutdown and removes the daemon from the host list. */
  void Kill(std::size_t aDaemon)
  {
    mDaemons[aDaemon] = nullptr;
    SendHostList();
  }

  /* Lets the transactions of TableMode::kLate take effect. */
  void ApplyLateTransactions()
  {
    for (const TableTransaction& transaction : std::exchange(mLateTransactions, {})) {
      Commit(transaction);
    }
  }

  /* Returns the number of attempts of a request. */
  std::size_t CountStarts(const RequestId& aRequest) const
  {
    return static_cast<std::size_t>(
      std::count_if(started.begin(), started.end(), [&](const StartedAttempt& aStarted) {
        return aStarted.attempt.request == aRequest;
      }));
  }

  /* Returns the result code of a request, or 0 if it has not been answered yet. */
  int CodeOf(const RequestId& aRequest) const
  {
    const auto found = finished.find(aRequest);
    return found == finished.end() ? 0 : static_cast<int>(found->second.finish.code);
  }

  /* Returns the value with this path in a daemon's state dump, or an empty text. */
  std::string DumpOf(const std::string& aPath, std::size_t aDaemon = 0) const
  {
    for (const DumpEntry& entry : mDaemons[aDaemon]->Dump()) {
      if (entry.path == aPath) {
        return entry.value;
      }
    }
    return {};
  }

  /* Returns the claim for an idempotency key of the customer "big", or null. */
  const ClaimRow* ClaimOf(const std::string& aKey) const
  {
    const auto found = table.find(ClaimKey(CustomerId{ "big" }, IdempotencyKey{ aKey }));
    return found == table.end() || !found->second.value
             ? nullptr
             : std::get_if<ClaimRow>(&*found->second.value);
  }

  TimePoint now{ 1h };
  TableMode mode = TableMode::kUp;
  /* Returns how the endpoint ends an attempt. */
  std::function<std::optional<SimulatedEnd>(const StartedAttempt&)> endOfAttempt =
    [](const StartedAttempt&) { return std::optional{ SimulatedEnd{} }; };
  /* Returns whether a message that a daemon sends is lost. */
  std::function<bool(std::size_t, const SendMessage&)> isMessageLost =
    [](std::size_t, const SendMessage&) { return false; };
  std::vector<StartedAttempt> started;
  std::map<RequestId, FinishedRequest> finished;
  std::vector<SendMessage> sentMessages; ///< Messages between daemons, including lost ones.
  std::map<RowKey, Row> table;
  std::map<EndpointId, std::set<Artifact>> loadedArtifacts;
  std::size_t claimTransactions = 0; ///< Transactions that write claims.
  std::size_t claimRowsWritten = 0;  ///< Rows in these transactions.

private:
  /* Sends the current host list to all daemons. */
  void SendHostList()
  {
    HostListReceived list;
    for (std::size_t index = 0; index < mDaemons.size(); ++index) {
      if (mDaemons[index] != nullptr) {
        const std::string id = IncarnationOf(index).daemon.str();
        list.hosts.push_back({ .kind = HostKind::kDaemon, .id = id, .bootId = "1", .address = id });
      }
    }
    for (int index = 0; index < mOptions.runners; ++index) {
      for (const char* service : { "models", "plain" }) {
        const std::string id = service + std::to_string(index);
        list.hosts.push_back(
          { .id = id, .bootId = "b", .service = ServiceId{ service }, .address = id });
      }
    }
    for (std::size_t index = 0; index < mDaemons.size(); ++index) {
      Post(index, {}, list);
      Post(index, {}, Wake{});
    }
  }

  /* Applies a transaction to the table if all row versions are as expected. */
  TransactionResult Commit(const TableTransaction& aTransaction)
  {
    TransactionResult result{ .change = aTransaction.change, .rows = {} };
    for (const RowCondition& condition : aTransaction.conditions) {
      Row& row = table[condition.key];
      row.key = condition.key;
      if (row.version != condition.version) {
        result.outcome = TransactionOutcome::kConflict;
        result.rows.push_back(row);
      }
    }
    if (result.outcome == TransactionOutcome::kConflict) {
      return result;
    }
    for (const RowWrite& write : aTransaction.writes) {
      Row& row = table[write.key];
      row.key = write.key;
      row.value = write.value;
      row.version = { write.value ? row.version.value + 1 : 0 };
      result.rows.push_back(row);
    }
    return result;
  }

  void Execute(std::size_t aDaemon, const StartAttempt& aStart)
  {
    started.push_back({ aDaemon, now, aStart });
    if (const auto served = endOfAttempt(started.back())) {
      AttemptEnded ended{ .request = aStart.request,
                          .attempt = aStart.attempt,
                          .outcome = served->outcome,
                          .httpStatus = 200,
                          .answer = "answer" };
      Post(aDaemon, served->delay, ended);
    }
  }
  void Execute(std::size_t aDaemon, const StopAttempt& aStop)
  {
    Post(aDaemon,
         1ms,
         AttemptEnded{ .request = aStop.request,
                       .attempt = aStop.attempt,
                       .outcome = AttemptOutcome::kCancelled });
  }
  void Execute(std::size_t /*aDaemon*/, const FinishRequest& aFinish)
  {
    finished.try_emplace(aFinish.request, FinishedRequest{ now, aFinish });
  }
  void Execute(std::size_t aDaemon, const TableTransaction& aTransaction)
  {
    if (!aTransaction.writes.empty() &&
        aTransaction.writes.front().key.str().starts_with("claim/")) {
      ++claimTransactions;
      claimRowsWritten += aTransaction.writes.size();
    }
    TransactionResult result{ .change = aTransaction.change,
                              .outcome = TransactionOutcome::kUnknown };
    if (mode == TableMode::kUp) {
      result = Commit(aTransaction);
    } else if (mode == TableMode::kAnswerLost) {
      Commit(aTransaction);
    } else if (mode == TableMode::kLate) {
      mLateTransactions.push_back(aTransaction);
    }
    Post(aDaemon, mOptions.tableLatency, result);
  }
  void Execute(std::size_t aDaemon, const TableRead& aRead)
  {
    ReadResult result{ .read = aRead.read, .hasSucceeded = mode == TableMode::kUp, .rows = {} };
    for (const RowKey& key : aRead.keys) {
      Row& row = table[key];
      row.key = key;
      result.rows.push_back(row);
    }
    Post(aDaemon, mOptions.tableLatency, result);
  }
  void Execute(std::size_t aDaemon, const SendOrder& aOrder)
  {
    auto& artifacts = loadedArtifacts[aOrder.runner];
    if (aOrder.kind == OrderKind::kLoadModel) {
      artifacts.insert(aOrder.artifact);
    } else if (aOrder.kind == OrderKind::kUnloadModel) {
      artifacts.erase(aOrder.artifact);
    }
    Inventory inventory{ .bootId = "b", .memory = { 80'000 }, .models = {} };
    for (const Artifact& artifact : artifacts) {
      inventory.models.push_back({ .model = artifact.model, .version = "1", .ready = true });
    }
    Post(aDaemon,
         aOrder.kind == OrderKind::kLoadModel ? 200ms : 1ms,
         OrderResult{ aOrder.cell, aOrder.runner, aOrder.order, OrderOutcome::kDone, inventory });
  }
  void Execute(std::size_t aDaemon, const SendMessage& aMessage)
  {
    sentMessages.push_back(aMessage);
    if (isMessageLost(aDaemon, aMessage)) {
      return;
    }
    const std::size_t to = std::stoul(aMessage.to.str().substr(1));
    Post(to, 1ms, MessageReceived{ IncarnationOf(aDaemon), { 1 }, aMessage.message });
  }
  void Execute(std::size_t aDaemon, const WakeAt& aWake)
  {
    mEvents.emplace(aWake.time, std::pair{ aDaemon, Event{ Wake{} } });
  }
  void Execute(std::size_t /*aDaemon*/, const PublishConfiguration& /*aAction*/) {}
  void Execute(std::size_t /*aDaemon*/, const PublishReadiness& /*aAction*/) {}
  void Execute(std::size_t aDaemon, const ShutdownComplete& /*aAction*/)
  {
    completedShutdowns.insert(aDaemon);
  }

public:
  std::set<std::size_t> completedShutdowns; ///< Daemons that have completed their shutdown.

private:
  WorldOptions mOptions;
  std::shared_ptr<const Configuration> mConfiguration;
  std::vector<std::unique_ptr<Node>> mDaemons;
  std::multimap<TimePoint, std::pair<std::size_t, Event>> mEvents;
  std::vector<TableTransaction> mLateTransactions;
  std::size_t mEventCount = 0;
  int mNextRequest = 0;
};

} // namespace rhubarbtrail::test

#endif

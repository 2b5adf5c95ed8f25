/* The simulated table service, endpoints and host list. */
#include "tests/matrix/world.h"

#include <algorithm>
#include <numeric>

namespace rhubarbtrail::matrix {

namespace {

constexpr MemoryMb kRunnerMemory{ 80'000 };
constexpr MemoryMb kKvCache{ 16'000 };

std::shared_ptr<const Configuration> MakeConfiguration(std::uint64_t aVersion, OrderCheck aCheck)
{
  auto configuration = std::make_shared<Configuration>();
  configuration->version = { aVersion };
  ServiceSpec models{ .id = ServiceId{ "models" }, .orderCheck = aCheck };
  models.keepAlive = FixedKeepAlive{ 3s };
  models.store.concurrentLoads = 3;
  configuration->services[models.id] = models;
  configuration->services[ServiceId{ "ledger" }] = { .id = ServiceId{ "ledger" },
                                                     .kind = ServiceKind::kPlain };
  for (int index = 0; index < 4; ++index) {
    ModelSpec model{ .id = ModelId{ "m" + std::to_string(index) }, .service = models.id };
    model.memory = { index == 3 ? 20'000 : 40'000 };
    model.expectedLoad = 1s;
    model.adapters[AdapterId{ "a" }] = { AdapterId{ "a" }, { 1'000 } };
    configuration->models[model.id] = model;
  }
  configuration->classes[ClassId{ "chat" }] = { .id = ClassId{ "chat" } };
  configuration->classes[ClassId{ "pay" }] = { .id = ClassId{ "pay" },
                                               .repeatability = Repeatability::kAtMostOnce };
  configuration->customers[CustomerId{ "c" }] = { .id = CustomerId{ "c" }, .allModels = true };
  return configuration;
}

} // namespace

FakeEndpoint* World::FindEndpoint(const EndpointId& aEndpoint)
{
  const auto found = std::find_if(mEndpoints.begin(),
                                  mEndpoints.end(),
                                  [&](const FakeEndpoint& aItem) { return aItem.id == aEndpoint; });
  return found == mEndpoints.end() ? nullptr : &*found;
}

TransactionResult World::CommitTransaction(const TableTransaction& aTransaction)
{
  TransactionResult result{ .change = aTransaction.change };
  for (const RowCondition& condition : aTransaction.conditions) {
    Row& row = mRows[condition.key];
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
    Row& row = mRows[write.key];
    row = { write.key, { write.value ? ++mLastNumber : 0 }, write.value };
    result.rows.push_back(row);
  }
  return result;
}

/* A runner that does not check fencing tokens must only get orders that are written in the
 * placement row. Otherwise the next lease holder does not know of the order and can decide
 * differently. */
void World::CheckPlacementWritten(const SendOrder& aOrder)
{
  const auto row = mRows.find(PlacementKey(aOrder.cell));
  const auto* placement = row == mRows.end() || !row->second.value
                            ? nullptr
                            : std::get_if<PlacementRow>(&*row->second.value);
  const bool isWritten =
    placement != nullptr &&
    std::any_of(
      placement->entries.begin(), placement->entries.end(), [&](const PlacementEntry& aEntry) {
        return aEntry.runner == aOrder.runner && aEntry.model == aOrder.artifact.model;
      });
  if (!isWritten) {
    RecordViolation("written order",
                    aOrder.runner.str() + " got an order without a placement entry for " +
                      aOrder.artifact.model.str());
  }
}

OrderResult World::ExecuteOrder(std::size_t aHost, const SendOrder& aOrder)
{
  FakeEndpoint& runner = *FindEndpoint(aOrder.runner);
  OrderResult result{ .cell = aOrder.cell, .runner = runner.id, .order = aOrder.order };
  const bool isChecked = mScenario.check == OrderCheck::kChecked;
  if (isChecked && aOrder.fence < runner.highestFence) {
    result.outcome = OrderOutcome::kFenced;
    return result;
  }
  runner.highestFence = std::max(runner.highestFence, aOrder.fence);
  const ModelId& model = aOrder.artifact.model;
  const auto known = runner.orderOutcomes.find(aOrder.order);
  if (aOrder.kind == OrderKind::kInventory) {
    result.outcome = OrderOutcome::kDone;
  } else if (known != runner.orderOutcomes.end()) {
    result.outcome = known->second;
  } else if (aOrder.kind == OrderKind::kLoadAdapter) {
    const auto found = runner.models.find(model);
    result.outcome = found == runner.models.end() ? OrderOutcome::kFailed : OrderOutcome::kDone;
    if (found != runner.models.end()) {
      found->second.adapters.insert(aOrder.artifact.adapter);
    }
  } else {
    if (!isChecked) {
      CheckPlacementWritten(aOrder);
    }
    const bool isLoad = aOrder.kind == OrderKind::kLoadModel;
    result.outcome = isLoad ? OrderOutcome::kAccepted : OrderOutcome::kDone;
    if (isLoad && !runner.models.contains(model)) {
      runner.models[model] = { .version = aOrder.version, .memory = aOrder.memory };
      const auto time =
        static_cast<double>(RandomDuration(600ms, 1200ms).count()) * mLoadTimeFactor;
      const std::uint32_t generation = mHosts[aHost].generation;
      Schedule(
        Duration{ static_cast<Duration::rep>(time) }, [=, this, bootNumber = runner.bootNumber] {
          FakeEndpoint& runner = *FindEndpoint(aOrder.runner);
          const auto found = runner.models.find(aOrder.artifact.model);
          if (runner.bootNumber != bootNumber || !runner.isAlive || found == runner.models.end()) {
            return;
          }
          found->second.ready = true;
          runner.orderOutcomes[aOrder.order] = OrderOutcome::kDone;
          OrderResult done = result;
          done.outcome = OrderOutcome::kDone;
          done.inventory = MakeInventory(runner);
          if (!mHosts[aHost].isCutFromRunners && !RandomBool(mLostMessageProbability)) {
            DeliverEvent(aHost, generation, done, 1ms);
          }
        });
    }
    if (!isLoad && runner.models.erase(model) > 0) {
      for (const auto& [request, where] : runner.running) {
        if (where.second == model && mHosts[where.first].node != nullptr) {
          RecordViolation("cut stream",
                          request.str() + " was still running on an unloaded model of " +
                            runner.id.str());
        }
      }
    }
    runner.orderOutcomes[aOrder.order] = result.outcome;
  }
  CheckLoadedModels();
  result.inventory = MakeInventory(runner);
  return result;
}

void World::CheckLoadedModels()
{
  std::map<ModelId, std::uint32_t> replicas;
  for (const FakeEndpoint& endpoint : mEndpoints) {
    std::int64_t used = 0;
    for (const auto& [model, loaded] : endpoint.models) {
      used += loaded.memory.value;
      if (++replicas[model] > 1) {
        RecordViolation(
          "replicas", model.str() + " is loaded more than once, last seen on " + endpoint.id.str());
      }
    }
    if (used > (kRunnerMemory - kKvCache).value) {
      RecordViolation("memory", endpoint.id.str() + " holds models that exceed its weight memory");
    }
  }
}

Inventory World::MakeInventory(const FakeEndpoint& aEndpoint) const
{
  Inventory inventory{ .bootId = std::to_string(aEndpoint.bootNumber), .memory = kRunnerMemory };
  for (const auto& [model, loaded] : aEndpoint.models) {
    inventory.models.push_back({ .model = model,
                                 .version = loaded.version,
                                 .ready = loaded.ready,
                                 .adapters = { loaded.adapters.begin(), loaded.adapters.end() } });
    for (const auto& [request, where] : aEndpoint.running) {
      inventory.models.back().running += where.second == model ? 1 : 0;
    }
  }
  return inventory;
}

void World::CrashEndpoint(std::size_t aEndpoint, Duration aDowntime)
{
  FakeEndpoint& endpoint = mEndpoints[aEndpoint];
  endpoint.isAlive = false;
  ++endpoint.bootNumber;
  endpoint.models.clear();
  endpoint.orderOutcomes.clear();
  endpoint.running.clear();
  endpoint.highestFence = {};
  endpoint.leavingSince.reset();
  endpoint.knownLeavingAt.reset();
  Schedule(aDowntime, [this, aEndpoint] { mEndpoints[aEndpoint].isAlive = true; });
}

void World::StartLeaving(std::size_t aEndpoint)
{
  FakeEndpoint& endpoint = mEndpoints[aEndpoint];
  if (!endpoint.isAlive || endpoint.leavingSince) {
    return;
  }
  endpoint.leavingSince = mNow;
  Schedule(7s, [this, aEndpoint, bootNumber = endpoint.bootNumber] {
    if (mEndpoints[aEndpoint].bootNumber == bootNumber) {
      CrashEndpoint(aEndpoint, 2s);
    }
  });
}

void World::AcceptConfiguration(bool aIsConcurrent)
{
  if (mIsTableDown) {
    Schedule(1s, [=, this] { AcceptConfiguration(aIsConcurrent); });
    return;
  }
  const RowKey key = ConfigurationHeadKey();
  const RowVersion expectedVersion = mRows[key].version;
  const std::uint64_t version =
    mConfigurationAcceptedAt.empty() ? 1 : mConfigurationAcceptedAt.rbegin()->first + 1;
  ConfigurationRow row{ .version = { version }, .document = "first" };
  const TableTransaction firstChange{ ChangeId{ "first" },
                                      { { key, expectedVersion } },
                                      { { key, { row } } } };
  mConfigurationAcceptedAt[version] = mNow;
  mConfigurations[version] = MakeConfiguration(version, mScenario.check);
  CommitTransaction(firstChange);
  // The daemon that accepted the operator's change gets the configuration at once.
  for (std::size_t index = 0; index < mHosts.size(); ++index) {
    const DaemonHost& host = mHosts[index];
    if (host.node != nullptr && !host.isCutFromTable && !host.isFrozen) {
      DeliverEvent(
        index, host.generation, ConfigurationLoaded{ row, mConfigurations[version] }, 1ms);
      break;
    }
  }
  if (!aIsConcurrent) {
    return;
  }
  row.document = "second";
  const TableTransaction secondChange{ ChangeId{ "second" },
                                       { { key, expectedVersion } },
                                       { { key, { row } } } };
  if (CommitTransaction(secondChange).outcome != TransactionOutcome::kConflict) {
    RecordViolation("configuration", "both of two concurrent changes were committed");
  }
}

void World::PublishHosts()
{
  std::vector<HostEntry> list;
  for (const FakeEndpoint& endpoint : mEndpoints) {
    // An endpoint is listed also while its process is down.
    list.push_back({ .id = endpoint.id.str(),
                     .bootId = std::to_string(endpoint.bootNumber),
                     .service = endpoint.service,
                     .zone = ZoneId{ "z" },
                     .address = endpoint.id.str(),
                     .state = endpoint.leavingSince ? HostState::kLeaving : HostState::kLive });
  }
  for (const DaemonHost& host : mHosts) {
    if (host.node != nullptr) {
      list.push_back({ .kind = HostKind::kDaemon, .id = host.id.str(), .address = host.id.str() });
    }
  }
  mHostLists.emplace_back(mNow, std::move(list));
  const auto* known = &mHostLists.front();
  for (const auto& item : mHostLists) {
    known = item.first + mHostListAge <= mNow ? &item : known;
  }
  for (std::size_t index = 0; index < mHosts.size(); ++index) {
    DeliverEvent(
      index, mHosts[index].generation, HostListReceived{ known->second }, RandomDuration(1ms, 5ms));
  }
  for (FakeEndpoint& endpoint : mEndpoints) {
    if (endpoint.leavingSince && *endpoint.leavingSince + mHostListAge < known->first) {
      endpoint.knownLeavingAt = endpoint.knownLeavingAt.value_or(mNow);
    }
  }
  Schedule(500ms, [this] { PublishHosts(); });
}

} // namespace rhubarbtrail::matrix

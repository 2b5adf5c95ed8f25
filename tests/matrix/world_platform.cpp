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
  auto made = std::make_shared<Configuration>();
  made->version = { aVersion };
  ServiceSpec models{ .id = ServiceId{ "models" }, .orderCheck = aCheck };
  models.keepAlive = FixedKeepAlive{ 3s };
  models.store.concurrentLoads = 3;
  made->services[models.id] = models;
  made->services[ServiceId{ "ledger" }] = { .id = ServiceId{ "ledger" },
                                            .kind = ServiceKind::kPlain };
  for (int index = 0; index < 4; ++index) {
    ModelSpec model{ .id = ModelId{ "m" + std::to_string(index) }, .service = models.id };
    model.memory = { index == 3 ? 20'000 : 40'000 };
    model.expectedLoad = 1s;
    model.adapters[AdapterId{ "a" }] = { AdapterId{ "a" }, { 1'000 } };
    made->models[model.id] = model;
  }
  made->classes[ClassId{ "chat" }] = { .id = ClassId{ "chat" } };
  made->classes[ClassId{ "pay" }] = { .id = ClassId{ "pay" },
                                      .repeatability = Repeatability::kAtMostOnce };
  made->customers[CustomerId{ "c" }] = { .id = CustomerId{ "c" }, .allModels = true };
  return made;
}

} // namespace

FakeEndpoint* World::FindEndpoint(const EndpointId& aEndpoint)
{
  const auto found = std::find_if(mEndpoints.begin(),
                                  mEndpoints.end(),
                                  [&](const FakeEndpoint& aItem) { return aItem.id == aEndpoint; });
  return found == mEndpoints.end() ? nullptr : &*found;
}

TransactionResult World::Commit(const TableTransaction& aTransaction)
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
    row = { write.key, { write.value ? ++mNumber : 0 }, write.value };
    result.rows.push_back(row);
  }
  return result;
}

/* A runner that does not check fencing tokens must only get orders that are written in the
 * placement row. Otherwise the next lease holder does not know of the order and can decide
 * differently. */
void World::CheckPlacement(const SendOrder& aOrder)
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
    Violate("written order",
            aOrder.runner.str() + " got an order without a placement entry for " +
              aOrder.artifact.model.str());
  }
}

OrderResult World::Execute(std::size_t aHost, const SendOrder& aOrder)
{
  FakeEndpoint& runner = *FindEndpoint(aOrder.runner);
  OrderResult result{ .cell = aOrder.cell, .runner = runner.id, .order = aOrder.order };
  const bool isChecked = mScenario.check == OrderCheck::kChecked;
  if (isChecked && aOrder.fence < runner.fence) {
    result.outcome = OrderOutcome::kFenced;
    return result;
  }
  runner.fence = std::max(runner.fence, aOrder.fence);
  const ModelId& model = aOrder.artifact.model;
  const auto known = runner.orders.find(aOrder.order);
  if (aOrder.kind == OrderKind::kInventory) {
    result.outcome = OrderOutcome::kDone;
  } else if (known != runner.orders.end()) {
    result.outcome = known->second;
  } else if (aOrder.kind == OrderKind::kLoadAdapter) {
    const auto found = runner.models.find(model);
    result.outcome = found == runner.models.end() ? OrderOutcome::kFailed : OrderOutcome::kDone;
    if (found != runner.models.end()) {
      found->second.adapters.insert(aOrder.artifact.adapter);
    }
  } else {
    if (!isChecked) {
      CheckPlacement(aOrder);
    }
    const bool isLoad = aOrder.kind == OrderKind::kLoadModel;
    result.outcome = isLoad ? OrderOutcome::kAccepted : OrderOutcome::kDone;
    if (isLoad && !runner.models.contains(model)) {
      runner.models[model] = { .version = aOrder.version, .memory = aOrder.memory };
      const auto time = static_cast<double>(Between(600ms, 1200ms).count()) * mLoadFactor;
      const std::uint32_t generation = mHosts[aHost].generation;
      After(Duration{ static_cast<Duration::rep>(time) }, [=, this, boot = runner.boot] {
        FakeEndpoint& runner = *FindEndpoint(aOrder.runner);
        const auto found = runner.models.find(aOrder.artifact.model);
        if (runner.boot != boot || !runner.isAlive || found == runner.models.end()) {
          return;
        }
        found->second.ready = true;
        runner.orders[aOrder.order] = OrderOutcome::kDone;
        OrderResult done = result;
        done.outcome = OrderOutcome::kDone;
        done.inventory = InventoryOf(runner);
        if (!mHosts[aHost].isRunnerCut && !Chance(mLostMessages)) {
          Deliver(aHost, generation, done, 1ms);
        }
      });
    }
    if (!isLoad && runner.models.erase(model) > 0) {
      for (const auto& [request, where] : runner.running) {
        if (where.second == model && mHosts[where.first].node != nullptr) {
          Violate("cut stream",
                  request.str() + " was still running on an unloaded model of " + runner.id.str());
        }
      }
    }
    runner.orders[aOrder.order] = result.outcome;
  }
  CheckRunners();
  result.inventory = InventoryOf(runner);
  return result;
}

void World::CheckRunners()
{
  std::map<ModelId, std::uint32_t> replicas;
  for (const FakeEndpoint& endpoint : mEndpoints) {
    std::int64_t used = 0;
    for (const auto& [model, loaded] : endpoint.models) {
      used += loaded.memory.value;
      if (++replicas[model] > 1) {
        Violate("replicas",
                model.str() + " is loaded more than once, last seen on " + endpoint.id.str());
      }
    }
    if (used > (kRunnerMemory - kKvCache).value) {
      Violate("memory", endpoint.id.str() + " holds models that exceed its weight memory");
    }
  }
}

Inventory World::InventoryOf(const FakeEndpoint& aEndpoint) const
{
  Inventory inventory{ .bootId = std::to_string(aEndpoint.boot), .memory = kRunnerMemory };
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
  ++endpoint.boot;
  endpoint.models.clear();
  endpoint.orders.clear();
  endpoint.running.clear();
  endpoint.fence = {};
  endpoint.leavingSince.reset();
  endpoint.noticedAt.reset();
  After(aDowntime, [this, aEndpoint] { mEndpoints[aEndpoint].isAlive = true; });
}

void World::Leave(std::size_t aEndpoint)
{
  FakeEndpoint& endpoint = mEndpoints[aEndpoint];
  if (!endpoint.isAlive || endpoint.leavingSince) {
    return;
  }
  endpoint.leavingSince = mNow;
  After(7s, [this, aEndpoint, boot = endpoint.boot] {
    if (mEndpoints[aEndpoint].boot == boot) {
      CrashEndpoint(aEndpoint, 2s);
    }
  });
}

void World::AcceptConfiguration(bool aIsRace)
{
  if (mIsTableDown) {
    After(1s, [=, this] { AcceptConfiguration(aIsRace); });
    return;
  }
  const RowKey key = ConfigurationHeadKey();
  const RowVersion seen = mRows[key].version;
  const std::uint64_t version = mAcceptedAt.empty() ? 1 : mAcceptedAt.rbegin()->first + 1;
  ConfigurationRow row{ .version = { version }, .document = "first" };
  const TableTransaction first{ ChangeId{ "first" }, { { key, seen } }, { { key, { row } } } };
  mAcceptedAt[version] = mNow;
  mConfigurations[version] = MakeConfiguration(version, mScenario.check);
  Commit(first);
  // The daemon that accepted the operator's change gets the configuration at once.
  for (std::size_t index = 0; index < mHosts.size(); ++index) {
    const Host& host = mHosts[index];
    if (host.node != nullptr && !host.isTableCut && !host.isFrozen) {
      Deliver(index, host.generation, ConfigurationLoaded{ row, mConfigurations[version] }, 1ms);
      break;
    }
  }
  if (!aIsRace) {
    return;
  }
  row.document = "second";
  const TableTransaction second{ ChangeId{ "second" }, { { key, seen } }, { { key, { row } } } };
  if (Commit(second).outcome != TransactionOutcome::kConflict) {
    Violate("configuration", "both of two concurrent changes were committed");
  }
}

void World::PublishHosts()
{
  std::vector<HostEntry> list;
  for (const FakeEndpoint& endpoint : mEndpoints) {
    // An endpoint is listed also while its process is down.
    list.push_back({ .id = endpoint.id.str(),
                     .bootId = std::to_string(endpoint.boot),
                     .service = endpoint.service,
                     .zone = ZoneId{ "z" },
                     .address = endpoint.id.str(),
                     .state = endpoint.leavingSince ? HostState::kLeaving : HostState::kLive });
  }
  for (const Host& host : mHosts) {
    if (host.node != nullptr) {
      list.push_back({ .kind = HostKind::kDaemon, .id = host.id.str(), .address = host.id.str() });
    }
  }
  mLists.emplace_back(mNow, std::move(list));
  const auto* known = &mLists.front();
  for (const auto& item : mLists) {
    known = item.first + mListLag <= mNow ? &item : known;
  }
  for (std::size_t index = 0; index < mHosts.size(); ++index) {
    Deliver(index, mHosts[index].generation, HostListReceived{ known->second }, Between(1ms, 5ms));
  }
  for (FakeEndpoint& endpoint : mEndpoints) {
    if (endpoint.leavingSince && *endpoint.leavingSince + mListLag < known->first) {
      endpoint.noticedAt = endpoint.noticedAt.value_or(mNow);
    }
  }
  After(500ms, [this] { PublishHosts(); });
}

} // namespace rhubarbtrail::matrix

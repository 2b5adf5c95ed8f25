/* Measures how the processing time of events and the memory of a node grow with the fleet, for
 * docs/CAPACITY.md. */
#include "codec/json_codec.h"
#include "decision/decision.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <string>
#include <vector>

namespace {

using namespace rhubarbtrail;

/* Size of a fleet, as far as a node stores it. */
struct FleetSize
{
  std::uint32_t members = 7;    ///< Daemons, including the measured one.
  std::uint32_t endpoints = 9;  ///< All endpoints, including the runners of the node's cell.
  std::uint32_t runners = 9;    ///< Runners of the cell whose lease the node holds.
  std::uint32_t models = 50;    ///< Models in the configuration, all in the node's cell.
  std::uint32_t adapters = 56;  ///< Adapters of all models together.
  std::uint32_t otherCells = 0; ///< Cells whose leases another daemon holds.
};

/* Processing time of one kind of event, in microseconds. */
struct EventCost
{
  double meanUs = 0;
  double p99Us = 0;
};

/* Returns the number of table reads that a daemon issues when it starts and when it wakes up 500 ms
 * later. The host list already has all daemons, but none has sent a heartbeat, and no read is
 * answered. */
std::uint64_t CountReadsAtStart(std::uint32_t aMembers, std::uint32_t aCells)
{
  Node node({ .self = { DaemonId{ "d0" }, IncarnationId{ "1" } },
              .zone = ZoneId{ "z0" },
              .settings = {},
              .disabledMechanisms = {} });
  auto configuration = std::make_shared<Configuration>();
  configuration->version = { 1 };
  for (std::uint32_t i = 0; i < aCells; ++i) {
    const ServiceId service{ "cell" + std::to_string(i) };
    configuration->services[service] = { .id = service, .routes = {} };
  }
  HostListReceived hosts;
  for (std::uint32_t i = 0; i < aMembers; ++i) {
    hosts.hosts.push_back({ .kind = HostKind::kDaemon,
                            .id = "d" + std::to_string(i),
                            .bootId = {},
                            .service = {},
                            .zone = ZoneId{ "z0" },
                            .address = "10.0.0.1:7000" });
  }
  std::uint64_t reads = 0;
  const auto apply = [&](TimePoint aNow, const Event& aEvent) {
    for (const Action& action : node.Apply(aNow, aEvent)) {
      reads += std::holds_alternative<TableRead>(action) ? 1 : 0;
    }
  };
  apply(TimePoint{ 1h }, hosts);
  apply(TimePoint{ 1h },
        ConfigurationLoaded{ ConfigurationRow{ .version = { 1 }, .document = {}, .author = {} },
                             configuration });
  apply(TimePoint{ 1h } + 500ms, Wake{});
  return reads;
}

/* Number of loaded models on each runner. */
constexpr std::uint32_t kReplicasPerRunner = 5;
constexpr std::uint32_t kMaxEvents = 2'000; ///< Measured events of a kind, at most.

/* Returns the number of allocated bytes of the heap. */
std::size_t HeapBytes()
{
  return mallinfo2().uordblks;
}

/* A node that holds the lease of one cell, and fakes for the table, the runners and the other
 * daemons. The first inventory orders, as many as there are runners, are answered at once. Later
 * ones are stored for MeasureInventories(). */
class NodeBenchmark
{
public:
  explicit NodeBenchmark(const FleetSize& aFleetSize)
    : mFleetSize(aFleetSize)
    , mNode({ .self = { DaemonId{ "d0" }, IncarnationId{ "1" } },
              .zone = ZoneId{ "z0" },
              .settings = {},
              .disabledMechanisms = {} })
  {
    Apply(ConfigurationLoaded{ ConfigurationRow{ .version = { 1 }, .document = {}, .author = {} },
                               MakeConfiguration() });
    const HostListReceived hosts = MakeHosts();
    Apply(hosts);
    for (int second = 0; second < 3; ++second) {
      Advance(1s);
      ReceiveMemberHeartbeats();
      Apply(Wake{});
    }
  }

  /* Measures the arrival of requests for models with a known replica. The end of each attempt is
   * processed, too, but its time is not counted. */
  EventCost MeasureRequests()
  {
    std::vector<double> costs;
    for (std::uint32_t i = 0; i < kMaxEvents; ++i) {
      const RequestId request{ "q" + std::to_string(i) };
      Advance(100us);
      const Event arrived = RequestArrived{ .request = request,
                                            .customer = CustomerId{ "c" },
                                            .service = ServiceId{ "cell" },
                                            .artifact = { ModelOn(i % mFleetSize.runners, 0), {} },
                                            .requestClass = ClassId{ "default" },
                                            .key = {},
                                            .fingerprint = {} };
      costs.push_back(MeasureEvent(arrived));
      MeasureEvent(AttemptEnded{ .request = request,
                                 .attempt = { 1 },
                                 .outcome = AttemptOutcome::kCompleted,
                                 .contentType = {},
                                 .answer = {} });
    }
    return Summarize(costs);
  }

  /* Measures demand messages of another daemon that report the use of a loaded model. */
  EventCost MeasureDemands()
  {
    std::vector<double> costs;
    for (std::uint32_t i = 0; i < kMaxEvents; ++i) {
      Advance(100us);
      costs.push_back(MeasureEvent(
        MessageReceived{ { DaemonId{ "d1" }, IncarnationId{ "1" } },
                         { 1 },
                         DemandMessage{ .cell = CellId{ "cell" },
                                        .artifact = { ModelOn(i % mFleetSize.runners, 1), {} },
                                        .startedSince = 1 } }));
    }
    return Summarize(costs);
  }

  /* Measures the results of inventory orders. When all have been answered, a wake-up makes the node
   * send new ones, which is not counted. */
  EventCost MeasureInventories()
  {
    std::vector<double> costs;
    for (std::uint32_t i = 0; i < kMaxEvents && !mPendingInventoryOrders.empty(); ++i) {
      Advance(1ms);
      const SendOrder order = mPendingInventoryOrders.back();
      mPendingInventoryOrders.pop_back();
      costs.push_back(MeasureEvent(MakeInventoryResult(order)));
      if (mPendingInventoryOrders.empty()) {
        Advance(2s);
        ReceiveMemberHeartbeats();
        Apply(Wake{});
      }
    }
    return Summarize(costs);
  }

  /* Measures the wake-ups of a node that wakes up once a second: it sends heartbeats to the other
   * daemons and checks its cell. */
  EventCost MeasureWakes()
  {
    std::vector<double> costs;
    for (std::uint32_t i = 0; i < 50; ++i) {
      Advance(1s);
      costs.push_back(MeasureEvent(Wake{}));
      ReceiveMemberHeartbeats();
    }
    return Summarize(costs);
  }

  /* Returns the number of heartbeat messages that the node sends in one second, including the
   * replies to the heartbeats of the other daemons. */
  std::uint64_t CountHeartbeatsPerSecond()
  {
    Advance(1s);
    mHeartbeatsSent = 0;
    Apply(Wake{});
    for (std::uint32_t i = 1; i < mFleetSize.members; ++i) {
      Apply(HeartbeatFrom(i));
    }
    return mHeartbeatsSent;
  }

private:
  static EventCost Summarize(std::vector<double> aCosts)
  {
    if (aCosts.empty()) {
      return {};
    }
    std::sort(aCosts.begin(), aCosts.end());
    double sum = 0;
    for (const double cost : aCosts) {
      sum += cost;
    }
    return { sum / static_cast<double>(aCosts.size()), aCosts[aCosts.size() * 99 / 100] };
  }

  void Advance(Duration aTime) { mNow += aTime; }

  ModelId ModelOn(std::uint32_t aRunner, std::uint32_t aSlot) const
  {
    return ModelId{ "m" +
                    std::to_string((aRunner * kReplicasPerRunner + aSlot) % mFleetSize.models) };
  }

  std::string OtherCellName(std::uint32_t aNumber) const
  {
    return "other" + std::to_string(aNumber % std::max(1U, mFleetSize.otherCells));
  }

  std::shared_ptr<const Configuration> MakeConfiguration() const
  {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = { 1 };
    ServiceSpec service{ .id = ServiceId{ "cell" }, .routes = {} };
    service.keepAlive = CostAwareKeepAlive{};
    configuration->services[service.id] = service;
    for (std::uint32_t i = 0; i < mFleetSize.otherCells; ++i) {
      service.id = ServiceId{ OtherCellName(i) };
      configuration->services[service.id] = service;
    }
    service.id = ServiceId{ "cell" };
    configuration->classes[ClassId{ "default" }] = { .id = ClassId{ "default" } };
    CustomerSpec customer{ .id = CustomerId{ "c" }, .keyHashes = {}, .models = {}, .services = {} };
    customer.allModels = true;
    configuration->customers[customer.id] = customer;
    for (std::uint32_t i = 0; i < mFleetSize.models; ++i) {
      ModelSpec model{ .id = ModelId{ "m" + std::to_string(i) }, .service = service.id };
      model.memory = { 8'000 };
      configuration->models[model.id] = model;
    }
    for (std::uint32_t i = 0; i < mFleetSize.adapters; ++i) {
      const AdapterId id{ "a" + std::to_string(i) };
      configuration->models[ModelId{ "m" + std::to_string(i % mFleetSize.models) }].adapters[id] = {
        .id = id, .memory = { 100 }
      };
    }
    return configuration;
  }

  HostListReceived MakeHosts() const
  {
    HostListReceived hosts;
    for (std::uint32_t i = 0; i < mFleetSize.members; ++i) {
      hosts.hosts.push_back({ .kind = HostKind::kDaemon,
                              .id = "d" + std::to_string(i),
                              .bootId = {},
                              .service = {},
                              .zone = ZoneId{ "z" + std::to_string(i % 26) },
                              .address = "10.0.0.1:7000" });
    }
    for (std::uint32_t i = 0; i < mFleetSize.endpoints; ++i) {
      const bool isInHeldCell = i < mFleetSize.runners;
      hosts.hosts.push_back({ .kind = HostKind::kEndpoint,
                              .id = "r" + std::to_string(i),
                              .bootId = "b",
                              .service = ServiceId{ isInHeldCell ? "cell" : OtherCellName(i) },
                              .zone = ZoneId{ "z" + std::to_string(i % 26) },
                              .address = "10.0.1.1:8000" });
    }
    return hosts;
  }

  OrderResult MakeInventoryResult(const SendOrder& aOrder) const
  {
    OrderResult result{ .cell = aOrder.cell,
                        .runner = aOrder.runner,
                        .order = aOrder.order,
                        .inventory = { .bootId = "b", .memory = { 80'000 }, .models = {} } };
    const auto runner =
      static_cast<std::uint32_t>(std::strtoul(aOrder.runner.str().c_str() + 1, nullptr, 10));
    for (std::uint32_t slot = 0; slot < kReplicasPerRunner; ++slot) {
      result.inventory.models.push_back(
        { .model = ModelOn(runner, slot), .version = "1", .ready = true, .adapters = {} });
    }
    return result;
  }

  static MessageReceived HeartbeatFrom(std::uint32_t aMember)
  {
    return { { DaemonId{ "d" + std::to_string(aMember) }, IncarnationId{ "1" } },
             { 1 },
             HeartbeatMessage{ { 1 }, false } };
  }

  void ReceiveMemberHeartbeats()
  {
    for (std::uint32_t i = 1; i < mFleetSize.members; ++i) {
      Apply(HeartbeatFrom(i));
    }
  }

  /* Returns the time in microseconds for which the node processes an event, without its actions. */
  double MeasureEvent(const Event& aEvent)
  {
    const auto start = std::chrono::steady_clock::now();
    std::vector<Action> actions = mNode.Apply(mNow, aEvent);
    const auto end = std::chrono::steady_clock::now();
    HandleActions(actions);
    return std::chrono::duration<double, std::micro>(end - start).count();
  }

  void Apply(const Event& aEvent) { HandleActions(mNode.Apply(mNow, aEvent)); }

  /* Answers the table calls and demands of the node, and delivers its messages to itself. Answers
   * the first inventory orders, as many as there are runners, and stores the later ones. */
  void HandleActions(const std::vector<Action>& aActions)
  {
    for (const Action& action : aActions) {
      if (const auto* read = std::get_if<TableRead>(&action)) {
        ReadResult result{ .read = read->read, .hasSucceeded = true, .rows = {} };
        for (const RowKey& key : read->keys) {
          // Another daemon, d1, holds the lease of each other cell.
          Row row{ .key = key, .version = {}, .value = {} };
          if (key.str().starts_with("cell/other")) {
            row.version = { ++mLastRowVersion };
            row.value = CellLeaseRow{ .holder = { DaemonId{ "d1" }, IncarnationId{ "1" } } };
          }
          result.rows.push_back(row);
        }
        Apply(result);
      } else if (const auto* write = std::get_if<TableTransaction>(&action)) {
        TransactionResult result{ .change = write->change, .rows = {} };
        for (const RowWrite& row : write->writes) {
          result.rows.push_back({ row.key, { ++mLastRowVersion }, row.value });
        }
        Apply(result);
      } else if (const auto* order = std::get_if<SendOrder>(&action)) {
        if (order->kind != OrderKind::kInventory) {
          continue;
        }
        if (mAnsweredInventoryOrders < mFleetSize.runners) {
          ++mAnsweredInventoryOrders;
          Apply(MakeInventoryResult(*order));
        } else {
          mPendingInventoryOrders.push_back(*order);
        }
      } else if (const auto* message = std::get_if<SendMessage>(&action)) {
        mHeartbeatsSent += std::holds_alternative<HeartbeatMessage>(message->message) ? 1 : 0;
        const auto* demand = std::get_if<DemandMessage>(&message->message);
        if (demand != nullptr && message->to != DaemonId{ "d0" }) {
          Apply(MessageReceived{ { message->to, IncarnationId{ "1" } },
                                 { 1 },
                                 DemandReplyMessage{ .cell = demand->cell,
                                                     .artifact = demand->artifact,
                                                     .status = DemandStatus::kNotHolder,
                                                     .replicas = {},
                                                     .holder = DaemonId{ "d0" } } });
        } else if (message->to == DaemonId{ "d0" }) {
          Apply(
            MessageReceived{ { DaemonId{ "d0" }, IncarnationId{ "1" } }, { 1 }, message->message });
        }
      }
    }
  }

  FleetSize mFleetSize;
  Node mNode;
  TimePoint mNow{ 1h };
  std::uint64_t mLastRowVersion = 0;
  std::uint32_t mAnsweredInventoryOrders = 0;
  std::uint64_t mHeartbeatsSent = 0;
  std::vector<SendOrder> mPendingInventoryOrders;
};

/* Measures a fleet of the given size and prints a line of the table. */
void PrintRow(const char* aName, const FleetSize& aFleetSize)
{
  const std::size_t before = HeapBytes();
  NodeBenchmark bench(aFleetSize);
  const double heapMb = static_cast<double>(HeapBytes() - before) / 1e6;
  const EventCost request = bench.MeasureRequests();
  const EventCost demand = bench.MeasureDemands();
  const EventCost inventory = bench.MeasureInventories();
  const EventCost wake = bench.MeasureWakes();
  const auto heartbeats = bench.CountHeartbeatsPerSecond();
  std::printf("%-22s %7u %9u %7u %6u %7.2f %7.2f %7.2f %7.2f %8.1f %8.1f %9.1f %8lu %7.2f\n",
              aName,
              aFleetSize.members,
              aFleetSize.endpoints,
              aFleetSize.runners,
              aFleetSize.models,
              request.meanUs,
              request.p99Us,
              demand.meanUs,
              demand.p99Us,
              inventory.meanUs,
              inventory.p99Us,
              wake.meanUs,
              static_cast<unsigned long>(heartbeats),
              heapMb);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  CLI::App app{ "Measures the processing time of events and the memory of a node by fleet size." };
  CLI11_PARSE(app, aArgc, aArgv);
  std::printf("%-22s %7s %9s %7s %6s %7s %7s %7s %7s %8s %8s %9s %8s %7s\n",
              "fleet",
              "members",
              "endpoints",
              "runners",
              "models",
              "req us",
              "p99",
              "dem us",
              "p99",
              "inv us",
              "p99",
              "wake us",
              "beats/s",
              "MB");
  const FleetSize today{};
  PrintRow("today", today);
  PrintRow("members 100", { 100, 9, 9, 50, 56 });
  PrintRow("members 1100", { 1'100, 9, 9, 50, 56 });
  PrintRow("endpoints 1000", { 7, 1'000, 9, 50, 56 });
  PrintRow("endpoints 10000", { 7, 10'000, 9, 50, 56 });
  PrintRow("models 1700", { 7, 9, 9, 1'700, 2'600 });
  PrintRow("runners 64", { 7, 64, 64, 50, 56 });
  PrintRow("runners 64 models 1700", { 7, 64, 64, 1'700, 2'600 });
  PrintRow("cells 157", { 1'100, 9, 9, 50, 56, 156 });
  PrintRow("letter 1", { 1'100, 10'000, 64, 1'700, 2'600, 156 });

  const Envelope heartbeat{ .from = { DaemonId{ "daemon-0123" },
                                      IncarnationId{ "0123456789abcdef" } },
                            .senderConfigVersion = { 8'200 },
                            .message = HeartbeatMessage{ { 8'200 }, false } };
  std::printf("heartbeat: %zu bytes encoded\n", EncodeEnvelope(heartbeat).size());
  std::printf("table reads of one daemon in its first second, 1100 starting at once: %lu\n",
              static_cast<unsigned long>(CountReadsAtStart(1'100, 157)));
  return 0;
}

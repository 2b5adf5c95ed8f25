/* The memory that entries of runners take, by their size in the store. */
#include "decision/fleet/dispatcher.h"
#include "decision/fleet/runner_registry.h"
#include "platform/runner_decoder.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <malloc.h>
#include <memory>
#include <set>

namespace rhubarbtrail {

namespace {

constexpr std::size_t kRowBytes = 64U << 10U; ///< The largest row of the store.
constexpr TimePoint kNow{ 100s };

/* Returns the bytes that this process has taken from the heap. */
std::size_t HeapBytes()
{
  const auto heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
}

/* Returns different short names, as many as are asked for. */
std::string Name(std::size_t aNumber)
{
  constexpr std::string_view kDigits = "abcdefghijklmnopqrstuvwxyz0123456789";
  std::string name;
  for (std::size_t rest = aNumber + 1; rest > 0; rest /= kDigits.size()) {
    name += kDigits[rest % kDigits.size()];
  }
  return name;
}

/* A list of an entry that can be long: what is before it, one of its items, and what is behind. */
struct LongList
{
  std::string name;
  std::string begin;
  std::function<std::string(const std::string& aName)> item;
  std::string end;
};

const std::vector<LongList> kLongLists{
  { "onDisk",
    R"("models":[],"atHand":{"inMemory":[],"onDisk":[)",
    [](const std::string& aName) { return '"' + aName + '"'; },
    "]}}" },
  { "inMemory",
    R"("models":[],"atHand":{"onDisk":[],"inMemory":[)",
    [](const std::string& aName) { return '"' + aName + '"'; },
    "]}}" },
  { "models",
    R"("models":[)",
    [](const std::string& aName) { return R"({"name":")" + aName + R"("})"; },
    "]}" },
  { "models with an adapter each",
    R"("models":[)",
    [](const std::string& aName) { return R"({"name":")" + aName + R"(","adapters":["a"]})"; },
    "]}" },
  { "adapters of one model",
    R"("models":[{"name":"m","adapters":[)",
    [](const std::string& aName) { return '"' + aName + '"'; },
    "]}]}" },
  { "coming",
    R"("models":[{"name":"m","adapters":[]}],"coming":[)",
    [](const std::string& aName) { return R"("m/)" + aName + '"'; },
    "]}" },
  { "coming, long name of the model",
    R"("models":[],"coming":[)",
    [](const std::string& aName) { return '"' + std::string(2'000, 'm') + '/' + aName + '"'; },
    "]}" },
};

/* Returns an entry as large as a row that is filled by one of its lists. */
std::string OddEntry(const LongList& aList, std::string_view aService)
{
  std::string text = R"({"backend":")" + std::string{ aService } +
                     R"(","address":"10.0.0.9:80","zone":"z","version":"v1","slots":64,)"
                     R"("state":"ready","seq":4,"born":17,)" +
                     aList.begin;
  for (std::size_t number = 0; text.size() < kRowBytes - 2'100; ++number) {
    text += (number == 0 ? "" : ",") + aList.item(Name(number));
  }
  return text + aList.end;
}

std::shared_ptr<const fleet::FleetConfiguration> Configuration(MemoryMb aWeights = { 60'000 })
{
  fleet::Engine engine{ .slots = 64,
                        .cacheTokens = 10'000,
                        .weights = aWeights,
                        .adapterSlots = 32,
                        .loadsPerSecond = 1.0 };
  engine.models[ModelId{ "m" }] = {
    .id = ModelId{ "m" }, .weights = { 10'000 }, .adapterWeights = { 10 }, .adapters = 8
  };
  auto configuration = std::make_shared<fleet::FleetConfiguration>();
  configuration->services[ServiceId{ "llm" }] = { .id = ServiceId{ "llm" }, .engine = engine };
  return configuration;
}

} // namespace

/* Guards against entries that take some forty times their size: 120 of another writer, of 64 KB
 * each, ended all daemons. 200 writes a second and 3.6 s until an entry is removed make 720
 * entries, so that 4 times their size is 190 of the 256 MB that a daemon may use. */
TEST_CASE("an entry takes at most four times its size in the registry and the dispatcher")
{
  constexpr int kEntries = 20;
  for (const std::string_view service : { "llm", "other" }) {
    for (const LongList& list : kLongLists) {
      INFO(list.name << " of service " << service);
      const std::string text = OddEntry(list, service);
      REQUIRE(text.size() <= kRowBytes);
      REQUIRE(platform::DecodeRunnerEntry("i", text).has_value());
      fleet::StreamOrigins origins;
      fleet::RecordedVersions versions;
      fleet::Dispatcher dispatcher{ origins, versions };
      dispatcher.SetConfiguration(Configuration());
      fleet::RunnerRegistry registry;
      const std::size_t before = HeapBytes();
      for (int number = 0; number < kEntries; ++number) {
        const auto entry = platform::DecodeRunnerEntry("i" + std::to_string(number), text);
        dispatcher.OnRunnerEntry(kNow, *entry);
        registry.Apply(kNow, *entry);
      }
      CHECK(HeapBytes() - before <= 4 * kEntries * text.size());
    }
  }
}

/* Guards against the same for entries under keys that are never the same twice, which are kept for
 * a minute after they have expired. */
TEST_CASE("an endpoint that is gone keeps no names")
{
  const std::string text = OddEntry(kLongLists.front(), "llm");
  fleet::RunnerRegistry registry;
  registry.OnStoreReachable(kNow);
  const EndpointId id{ "i" };
  registry.Apply(kNow, *platform::DecodeRunnerEntry(id.str(), text));
  CHECK(registry.holdingsBytes() > text.size() / 2);
  registry.Remove(kNow + 1s, id);
  registry.ForgetGone(kNow + 1s);
  CHECK(registry.holdingsBytes() > text.size() / 2); // It may come back with its models.
  registry.ForgetGone(kNow + fleet::kExpiredEntryGracePeriod);
  CHECK(registry.holdingsBytes() == 0);
  CHECK(registry.Find(id) != nullptr);
  registry.ForgetGone(kNow + 2min);
  CHECK(registry.Find(id) == nullptr);
}

/* Guards against orders that follow from the first configuration but not from what was stated
 * before it: a daemon may read the entries first. */
TEST_CASE("what entries state is adopted when the configuration arrives after them")
{
  fleet::StreamOrigins origins;
  fleet::RecordedVersions versions;
  fleet::Dispatcher dispatcher{ origins, versions };
  const auto entry = platform::DecodeRunnerEntry(
    "i",
    R"({"backend":"llm","address":"10.0.0.9:80","zone":"z","version":"v1","slots":64,)"
    R"("state":"ready","models":[{"name":"m","adapters":["a1"]},{"name":"x"}],)"
    R"("coming":["m/a2@1"],"atHand":{"inMemory":["m"],"onDisk":["m","x"]}})");
  REQUIRE(entry.has_value());
  dispatcher.OnRunnerEntry(kNow, *entry);
  const fleet::ManagedRunner& runner = dispatcher.runners().at(EndpointId{ "i" });
  CHECK(runner.models.empty());
  dispatcher.SetConfiguration(Configuration());
  REQUIRE(runner.models.contains(ModelId{ "m" }));
  CHECK(runner.models.at(ModelId{ "m" }).adapters.size() == 2);
  CHECK(runner.models.contains(ModelId{ "x" })); // It takes memory although it is not named.
  CHECK(runner.onDisk == std::set{ ModelId{ "m" } });
  CHECK(runner.inHostMemory == std::set{ ModelId{ "m" } });
}

/* Guards against a runner that gets more than it has room for: of a long list the dispatcher keeps
 * a part, and the rest takes memory as well. */
TEST_CASE("a runner with more models than are kept of it is not ordered to load more than fits")
{
  constexpr std::size_t kRoom = 258; // Of models as large as the largest.
  fleet::StreamOrigins origins;
  fleet::RecordedVersions versions;
  fleet::Dispatcher dispatcher{ origins, versions };
  dispatcher.SetConfiguration(Configuration({ kRoom * 10'000 + 1'000 }));
  dispatcher.SetOrderPermission({ .mayOrder = true, .holder = "d", .fence = { 1 } });
  std::set<std::string> loaded; // None is configured, so each counts as the largest model.
  for (std::size_t number = 0; number < 300; ++number) {
    loaded.insert("x" + Name(number));
  }
  std::uint64_t orderCount = 0;
  const auto document = [&] {
    std::string text = R"({"backend":"llm","address":"10.0.0.9:80","zone":"z","version":"v1",)"
                       R"("slots":64,"state":"ready","born":17,"seq":)" +
                       std::to_string(orderCount) + R"(,"models":[)";
    for (const std::string& model : loaded) {
      text += (text.back() == '[' ? "" : ",") + (R"({"name":")" + model) + R"("})";
    }
    return text + "]}";
  };
  const EndpointId id{ "i" };
  dispatcher.OnRunnerEntry(kNow, *platform::DecodeRunnerEntry(id.str(), document()));
  for (Duration time{}; time < 60s; time += 100ms) {
    const TimePoint now = kNow + time;
    dispatcher.OnPlacementRequest(
      now,
      { .id = { .daemon = DaemonId{ "d" }, .number = 1 },
        .requestId = "1",
        .service = ServiceId{ "llm" },
        .work = { .target = { .model = ModelId{ "m" } }, .promptTokens = 100, .outputTokens = 10 },
        .latencyObjective = 60s,
        .timeLeft = 600s },
      ZoneId{ "z" });
    for (const auto& action : dispatcher.Tick(now)) {
      if (std::holds_alternative<fleet::ReportRequest>(action)) {
        const auto report = platform::DecodeRunnerReport(document());
        dispatcher.OnReport(now, id, &*report);
      } else if (const auto* order = std::get_if<fleet::RunnerOrder>(&action)) {
        ++orderCount;
        const std::string model = order->subject.model.str();
        if (order->kind == fleet::OrderKind::kLoad) {
          CHECK(loaded.size() < kRoom);
          loaded.insert(model);
        } else {
          REQUIRE(loaded.erase(model) == 1);
        }
        dispatcher.OnOrderResult(now, *order, fleet::OrderOutcome::kAccepted);
      }
    }
  }
  CHECK(loaded.contains("m"));
}

} // namespace rhubarbtrail

/* Streams that are resumed, in simulated time: only a runner of the software version that began a
 * stream may go on with it, since runners do not check that two versions' events fit together. */
#include "tests/fleet/fleet_world.h"

#include <doctest/doctest.h>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;
using namespace rhubarbtrail::fleet::test;

namespace {

const ServiceId kService{ "llm" };

StreamOrigin OriginAt(const std::string& aVersion)
{
  return { .service = kService, .version = SoftwareVersion{ aVersion } };
}

/* Gives a runner another software version, by a restart after which it holds these models again. */
void ChangeVersion(FleetWorld& aWorld,
                   std::size_t aRunner,
                   const std::string& aVersion,
                   const std::vector<std::string>& aModels)
{
  aWorld.Restart(aRunner);
  aWorld.runners[aRunner].version = aVersion;
  for (const std::string& model : aModels) {
    aWorld.runners[aRunner].models[ModelId{ model }];
  }
  aWorld.SendEntry(aRunner);
}

} // namespace

TEST_CASE("a stream is remembered for two minutes, and the oldest ones make place for others")
{
  StreamOrigins origins{ 3 };
  const TimePoint start{ 1'000s };
  origins.Record(start, { .key = { 1 }, .origin = OriginAt("v1") });
  CHECK(origins.Find(start + 120s, { 1 }) == OriginAt("v1"));
  CHECK_FALSE(origins.Find(start + 121s, { 1 }));
  CHECK_FALSE(origins.Find(start, { 2 }));
  origins.Record(start + 100s, { .key = { 1 }, .origin = OriginAt("v1") });
  CHECK(origins.Find(start + 200s, { 1 }) == OriginAt("v1"));
  for (std::uint64_t key = 2; key < 5; ++key) {
    origins.Record(start + 101s, { .key = { key }, .origin = OriginAt("v2") });
  }
  CHECK_FALSE(origins.Find(start + 102s, { 1 }));
  CHECK(origins.streams(start + 102s).size() == 3);
}

TEST_CASE("a resumed stream goes to a runner of its version, though another is less loaded")
{
  FleetWorld world({ .runners = 3, .models = 2, .modelsPerRunner = 2 });
  ChangeVersion(world, 2, "v2", { "m0", "m1" });
  world.Run(500ms);
  for (int number = 0; number < 20; ++number) {
    world.SendResumed("m0", "v2");
    world.SendResumed("m0", "v1");
  }
  world.Run(1s);
  CHECK(world.violations.empty());
  CHECK(world.CountServed() == 40);
}

TEST_CASE("a stream whose version has no usable runner is refused at once")
{
  FleetWorld world({ .runners = 2, .models = 2, .modelsPerRunner = 2 });
  const auto unknown = world.SendResumed("m0", "v0");
  world.Run(30ms);
  CHECK(world.outcomes[unknown].refusalCode == ResultCode::kStreamVersionGone);
  ChangeVersion(world, 1, "v2", { "m0", "m1" });
  world.Drain(1);
  const auto draining = world.SendResumed("m0", "v2");
  world.Run(30ms);
  CHECK(world.outcomes[draining].refusalCode == ResultCode::kStreamVersionGone);
}

/* The daemon that serves a stream tells the dispatcher of it when the first event arrives. The
 * client may be faster than that, but not by much. */
TEST_CASE("a resumed stream waits a moment for its origin, and is refused if it does not arrive")
{
  FleetWorld world({ .runners = 2, .models = 2, .modelsPerRunner = 2 });
  ChangeVersion(world, 1, "v2", { "m0", "m1" });
  world.SendRequest("m0");
  world.Run(2s); // A new dispatcher waits longer for the origins that other daemons know.
  const auto late = world.SendResumed("m0", "v2", StreamKey{ 1 });
  const auto lost = world.SendResumed("m0", "v2", StreamKey{ 2 });
  world.Run(100ms);
  CHECK_FALSE(world.outcomes[late].startedAt);
  world.streamOrigins.Record(world.now, { .key = { 1 }, .origin = OriginAt("v2") });
  world.Run(400ms);
  CHECK(world.outcomes[late].startedAt);
  CHECK(world.outcomes[lost].refusalCode == ResultCode::kStreamOriginUnknown);
  CHECK(world.violations.empty());
}

/* A report shows the restart before the entry does, and does not say which version runs now. */
TEST_CASE("a runner that restarted counts for no version until its entry arrives")
{
  FleetWorld world({ .runners = 2, .models = 2, .modelsPerRunner = 2 });
  world.Restart(1);
  world.runners[1].version = "v2";
  world.SendEntry(0);
  const RunnerReport restarted{ .startedAtMs = world.runners[1].startedAtMs,
                                .holdings = { .models =
                                                LoadedModels{ { { ModelId{ "m0" }, {} } } } } };
  world.runners[1].models[ModelId{ "m0" }];
  world.dispatcher.OnReport(world.now, EndpointId{ "r1" }, &restarted);
  world.Drain(0);
  const auto stream = world.SendResumed("m0", "v1");
  world.Run(30ms);
  CHECK(world.outcomes[stream].refusalCode == ResultCode::kStreamVersionGone);
  CHECK(world.violations.empty());
}

TEST_CASE("load: a model is loaded at the version of its stream, though another version holds it")
{
  FleetWorld world({ .runners = 3, .models = 4, .modelsPerRunner = 2 });
  ChangeVersion(world, 0, "v2", { "m0", "m1" }); // Only r0 holds m0 now.
  ChangeVersion(world, 2, "v1", { "m3" });
  world.Run(500ms);
  const auto stream = world.SendResumed("m0", "v1");
  world.Run(4s);
  CHECK(world.outcomes[stream].startedAt);
  CHECK(world.violations.empty());
}

/* Guards against streams that are refused within milliseconds, all of them assigned four times to
 * the runner that has just crashed. Load pattern: crashes beside a release. */
TEST_CASE("load: streams that a crash broke off go on at another runner of their version")
{
  for (const std::string version : { "v1", "" }) {
    FleetWorld world({ .runners = 3, .models = 4, .modelsPerRunner = 2 });
    ChangeVersion(world, 2, "v2", { "m3" });
    ChangeVersion(world, 1, "v1", { "m2" }); // Only r0 holds m0 now.
    world.Run(500ms);
    world.unreachableRunners.insert("r0");
    for (int number = 0; number < 12; ++number) {
      version.empty() ? world.SendRequest("m0") : world.SendResumed("m0", version);
    }
    world.Run(4s);
    CHECK(world.CountServed() == 12);
    CHECK(world.violations.empty());
  }
}

/* A daemon may be cut off from a runner that others reach. */
TEST_CASE("a runner that answers again gets requests at once")
{
  FleetWorld world({ .runners = 1, .models = 2, .modelsPerRunner = 2 });
  world.Run(500ms);
  world.unreachableRunners.insert("r0");
  const auto lost = world.SendRequest("m0");
  world.Run(50ms);
  CHECK_FALSE(world.outcomes[lost].startedAt);
  world.unreachableRunners.clear();
  world.Run(500ms); // A report is asked for every 400 ms.
  CHECK(world.outcomes[lost].startedAt);
}

/* Otherwise a broken stream and a new request for its model would unload two models for one. */
TEST_CASE("load: one replica is loaded for a resumed stream and new requests of its version")
{
  FleetWorld world({ .runners = 3, .models = 8, .modelsPerRunner = 2 });
  const auto stream = world.SendResumed("m7", "v1");
  const auto request = world.SendRequest("m7");
  world.Run(4s);
  CHECK(world.outcomes[stream].startedAt);
  CHECK(world.outcomes[request].startedAt);
  CHECK(world.CountReplicas("m7") == 1);
}

/* Otherwise a broken stream would weigh as little as a single request when a replica is planned,
 * and the requests that wait beside it too. The store takes long, so few waiting requests are not
 * enough.
 */
TEST_CASE("load: while there is one version, resumed streams and new requests add up as demand")
{
  FleetWorld world({ .runners = 1,
                     .models = 12,
                     .modelsPerRunner = 2,
                     .storeLoadTime = 4s,
                     .areAllModelsOnDisk = false });
  for (int step = 0; step < 40; ++step) {
    world.SendRequest(step % 2 == 0 ? "m0" : "m1");
    world.Run(50ms);
  }
  for (int number = 0; number < 4; ++number) {
    world.SendResumed("m9", "v1");
    world.SendRequest("m9");
  }
  world.Run(3s);
  CHECK(world.startedStoreLoads == 1);
}

/* Load pattern: a version joins while the lease row cannot name it yet. If the daemons were all
 * restarted then, they would not know that it began streams. */
TEST_CASE("load: a resumable stream waits until the lease row names the version of its runner")
{
  FleetWorld world({ .runners = 2, .models = 2, .modelsPerRunner = 1 });
  ChangeVersion(world, 1, "v2", { "m1" });
  world.Run(500ms);
  world.recordedVersions.Set({ { kService, { SoftwareVersion{ "v1" } } } });
  const auto makeResumable = [](PlacementRequest& aRequest) { aRequest.isResumable = true; };
  const auto resumable = world.SendRequest("m1", {}, 1, 20s, makeResumable);
  const auto plain = world.SendRequest("m1");
  const auto resumed = world.SendResumed("m1", "v2");
  world.Run(200ms);
  CHECK_FALSE(world.outcomes[resumable].startedAt);
  CHECK(world.outcomes[plain].startedAt);
  CHECK(world.outcomes[resumed].startedAt);
  world.recordedVersions.Set(
    { { kService, { SoftwareVersion{ "v1" }, SoftwareVersion{ "v2" } } } });
  world.Run(200ms);
  CHECK(world.outcomes[resumable].startedAt);
}

TEST_CASE("random restarts with other versions and new dispatchers never mix versions in a stream")
{
  constexpr int kSeeds = 300;
  std::size_t started = 0;
  TraceDigest trace;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    FleetWorld world({ .runners = 5,
                       .models = 6,
                       .modelsPerRunner = 2,
                       .seed = static_cast<std::uint32_t>(seed) });
    const auto draw = [&](std::uint64_t aCount) {
      return std::uniform_int_distribution<std::uint64_t>{ 0, aCount - 1 }(world.random);
    };
    const auto drawVersion = [&] { return "v" + std::to_string(1 + draw(3)); };
    for (int step = 0; step < 120; ++step) {
      const std::string model = "m" + std::to_string(draw(6));
      const std::size_t runner = draw(world.runners.size());
      switch (draw(10)) {
        case 0:
          world.Restart(runner);
          world.runners[runner].version = drawVersion();
          break;
        case 1:
          world.SendEntry(runner);
          break;
        case 2:
          world.Drain(runner);
          break;
        case 3:
          if (draw(8) == 0) {
            world.ReplaceDispatcher();
          }
          break;
        case 4:
        case 5:
          world.SendRequest(model);
          break;
        case 6: {
          const StreamKey key{ 1 + draw(1'000'000) };
          const std::string version = drawVersion();
          world.SendResumed(model, version, key, 5s);
          if (draw(2) == 0) {
            world.Run(std::chrono::milliseconds{ draw(300) });
            world.streamOrigins.Record(world.now, { .key = key, .origin = OriginAt(version) });
          }
          break;
        }
        default:
          world.SendResumed(model, drawVersion(), std::nullopt, 5s);
          break;
      }
      world.Run(50ms);
    }
    REQUIRE(world.violations.empty());
    started += world.CountServed();
    world.AddTo(trace);
  }
  CHECK(started > 1'000);
  CHECK(trace.value() == 0x454b'4f1c'1168'05bf);
}

/* The policies on the path of a request: next step after an attempt, retry share, crash guard,
 * endpoint health, choice of an endpoint, prompt cache estimate and route match. */
#include "decision/fleet/attempt_policy.h"
#include "decision/fleet/crash_guard.h"
#include "decision/fleet/endpoint_health.h"
#include "decision/fleet/fleet_configuration_type.h"
#include "decision/fleet/prompt_cache.h"
#include "decision/fleet/retry_share.h"
#include "decision/fleet/runner_registry.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

const TimePoint kStart{ 1'000s };
const ServiceId kService{ "plain" };

RunnerEntry EntryOf(const char* aId, RunnerState aState = RunnerState::kReady)
{
  return { .id = EndpointId{ aId },
           .service = kService,
           .zone = ZoneId{ "a" },
           .address = "10.0.0.1:1",
           .state = aState };
}

std::optional<EndpointId> Choose(const RunnerRegistry& aRegistry, TimePoint aNow)
{
  return aRegistry.Choose(aNow, { .service = kService, .zone = ZoneId{ "a" } });
}

ModelWork WorkOf(const char* aModel, std::vector<PromptPart> aParts)
{
  return { .target = { .model = ModelId{ aModel }, .adapter = {} },
           .promptTokens = 100,
           .outputTokens = 10,
           .parts = std::move(aParts) };
}

} // namespace

// A request on a non-idempotent route must not be sent again if it may have run, or it could run
// twice. Other requests must not fail while they may be sent again.
TEST_CASE("the next step after an attempt, by its result and the kind of route")
{
  using enum AttemptEnd;
  using enum NextStep;
  struct Case
  {
    const char* name;
    AttemptState state;
    AttemptEnd end;
    NextStep step;
  };
  const AttemptState nonIdempotent{ .runs = 1, .maxAttempts = 2, .timeLeft = 1s };
  const AttemptState idempotent{
    .runs = 1, .maxAttempts = 2, .kind = RouteKind::kIdempotent, .timeLeft = 1s
  };
  const AttemptState resumable{
    .runs = 1, .maxAttempts = 2, .kind = RouteKind::kStream, .isResumable = true, .timeLeft = 1s
  };
  const auto with = [](AttemptState aState, auto aChange) {
    aChange(aState);
    return aState;
  };
  const std::vector<Case> cases{
    { "answered", nonIdempotent, kAnswered, kForwardAnswer },
    { "not sent, first time", with(nonIdempotent, [](auto& s) { s.runs = 0; }), kNotSent, kRetry },
    { "not run, first time", with(nonIdempotent, [](auto& s) { s.runs = 0; }), kNotRun, kRetry },
    { "not run, many times",
      with(nonIdempotent,
           [](auto& s) {
             s.runs = 0;
             s.refusals = 4;
           }),
      kNotRun,
      kRefuse },
    { "not run after a run, many times",
      with(idempotent, [](auto& s) { s.refusals = 4; }),
      kNotRun,
      kFail },
    { "lost, non-idempotent", nonIdempotent, kLost, kFail },
    { "error answer, non-idempotent", nonIdempotent, kErrorAnswer, kForwardAnswer },
    { "lost, idempotent", idempotent, kLost, kRetry },
    { "error answer, idempotent", idempotent, kErrorAnswer, kRetry },
    { "lost, idempotent, no attempts left",
      with(idempotent, [](auto& s) { s.runs = 2; }),
      kLost,
      kFail },
    { "lost, idempotent, no time left",
      with(idempotent, [](auto& s) { s.timeLeft = 5ms; }),
      kLost,
      kFail },
    { "lost, quarantined",
      with(idempotent, [](auto& s) { s.isQuarantined = true; }),
      kLost,
      kFail },
    { "broken off, non-idempotent", nonIdempotent, kBrokenOff, kBreakOffAnswer },
    { "broken off, resumable", resumable, kBrokenOff, kRetry },
    { "broken off, resumable, no attempts left",
      with(resumable, [](auto& s) { s.runs = 2; }),
      kBrokenOff,
      kBreakOffAnswer },
  };
  for (const Case& row : cases) {
    INFO(row.name);
    CHECK(DecideNextStep(row.state, row.end) == row.step);
  }
}

// Guards against giving up an answer that a silent endpoint would still finish, for an attempt that
// must not be made.
TEST_CASE("a request leaves a silent endpoint only for an attempt that may be made")
{
  const AttemptState resumable{
    .maxAttempts = 2, .kind = RouteKind::kStream, .isResumable = true, .timeLeft = 1s
  };
  CHECK(MayMoveAttempt(resumable));
  for (const auto& change : std::vector<std::function<void(AttemptState&)>>{
         [](auto& s) { s.runs = 1; }, // The attempt at the silent endpoint is the last one.
         [](auto& s) { s.isResumable = false; },
         [](auto& s) { s.isQuarantined = true; },
         [](auto& s) { s.timeLeft = 10ms; },
         [](auto& s) {
           s.kind = RouteKind::kNonIdempotent;
           s.isResumable = false;
         } }) {
    AttemptState state = resumable;
    change(state);
    CHECK_FALSE(MayMoveAttempt(state));
  }
}

// A refusal tells the client that its request has not run, so the client may send it again. After a
// false refusal, the request could run twice.
TEST_CASE("a request is refused only if no attempt may have run")
{
  for (std::uint32_t runs = 0; runs <= 3; ++runs) {
    for (std::uint32_t refusals = 0; refusals <= 6; ++refusals) {
      for (const RouteKind kind :
           { RouteKind::kIdempotent, RouteKind::kNonIdempotent, RouteKind::kStream }) {
        for (int end = 0; end <= static_cast<int>(AttemptEnd::kBrokenOff); ++end) {
          const AttemptState state{
            .runs = runs, .refusals = refusals, .maxAttempts = 2, .kind = kind, .timeLeft = 1s
          };
          if (DecideNextStep(state, static_cast<AttemptEnd>(end)) == NextStep::kRefuse) {
            CHECK(runs == 0);
          }
        }
      }
    }
  }
}

// The share is counted in slices of 1 s. Windows that begin anywhere, here every 500 ms, must stay
// within it, too. The daemon's part of the slack is 50 retries / 10 daemons.
TEST_CASE("retries stay within the share in every window")
{
  FleetSize fleetSize;
  RetryShare share{ fleetSize };
  share.SetOptions({ .ratio = 0.2, .slack = 50.0, .window = 10s });
  share.Start(kStart - 60s);
  TimePoint now = kStart;
  std::vector<TimePoint> requests;
  std::vector<TimePoint> retries;
  for (int step = 0; step < 6'000; ++step) { // 60 s with more retries wanted than allowed.
    now += 10ms;
    fleetSize.Record(now, 10);
    if (step % 4 == 0) {
      share.RecordRequest(now, kService);
      requests.push_back(now);
    }
    if (share.TakeRetry(now, kService)) {
      retries.push_back(now);
    }
  }
  const auto within = [](const std::vector<TimePoint>& aTimes, TimePoint aFrom) {
    return std::count_if(aTimes.begin(), aTimes.end(), [&](TimePoint aTime) {
      return aTime >= aFrom && aTime < aFrom + 10s;
    });
  };
  for (TimePoint from = kStart; from < now - 10s; from += 500ms) {
    const auto allowed = 0.2 * static_cast<double>(within(requests, from)) + 5.0;
    CHECK(static_cast<double>(within(retries, from)) <= allowed);
  }
  CHECK(retries.size() > 200);
}

TEST_CASE("a request is quarantined after three crashes, and an answer ends the quarantine")
{
  CrashGuard guard;
  const FingerprintId suspect{ "k" };
  const EndpointProcess first{ .endpoint = EndpointId{ "r1" }, .startedAtMs = 1 };
  const EndpointProcess restarted{ .endpoint = EndpointId{ "r1" }, .startedAtMs = 2 };
  const EndpointProcess other{ .endpoint = EndpointId{ "r2" }, .startedAtMs = 1 };
  guard.RecordCrash(kStart, suspect, first);
  guard.RecordCrash(kStart + 1s, suspect, restarted);
  for (int copy = 0; copy < 5; ++copy) {
    guard.RecordCrash(kStart + 1s, suspect, restarted); // Other requests with the same bytes.
  }
  CHECK_FALSE(guard.IsQuarantined(kStart + 1s, suspect));
  guard.RecordCrash(kStart + 2s, suspect, other);
  CHECK(guard.IsQuarantined(kStart + 2s, suspect));
  CHECK_FALSE(guard.IsQuarantined(kStart + 2s, FingerprintId{ "other" }));
  CHECK(guard.IsQuarantined(kStart + 2s + kQuarantineLifetime, suspect));
  CHECK_FALSE(guard.IsQuarantined(kStart + 3s + kQuarantineLifetime, suspect));
  guard.RecordAnswer(suspect);
  CHECK_FALSE(guard.IsQuarantined(kStart + 2s, suspect));
}

// Load pattern: clients repeat a request that crashes runners, at all daemons, for as long as it is
// refused. Guards against six tries and three crashes each minute.
TEST_CASE("load: a crashing request that keeps coming reaches runners in two trials at most")
{
  constexpr std::size_t kDaemons = 8;
  std::vector<CrashGuard> guards(kDaemons);
  const FingerprintId suspect{ "k" };
  std::int64_t crashes = 0;
  int runsInQuarantine = 0;
  for (Duration time{}; time < 50min; time += 500ms) {
    const TimePoint now = kStart + time;
    const std::size_t daemon = static_cast<std::size_t>(time / 500ms) % kDaemons;
    const bool isDispatcher = daemon == 0;
    const bool isQuarantined = guards[daemon].IsQuarantined(now, suspect);
    if (isQuarantined && !(isDispatcher && guards[daemon].StartTrial(now, suspect))) {
      continue;
    }
    runsInQuarantine += isQuarantined ? 1 : 0;
    ++crashes;
    for (CrashGuard& guard : guards) {
      guard.RecordCrash(now, suspect, { .endpoint = EndpointId{ "r" }, .startedAtMs = crashes });
    }
  }
  CHECK(runsInQuarantine == 2);
  CHECK(crashes == 5);
}

TEST_CASE("a quarantined request that is sound after all is served again after its trial")
{
  CrashGuard guard;
  const FingerprintId suspect{ "k" };
  for (std::int64_t crash = 1; crash <= 3; ++crash) {
    guard.RecordCrash(kStart, suspect, { .endpoint = EndpointId{ "r" }, .startedAtMs = crash });
  }
  CHECK_FALSE(guard.StartTrial(kStart + 59s, suspect));
  CHECK(guard.StartTrial(kStart + 60s, suspect));
  CHECK_FALSE(guard.StartTrial(kStart + 61s, suspect));
  CHECK(guard.RecordAnswer(suspect));
  CHECK_FALSE(guard.IsQuarantined(kStart + 62s, suspect));
  CHECK_FALSE(guard.StartTrial(kStart + 62s, suspect)); // It needs none.
}

// An endpoint may pass its own health check and still fail requests. Some failures are normal and
// must not take an endpoint out of use.
TEST_CASE("an endpoint that fails 4 of 10 requests is avoided, one that fails 1 of 10 is not")
{
  for (const int failures : { 1, 4 }) {
    EndpointHealth health;
    TimePoint now = kStart;
    int avoidedSteps = 0;
    for (int step = 0; step < 500; ++step) {
      now += 50ms;
      health.Record(now,
                    step % 10 < failures ? EndpointOutcome::kFailed : EndpointOutcome::kSucceeded);
      avoidedSteps += health.IsAvoided(now) ? 1 : 0;
    }
    INFO(failures, " of 10");
    CHECK((avoidedSteps > 50) == (failures == 4));
  }
}

// Only new requests can show that the endpoint has recovered. It is avoided for at most 4 s.
TEST_CASE("an avoided endpoint gets requests again after a time")
{
  EndpointHealth health;
  for (int failure = 0; failure < 10; ++failure) {
    health.Record(kStart, EndpointOutcome::kFailed);
  }
  CHECK(health.IsAvoided(kStart + 100ms));
  CHECK_FALSE(health.IsAvoided(kStart + 5s));
}

// During an outage, endpoints cannot renew their entries, although they still serve. If expired
// entries counted at once, requests would find no endpoint. Entries return within about 2 s after
// the outage, and the grace period is 2.3 s.
TEST_CASE("an entry that expires during a store outage is kept for a grace period after the outage")
{
  RunnerRegistry registry;
  registry.Apply(kStart, EntryOf("r1"));
  registry.OnStoreUnreachable(kStart);
  registry.Remove(kStart + 1s, EndpointId{ "r1" });
  CHECK(Choose(registry, kStart + 60s).has_value());
  registry.OnStoreReachable(kStart + 60s);
  CHECK(Choose(registry, kStart + 61s).has_value());
  CHECK_FALSE(Choose(registry, kStart + 63s).has_value());
}

TEST_CASE("an endpoint whose entry is removed without a store outage is gone at once")
{
  RunnerRegistry registry;
  registry.Apply(kStart, EntryOf("r1"));
  registry.Remove(kStart + 10s, EndpointId{ "r1" });
  CHECK_FALSE(Choose(registry, kStart + 10s).has_value());
  CHECK(registry.Apply(kStart + 11s, EntryOf("r1")) == RunnerRegistry::Change::kUpdated);
  CHECK(Choose(registry, kStart + 11s).has_value());
}

// Guards against requests to an endpoint that has left: any failed call to the store took back all
// removals of the last minute.
TEST_CASE("an endpoint that was gone before a store outage stays gone")
{
  RunnerRegistry registry;
  registry.Apply(kStart, EntryOf("r1"));
  registry.Remove(kStart + 10s, EndpointId{ "r1" });
  registry.OnStoreUnreachable(kStart + 11s);
  CHECK_FALSE(Choose(registry, kStart + 12s).has_value());
  registry.OnStoreReachable(kStart + 15s);
  CHECK_FALSE(Choose(registry, kStart + 15s).has_value());

  registry.Apply(kStart + 20s, EntryOf("r1"));
  registry.OnStoreUnreachable(kStart + 21s);
  registry.OnStoreReachable(kStart + 22s);
  registry.Remove(kStart + 22s, EndpointId{ "r1" });
  CHECK(Choose(registry, kStart + 23s).has_value());
  registry.OnStoreUnreachable(kStart + 23s); // The entry has not had time to return.
  CHECK(Choose(registry, kStart + 24s).has_value());
  registry.OnStoreReachable(kStart + 25s);
  CHECK_FALSE(Choose(registry, kStart + 28s).has_value());
  registry.OnStoreUnreachable(kStart + 29s);
  CHECK_FALSE(Choose(registry, kStart + 30s).has_value());
  registry.Apply(kStart + 31s, EntryOf("r1"));
  CHECK(Choose(registry, kStart + 31s).has_value());
}

TEST_CASE("a draining endpoint gets no requests, and a restart is distinguished from an update")
{
  RunnerRegistry registry;
  CHECK(registry.Apply(kStart, EntryOf("r1")) == RunnerRegistry::Change::kJoined);
  CHECK(registry.Apply(kStart, EntryOf("r1", RunnerState::kDraining)) ==
        RunnerRegistry::Change::kLeaving);
  CHECK_FALSE(Choose(registry, kStart).has_value());
  RunnerEntry restarted = EntryOf("r1");
  restarted.startedAtMs = 5;
  CHECK(registry.Apply(kStart, restarted) == RunnerRegistry::Change::kRestarted);
  CHECK(Choose(registry, kStart).has_value());
}

// The store may perform a heartbeat seconds late, over a newer entry. Taken for the present one, it
// makes a leaving endpoint ready again, or brings a former process back.
TEST_CASE("an entry that was written before the known one of its endpoint is superseded")
{
  RunnerRegistry registry;
  const auto entry = [](std::int64_t aStartedAtMs, std::uint64_t aWrite, RunnerState aState) {
    RunnerEntry result = EntryOf("r1", aState);
    result.startedAtMs = aStartedAtMs;
    result.writeNumber = aWrite;
    return result;
  };
  CHECK_FALSE(registry.IsSuperseded(kStart, entry(5, 3, RunnerState::kReady)));
  registry.Apply(kStart, entry(5, 3, RunnerState::kReady));
  CHECK_FALSE(registry.IsSuperseded(kStart, entry(5, 3, RunnerState::kReady)));
  registry.Apply(kStart, entry(5, 5, RunnerState::kDraining));
  CHECK(registry.IsSuperseded(kStart, entry(5, 4, RunnerState::kReady)));
  CHECK(registry.IsSuperseded(kStart, entry(4, 9, RunnerState::kReady)));
  CHECK(registry.IsSuperseded(kStart, entry(0, 0, RunnerState::kReady)));
  CHECK_FALSE(registry.IsSuperseded(kStart, entry(5, 6, RunnerState::kReady)));
  CHECK_FALSE(registry.IsSuperseded(kStart, entry(6, 1, RunnerState::kReady)));
  SUBCASE("also while the endpoint has no entry")
  {
    registry.Remove(kStart, EndpointId{ "r1" });
    CHECK(registry.IsSuperseded(kStart, entry(5, 4, RunnerState::kReady)));
  }
  SUBCASE("and heartbeats that only raise the number are no change")
  {
    CHECK(registry.Apply(kStart, entry(5, 6, RunnerState::kDraining)) ==
          RunnerRegistry::Change::kHoldings);
  }
}

TEST_CASE("entries without numbers of writes are superseded only after the store was restored")
{
  RunnerRegistry registry;
  registry.Apply(kStart, EntryOf("r1", RunnerState::kDraining));
  CHECK_FALSE(registry.IsSuperseded(kStart, EntryOf("r1")));
  registry.OnStoreRestored(kStart);
  CHECK(registry.IsSuperseded(kStart, EntryOf("r1")));
  CHECK_FALSE(registry.IsSuperseded(kStart + kExpiredEntryGracePeriod, EntryOf("r1")));
}

TEST_CASE("the less loaded endpoint is chosen, and an avoided one only if there is no other")
{
  RunnerRegistry registry;
  registry.Apply(kStart, EntryOf("r1"));
  registry.Apply(kStart, EntryOf("r2"));
  registry.RecordLoad(kStart, EndpointId{ "r1" }, { .running = 5, .waiting = 0, .slots = 6 });
  CHECK(Choose(registry, kStart) == EndpointId{ "r2" });
  for (int failure = 0; failure < 5; ++failure) {
    registry.RecordRequestEnd(kStart, EndpointId{ "r2" }, EndpointOutcome::kFailed);
  }
  CHECK(Choose(registry, kStart) == EndpointId{ "r1" });
  registry.Apply(kStart, EntryOf("r1", RunnerState::kDraining));
  CHECK(Choose(registry, kStart) == EndpointId{ "r2" });
}

// Runners reuse a prompt only from its beginning. A part that counts wrongly makes a runner look
// faster than it is.
TEST_CASE("a cached prompt part counts only if all parts before it are cached for the same model")
{
  PromptCache cache;
  cache.SetCapacity(1'000);
  cache.Record(WorkOf("m0", { { 1, 100 }, { 2, 50 } }), 100);
  CHECK(cache.CachedTokens(WorkOf("m0", { { 1, 100 }, { 2, 50 }, { 3, 10 } })) == 150);
  CHECK(cache.CachedTokens(WorkOf("m0", { { 2, 50 } })) == 0);
  CHECK(cache.CachedTokens(WorkOf("m1", { { 1, 100 } })) == 0);
  cache.RemoveModel(ModelId{ "m0" });
  CHECK(cache.CachedTokens(WorkOf("m0", { { 1, 100 } })) == 0);
}

TEST_CASE("the least recently used prompt parts are evicted")
{
  PromptCache cache;
  cache.SetCapacity(250);
  cache.Record(WorkOf("m0", { { 1, 100 } }), 100);
  cache.Record(WorkOf("m0", { { 2, 100 } }), 100);
  cache.Record(WorkOf("m0", { { 1, 100 } }), 100);
  cache.Record(WorkOf("m0", { { 3, 100 } }), 100);
  CHECK(cache.CachedTokens(WorkOf("m0", { { 1, 100 } })) == 100);
  CHECK(cache.CachedTokens(WorkOf("m0", { { 2, 100 } })) == 0);
}

// A dispatcher that keeps an entry for each part that any client names ends by its memory.
TEST_CASE("the parts that are kept of prompts are limited, whatever their tokens")
{
  PromptCache cache;
  cache.SetCapacity(100'000);
  std::uint64_t id = 0;
  for (int request = 0; request < 1'000; ++request) {
    std::vector<PromptPart> parts;
    for (int part = 0; part < 100; ++part) {
      parts.push_back({ .id = ++id, .tokens = 0 });
    }
    cache.Record(WorkOf("m0", parts), 5'000);
  }
  CHECK(cache.partCount() == 0);
  for (int request = 0; request < 100'000; ++request) {
    cache.Record(WorkOf("m0", { { .id = ++id, .tokens = 1 } }), 5'000);
  }
  CHECK(cache.partCount() == 5'000);
  // Parts without tokens change nothing for those around them.
  cache.Record(WorkOf("m0", { { 1, 100 }, { 2, 0 }, { 3, 50 } }), 5'000);
  CHECK(cache.CachedTokens(WorkOf("m0", { { 1, 100 }, { 2, 0 }, { 3, 50 } })) == 150);
  CHECK(cache.CachedTokens(WorkOf("m0", { { 1, 100 }, { 3, 50 } })) == 100);
}

TEST_CASE("the route with the longest matching prefix of the host is chosen")
{
  FleetConfiguration configuration;
  configuration.routesByHost["h"] = { { .name = "long", .prefix = "/a/b/" },
                                      { .name = "short", .prefix = "/a/" } };
  REQUIRE(configuration.Match("h", "/a/b/c") != nullptr);
  CHECK(configuration.Match("h", "/a/b/c")->name == "long");
  CHECK(configuration.Match("h", "/a/x")->name == "short");
  CHECK(configuration.Match("h", "/b/") == nullptr);
  CHECK(configuration.Match("other", "/a/") == nullptr);
}

// The dispatcher relays changes of runners to all daemons. What runners hold changes at each order;
// if these changes were relayed too, they would fill the dispatcher's link and delay its replies.
TEST_CASE("an entry that differs only in what the runner holds is told from other changes")
{
  RunnerRegistry registry;
  RunnerEntry entry = EntryOf("r1");
  registry.Apply(kStart, entry);
  entry.holdings.models = LoadedModels{ { { ModelId{ "m1" }, {} } } };
  CHECK(registry.Apply(kStart, entry) == RunnerRegistry::Change::kHoldings);
  entry.timeUntilStop = 5s;
  CHECK(registry.Apply(kStart, entry) == RunnerRegistry::Change::kUpdated);
  registry.Remove(kStart, EndpointId{ "r1" });
  CHECK(registry.Apply(kStart, entry) == RunnerRegistry::Change::kUpdated);
}

// A stream whose origin no daemon knows may be resumed only if a single version can have begun it.
TEST_CASE("the only version of a service is known unless another one was there a short time ago")
{
  const auto entryAt = [](const char* aId, const char* aVersion, std::int64_t aStartedAtMs = 1) {
    RunnerEntry entry = EntryOf(aId);
    entry.softwareVersion = SoftwareVersion{ aVersion };
    entry.startedAtMs = aStartedAtMs;
    return entry;
  };
  RunnerRegistry registry;
  CHECK_FALSE(registry.OnlyVersion(kStart, kService));
  registry.Apply(kStart, entryAt("r1", "v1"));
  registry.Apply(kStart, entryAt("r2", "v1"));
  CHECK(registry.OnlyVersion(kStart, kService) == SoftwareVersion{ "v1" });
  CHECK_FALSE(registry.OnlyVersion(kStart, ServiceId{ "other" }));

  registry.Apply(kStart, entryAt("r3", "v2"));
  CHECK_FALSE(registry.OnlyVersion(kStart, kService));
  CHECK(registry.HasUsable(kStart, { .service = kService, .version = SoftwareVersion{ "v2" } }));
  registry.Remove(kStart + 1s, EndpointId{ "r3" });
  CHECK_FALSE(
    registry.HasUsable(kStart + 1s, { .service = kService, .version = SoftwareVersion{ "v2" } }));
  CHECK_FALSE(registry.OnlyVersion(kStart + 121s, kService));
  CHECK(registry.OnlyVersion(kStart + 122s, kService) == SoftwareVersion{ "v1" });

  registry.Apply(kStart + 200s, entryAt("r1", "v3", 2));
  registry.Apply(kStart + 200s, entryAt("r2", "v3", 2));
  CHECK_FALSE(registry.OnlyVersion(kStart + 200s, kService));
  CHECK(registry.OnlyVersion(kStart + 321s, kService) == SoftwareVersion{ "v3" });

  // A daemon that starts knows no former version by itself.
  RunnerRegistry started;
  started.Apply(kStart, entryAt("r1", "v1"));
  started.RecordVersions(kStart, { { kService, { SoftwareVersion{ "v1" } } } });
  CHECK(started.OnlyVersion(kStart, kService) == SoftwareVersion{ "v1" });
  started.RecordVersions(kStart, { { kService, { SoftwareVersion{ "v2" } } } });
  CHECK_FALSE(started.OnlyVersion(kStart, kService));
}

TEST_CASE("an endpoint of another version is not chosen for a stream that is resumed")
{
  RunnerRegistry registry;
  RunnerEntry entry = EntryOf("r1");
  entry.softwareVersion = SoftwareVersion{ "v1" };
  registry.Apply(kStart, entry);
  const SoftwareVersion other{ "v2" };
  const SoftwareVersion same{ "v1" };
  const auto choose = [&](const SoftwareVersion& aVersion) {
    return registry.Choose(
      kStart, { .service = kService, .zone = ZoneId{ "a" }, .softwareVersion = &aVersion });
  };
  CHECK_FALSE(choose(other));
  CHECK(choose(same) == EndpointId{ "r1" });
}

// Such an endpoint may serve on for seconds and never write that it drains, and a late entry may
// still call it ready. Requests that are sent there after the drain time are lost.
TEST_CASE("an endpoint that says it is leaving gets no requests until another process is there")
{
  RunnerRegistry registry;
  RunnerEntry entry = EntryOf("r1");
  entry.startedAtMs = 7;
  registry.Apply(kStart, entry);
  CHECK_FALSE(registry.RecordLeaving(EndpointId{ "r1" }, 6)); // An answer of a former process.
  CHECK_FALSE(registry.RecordLeaving(EndpointId{ "r2" }, 7));
  CHECK(Choose(registry, kStart) == EndpointId{ "r1" });
  CHECK(registry.RecordLeaving(EndpointId{ "r1" }, 7));
  CHECK_FALSE(registry.RecordLeaving(EndpointId{ "r1" }, 7));
  CHECK_FALSE(Choose(registry, kStart));
  registry.Apply(kStart + 1s, entry);
  CHECK_FALSE(Choose(registry, kStart + 1s));
  entry.startedAtMs = 8;
  registry.Apply(kStart + 2s, entry);
  CHECK(Choose(registry, kStart + 2s) == EndpointId{ "r1" });
}

// A request that reaches such an endpoint before the end of its pause adds to its overload.
TEST_CASE("an endpoint is not chosen during the pause that it asked for, and a restart ends it")
{
  const RunnerRegistry::EndpointQuery query{ .service = kService, .zone = ZoneId{ "a" } };
  RunnerRegistry registry;
  RunnerEntry entry = EntryOf("r1");
  entry.startedAtMs = 7;
  registry.Apply(kStart, entry);
  CHECK_FALSE(registry.EarliestPauseEnd(kStart, query));
  CHECK_FALSE(registry.RecordPause(kStart, EndpointId{ "r1" }, 6, 2s));
  CHECK(registry.RecordPause(kStart, EndpointId{ "r1" }, 7, 2s));
  CHECK_FALSE(registry.RecordPause(kStart, EndpointId{ "r1" }, 7, 1s)); // Ends no pause early.
  CHECK_FALSE(Choose(registry, kStart + 1'999ms));
  CHECK(Choose(registry, kStart + 2s) == EndpointId{ "r1" });
  CHECK(registry.EarliestPauseEnd(kStart, query) == kStart + 2s);
  CHECK_FALSE(registry.EarliestPauseEnd(kStart + 2s, query));

  registry.Apply(kStart, EntryOf("r2"));
  CHECK_FALSE(registry.EarliestPauseEnd(kStart, query)); // r2 is not paused.
  CHECK(registry.RecordPause(kStart, EndpointId{ "r2" }, 0, 5s));
  CHECK(registry.EarliestPauseEnd(kStart, query) == kStart + 2s);

  CHECK(registry.PausedRunners(kStart + 3s, kService) ==
        std::vector<PausedRunner>{ { .runner = EndpointId{ "r2" }, .timeLeft = 2s } });
  CHECK(registry.PausedRunners(kStart + 5s, kService).empty());

  entry.startedAtMs = 8;
  registry.Apply(kStart + 1s, entry);
  CHECK(Choose(registry, kStart + 1s) == EndpointId{ "r1" });
}

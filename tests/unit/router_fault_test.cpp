/* The results of requests and the state of the router under faults of endpoints, runners and cell
 * holders. */
#include "tests/unit/router_world.h"

#include <doctest/doctest.h>

using namespace rhubarbtrail;
using namespace rhubarbtrail::test;

namespace {

RequestArrived AtMostOnce(const char* aKey)
{
  return { .key = IdempotencyKey{ aKey } };
}

} // namespace

// An at-most-once request must not be repeated if its first attempt may have run: the client gets
// code 3101, outcome unknown. Otherwise a failed attempt is repeated, except after a rejection.
TEST_CASE("each outcome of a first attempt leads to the right result code and number of attempts")
{
  struct Case
  {
    const char* name;
    AttemptOutcome first;
    bool isAtMostOnce;
    int code;
    std::size_t starts;
  };
  using enum AttemptOutcome;
  const std::vector<Case> cases{
    { "completed", kCompleted, false, 1000, 1 },
    { "completed, at most once", kCompleted, true, 1000, 1 },
    { "not connected", kNotConnected, false, 1000, 2 },
    { "not connected, at most once", kNotConnected, true, 1000, 2 },
    { "not run", kNotRun, false, 1000, 2 },
    { "not run, at most once", kNotRun, true, 1000, 2 },
    { "incomplete", kIncomplete, false, 1000, 2 },
    { "incomplete, at most once", kIncomplete, true, 3101, 1 },
    { "timed out", kTimedOut, false, 1000, 2 },
    { "timed out, at most once", kTimedOut, true, 3101, 1 },
    { "answer to another request", kForeignAnswer, false, 1000, 2 },
    { "answer to another request, at most once", kForeignAnswer, true, 3101, 1 },
    { "rejected", kRejected, false, 3103, 1 },
    { "rejected, at most once", kRejected, true, 3101, 1 },
    { "crashed", kCrashed, false, 1000, 2 },
    { "crashed, at most once", kCrashed, true, 3101, 1 },
  };
  for (const Case& row : cases) {
    INFO(row.name);
    World world({ .runners = 2 });
    world.endOfAttempt = [&](const StartedAttempt& aStarted) {
      const bool isFirst = aStarted.attempt.attempt.value == 1;
      return std::optional{ SimulatedEnd{ isFirst ? row.first : kCompleted, 10ms } };
    };
    const RequestId request =
      world.SendRequest(row.isAtMostOnce ? AtMostOnce("k") : RequestArrived{});
    world.Run(20s);
    CHECK(world.CodeOf(request) == row.code);
    CHECK(world.CountStarts(request) == row.starts);
    if (row.isAtMostOnce) {
      REQUIRE(world.ClaimOf("k") != nullptr);
      CHECK(world.ClaimOf("k")->state ==
            (row.code == 1000 ? ClaimState::kDone : ClaimState::kUnknown));
    }
  }
}

// The client was told that the outcome is unknown. When it sends the request again, it must get the
// answer and not a second run.
TEST_CASE("an answer that arrives after the deadline of its request becomes the stored answer")
{
  World world({});
  world.endOfAttempt = [](const StartedAttempt&) {
    return std::optional{ SimulatedEnd{ AttemptOutcome::kCompleted, 6s } };
  };
  RequestArrived arrived = AtMostOnce("k");
  arrived.timeLeft = 5s;
  arrived.fingerprint = FingerprintId{ "same" };
  const RequestId first = world.SendRequest(arrived);
  world.Run(5500ms);
  CHECK(world.CodeOf(first) == 3101);
  REQUIRE(world.ClaimOf("k") != nullptr);
  CHECK(world.ClaimOf("k")->state == ClaimState::kUnknown);
  world.Run(2s);
  CHECK(world.ClaimOf("k")->state == ClaimState::kDone);
  const RequestId second = world.SendRequest(arrived);
  world.Run(1s);
  CHECK(world.CodeOf(second) == 1000);
  CHECK(world.finished.at(second).finish.storedAnswer == "answer");
  CHECK(world.started.size() == 1);
}

TEST_CASE("a cancelled request is not started again, and its claim is removed if it has not run")
{
  World world({});
  world.endOfAttempt = [](const StartedAttempt&) {
    return std::optional{ SimulatedEnd{ AttemptOutcome::kNotRun, 1s } };
  };
  const RequestId request = world.SendRequest(AtMostOnce("k"));
  world.Run(500ms);
  CHECK(world.CountStarts(request) == 1);
  world.Apply(0, RequestCancelled{ request });
  world.Run(5s);
  CHECK(world.CountStarts(request) == 1);
  CHECK(world.ClaimOf("k") == nullptr);
}

// The holder's refusal applies to requests with less than 5 s left. The others may still get a
// replica in time and must keep waiting.
TEST_CASE("a full cell refuses requests with too little time left, and no others")
{
  World world({ .runners = 0 });
  const RequestId shortDeadline = world.SendRequest({ .timeLeft = 1s });
  const RequestId longDeadline = world.SendRequest({ .timeLeft = 14s });
  world.Apply(0,
              MessageReceived{ .from = World::IncarnationOf(0),
                               .senderConfigVersion = { 1 },
                               .message = DemandReplyMessage{
                                 .cell = CellId{ "models" },
                                 .artifact = { .model = ModelId{ "m" }, .adapter = {} },
                                 .status = DemandStatus::kRefused,
                                 .expectedWait = 500ms,
                                 .refusal = ResultCode::kReplicaUnavailable,
                                 .refusesBelow = 5s,
                                 .fence = { 1'000 } } });
  CHECK(world.CodeOf(shortDeadline) == static_cast<int>(ResultCode::kReplicaUnavailable));
  CHECK(world.CodeOf(longDeadline) == 0);
}

TEST_CASE("an idle router keeps no requests, targets or endpoints in use")
{
  World world({ .runners = 2 });
  for (int index = 0; index < 50; ++index) {
    world.SendRequest({ .service = ServiceId{ index % 2 == 0 ? "models" : "plain" } });
  }
  world.Run(90s);
  CHECK(world.DumpOf("router.requests") == "0");
  CHECK(world.DumpOf("router.targets") == "0");
  CHECK(world.DumpOf("router.endpoints_in_use") == "0");
}

TEST_CASE("refusals that can be retried have a retry-after time")
{
  World world({ .configure = [](Configuration& aConfiguration, DecisionSettings&) {
    aConfiguration.customers.at(CustomerId{ "big" }).queueLimit = 1;
  } });
  world.endOfAttempt = [](const StartedAttempt&) { return std::optional<SimulatedEnd>{}; };
  const RequestId expired = world.SendRequest({ .timeLeft = 1s });
  const RequestId overQueueLimit = world.SendRequest({});
  world.Run(2s);
  CHECK(world.CodeOf(overQueueLimit) == 2101);
  CHECK(world.finished.at(overQueueLimit).finish.retryAfter > 0s);
  CHECK(world.CodeOf(expired) == 3103);
  CHECK(world.finished.at(expired).finish.retryAfter > 0s);
}

TEST_CASE("a request is refused before its deadline when the cell's holder cannot be reached")
{
  World world({ .configure = [](Configuration& aConfiguration, DecisionSettings&) {
    aConfiguration.classes.at(ClassId{ "any" }).deadline = 60s;
  } });
  world.isMessageLost = [](std::size_t, const SendMessage& aMessage) {
    return std::holds_alternative<DemandMessage>(aMessage.message);
  };
  const RequestId first = world.SendRequest({});
  world.Run(15s);
  CHECK(world.CodeOf(first) == 2104);
  const RequestId second = world.SendRequest({});
  world.Run(2s);
  CHECK(world.CodeOf(second) == 2104);
  world.isMessageLost = [](std::size_t, const SendMessage&) { return false; };
  const RequestId third = world.SendRequest({});
  world.Run(2s);
  CHECK(world.CodeOf(third) == 1000);
}

// A refused attempt has not run, so refusals must not use up the attempts of a request. The router
// must not repeat them without a pause either: on average at most 8 attempts for each request.
TEST_CASE("requests that a runner refuses while it lacks the model all succeed later")
{
  World world({});
  const TimePoint ready = world.now + 5s;
  world.endOfAttempt = [&](const StartedAttempt&) {
    const bool isLoaded = world.now >= ready;
    return std::optional{ SimulatedEnd{
      isLoaded ? AttemptOutcome::kCompleted : AttemptOutcome::kNotRun, 1ms } };
  };
  std::vector<RequestId> requests;
  for (int index = 0; index < 32; ++index) {
    requests.push_back(world.SendRequest({}));
  }
  world.Run(25s);
  for (const RequestId& request : requests) {
    CHECK(world.CodeOf(request) == 1000);
  }
  CHECK(world.started.size() <= 32 * 8);
}

// The replica gets no new request for longer than its keep-alive limit of 15 s, but it runs one for
// 90 s. It must not count as idle.
TEST_CASE("a replica is not drained during a long request")
{
  World world({ .configure = [](Configuration& aConfiguration, DecisionSettings&) {
    aConfiguration.classes.at(ClassId{ "any" }).deadline = 600s;
    aConfiguration.services.at(ServiceId{ "models" }).keepAlive = FixedKeepAlive{ 15s };
  } });
  world.endOfAttempt = [](const StartedAttempt&) {
    return std::optional{ SimulatedEnd{ AttemptOutcome::kCompleted, 90s } };
  };
  world.SendRequest({});
  world.Run(60s);
  std::size_t drains = 0;
  for (const SendMessage& message : world.sentMessages) {
    drains += std::holds_alternative<DrainMessage>(message.message) ? 1 : 0;
  }
  CHECK(drains == 0);
}

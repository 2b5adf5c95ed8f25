/* Encodes and decodes the messages between daemons and the lease row. Damaged messages are
 * rejected. */
#include "fleet/fleet_message.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

const PlacementRequest kAsk{ .id = { .daemon = DaemonId{ "d1" }, .number = 7 },
                             .requestId = "r1",
                             .route = "route",
                             .service = ServiceId{ "s1" },
                             .work = { .target = { .model = ModelId{ "m1" },
                                                   .adapter = AdapterId{ "a1" } },
                                       .promptTokens = 1'460,
                                       .outputTokens = 80,
                                       .parts = { { .id = 0xffff'ffff'ffff'ffffULL, .tokens = 800 },
                                                  { .id = 2, .tokens = 410 } } },
                             .priority = 2,
                             .latencyObjective = 600ms,
                             .timeLeft = 15s,
                             .isResumable = true,
                             .failedRunners = { EndpointId{ "e1" } } };

std::string Encode(FleetBody aBody)
{
  const auto bytes = EncodeFleetMessage(
    { .from = DaemonId{ "d0" }, .incarnation = IncarnationId{ "i0" }, .body = std::move(aBody) });
  return { bytes.begin(), bytes.end() };
}

/* Encodes and decodes a message and returns its body, which must be of type Body. */
template<typename Body>
Body Back(FleetBody aBody)
{
  const auto message = DecodeFleetMessage(Encode(std::move(aBody)));
  REQUIRE(message.has_value());
  CHECK(message->from == DaemonId{ "d0" });
  REQUIRE(std::holds_alternative<Body>(message->body));
  return std::get<Body>(message->body);
}

} // namespace

TEST_CASE("every kind of message is unchanged after encoding and decoding")
{
  const auto ask = Back<PlacementRequest>(kAsk);
  CHECK(ask.id == kAsk.id);
  CHECK(ask.work.target == kAsk.work.target);
  REQUIRE(ask.work.parts.size() == 2);
  CHECK(ask.work.parts[0].id == kAsk.work.parts[0].id);
  CHECK(ask.timeLeft == kAsk.timeLeft);
  CHECK(ask.failedRunners == kAsk.failedRunners);

  const auto released = Back<AssignmentReleased>(
    AssignmentReleased{ .id = kAsk.id, .end = AssignmentEnd::kFailed, .timeToFirstEvent = 90ms });
  CHECK(released.end == AssignmentEnd::kFailed);
  CHECK(released.timeToFirstEvent == 90ms);

  CHECK(Back<AssignmentInUse>(AssignmentInUse{ .request = kAsk, .runner = EndpointId{ "e1" } })
          .runner == EndpointId{ "e1" });
  const auto granted = Back<PlacementReply>(
    PlacementReply{ .id = kAsk.id, .answer = RunnerAssigned{ EndpointId{ "e2" } } });
  CHECK(std::get<RunnerAssigned>(granted.answer).runner == EndpointId{ "e2" });
  const auto refused = Back<PlacementReply>(PlacementReply{
    .id = kAsk.id,
    .answer = PlacementRefused{ .code = ResultCode::kDeadlineUnreachable, .retryAfter = 1500ms } });
  CHECK(std::get<PlacementRefused>(refused.answer).retryAfter == 1500ms);
  const auto unknown =
    Back<PlacementReply>(PlacementReply{ .id = kAsk.id, .answer = PlacementUndecided{} });
  CHECK(std::holds_alternative<PlacementUndecided>(unknown.answer));

  const OrderLeaseRow lease{ .holder = DaemonId{ "d0" },
                             .incarnation = IncarnationId{ "i0" },
                             .address = "10.0.0.1:1",
                             .isOrderWaitOver = true,
                             .renewals = 9 };
  const auto heartbeat = Back<HolderHeartbeatMessage>(HolderHeartbeatMessage{
    .lease = lease, .version = { 12 }, .state = HolderState::kStalled, .daemons = 8 });
  CHECK(heartbeat.lease == lease);
  CHECK(heartbeat.state == HolderState::kStalled);
  CHECK(Back<HelloMessage>(HelloMessage{ .zone = ZoneId{ "a" }, .address = "x:1" }).address ==
        "x:1");
  CHECK(Back<SuspectMessage>(SuspectMessage{ .request = FingerprintId{ "f" }, .isCleared = true })
          .isCleared);
}

TEST_CASE("a message that is truncated at any length is rejected without an exception")
{
  const std::string whole = Encode(kAsk);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    CHECK_FALSE(DecodeFleetMessage(whole.substr(0, length)).has_value());
  }
  CHECK_FALSE(DecodeFleetMessage("nonsense").has_value());
  CHECK_FALSE(DecodeLeaseRow("{}").has_value());
}

TEST_CASE("the lease row is unchanged after encoding and decoding")
{
  const OrderLeaseRow lease{ .holder = DaemonId{ "d0" }, .address = "10.0.0.1:1", .renewals = 3 };
  CHECK(DecodeLeaseRow(EncodeLeaseRow(lease)) == lease);
}

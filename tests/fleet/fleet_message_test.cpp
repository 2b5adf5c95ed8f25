/* The encoding of the messages between daemons and of the lease row. A field that is lost or
 * changed on the way misleads the receiver, and a truncated message must not end its process. */
#include "codec/json_codec.h"
#include "core/message_pack_func.h"
#include "fleet/fleet_message.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

const PlacementRequest kRequest{
  .id = { .daemon = DaemonId{ "d1" }, .number = 7 },
  .requestId = "r1",
  .route = "route",
  .service = ServiceId{ "s1" },
  .work = { .target = { .model = ModelId{ "m1" }, .adapter = AdapterId{ "a1" } },
            .promptTokens = 1'460,
            .outputTokens = 80,
            .parts = { { .id = 0xffff'ffff'ffff'ffffULL, .tokens = 800 },
                       { .id = 2, .tokens = 410 } } },
  .priority = 2,
  .latencyObjective = 600ms,
  .timeLeft = 15s,
  .isResumable = true,
  .failedRunners = { EndpointId{ "e1" } },
  .pausedRunners = { { .runner = EndpointId{ "e3" }, .timeLeft = 700ms } },
  .origin = StreamOrigin{ .service = ServiceId{ "s1" }, .version = SoftwareVersion{ "v1" } },
  .resumedStream = StreamKey{ 0xffff'ffff'ffff'fffeULL }
};

std::string Encode(FleetBody aBody)
{
  const auto bytes = EncodeFleetMessage(
    { .from = DaemonId{ "d0" }, .incarnation = IncarnationId{ "i0" }, .body = std::move(aBody) });
  return { bytes.begin(), bytes.end() };
}

/* Encodes and decodes a message and returns its body, which must be of type Body. */
template<typename Body>
Body EncodeAndDecode(FleetBody aBody)
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
  const auto request = EncodeAndDecode<PlacementRequest>(kRequest);
  CHECK(request.id == kRequest.id);
  CHECK(request.work.target == kRequest.work.target);
  REQUIRE(request.work.parts.size() == 2);
  CHECK(request.work.parts[0].id == kRequest.work.parts[0].id);
  CHECK(request.timeLeft == kRequest.timeLeft);
  CHECK(request.failedRunners == kRequest.failedRunners);
  CHECK(request.pausedRunners == kRequest.pausedRunners);
  CHECK(request.origin == kRequest.origin);
  CHECK(request.resumedStream == kRequest.resumedStream);

  const auto released = EncodeAndDecode<AssignmentReleased>(AssignmentReleased{
    .id = kRequest.id, .end = AssignmentEnd::kFailed, .timeToFirstEvent = 90ms });
  CHECK(released.end == AssignmentEnd::kFailed);
  CHECK(released.timeToFirstEvent == 90ms);

  CHECK(EncodeAndDecode<AssignmentInUse>(
          AssignmentInUse{ .request = kRequest, .runner = EndpointId{ "e1" } })
          .runner == EndpointId{ "e1" });
  const auto assigned = EncodeAndDecode<PlacementReply>(
    PlacementReply{ .id = kRequest.id, .answer = RunnerAssigned{ EndpointId{ "e2" } } });
  CHECK(std::get<RunnerAssigned>(assigned.answer).runner == EndpointId{ "e2" });
  CHECK_FALSE(std::get<RunnerAssigned>(assigned.answer).version);
  const auto versioned = EncodeAndDecode<PlacementReply>(PlacementReply{
    .id = kRequest.id,
    .answer = RunnerAssigned{ .runner = EndpointId{ "e2" }, .version = SoftwareVersion{} } });
  CHECK(std::get<RunnerAssigned>(versioned.answer).version == SoftwareVersion{});
  const auto leaving = EncodeAndDecode<RunnerLeavingMessage>(
    RunnerLeavingMessage{ .runner = EndpointId{ "e1" }, .startedAtMs = 1'786'748'091'415 });
  CHECK(leaving.runner == EndpointId{ "e1" });
  CHECK(leaving.startedAtMs == 1'786'748'091'415);
  const auto slowness = EncodeAndDecode<EndpointSlownessMessage>(EndpointSlownessMessage{
    .statements = {
      { .endpoint = EndpointId{ "e1" }, .startedAtMs = 5, .slowness = { 2.5 }, .age = 90ms } } });
  REQUIRE(slowness.statements.size() == 1);
  CHECK(slowness.statements[0].endpoint == EndpointId{ "e1" });
  CHECK(slowness.statements[0].startedAtMs == 5);
  CHECK(slowness.statements[0].slowness == Slowness{ 2.5 });
  CHECK(slowness.statements[0].age == 90ms);
  const auto begun = EncodeAndDecode<StreamsBegunMessage>(StreamsBegunMessage{
    .streams = { { .key = { 7 }, .origin = *kRequest.origin } }, .isResent = true });
  CHECK(begun.isResent);
  REQUIRE(begun.streams.size() == 1);
  CHECK(begun.streams[0].key == StreamKey{ 7 });
  CHECK(begun.streams[0].origin == *kRequest.origin);
  const auto refused = EncodeAndDecode<PlacementReply>(PlacementReply{
    .id = kRequest.id,
    .answer = PlacementRefused{ .code = ResultCode::kDeadlineUnreachable, .retryAfter = 1500ms } });
  CHECK(std::get<PlacementRefused>(refused.answer).retryAfter == 1500ms);
  const auto withNotices = EncodeAndDecode<HolderHeartbeatMessage>(HolderHeartbeatMessage{
    .fence = { 7 }, .daemons = 3, .notices = { { "t", { { 9 }, 300ms } } } });
  CHECK(withNotices.notices.at("t").version == RowVersion{ 9 });
  CHECK(withNotices.notices.at("t").age == 300ms);
  const auto hello = EncodeAndDecode<HelloMessage>(
    HelloMessage{ .address = "a:1", .configuration = { .version = { 4 }, .age = 7ms } });
  CHECK(hello.configuration == ConfigurationStatement{ .version = { 4 }, .age = 7ms });
  CHECK(withNotices.fence == FencingToken{ 7 });
  const auto withPeers = EncodeAndDecode<HolderHeartbeatMessage>(
    HolderHeartbeatMessage{ .configuration = { .version = { 5 } }, .peers = { "b:2" } });
  CHECK(withPeers.configuration == ConfigurationStatement{ .version = { 5 } });
  CHECK(withPeers.peers == std::vector<std::string>{ "b:2" });
  const auto query = EncodeAndDecode<ConfigurationQuery>(ConfigurationQuery{
    .number = 3, .address = "c:3", .known = { 4 }, .partOf = { 5 }, .offset = 9 });
  CHECK(query.address == "c:3");
  CHECK(query.partOf == ConfigVersion{ 5 });
  CHECK(query.offset == 9);
  const auto reply = EncodeAndDecode<ConfigurationReply>(ConfigurationReply{
    .number = 3,
    .statement = { .version = { 5 } },
    .dispatcher = "d:4",
    .part = ConfigurationPart{ .digest = 1, .size = 2, .offset = 1, .bytes = "\xff" } });
  CHECK(reply.dispatcher == "d:4");
  CHECK(reply.part->bytes == "\xff");
  CHECK(reply.part->offset == 1);
  const auto changes = EncodeAndDecode<TableChangesMessage>(TableChangesMessage{
    .table = "t",
    .from = { 4 },
    .to = { 9 },
    .rows = { { .table = "t", .key = "k", .value = "\xff{}", .version = { 8 } },
              { .table = "t", .key = "gone", .version = { 9 }, .isRemoved = true } } });
  CHECK(changes.from == RowVersion{ 4 });
  CHECK(changes.to == RowVersion{ 9 });
  REQUIRE(changes.rows.size() == 2);
  CHECK(changes.rows[0].value == "\xff{}");
  CHECK(changes.rows[0].version == RowVersion{ 8 });
  CHECK(changes.rows[1].isRemoved);
  const auto undecided = EncodeAndDecode<PlacementReply>(
    PlacementReply{ .id = kRequest.id, .answer = PlacementUndecided{} });
  CHECK(std::holds_alternative<PlacementUndecided>(undecided.answer));

  const OrderLeaseRow lease{ .holder = DaemonId{ "d0" },
                             .incarnation = IncarnationId{ "i0" },
                             .address = "10.0.0.1:1",
                             .isOrderWaitOver = true,
                             .renewals = 9 };
  const auto heartbeat = EncodeAndDecode<HolderHeartbeatMessage>(HolderHeartbeatMessage{
    .lease = lease, .version = { 12 }, .state = HolderState::kStalled, .daemons = 8 });
  CHECK(heartbeat.lease == lease);
  CHECK(heartbeat.state == HolderState::kStalled);
  CHECK(EncodeAndDecode<HelloMessage>(HelloMessage{ .zone = ZoneId{ "a" }, .address = "x:1" })
          .address == "x:1");
  CHECK(EncodeAndDecode<SuspectMessage>(
          SuspectMessage{ .request = FingerprintId{ "f" }, .isCleared = true })
          .isCleared);
  const EndpointProcess process{ .endpoint = EndpointId{ "e1" }, .startedAtMs = 5 };
  CHECK(EncodeAndDecode<SuspectMessage>(
          SuspectMessage{ .request = FingerprintId{ "f" }, .process = process })
          .process == process);
}

TEST_CASE("prompt parts are unchanged after encoding and decoding, and former releases send none")
{
  const std::vector<PromptPartId> parts{ { 0xffff'ffff'ffff'ffffULL }, { 2 } };
  const std::vector<PartGroup> groups{ { { 7 } }, parts };
  const auto suspect =
    EncodeAndDecode<SuspectMessage>(SuspectMessage{ .request = FingerprintId{ "f" },
                                                    .account = ClientAccountId{ "a.example" },
                                                    .parts = parts,
                                                    .hasHead = true });
  CHECK(suspect.account == ClientAccountId{ "a.example" });
  CHECK(suspect.parts == parts);
  CHECK(suspect.hasHead);
  CHECK(
    EncodeAndDecode<HelloMessage>(HelloMessage{ .quarantinedParts = groups }).quarantinedParts ==
    groups);
  CHECK(
    EncodeAndDecode<HolderHeartbeatMessage>(HolderHeartbeatMessage{ .quarantinedParts = groups })
      .quarantinedParts == groups);
  const auto decode = [](const nlohmann::json& aMessage) {
    const auto bytes = nlohmann::json::to_msgpack(aMessage);
    return DecodeFleetMessage({ bytes.begin(), bytes.end() });
  };
  const auto former = decode(
    { { "kind", "suspect" }, { "from", "d1" }, { "incarnation", "i1" }, { "request", "f" } });
  REQUIRE(former.has_value());
  CHECK(std::get<SuspectMessage>(former->body).parts.empty());
  CHECK(decode({ { "kind", "hello" },
                 { "from", "d1" },
                 { "incarnation", "i1" },
                 { "zone", "a" },
                 { "address", "x:1" } })
          .has_value());
}

// The codec of messages takes any bytes, so a daemon of a former release passes such a name on.
TEST_CASE("a message or a row with a name that is no text is rejected without an exception")
{
  PlacementRequest request = kRequest;
  REQUIRE(DecodeFleetMessage(Encode(request)).has_value());
  request.work.target.adapter = AdapterId{ "a\xf1o" };
  CHECK_FALSE(DecodeFleetMessage(Encode(request)).has_value());
  const StoredLease lease{ .lease = { .holder = DaemonId{ "d\xff" } }, .content = {} };
  CHECK_FALSE(EncodeLeaseRow(lease).has_value());
  CHECK_FALSE(DecodeLeaseRow("{\"holder\":\"d\xff\"}").has_value());
}

// The library parses MessagePack by recursion, so a message of a few hundred kilobytes overflowed
// the stack and ended the process.
TEST_CASE("a message that is nested deeply is rejected")
{
  const std::string empty(1, '\xc0');
  std::string maps;
  for (int depth = 0; depth < 500'000; ++depth) {
    maps += "\x81\xa1x";
  }
  for (const std::string& message : { std::string(4'000'000, '\x91') + empty,
                                      std::string(4'000'000, '\x91'),
                                      maps + empty,
                                      "\x92" + empty + std::string(1'000'000, '\x91') }) {
    CHECK_FALSE(DecodeFleetMessage(message).has_value());
    CHECK_FALSE(DecodeEnvelope(message).has_value());
  }
  CHECK(ParseMessagePack(std::string(kMaxMessageDepth, '\x91') + empty).is_array());
  CHECK_THROWS(ParseMessagePack(std::string(kMaxMessageDepth + 1, '\x91') + empty));
}

// The depth is found by walking over the values, so each kind of value has to be skipped as a
// whole.
TEST_CASE("every kind of value in a message is parsed")
{
  using Json = nlohmann::json;
  Json value = Json::array();
  for (const std::int64_t number :
       { 0LL, -1LL, 200LL, -200LL, 70'000LL, -70'000LL, 5'000'000'000LL, -5'000'000'000LL }) {
    value.push_back(number);
  }
  for (const std::size_t size : { 3, 40, 300, 70'000 }) {
    value.push_back(std::string(size, '\x91'));
    value.push_back(Json::binary(std::vector<std::uint8_t>(size, 0x91)));
    value.push_back(Json::binary(std::vector<std::uint8_t>(size, 0x91), 7));
    value.push_back(Json(size, Json::array({ 1.5, true, nullptr })));
    Json map;
    for (std::size_t key = 0; key < size; ++key) {
      map[std::to_string(key)] = Json::object();
    }
    value.push_back(map);
  }
  for (const std::size_t size : { 1, 2, 4, 8, 16 }) {
    value.push_back(Json::binary(std::vector<std::uint8_t>(size, 0x91), 7));
  }
  for (int depth = 3; depth < static_cast<int>(kMaxMessageDepth); ++depth) {
    value = Json::array({ value, value.size() });
  }
  const auto bytes = Json::to_msgpack(value);
  const std::string_view text{ reinterpret_cast<const char*>(bytes.data()), bytes.size() };
  CHECK(ParseMessagePack(text) == value);
  const auto tooDeep = Json::to_msgpack(Json::array({ Json::array({ value }) }));
  CHECK_THROWS(ParseMessagePack({ reinterpret_cast<const char*>(tooDeep.data()), tooDeep.size() }));
}

TEST_CASE("a message that is truncated at any length is rejected without an exception")
{
  const std::string encoded = Encode(kRequest);
  for (std::size_t length = 0; length < encoded.size(); ++length) {
    CHECK_FALSE(DecodeFleetMessage(encoded.substr(0, length)).has_value());
  }
  CHECK_FALSE(DecodeFleetMessage("nonsense").has_value());
  CHECK_FALSE(DecodeLeaseRow("{}").has_value());
}

TEST_CASE("the lease row is unchanged after encoding and decoding")
{
  const OrderLeaseRow lease{ .holder = DaemonId{ "d0" }, .address = "10.0.0.1:1", .renewals = 3 };
  const VersionsByService versions{ { ServiceId{ "s1" },
                                      { SoftwareVersion{ "v1" }, SoftwareVersion{ "v2" } } } };
  const std::vector<PartGroup> groups{ { { 7 } }, { { 1 }, { 0xffff'ffff'ffff'ffffULL } } };
  const std::vector<FingerprintId> requests{ FingerprintId{ "1f" }, FingerprintId{ "2e" } };
  const auto text = EncodeLeaseRow({ .lease = lease,
                                     .content = { .versions = versions,
                                                  .quarantinedParts = groups,
                                                  .quarantinedRequests = requests } });
  REQUIRE(text.has_value());
  const auto row = DecodeLeaseRow(*text);
  REQUIRE(row.has_value());
  CHECK(row->lease == lease);
  CHECK(row->content.versions == versions);
  CHECK(row->content.quarantinedParts == groups);
  CHECK(row->content.quarantinedRequests == requests);
  // A former release writes neither versions nor parts.
  const std::string former = R"({"holder":"d0","incarnation":"","address":"10.0.0.1:1",)"
                             R"("waited":false,"era":0,"renewals":3})";
  REQUIRE(DecodeLeaseRow(former).has_value());
  CHECK(DecodeLeaseRow(former)->lease == lease);
  CHECK(DecodeLeaseRow(former)->content.versions.empty());
  CHECK(DecodeLeaseRow(former)->content.quarantinedParts.empty());
}

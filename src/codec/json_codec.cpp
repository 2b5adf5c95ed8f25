/* Encodes and decodes rows, messages and inventories with the JSON library. */
#include "codec/json_codec.h"

#include "core/json_text.h"
#include "core/message_pack_func.h"

#include <nlohmann/json.hpp>

#include <array>

namespace rhubarbtrail {

using nlohmann::json;

template<typename Tag>
void to_json(json& aJson, const Id<Tag>& aId)
{
  aJson = aId.str();
}

template<typename Tag>
void from_json(const json& aJson, Id<Tag>& aId)
{
  aId = Id<Tag>{ aJson.get<std::string>() };
}

/* Converts a type with a single member `value` to and from that value. */
#define RHUBARBTRAIL_WRAPPED_VALUE(Type)                                                           \
  void to_json(json& aJson, const Type& aValue)                                                    \
  {                                                                                                \
    aJson = aValue.value;                                                                          \
  }                                                                                                \
  void from_json(const json& aJson, Type& aValue)                                                  \
  {                                                                                                \
    aJson.get_to(aValue.value);                                                                    \
  }

RHUBARBTRAIL_WRAPPED_VALUE(FencingToken)
RHUBARBTRAIL_WRAPPED_VALUE(ConfigVersion)
RHUBARBTRAIL_WRAPPED_VALUE(MemoryMb)
#undef RHUBARBTRAIL_WRAPPED_VALUE

} // namespace rhubarbtrail

namespace nlohmann {

/* A duration is encoded as a number of microseconds. */
template<>
struct adl_serializer<rhubarbtrail::Duration>
{
  static void to_json(json& aJson, const rhubarbtrail::Duration& aValue) { aJson = aValue.count(); }
  static void from_json(const json& aJson, rhubarbtrail::Duration& aValue)
  {
    aValue = rhubarbtrail::Duration{ aJson.get<std::int64_t>() };
  }
};

} // namespace nlohmann

namespace rhubarbtrail {

/* Converts a type to and from a JSON object whose keys are the names of its members. A renamed
 * member would not be found by daemons of other releases, nor in rows that are already stored. */
#define RHUBARBTRAIL_FIELDS(...) NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(__VA_ARGS__)

RHUBARBTRAIL_FIELDS(Incarnation, daemon, id)
RHUBARBTRAIL_FIELDS(CellLeaseRow, holder, fence, renewals, change)
RHUBARBTRAIL_FIELDS(PlacementEntry, runner, model, version, state, order, issuer)
RHUBARBTRAIL_FIELDS(PlacementRow, fence, entries, change)
RHUBARBTRAIL_FIELDS(ClaimRow, state, request, owner, fingerprint, httpStatus, contentType, answer)
RHUBARBTRAIL_FIELDS(ConfigurationRow, version, document, author, comment, acceptedAtUnixMs, change)
RHUBARBTRAIL_FIELDS(Artifact, model, adapter)
RHUBARBTRAIL_FIELDS(DemandMessage, cell, artifact, timeLeft, waiting, inFlight, startedSince)
RHUBARBTRAIL_FIELDS(ReplicaLocation, runner, concurrency, reportedLoad)
RHUBARBTRAIL_FIELDS(DemandReplyMessage,
                    cell,
                    artifact,
                    status,
                    replicas,
                    expectedWait,
                    refusal,
                    refusesBelow,
                    holder,
                    fence)
RHUBARBTRAIL_FIELDS(DrainMessage, cell, runner, model, fence)
RHUBARBTRAIL_FIELDS(DrainedMessage, cell, runner, model, fence)
RHUBARBTRAIL_FIELDS(WithdrawOrderMessage, cell, order, issuer)
RHUBARBTRAIL_FIELDS(OrderWithdrawnMessage, cell, order, issuer)
RHUBARBTRAIL_FIELDS(HeartbeatMessage, version, reply, sentAt)
RHUBARBTRAIL_FIELDS(ConfigurationMessage, row)
RHUBARBTRAIL_FIELDS(ConfigurationRequestMessage, atLeast)
RHUBARBTRAIL_FIELDS(EndpointLeavingMessage, endpoint, bootId)
RHUBARBTRAIL_FIELDS(SuspectsMessage, endpoint, bootId, fingerprints)
RHUBARBTRAIL_FIELDS(ConvictedMessage, fingerprint, expiresIn)
RHUBARBTRAIL_FIELDS(ClearedMessage, fingerprint)
RHUBARBTRAIL_FIELDS(IsolationRequestMessage, cell, artifact, request, ask, timeLeft)
RHUBARBTRAIL_FIELDS(IsolationGrantMessage, cell, request, ask, status, runner, validFor, holder)
RHUBARBTRAIL_FIELDS(IsolationReleaseMessage, cell, request)
RHUBARBTRAIL_FIELDS(LoadedModel, model, version, ready, adapters, running)
RHUBARBTRAIL_FIELDS(Inventory, bootId, memory, models, running, queued, checkpoints)
#undef RHUBARBTRAIL_FIELDS

namespace {

/* Encoded names of the alternatives of RowValue and Message, in the order of the alternatives. */
constexpr std::array<const char*, std::variant_size_v<RowValue>> kRowKindNames{ "cell_lease",
                                                                                "placement",
                                                                                "claim",
                                                                                "configuration" };
constexpr std::array<const char*, std::variant_size_v<Message>> kMessageKindNames{
  "demand",           "demand_reply",      "drain",
  "drained",          "withdraw_order",    "order_withdrawn",
  "heartbeat",        "configuration",     "configuration_request",
  "endpoint_leaving", "suspects",          "convicted",
  "cleared",          "isolation_request", "isolation_grant",
  "isolation_release"
};

template<typename Variant, std::size_t kIndex = 0>
bool DecodeAlternative(const json& aJson, std::size_t aIndex, Variant& aOut)
{
  if constexpr (kIndex < std::variant_size_v<Variant>) {
    if (aIndex != kIndex) {
      return DecodeAlternative<Variant, kIndex + 1>(aJson, aIndex, aOut);
    }
    aOut = aJson.get<std::variant_alternative_t<kIndex, Variant>>();
    return true;
  } else {
    return false;
  }
}

template<typename Variant, std::size_t kCount>
json EncodeVariant(const Variant& aValue, const std::array<const char*, kCount>& aKindNames)
{
  json body;
  std::visit([&](const auto& aAlternative) { body = aAlternative; }, aValue);
  return json{ { "kind", aKindNames[aValue.index()] }, { "value", std::move(body) } };
}

template<typename Variant, std::size_t kCount>
Variant DecodeVariant(const json& aJson, const std::array<const char*, kCount>& aKindNames)
{
  const auto name = aJson.at("kind").get<std::string>();
  Variant value;
  for (std::size_t index = 0; index < kCount; ++index) {
    if (name == aKindNames[index] && DecodeAlternative(aJson.at("value"), index, value)) {
      return value;
    }
  }
  throw std::invalid_argument("unknown row or message kind '" + name + "'");
}

} // namespace

tl::expected<std::string, std::string> EncodeRow(const RowValue& aValue)
{
  return EncodeJson(EncodeVariant(aValue, kRowKindNames));
}

tl::expected<RowValue, std::string> DecodeRow(std::string_view aText)
{
  try {
    return DecodeVariant<RowValue>(json::parse(aText), kRowKindNames);
  } catch (const std::exception& error) {
    return tl::make_unexpected(std::string{ error.what() });
  }
}

std::vector<std::uint8_t> EncodeEnvelope(const Envelope& aEnvelope)
{
  json envelope = EncodeVariant(aEnvelope.message, kMessageKindNames);
  envelope["from"] = aEnvelope.from;
  envelope["version"] = aEnvelope.senderConfigVersion;
  return json::to_msgpack(envelope);
}

tl::expected<Envelope, std::string> DecodeEnvelope(std::string_view aBytes)
{
  try {
    const json envelope = ParseMessagePack(aBytes);
    return Envelope{ .from = envelope.at("from").get<Incarnation>(),
                     .senderConfigVersion = envelope.at("version").get<ConfigVersion>(),
                     .message = DecodeVariant<Message>(envelope, kMessageKindNames) };
  } catch (const std::exception& error) {
    return tl::make_unexpected(std::string{ error.what() });
  }
}

tl::expected<Inventory, std::string> DecodeInventory(std::string_view aText)
{
  try {
    return json::parse(aText).get<Inventory>();
  } catch (const std::exception& error) {
    return tl::make_unexpected(std::string{ error.what() });
  }
}

} // namespace rhubarbtrail

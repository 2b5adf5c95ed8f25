/* Encodes and decodes messages between the daemons of a fleet (MessagePack) and the lease row
 * (JSON). */
#include "fleet/fleet_message.h"

#include "core/json_text.h"
#include "core/message_pack_func.h"
#include "core/overloaded.h"
#include "core/text_func.h"

#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

namespace rhubarbtrail {

namespace {

using Json = nlohmann::json;
using namespace fleet;

/* Returns a string. Throws if the value is another one or not UTF-8: the codec of messages takes
 * any bytes, and a name that is no text would fail in the row or the order that it reaches. */
std::string TextOf(const Json& aValue)
{
  const auto& text = aValue.get_ref<const std::string&>();
  if (!IsUtf8(text)) {
    throw std::invalid_argument("a text is not UTF-8");
  }
  return text;
}

Json ToJson(RowVersion aVersion)
{
  return { aVersion.value, aVersion.era.value };
}

RowVersion VersionFrom(const Json& aJson)
{
  return { aJson.at(0).get<std::uint64_t>(), { aJson.at(1).get<std::uint64_t>() } };
}

Json ToJson(const OrderLeaseRow& aRow)
{
  return { { "holder", aRow.holder.str() }, { "incarnation", aRow.incarnation.str() },
           { "address", aRow.address },     { "waited", aRow.isOrderWaitOver },
           { "era", aRow.era.value },       { "renewals", aRow.renewals } };
}

Json ToJson(const VersionsByService& aVersions)
{
  Json json = Json::object();
  for (const auto& [service, versions] : aVersions) {
    for (const SoftwareVersion& version : versions) {
      json[service.str()].push_back(version.str());
    }
  }
  return json;
}

VersionsByService VersionsByServiceFrom(const Json& aJson)
{
  VersionsByService result;
  for (const auto& [service, versions] : aJson.items()) {
    for (const Json& version : versions) {
      result[ServiceId{ service }].insert(SoftwareVersion{ TextOf(version) });
    }
  }
  return result;
}

std::vector<FingerprintId> RequestsFrom(const Json& aJson)
{
  std::vector<FingerprintId> requests;
  for (const Json& request : aJson) {
    requests.emplace_back(TextOf(request));
  }
  return requests;
}

OrderLeaseRow LeaseFrom(const Json& aJson)
{
  return { .holder = DaemonId{ TextOf(aJson.at("holder")) },
           .incarnation = IncarnationId{ TextOf(aJson.at("incarnation")) },
           .address = TextOf(aJson.at("address")),
           .isOrderWaitOver = aJson.at("waited").get<bool>(),
           .era = { aJson.value("era", std::uint64_t{ 0 }) },
           .renewals = aJson.at("renewals").get<std::uint64_t>() };
}

Json ToJson(const std::vector<PromptPartId>& aParts)
{
  Json json = Json::array();
  for (const PromptPartId part : aParts) {
    json.push_back(part.value);
  }
  return json;
}

std::vector<PromptPartId> PromptPartsFrom(const Json& aJson)
{
  std::vector<PromptPartId> parts;
  for (const Json& part : aJson) {
    parts.push_back({ part.get<std::uint64_t>() });
  }
  return parts;
}

Json ToJson(const std::vector<PartGroup>& aGroups)
{
  Json json = Json::array();
  for (const PartGroup& group : aGroups) {
    json.push_back(ToJson(group));
  }
  return json;
}

std::vector<PartGroup> PartGroupsFrom(const Json& aJson)
{
  std::vector<PartGroup> groups;
  for (const Json& group : aJson) {
    groups.push_back(PromptPartsFrom(group));
  }
  return groups;
}

Json ToJson(const std::vector<PartTrials>& aTrials)
{
  Json json = Json::array();
  for (const PartTrials& trials : aTrials) {
    json.push_back({ trials.count, trials.timeUntilNext.count() });
  }
  return json;
}

std::vector<PartTrials> PartTrialsFrom(const Json& aJson)
{
  std::vector<PartTrials> trials;
  for (const Json& item : aJson) {
    trials.push_back({ .count = item.at(0).get<std::uint32_t>(),
                       .timeUntilNext = Duration{ item.at(1).get<Duration::rep>() } });
  }
  return trials;
}

Json ToJson(const PlacementRequestId& aId)
{
  return { { "daemon", aId.daemon.str() }, { "number", aId.number } };
}

PlacementRequestId PlacementRequestIdFrom(const Json& aJson)
{
  return { .daemon = DaemonId{ TextOf(aJson.at("daemon")) },
           .number = aJson.at("number").get<std::uint64_t>() };
}

Json ToJson(const BegunStream& aStream)
{
  return { aStream.key.value, aStream.origin.service.str(), aStream.origin.version.str() };
}

BegunStream BegunStreamFrom(const Json& aJson)
{
  return { .key = { aJson.at(0).get<std::uint64_t>() },
           .origin = { .service = ServiceId{ TextOf(aJson.at(1)) },
                       .version = SoftwareVersion{ TextOf(aJson.at(2)) } } };
}

Json ToJson(const SuspectMessage& aSuspect)
{
  return { { "kind", "suspect" },
           { "request", aSuspect.request.str() },
           { "runner", aSuspect.process.endpoint.str() },
           { "born", aSuspect.process.startedAtMs },
           { "cleared", aSuspect.isCleared },
           { "account", aSuspect.account.str() },
           { "parts", ToJson(aSuspect.parts) },
           { "begun", aSuspect.hasHead },
           { "question", aSuspect.isQuestion },
           { "software", aSuspect.version.str() } };
}

SuspectMessage SuspectFrom(const Json& aJson)
{
  return { .request = FingerprintId{ TextOf(aJson.at("request")) },
           .process = { .endpoint = EndpointId{ aJson.value("runner", std::string{}) },
                        .startedAtMs = aJson.value("born", std::int64_t{ 0 }) },
           .isCleared = aJson.value("cleared", false),
           .account = ClientAccountId{ aJson.value("account", std::string{}) },
           .parts = PromptPartsFrom(aJson.value("parts", Json::array())),
           .hasHead = aJson.value("begun", false),
           .isQuestion = aJson.value("question", false),
           .version = SoftwareVersion{ aJson.value("software", std::string{}) } };
}

Json ToJson(const EndpointLimitsMessage& aLimits)
{
  Json statements = Json::array();
  for (const LimitStatement& item : aLimits.statements) {
    Json statement{ { "runner", item.endpoint.str() }, { "born", item.startedAtMs } };
    if (item.limit) {
      statement["per_second"] = item.limit->perSecond;
    } else {
      statement["age"] = item.age.count();
    }
    statements.push_back(std::move(statement));
  }
  return { { "kind", "limits" }, { "limits", std::move(statements) } };
}

EndpointLimitsMessage EndpointLimitsFrom(const Json& aJson)
{
  EndpointLimitsMessage limits;
  for (const Json& item : aJson.at("limits")) {
    LimitStatement statement{ .endpoint = EndpointId{ TextOf(item.at("runner")) },
                              .startedAtMs = item.at("born").get<std::int64_t>(),
                              .limit = std::nullopt };
    if (const auto limit = item.find("per_second"); limit != item.end()) {
      const double perSecond = limit->get<double>();
      if (!std::isfinite(perSecond) || perSecond < 0.0) {
        throw std::invalid_argument("a limit is no rate");
      }
      statement.limit = RequestRate{ perSecond };
    } else {
      statement.age = Duration{ item.at("age").get<Duration::rep>() };
    }
    limits.statements.push_back(std::move(statement));
  }
  return limits;
}

/* Returns an amount of a quota that another daemon states. */
double AmountFrom(const Json& aJson)
{
  const double amount = aJson.get<double>();
  if (!std::isfinite(amount)) {
    throw std::invalid_argument("an amount of a quota is not finite");
  }
  return amount;
}

Json ToJson(const EndpointSlownessMessage& aSlowness)
{
  Json statements = Json::array();
  for (const SlownessStatement& item : aSlowness.statements) {
    statements.push_back({ { "runner", item.endpoint.str() },
                           { "born", item.startedAtMs },
                           { "factor", item.slowness.factor },
                           { "age", item.age.count() } });
  }
  return { { "kind", "slowness" }, { "statements", std::move(statements) } };
}

EndpointSlownessMessage EndpointSlownessFrom(const Json& aJson)
{
  EndpointSlownessMessage slowness;
  for (const Json& item : aJson.at("statements")) {
    const Slowness stated{ item.at("factor").get<double>() };
    if (!std::isfinite(stated.factor) || stated.factor <= 0.0) {
      throw std::invalid_argument("a slowness is no factor");
    }
    slowness.statements.push_back({ .endpoint = EndpointId{ TextOf(item.at("runner")) },
                                    .startedAtMs = item.at("born").get<std::int64_t>(),
                                    .slowness = stated,
                                    .age = Duration{ item.value("age", Duration::rep{ 0 }) } });
  }
  return slowness;
}

Json ToJson(const PlacementRequest& aRequest)
{
  Json parts = Json::array();
  for (const PromptPart& part : aRequest.work.parts) {
    parts.push_back({ part.id, part.tokens });
  }
  Json excluded = Json::array();
  for (const EndpointId& endpoint : aRequest.failedRunners) {
    excluded.push_back(endpoint.str());
  }
  Json json{ { "id", ToJson(aRequest.id) },
             { "request", aRequest.requestId },
             { "route", aRequest.route },
             { "service", aRequest.service.str() },
             { "account", aRequest.account.str() },
             { "model", aRequest.work.target.model.str() },
             { "adapter", aRequest.work.target.adapter.str() },
             { "prompt", aRequest.work.promptTokens },
             { "output", aRequest.work.outputTokens },
             { "parts", std::move(parts) },
             { "priority", aRequest.priority },
             { "objective", aRequest.latencyObjective.count() },
             { "left", aRequest.timeLeft.count() },
             { "resumable", aRequest.isResumable },
             { "excluded", std::move(excluded) } };
  if (aRequest.quotaCost > 0.0) {
    json["cost"] = aRequest.quotaCost;
  }
  for (const PausedRunner& paused : aRequest.pausedRunners) {
    json["paused"].push_back({ paused.runner.str(), paused.timeLeft.count() });
  }
  if (!aRequest.trialParts.empty()) {
    json["trial"] = ToJson(aRequest.trialParts);
  }
  if (aRequest.origin) {
    json["origin"] = { aRequest.origin->service.str(), aRequest.origin->version.str() };
  }
  if (aRequest.resumedStream) {
    json["resumes"] = aRequest.resumedStream->value;
  }
  return json;
}

PlacementRequest PlacementRequestFrom(const Json& aJson)
{
  PlacementRequest request{
    .id = PlacementRequestIdFrom(aJson.at("id")),
    .requestId = TextOf(aJson.at("request")),
    .route = TextOf(aJson.at("route")),
    .service = ServiceId{ TextOf(aJson.at("service")) },
    .account = ClientAccountId{ aJson.value("account", std::string{}) },
    .quotaCost = AmountFrom(aJson.value("cost", Json(0.0))),
    .work = { .target = { .model = ModelId{ TextOf(aJson.at("model")) },
                          .adapter = AdapterId{ TextOf(aJson.at("adapter")) } },
              .promptTokens = aJson.at("prompt").get<std::uint32_t>(),
              .outputTokens = aJson.at("output").get<std::uint32_t>(),
              .parts = {} },
    .priority = aJson.at("priority").get<std::uint32_t>(),
    .latencyObjective = Duration{ aJson.at("objective").get<Duration::rep>() },
    .timeLeft = Duration{ aJson.at("left").get<Duration::rep>() },
    .isResumable = aJson.at("resumable").get<bool>(),
    .failedRunners = {},
  };
  for (const Json& part : aJson.at("parts")) {
    if (request.work.parts.size() == kMaxPlacementParts) {
      break; // A daemon of a former release sends all.
    }
    request.work.parts.push_back(
      { .id = part.at(0).get<std::uint64_t>(), .tokens = part.at(1).get<std::uint32_t>() });
  }
  for (const Json& endpoint : aJson.at("excluded")) {
    request.failedRunners.emplace_back(TextOf(endpoint));
  }
  if (const auto pausedRunners = aJson.find("paused"); pausedRunners != aJson.end()) {
    for (const Json& paused : *pausedRunners) {
      request.pausedRunners.push_back(
        { .runner = EndpointId{ TextOf(paused.at(0)) },
          .timeLeft = Duration{ paused.at(1).get<Duration::rep>() } });
    }
  }
  if (const auto trial = aJson.find("trial"); trial != aJson.end()) {
    request.trialParts = PromptPartsFrom(*trial);
  }
  if (const auto origin = aJson.find("origin"); origin != aJson.end()) {
    request.origin = { .service = ServiceId{ TextOf(origin->at(0)) },
                       .version = SoftwareVersion{ TextOf(origin->at(1)) } };
  }
  if (const auto resumes = aJson.find("resumes"); resumes != aJson.end()) {
    request.resumedStream = StreamKey{ resumes->get<std::uint64_t>() };
  }
  return request;
}

Json ToJson(const PlacementReply& aReply)
{
  Json json{ { "id", ToJson(aReply.id) } };
  std::visit(Overloaded{ [&](const RunnerAssigned& aAssigned) {
                          json["runner"] = aAssigned.runner.str();
                          if (aAssigned.version) {
                            json["software"] = aAssigned.version->str();
                          }
                        },
                         [&](const PlacementRefused& aRefused) {
                           json["code"] = static_cast<int>(aRefused.code);
                           json["retry"] = aRefused.retryAfter.count();
                         },
                         [](const PlacementUndecided&) {} },
             aReply.answer);
  return json;
}

PlacementReply ReplyFrom(const Json& aJson)
{
  PlacementReply reply{ .id = PlacementRequestIdFrom(aJson.at("id")),
                        .answer = PlacementUndecided{} };
  if (aJson.contains("runner")) {
    RunnerAssigned assigned{ .runner = EndpointId{ TextOf(aJson.at("runner")) },
                             .version = std::nullopt };
    if (const auto version = aJson.find("software"); version != aJson.end()) {
      assigned.version = SoftwareVersion{ TextOf(*version) };
    }
    reply.answer = std::move(assigned);
  } else if (aJson.contains("code")) {
    reply.answer =
      PlacementRefused{ .code = static_cast<ResultCode>(aJson.at("code").get<int>()),
                        .retryAfter = Duration{ aJson.at("retry").get<Duration::rep>() } };
  }
  return reply;
}

Json ToJson(const std::map<std::string, TableNotice>& aNotices)
{
  Json json = Json::object();
  for (const auto& [table, notice] : aNotices) {
    json[table] = { ToJson(notice.version), notice.age.count() };
  }
  return json;
}

std::map<std::string, TableNotice> NoticesFrom(const Json& aJson)
{
  std::map<std::string, TableNotice> notices;
  for (const auto& [table, notice] : aJson.items()) {
    notices[table] = { .version = VersionFrom(notice.at(0)),
                       .age = Duration{ notice.at(1).get<Duration::rep>() } };
  }
  return notices;
}

Json ToJson(const TableChangesMessage& aChanges)
{
  Json rows = Json::array();
  for (const platform::StoreRow& row : aChanges.rows) {
    rows.push_back({ { "key", row.key },
                     { "version", ToJson(row.version) },
                     { "removed", row.isRemoved },
                     { "value", row.value } });
  }
  return { { "kind", "table_changes" },
           { "table", aChanges.table },
           { "after", ToJson(aChanges.from) },
           { "until", ToJson(aChanges.to) },
           { "rows", std::move(rows) } };
}

TableChangesMessage TableChangesFrom(const Json& aJson)
{
  TableChangesMessage changes{ .table = TextOf(aJson.at("table")),
                               .from = VersionFrom(aJson.at("after")),
                               .to = VersionFrom(aJson.at("until")),
                               .rows = {} };
  for (const Json& row : aJson.at("rows")) {
    changes.rows.push_back({ .table = changes.table,
                             .key = row.at("key").get<std::string>(),
                             .value = row.at("value").get<std::string>(),
                             .version = VersionFrom(row.at("version")),
                             .isRemoved = row.at("removed").get<bool>() });
  }
  return changes;
}

Json ToJson(const ConfigurationStatement& aStatement)
{
  Json json{ { "version", aStatement.version.value } };
  if (aStatement.age) {
    json["age"] = aStatement.age->count();
  }
  return json;
}

Json ToJson(const std::vector<QuotaStatement>& aStatements)
{
  Json json = Json::array();
  for (const QuotaStatement& statement : aStatements) {
    json.push_back({ statement.account.str(),
                     statement.usePerSecond,
                     statement.level,
                     statement.dispatcherShare });
  }
  return json;
}

ConfigurationStatement ConfigurationStatementFrom(const Json& aJson)
{
  ConfigurationStatement statement{ .version = { aJson.value("version", std::uint64_t{ 0 }) },
                                    .age = std::nullopt };
  if (const auto age = aJson.find("age"); age != aJson.end()) {
    statement.age = std::max(Duration{ age->get<Duration::rep>() }, Duration::zero());
  }
  return statement;
}

Json ToJson(const ConfigurationQuery& aQuery)
{
  return { { "kind", "config_query" },         { "number", aQuery.number },
           { "address", aQuery.address },      { "known", aQuery.known.value },
           { "part_of", aQuery.partOf.value }, { "offset", aQuery.offset } };
}

ConfigurationQuery ConfigurationQueryFrom(const Json& aJson)
{
  return { .number = aJson.at("number").get<std::uint64_t>(),
           .address = TextOf(aJson.at("address")),
           .known = { aJson.at("known").get<std::uint64_t>() },
           .partOf = { aJson.value("part_of", std::uint64_t{ 0 }) },
           .offset = aJson.value("offset", std::size_t{ 0 }) };
}

Json ToJson(const ConfigurationReply& aReply)
{
  Json json{ { "kind", "config_reply" },
             { "number", aReply.number },
             { "statement", ToJson(aReply.statement) },
             { "dispatcher", aReply.dispatcher } };
  if (aReply.part) {
    json["part"] = { { "digest", aReply.part->digest },
                     { "size", aReply.part->size },
                     { "offset", aReply.part->offset },
                     { "bytes",
                       Json::binary({ aReply.part->bytes.begin(), aReply.part->bytes.end() }) } };
  }
  return json;
}

ConfigurationReply ConfigurationReplyFrom(const Json& aJson)
{
  ConfigurationReply reply{ .number = aJson.at("number").get<std::uint64_t>(),
                            .statement = ConfigurationStatementFrom(aJson.at("statement")),
                            .dispatcher = aJson.value("dispatcher", std::string{}),
                            .part = std::nullopt };
  if (const auto part = aJson.find("part"); part != aJson.end()) {
    const auto& bytes = part->at("bytes").get_binary();
    reply.part = ConfigurationPart{ .digest = part->at("digest").get<std::uint64_t>(),
                                    .size = part->at("size").get<std::size_t>(),
                                    .offset = part->at("offset").get<std::size_t>(),
                                    .bytes = { bytes.begin(), bytes.end() } };
  }
  return reply;
}

std::vector<QuotaStatement> QuotaStatementsFrom(const Json& aJson)
{
  std::vector<QuotaStatement> statements;
  for (const Json& item : aJson) {
    statements.push_back({ .account = ClientAccountId{ TextOf(item.at(0)) },
                           .usePerSecond = AmountFrom(item.at(1)),
                           .level = AmountFrom(item.at(2)),
                           .dispatcherShare = AmountFrom(item.at(3)) });
  }
  return statements;
}

Json ToJson(const QuotaReport& aReport)
{
  Json uses = Json::array();
  for (const QuotaUse& use : aReport.uses) {
    Json refunds = Json::array();
    for (const QuotaRefund& refund : use.refunds) {
      refunds.push_back({ refund.amount, refund.age.count() });
    }
    uses.push_back({ { "account", use.account.str() },
                     { "spent", use.spent },
                     { "returned", use.returned },
                     { "needed", use.needed },
                     { "wanted", use.wanted },
                     { "refunds", std::move(refunds) } });
  }
  Json states = Json::array();
  for (const QuotaOwnState& state : aReport.ownStates) {
    states.push_back({ { "account", state.account.str() },
                       { "share", state.share },
                       { "use", state.usePerSecond },
                       { "level", state.level },
                       { "used", state.wasUsed } });
  }
  return { { "kind", "quota_report" },
           { "epoch", aReport.epoch },
           { "uses", std::move(uses) },
           { "own", std::move(states) } };
}

QuotaReport QuotaReportFrom(const Json& aJson)
{
  QuotaReport report{ .epoch = aJson.at("epoch").get<std::uint64_t>(),
                      .uses = {},
                      .ownStates = {} };
  for (const Json& item : aJson.value("uses", Json::array())) {
    QuotaUse use{ .account = ClientAccountId{ TextOf(item.at("account")) },
                  .spent = AmountFrom(item.at("spent")),
                  .returned = AmountFrom(item.at("returned")),
                  .needed = AmountFrom(item.at("needed")),
                  .wanted = AmountFrom(item.at("wanted")),
                  .refunds = {} };
    for (const Json& refund : item.value("refunds", Json::array())) {
      use.refunds.push_back({ .amount = AmountFrom(refund.at(0)),
                              .age = Duration{ refund.at(1).get<Duration::rep>() } });
    }
    report.uses.push_back(std::move(use));
  }
  for (const Json& item : aJson.value("own", Json::array())) {
    report.ownStates.push_back({ .account = ClientAccountId{ TextOf(item.at("account")) },
                                 .share = AmountFrom(item.at("share")),
                                 .usePerSecond = AmountFrom(item.at("use")),
                                 .level = AmountFrom(item.at("level")),
                                 .wasUsed = item.at("used").get<bool>() });
  }
  return report;
}

Json ToJson(const QuotaReply& aReply)
{
  Json grants = Json::array();
  for (const QuotaGrant& grant : aReply.grants) {
    grants.push_back({ grant.account.str(), grant.granted, grant.retryAfter.count() });
  }
  return { { "kind", "quota_reply" }, { "epoch", aReply.epoch }, { "grants", std::move(grants) } };
}

QuotaReply QuotaReplyFrom(const Json& aJson)
{
  QuotaReply reply{ .epoch = aJson.at("epoch").get<std::uint64_t>(), .grants = {} };
  for (const Json& item : aJson.at("grants")) {
    reply.grants.push_back({ .account = ClientAccountId{ TextOf(item.at(0)) },
                             .granted = AmountFrom(item.at(1)),
                             .retryAfter = Duration{ item.at(2).get<Duration::rep>() } });
  }
  return reply;
}

Json ToJson(const FleetBody& aBody)
{
  return std::visit(
    Overloaded{ [](const HelloMessage& aHello) {
                 return Json{ { "kind", "hello" },
                              { "zone", aHello.zone.str() },
                              { "address", aHello.address },
                              { "era", aHello.era.value },
                              { "quarantined", ToJson(aHello.quarantinedParts) },
                              { "config", ToJson(aHello.configuration) } };
               },
                [](const HolderHeartbeatMessage& aHeartbeat) {
                  Json json{ { "kind", "beacon" },
                             { "lease", ToJson(aHeartbeat.lease) },
                             { "version", aHeartbeat.version.value },
                             { "version_era", aHeartbeat.version.era.value },
                             { "fence", aHeartbeat.fence.value },
                             { "era", aHeartbeat.era.value },
                             { "stalled", aHeartbeat.state == HolderState::kStalled },
                             { "daemons", aHeartbeat.daemons },
                             { "tables", ToJson(aHeartbeat.notices) },
                             { "quarantined", ToJson(aHeartbeat.quarantinedParts) },
                             { "trials", ToJson(aHeartbeat.partTrials) },
                             { "config", ToJson(aHeartbeat.configuration) },
                             { "peers", aHeartbeat.peers } };
                  if (!aHeartbeat.quotas.empty()) {
                    json["quotas"] = ToJson(aHeartbeat.quotas);
                  }
                  if (aHeartbeat.recordedVersions) {
                    json["software"] = ToJson(*aHeartbeat.recordedVersions);
                  }
                  return json;
                },
                [](const SuspectMessage& aSuspect) { return ToJson(aSuspect); },
                [](const SuspectListMessage& aSuspects) {
                  Json suspects = Json::array();
                  for (const SuspectMessage& suspect : aSuspects.suspects) {
                    suspects.push_back(ToJson(suspect));
                  }
                  return Json{ { "kind", "suspects" }, { "suspects", std::move(suspects) } };
                },
                [](const TableChangesMessage& aChanges) { return ToJson(aChanges); },
                [](const RunnerLeavingMessage& aLeaving) {
                  return Json{ { "kind", "runner_leaving" },
                               { "runner", aLeaving.runner.str() },
                               { "born", aLeaving.startedAtMs } };
                },
                [](const EndpointLimitsMessage& aLimits) { return ToJson(aLimits); },
                [](const ConfigurationQuery& aQuery) { return ToJson(aQuery); },
                [](const ConfigurationReply& aReply) { return ToJson(aReply); },
                [](const EndpointSlownessMessage& aSlowness) { return ToJson(aSlowness); },
                [](const StreamsBegunMessage& aBegun) {
                  Json streams = Json::array();
                  for (const BegunStream& stream : aBegun.streams) {
                    streams.push_back(ToJson(stream));
                  }
                  return Json{ { "kind", "streams" },
                               { "streams", std::move(streams) },
                               { "resent", aBegun.isResent } };
                },
                [](const PlacementRequest& aRequest) {
                  return Json{ { "kind", "ask" }, { "ask", ToJson(aRequest) } };
                },
                [](const AssignmentReleased& aReleased) {
                  return Json{ { "kind", "released" },
                               { "id", ToJson(aReleased.id) },
                               { "end", static_cast<int>(aReleased.end) },
                               { "first", aReleased.timeToFirstEvent.count() } };
                },
                [](const AssignmentInUse& aAssignment) {
                  return Json{ { "kind", "in_use" },
                               { "ask", ToJson(aAssignment.request) },
                               { "runner", aAssignment.runner.str() } };
                },
                [](const PlacementReply& aReply) {
                  return Json{ { "kind", "reply" }, { "reply", ToJson(aReply) } };
                },
                [](const QuotaReport& aReport) { return ToJson(aReport); },
                [](const QuotaReply& aReply) { return ToJson(aReply); } },
    aBody);
}

FleetBody BodyFrom(const Json& aJson)
{
  const std::string kind = TextOf(aJson.at("kind"));
  if (kind == "hello") {
    return HelloMessage{ .zone = ZoneId{ TextOf(aJson.at("zone")) },
                         .address = TextOf(aJson.at("address")),
                         .era = { aJson.value("era", std::uint64_t{ 0 }) },
                         .quarantinedParts =
                           PartGroupsFrom(aJson.value("quarantined", Json::array())),
                         .configuration =
                           ConfigurationStatementFrom(aJson.value("config", Json::object())) };
  }
  if (kind == "beacon") {
    return HolderHeartbeatMessage{
      .lease = LeaseFrom(aJson.at("lease")),
      .version = { aJson.at("version").get<std::uint64_t>(),
                   { aJson.value("version_era", std::uint64_t{ 0 }) } },
      .fence = { aJson.value("fence", std::uint64_t{ 0 }) },
      .state = aJson.at("stalled").get<bool>() ? HolderState::kStalled : HolderState::kRenewing,
      .daemons = aJson.at("daemons").get<std::uint32_t>(),
      .notices = NoticesFrom(aJson.value("tables", Json::object())),
      .era = { aJson.value("era", std::uint64_t{ 0 }) },
      .quarantinedParts = PartGroupsFrom(aJson.value("quarantined", Json::array())),
      .partTrials = PartTrialsFrom(aJson.value("trials", Json::array())),
      .configuration = ConfigurationStatementFrom(aJson.value("config", Json::object())),
      .peers = aJson.value("peers", std::vector<std::string>{}),
      .quotas = QuotaStatementsFrom(aJson.value("quotas", Json::array())),
      .recordedVersions = aJson.contains("software")
                            ? std::optional{ VersionsByServiceFrom(aJson.at("software")) }
                            : std::nullopt
    };
  }
  if (kind == "table_changes") {
    return TableChangesFrom(aJson);
  }
  if (kind == "runner_leaving") {
    return RunnerLeavingMessage{ .runner = EndpointId{ TextOf(aJson.at("runner")) },
                                 .startedAtMs = aJson.at("born").get<std::int64_t>() };
  }
  if (kind == "config_query") {
    return ConfigurationQueryFrom(aJson);
  }
  if (kind == "config_reply") {
    return ConfigurationReplyFrom(aJson);
  }
  if (kind == "limits") {
    return EndpointLimitsFrom(aJson);
  }
  if (kind == "slowness") {
    return EndpointSlownessFrom(aJson);
  }
  if (kind == "streams") {
    StreamsBegunMessage begun{ .streams = {}, .isResent = aJson.value("resent", false) };
    for (const Json& stream : aJson.at("streams")) {
      begun.streams.push_back(BegunStreamFrom(stream));
    }
    return begun;
  }
  if (kind == "suspect") {
    return SuspectFrom(aJson);
  }
  if (kind == "suspects") {
    SuspectListMessage suspects;
    for (const Json& suspect : aJson.at("suspects")) {
      suspects.suspects.push_back(SuspectFrom(suspect));
    }
    return suspects;
  }
  if (kind == "ask") {
    return PlacementRequestFrom(aJson.at("ask"));
  }
  if (kind == "released") {
    return AssignmentReleased{ .id = PlacementRequestIdFrom(aJson.at("id")),
                               .end = static_cast<AssignmentEnd>(aJson.at("end").get<int>()),
                               .timeToFirstEvent =
                                 Duration{ aJson.value("first", Duration::rep{ 0 }) } };
  }
  if (kind == "in_use") {
    return AssignmentInUse{ .request = PlacementRequestFrom(aJson.at("ask")),
                            .runner = EndpointId{ TextOf(aJson.at("runner")) } };
  }
  if (kind == "quota_report") {
    return QuotaReportFrom(aJson);
  }
  if (kind == "quota_reply") {
    return QuotaReplyFrom(aJson);
  }
  if (kind == "reply") {
    return ReplyFrom(aJson.at("reply"));
  }
  throw std::invalid_argument("unknown kind '" + kind + "'");
}

} // namespace

std::string_view NameOfMessage(std::size_t aKind)
{
  constexpr std::array<std::string_view, std::variant_size_v<FleetBody>> kNames{
    "hello",
    "heartbeat",
    "suspect",
    "suspects",
    "table_changes",
    "streams_begun",
    "runner_leaving",
    "endpoint_limits",
    "config_query",
    "config_reply",
    "endpoint_slowness",
    "request",
    "released",
    "in_use",
    "reply",
    "quota_report",
    "quota_reply"
  };
  return kNames.at(aKind);
}

std::vector<std::uint8_t> EncodeFleetMessage(const FleetMessage& aMessage)
{
  Json json = ToJson(aMessage.body);
  json["from"] = aMessage.from.str();
  json["incarnation"] = aMessage.incarnation.str();
  return Json::to_msgpack(json);
}

tl::expected<FleetMessage, std::string> DecodeFleetMessage(const std::string& aBytes)
{
  try {
    const Json json = ParseMessagePack(aBytes);
    return FleetMessage{ .from = DaemonId{ TextOf(json.at("from")) },
                         .incarnation = IncarnationId{ TextOf(json.at("incarnation")) },
                         .body = BodyFrom(json) };
  } catch (const std::exception& error) {
    return tl::make_unexpected(std::string{ error.what() });
  }
}

tl::expected<std::string, std::string> EncodeLeaseRow(const StoredLease& aRow)
{
  Json json = ToJson(aRow.lease);
  json["software"] = ToJson(aRow.content.versions);
  if (!aRow.content.quarantinedParts.empty()) {
    json["quarantined"] = ToJson(aRow.content.quarantinedParts);
    json["trials"] = ToJson(aRow.content.partTrials);
  }
  for (const FingerprintId& request : aRow.content.quarantinedRequests) {
    json["crashing"].push_back(request.str());
  }
  return EncodeJson(json);
}

tl::expected<StoredLease, std::string> DecodeLeaseRow(const std::string& aText)
{
  try {
    const Json json = Json::parse(aText);
    return StoredLease{
      .lease = LeaseFrom(json),
      .content = { .versions = VersionsByServiceFrom(json.value("software", Json::object())),
                   .quarantinedParts = PartGroupsFrom(json.value("quarantined", Json::array())),
                   .partTrials = PartTrialsFrom(json.value("trials", Json::array())),
                   .quarantinedRequests = RequestsFrom(json.value("crashing", Json::array())) }
    };
  } catch (const std::exception& error) {
    return tl::make_unexpected(std::string{ error.what() });
  }
}

} // namespace rhubarbtrail

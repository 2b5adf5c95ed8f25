/* Routes of the administration API, served by cpp-httplib. docs/ADMIN_API.md describes the API. */
#include "operator/admin_server.h"

#include "config/configuration_diff.h"
#include "core/httplib_server.h"
#include "core/log_func.h"
#include "core/number_func.h"
#include "operator/daemon_status.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace rhubarbtrail {

namespace {

using nlohmann::json;

constexpr const char* kBearerPrefix = "Bearer ";
constexpr std::size_t kRequestThreads = 8;
constexpr const char* kJsonContentType = "application/json";
/* Longest wait for the next bytes of a request. */
constexpr std::chrono::seconds kReadTimeout{ 10 };
/* Time after which an idle connection is closed. Stop() may have to wait this long. */
constexpr std::chrono::seconds kKeepAliveTimeout{ 1 };

using httplib::Request;
using httplib::Response;
using Handler = std::function<void(const Request&, Response&, const OperatorKey&)>;

/* Answers with an HTTP status and a JSON body that holds the reason. */
void AnswerError(Response& aResponse, int aStatus, const std::string& aErrorText)
{
  aResponse.status = aStatus;
  aResponse.set_content(
    json{ { "error", aErrorText } }.dump(-1, ' ', false, json::error_handler_t::replace),
    kJsonContentType);
}

json ToJson(const ConfigurationRow& aRow)
{
  return { { "version", aRow.version.value },
           { "author", aRow.author },
           { "comment", aRow.comment },
           { "accepted_at_unix_ms", aRow.acceptedAtUnixMs } };
}

/* Parses a version number, with or without the quotes of an entity tag. */
std::optional<ConfigVersion> ParseVersion(std::string aText)
{
  std::erase(aText, '"');
  const auto value = ParseNumber<std::uint64_t>(aText, 0, std::numeric_limits<std::int64_t>::max());
  return value ? std::optional{ ConfigVersion{ *value } } : std::nullopt;
}

json ToJson(const std::vector<DocumentError>& aErrors)
{
  json list = json::array();
  for (const DocumentError& error : aErrors) {
    list.push_back({ { "line", error.line }, { "path", error.path }, { "reason", error.reason } });
  }
  return list;
}

/* Parses an accepted document. Returns an empty configuration if this daemon finds errors in it. */
Configuration ParseAcceptedDocument(const std::string& aDocument)
{
  return ParseConfiguration(aDocument, {}).value_or(Configuration{});
}

/* Lists the changes from one document to another. The list is empty if the new document has errors.
 * An old document that is empty or has errors counts as an empty configuration. */
json DiffToJson(const std::string& aBefore, const std::string& aAfter)
{
  const auto before =
    aBefore.empty() ? Configuration{} : ParseConfiguration(aBefore, {}).value_or(Configuration{});
  const auto after = ParseConfiguration(aAfter, {});
  json list = json::array();
  if (!after) {
    return list;
  }
  for (const ConfigurationChange& change : DiffConfigurations(before, *after)) {
    json entry{ { "kind", ToString(change.kind) }, { "path", change.path } };
    if (change.kind == ChangeKind::kChanged) {
      entry["before"] = change.before;
      entry["after"] = change.after;
    }
    entry["text"] = ToText(change);
    list.push_back(std::move(entry));
  }
  return list;
}

/* Logs the exception that a handler threw, and answers with status 500. */
void AnswerException(const Request& aRequest, Response& aResponse, const std::exception_ptr& aCause)
{
  try {
    std::rethrow_exception(aCause);
  } catch (const std::exception& error) {
    Log(log_part::kOperator)
      ->error("{} {} failed with an exception and is answered with status 500: {}.",
              aRequest.method,
              aRequest.path,
              error.what());
  }
  AnswerError(aResponse, 500, "the daemon could not answer; its log says why");
}

void Answer(Response& aResponse, const json& aBody)
{
  // What callers and endpoints name may hold anything.
  aResponse.set_content(aBody.dump(-1, ' ', false, json::error_handler_t::replace),
                        kJsonContentType);
}

void AnswerInvalid(Response& aResponse, const std::vector<DocumentError>& aErrors)
{
  aResponse.status = 422;
  Answer(aResponse, { { "error", "the document has errors" }, { "errors", ToJson(aErrors) } });
}

void AnswerTableUnavailable(Response& aResponse)
{
  aResponse.set_header("Retry-After", "2");
  AnswerError(aResponse, 503, "the table service cannot be reached; nothing was changed");
}

} // namespace

struct AdminServer::Impl
{
  Impl(AdminServerOptions aOptions,
       const RcuPointer<Snapshot>& aSnapshot,
       const ConfigurationStore& aStore,
       AdminHooks aHooks)
    : options(std::move(aOptions))
    , snapshot(aSnapshot)
    , store(aStore)
    , hooks(std::move(aHooks))
  {
  }

  void AuthorizeAndHandle(const AdminRoute& aRoute,
                          const Handler& aHandler,
                          const Request& aRequest,
                          Response& aResponse) const;
  /* Registers a route. Its handler is called through AuthorizeAndHandle(). */
  void AddRoute(const AdminRoute& aRoute, Handler aHandler);
  void AddReadRoutes();
  void AddWriteRoutes();
  void GetReady(Response& aResponse) const;
  void GetDump(const Request& aRequest, Response& aResponse) const;
  void GetStatus(const Request& aRequest, Response& aResponse) const;
  void GetQuarantine(Response& aResponse) const;
  void GetConfiguration(const Request& aRequest, Response& aResponse) const;
  void GetHistory(const Request& aRequest, Response& aResponse) const;
  void PostDiff(const Request& aRequest, Response& aResponse) const;
  void PostConfiguration(const Request& aRequest, Response& aResponse, const OperatorKey& aKey);
  void AnswerProposalError(const ConfigurationProposal& aProposal,
                           const ProposalError& aError,
                           Response& aResponse) const;
  void PostRelease(const Request& aRequest, Response& aResponse) const;
  json CurrentStatus() const;

  AdminServerOptions options;
  const RcuPointer<Snapshot>& snapshot;
  const ConfigurationStore& store;
  AdminHooks hooks;
  std::vector<AdminRoute> routes;
  httplib::Server server;
  HttplibServerThread thread{ server };
};

/* Checks the key of a request and calls the handler if the key's role suffices. Logs the call for
 * the audit, unless the route only requires the view role. */
void AdminServer::Impl::AuthorizeAndHandle(const AdminRoute& aRoute,
                                           const Handler& aHandler,
                                           const Request& aRequest,
                                           Response& aResponse) const
{
  if (!aRoute.requiredRole) {
    aHandler(aRequest, aResponse, {});
    return;
  }
  const std::string header = aRequest.get_header_value("Authorization");
  if (!header.starts_with(kBearerPrefix)) {
    AnswerError(aResponse, 401, "an operator's key is needed");
    return;
  }
  const auto key =
    FindOperatorKey(options.keys, header.substr(std::string{ kBearerPrefix }.size()));
  if (!key || key->role < *aRoute.requiredRole) {
    AnswerError(aResponse, 403, "this key does not allow the call");
    // Unknown keys are logged at the debug level only, so that a client without a key cannot fill
    // the log.
    Log(log_part::kOperator)
      ->log(key ? spdlog::level::warn : spdlog::level::debug,
            "Refused {} {} with status 403 for {}.",
            aRoute.method,
            aRoute.path,
            key ? "the key " + key->name : std::string{ "an unknown key" });
    return;
  }
  aHandler(aRequest, aResponse, *key);
  if (*aRoute.requiredRole != OperatorRole::kView) {
    Log(log_part::kOperator)
      ->info(
        "{} called {} {}: status {}.", key->name, aRoute.method, aRoute.path, aResponse.status);
  }
}

void AdminServer::Impl::AddRoute(const AdminRoute& aRoute, Handler aHandler)
{
  routes.push_back(aRoute);
  const auto authorizedHandler =
    [this, aRoute, handler = std::move(aHandler)](const Request& aRequest, Response& aResponse) {
      aResponse.status = 200;
      AuthorizeAndHandle(aRoute, handler, aRequest, aResponse);
    };
  if (aRoute.method == "GET") {
    server.Get(aRoute.path, authorizedHandler);
  } else {
    server.Post(aRoute.path, authorizedHandler);
  }
}

void AdminServer::Impl::GetReady(Response& aResponse) const
{
  const auto readiness =
    snapshot.Read([](const Snapshot& aSnapshot) { return aSnapshot.readiness; });
  const bool isReady = readiness == Readiness::kReady;
  aResponse.status = isReady ? 200 : 503;
  aResponse.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
}

void AdminServer::Impl::GetDump(const Request& aRequest, Response& aResponse) const
{
  const auto entries = hooks.dump();
  if (aRequest.get_param_value("format") == "text") {
    std::string text;
    for (const DumpEntry& entry : entries) {
      text += entry.path + " = " + entry.value + "\n";
    }
    aResponse.set_content(text, "text/plain");
    return;
  }
  json list = json::array();
  for (const DumpEntry& entry : entries) {
    list.push_back({ { "path", entry.path }, { "value", entry.value } });
  }
  Answer(aResponse, list);
}

json AdminServer::Impl::CurrentStatus() const
{
  const auto dump = hooks.dump();
  return snapshot.Read([&](const Snapshot& aSnapshot) { return MakeStatus(aSnapshot, dump); });
}

void AdminServer::Impl::GetStatus(const Request& aRequest, Response& aResponse) const
{
  const json status = CurrentStatus();
  if (aRequest.get_param_value("format") == "text") {
    aResponse.set_content(StatusToText(status), "text/plain");
    return;
  }
  Answer(aResponse, status);
}

void AdminServer::Impl::GetQuarantine(Response& aResponse) const
{
  Answer(aResponse, CurrentStatus()["quarantine"]);
}

void AdminServer::Impl::GetConfiguration(const Request& aRequest, Response& aResponse) const
{
  const bool hasVersion = aRequest.has_param("version");
  const auto requested = ParseVersion(aRequest.get_param_value("version"));
  if (hasVersion && !requested) {
    AnswerError(aResponse, 400, "version must be a number");
    return;
  }
  const auto row = requested ? store.ReadVersion(*requested) : store.ReadNewest();
  if (!row) {
    AnswerError(aResponse, requested ? 404 : 503, "the version cannot be read");
    return;
  }
  aResponse.set_header("ETag", "\"" + std::to_string(row->version.value) + "\"");
  aResponse.set_content(row->document, "application/yaml");
}

void AdminServer::Impl::GetHistory(const Request& aRequest, Response& aResponse) const
{
  /* Limits the number of listed versions, since each one's document is read from the table. */
  constexpr std::uint64_t kMaxHistoryLength = 50;
  constexpr std::uint64_t kDefaultHistoryLength = 20;
  std::uint64_t limit = kDefaultHistoryLength;
  if (aRequest.has_param("limit")) {
    const auto requested =
      ParseNumber<std::uint64_t>(aRequest.get_param_value("limit"), 1, kMaxHistoryLength);
    if (!requested) {
      AnswerError(aResponse, 400, "limit: " + requested.error());
      return;
    }
    limit = *requested;
  }
  const auto newest = store.ReadNewest();
  if (!newest) {
    AnswerTableUnavailable(aResponse);
    return;
  }
  json list = json::array();
  std::optional<ConfigurationRow> row = newest->version.value > 0 ? newest : std::nullopt;
  Configuration after = row ? ParseAcceptedDocument(row->document) : Configuration{};
  while (row && list.size() < limit) {
    const ConfigVersion previousVersion{ row->version.value - 1 };
    const auto previousRow =
      previousVersion.value > 0 ? store.ReadVersion(previousVersion) : std::nullopt;
    Configuration previousConfiguration =
      previousRow ? ParseAcceptedDocument(previousRow->document) : Configuration{};
    json entry = ToJson(*row);
    entry["changes"] = DiffConfigurations(previousConfiguration, after).size();
    list.push_back(std::move(entry));
    row = previousRow;
    after = std::move(previousConfiguration);
  }
  Answer(aResponse, list);
}

void AdminServer::Impl::PostDiff(const Request& aRequest, Response& aResponse) const
{
  const auto newest = store.ReadNewest();
  if (!newest) {
    AnswerTableUnavailable(aResponse);
    return;
  }
  if (const auto parsed = ParseConfiguration(aRequest.body, {}); !parsed) {
    AnswerInvalid(aResponse, parsed.error());
    return;
  }
  Answer(aResponse,
         { { "based_on", newest->version.value },
           { "changes", DiffToJson(newest->document, aRequest.body) } });
}

void AdminServer::Impl::PostConfiguration(const Request& aRequest,
                                          Response& aResponse,
                                          const OperatorKey& aKey)
{
  const auto basedOn = ParseVersion(aRequest.get_header_value("If-Match"));
  if (!basedOn) {
    AnswerError(aResponse, 428, "If-Match must name the version that the change is based on");
    return;
  }
  ConfigurationProposal proposal{ .document = aRequest.body,
                                  .author = aKey.name,
                                  .comment = aRequest.get_header_value("X-Comment"),
                                  .basedOn = *basedOn };
  if (aRequest.has_param("from_version")) {
    const auto from = ParseVersion(aRequest.get_param_value("from_version"));
    const auto row = from ? store.ReadVersion(*from) : std::nullopt;
    if (!row) {
      AnswerError(aResponse, 404, "the version to go back to cannot be read");
      return;
    }
    proposal.document = row->document; // The request body is ignored.
  }
  const auto acceptedRow = store.Accept(proposal);
  if (!acceptedRow) {
    AnswerProposalError(proposal, acceptedRow.error(), aResponse);
    return;
  }
  Log(log_part::kOperator)
    ->info("{} changed the configuration to version {}: {}.",
           aKey.name,
           acceptedRow->version.value,
           acceptedRow->comment.empty() ? "no comment" : acceptedRow->comment);
  hooks.onConfigurationAccepted(*acceptedRow);
  Answer(aResponse, ToJson(*acceptedRow));
}

void AdminServer::Impl::AnswerProposalError(const ConfigurationProposal& aProposal,
                                            const ProposalError& aError,
                                            Response& aResponse) const
{
  switch (aError.errorCode) {
    case ProposalErrorCode::kInvalid:
      AnswerInvalid(aResponse, aError.errors);
      return;
    case ProposalErrorCode::kConflict:
      aResponse.status = 409;
      Answer(aResponse,
             { { "error", "another version was accepted" },
               { "current", ToJson(*aError.current) },
               { "changes", DiffToJson(aError.current->document, aProposal.document) } });
      return;
    case ProposalErrorCode::kUnavailable:
      AnswerTableUnavailable(aResponse);
      return;
    case ProposalErrorCode::kUnknown:
      AnswerError(
        aResponse, 504, "the table service did not answer; the change may have been accepted");
      return;
  }
}

void AdminServer::Impl::PostRelease(const Request& aRequest, Response& aResponse) const
{
  const json quarantine = CurrentStatus()["quarantine"];
  const bool isQuarantined =
    std::any_of(quarantine.begin(), quarantine.end(), [&](const json& aEntry) {
      return aEntry["fingerprint"] == aRequest.body;
    });
  if (!isQuarantined) {
    AnswerError(aResponse, 404, "no request with this fingerprint is in quarantine");
    return;
  }
  hooks.releaseFromQuarantine(FingerprintId{ aRequest.body });
  Answer(aResponse, json::object());
}

void AdminServer::Impl::AddReadRoutes()
{
  constexpr auto kView = OperatorRole::kView;
  using Key = OperatorKey;
  AddRoute({ "GET", "/health", {} }, [](const Request&, Response& aResponse, const Key&) {
    aResponse.set_content("ok\n", "text/plain");
  });
  AddRoute({ "GET", "/ready", {} },
           [this](const Request&, Response& aResponse, const Key&) { GetReady(aResponse); });
  AddRoute({ "GET", "/dump", kView },
           [this](const Request& aRequest, Response& aResponse, const Key&) {
             GetDump(aRequest, aResponse);
           });
  AddRoute({ "GET", "/status", kView },
           [this](const Request& aRequest, Response& aResponse, const Key&) {
             GetStatus(aRequest, aResponse);
           });
  AddRoute({ "GET", "/quarantine", kView },
           [this](const Request&, Response& aResponse, const Key&) { GetQuarantine(aResponse); });
  AddRoute({ "GET", "/metrics", kView }, [this](const Request&, Response& aResponse, const Key&) {
    aResponse.set_content(hooks.metrics(), "text/plain; version=0.0.4");
  });
  AddRoute({ "GET", "/configuration", kView },
           [this](const Request& aRequest, Response& aResponse, const Key&) {
             GetConfiguration(aRequest, aResponse);
           });
  AddRoute({ "GET", "/configuration/history", kView },
           [this](const Request& aRequest, Response& aResponse, const Key&) {
             GetHistory(aRequest, aResponse);
           });
  AddRoute({ "POST", "/configuration/diff", kView },
           [this](const Request& aRequest, Response& aResponse, const Key&) {
             PostDiff(aRequest, aResponse);
           });
}

void AdminServer::Impl::AddWriteRoutes()
{
  constexpr auto kOperate = OperatorRole::kOperate;
  using Key = OperatorKey;
  AddRoute({ "POST", "/configuration", OperatorRole::kConfigure },
           [this](const Request& aRequest, Response& aResponse, const Key& aKey) {
             PostConfiguration(aRequest, aResponse, aKey);
           });
  AddRoute({ "POST", "/log-level", kOperate },
           [](const Request& aRequest, Response& aResponse, const Key&) {
             if (!SetLogLevel(aRequest.body)) {
               AnswerError(aResponse, 400, "the level must be debug, info, warn or error");
               return;
             }
             Answer(aResponse, json::object());
           });
  AddRoute({ "POST", "/drain", kOperate }, [this](const Request&, Response& aResponse, const Key&) {
    hooks.drain();
    Answer(aResponse, json::object());
  });
  AddRoute({ "POST", "/quarantine/release", kOperate },
           [this](const Request& aRequest, Response& aResponse, const Key&) {
             PostRelease(aRequest, aResponse);
           });
}

AdminServer::AdminServer(AdminServerOptions aOptions,
                         const RcuPointer<Snapshot>& aSnapshot,
                         const ConfigurationStore& aStore,
                         AdminHooks aHooks)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), aSnapshot, aStore, std::move(aHooks)))
{
}

AdminServer::~AdminServer()
{
  Stop();
}

std::uint16_t AdminServer::Start()
{
  httplib::Server& server = mImpl->server;
  server.new_task_queue = [] { return new httplib::ThreadPool(kRequestThreads); };
  server.set_tcp_nodelay(true);
  server.set_exception_handler(AnswerException);
  server.set_read_timeout(kReadTimeout);
  server.set_keep_alive_timeout(kKeepAliveTimeout.count());
  server.set_payload_max_length(mImpl->options.bodyLimit);
  mImpl->AddReadRoutes();
  mImpl->AddWriteRoutes();
  return mImpl->thread.Start(mImpl->options.address, mImpl->options.port);
}

const std::vector<AdminRoute>& AdminServer::routes() const
{
  return mImpl->routes;
}

void AdminServer::Stop()
{
  mImpl->thread.Stop();
}

} // namespace rhubarbtrail

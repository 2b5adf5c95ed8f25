/* The administration API on cpp-httplib; docs/ADMIN_API.md describes it. */
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

constexpr const char* kBearer = "Bearer ";
constexpr std::size_t kThreads = 8;
constexpr const char* kJson = "application/json";
/* Time an operator's program may take to send the next part of its request. */
constexpr std::chrono::seconds kReadTimeout{ 10 };
/* Time an idle connection is kept open, which is also how long a stop may take. */
constexpr std::chrono::seconds kKeepAliveTimeout{ 1 };

using httplib::Request;
using httplib::Response;
using Handler = std::function<void(const Request&, Response&, const OperatorKey&)>;

void Fail(Response& aResponse, int aStatus, const std::string& aReason)
{
  aResponse.status = aStatus;
  aResponse.set_content(json{ { "error", aReason } }.dump(), kJson);
}

json Describe(const ConfigurationRow& aRow)
{
  return { { "version", aRow.version.value },
           { "author", aRow.author },
           { "comment", aRow.comment },
           { "accepted_at_unix_ms", aRow.acceptedAtUnixMs } };
}

std::optional<ConfigVersion> ParseVersion(std::string aText)
{
  std::erase(aText, '"');
  const auto value = ParseNumber<std::uint64_t>(aText, 0, std::numeric_limits<std::int64_t>::max());
  return value ? std::optional{ ConfigVersion{ *value } } : std::nullopt;
}

json Describe(const std::vector<DocumentError>& aErrors)
{
  json list = json::array();
  for (const DocumentError& error : aErrors) {
    list.push_back({ { "line", error.line }, { "path", error.path }, { "reason", error.reason } });
  }
  return list;
}

/* Reads an accepted document; empty when this daemon cannot read it. */
Configuration ParseOrEmpty(const std::string& aDocument)
{
  return ParseConfiguration(aDocument, {}).value_or(Configuration{});
}

/* Lists what a document would change in another; documents with errors change nothing. */
json DescribeDiff(const std::string& aBefore, const std::string& aAfter)
{
  const auto before =
    aBefore.empty() ? Configuration{} : ParseConfiguration(aBefore, {}).value_or(Configuration{});
  const auto after = ParseConfiguration(aAfter, {});
  json list = json::array();
  if (!after) {
    return list;
  }
  for (const ConfigurationChange& change : Diff(before, *after)) {
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

/* Answers a call whose handler threw, and logs why. */
void AnswerException(const Request& aRequest, Response& aResponse, const std::exception_ptr& aCause)
{
  try {
    std::rethrow_exception(aCause);
  } catch (const std::exception& error) {
    Log(log_part::kOperator)
      ->error("{} {} failed: {}.", aRequest.method, aRequest.path, error.what());
  }
  Fail(aResponse, 500, "the daemon could not answer; its log says why");
}

void Answer(Response& aResponse, const json& aBody)
{
  aResponse.set_content(aBody.dump(), kJson);
}

void AnswerInvalid(Response& aResponse, const std::vector<DocumentError>& aErrors)
{
  aResponse.status = 422;
  Answer(aResponse, { { "error", "the document has errors" }, { "errors", Describe(aErrors) } });
}

void AnswerTableDown(Response& aResponse)
{
  aResponse.set_header("Retry-After", "2");
  Fail(aResponse, 503, "the table service cannot be reached; nothing was changed");
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

  void Guard(const AdminRoute& aRoute,
             const Handler& aHandler,
             const Request& aRequest,
             Response& aResponse) const;
  void Add(const AdminRoute& aRoute, Handler aHandler);
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
  void AnswerProposalError(const Proposal& aProposal,
                           const ProposalError& aError,
                           Response& aResponse) const;
  void PostRelease(const Request& aRequest, Response& aResponse) const;
  json Status() const;

  AdminServerOptions options;
  const RcuPointer<Snapshot>& snapshot;
  const ConfigurationStore& store;
  AdminHooks hooks;
  std::vector<AdminRoute> routes;
  httplib::Server server;
  HttpServerThread thread{ server };
};

/* Checks the key of a call, makes it, and leaves an audit line unless it only reads. */
void AdminServer::Impl::Guard(const AdminRoute& aRoute,
                              const Handler& aHandler,
                              const Request& aRequest,
                              Response& aResponse) const
{
  if (!aRoute.role) {
    aHandler(aRequest, aResponse, {});
    return;
  }
  const std::string header = aRequest.get_header_value("Authorization");
  if (!header.starts_with(kBearer)) {
    Fail(aResponse, 401, "an operator's key is needed");
    return;
  }
  const auto key = FindOperatorKey(options.keys, header.substr(std::string{ kBearer }.size()));
  if (!key || key->role < *aRoute.role) {
    Fail(aResponse, 403, "this key does not allow the call");
    // Anybody can send unknown keys, so that they must not fill the log.
    Log(log_part::kOperator)
      ->log(key ? spdlog::level::warn : spdlog::level::debug,
            "Refused {} {} to {}.",
            aRoute.method,
            aRoute.path,
            key ? "the key " + key->name : std::string{ "an unknown key" });
    return;
  }
  aHandler(aRequest, aResponse, *key);
  if (*aRoute.role != OperatorRole::kView) {
    Log(log_part::kOperator)
      ->info("{} called {} {}: {}.", key->name, aRoute.method, aRoute.path, aResponse.status);
  }
}

void AdminServer::Impl::Add(const AdminRoute& aRoute, Handler aHandler)
{
  routes.push_back(aRoute);
  const auto guarded = [this, aRoute, handler = std::move(aHandler)](const Request& aRequest,
                                                                     Response& aResponse) {
    aResponse.status = 200;
    Guard(aRoute, handler, aRequest, aResponse);
  };
  if (aRoute.method == "GET") {
    server.Get(aRoute.path, guarded);
  } else {
    server.Post(aRoute.path, guarded);
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

json AdminServer::Impl::Status() const
{
  const auto dump = hooks.dump();
  return snapshot.Read([&](const Snapshot& aSnapshot) { return MakeStatus(aSnapshot, dump); });
}

void AdminServer::Impl::GetStatus(const Request& aRequest, Response& aResponse) const
{
  const json status = Status();
  if (aRequest.get_param_value("format") == "text") {
    aResponse.set_content(StatusToText(status), "text/plain");
    return;
  }
  Answer(aResponse, status);
}

void AdminServer::Impl::GetQuarantine(Response& aResponse) const
{
  Answer(aResponse, Status()["quarantine"]);
}

void AdminServer::Impl::GetConfiguration(const Request& aRequest, Response& aResponse) const
{
  const bool isNamed = aRequest.has_param("version");
  const auto wanted = ParseVersion(aRequest.get_param_value("version"));
  if (isNamed && !wanted) {
    Fail(aResponse, 400, "version must be a number");
    return;
  }
  const auto row = wanted ? store.Version(*wanted) : store.Newest();
  if (!row) {
    Fail(aResponse, wanted ? 404 : 503, "the version cannot be read");
    return;
  }
  aResponse.set_header("ETag", "\"" + std::to_string(row->version.value) + "\"");
  aResponse.set_content(row->document, "application/yaml");
}

void AdminServer::Impl::GetHistory(const Request& aRequest, Response& aResponse) const
{
  /* Versions listed at most, the newest first; each one's document is read. */
  constexpr std::uint64_t kHistoryLimit = 50;
  constexpr std::uint64_t kHistoryDefault = 20;
  std::uint64_t limit = kHistoryDefault;
  if (aRequest.has_param("limit")) {
    const auto wanted =
      ParseNumber<std::uint64_t>(aRequest.get_param_value("limit"), 1, kHistoryLimit);
    if (!wanted) {
      Fail(aResponse, 400, "limit: " + wanted.error());
      return;
    }
    limit = *wanted;
  }
  const auto newest = store.Newest();
  if (!newest) {
    AnswerTableDown(aResponse);
    return;
  }
  json list = json::array();
  std::optional<ConfigurationRow> row = newest->version.value > 0 ? newest : std::nullopt;
  Configuration after = row ? ParseOrEmpty(row->document) : Configuration{};
  while (row && list.size() < limit) {
    const ConfigVersion before{ row->version.value - 1 };
    const auto earlier = before.value > 0 ? store.Version(before) : std::nullopt;
    Configuration former = earlier ? ParseOrEmpty(earlier->document) : Configuration{};
    json entry = Describe(*row);
    entry["changes"] = Diff(former, after).size();
    list.push_back(std::move(entry));
    row = earlier;
    after = std::move(former);
  }
  Answer(aResponse, list);
}

void AdminServer::Impl::PostDiff(const Request& aRequest, Response& aResponse) const
{
  const auto newest = store.Newest();
  if (!newest) {
    AnswerTableDown(aResponse);
    return;
  }
  if (const auto parsed = ParseConfiguration(aRequest.body, {}); !parsed) {
    AnswerInvalid(aResponse, parsed.error());
    return;
  }
  Answer(aResponse,
         { { "based_on", newest->version.value },
           { "changes", DescribeDiff(newest->document, aRequest.body) } });
}

void AdminServer::Impl::PostConfiguration(const Request& aRequest,
                                          Response& aResponse,
                                          const OperatorKey& aKey)
{
  const auto basedOn = ParseVersion(aRequest.get_header_value("If-Match"));
  if (!basedOn) {
    Fail(aResponse, 428, "If-Match must name the version that the change is based on");
    return;
  }
  Proposal proposal{ .document = aRequest.body,
                     .author = aKey.name,
                     .comment = aRequest.get_header_value("X-Comment"),
                     .basedOn = *basedOn };
  if (aRequest.has_param("from_version")) {
    const auto from = ParseVersion(aRequest.get_param_value("from_version"));
    const auto row = from ? store.Version(*from) : std::nullopt;
    if (!row) {
      Fail(aResponse, 404, "the version to go back to cannot be read");
      return;
    }
    proposal.document = row->document;
  }
  const auto accepted = store.Accept(proposal);
  if (!accepted) {
    AnswerProposalError(proposal, accepted.error(), aResponse);
    return;
  }
  Log(log_part::kOperator)
    ->info("{} changed the configuration to version {}: {}.",
           aKey.name,
           accepted->version.value,
           accepted->comment.empty() ? "no comment" : accepted->comment);
  hooks.accepted(*accepted);
  Answer(aResponse, Describe(*accepted));
}

void AdminServer::Impl::AnswerProposalError(const Proposal& aProposal,
                                            const ProposalError& aError,
                                            Response& aResponse) const
{
  switch (aError.fault) {
    case ProposalFault::kInvalid:
      AnswerInvalid(aResponse, aError.errors);
      return;
    case ProposalFault::kConflict:
      aResponse.status = 409;
      Answer(aResponse,
             { { "error", "another version was accepted" },
               { "current", Describe(*aError.current) },
               { "changes", DescribeDiff(aError.current->document, aProposal.document) } });
      return;
    case ProposalFault::kUnavailable:
      AnswerTableDown(aResponse);
      return;
    case ProposalFault::kUnknown:
      Fail(aResponse, 504, "the table service did not answer; the change may have been accepted");
      return;
  }
}

void AdminServer::Impl::PostRelease(const Request& aRequest, Response& aResponse) const
{
  const json listed = Status()["quarantine"];
  const bool isListed = std::any_of(listed.begin(), listed.end(), [&](const json& aEntry) {
    return aEntry["fingerprint"] == aRequest.body;
  });
  if (!isListed) {
    Fail(aResponse, 404, "no request with this fingerprint is in quarantine");
    return;
  }
  hooks.release(FingerprintId{ aRequest.body });
  Answer(aResponse, json::object());
}

void AdminServer::Impl::AddReadRoutes()
{
  constexpr auto kView = OperatorRole::kView;
  using Key = OperatorKey;
  Add({ "GET", "/health", {} }, [](const Request&, Response& aResponse, const Key&) {
    aResponse.set_content("ok\n", "text/plain");
  });
  Add({ "GET", "/ready", {} },
      [this](const Request&, Response& aResponse, const Key&) { GetReady(aResponse); });
  Add({ "GET", "/dump", kView }, [this](const Request& aRequest, Response& aResponse, const Key&) {
    GetDump(aRequest, aResponse);
  });
  Add({ "GET", "/status", kView },
      [this](const Request& aRequest, Response& aResponse, const Key&) {
        GetStatus(aRequest, aResponse);
      });
  Add({ "GET", "/quarantine", kView },
      [this](const Request&, Response& aResponse, const Key&) { GetQuarantine(aResponse); });
  Add({ "GET", "/metrics", kView }, [this](const Request&, Response& aResponse, const Key&) {
    aResponse.set_content(hooks.metrics(), "text/plain; version=0.0.4");
  });
  Add({ "GET", "/configuration", kView },
      [this](const Request& aRequest, Response& aResponse, const Key&) {
        GetConfiguration(aRequest, aResponse);
      });
  Add({ "GET", "/configuration/history", kView },
      [this](const Request& aRequest, Response& aResponse, const Key&) {
        GetHistory(aRequest, aResponse);
      });
  Add({ "POST", "/configuration/diff", kView },
      [this](const Request& aRequest, Response& aResponse, const Key&) {
        PostDiff(aRequest, aResponse);
      });
}

void AdminServer::Impl::AddWriteRoutes()
{
  constexpr auto kOperate = OperatorRole::kOperate;
  using Key = OperatorKey;
  Add({ "POST", "/configuration", OperatorRole::kConfigure },
      [this](const Request& aRequest, Response& aResponse, const Key& aKey) {
        PostConfiguration(aRequest, aResponse, aKey);
      });
  Add({ "POST", "/log-level", kOperate },
      [](const Request& aRequest, Response& aResponse, const Key&) {
        if (!SetLogLevel(aRequest.body)) {
          Fail(aResponse, 400, "the level must be debug, info, warn or error");
          return;
        }
        Answer(aResponse, json::object());
      });
  Add({ "POST", "/drain", kOperate }, [this](const Request&, Response& aResponse, const Key&) {
    hooks.drain();
    Answer(aResponse, json::object());
  });
  Add({ "POST", "/quarantine/release", kOperate },
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
  server.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
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

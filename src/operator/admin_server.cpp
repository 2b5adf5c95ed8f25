/* The administration API on cpp-httplib; docs/ADMIN_API.md describes it. */
#include "operator/admin_server.h"

#include "core/log_func.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <thread>

namespace rhubarbtrail {

namespace {

using nlohmann::json;

constexpr const char* kBearer = "Bearer ";
constexpr std::size_t kThreads = 8;
constexpr const char* kJson = "application/json";

using Handler =
  std::function<void(const httplib::Request&, httplib::Response&, const OperatorKey&)>;

void Fail(httplib::Response& aResponse, int aStatus, const std::string& aReason)
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

std::optional<std::uint64_t> ParseVersion(std::string aText)
{
  std::erase(aText, '"');
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  const bool isNumber = error == std::errc{} && end == aText.data() + aText.size();
  return isNumber && !aText.empty() ? std::optional{ value } : std::nullopt;
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

  httplib::Server::Handler Guard(OperatorRole aRole, Handler aHandler);
  void AddRoutes();
  void PostConfiguration(const httplib::Request& aRequest,
                         httplib::Response& aResponse,
                         const OperatorKey& aKey);
  void GetConfiguration(const httplib::Request& aRequest, httplib::Response& aResponse);
  void GetHistory(httplib::Response& aResponse);

  AdminServerOptions options;
  const RcuPointer<Snapshot>& snapshot;
  const ConfigurationStore& store;
  AdminHooks hooks;
  httplib::Server server;
  std::thread thread;
};

httplib::Server::Handler AdminServer::Impl::Guard(OperatorRole aRole, Handler aHandler)
{
  return [this, aRole, handler = std::move(aHandler)](const httplib::Request& aRequest,
                                                      httplib::Response& aResponse) {
    const std::string header = aRequest.get_header_value("Authorization");
    if (!header.starts_with(kBearer)) {
      Fail(aResponse, 401, "an operator's key is needed");
      return;
    }
    const auto key = FindOperatorKey(options.keys, header.substr(std::string{ kBearer }.size()));
    if (!key || key->role < aRole) {
      Fail(aResponse, 403, "this key does not allow the call");
      return;
    }
    if (aRequest.method != "GET") {
      Log(log_part::kOperator)->info("{} called {} {}.", key->name, aRequest.method, aRequest.path);
    }
    handler(aRequest, aResponse, *key);
  };
}

void AdminServer::Impl::PostConfiguration(const httplib::Request& aRequest,
                                          httplib::Response& aResponse,
                                          const OperatorKey& aKey)
{
  const auto basedOn = ParseVersion(aRequest.get_header_value("If-Match"));
  if (!basedOn) {
    Fail(aResponse, 428, "If-Match must name the version that the change is based on");
    return;
  }
  const auto accepted = store.Accept({ .document = aRequest.body,
                                       .author = aKey.name,
                                       .comment = aRequest.get_header_value("X-Comment"),
                                       .basedOn = { *basedOn } });
  if (accepted) {
    Log(log_part::kOperator)
      ->info("{} changed the configuration to version {}.", aKey.name, accepted->version.value);
    hooks.accepted(*accepted);
    aResponse.set_content(Describe(*accepted).dump(), kJson);
    return;
  }
  const ProposalError& error = accepted.error();
  switch (error.fault) {
    case ProposalFault::kInvalid: {
      json list = json::array();
      for (const DocumentError& fault : error.errors) {
        list.push_back(
          { { "line", fault.line }, { "path", fault.path }, { "reason", fault.reason } });
      }
      aResponse.status = 422;
      aResponse.set_content(
        json{ { "error", "the document has errors" }, { "errors", list } }.dump(), kJson);
      return;
    }
    case ProposalFault::kConflict:
      aResponse.status = 409;
      aResponse.set_content(json{ { "error", "another version was accepted" },
                                  { "current", Describe(*error.current) },
                                  { "document", error.current->document } }
                              .dump(),
                            kJson);
      return;
    case ProposalFault::kUnavailable:
      aResponse.set_header("Retry-After", "2");
      Fail(aResponse, 503, "the table service cannot be reached; nothing was changed");
      return;
    case ProposalFault::kUnknown:
      Fail(aResponse, 504, "the table service did not answer; the change may have been accepted");
      return;
  }
}

void AdminServer::Impl::GetConfiguration(const httplib::Request& aRequest,
                                         httplib::Response& aResponse)
{
  const auto wanted = ParseVersion(aRequest.get_param_value("version"));
  const auto row = wanted ? store.Version({ *wanted }) : store.Newest();
  if (!row) {
    Fail(aResponse, wanted ? 404 : 503, "the version cannot be read");
    return;
  }
  aResponse.set_header("ETag", "\"" + std::to_string(row->version.value) + "\"");
  aResponse.set_content(row->document, "application/yaml");
}

void AdminServer::Impl::GetHistory(httplib::Response& aResponse)
{
  /* Versions listed at most, the newest first. */
  constexpr std::uint64_t kHistoryLimit = 50;
  const auto newest = store.Newest();
  if (!newest) {
    Fail(aResponse, 503, "the table service cannot be reached");
    return;
  }
  json list = json::array();
  for (std::uint64_t version = newest->version.value; version > 0 && list.size() < kHistoryLimit;
       --version) {
    if (const auto row = store.Version({ version })) {
      list.push_back(Describe(*row));
    }
  }
  aResponse.set_content(list.dump(), kJson);
}

void AdminServer::Impl::AddRoutes()
{
  using httplib::Request;
  using httplib::Response;
  server.Get("/health", [](const Request&, Response& aResponse) {
    aResponse.set_content("ok\n", "text/plain");
  });
  server.Get("/ready", [this](const Request&, Response& aResponse) {
    const auto readiness =
      snapshot.Read([](const Snapshot& aSnapshot) { return aSnapshot.readiness; });
    const bool isReady = readiness == Readiness::kReady;
    aResponse.status = isReady ? 200 : 503;
    aResponse.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
  });
  server.Get("/dump",
             Guard(OperatorRole::kView,
                   [this](const Request& aRequest, Response& aResponse, const OperatorKey&) {
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
                     aResponse.set_content(list.dump(), kJson);
                   }));
  server.Get(
    "/metrics",
    Guard(OperatorRole::kView, [this](const Request&, Response& aResponse, const OperatorKey&) {
      aResponse.set_content(hooks.metrics(), "text/plain");
    }));
  server.Get("/configuration",
             Guard(OperatorRole::kView,
                   [this](const Request& aRequest, Response& aResponse, const OperatorKey&) {
                     GetConfiguration(aRequest, aResponse);
                   }));
  server.Get(
    "/configuration/history",
    Guard(OperatorRole::kView, [this](const Request&, Response& aResponse, const OperatorKey&) {
      GetHistory(aResponse);
    }));
  server.Post("/configuration",
              Guard(OperatorRole::kConfigure,
                    [this](const Request& aRequest, Response& aResponse, const OperatorKey& aKey) {
                      PostConfiguration(aRequest, aResponse, aKey);
                    }));
  server.Post("/log-level",
              Guard(OperatorRole::kOperate,
                    [](const Request& aRequest, Response& aResponse, const OperatorKey&) {
                      if (!SetLogLevel(aRequest.body)) {
                        Fail(aResponse, 400, "the level must be debug, info, warn or error");
                        return;
                      }
                      aResponse.set_content("{}", kJson);
                    }));
  server.Post(
    "/drain",
    Guard(OperatorRole::kOperate, [this](const Request&, Response& aResponse, const OperatorKey&) {
      hooks.drain();
      aResponse.set_content("{}", kJson);
    }));
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
  server.set_payload_max_length(mImpl->options.bodyLimit);
  mImpl->AddRoutes();
  const char* address = mImpl->options.address.c_str();
  const int port = mImpl->options.port == 0 ? server.bind_to_any_port(address)
                   : server.bind_to_port(address, mImpl->options.port) ? mImpl->options.port
                                                                       : -1;
  if (port <= 0) {
    return 0;
  }
  mImpl->thread = std::thread([&server] { server.listen_after_bind(); });
  return static_cast<std::uint16_t>(port);
}

void AdminServer::Stop()
{
  mImpl->server.stop();
  if (mImpl->thread.joinable()) {
    mImpl->thread.join();
  }
}

} // namespace rhubarbtrail

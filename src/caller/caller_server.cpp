/* The HTTP front for callers, on cpp-httplib. */
#include "caller/caller_server.h"

#include "caller/caller_connection.h"
#include "caller/error_body.h"
#include "core/digest_func.h"
#include "core/http_server.h"
#include "core/log_func.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <atomic>
#include <charconv>

namespace rhubarbtrail {

namespace {

using nlohmann::json;

/* Bytes that the headers of a request may take beside its body. */
constexpr std::size_t kHeaderLimit = 64U << 10U;
/* Time between looks whether a waiting caller has gone. */
constexpr Duration kPresenceCheck = 200ms;
/* Requests on one connection before it is closed. */
constexpr std::size_t kKeepAliveRequests = 100'000;
/* Characters of a prompt that identify the prefix which an engine may have cached. */
constexpr std::size_t kPrefixLength = 256;
constexpr std::size_t kKeyLengthLimit = 128;
/* Longest deadline that a caller may ask for. */
constexpr std::int64_t kDeadlineLimitMs = 86'400'000;
constexpr const char* kBearer = "Bearer ";
constexpr const char* kDefaultClass = "default";

/* A request that was checked as far as the snapshot allows. */
struct Checked
{
  RequestArrived arrived;
  EndpointCall call;
};

/* A refusal at the door. */
struct Refusal
{
  ResultCode code = ResultCode::kRequestMalformed;
  std::string detail;
};

using CheckResult = tl::expected<Checked, Refusal>;

tl::unexpected<Refusal> Refuse(ResultCode aCode, std::string aDetail = {})
{
  return tl::make_unexpected(Refusal{ aCode, std::move(aDetail) });
}

tl::expected<CustomerId, Refusal> Authenticate(const Snapshot& aSnapshot,
                                               const httplib::Request& aRequest)
{
  const std::string header = aRequest.get_header_value("Authorization");
  if (!header.starts_with(kBearer)) {
    return Refuse(ResultCode::kKeyMissing);
  }
  const auto found = aSnapshot.customersByKeyHash.find(
    Sha256Hex(std::string_view{ header }.substr(std::string_view{ kBearer }.size())));
  if (found == aSnapshot.customersByKeyHash.end()) {
    return Refuse(ResultCode::kKeyWrong);
  }
  return found->second;
}

/* Fills in what headers say: class, deadline and idempotency key. */
tl::expected<void, Refusal> ReadHeaders(const httplib::Request& aRequest, Checked& aChecked)
{
  const std::string deadline = aRequest.get_header_value("X-Deadline-Ms");
  if (!deadline.empty()) {
    std::int64_t value = 0;
    const auto [end, error] =
      std::from_chars(deadline.data(), deadline.data() + deadline.size(), value);
    const bool isNumber = error == std::errc{} && end == deadline.data() + deadline.size();
    if (!isNumber || value < 1 || value > kDeadlineLimitMs) {
      return Refuse(ResultCode::kRequestMalformed, "X-Deadline-Ms must be 1 to 86400000");
    }
    aChecked.arrived.timeLeft = std::chrono::milliseconds{ value };
  }
  const std::string key = aRequest.get_header_value("Idempotency-Key");
  if (key.size() > kKeyLengthLimit) {
    return Refuse(ResultCode::kRequestMalformed, "Idempotency-Key has at most 128 characters");
  }
  aChecked.arrived.key = IdempotencyKey{ key };
  const std::string requestClass = aRequest.get_header_value("X-Request-Class");
  aChecked.arrived.requestClass = ClassId{ requestClass.empty() ? kDefaultClass : requestClass };
  return {};
}

void ReadFingerprint(const httplib::Request& aRequest, Checked& aChecked)
{
  aChecked.arrived.fingerprint =
    FingerprintId{ Sha256Hex(aRequest.method + " " + aRequest.path + "\n" + aRequest.body) };
  aChecked.arrived.prefixHash =
    std::hash<std::string_view>{}(std::string_view{ aRequest.body }.substr(0, kPrefixLength));
  aChecked.arrived.bytes = aRequest.body.size();
}

/* Splits "model:adapter" and finds both in the configuration. */
tl::expected<Artifact, Refusal> FindArtifact(const Configuration& aConfiguration,
                                             const CustomerSpec& aCustomer,
                                             const std::string& aName)
{
  const auto colon = aName.find(':');
  const ModelId modelId{ aName.substr(0, colon) };
  const auto model = aConfiguration.models.find(modelId);
  const bool isAllowed = aCustomer.allModels || aCustomer.models.contains(modelId);
  if (model == aConfiguration.models.end() || !isAllowed) {
    return Refuse(ResultCode::kModelUnknown);
  }
  Artifact artifact{ .model = modelId, .adapter = {} };
  if (colon != std::string::npos) {
    artifact.adapter = AdapterId{ aName.substr(colon + 1) };
    if (!model->second.adapters.contains(artifact.adapter)) {
      return Refuse(ResultCode::kModelUnknown, "the model has no such adapter");
    }
  }
  return artifact;
}

tl::expected<json, Refusal> ReadCompletionBody(const std::string& aBody)
{
  json body = json::parse(aBody, nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return Refuse(ResultCode::kRequestMalformed, "the body is not a JSON object");
  }
  if (!body.contains("model") || !body["model"].is_string()) {
    return Refuse(ResultCode::kRequestMalformed, "model must be a text");
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return Refuse(ResultCode::kRequestMalformed, "stream must be true or false");
  }
  if (body.contains("max_tokens") && !body["max_tokens"].is_number_unsigned()) {
    return Refuse(ResultCode::kRequestMalformed, "max_tokens must be a whole number");
  }
  return body;
}

CheckResult CheckCompletion(const Snapshot& aSnapshot, const httplib::Request& aRequest)
{
  const auto customerId = Authenticate(aSnapshot, aRequest);
  if (!customerId) {
    return tl::make_unexpected(customerId.error());
  }
  const auto body = ReadCompletionBody(aRequest.body);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  const Configuration& configuration = *aSnapshot.configuration;
  const CustomerSpec& customer = configuration.customers.at(*customerId);
  const auto artifact = FindArtifact(configuration, customer, body->at("model").get<std::string>());
  if (!artifact) {
    return tl::make_unexpected(artifact.error());
  }
  Checked checked;
  if (const auto headers = ReadHeaders(aRequest, checked); !headers) {
    return tl::make_unexpected(headers.error());
  }
  const auto requestClass = configuration.classes.find(checked.arrived.requestClass);
  if (requestClass == configuration.classes.end()) {
    return Refuse(ResultCode::kRequestMalformed, "X-Request-Class names no declared class");
  }
  checked.arrived.customer = *customerId;
  checked.arrived.artifact = *artifact;
  checked.arrived.service = configuration.models.at(artifact->model).service;
  ReadFingerprint(aRequest, checked);
  checked.call = { .method = "POST",
                   .path = aRequest.path,
                   .contentType = "application/json",
                   .body = aRequest.body,
                   .headers = {},
                   .form = body->value("stream", false) ? AnswerForm::kStream : AnswerForm::kWhole,
                   .repeatability = requestClass->second.repeatability };
  return checked;
}

/* Headers that a call to a plain service keeps. */
constexpr std::array kPassedHeaders{ "Accept", "Accept-Language", "Idempotency-Key" };

CheckResult CheckServiceCall(const Snapshot& aSnapshot, const httplib::Request& aRequest)
{
  const auto customerId = Authenticate(aSnapshot, aRequest);
  if (!customerId) {
    return tl::make_unexpected(customerId.error());
  }
  const Configuration& configuration = *aSnapshot.configuration;
  const CustomerSpec& customer = configuration.customers.at(*customerId);
  const ServiceId serviceId{ aRequest.matches[1].str() };
  const auto service = configuration.services.find(serviceId);
  const bool isKnown = service != configuration.services.end() &&
                       service->second.kind == ServiceKind::kPlain &&
                       customer.services.contains(serviceId);
  if (!isKnown) {
    return Refuse(ResultCode::kServiceUnknown);
  }
  Checked checked;
  if (const auto headers = ReadHeaders(aRequest, checked); !headers) {
    return tl::make_unexpected(headers.error());
  }
  const std::string path = aRequest.matches[2].str();
  const auto& routes = service->second.routes;
  const auto route = std::find_if(routes.begin(), routes.end(), [&](const RouteSpec& aRoute) {
    return (aRoute.method.empty() || aRoute.method == aRequest.method) &&
           path.starts_with(aRoute.pathPrefix);
  });
  if (route == routes.end()) {
    return Refuse(ResultCode::kServiceUnknown, "the service declares no such route");
  }
  checked.arrived.requestClass = route->requestClass;
  checked.arrived.customer = *customerId;
  checked.arrived.service = serviceId;
  ReadFingerprint(aRequest, checked);
  const auto query = aRequest.target.find('?');
  checked.call = { .method = aRequest.method,
                   .path = path + (query == std::string::npos ? "" : aRequest.target.substr(query)),
                   .contentType = aRequest.get_header_value("Content-Type"),
                   .body = aRequest.body,
                   .headers = {},
                   .form = AnswerForm::kWhole,
                   .repeatability = configuration.classes.at(route->requestClass).repeatability };
  for (const char* name : kPassedHeaders) {
    if (aRequest.has_header(name)) {
      checked.call.headers.emplace_back(name, aRequest.get_header_value(name));
    }
  }
  return checked;
}

/* Returns whether it is certain where a request's body ends: one length, a number, or chunks. */
bool IsFramingSound(const httplib::Request& aRequest)
{
  const std::size_t lengths = aRequest.get_header_value_count("Content-Length");
  const bool isChunked = aRequest.has_header("Transfer-Encoding");
  const std::string length = aRequest.get_header_value("Content-Length");
  return lengths + (isChunked ? 1 : 0) <= 1 &&
         length.find_first_not_of("0123456789") == std::string::npos &&
         (lengths == 0 || !length.empty());
}

void WriteRefusal(httplib::Response& aResponse,
                  const FinishRequest& aFinish,
                  const std::string& aDetail = {})
{
  aResponse.status = Describe(aFinish.code).httpStatus;
  if (aFinish.retryAfter.count() > 0) {
    aResponse.set_header("Retry-After", RetryAfterSeconds(aFinish.retryAfter));
  }
  aResponse.set_header("X-Result-Code", std::to_string(static_cast<int>(aFinish.code)));
  aResponse.set_content(MakeErrorBody(aFinish.code, aFinish.request, aDetail), "application/json");
}

} // namespace

struct CallerServer::Impl
{
  Impl(CallerServerOptions aOptions,
       const RcuPointer<Snapshot>& aSnapshot,
       SessionMap& aSessions,
       std::function<void(Event)> aPost)
    : options(std::move(aOptions))
    , snapshot(aSnapshot)
    , sessions(aSessions)
    , post(std::move(aPost))
    , server({ .requestLimit = options.bodyLimit + kHeaderLimit })
  {
  }

  RequestId NextRequestId()
  {
    return RequestId{ options.requestIdPrefix + "-" +
                      std::to_string(nextNumber.fetch_add(1, std::memory_order_relaxed)) };
  }

  /* What is kept of a request until it ends. */
  struct Watch
  {
    RequestId id;
    ClassId requestClass; ///< Empty for a request that was refused at the door.
    std::chrono::steady_clock::time_point started = std::chrono::steady_clock::now();
  };
  void NoteEnd(const Watch& aWatch, ResultCode aCode) const;

  void ListModels(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Serve(const httplib::Request& aRequest,
             httplib::Response& aResponse,
             CheckResult (*aCheck)(const Snapshot&, const httplib::Request&));
  void AnswerWhole(Session& aSession, const Watch& aWatch, httplib::Response& aResponse);
  void AnswerStream(const std::shared_ptr<Session>& aSession,
                    const Watch& aWatch,
                    httplib::Response& aResponse);
  AnswerPart WaitPart(Session& aSession);
  void AddRoutes();

  CallerServerOptions options;
  const RcuPointer<Snapshot>& snapshot;
  SessionMap& sessions;
  std::function<void(Event)> post;
  std::atomic<std::uint64_t> nextNumber{ 1 };
  BoundedServer server;
  HttpServerThread thread{ server };
};

/* Logs and measures a request that has ended. */
void CallerServer::Impl::NoteEnd(const Watch& aWatch, ResultCode aCode) const
{
  const auto latency =
    std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - aWatch.started);
  Log(log_part::kRouter)
    ->debug("Request {} of class '{}' ended with {} {} after {} us.",
            aWatch.id.str(),
            aWatch.requestClass.str(),
            static_cast<int>(aCode),
            Describe(aCode).name,
            latency.count());
  if (options.finished) {
    options.finished({ .code = aCode, .requestClass = aWatch.requestClass, .latency = latency });
  }
}

void CallerServer::Impl::ListModels(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const RequestId id = NextRequestId();
  snapshot.Read([&](const Snapshot& aSnapshot) {
    const auto customerId = Authenticate(aSnapshot, aRequest);
    if (!customerId) {
      WriteRefusal(aResponse, { .request = id, .code = customerId.error().code });
      return;
    }
    const CustomerSpec& customer = aSnapshot.configuration->customers.at(*customerId);
    json list = json::array();
    for (const auto& [modelId, model] : aSnapshot.configuration->models) {
      if (!customer.allModels && !customer.models.contains(modelId)) {
        continue;
      }
      list.push_back({ { "id", modelId.str() }, { "object", "model" } });
      for (const auto& [adapterId, adapter] : model.adapters) {
        list.push_back({ { "id", modelId.str() + ":" + adapterId.str() }, { "object", "model" } });
      }
    }
    aResponse.set_content(json{ { "object", "list" }, { "data", list } }.dump(),
                          "application/json");
  });
}

void CallerServer::Impl::Serve(const httplib::Request& aRequest,
                               httplib::Response& aResponse,
                               CheckResult (*aCheck)(const Snapshot&, const httplib::Request&))
{
  const RequestId id = NextRequestId();
  Watch watch{ .id = id, .requestClass = {} };
  aResponse.set_header("X-Request-Id", id.str());
  CheckResult checked =
    snapshot.Read([&](const Snapshot& aSnapshot) { return aCheck(aSnapshot, aRequest); });
  if (!checked) {
    WriteRefusal(
      aResponse, { .request = id, .code = checked.error().code }, checked.error().detail);
    NoteEnd(watch, checked.error().code);
    return;
  }
  const bool isStream = checked->call.form == AnswerForm::kStream;
  auto session = std::make_shared<Session>(id, std::move(checked->call));
  sessions.Add(session);
  checked->arrived.request = id;
  watch.requestClass = checked->arrived.requestClass;
  post(std::move(checked->arrived));
  if (isStream) {
    AnswerStream(session, watch, aResponse);
  } else {
    AnswerWhole(*session, watch, aResponse);
  }
}

/* Waits for the next part of an answer; a caller that goes meanwhile cancels its request. */
AnswerPart CallerServer::Impl::WaitPart(Session& aSession)
{
  const bool canCancel = aSession.call().repeatability != Repeatability::kAtMostOnce;
  while (true) {
    if (auto part = aSession.WaitPart(kPresenceCheck)) {
      return std::move(*part);
    }
    if (canCancel && BoundedServer::IsCallerGone()) {
      post(RequestCancelled{ aSession.id() });
      aSession.Abandon();
    }
  }
}

void CallerServer::Impl::AnswerWhole(Session& aSession,
                                     const Watch& aWatch,
                                     httplib::Response& aResponse)
{
  const AnswerPart part = WaitPart(aSession);
  sessions.Remove(aSession.id());
  const FinishRequest& finish = *part.finish;
  NoteEnd(aWatch, finish.code);
  if (finish.code != ResultCode::kOk) {
    WriteRefusal(aResponse, finish);
    return;
  }
  if (finish.httpStatus != 0) {
    aResponse.status = finish.httpStatus;
    aResponse.set_header("Idempotent-Replay", "true");
    aResponse.set_content(finish.storedAnswer, finish.contentType);
    return;
  }
  aResponse.status = aSession.status();
  aResponse.set_content(part.data, aSession.contentType());
}

void CallerServer::Impl::AnswerStream(const std::shared_ptr<Session>& aSession,
                                      const Watch& aWatch,
                                      httplib::Response& aResponse)
{
  // The status is sent once the first event has come; a refusal before it keeps its own.
  auto first = std::make_shared<AnswerPart>(WaitPart(*aSession));
  const bool isRefused = first->finish && first->finish->code != ResultCode::kOk;
  if (isRefused && first->data.empty()) {
    sessions.Remove(aSession->id());
    NoteEnd(aWatch, first->finish->code);
    WriteRefusal(aResponse, *first->finish);
    return;
  }
  if (first->finish && aSession->delivered() == 0) {
    sessions.Remove(aSession->id());
    NoteEnd(aWatch, first->finish->code);
    aResponse.status = aSession->status();
    aResponse.set_content(first->data, aSession->contentType());
    return;
  }
  const auto provide = [this, aSession, aWatch, first](std::size_t aOffset,
                                                       httplib::DataSink& aSink) {
    const AnswerPart part = aOffset == 0 ? *first : WaitPart(*aSession);
    if (!part.data.empty() && !aSink.write(part.data.data(), part.data.size())) {
      return false;
    }
    if (!part.finish) {
      return true;
    }
    if (part.finish->code != ResultCode::kOk) {
      // No end mark follows, so that the caller cannot take the stream for whole.
      const std::string error =
        "event: error\ndata: " + MakeErrorBody(part.finish->code, aSession->id()) + "\n\n";
      aSink.write(error.data(), error.size());
    }
    NoteEnd(aWatch, part.finish->code);
    aSink.done();
    return true;
  };
  const auto release = [this, aSession](bool aIsDone) {
    if (!aIsDone) {
      post(RequestCancelled{ aSession->id() });
      aSession->Abandon();
    }
    sessions.Remove(aSession->id());
  };
  aResponse.set_chunked_content_provider("text/event-stream", provide, release);
}

void CallerServer::Impl::AddRoutes()
{
  server.set_pre_routing_handler(
    [](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (IsFramingSound(aRequest)) {
        return httplib::Server::HandlerResponse::Unhandled;
      }
      BoundedServer::RefuseFraming(aResponse);
      return httplib::Server::HandlerResponse::Handled;
    });
  const auto completion = [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    Serve(aRequest, aResponse, CheckCompletion);
  };
  server.Post("/v1/chat/completions", completion);
  server.Post("/v1/completions", completion);
  server.Get("/v1/models", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    ListModels(aRequest, aResponse);
  });
  const auto service = [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    Serve(aRequest, aResponse, CheckServiceCall);
  };
  const char* pattern = R"(/services/([^/]+)(/.*))";
  server.Get(pattern, service);
  server.Post(pattern, service);
  server.Put(pattern, service);
  server.Patch(pattern, service);
  server.Delete(pattern, service);
  server.set_error_handler([this](const httplib::Request&, httplib::Response& aResponse) {
    if (!aResponse.body.empty()) {
      return;
    }
    auto code =
      aResponse.status == 404 ? ResultCode::kServiceUnknown : ResultCode::kRequestMalformed;
    if (aResponse.status == 413 || BoundedServer::IsRequestTooLarge()) {
      code = ResultCode::kBodyTooLarge;
    }
    WriteRefusal(aResponse, { .request = NextRequestId(), .code = code });
  });
}

CallerServer::CallerServer(CallerServerOptions aOptions,
                           const RcuPointer<Snapshot>& aSnapshot,
                           SessionMap& aSessions,
                           std::function<void(Event)> aPost)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), aSnapshot, aSessions, std::move(aPost)))
{
}

CallerServer::~CallerServer()
{
  Stop();
}

std::uint16_t CallerServer::Start()
{
  BoundedServer& server = mImpl->server;
  const std::uint32_t threads = mImpl->options.threads;
  server.new_task_queue = [&server, threads] { return server.MakeQueue(threads); };
  server.set_payload_max_length(mImpl->options.bodyLimit);
  server.set_keep_alive_max_count(kKeepAliveRequests);
  server.set_tcp_nodelay(true);
  mImpl->AddRoutes();
  return mImpl->thread.Start(mImpl->options.address, mImpl->options.port);
}

void CallerServer::Stop()
{
  mImpl->server.Close();
  mImpl->thread.Stop();
}

} // namespace rhubarbtrail

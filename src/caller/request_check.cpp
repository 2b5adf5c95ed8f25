/* Checks callers' requests: customer, model or service, request class, deadline and body. */
#include "caller/request_check.h"

#include "core/digest_func.h"
#include "core/text_func.h"

#include <array>
#include <charconv>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace rhubarbtrail {

namespace {

using nlohmann::json;

/* Bytes at the start of the body that are hashed to recognise requests with the same prompt prefix,
 * which an engine may have cached. */
constexpr std::size_t kPromptPrefixLength = 256;
constexpr std::size_t kIdempotencyKeyLengthLimit = 128;
/* Longest deadline that a caller may set: one day. */
constexpr std::int64_t kDeadlineLimitMs = 86'400'000;
constexpr const char* kBearerPrefix = "Bearer ";
constexpr const char* kDefaultClass = "default";
constexpr std::string_view kServicePathPrefix = "/services/";
/* HTTP methods that are allowed in calls to plain services. */
constexpr std::array kServiceMethods{ "GET", "POST", "PUT", "PATCH", "DELETE" };

/* The parts of the path of a call to a plain service. */
struct ServicePath
{
  ServiceId service;
  std::string subpath;
};

std::string HeaderValue(const http::Request& aRequest, std::string_view aName)
{
  return std::string{ http::Find(aRequest.fields, aName).value_or("") };
}

/* Splits "/services/NAME/PATH" into NAME and "/PATH". Returns nothing for other paths. */
std::optional<ServicePath> SplitServicePath(const std::string& aPath)
{
  if (!aPath.starts_with(kServicePathPrefix)) {
    return std::nullopt;
  }
  const auto slash = aPath.find('/', kServicePathPrefix.size());
  if (slash == std::string::npos || slash == kServicePathPrefix.size()) {
    return std::nullopt;
  }
  return ServicePath{ .service = ServiceId{ aPath.substr(kServicePathPrefix.size(),
                                                         slash - kServicePathPrefix.size()) },
                      .subpath = aPath.substr(slash) };
}

tl::unexpected<Refusal> Refuse(ResultCode aCode, std::string aDetail = {})
{
  return tl::make_unexpected(Refusal{ aCode, std::move(aDetail) });
}

/* Reads the request class, the deadline and the idempotency key from the header. */
tl::expected<void, Refusal> ReadRequestFields(const http::Request& aRequest,
                                              CheckedRequest& aChecked)
{
  const std::string deadline = HeaderValue(aRequest, "X-Deadline-Ms");
  if (!deadline.empty()) {
    std::int64_t value = 0;
    const auto [end, error] =
      std::from_chars(deadline.data(), deadline.data() + deadline.size(), value);
    const bool isNumber = error == std::errc{} && end == deadline.data() + deadline.size();
    if (!isNumber || value < 1 || value > kDeadlineLimitMs) {
      return Refuse(ResultCode::kRequestMalformed, "X-Deadline-Ms must be 1 to 86400000");
    }
    aChecked.arrivedEvent.timeLeft = std::chrono::milliseconds{ value };
  }
  const std::string key = HeaderValue(aRequest, "Idempotency-Key");
  if (key.size() > kIdempotencyKeyLengthLimit) {
    return Refuse(ResultCode::kRequestMalformed, "Idempotency-Key has at most 128 characters");
  }
  if (!IsName(key)) {
    return Refuse(ResultCode::kRequestMalformed, "Idempotency-Key is not valid text");
  }
  aChecked.arrivedEvent.key = IdempotencyKey{ key };
  const std::string requestClass = HeaderValue(aRequest, "X-Request-Class");
  aChecked.arrivedEvent.requestClass =
    ClassId{ requestClass.empty() ? kDefaultClass : requestClass };
  return {};
}

/* Sets the fingerprint of the request, the hash of its prompt prefix and the size of its body. */
void SetBodyProperties(const http::Request& aRequest,
                       const std::string& aPath,
                       CheckedRequest& aChecked)
{
  aChecked.arrivedEvent.fingerprint =
    FingerprintId{ Sha256Hex(aRequest.method + " " + aPath + "\n" + aRequest.body) };
  aChecked.arrivedEvent.prefixHash =
    std::hash<std::string_view>{}(std::string_view{ aRequest.body }.substr(0, kPromptPrefixLength));
  aChecked.arrivedEvent.bodySize = aRequest.body.size();
}

/* Splits "model" or "model:adapter" and looks up its parts in the configuration. A model that the
 * customer may not use counts as unknown. */
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

CheckResult CheckCompletion(const Snapshot& aSnapshot,
                            const http::Request& aRequest,
                            const std::string& aPath)
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
  CheckedRequest checked;
  if (const auto headers = ReadRequestFields(aRequest, checked); !headers) {
    return tl::make_unexpected(headers.error());
  }
  const auto requestClass = configuration.classes.find(checked.arrivedEvent.requestClass);
  if (requestClass == configuration.classes.end()) {
    return Refuse(ResultCode::kRequestMalformed, "X-Request-Class names no declared class");
  }
  checked.arrivedEvent.customer = *customerId;
  checked.arrivedEvent.artifact = *artifact;
  checked.arrivedEvent.service = configuration.models.at(artifact->model).service;
  SetBodyProperties(aRequest, aPath, checked);
  checked.call = { .method = "POST",
                   .path = aPath,
                   .contentType = "application/json",
                   .body = aRequest.body,
                   .headers = {},
                   .form =
                     body->value("stream", false) ? AnswerForm::kStream : AnswerForm::kBuffered,
                   .repeatability = requestClass->second.repeatability };
  return checked;
}

/* Header fields that are forwarded to a plain service, besides Content-Type. */
constexpr std::array kForwardedFields{ "Accept", "Accept-Language", "Idempotency-Key" };

CheckResult CheckServiceCall(const Snapshot& aSnapshot,
                             const http::Request& aRequest,
                             const std::string& aPath,
                             const ServicePath& aServicePath)
{
  const auto customerId = Authenticate(aSnapshot, aRequest);
  if (!customerId) {
    return tl::make_unexpected(customerId.error());
  }
  const Configuration& configuration = *aSnapshot.configuration;
  const CustomerSpec& customer = configuration.customers.at(*customerId);
  const ServiceId& serviceId = aServicePath.service;
  const auto service = configuration.services.find(serviceId);
  const bool isKnown = service != configuration.services.end() &&
                       service->second.kind == ServiceKind::kPlain &&
                       customer.services.contains(serviceId);
  if (!isKnown) {
    return Refuse(ResultCode::kServiceUnknown);
  }
  CheckedRequest checked;
  if (const auto headers = ReadRequestFields(aRequest, checked); !headers) {
    return tl::make_unexpected(headers.error());
  }
  const std::string& path = aServicePath.subpath;
  const auto& routes = service->second.routes;
  const auto route = std::find_if(routes.begin(), routes.end(), [&](const RouteSpec& aRoute) {
    return (aRoute.method.empty() || aRoute.method == aRequest.method) &&
           path.starts_with(aRoute.pathPrefix);
  });
  if (route == routes.end()) {
    return Refuse(ResultCode::kServiceUnknown, "the service declares no such route");
  }
  checked.arrivedEvent.requestClass = route->requestClass;
  checked.arrivedEvent.customer = *customerId;
  checked.arrivedEvent.service = serviceId;
  SetBodyProperties(aRequest, aPath, checked);
  const auto query = aRequest.target.find('?');
  checked.call = { .method = aRequest.method,
                   .path = path + (query == std::string::npos ? "" : aRequest.target.substr(query)),
                   .contentType = HeaderValue(aRequest, "Content-Type"),
                   .body = aRequest.body,
                   .headers = {},
                   .form = AnswerForm::kBuffered,
                   .repeatability = configuration.classes.at(route->requestClass).repeatability };
  for (const char* name : kForwardedFields) {
    if (const auto value = http::Find(aRequest.fields, name)) {
      checked.call.headers.emplace_back(name, *value);
    }
  }
  return checked;
}

} // namespace

tl::expected<CustomerId, Refusal> Authenticate(const Snapshot& aSnapshot,
                                               const http::Request& aRequest)
{
  const std::string header = HeaderValue(aRequest, "Authorization");
  if (!header.starts_with(kBearerPrefix)) {
    return Refuse(ResultCode::kKeyMissing);
  }
  const auto found = aSnapshot.customersByKeyHash.find(
    Sha256Hex(std::string_view{ header }.substr(std::string_view{ kBearerPrefix }.size())));
  if (found == aSnapshot.customersByKeyHash.end()) {
    return Refuse(ResultCode::kKeyWrong);
  }
  return found->second;
}

std::string DecodePath(const http::Request& aRequest)
{
  // Routes are matched against the decoded path, so that percent-encoding does not evade them.
  return httplib::detail::decode_url(aRequest.target.substr(0, aRequest.target.find('?')), false);
}

CheckResult CheckRequest(const Snapshot& aSnapshot,
                         const http::Request& aRequest,
                         const std::string& aPath)
{
  const bool isCompletion = aPath == "/v1/chat/completions" || aPath == "/v1/completions";
  if (isCompletion && aRequest.method == "POST") {
    return CheckCompletion(aSnapshot, aRequest, aPath);
  }
  const auto service = SplitServicePath(aPath);
  const bool isAllowed =
    std::find(kServiceMethods.begin(), kServiceMethods.end(), aRequest.method) !=
    kServiceMethods.end();
  if (service && isAllowed) {
    return CheckServiceCall(aSnapshot, aRequest, aPath, *service);
  }
  return Refuse(ResultCode::kServiceUnknown);
}

} // namespace rhubarbtrail

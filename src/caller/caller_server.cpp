/* The HTTP server for callers: one event loop serves all connections. */
#include "caller/caller_server.h"

#include "caller/caller_exchange.h"
#include "caller/error_body.h"
#include "caller/request_check.h"
#include "core/guarded_loop.h"
#include "core/log_func.h"
#include "http/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

namespace rhubarbtrail {

namespace {

namespace asio = boost::asio;
using nlohmann::json;

/* Largest size of the header of a request, in bytes. */
constexpr std::size_t kHeaderLimit = 64U << 10U;
/* Timeouts for the header and for the body of a request, and for an idle connection. */
constexpr Duration kRequestTimeout = 30s;
constexpr Duration kIdleTimeout = 60s;
/* Time that callers have to receive the last answers when the daemon stops, and the interval of the
 * check whether they have. */
constexpr Duration kDrainTimeout = 3s;
constexpr Duration kDrainCheckInterval = 10ms;

} // namespace

struct CallerServer::Impl
{
  Impl(CallerServerOptions aOptions,
       const RcuPointer<Snapshot>& aSnapshot,
       SessionMap& aSessions,
       std::function<void(Event)> aPostEvent)
    : options(std::move(aOptions))
    , snapshot(aSnapshot)
    , context{ .loop = loop,
               .sessions = aSessions,
               .postEvent = std::move(aPostEvent),
               .onRequestEnded = options.onRequestEnded }
    , server(loop,
             { .address = options.address + ":" + std::to_string(options.port),
               .connectionLimit = options.connectionLimit,
               .rejection = [this](unsigned aStatus) { return Rejection(aStatus); } },
             [this](const http::Request& aRequest, std::shared_ptr<http::Responder> aResponder) {
               Serve(aRequest, std::move(aResponder));
             })
    , drainTimer(loop)
  {
    server.SetLimits({ .headerBytes = kHeaderLimit,
                       .bodyBytes = options.bodyLimit,
                       .headerTimeout = kRequestTimeout,
                       .bodyTimeout = kRequestTimeout,
                       .idleTimeout = kIdleTimeout });
  }

  RequestId NextRequestId()
  {
    return RequestId{ options.requestIdPrefix + "-" +
                      std::to_string(nextRequestNumber.fetch_add(1, std::memory_order_relaxed)) };
  }

  http::Rejection Rejection(unsigned aStatus);
  void Serve(const http::Request& aRequest, std::shared_ptr<http::Responder> aResponder);
  void ListModels(const http::Request& aRequest, http::Responder& aResponder);
  void CloseWhenDrained(std::chrono::steady_clock::time_point aDeadline);

  CallerServerOptions options;
  const RcuPointer<Snapshot>& snapshot;
  asio::io_context loop{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> workGuard{ loop.get_executor() };
  ExchangeContext context;
  std::atomic<std::uint64_t> nextRequestNumber{ 1 };
  http::Server server;
  asio::steady_timer drainTimer;
  std::thread thread;
};

/* Makes the answer to a request that is malformed, too large or too slow, in the format of all
 * other refusals. aStatus is the HTTP status of the default answer. */
http::Rejection CallerServer::Impl::Rejection(unsigned aStatus)
{
  constexpr unsigned kContentTooLarge = 413;
  constexpr unsigned kHeadersTooLarge = 431;
  const bool isTooLarge = aStatus == kContentTooLarge || aStatus == kHeadersTooLarge;
  const auto code = isTooLarge ? ResultCode::kBodyTooLarge : ResultCode::kRequestMalformed;
  return { .status = static_cast<unsigned>(Describe(code).httpStatus),
           .fields = RefusalFields(code),
           .body = MakeErrorBody(code, NextRequestId()) };
}

void CallerServer::Impl::ListModels(const http::Request& aRequest, http::Responder& aResponder)
{
  const RequestId id = NextRequestId();
  snapshot.Read([&](const Snapshot& aSnapshot) {
    const auto customerId = Authenticate(aSnapshot, aRequest);
    if (!customerId) {
      SendRefusal(aResponder, { .request = id, .code = customerId.error().code });
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
    aResponder.Send(
      { .status = 200, .reason = "OK", .fields = { { "Content-Type", "application/json" } } },
      json{ { "object", "list" }, { "data", list } }.dump(
        -1, ' ', false, json::error_handler_t::replace));
  });
}

void CallerServer::Impl::Serve(const http::Request& aRequest,
                               std::shared_ptr<http::Responder> aResponder)
{
  const std::string path = DecodePath(aRequest);
  if (aRequest.method == "GET" && path == "/v1/models") {
    ListModels(aRequest, *aResponder);
    return;
  }
  RequestRecord record{ .id = NextRequestId(), .requestClass = {} };
  CheckResult checked = snapshot.Read(
    [&](const Snapshot& aSnapshot) { return CheckRequest(aSnapshot, aRequest, path); });
  if (!checked) {
    SendRefusal(
      *aResponder, { .request = record.id, .code = checked.error().code }, checked.error().detail);
    RecordRequestEnd(context, record, checked.error().code);
    return;
  }
  auto session = std::make_shared<Session>(record.id, std::move(checked->call));
  context.sessions.Add(session);
  checked->arrivedEvent.request = record.id;
  record.requestClass = checked->arrivedEvent.requestClass;
  const auto exchange = std::make_shared<CallerExchange>(
    context, std::move(record), std::move(session), std::move(aResponder));
  exchange->Start();
  context.postEvent(std::move(checked->arrivedEvent));
}

/* Closes all connections and stops the event loop once all answers are sent, or at aDeadline. */
void CallerServer::Impl::CloseWhenDrained(std::chrono::steady_clock::time_point aDeadline)
{
  if (server.IsDrained() || std::chrono::steady_clock::now() >= aDeadline) {
    server.Close();
    workGuard.reset();
    loop.stop();
    return;
  }
  drainTimer.expires_after(kDrainCheckInterval);
  drainTimer.async_wait([this, aDeadline](boost::system::error_code aError) {
    if (!aError) {
      CloseWhenDrained(aDeadline);
    }
  });
}

CallerServer::CallerServer(CallerServerOptions aOptions,
                           const RcuPointer<Snapshot>& aSnapshot,
                           SessionMap& aSessions,
                           std::function<void(Event)> aPostEvent)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), aSnapshot, aSessions, std::move(aPostEvent)))
{
}

CallerServer::~CallerServer()
{
  Stop();
}

std::uint16_t CallerServer::Start()
{
  if (const std::string error = mImpl->server.Listen(); !error.empty()) {
    Log(log_part::kDaemon)->error("Cannot listen for caller connections: {}.", error);
    return 0;
  }
  mImpl->thread = std::thread([this] {
    RunGuarded(mImpl->loop, [](const char* aReason) {
      Log(log_part::kDaemon)->error("A handler ended with an exception: {}.", aReason);
    });
  });
  return mImpl->server.port();
}

void CallerServer::Stop()
{
  if (!mImpl->thread.joinable()) {
    return;
  }
  asio::post(mImpl->loop, [this] {
    mImpl->server.Drain();
    mImpl->CloseWhenDrained(std::chrono::steady_clock::now() + kDrainTimeout);
  });
  mImpl->thread.join();
}

} // namespace rhubarbtrail

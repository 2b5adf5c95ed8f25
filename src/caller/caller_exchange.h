/* The HTTP exchange of one caller's request: forwards the session's answer to the caller. */
#ifndef RHUBARBTRAIL_CALLER_CALLER_EXCHANGE_H
#define RHUBARBTRAIL_CALLER_CALLER_EXCHANGE_H

#include "caller/session.h"
#include "core/metrics.h"
#include "decision/event_type.h"
#include "http/http_server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace rhubarbtrail {

/* State that all exchanges of a server share. */
struct ExchangeContext
{
  boost::asio::io_context& loop;
  SessionMap& sessions;
  std::function<void(Event)> postEvent;              ///< Passes an event to the decision code.
  std::function<void(RequestSample)> onRequestEnded; ///< Called for each request that has ended.
};

/* What the log and the metrics need of a request when it ends. */
struct RequestRecord
{
  RequestId id;
  ClassId requestClass; ///< Empty for a request that failed CheckRequest().
  std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
};

/* Logs the result code and the latency of a request that has ended, and reports them to the
 * metrics. */
void RecordRequestEnd(const ExchangeContext& aContext,
                      const RequestRecord& aRecord,
                      ResultCode aCode);

/* Returns the header fields that every refusal has. */
http::Fields RefusalFields(ResultCode aCode);

/* Sends a refusal: the HTTP status of its result code, and a JSON error as the body. */
void SendRefusal(http::Responder& aResponder,
                 const FinishRequest& aFinish,
                 const std::string& aDetail = {});

/* Forwards the answer in one session to its caller. The handlers that Start() sets keep the
 * exchange alive until the request has ended. All functions run on the thread of the event loop,
 * except ScheduleForwarding(), which the session calls on any thread. */
class CallerExchange : public std::enable_shared_from_this<CallerExchange>
{
public:
  CallerExchange(ExchangeContext& aContext,
                 RequestRecord aRecord,
                 std::shared_ptr<Session> aSession,
                 std::shared_ptr<http::Responder> aResponder);

  /* Sets the handlers of the session and of the caller's connection, and forwards what the session
   * already has. */
  void Start();

private:
  void ScheduleForwarding();
  void ForwardAvailableParts();
  void ForwardPart(const AnswerPart& aPart);
  void ForwardFirstPart(const AnswerPart& aPart);
  void SendBufferedAnswer(http::AnswerHead aHead,
                          const std::string& aContentType,
                          const std::string& aBody);
  void End(ResultCode aCode);
  void OnClosed();

  ExchangeContext& mContext;
  RequestRecord mRecord;
  std::shared_ptr<Session> mSession;
  std::shared_ptr<http::Responder> mResponder;
  std::atomic<bool> mIsForwardingScheduled{ false };
  bool mIsHeadSent = false;
  bool mIsCallerDisconnected = false;
  bool mIsEnded = false;
};

} // namespace rhubarbtrail

#endif

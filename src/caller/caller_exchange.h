/* One caller's request at the front: it passes the session's answer on as it comes. */
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

/* What all exchanges of a front share. */
struct ExchangeContext
{
  boost::asio::io_context& loop;
  SessionMap& sessions;
  std::function<void(Event)> post;
  std::function<void(RequestSample)> finished; ///< Told of each request that has ended.
};

/* What is kept of a request until it ends. */
struct ExchangeWatch
{
  RequestId id;
  ClassId requestClass; ///< Empty for a request that was refused at the door.
  std::chrono::steady_clock::time_point started = std::chrono::steady_clock::now();
};

/* Logs and measures a request that has ended. */
void NoteRequestEnd(const ExchangeContext& aContext, const ExchangeWatch& aWatch, ResultCode aCode);

/* Returns the header fields that every refusal bears. */
http::Fields RefusalFields(ResultCode aCode);

/* Answers with a refusal. */
void SendRefusal(http::Responder& aResponder,
                 const FinishRequest& aFinish,
                 const std::string& aDetail = {});

/* Owns itself until the request has ended. Used by the loop's thread, but for the session, which
 * others feed. */
class CallerExchange : public std::enable_shared_from_this<CallerExchange>
{
public:
  CallerExchange(ExchangeContext& aContext,
                 ExchangeWatch aWatch,
                 std::shared_ptr<Session> aSession,
                 std::shared_ptr<http::Responder> aResponder);

  /* Follows the session and the caller from now on. */
  void Start();

private:
  void PumpSoon();
  void Pump();
  void Pass(const AnswerPart& aPart);
  void PassFirst(const AnswerPart& aPart);
  void SendWhole(http::AnswerHead aHead, const std::string& aType, const std::string& aBody);
  void End(ResultCode aCode);
  void OnGone();

  ExchangeContext& mContext;
  ExchangeWatch mWatch;
  std::shared_ptr<Session> mSession;
  std::shared_ptr<http::Responder> mResponder;
  std::atomic<bool> mIsPumpPosted{ false };
  bool mIsHeadSent = false;
  bool mIsGone = false;
  bool mIsEnded = false;
};

} // namespace rhubarbtrail

#endif

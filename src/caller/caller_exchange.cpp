/* Forwards answers to callers. */
#include "caller/caller_exchange.h"

#include "caller/error_body.h"
#include "core/log_func.h"

#include <boost/asio/post.hpp>

namespace rhubarbtrail {

namespace {

/* While more bytes than this wait to be sent to a slow caller, no parts are taken from the session.
 * A session whose stream events are not taken stops reading from the endpoint. */
constexpr std::size_t kUnsentBytesLimit = 256U << 10U;

} // namespace

void RecordRequestEnd(const ExchangeContext& aContext,
                      const RequestRecord& aRecord,
                      ResultCode aCode)
{
  const auto latency =
    std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - aRecord.startedAt);
  Log(log_part::kRouter)
    ->debug("Request {} of class '{}' ended with {} {} after {} us.",
            aRecord.id.str(),
            aRecord.requestClass.str(),
            static_cast<int>(aCode),
            Describe(aCode).name,
            latency.count());
  if (aContext.onRequestEnded) {
    aContext.onRequestEnded(
      { .code = aCode, .requestClass = aRecord.requestClass, .latency = latency });
  }
}

http::Fields RefusalFields(ResultCode aCode)
{
  return { { "X-Result-Code", std::to_string(static_cast<int>(aCode)) },
           { "Content-Type", "application/json" } };
}

void SendRefusal(http::Responder& aResponder,
                 const FinishRequest& aFinish,
                 const std::string& aDetail)
{
  http::AnswerHead head{ .status = static_cast<unsigned>(Describe(aFinish.code).httpStatus),
                         .reason = "Refused",
                         .fields = RefusalFields(aFinish.code) };
  head.fields.push_back({ "X-Request-Id", aFinish.request.str() });
  if (aFinish.retryAfter.count() > 0) {
    head.fields.push_back({ "Retry-After", RetryAfterSeconds(aFinish.retryAfter) });
  }
  aResponder.Send(std::move(head), MakeErrorBody(aFinish.code, aFinish.request, aDetail));
}

CallerExchange::CallerExchange(ExchangeContext& aContext,
                               RequestRecord aRecord,
                               std::shared_ptr<Session> aSession,
                               std::shared_ptr<http::Responder> aResponder)
  : mContext(aContext)
  , mRecord(std::move(aRecord))
  , mSession(std::move(aSession))
  , mResponder(std::move(aResponder))
{
}

void CallerExchange::Start()
{
  mResponder->OnClosed([self = shared_from_this()] { self->OnClosed(); });
  mResponder->OnSendBufferEmpty([self = shared_from_this()] { self->ForwardAvailableParts(); });
  mSession->SetListener([self = shared_from_this()] { self->ScheduleForwarding(); });
  ForwardAvailableParts();
}

/* Schedules ForwardAvailableParts() on the event loop. May be called by any thread. */
void CallerExchange::ScheduleForwarding()
{
  if (!mIsForwardingScheduled.exchange(true)) {
    boost::asio::post(mContext.loop, [self = shared_from_this()] {
      self->mIsForwardingScheduled = false;
      self->ForwardAvailableParts();
    });
  }
}

void CallerExchange::ForwardAvailableParts()
{
  while (!mIsEnded && mResponder->unsentBytes() <= kUnsentBytesLimit) {
    const auto part = mSession->TakePart();
    if (!part) {
      return;
    }
    ForwardPart(*part);
  }
}

void CallerExchange::ForwardPart(const AnswerPart& aPart)
{
  if (mIsCallerDisconnected) {
    if (aPart.finish) {
      End(aPart.finish->code);
    }
    return;
  }
  if (!mIsHeadSent) {
    ForwardFirstPart(aPart);
    return;
  }
  mResponder->SendBody(aPart.data);
  if (!aPart.finish) {
    return;
  }
  if (aPart.finish->code != ResultCode::kOk) {
    // The end mark is not sent, so the caller cannot mistake the stream for a complete one.
    mResponder->SendBody(
      "event: error\ndata: " + MakeErrorBody(aPart.finish->code, mSession->id()) + "\n\n");
  }
  mResponder->Finish();
  End(aPart.finish->code);
}

/* Forwards the first part of the answer. The head of a stream, which has status 200, is sent only
 * together with the first event. A refusal before that event can thus have its own status. */
void CallerExchange::ForwardFirstPart(const AnswerPart& aPart)
{
  // A request for a stream that ends without an event gets its answer in one piece, too: an error
  // of the endpoint, a stored answer or a refusal.
  const bool isBuffered =
    mSession->call().form == AnswerForm::kBuffered || mSession->delivered() == 0;
  if (aPart.finish && aPart.finish->code != ResultCode::kOk && (isBuffered || aPart.data.empty())) {
    SendRefusal(*mResponder, *aPart.finish);
    End(aPart.finish->code);
    return;
  }
  if (aPart.finish && isBuffered) {
    const FinishRequest& finish = *aPart.finish;
    if (finish.httpStatus != 0) {
      SendBufferedAnswer({ .status = static_cast<unsigned>(finish.httpStatus),
                           .reason = "Answered",
                           .fields = { { "Idempotent-Replay", "true" } } },
                         finish.contentType,
                         finish.storedAnswer);
    } else {
      SendBufferedAnswer(
        { .status = static_cast<unsigned>(mSession->status()), .reason = "Answered" },
        mSession->contentType(),
        aPart.data);
    }
    End(finish.code);
    return;
  }
  mIsHeadSent = true;
  mResponder->SendHead(
    { .status = 200,
      .reason = "OK",
      .fields = { { "X-Request-Id", mRecord.id.str() }, { "Content-Type", "text/event-stream" } },
      .framing = http::Framing::kChunked });
  ForwardPart(aPart);
}

void CallerExchange::SendBufferedAnswer(http::AnswerHead aHead,
                                        const std::string& aContentType,
                                        const std::string& aBody)
{
  aHead.fields.push_back({ "X-Request-Id", mRecord.id.str() });
  if (!aContentType.empty()) {
    aHead.fields.push_back({ "Content-Type", aContentType });
  }
  mResponder->Send(std::move(aHead), aBody);
}

void CallerExchange::End(ResultCode aCode)
{
  mIsEnded = true;
  mResponder->OnClosed(nullptr);
  mResponder->OnSendBufferEmpty(nullptr);
  mSession->SetListener(nullptr);
  mContext.sessions.Remove(mSession->id());
  RecordRequestEnd(mContext, mRecord, aCode);
}

/* Cancels the request, since the caller has disconnected. A non-streaming request that may run at
 * most once continues, so that its outcome is recorded. */
void CallerExchange::OnClosed()
{
  mIsCallerDisconnected = true;
  const bool mustContinue = mSession->call().form == AnswerForm::kBuffered &&
                            mSession->call().repeatability == Repeatability::kAtMostOnce;
  if (!mustContinue) {
    mContext.postEvent(RequestCancelled{ mSession->id() });
    mSession->Abandon();
  }
  ScheduleForwarding();
}

} // namespace rhubarbtrail

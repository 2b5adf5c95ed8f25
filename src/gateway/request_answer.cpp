/* What a client is told of its request: the endpoint's answer, or one of our own. */
#include "gateway/request_flow.h"

#include "core/boot_clock.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace rhubarbtrail {

namespace {

using fleet::RouteKind;

constexpr unsigned kBadGateway = 502;
constexpr unsigned kFirstServerError = 500;

/* Returns whether a status promises that the request has not run. */
bool IsPromise(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

/* The kind of request, for metrics: route names change too often. */
ClassId ClassOf(const fleet::Route* aRoute)
{
  if (aRoute == nullptr) {
    return ClassId{ "none" };
  }
  switch (aRoute->kind) {
    case RouteKind::kIdempotent:
      return ClassId{ "idempotent" };
    case RouteKind::kNonIdempotent:
      return ClassId{ "non_idempotent" };
    case RouteKind::kStream:
      return ClassId{ fmt::format("stream_p{}", std::min<std::uint32_t>(aRoute->priority, 9)) };
  }
  return ClassId{ "none" };
}

} // namespace

void RequestFlow::PassAnswer()
{
  const unsigned status = mAttempt.head->status;
  if (mAttempt.isStream) {
    SendHeadOnce();
    mResponder->SendBody(mEvents.rest());
    mResponder->Finish();
    End("answered", ResultCode::kOk, status);
    return;
  }
  if (IsPromise(status)) {
    // The endpoint ran the request, so its status would be a false promise.
    Fail(ResultCode::kAttemptsExhausted, "status_would_promise_not_run");
    return;
  }
  http::AnswerHead head = platform::EncodeAnswer(*mAttempt.head);
  const bool hasNoBody = mRequest.method == "HEAD" || status == 204 || status == 304;
  if (hasNoBody) {
    mResponder->SendHead(head);
    mResponder->Finish();
  } else {
    mResponder->Send(std::move(head), mAttempt.body);
  }
  End(status < kFirstServerError ? "answered" : "endpoint_failure", ResultCode::kOk, status);
}

void RequestFlow::Answer(ResultCode aCode, unsigned aStatus, Duration aRetryAfter)
{
  const ResultCodeInfo& info = Describe(aCode);
  http::AnswerHead head = platform::EncodeOwnAnswer(aStatus, mClient.requestId, aRetryAfter);
  head.reason = info.name;
  mResponder->Send(std::move(head),
                   fmt::format(R"({{"code":{},"name":"{}","message":"{}"}})",
                               static_cast<int>(aCode),
                               info.name,
                               info.message));
}

/* Returns whether an answer of our own can still be sent; an answer that has begun is cut. */
bool RequestFlow::MayAnswer(std::string_view aReason)
{
  if (!mIsEnded && mIsHeadSent) {
    Cut(aReason);
  }
  return !mIsEnded && !mIsHeadSent;
}

/* Tells the client that its request has not run and never will. */
void RequestFlow::Refuse(ResultCode aCode, Duration aRetryAfter, std::string_view aReason)
{
  if (!MayAnswer(aReason)) {
    return;
  }
  const ResultCodeInfo& info = Describe(aCode);
  mContext.log.Write("request_refused",
                     { { "id", mClient.requestId },
                       { "reason", aReason },
                       { "code", static_cast<int>(aCode) },
                       { "retry_after_ms", Milliseconds(aRetryAfter) },
                       { "waited_ms", Milliseconds(BootTime() - mArrivedAt) },
                       { "refusals", mState.refusals } });
  Answer(aCode, info.httpStatus, aRetryAfter);
  End("refused", aCode, info.httpStatus);
}

/* Ends a request that may have run, or that is wrong in itself. */
void RequestFlow::Fail(ResultCode aCode, std::string_view aReason)
{
  if (!MayAnswer(aReason)) {
    return;
  }
  const ResultCodeInfo& info = Describe(aCode);
  mContext.log.Write("request_failed",
                     { { "id", mClient.requestId },
                       { "reason", aReason },
                       { "code", static_cast<int>(aCode) },
                       { "runs", mState.runs },
                       { "endpoint", mAttempt.endpoint },
                       { "waited_ms", Milliseconds(BootTime() - mArrivedAt) } });
  const unsigned status =
    IsPromise(info.httpStatus) && mState.runs > 0 ? kBadGateway : info.httpStatus;
  Answer(aCode, status, Duration::zero());
  End("failed", aCode, status);
}

/* Breaks off an answer of which a part was passed on. */
void RequestFlow::Cut(std::string_view aReason)
{
  mContext.log.Write("stream_cut",
                     { { "id", mClient.requestId },
                       { "reason", aReason },
                       { "endpoint", mAttempt.endpoint },
                       { "events_passed", mEventsPassed },
                       { "runs", mState.runs } });
  mResponder->Abort();
  End("cut", ResultCode::kAnswerLost, 0);
}

void RequestFlow::End(std::string_view aOutcome, ResultCode aCode, unsigned aStatus)
{
  if (std::exchange(mIsEnded, true)) {
    return;
  }
  const TimePoint now = BootTime();
  mDeadlineTimer.cancel();
  mWaitTimer.cancel();
  mResponder->OnGone(nullptr);
  mResponder->OnDrained(nullptr);
  mContext.metrics.Note(
    { .code = aCode, .requestClass = ClassOf(mRoute), .latency = now - mArrivedAt });
  mContext.log.Write(
    "request_ended",
    { { "id", mClient.requestId },
      { "outcome", aOutcome },
      { "status", aStatus },
      { "endpoint", mAttempt.endpoint },
      { "took_ms", Milliseconds(now - mArrivedAt) },
      { "first_event_ms", mIsHeadSent ? Milliseconds(mFirstByteAt - mArrivedAt) : -1 },
      { "events", mEventsPassed } });
}

} // namespace rhubarbtrail

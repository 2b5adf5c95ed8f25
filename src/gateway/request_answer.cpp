/* Answers of RequestFlow to the client: the endpoint's answer or one of the daemon's own. */
#include "gateway/request_flow.h"

#include "core/boot_clock.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace rhubarbtrail {

namespace {

using fleet::RouteKind;

constexpr unsigned kBadGateway = 502;
constexpr unsigned kFirstServerError = 500;

/* Returns whether a status tells clients that the request has not run. */
bool StatesNotRun(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

/* Returns the request class for metrics. It is built from the kind and priority of the route,
 * because route names change too often. */
ClassId RequestClassOf(const fleet::Route* aRoute)
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

void RequestFlow::ForwardAnswer()
{
  const unsigned status = mAttempt.head->status;
  if (mAttempt.isStream) {
    SendHeadOnce();
    mResponder->SendBody(mEventSplitter.rest());
    mResponder->Finish();
    End("answered", ResultCode::kOk, status);
    return;
  }
  if (StatesNotRun(status)) {
    // The endpoint may have run the request, but this status would tell the client that it has not.
    Fail(ResultCode::kAttemptsExhausted, "status_would_promise_not_run");
    return;
  }
  http::AnswerHead head = platform::EncodeForwardedAnswer(*mAttempt.head);
  const bool hasNoBody = mRequest.method == "HEAD" || status == 204 || status == 304;
  if (hasNoBody) {
    mResponder->SendHead(head);
    mResponder->Finish();
  } else {
    mResponder->Send(std::move(head), mAttempt.body);
  }
  End(status < kFirstServerError ? "answered" : "endpoint_failure", ResultCode::kOk, status);
}

void RequestFlow::SendOwnAnswer(ResultCode aCode, unsigned aStatus, Duration aRetryAfter)
{
  const ResultCodeInfo& info = Describe(aCode);
  http::AnswerHead head = platform::EncodeDaemonAnswer(aStatus, mClient.requestId, aRetryAfter);
  head.reason = info.name;
  mResponder->Send(std::move(head),
                   fmt::format(R"({{"code":{},"name":"{}","message":"{}"}})",
                               static_cast<int>(aCode),
                               info.name,
                               info.message));
}

/* Returns whether the daemon's own answer can still be sent. If a part of an endpoint's answer has
 * been forwarded, breaks that answer off and returns false. */
bool RequestFlow::MayAnswer(std::string_view aReason)
{
  if (!mIsEnded && mIsHeadSent) {
    BreakOffAnswer(aReason);
  }
  return !mIsEnded && !mIsHeadSent;
}

/* Answers that the request has not run and will not run, and ends it. */
void RequestFlow::Refuse(ResultCode aCode, Duration aRetryAfter, std::string_view aReason)
{
  if (!MayAnswer(aReason)) {
    return;
  }
  if (mQuotaTakenAt && mAttemptState.runs == 0) {
    mContext.quotas.share().GiveBack(BootClockNow(), mAccount, mQuotaCost, *mQuotaTakenAt);
  }
  const ResultCodeInfo& info = Describe(aCode);
  mContext.log.Write("request_refused",
                     { { "id", mClient.requestId },
                       { "account", AccountName() },
                       { "reason", aReason },
                       { "code", static_cast<int>(aCode) },
                       { "retry_after_ms", ToMilliseconds(aRetryAfter) },
                       { "waited_ms", ToMilliseconds(BootClockNow() - mArrivedAt) },
                       { "refusals", mAttemptState.refusals } });
  SendOwnAnswer(aCode, info.httpStatus, aRetryAfter);
  End("refused", aCode, info.httpStatus);
}

/* Answers with a failure and ends the request: it may have run, is invalid, or its deadline has
 * passed. A status that tells clients that it has not run is replaced by 502 if it may have run. */
void RequestFlow::Fail(ResultCode aCode, std::string_view aReason)
{
  if (!MayAnswer(aReason)) {
    return;
  }
  const ResultCodeInfo& info = Describe(aCode);
  mContext.log.Write("request_failed",
                     { { "id", mClient.requestId },
                       { "account", AccountName() },
                       { "reason", aReason },
                       { "code", static_cast<int>(aCode) },
                       { "runs", mAttemptState.runs },
                       { "endpoint", mAttempt.endpoint },
                       { "waited_ms", ToMilliseconds(BootClockNow() - mArrivedAt) } });
  const unsigned status =
    StatesNotRun(info.httpStatus) && mAttemptState.runs > 0 ? kBadGateway : info.httpStatus;
  SendOwnAnswer(aCode, status, Duration::zero());
  End("failed", aCode, status);
}

/* Breaks off an answer of which a part has been forwarded, and ends the request. */
void RequestFlow::BreakOffAnswer(std::string_view aReason)
{
  mContext.log.Write("stream_cut",
                     { { "id", mClient.requestId },
                       { "reason", aReason },
                       { "endpoint", mAttempt.endpoint },
                       { "events_passed", mEventsForwarded },
                       { "runs", mAttemptState.runs } });
  mResponder->Abort();
  End("cut", ResultCode::kAnswerLost, 0);
}

void RequestFlow::End(std::string_view aOutcome, ResultCode aCode, unsigned aStatus)
{
  if (std::exchange(mIsEnded, true)) {
    return;
  }
  const TimePoint now = BootClockNow();
  if (mQuotaWaitId) {
    mContext.quotas.Withdraw(*mQuotaWaitId);
  }
  mDeadlineTimer.cancel();
  mWaitTimer.cancel();
  mSilenceTimer.cancel();
  mResponder->OnClosed(nullptr);
  mResponder->OnSendBufferEmpty(nullptr);
  UpdateHeld();
  mContext.metrics.Record(
    { .code = aCode, .requestClass = RequestClassOf(mRoute), .latency = now - mArrivedAt });
  mContext.log.Write(
    "request_ended",
    { { "id", mClient.requestId },
      { "account", AccountName() },
      { "outcome", aOutcome },
      { "status", aStatus },
      { "endpoint", mAttempt.endpoint },
      { "took_ms", ToMilliseconds(now - mArrivedAt) },
      { "first_event_ms", mIsHeadSent ? ToMilliseconds(mFirstByteAt - mArrivedAt) : -1 },
      { "events", mEventsForwarded },
      { "framing", FramingName() },
      { "unfinished_bytes", mEventSplitter.rest().size() } });
}

} // namespace rhubarbtrail

/* What RequestFlow holds for clients and endpoints that read slowly, and how it ends for them. */
#include "gateway/request_flow.h"

#include "core/boot_clock.h"

namespace rhubarbtrail {

namespace {

/* When more bytes than this are not yet sent to the client, reading from the endpoint is paused
 * until all are sent. The reader budget can lower it. */
constexpr std::size_t kUnsentBytesLimit = 256U << 10U;
/* Shortest pause after which a broken connection is put down to the pause: endpoints cut off an
 * answer that stays unread for some seconds. */
constexpr Duration kLongPause = 1s;
/* Time after the end of such a pause in which the break is noticed. */
constexpr Duration kBreakNoticeTime = 1s;
/* Retry time sent to clients whose requests end for lack of memory. */
constexpr Duration kMemoryRetryAfter = 500ms;

std::string_view ToString(RequestFlow::ReaderSide aSide)
{
  switch (aSide) {
    case RequestFlow::ReaderSide::kClient:
      return "client";
    case RequestFlow::ReaderSide::kEndpoint:
      return "endpoint";
    case RequestFlow::ReaderSide::kWaiting:
      return "waiting";
    case RequestFlow::ReaderSide::kNone:
      return "none";
  }
  return "none";
}

} // namespace

void RequestFlow::PauseIfBehind()
{
  const std::size_t limit = fleet::PauseThreshold(
    mContext.readerBudget, mContext.bytes.held(), mContext.openRequests.size(), kUnsentBytesLimit);
  if (mResponder->unsentBytes() <= limit || !mAttempt.call) {
    return;
  }
  mAttempt.call->Pause();
  if (!std::exchange(mAttempt.isReadingPaused, true)) {
    mAttempt.pausedAt = BootClockNow();
  }
  mEventSplitter.ReleaseUnused();
  mResponder->OnSendBufferEmpty([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCaughtUp();
    }
  });
  if (mContext.readerBudget.isLimited()) {
    mContext.onReadingPaused();
  }
}

void RequestFlow::OnCaughtUp()
{
  if (!mAttempt.call) {
    return;
  }
  const TimePoint now = BootClockNow();
  if (std::exchange(mAttempt.isReadingPaused, false)) {
    mAttempt.resumedAt = now;
  }
  mAttempt.lastBytesAt = now;
  mLastProgressAt = now;
  mAttempt.call->Resume();
}

bool RequestFlow::WasLeftUnread() const
{
  if (!mContext.readerBudget.isLimited() || mAttempt.pausedAt == TimePoint{}) {
    return false;
  }
  const TimePoint now = BootClockNow();
  const TimePoint end = mAttempt.isReadingPaused ? now : mAttempt.resumedAt;
  return end - mAttempt.pausedAt >= kLongPause && now - end < kBreakNoticeTime;
}

void RequestFlow::UpdateHeld()
{
  mHeld.Set(sizeof(RequestFlow) + mFieldBytes + mRequest.body.capacity() +
            mAttempt.body.capacity() + mEventSplitter.heldBytes());
}

void RequestFlow::RecordEnd(const Attempt& aAttempt, fleet::EndpointOutcome aOutcome)
{
  mContext.runners.RecordRequestEnd(
    BootClockNow(), aAttempt.endpoint, aOutcome, aAttempt.requestBytes, PaceSignalOf(aAttempt));
}

RequestFlow::HeldState RequestFlow::DescribeHeld() const
{
  const TimePoint now = BootClockNow();
  HeldState state{ .connection = mResponder->connectionId(), .bytes = mHeld.bytes() };
  if (mAttempt.call && mAttempt.isReadingPaused) {
    state.kernelBytes = mAttempt.call->unreadBytes();
  }
  const std::size_t unsentRequest = mAttempt.call ? mAttempt.call->unsentBytes() : 0;
  state.bytes += unsentRequest;
  if (mIsHeadSent || mResponder->unsentBytes() > 0) {
    state.side = ReaderSide::kClient;
  } else if (unsentRequest > 0) {
    state.side = ReaderSide::kEndpoint;
    state.behindFor = now - mAttempt.startedAt;
  } else if (!mAttempt.call) {
    state.side = ReaderSide::kWaiting;
    state.behindFor = now - mArrivedAt;
  }
  return state;
}

void RequestFlow::EndSlowReader(const fleet::ReaderToEnd& aReader)
{
  if (mIsEnded) {
    return;
  }
  const ReaderSide side = DescribeHeld().side;
  mContext.log.Write("reader_ended",
                     { { "id", mClient.requestId },
                       { "account", mAccount },
                       { "side", ToString(side) },
                       { "endpoint", mAttempt.endpoint },
                       { "bytes", aReader.bytes },
                       { "share", aReader.shareBytes },
                       { "budget", mContext.readerBudget.bytes },
                       { "held", mContext.bytes.held() },
                       { "behind_ms", ToMilliseconds(aReader.behindFor) },
                       { "events_passed", mEventsForwarded } });
  const bool isSent = mAttempt.call != nullptr;
  StopAttempt(fleet::EndpointOutcome::kCancelled);
  mAttempt.body = {};
  mEventSplitter.Clear();
  mEventSplitter.ReleaseUnused();
  if (side == ReaderSide::kClient) {
    End("reader_ended", ResultCode::kAnswerLost, 0);
    mResponder->Reset();
    return;
  }
  mAttemptState.runs += isSent ? 1 : 0; // The endpoint may have run it.
  if (mAttemptState.runs == 0) {
    Refuse(ResultCode::kEndpointUnavailable, kMemoryRetryAfter, "reader_budget");
  } else {
    Fail(ResultCode::kAttemptsExhausted, "reader_budget");
  }
}

} // namespace rhubarbtrail

/* Endpoints of RequestFlow that fall silent: the request looks for another one, and keeps the
 * answer that is in progress until it has found one. */
#include "gateway/request_flow.h"

#include "core/boot_clock.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

using fleet::AttemptEnd;
using fleet::RouteKind;

/* Time without the head of the answer after which another endpoint is sought, as a multiple of the
 * route's latency objective, and its minimum. */
constexpr int kSilenceObjectives = 3;
constexpr Duration kMinSilence = 250ms;
/* The same for the events of a stream, as a multiple of the route's event gap objective. It is less
 * than the gap after which clients give up, so that the stream can be resumed before. */
constexpr int kSilenceGaps = 4;

} // namespace

Duration RequestFlow::SilenceLimit() const
{
  if (!mRoute->MayRepeatOrResume()) {
    return Duration::zero();
  }
  if (mAttempt.head && mRoute->kind == RouteKind::kStream) {
    return mRoute->eventGapObjective * kSilenceGaps;
  }
  return std::max(mRoute->latencyObjective * kSilenceObjectives, kMinSilence);
}

/* Returns how long the endpoint has sent nothing. While reading is paused, that cannot be told. */
Duration RequestFlow::TimeWithoutBytes() const
{
  return mAttempt.isReadingPaused ? Duration::zero() : BootClockNow() - mAttempt.lastBytesAt;
}

bool RequestFlow::IsSilent() const
{
  const Duration limit = SilenceLimit();
  return limit > Duration::zero() && TimeWithoutBytes() >= limit;
}

void RequestFlow::WatchForSilence(Duration aTime)
{
  mSilenceTimer.expires_after(aTime);
  mSilenceTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError && !self->mIsEnded) {
      self->OnSilenceTimer();
    }
  });
}

void RequestFlow::OnSilenceTimer()
{
  const Duration limit = SilenceLimit();
  if (!mAttempt.call || limit <= Duration::zero()) {
    return;
  }
  const Duration silence = TimeWithoutBytes();
  if (silence < limit) {
    WatchForSilence(limit - silence);
    return;
  }
  WatchForSilence(limit); // An endpoint or a retry may become available later.
  mAttemptState.timeLeft = TimeLeft();
  mAttemptState.isQuarantined = mContext.crashes.IsQuarantined(BootClockNow(), mFingerprint);
  const bool mayMove = fleet::MayMoveAttempt(mAttemptState) &&
                       mContext.retries.RemainingRetries(BootClockNow(), mService) >= 1.0;
  if (!std::exchange(mAttempt.isReportedSilent, true)) {
    mContext.log.Write("endpoint_silent",
                       { { "id", mClient.requestId },
                         { "endpoint", mAttempt.endpoint },
                         { "silent_ms", ToMilliseconds(silence) },
                         { "limit_ms", ToMilliseconds(limit) },
                         { "has_head", mAttempt.head.has_value() },
                         { "events_passed", mEventsForwarded },
                         { "next", mayMove ? "looks_for_another" : "waits" } });
  }
  if (mayMove && !mReplacementId) {
    RequestReplacement();
  }
}

void RequestFlow::RequestReplacement()
{
  if (!UsesModels()) {
    ReplaceLocally();
    return;
  }
  fleet::PlacementRequest placementRequest = MakePlacementRequest();
  placementRequest.failedRunners.push_back(mAttempt.endpoint);
  mReplacementId = placementRequest.id;
  const bool isRequested = mContext.placement.RequestAssignment(
    placementRequest, [weak = weak_from_this()](const fleet::PlacementReply& aReply) {
      if (const auto self = weak.lock()) {
        self->OnReplacementReply(aReply);
      }
    });
  if (!isRequested) {
    mReplacementId.reset();
    ReplaceLocally();
  }
}

void RequestFlow::OnReplacementReply(const fleet::PlacementReply& aReply)
{
  if (mIsEnded || mReplacementId != aReply.id) {
    return;
  }
  const auto* assigned = std::get_if<fleet::RunnerAssigned>(&aReply.answer);
  if (assigned == nullptr) {
    mReplacementId.reset();
    if (std::holds_alternative<fleet::PlacementUndecided>(aReply.answer)) {
      ReplaceLocally();
    }
    return;
  }
  const auto obstacle = assigned->runner == mAttempt.endpoint
                          ? std::optional{ fleet::AssignmentEnd::kWithdrawn }
                          : ObstacleAt(assigned->runner, assigned->version);
  if (obstacle || mContext.retries.RemainingRetries(BootClockNow(), mService) < 1.0) {
    mContext.placement.Release({ .id = *std::exchange(mReplacementId, std::nullopt),
                                 .end = obstacle.value_or(fleet::AssignmentEnd::kWithdrawn) });
    return;
  }
  const auto replacementId = std::exchange(mReplacementId, std::nullopt);
  const EndpointId endpoint = assigned->runner;
  const auto version = assigned->version;
  MoveAttempt(endpoint, replacementId, version);
}

void RequestFlow::ReplaceLocally()
{
  std::set<EndpointId> excluded = mFailedEndpoints;
  excluded.insert(mAttempt.endpoint);
  auto query = OwnQuery();
  query.excluded = &excluded;
  const auto chosen = mContext.runners.Choose(BootClockNow(), query);
  if (chosen && !ObstacleAt(*chosen, std::nullopt)) {
    MoveAttempt(*chosen, std::nullopt, std::nullopt);
  }
}

void RequestFlow::MoveAttempt(const EndpointId& aEndpoint,
                              const std::optional<fleet::PlacementRequestId>& aPlacementId,
                              const std::optional<SoftwareVersion>& aAssignedVersion)
{
  mAttempt.call->Cancel();
  mAttempt.call.reset();
  mContext.runners.RecordRequestEnd(
    BootClockNow(), mAttempt.endpoint, fleet::EndpointOutcome::kFailed);
  ReleaseAssignment(fleet::AssignmentEnd::kFailed);
  RecordAttempt(mIsHeadSent ? AttemptEnd::kBrokenOff : AttemptEnd::kLost, "silent");
  mEventSplitter.Clear();
  mPlacementId = aPlacementId;
  mAssignedVersion = aAssignedVersion;
  SendToEndpoint(aEndpoint, "other_is_silent");
}

void RequestFlow::WithdrawReplacement()
{
  if (mReplacementId) {
    mContext.placement.Release({ .id = *std::exchange(mReplacementId, std::nullopt),
                                 .end = fleet::AssignmentEnd::kWithdrawn });
  }
}

void RequestFlow::RecordBytes()
{
  mAttempt.lastBytesAt = BootClockNow();
  WithdrawReplacement();
}

} // namespace rhubarbtrail

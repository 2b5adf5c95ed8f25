/* Endpoints of RequestFlow that fall silent: the request looks for another one, and keeps the
 * answer that is in progress until that one has begun to answer. */
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
/* Longest time for which two endpoints may work on one stream. After it, the stream goes on at the
 * new one, which has not refused it. */
constexpr Duration kMaxStreamOverlap = 250ms;

} // namespace

Duration RequestFlow::SilenceLimit() const
{
  if (!mRoute->MayRepeatOrResume() || mIsPartTrial) {
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
  UpdateAttemptState();
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
  if (mayMove && !mReplacementId && !mReplacement) {
    RequestReplacement();
  }
}

std::set<EndpointId> RequestFlow::SilentEndpoints() const
{
  std::set<EndpointId> endpoints;
  for (const RequestFlow* flow : mContext.openRequests) {
    if (flow->mIsEnded || !flow->mAttempt.call) {
      continue;
    }
    const Duration limit = flow->SilenceLimit();
    if (limit > Duration::zero() && flow->TimeWithoutBytes() >= limit / 2) {
      endpoints.insert(flow->mAttempt.endpoint);
    }
  }
  return endpoints;
}

void RequestFlow::RequestReplacement()
{
  if (!UsesModels()) {
    ReplaceLocally();
    return;
  }
  fleet::PlacementRequest placementRequest = MakePlacementRequest();
  placementRequest.quotaCost = 0.0; // The attempt that it may replace is counted.
  const auto silentEndpoints = SilentEndpoints();
  placementRequest.failedRunners.insert(
    placementRequest.failedRunners.end(), silentEndpoints.begin(), silentEndpoints.end());
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
  const bool isSilent = SilentEndpoints().contains(assigned->runner);
  const auto obstacle = isSilent ? std::optional{ fleet::AssignmentEnd::kWithdrawn }
                                 : ObstacleAt(assigned->runner, assigned->version);
  const auto id = *std::exchange(mReplacementId, std::nullopt);
  if (obstacle) {
    mContext.placement.Release({ .id = id, .end = *obstacle });
    return;
  }
  SendReplacement(assigned->runner, id, assigned->version);
}

void RequestFlow::ReplaceLocally()
{
  std::set<EndpointId> excluded = SilentEndpoints();
  excluded.insert(mFailedEndpoints.begin(), mFailedEndpoints.end());
  auto query = OwnQuery();
  query.excluded = &excluded;
  const auto chosen = mContext.runners.Choose(BootClockNow(), query);
  if (chosen && !ObstacleAt(*chosen, std::nullopt)) {
    SendReplacement(*chosen, std::nullopt, std::nullopt);
  }
}

void RequestFlow::SendReplacement(const EndpointId& aEndpoint,
                                  const std::optional<fleet::PlacementRequestId>& aPlacementId,
                                  const std::optional<SoftwareVersion>& aAssignedVersion)
{
  const TimePoint now = BootClockNow();
  const bool mayUseEndpoint =
    aPlacementId ? !mContext.wasDelayed() : mContext.runners.TakeOwnShare(now, aEndpoint);
  if (IsPartQuarantined() || !mayUseEndpoint || !mContext.retries.TakeRetry(now, mService)) {
    if (aPlacementId) {
      mContext.placement.Release({ .id = *aPlacementId, .end = fleet::AssignmentEnd::kWithdrawn });
    }
    return;
  }
  const fleet::KnownRunner& runner = *mContext.runners.Find(aEndpoint);
  mReplacement = Replacement{ .attempt = BeginAttempt(runner, aAssignedVersion, "other_is_silent"),
                              .placementId = aPlacementId };
  StartCall(mReplacement->attempt, runner, http::Reuse::kFresh);
  if (mRoute->kind != RouteKind::kStream) {
    return;
  }
  mWaitTimer.expires_after(kMaxStreamOverlap);
  mWaitTimer.async_wait([self = shared_from_this(),
                         number = mReplacement->attempt.number](boost::system::error_code aError) {
    const bool isDue = !aError && !self->mIsEnded && self->IsReplacement(number);
    if (isDue && !self->mReplacement->attempt.head) {
      self->PromoteReplacement();
    }
  });
}

void RequestFlow::PromoteReplacement()
{
  mAttempt.call->Cancel();
  RecordEnd(mAttempt, fleet::EndpointOutcome::kFailed);
  ReleaseAssignment(fleet::AssignmentEnd::kFailed);
  RecordAttempt(mIsHeadSent ? AttemptEnd::kBrokenOff : AttemptEnd::kLost, "silent");
  AdoptReplacement();
}

void RequestFlow::AdoptReplacement()
{
  mEventSplitter.Clear();
  mAttempt = std::move(mReplacement->attempt);
  mPlacementId = mReplacement->placementId;
  mReplacement.reset();
  UpdateHeld();
  WatchForSilence(SilenceLimit());
}

void RequestFlow::OnReplacementEnd(http::CallResult aResult)
{
  const Replacement failed = std::move(*mReplacement);
  mReplacement.reset();
  if (mIsEnded) {
    return;
  }
  const bool isNotSent = aResult == http::CallResult::kNotConnected;
  const bool isNotRun = failed.attempt.head && failed.attempt.decodedHead.isNotRun;
  mAttemptState.runs += isNotSent || isNotRun ? 0 : 1;
  mAttemptState.refusals += isNotSent || isNotRun ? 1 : 0;
  mFailedEndpoints.insert(failed.attempt.endpoint);
  if (isNotRun) {
    mRefusedBy.insert(failed.attempt.endpoint);
  }
  RecordEnd(failed.attempt,
            isNotRun ? fleet::EndpointOutcome::kRefused : fleet::EndpointOutcome::kFailed);
  if (failed.placementId) {
    mContext.placement.Release({ .id = *failed.placementId,
                                 .end = isNotSent  ? fleet::AssignmentEnd::kLost
                                        : isNotRun ? fleet::AssignmentEnd::kRefused
                                                   : fleet::AssignmentEnd::kFailed });
  }
  mContext.log.Write("replacement_failed",
                     { { "id", mClient.requestId },
                       { "endpoint", failed.attempt.endpoint },
                       { "result", http::ToString(aResult) },
                       { "status", failed.attempt.head ? failed.attempt.head->status : 0U },
                       { "not_run", isNotSent || isNotRun },
                       { "runs", mAttemptState.runs },
                       { "stays_at", mAttempt.endpoint } });
  if (aResult == http::CallResult::kBroken && !isNotRun) {
    ProbeEndpoint(failed.attempt);
  }
}

void RequestFlow::WithdrawReplacement()
{
  if (mReplacementId) {
    mContext.placement.Release({ .id = *std::exchange(mReplacementId, std::nullopt),
                                 .end = fleet::AssignmentEnd::kWithdrawn });
  }
  if (!mReplacement) {
    return;
  }
  mReplacement->attempt.call->Cancel();
  RecordEnd(mReplacement->attempt, fleet::EndpointOutcome::kCancelled);
  if (mReplacement->placementId) {
    mContext.placement.Release(
      { .id = *mReplacement->placementId, .end = fleet::AssignmentEnd::kDone });
  }
  ++mAttemptState.runs; // The endpoint may have begun to run it.
  mReplacement.reset();
}

void RequestFlow::RecordBytes()
{
  mAttempt.lastBytesAt = BootClockNow();
  WithdrawReplacement();
}

} // namespace rhubarbtrail

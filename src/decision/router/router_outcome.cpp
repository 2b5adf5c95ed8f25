/* Handles the end of an attempt and the result of a claim: answers, retries and refusals. */
#include "decision/router/router_base.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Refused attempts after which the request itself is refused. */
constexpr std::uint32_t kRefusedAttemptLimit = 16;
/* Backoff after an endpoint's first refusal. Each further refusal doubles it. */
constexpr Duration kFirstBackoff = 100ms;
/* Limit of these doublings. */
constexpr std::uint32_t kBackoffDoublings = 5;
/* A completed attempt changes the mean service time by 1/kServiceTimeDivisor of the difference. */
constexpr int kServiceTimeDivisor = 16;

/* Returns whether the caller may get another answer by repeating the request later. */
bool MayRetryLater(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::kIdempotencyKeyInProgress:
    case ResultCode::kAttemptsExhausted:
    case ResultCode::kRetryBudgetSpent:
      return true;
    default:
      break;
  }
  const ResultCodeInfo& info = Describe(aCode);
  constexpr std::uint16_t kTooManyRequests = 429;
  return info.execution == Execution::kNotRun && info.httpStatus >= kTooManyRequests;
}

bool IsAtMostOnce(const Request& aRequest)
{
  return aRequest.repeatability == Repeatability::kAtMostOnce;
}

} // namespace

/* Returns the result code of a request that failed: aCodeIfNotRun if no attempt can have run, else
 * a code that says that it may have run. */
ResultCode Router::FailureCode(const Request& aRequest, ResultCode aCodeIfNotRun)
{
  if (!aRequest.mayHaveRun) {
    return aCodeIfNotRun;
  }
  return IsAtMostOnce(aRequest) ? ResultCode::kOutcomeUnknown : ResultCode::kAttemptsExhausted;
}

void Router::OnAttemptEnded(Context& aContext, View& aView, const AttemptEnded& aEnded)
{
  const auto found = mRequests.find(aEnded.request);
  if (found == mRequests.end() || found->second.attempt != aEnded.attempt ||
      found->second.endpoint.empty()) {
    return;
  }
  Request& request = found->second;
  const EndpointId endpoint = request.endpoint;
  const bool wasIsolated = IsIsolatedSuspect(aContext, request);
  request.delivered = std::max(request.delivered, aEnded.deliveredEvents);
  RecordOutcome(aContext, aView, request, aEnded.outcome);
  ReleaseEndpoint(request);
  EndIsolation(aContext, aView, request);
  if (request.state == RequestState::kAbandoned) {
    OnAbandonedEnded(aContext, request, aEnded);
  } else if (aEnded.outcome == AttemptOutcome::kCompleted) {
    OnCompleted(aContext, request, aEnded);
  } else if (aEnded.outcome == AttemptOutcome::kCrashed && wasIsolated &&
             QuarantineFingerprint(aContext, aView, request)) {
    Finish(aContext, request, ResultCode::kCrashedEndpoints);
  } else if (aEnded.outcome == AttemptOutcome::kRejected ||
             aEnded.outcome == AttemptOutcome::kCancelled) {
    Finish(aContext, request, FailureCode(request, ResultCode::kEndpointUnavailable));
  } else {
    Retry(aContext, aView, request);
  }
  ReportDrained(aContext, aView, endpoint);
  DispatchEndpoint(aContext, aView, endpoint);
}

void Router::RecordOutcome(Context& aContext,
                           View& aView,
                           Request& aRequest,
                           AttemptOutcome aOutcome)
{
  bool hasRefused = false;
  switch (aOutcome) {
    case AttemptOutcome::kNotConnected:
      aView.RecordRefusedConnection(aContext, aRequest.endpoint);
      hasRefused = true;
      break;
    case AttemptOutcome::kLeaving:
      aView.RecordLeaving(aContext, aRequest.endpoint);
      hasRefused = true;
      break;
    case AttemptOutcome::kNotRun:
      if (Target* target = FindTarget(aRequest)) {
        RemoveReplica(aRequest.endpoint, aRequest.arrived.artifact.model);
        target->nextDemandAt = std::min(target->nextDemandAt, aContext.now());
      }
      hasRefused = true;
      break;
    case AttemptOutcome::kCrashed:
      aView.RecordRefusedConnection(aContext, aRequest.endpoint);
      OnCrashed(aContext, aView, aRequest.endpoint);
      break;
    case AttemptOutcome::kIncomplete:
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kForeignAnswer:
    case AttemptOutcome::kRejected:
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kCompleted:
      break;
  }
  if (!hasRefused) {
    aRequest.mayHaveRun = true;
    ++aRequest.sentAttempts;
    aRequest.failedEndpoints.insert(aRequest.endpoint);
    if (aOutcome == AttemptOutcome::kCompleted) {
      if (Target* target = FindTarget(aRequest)) {
        const Duration time = aContext.now() - aRequest.startedAt;
        const bool isFirst = target->serviceTime.count() == 0;
        target->serviceTime =
          isFirst ? time : target->serviceTime + (time - target->serviceTime) / kServiceTimeDivisor;
      }
      ClearSuspect(aContext, aView, aRequest.arrived.fingerprint);
      mEndpoints[aRequest.endpoint].backoffs.erase(aRequest.arrived.artifact.model);
    }
    return;
  }
  ++aRequest.refusedAttempts;
  Backoff& backoff = mEndpoints[aRequest.endpoint].backoffs[aRequest.arrived.artifact.model];
  if (backoff.until <= aContext.now()) {
    const std::uint32_t doublings = std::min(backoff.refusals, kBackoffDoublings);
    backoff.until = aContext.now() + kFirstBackoff * (1U << doublings);
    ++backoff.refusals;
  }
  aContext.WakeBy(backoff.until);
}

void Router::OnCompleted(Context& aContext, Request& aRequest, const AttemptEnded& aEnded)
{
  if (IsAtMostOnce(aRequest)) {
    mClaims.Record(aContext, aEnded.request, ClaimState::kDone, ClaimEnd::kFinal, aEnded);
  }
  aContext.Emit(FinishRequest{ .request = aEnded.request, .code = ResultCode::kOk });
  Erase(aEnded.request);
}

void Router::OnAbandonedEnded(Context& aContext, Request& aRequest, const AttemptEnded& aEnded)
{
  if (IsAtMostOnce(aRequest)) {
    if (aEnded.outcome == AttemptOutcome::kCompleted) {
      mClaims.Record(aContext, aEnded.request, ClaimState::kDone, ClaimEnd::kFinal, aEnded);
    } else if (aRequest.mayHaveRun) {
      mClaims.Record(aContext, aEnded.request, ClaimState::kUnknown, ClaimEnd::kFinal, aEnded);
    } else {
      mClaims.Release(aContext, aEnded.request);
    }
  }
  Erase(aEnded.request);
}

void Router::Retry(Context& aContext, View& aView, Request& aRequest)
{
  const bool isFinal = IsAtMostOnce(aRequest) && aRequest.mayHaveRun &&
                       aContext.IsEnabled(Mechanism::kFinalOutcomeUnknown);
  if (isFinal) {
    Finish(aContext, aRequest, ResultCode::kOutcomeUnknown);
    return;
  }
  if (aRequest.deadline <= aContext.now()) {
    Finish(aContext, aRequest, FailureCode(aRequest, ResultCode::kDeadlinePassed));
    return;
  }
  const bool isExhausted = aRequest.sentAttempts >= aContext.settings().attemptLimit ||
                           aRequest.refusedAttempts >= kRefusedAttemptLimit;
  if (isExhausted) {
    Finish(aContext, aRequest, FailureCode(aRequest, ResultCode::kEndpointUnavailable));
    return;
  }
  const RetryBudgetOptions budget{ aContext.settings().retryBudgetRatio,
                                   aContext.settings().retryBudgetBurst };
  // A refused attempt costs the endpoint nothing, and the backoff bounds the number of such
  // attempts. Suspects run one at a time in a cell, which bounds their retries.
  const bool isExemptFromBudget = !aRequest.mayHaveRun || MustIsolate(aContext, aRequest);
  const bool isAllowed =
    !aContext.IsEnabled(Mechanism::kRetryBudget) || isExemptFromBudget ||
    mRetryBudget.TakeRetry(aRequest.arrived.customer, aRequest.arrived.service, budget);
  if (!isAllowed) {
    Finish(aContext, aRequest, ResultCode::kRetryBudgetSpent);
    return;
  }
  Enqueue(aContext, aView, aRequest);
}

void Router::Refuse(Context& aContext,
                    const RequestId& aRequest,
                    ResultCode aCode,
                    Duration aRetryAfter)
{
  const Duration pause = aRetryAfter.count() > 0 ? aRetryAfter : kDefaultRetryAfter;
  aContext.Emit(FinishRequest{
    .request = aRequest, .code = aCode, .retryAfter = MayRetryLater(aCode) ? pause : Duration{} });
}

void Router::Finish(Context& aContext, Request& aRequest, ResultCode aCode, Duration aRetryAfter)
{
  Refuse(aContext, aRequest.arrived.request, aCode, aRetryAfter);
  if (IsAtMostOnce(aRequest)) {
    if (aRequest.mayHaveRun) {
      mClaims.Record(
        aContext, aRequest.arrived.request, ClaimState::kUnknown, ClaimEnd::kFinal, {});
    } else {
      mClaims.Release(aContext, aRequest.arrived.request);
    }
  }
  Erase(aRequest.arrived.request);
}

void Router::Abandon(Context& aContext, Request& aRequest)
{
  if (IsAtMostOnce(aRequest)) {
    // The attempt is not stopped, so that its answer can still be stored.
    mClaims.Record(
      aContext, aRequest.arrived.request, ClaimState::kUnknown, ClaimEnd::kProvisional, {});
  } else {
    aContext.Emit(StopAttempt{ aRequest.arrived.request, aRequest.attempt });
  }
  RemoveFromQueues(aRequest);
  aRequest.state = RequestState::kAbandoned;
}

void Router::RemoveFromQueues(Request& aRequest)
{
  if (aRequest.state == RequestState::kAbandoned) {
    return;
  }
  if (aRequest.state == RequestState::kQueued) {
    if (Target* target = FindTarget(aRequest)) {
      target->queue.Remove(aRequest.queued);
    }
  }
  if (aRequest.state == RequestState::kIsolating) {
    mIsolatedRequests.erase(aRequest.arrived.request);
  }
  mDeadlines.erase({ aRequest.deadline, aRequest.arrived.request });
  const auto unanswered = mUnansweredByCustomer.find(aRequest.arrived.customer);
  if (--unanswered->second == 0) {
    mUnansweredByCustomer.erase(unanswered);
  }
}

void Router::Erase(const RequestId& aRequest)
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  RemoveFromQueues(found->second);
  mRequests.erase(found);
}

void Router::ExpireDeadlines(Context& aContext)
{
  while (!mDeadlines.empty() && aContext.IsEnabled(Mechanism::kDeadlineRefusal)) {
    const auto [deadline, id] = *mDeadlines.begin();
    if (deadline > aContext.now()) {
      aContext.WakeBy(deadline);
      return;
    }
    Request& request = mRequests.at(id);
    if (request.state != RequestState::kInFlight) {
      Finish(aContext, request, FailureCode(request, ResultCode::kDeadlinePassed));
      continue;
    }
    const ResultCode code =
      IsAtMostOnce(request) ? ResultCode::kOutcomeUnknown : ResultCode::kAttemptsExhausted;
    Refuse(aContext, id, code);
    Abandon(aContext, request);
  }
}

void Router::OnTransactionResult(Context& aContext, View& aView, const TransactionResult& aResult)
{
  for (const ClaimResult& claimResult : mClaims.OnResult(aContext, aResult)) {
    ApplyClaimResult(aContext, aView, claimResult);
  }
  for (const ClaimResult& claimResult : mClaims.OnWake(aContext)) {
    ApplyClaimResult(aContext, aView, claimResult);
  }
}

void Router::ApplyClaimResult(Context& aContext, View& aView, const ClaimResult& aClaimResult)
{
  const auto found = mRequests.find(aClaimResult.request);
  if (found == mRequests.end()) {
    mClaims.Release(aContext, aClaimResult.request);
    return;
  }
  Request& request = found->second;
  switch (aClaimResult.outcome) {
    case ClaimOutcome::kGranted:
      Admit(aContext, aView, request);
      break;
    case ClaimOutcome::kInProgress:
      Finish(aContext, request, ResultCode::kIdempotencyKeyInProgress);
      break;
    case ClaimOutcome::kHeld:
      Finish(aContext,
             request,
             aClaimResult.row.owner != aContext.self() &&
                 aView.IsProvenDead(aContext, aClaimResult.row.owner)
               ? ResultCode::kEarlierOutcomeUnknown
               : ResultCode::kIdempotencyKeyInProgress);
      break;
    case ClaimOutcome::kDone:
      aContext.Emit(FinishRequest{ .request = aClaimResult.request,
                                   .code = ResultCode::kOk,
                                   .httpStatus = aClaimResult.row.httpStatus,
                                   .contentType = aClaimResult.row.contentType,
                                   .storedAnswer = aClaimResult.row.answer });
      Erase(aClaimResult.request);
      break;
    case ClaimOutcome::kUnknown:
      Finish(aContext, request, ResultCode::kEarlierOutcomeUnknown);
      break;
    case ClaimOutcome::kReused:
      Finish(aContext, request, ResultCode::kIdempotencyKeyReused);
      break;
    case ClaimOutcome::kUnavailable:
      Finish(aContext, request, ResultCode::kClaimUnavailable);
      break;
  }
}

} // namespace rhubarbtrail

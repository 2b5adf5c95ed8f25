/* What follows from an attempt's outcome: the answer, a retry or a refusal. */
#include "decision/router/router_base.h"

#include <algorithm>

namespace rhubarbtrail {

void Router::OnAttemptEnded(Context& aContext, View& aView, const AttemptEnded& aEnded)
{
  const auto found = mRequests.find(aEnded.request);
  if (found == mRequests.end() || found->second.attempt != aEnded.attempt ||
      found->second.state != RequestState::kInFlight) {
    return;
  }
  Request& request = found->second;
  const EndpointId endpoint = request.endpoint;
  const bool wasAlone = mInFlight[endpoint].size() == 1;
  mInFlight[endpoint].erase(aEnded.request);
  request.delivered = std::max(request.delivered, aEnded.delivered);
  if (aEnded.outcome == AttemptOutcome::kCompleted) {
    OnCompleted(aContext, request, aEnded);
  } else if (aEnded.outcome == AttemptOutcome::kCrashed && request.suspect && wasAlone &&
             aContext.IsEnabled(Mechanism::kQuarantine)) {
    const Duration length = aContext.settings().quarantineLength;
    const FingerprintId fingerprint = request.arrived.fingerprint;
    mQuarantine.convicted.Add(fingerprint, aContext.now() + length, aContext.now());
    for (const auto& [id, member] : aView.members()) {
      aView.SendTo(aContext, id, ConvictedMessage{ fingerprint, length });
    }
    request.mayHaveRun = true;
    Finish(aContext, request, ResultCode::kCrashedEndpoints);
  } else {
    OnFailed(aContext, aView, request, aEnded);
  }
  ReportDrained(aContext, aView, endpoint);
  DispatchEndpoint(aContext, aView, endpoint);
}

void Router::OnCompleted(Context& aContext, Request& aRequest, const AttemptEnded& aEnded)
{
  if (aRequest.repeatability == Repeatability::kAtMostOnce) {
    mClaims.Record(aContext, aEnded.request, ClaimState::kDone, aEnded);
  }
  aContext.Emit(FinishRequest{ .request = aEnded.request, .code = ResultCode::kOk });
  Erase(aEnded.request);
}

void Router::OnFailed(Context& aContext, View& aView, Request& aRequest, const AttemptEnded& aEnded)
{
  aRequest.failed.insert(aRequest.endpoint);
  switch (aEnded.outcome) {
    case AttemptOutcome::kNotConnected:
      aView.NoteRefused(aContext, aRequest.endpoint);
      break;
    case AttemptOutcome::kLeaving:
      aView.NoteLeaving(aContext, aRequest.endpoint);
      break;
    case AttemptOutcome::kNotRun:
      if (Target* target = FindTarget(aRequest)) {
        ForgetReplica(aRequest.endpoint, aRequest.arrived.artifact.model);
        target->nextDemand = aContext.now();
      }
      break;
    case AttemptOutcome::kCrashed:
      aRequest.mayHaveRun = true;
      aView.NoteRefused(aContext, aRequest.endpoint);
      OnCrashed(aContext, aView, aRequest, aRequest.endpoint);
      break;
    case AttemptOutcome::kCut:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kMismatched:
      aRequest.mayHaveRun = true;
      break;
    case AttemptOutcome::kRejected:
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kCompleted:
      aRequest.mayHaveRun = true;
      Finish(aContext, aRequest, ResultCode::kAttemptsExhausted);
      return;
  }
  Retry(aContext, aView, aRequest, aEnded);
}

void Router::Retry(Context& aContext, View& aView, Request& aRequest, const AttemptEnded& aEnded)
{
  const bool isOnce = aRequest.repeatability == Repeatability::kAtMostOnce;
  const bool isFinal =
    isOnce && aRequest.mayHaveRun && aContext.IsEnabled(Mechanism::kFinalOutcomeUnknown);
  if (isFinal) {
    mClaims.Record(aContext, aRequest.arrived.request, ClaimState::kUnknown, aEnded);
    aContext.Emit(
      FinishRequest{ .request = aRequest.arrived.request, .code = ResultCode::kOutcomeUnknown });
    Erase(aRequest.arrived.request);
    return;
  }
  if (aRequest.deadline <= aContext.now()) {
    Finish(aContext,
           aRequest,
           aRequest.mayHaveRun ? ResultCode::kAttemptsExhausted : ResultCode::kDeadlinePassed);
    return;
  }
  if (aRequest.attempt.value >= aContext.settings().attemptLimit) {
    Finish(aContext,
           aRequest,
           aRequest.mayHaveRun ? ResultCode::kAttemptsExhausted : ResultCode::kEndpointUnavailable,
           kDefaultRetryAfter);
    return;
  }
  const RetryBudgetOptions budget{ aContext.settings().retryBudgetRatio,
                                   aContext.settings().retryBudgetBurst };
  const bool isAllowed =
    !aContext.IsEnabled(Mechanism::kRetryBudget) ||
    mBudget.TakeRetry(aRequest.arrived.customer, aRequest.arrived.service, budget);
  if (!isAllowed) {
    Finish(aContext,
           aRequest,
           aRequest.mayHaveRun ? ResultCode::kRetryBudgetSpent : ResultCode::kEndpointUnavailable,
           kDefaultRetryAfter);
    return;
  }
  Enqueue(aContext, aView, aRequest);
}

void Router::Finish(Context& aContext, Request& aRequest, ResultCode aCode, Duration aRetryAfter)
{
  const bool isOnce = aRequest.repeatability == Repeatability::kAtMostOnce;
  if (aRequest.mayHaveRun && Describe(aCode).execution == Execution::kNotRun) {
    aCode = isOnce ? ResultCode::kOutcomeUnknown : ResultCode::kAttemptsExhausted;
  }
  if (isOnce) {
    if (aRequest.mayHaveRun) {
      mClaims.Record(aContext, aRequest.arrived.request, ClaimState::kUnknown, {});
    } else {
      mClaims.Release(aContext, aRequest.arrived.request);
    }
  }
  aContext.Emit(
    FinishRequest{ .request = aRequest.arrived.request, .code = aCode, .retryAfter = aRetryAfter });
  Erase(aRequest.arrived.request);
}

void Router::Erase(const RequestId& aRequest)
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  Request& request = found->second;
  mDeadlines.erase({ request.deadline, aRequest });
  const auto queued = mQueuedByCustomer.find(request.arrived.customer);
  if (--queued->second == 0) {
    mQueuedByCustomer.erase(queued);
  }
  mRequests.erase(found);
}

void Router::OnTransactionResult(Context& aContext, View& aView, const TransactionResult& aResult)
{
  auto verdicts = mClaims.OnResult(aContext, aResult);
  const auto late = mClaims.OnWake(aContext);
  verdicts.insert(verdicts.end(), late.begin(), late.end());
  for (const ClaimVerdict& verdict : verdicts) {
    const auto found = mRequests.find(verdict.request);
    if (found == mRequests.end()) {
      mClaims.Release(aContext, verdict.request);
      continue;
    }
    Request& request = found->second;
    switch (verdict.outcome) {
      case ClaimOutcome::kGranted:
        Enqueue(aContext, aView, request);
        break;
      case ClaimOutcome::kHeld:
        if (aView.IsProvenDead(verdict.row.owner)) {
          Finish(aContext, request, ResultCode::kEarlierOutcomeUnknown);
        } else {
          Finish(aContext, request, ResultCode::kIdempotencyKeyInProgress, kDefaultRetryAfter);
        }
        break;
      case ClaimOutcome::kDone:
        aContext.Emit(FinishRequest{ .request = verdict.request,
                                     .code = ResultCode::kOk,
                                     .httpStatus = verdict.row.httpStatus,
                                     .contentType = verdict.row.contentType,
                                     .storedAnswer = verdict.row.answer });
        Erase(verdict.request);
        break;
      case ClaimOutcome::kUnknown:
        Finish(aContext, request, ResultCode::kEarlierOutcomeUnknown);
        break;
      case ClaimOutcome::kReused:
        Finish(aContext, request, ResultCode::kIdempotencyKeyReused);
        break;
      case ClaimOutcome::kUnavailable:
        Finish(aContext, request, ResultCode::kClaimUnavailable, kDefaultRetryAfter);
        break;
    }
  }
}

} // namespace rhubarbtrail

/* Which requests are taken, and how they enter the queue. */
#include "decision/router/router_base.h"

namespace rhubarbtrail {

std::optional<ResultCode> Router::CheckAdmission(const Context& aContext,
                                                 const View& aView,
                                                 const RequestArrived& aArrived) const
{
  if (aView.readiness() == Readiness::kStopping && aContext.IsEnabled(Mechanism::kShutdownDrain)) {
    // Requests on connections that were open already are still served.
  } else if (aView.readiness() != Readiness::kReady) {
    return ResultCode::kConfigurationStale;
  }
  const Configuration& configuration = aView.configuration();
  const auto customer = configuration.customers.find(aArrived.customer);
  if (customer == configuration.customers.end()) {
    return ResultCode::kKeyWrong;
  }
  const auto requestClass = configuration.classes.find(aArrived.requestClass);
  if (requestClass == configuration.classes.end()) {
    return ResultCode::kRequestMalformed;
  }
  if (aContext.IsEnabled(Mechanism::kQuarantine) &&
      mQuarantine.convicted.Contains(aArrived.fingerprint, aContext.now())) {
    return ResultCode::kQuarantined;
  }
  if (requestClass->second.repeatability == Repeatability::kAtMostOnce && aArrived.key.empty()) {
    return ResultCode::kIdempotencyKeyRequired;
  }
  const auto queued = mQueuedByCustomer.find(aArrived.customer);
  const bool isCustomerFull =
    queued != mQueuedByCustomer.end() && queued->second >= customer->second.queueLimit;
  if (isCustomerFull || mRequests.size() >= aContext.settings().queueLimit) {
    return ResultCode::kQueueFull;
  }
  return std::nullopt;
}

void Router::OnRequest(Context& aContext, View& aView, const RequestArrived& aArrived)
{
  if (const auto refusal = CheckAdmission(aContext, aView, aArrived)) {
    const bool canComeBack = Describe(*refusal).httpStatus >= 429;
    aContext.Emit(FinishRequest{ .request = aArrived.request,
                                 .code = *refusal,
                                 .retryAfter = canComeBack ? kDefaultRetryAfter : Duration{} });
    return;
  }
  const Configuration& configuration = aView.configuration();
  const ClassSpec& requestClass = configuration.classes.at(aArrived.requestClass);
  const CustomerSpec& customer = configuration.customers.at(aArrived.customer);
  const Duration timeLeft =
    aArrived.timeLeft.count() > 0 ? aArrived.timeLeft : requestClass.deadline;

  Request request;
  request.arrived = aArrived;
  request.repeatability = requestClass.repeatability;
  request.deadline = aContext.now() + timeLeft;
  request.suspect = mQuarantine.suspects.Contains(aArrived.fingerprint, aContext.now());
  request.queued = { .request = aArrived.request,
                     .customer = aArrived.customer,
                     .weight = customer.weight,
                     .priority = requestClass.priority,
                     .deadline = request.deadline };
  mDeadlines.emplace(request.deadline, aArrived.request);
  aContext.WakeBy(request.deadline);
  ++mQueuedByCustomer[aArrived.customer];
  Request& stored = mRequests[aArrived.request] = std::move(request);

  const bool needsClaim = stored.repeatability == Repeatability::kAtMostOnce;
  if (needsClaim && aContext.IsEnabled(Mechanism::kClaimBeforeSend)) {
    stored.state = RequestState::kClaiming;
    mClaims.Ask(aContext, aArrived);
    return;
  }
  Enqueue(aContext, aView, stored);
}

void Router::Enqueue(Context& aContext, View& aView, Request& aRequest)
{
  aRequest.state = RequestState::kQueued;
  Target& target = mTargets[{ aRequest.arrived.service, aRequest.arrived.artifact }];
  target.artifact = aRequest.arrived.artifact;
  target.service = aRequest.arrived.service;
  target.queue.Push(aRequest.queued);
  DispatchTarget(aContext, aView, target);
}

} // namespace rhubarbtrail

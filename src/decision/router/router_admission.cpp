/* Admission of requests: checks on arrival, deadline estimates and queueing. */
#include "decision/router/router_base.h"

#include <algorithm>

namespace rhubarbtrail {

std::optional<ResultCode> Router::CheckAdmission(const Context& aContext,
                                                 const View& aView,
                                                 const RequestArrived& aArrived) const
{
  // A stopping daemon still serves requests on connections that were already open. Its readiness no
  // longer tells whether its configuration is current.
  const bool isDraining =
    aView.readiness() == Readiness::kStopping && aContext.IsEnabled(Mechanism::kShutdownDrain);
  if (isDraining ? !aView.IsFresh(aContext) : aView.readiness() != Readiness::kReady) {
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
      mFingerprints.quarantined.Contains(aArrived.fingerprint, aContext.now())) {
    return ResultCode::kQuarantined;
  }
  if (requestClass->second.repeatability == Repeatability::kAtMostOnce && aArrived.key.empty()) {
    return ResultCode::kIdempotencyKeyRequired;
  }
  const auto unanswered = mUnansweredByCustomer.find(aArrived.customer);
  const bool isCustomerFull =
    unanswered != mUnansweredByCustomer.end() && unanswered->second >= customer->second.queueLimit;
  if (isCustomerFull) {
    return ResultCode::kQueueFull;
  }
  return std::nullopt;
}

void Router::OnRequest(Context& aContext, View& aView, const RequestArrived& aArrived)
{
  if (const auto refusal = CheckAdmission(aContext, aView, aArrived)) {
    Refuse(aContext, aArrived.request, *refusal);
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
  request.isSuspect = mFingerprints.suspects.Contains(aArrived.fingerprint, aContext.now());
  request.queued = { .request = aArrived.request,
                     .customer = aArrived.customer,
                     .weight = customer.weight,
                     .priority = requestClass.priority,
                     .deadline = request.deadline };
  if (mRequests.size() >= aContext.settings().queueLimit &&
      !FreeQueueSlotFor(aContext, aArrived.customer)) {
    Refuse(aContext, aArrived.request, ResultCode::kQueueFull);
    return;
  }
  mDeadlines.emplace(request.deadline, aArrived.request);
  aContext.WakeBy(request.deadline);
  ++mUnansweredByCustomer[aArrived.customer];
  Request& stored = mRequests[aArrived.request] = std::move(request);

  const bool needsClaim = stored.repeatability == Repeatability::kAtMostOnce;
  if (needsClaim && aContext.IsEnabled(Mechanism::kClaimBeforeSend)) {
    stored.state = RequestState::kClaiming;
    if (const auto claimResult = mClaims.RequestClaim(aContext, aArrived)) {
      ApplyClaimResult(aContext, aView, *claimResult);
    }
    return;
  }
  Admit(aContext, aView, stored);
}

void Router::Admit(Context& aContext, View& aView, Request& aRequest)
{
  const Duration estimate = EstimateTime(aContext, aRequest);
  const Duration timeLeft = aRequest.deadline - aContext.now();
  if (estimate > timeLeft) {
    Finish(aContext, aRequest, ResultCode::kDeadlineUnreachable, estimate - timeLeft);
    return;
  }
  Enqueue(aContext, aView, aRequest);
}

Duration Router::EstimateTime(const Context& aContext, const Request& aRequest) const
{
  const auto found = mTargets.find({ aRequest.arrived.service, aRequest.arrived.artifact });
  if (found == mTargets.end()) {
    return {};
  }
  const Target& target = found->second;
  const bool isKnown =
    IsPlainService(target.artifact) || target.replicasValidUntil > aContext.now();
  if (!isKnown || target.replicas.empty()) {
    return std::max(Duration{}, target.expectedReadyAt - aContext.now());
  }
  std::uint32_t slots = 0;
  for (const ReplicaLocation& replica : target.replicas) {
    slots += std::max(1U, replica.concurrency);
  }
  if (target.inFlight < slots) {
    // With a free slot the request is started whatever the mean, because only completed attempts
    // update the mean.
    return {};
  }
  // Occupied slots are assumed to free up one after another, evenly spread over the service time.
  const double turns = (target.queue.EstimateAhead(aRequest.queued) + 1.0) / slots + 1.0;
  return Duration{ static_cast<std::int64_t>(turns *
                                             static_cast<double>(target.serviceTime.count())) };
}

bool Router::FreeQueueSlotFor(Context& aContext, const CustomerId& aCustomer)
{
  const auto largest = std::max_element(
    mUnansweredByCustomer.begin(),
    mUnansweredByCustomer.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.second < aRight.second; });
  const auto own = mUnansweredByCustomer.find(aCustomer);
  const std::uint32_t ownCount = own == mUnansweredByCustomer.end() ? 0 : own->second;
  if (largest == mUnansweredByCustomer.end() || largest->second <= ownCount + 1) {
    return false;
  }
  const CustomerId customer = largest->first;
  for (auto& [key, target] : mTargets) {
    if (const auto last = target.queue.LastRequestOf(customer)) {
      Request& request = mRequests.at(*last);
      Finish(aContext, request, FailureCode(request, ResultCode::kQueueFull));
      return true;
    }
  }
  return false;
}

void Router::Enqueue(Context& aContext, View& aView, Request& aRequest)
{
  if (MustIsolate(aContext, aRequest)) {
    Isolate(aContext, aView, aRequest);
    return;
  }
  aRequest.state = RequestState::kQueued;
  Target& target = mTargets[{ aRequest.arrived.service, aRequest.arrived.artifact }];
  target.artifact = aRequest.arrived.artifact;
  target.service = aRequest.arrived.service;
  target.queue.Push(aRequest.queued);
  DispatchTarget(aContext, aView, target);
}

} // namespace rhubarbtrail

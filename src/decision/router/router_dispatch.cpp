/* Dispatch: chooses an endpoint for each waiting request and starts its attempt. */
#include "decision/router/router_base.h"

#include "decision/rendezvous_func.h"

#include <algorithm>
#include <string>
#include <tuple>

namespace rhubarbtrail {

namespace {

/* Time after its deadline for which an attempt of an at-most-once request may still complete. */
constexpr Duration kLateAnswerGrace = 10s;

} // namespace

void Router::RefreshPlainReplicas(const Context& aContext, const View& aView, Target& aTarget) const
{
  const auto service = aView.configuration().services.find(aTarget.service);
  if (service == aView.configuration().services.end()) {
    return;
  }
  aTarget.replicas.clear();
  for (const auto& [id, info] : aView.endpoints()) {
    if (info.service == aTarget.service && aView.IsUsable(id, aContext.now())) {
      aTarget.replicas.push_back({ id, service->second.endpointConcurrency, 0 });
    }
  }
}

bool Router::CanAcceptRequest(const Context& aContext,
                              const View& aView,
                              const Target& aTarget,
                              const ReplicaLocation& aReplica) const
{
  const bool isDraining = mDraining.contains({ aReplica.runner, aTarget.artifact.model });
  if (isDraining || !aView.IsUsable(aReplica.runner, aContext.now())) {
    return false;
  }
  const auto use = mEndpoints.find(aReplica.runner);
  if (use == mEndpoints.end()) {
    return true;
  }
  const auto backoff = use->second.backoffs.find(aTarget.artifact.model);
  if (backoff != use->second.backoffs.end() && backoff->second.until > aContext.now()) {
    return false;
  }
  for (const RequestId& other : use->second.inFlight) {
    if (mRequests.at(other).isSuspect) {
      return false;
    }
  }
  return use->second.inFlight.size() < std::max(1U, aReplica.concurrency);
}

std::optional<EndpointId> Router::ChooseEndpoint(const Context& aContext,
                                                 const View& aView,
                                                 const Target& aTarget,
                                                 const Request& aRequest) const
{
  // Rendezvous hashing of the prefix gives requests with the same prefix the same two candidates,
  // of which the less loaded one is taken. A replica in another zone counts as half a request more.
  constexpr std::size_t kCandidates = 2;
  constexpr double kOtherZoneCost = 0.5;
  const std::string key = aRequest.arrived.prefixHash == 0
                            ? aRequest.arrived.request.str()
                            : std::to_string(aRequest.arrived.prefixHash);
  std::vector<std::tuple<bool, std::uint64_t, const ReplicaLocation*>> ranked;
  for (const ReplicaLocation& replica : aTarget.replicas) {
    const bool mustBeEmpty = aRequest.isSuspect && CountInFlight(replica.runner) > 0;
    if (mustBeEmpty || !CanAcceptRequest(aContext, aView, aTarget, replica)) {
      continue;
    }
    ranked.emplace_back(aRequest.failedEndpoints.contains(replica.runner),
                        ~RendezvousWeight(key, replica.runner.str()),
                        &replica);
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), kCandidates));
  std::optional<EndpointId> best;
  double bestCost = 0;
  for (const auto& [hasFailedThere, affinity, replica] : ranked) {
    if (hasFailedThere && best) {
      break; // An endpoint where this request failed is used only if no other is available.
    }
    const EndpointInfo* info = aView.FindEndpoint(replica->runner);
    const double zoneCost = info->zone == aContext.options().zone ? 0.0 : kOtherZoneCost;
    const double cost =
      static_cast<double>(CountInFlight(replica->runner) + replica->reportedLoad) + zoneCost;
    if (!best || cost < bestCost) {
      best = replica->runner;
      bestCost = cost;
    }
  }
  return best;
}

void Router::DispatchTarget(Context& aContext, View& aView, Target& aTarget)
{
  if (IsPlainService(aTarget.artifact)) {
    RefreshPlainReplicas(aContext, aView, aTarget);
  }
  while (const auto next = aTarget.queue.Peek(mFairClock)) {
    Request& request = mRequests.at(*next);
    if (MustIsolate(aContext, request)) {
      aTarget.queue.Remove(request.queued);
      Isolate(aContext, aView, request);
      continue;
    }
    const auto endpoint = MayUseReplicas(aContext, aTarget, request)
                            ? ChooseEndpoint(aContext, aView, aTarget, request)
                            : std::nullopt;
    if (!endpoint) {
      break;
    }
    StartNextAttempt(aContext, aView, aTarget, request, *endpoint);
  }
  if (aTarget.queue.empty()) {
    return;
  }
  if (IsPlainService(aTarget.artifact)) {
    aContext.WakeBy(aContext.now() + aContext.settings().demandInterval);
    return;
  }
  SendDemand(aContext, aView, aTarget);
}

void Router::DispatchEndpoint(Context& aContext, View& aView, const EndpointId& aEndpoint)
{
  std::vector<std::pair<std::pair<std::uint32_t, double>, Target*>> waiting;
  for (auto& [key, target] : mTargets) {
    if (target.queue.empty()) {
      continue;
    }
    const bool isServedThere =
      IsPlainService(target.artifact) ||
      std::any_of(target.replicas.begin(),
                  target.replicas.end(),
                  [&](const ReplicaLocation& aReplica) { return aReplica.runner == aEndpoint; });
    const auto rank = target.queue.BestRank(mFairClock);
    if (isServedThere && rank) {
      waiting.emplace_back(*rank, &target);
    }
  }
  std::sort(waiting.begin(), waiting.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  for (auto& [rank, target] : waiting) {
    DispatchTarget(aContext, aView, *target);
  }
}

void Router::StartNextAttempt(Context& aContext,
                              View& aView,
                              Target& aTarget,
                              Request& aRequest,
                              const EndpointId& aEndpoint)
{
  aTarget.queue.Remove(aRequest.queued);
  mFairClock.Charge(aRequest.arrived.customer, aRequest.queued.weight);
  ++aTarget.startedSince;
  ++aTarget.inFlight;
  if (aRequest.attempt.value == 0) {
    mRetryBudget.RecordFirstAttempt(
      aRequest.arrived.customer,
      aRequest.arrived.service,
      { aContext.settings().retryBudgetRatio, aContext.settings().retryBudgetBurst });
  }
  ++aRequest.attempt.value;
  aRequest.endpoint = aEndpoint;
  aRequest.startedAt = aContext.now();
  aRequest.state = RequestState::kInFlight;
  mEndpoints[aEndpoint].inFlight.insert(aRequest.arrived.request);
  const bool isAtMostOnce = aRequest.repeatability == Repeatability::kAtMostOnce;
  // An at-most-once request may run past its deadline, so that its answer can still be stored.
  const Duration grace = isAtMostOnce ? kLateAnswerGrace : Duration{};
  const bool resumes = aContext.IsEnabled(Mechanism::kResumeOffset);
  aContext.Emit(StartAttempt{ .request = aRequest.arrived.request,
                              .attempt = aRequest.attempt,
                              .endpoint = aEndpoint,
                              .address = aView.FindEndpoint(aEndpoint)->address,
                              .resumeOffset = resumes ? aRequest.delivered : 0,
                              .priority = aRequest.queued.priority,
                              .reuse = isAtMostOnce ? ConnectionReuse::kNewConnection
                                                    : ConnectionReuse::kAllowed,
                              .progressLimit = aContext.settings().progressLimit,
                              .timeLeft = aRequest.deadline - aContext.now() + grace });
}

} // namespace rhubarbtrail

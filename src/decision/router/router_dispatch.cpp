/* Which waiting request goes to which endpoint, and when. */
#include "decision/router/router_base.h"

#include "decision/rendezvous_func.h"

#include <algorithm>

namespace rhubarbtrail {

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

bool Router::HasRoom(const Target& aTarget, const ReplicaLocation& aReplica) const
{
  const auto inFlight = mInFlight.find(aReplica.runner);
  if (mDraining.contains({ aReplica.runner, aTarget.artifact.model })) {
    return false;
  }
  if (inFlight == mInFlight.end()) {
    return true;
  }
  for (const RequestId& other : inFlight->second) {
    const auto found = mRequests.find(other);
    if (found != mRequests.end() && found->second.suspect) {
      return false;
    }
  }
  return inFlight->second.size() < std::max(1U, aReplica.concurrency);
}

std::optional<EndpointId> Router::ChooseEndpoint(const Context& aContext,
                                                 const View& aView,
                                                 const Target& aTarget,
                                                 const Request& aRequest) const
{
  std::optional<EndpointId> best;
  // The holder may have unloaded a replica whose location was not renewed.
  if (!IsPlain(aTarget.artifact) && aTarget.knownUntil <= aContext.now()) {
    return best;
  }
  std::pair<double, std::uint64_t> bestCost{};
  for (const ReplicaLocation& replica : aTarget.replicas) {
    if (!aView.IsUsable(replica.runner, aContext.now()) || !HasRoom(aTarget, replica)) {
      continue;
    }
    const auto inFlight = mInFlight.find(replica.runner);
    const std::size_t sent = inFlight == mInFlight.end() ? 0 : inFlight->second.size();
    if (aRequest.suspect && sent > 0) {
      continue;
    }
    const bool hasFailed = aRequest.failed.contains(replica.runner);
    const EndpointInfo* info = aView.FindEndpoint(replica.runner);
    const double zoneCost = info->zone == aContext.options().zone ? 0.0 : 0.5;
    const double load = static_cast<double>(sent + replica.reportedLoad);
    const double cost = load + zoneCost + (hasFailed ? 1'000.0 : 0.0);
    const std::uint64_t affinity =
      ~RendezvousWeight(std::to_string(aRequest.arrived.prefixHash), replica.runner.str());
    const std::pair candidate{ cost, affinity };
    if (!best || candidate < bestCost) {
      best = replica.runner;
      bestCost = candidate;
    }
  }
  return best;
}

void Router::DispatchTarget(Context& aContext, View& aView, Target& aTarget)
{
  if (IsPlain(aTarget.artifact)) {
    RefreshPlainReplicas(aContext, aView, aTarget);
  }
  while (const auto next = aTarget.queue.Peek(mClock)) {
    Request& request = mRequests.at(*next);
    const auto endpoint = ChooseEndpoint(aContext, aView, aTarget, request);
    if (!endpoint) {
      break;
    }
    Start(aContext, aView, aTarget, request, *endpoint);
  }
  if (aTarget.queue.empty()) {
    return;
  }
  if (IsPlain(aTarget.artifact)) {
    aContext.WakeBy(aContext.now() + aContext.settings().demandInterval);
    return;
  }
  Demand(aContext, aView, aTarget);
}

void Router::DispatchEndpoint(Context& aContext, View& aView, const EndpointId& aEndpoint)
{
  std::vector<std::pair<std::pair<std::uint32_t, double>, Target*>> waiting;
  for (auto& [key, target] : mTargets) {
    if (target.queue.empty()) {
      continue;
    }
    const bool isThere =
      IsPlain(target.artifact) ||
      std::any_of(target.replicas.begin(),
                  target.replicas.end(),
                  [&](const ReplicaLocation& aReplica) { return aReplica.runner == aEndpoint; });
    const auto rank = target.queue.BestRank(mClock);
    if (isThere && rank) {
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

void Router::Start(Context& aContext,
                   View& aView,
                   Target& aTarget,
                   Request& aRequest,
                   const EndpointId& aEndpoint)
{
  aTarget.queue.Remove(aRequest.queued);
  mClock.Charge(aRequest.arrived.customer, aRequest.queued.weight);
  ++aTarget.startedSince;
  if (aRequest.attempt.value == 0) {
    mBudget.NoteFirstAttempt(
      aRequest.arrived.customer,
      aRequest.arrived.service,
      { aContext.settings().retryBudgetRatio, aContext.settings().retryBudgetBurst });
  }
  ++aRequest.attempt.value;
  aRequest.endpoint = aEndpoint;
  aRequest.state = RequestState::kInFlight;
  mInFlight[aEndpoint].insert(aRequest.arrived.request);
  const bool isOnce = aRequest.repeatability == Repeatability::kAtMostOnce;
  const bool resumes = aContext.IsEnabled(Mechanism::kResumeOffset);
  aContext.Emit(StartAttempt{ .request = aRequest.arrived.request,
                              .attempt = aRequest.attempt,
                              .endpoint = aEndpoint,
                              .address = aView.FindEndpoint(aEndpoint)->address,
                              .resumeOffset = resumes ? aRequest.delivered : 0,
                              .priority = aRequest.queued.priority,
                              .reuse = isOnce ? ConnectionReuse::kFresh : ConnectionReuse::kAllowed,
                              .progressLimit = aContext.settings().progressLimit,
                              .timeLeft = aRequest.deadline - aContext.now() });
}

} // namespace rhubarbtrail

/* Time, cancellations and changes of the view. */
#include "decision/router/router_base.h"

namespace rhubarbtrail {

Target* Router::FindTarget(const Request& aRequest)
{
  const auto found = mTargets.find({ aRequest.arrived.service, aRequest.arrived.artifact });
  return found == mTargets.end() ? nullptr : &found->second;
}

void Router::OnCancelled(Context& aContext, View& aView, const RequestCancelled& aCancelled)
{
  const auto found = mRequests.find(aCancelled.request);
  if (found == mRequests.end()) {
    return;
  }
  Request& request = found->second;
  const bool isOnce = request.repeatability == Repeatability::kAtMostOnce;
  if (request.state == RequestState::kInFlight) {
    if (isOnce) {
      // It runs to its end, so that its outcome can be recorded.
      request.cancelled = true;
      return;
    }
    const EndpointId endpoint = request.endpoint;
    mInFlight[endpoint].erase(aCancelled.request);
    aContext.Emit(StopAttempt{ aCancelled.request, request.attempt });
    Erase(aCancelled.request);
    ReportDrained(aContext, aView, endpoint);
    DispatchEndpoint(aContext, aView, endpoint);
    return;
  }
  if (Target* target = FindTarget(request)) {
    target->queue.Remove(request.queued);
  }
  if (isOnce) {
    mClaims.Release(aContext, aCancelled.request);
  }
  Erase(aCancelled.request);
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
    if (request.state == RequestState::kInFlight) {
      aContext.Emit(StopAttempt{ id, request.attempt });
      mInFlight[request.endpoint].erase(id);
      request.mayHaveRun = true;
    } else if (Target* target = FindTarget(request)) {
      target->queue.Remove(request.queued);
    }
    const bool isOnce = request.repeatability == Repeatability::kAtMostOnce;
    ResultCode code = ResultCode::kDeadlinePassed;
    if (request.mayHaveRun) {
      code = isOnce ? ResultCode::kOutcomeUnknown : ResultCode::kAttemptsExhausted;
    }
    Finish(aContext, request, code, kDefaultRetryAfter);
  }
}

bool Router::IsInUse(const Target& aTarget) const
{
  return std::any_of(
    aTarget.replicas.begin(), aTarget.replicas.end(), [&](const ReplicaLocation& aReplica) {
      const auto found = mInFlight.find(aReplica.runner);
      return found != mInFlight.end() &&
             std::any_of(found->second.begin(), found->second.end(), [&](const RequestId& aId) {
               return mRequests.at(aId).arrived.artifact == aTarget.artifact;
             });
    });
}

void Router::OnWake(Context& aContext, View& aView)
{
  ExpireDeadlines(aContext);
  OnTransactionResult(aContext, aView, {});
  for (auto& [key, target] : mTargets) {
    if (!target.queue.empty()) {
      DispatchTarget(aContext, aView, target);
      continue;
    }
    if (IsPlain(target.artifact) || target.replicas.empty()) {
      continue;
    }
    // Locations in use are refreshed before they run out; unused ones are forgotten.
    const TimePoint refresh = target.knownUntil - aContext.settings().replicaLifetime / 2;
    if (refresh > aContext.now()) {
      aContext.WakeBy(refresh);
    } else if (target.startedSince > 0 || IsInUse(target)) {
      Demand(aContext, aView, target);
    } else if (target.knownUntil <= aContext.now()) {
      target.replicas.clear();
    } else {
      aContext.WakeBy(target.knownUntil);
    }
  }
}

void Router::OnViewChanged(Context& aContext, View& aView)
{
  for (auto& [key, target] : mTargets) {
    if (!target.queue.empty()) {
      DispatchTarget(aContext, aView, target);
    }
  }
}

void Router::Dump(std::vector<DumpEntry>& aOut, TimePoint aNow) const
{
  aOut.push_back({ "router.requests", std::to_string(mRequests.size()) });
  aOut.push_back({ "router.suspects", std::to_string(mQuarantine.suspects.size()) });
  aOut.push_back({ "router.convicted", std::to_string(mQuarantine.convicted.size()) });
  for (const auto& [fingerprint, until] : mQuarantine.convicted.entries()) {
    if (until > aNow) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - aNow);
      aOut.push_back({ "router.quarantined." + fingerprint.str(), std::to_string(left.count()) });
    }
  }
  for (const auto& [key, target] : mTargets) {
    const std::string path = "router.targets." + key.first.str() + "." + key.second.model.str() +
                             (key.second.adapter.empty() ? "" : "+" + key.second.adapter.str());
    aOut.push_back({ path + ".waiting", std::to_string(target.queue.size()) });
    for (const ReplicaLocation& replica : target.replicas) {
      aOut.push_back({ path + ".replica", replica.runner.str() });
    }
  }
}

} // namespace rhubarbtrail

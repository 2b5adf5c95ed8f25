/* Parts of the router that handle timers, cancellations, changes of the view and state dumps. */
#include "decision/router/router_base.h"

#include <algorithm>

namespace rhubarbtrail {

Target* Router::FindTarget(const Request& aRequest)
{
  const auto found = mTargets.find({ aRequest.arrived.service, aRequest.arrived.artifact });
  return found == mTargets.end() ? nullptr : &found->second;
}

std::size_t Router::CountInFlight(const EndpointId& aEndpoint) const
{
  const auto found = mEndpoints.find(aEndpoint);
  return found == mEndpoints.end() ? 0 : found->second.inFlight.size();
}

void Router::ReleaseEndpoint(Request& aRequest)
{
  const auto endpoint = mEndpoints.find(aRequest.endpoint);
  if (endpoint != mEndpoints.end()) {
    endpoint->second.inFlight.erase(aRequest.arrived.request);
  }
  if (Target* target = FindTarget(aRequest)) {
    --target->inFlight;
  }
  aRequest.endpoint = {};
}

void Router::OnCancelled(Context& aContext, View& /*aView*/, const RequestCancelled& aCancelled)
{
  const auto found = mRequests.find(aCancelled.request);
  if (found == mRequests.end() || found->second.state == RequestState::kAbandoned) {
    return;
  }
  Request& request = found->second;
  if (request.state == RequestState::kInFlight) {
    Abandon(aContext, request);
    return;
  }
  if (request.repeatability == Repeatability::kAtMostOnce) {
    mClaims.Release(aContext, aCancelled.request);
  }
  Erase(aCancelled.request);
}

void Router::EraseUnused(Context& aContext, View& aView)
{
  for (auto item = mTargets.begin(); item != mTargets.end();) {
    Target& target = item->second;
    if (!target.queue.empty() || target.inFlight > 0) {
      ++item;
      continue;
    }
    const bool isUnused =
      IsPlainService(target.artifact) || (target.replicasValidUntil <= aContext.now() &&
                                          !IsHolderUnresponsive(aContext, target.service));
    item = isUnused ? mTargets.erase(item) : std::next(item);
  }
  for (auto& [id, use] : mEndpoints) {
    std::erase_if(use.backoffs, [&](const auto& aItem) {
      const TimePoint expiresAt = aItem.second.until + aContext.settings().replicaLifetime;
      if (expiresAt > aContext.now()) {
        aContext.WakeBy(expiresAt);
      }
      return expiresAt <= aContext.now();
    });
  }
  std::erase_if(mEndpoints, [](const auto& aItem) {
    return aItem.second.inFlight.empty() && aItem.second.backoffs.empty();
  });
  std::erase_if(mHolders, [&](const auto& aItem) {
    return !aView.configuration().services.contains(aItem.first);
  });
}

void Router::OnWake(Context& aContext, View& aView)
{
  ExpireDeadlines(aContext);
  OnTransactionResult(aContext, aView, {});
  UpdateIsolatedRequests(aContext, aView);
  for (auto& [key, target] : mTargets) {
    if (!target.queue.empty()) {
      DispatchTarget(aContext, aView, target);
      continue;
    }
    if (IsPlainService(target.artifact)) {
      continue;
    }
    // Replica locations in use are refreshed when half of their lifetime has passed. Unused ones
    // expire.
    const TimePoint refresh = target.replicasValidUntil - aContext.settings().replicaLifetime / 2;
    if (refresh > aContext.now()) {
      aContext.WakeBy(refresh);
    } else if (target.startedSince > 0 || target.inFlight > 0) {
      SendDemand(aContext, aView, target);
    } else if (target.replicasValidUntil > aContext.now()) {
      aContext.WakeBy(target.replicasValidUntil);
    }
  }
  EraseUnused(aContext, aView);
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
  aOut.push_back({ "router.targets", std::to_string(mTargets.size()) });
  aOut.push_back({ "router.endpoints_in_use", std::to_string(mEndpoints.size()) });
  aOut.push_back({ "router.claims", std::to_string(mClaims.size()) });
  aOut.push_back({ "router.suspects", std::to_string(mFingerprints.suspects.size()) });
  aOut.push_back({ "router.convicted", std::to_string(mFingerprints.quarantined.size()) });
  for (const auto& [fingerprint, until] : mFingerprints.quarantined.entries()) {
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

/* How replicas are asked for, learned and given up. */
#include "decision/router/router_base.h"

namespace rhubarbtrail {

namespace {

/* Demands without an answer after which the next candidate daemon is asked. */
constexpr std::uint32_t kMissesBeforeNextHolder = 2;

} // namespace

void Router::Demand(Context& aContext, View& aView, Target& aTarget)
{
  if (aTarget.nextDemand > aContext.now()) {
    aContext.WakeBy(aTarget.nextDemand);
    return;
  }
  aTarget.isRedirected = false;
  aTarget.nextDemand = aContext.now() + aContext.settings().demandInterval;
  aContext.WakeBy(aTarget.nextDemand);
  const CellId cell{ aTarget.service.str() };
  if (aTarget.holder.empty()) {
    aTarget.holder = mHolders[cell];
  }
  if (aTarget.holder.empty() || aTarget.holderMisses >= kMissesBeforeNextHolder) {
    const auto ranked = aView.RankDaemons(aContext, cell.str());
    aTarget.holder = ranked[(aTarget.holderMisses / kMissesBeforeNextHolder) % ranked.size()];
  }
  ++aTarget.holderMisses;
  std::uint32_t inFlight = 0;
  for (const ReplicaLocation& replica : aTarget.replicas) {
    const auto found = mInFlight.find(replica.runner);
    inFlight += found == mInFlight.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
  }
  const TimePoint earliest = aTarget.queue.EarliestDeadline();
  const DemandMessage demand{ .cell = cell,
                              .artifact = aTarget.artifact,
                              .timeLeft = earliest == TimePoint::max() ? Duration{}
                                                                       : earliest - aContext.now(),
                              .waiting = static_cast<std::uint32_t>(aTarget.queue.size()),
                              .inFlight = inFlight,
                              .startedSince = aTarget.startedSince };
  aTarget.startedSince = 0;
  if (aTarget.holder == aContext.self().daemon) {
    aContext.Emit(SendMessage{ aTarget.holder, {}, demand });
    return;
  }
  aView.SendTo(aContext, aTarget.holder, demand);
}

void Router::OnDemandReply(Context& aContext,
                           View& aView,
                           const DaemonId& aFrom,
                           const DemandReplyMessage& aReply)
{
  const auto found = mTargets.find({ ServiceId{ aReply.cell.str() }, aReply.artifact });
  if (found == mTargets.end()) {
    return;
  }
  Target& target = found->second;
  if (aReply.status == DemandStatus::kNotHolder) {
    if (!aReply.holder.empty() && aReply.holder != target.holder) {
      target.holder = aReply.holder;
      // Daemons that name each other must not be asked in a circle: one hop for each demand.
      if (!target.isRedirected) {
        target.nextDemand = aContext.now();
        Demand(aContext, aView, target);
        target.isRedirected = true;
      }
    }
    return;
  }
  target.holder = aFrom;
  mHolders[aReply.cell] = aFrom;
  target.holderMisses = 0;
  target.expectedWait = aReply.expectedWait;
  if (aReply.status == DemandStatus::kRefused) {
    while (const auto next = target.queue.Peek(mClock)) {
      Request& request = mRequests.at(*next);
      target.queue.Remove(request.queued);
      Finish(aContext, request, aReply.refusal, aReply.expectedWait);
    }
    return;
  }
  if (aReply.status == DemandStatus::kReady) {
    target.replicas = aReply.replicas;
    target.knownUntil = aContext.now() + aContext.settings().replicaLifetime;
    for (const ReplicaLocation& replica : target.replicas) {
      mDraining.erase({ replica.runner, target.artifact.model });
    }
    DispatchTarget(aContext, aView, target);
  }
}

void Router::OnDrain(Context& aContext,
                     View& aView,
                     const DaemonId& aFrom,
                     const DrainMessage& aDrain)
{
  ForgetReplica(aDrain.runner, aDrain.model);
  mDraining[{ aDrain.runner, aDrain.model }] = { aFrom, aDrain };
  ReportDrained(aContext, aView, aDrain.runner);
}

void Router::ReportDrained(Context& aContext, View& aView, const EndpointId& aEndpoint)
{
  for (auto drain = mDraining.begin(); drain != mDraining.end();) {
    const auto& [endpoint, model] = drain->first;
    bool isBusy = endpoint != aEndpoint;
    for (const RequestId& id : mInFlight[aEndpoint]) {
      isBusy = isBusy || mRequests.at(id).arrived.artifact.model == model;
    }
    if (isBusy) {
      ++drain;
      continue;
    }
    const auto& [holder, message] = drain->second;
    const DrainedMessage drained{ message.cell, endpoint, model, message.fence };
    if (holder == aContext.self().daemon) {
      aContext.Emit(SendMessage{ holder, {}, drained });
    } else {
      aView.SendTo(aContext, holder, drained);
    }
    drain = mDraining.erase(drain);
  }
}

void Router::ForgetReplica(const EndpointId& aEndpoint, const ModelId& aModel)
{
  for (auto& [key, target] : mTargets) {
    if (target.artifact.model != aModel) {
      continue;
    }
    std::erase_if(target.replicas,
                  [&](const ReplicaLocation& aReplica) { return aReplica.runner == aEndpoint; });
  }
}

} // namespace rhubarbtrail

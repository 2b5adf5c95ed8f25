/* Demands to cell holders, their replies, and drains of replicas. */
#include "decision/router/router_base.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Demand intervals without an answer after which the next daemon in rank is tried as holder. */
constexpr std::uint32_t kIntervalsBeforeNextHolder = 2;

} // namespace

bool Router::IsHolderUnresponsive(const Context& aContext, const ServiceId& aService) const
{
  const auto contact = mHolders.find(aService);
  return contact != mHolders.end() && contact->second.demandUnansweredSince &&
         aContext.now() - *contact->second.demandUnansweredSince >= aContext.settings().leaseLength;
}

bool Router::MayUseReplicas(const Context& aContext,
                            const Target& aTarget,
                            const Request& aRequest) const
{
  if (IsPlainService(aTarget.artifact) || aTarget.replicasValidUntil > aContext.now()) {
    return true;
  }
  // While no holder answers, an expired location is still used for idempotent requests, because
  // they can be repeated if the replica no longer exists.
  return aRequest.repeatability == Repeatability::kIdempotent &&
         IsHolderUnresponsive(aContext, aTarget.service);
}

DaemonId Router::ChooseHolder(Context& aContext, const View& aView, const ServiceId& aService)
{
  HolderContact& contact = mHolders[aService];
  const Duration answerTimeout = kIntervalsBeforeNextHolder * aContext.settings().demandInterval;
  const bool hasHolderTimedOut = contact.holderUnansweredSince &&
                                 aContext.now() - *contact.holderUnansweredSince >= answerTimeout;
  if (hasHolderTimedOut || contact.holder.empty()) {
    const auto ranked = aView.RankDaemons(aContext, aService.str());
    contact.candidateRank = hasHolderTimedOut ? contact.candidateRank + 1 : 0;
    contact.holder = ranked[contact.candidateRank % ranked.size()];
    contact.hasFollowedHint = false;
    contact.holderUnansweredSince.reset();
  }
  if (!contact.holderUnansweredSince) {
    contact.holderUnansweredSince = aContext.now();
  }
  return contact.holder;
}

void Router::Send(Context& aContext, const View& aView, const DaemonId& aTo, Message aMessage) const
{
  if (aTo == aContext.self().daemon) {
    aContext.Emit(SendMessage{ aTo, {}, std::move(aMessage) });
    return;
  }
  aView.SendTo(aContext, aTo, std::move(aMessage));
}

void Router::SendDemand(Context& aContext, View& aView, Target& aTarget)
{
  if (aTarget.nextDemandAt > aContext.now()) {
    aContext.WakeBy(aTarget.nextDemandAt);
    return;
  }
  aTarget.nextDemandAt = aContext.now() + aContext.settings().demandInterval;
  aContext.WakeBy(aTarget.nextDemandAt);
  const DaemonId holder = ChooseHolder(aContext, aView, aTarget.service);
  HolderContact& contact = mHolders[aTarget.service];
  // Long enough for a lease to expire and for another daemon to take it over.
  const Duration unansweredLimit =
    aContext.settings().leaseLength + aContext.settings().memberTimeout;
  if (contact.demandUnansweredSince &&
      aContext.now() - *contact.demandUnansweredSince >= unansweredLimit &&
      aTarget.isDemandUnanswered) {
    contact.isUnreachable = true;
    RefuseWaiting(
      aContext, aTarget, ResultCode::kReplicaUnavailable, kDefaultRetryAfter, TimePoint::max());
  }
  aTarget.isDemandUnanswered = !aTarget.queue.empty();
  if (aTarget.isDemandUnanswered) {
    // Time during which no demand was sent does not count as time without an answer. If requests
    // were already refused because no daemon answered, the next ones wait for `pause` instead of
    // the whole limit.
    const Duration pause = kIntervalsBeforeNextHolder * aContext.settings().demandInterval;
    const bool hasPaused =
      !contact.lastWaitingDemandAt || aContext.now() - *contact.lastWaitingDemandAt > pause;
    if (!contact.demandUnansweredSince || hasPaused) {
      contact.demandUnansweredSince =
        aContext.now() - (contact.isUnreachable ? unansweredLimit - pause : Duration{});
    }
    contact.lastWaitingDemandAt = aContext.now();
  }
  const TimePoint earliest = aTarget.queue.EarliestDeadline();
  Send(aContext,
       aView,
       holder,
       DemandMessage{ .cell = CellId{ aTarget.service.str() },
                      .artifact = aTarget.artifact,
                      .timeLeft =
                        earliest == TimePoint::max() ? Duration{} : earliest - aContext.now(),
                      .waiting = static_cast<std::uint32_t>(aTarget.queue.size()),
                      .inFlight = aTarget.inFlight,
                      .startedSince = aTarget.startedSince });
  aTarget.startedSince = 0;
}

void Router::RefuseWaiting(Context& aContext,
                           Target& aTarget,
                           ResultCode aCode,
                           Duration aRetryAfter,
                           TimePoint aDueBefore)
{
  for (const RequestId& id : aTarget.queue.DueBefore(aDueBefore)) {
    Request& request = mRequests.at(id);
    Finish(aContext, request, FailureCode(request, aCode), aRetryAfter);
  }
}

void Router::OnNotHolder(Context& aContext,
                         View& aView,
                         Target& aTarget,
                         const DemandReplyMessage& aReply)
{
  // Only one hint is followed per candidate, so that two daemons that name each other as the holder
  // cannot keep this daemon alternating between them.
  HolderContact& contact = mHolders[aTarget.service];
  if (aReply.holder.empty() || aReply.holder == contact.holder || contact.hasFollowedHint) {
    return;
  }
  contact.holder = aReply.holder;
  contact.hasFollowedHint = true;
  contact.holderUnansweredSince = aContext.now();
  aTarget.nextDemandAt = aContext.now();
  SendDemand(aContext, aView, aTarget);
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
    OnNotHolder(aContext, aView, target, aReply);
    return;
  }
  HolderContact& contact = mHolders[target.service];
  if (aReply.fence < contact.fence) {
    return; // The reply comes from a former holder.
  }
  contact = { .holder = aFrom, .fence = aReply.fence };
  target.isDemandUnanswered = false;
  target.expectedReadyAt = aContext.now() + aReply.expectedWait;
  if (aReply.status == DemandStatus::kRefused) {
    // With refusesBelow set, only requests with less time left than that are refused. One request
    // that cannot wait for the load is no reason to refuse the others.
    const bool refusesAll = aReply.refusesBelow <= Duration::zero();
    RefuseWaiting(aContext,
                  target,
                  aReply.refusal,
                  aReply.expectedWait,
                  refusesAll ? TimePoint::max() : aContext.now() + aReply.refusesBelow);
    return;
  }
  if (aReply.status == DemandStatus::kReady) {
    target.replicas = aReply.replicas;
    target.replicasValidUntil = aContext.now() + aContext.settings().replicaLifetime;
    for (ReplicaLocation& replica : target.replicas) {
      mDraining.erase({ replica.runner, target.artifact.model });
      // Subtracts this daemon's own attempts from the reported load, because ChooseEndpoint() adds
      // their current number.
      const auto ownInFlight = static_cast<std::uint32_t>(CountInFlight(replica.runner));
      replica.reportedLoad -= std::min(replica.reportedLoad, ownInFlight);
    }
    aContext.WakeBy(target.replicasValidUntil - aContext.settings().replicaLifetime / 2);
    DispatchTarget(aContext, aView, target);
  }
}

void Router::OnDrain(Context& aContext,
                     View& aView,
                     const DaemonId& aFrom,
                     const DrainMessage& aDrain)
{
  RemoveReplica(aDrain.runner, aDrain.model);
  mDraining[{ aDrain.runner, aDrain.model }] = { aFrom, aDrain };
  ReportDrained(aContext, aView, aDrain.runner);
}

void Router::ReportDrained(Context& aContext, View& aView, const EndpointId& aEndpoint)
{
  const auto use = mEndpoints.find(aEndpoint);
  for (auto drain = mDraining.begin(); drain != mDraining.end();) {
    const auto& [endpoint, model] = drain->first;
    bool isBusy = endpoint != aEndpoint;
    if (!isBusy && use != mEndpoints.end()) {
      isBusy = std::any_of(
        use->second.inFlight.begin(), use->second.inFlight.end(), [&](const RequestId& aRequest) {
          return mRequests.at(aRequest).arrived.artifact.model == drain->first.second;
        });
    }
    if (isBusy) {
      ++drain;
      continue;
    }
    const auto& [holder, message] = drain->second;
    Send(aContext, aView, holder, DrainedMessage{ message.cell, endpoint, model, message.fence });
    drain = mDraining.erase(drain);
  }
}

void Router::RemoveReplica(const EndpointId& aEndpoint, const ModelId& aModel)
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

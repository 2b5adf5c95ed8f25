/* Requests in flight on a crashed endpoint become suspects, which run isolated on a reserved
 * runner. A suspect that crashes an endpoint while it runs alone is quarantined. */
#include "decision/router/router_base.h"

#include <algorithm>
#include <set>

namespace rhubarbtrail {

namespace {

/* Largest number of isolated requests of this daemon, waiting or running. Further suspects are
 * refused at once. */
constexpr std::size_t kIsolatedRequestLimit = 64;

} // namespace

void Router::Broadcast(Context& aContext, const View& aView, const Message& aMessage) const
{
  for (const auto& [id, member] : aView.members()) {
    aView.SendTo(aContext, id, aMessage);
  }
}

void Router::OnCrashed(Context& aContext, View& aView, const EndpointId& aEndpoint)
{
  if (!aContext.IsEnabled(Mechanism::kQuarantine)) {
    return;
  }
  const EndpointInfo* info = aView.FindEndpoint(aEndpoint);
  SuspectsMessage suspects{ aEndpoint, info != nullptr ? info->bootId : std::string{}, {} };
  for (const RequestId& other : mEndpoints[aEndpoint].inFlight) {
    Request& request = mRequests.at(other);
    request.isSuspect = true;
    const FingerprintId& fingerprint = request.arrived.fingerprint;
    mFingerprints.suspects.Add(
      fingerprint, aContext.now() + aContext.settings().quarantineLength, aContext.now());
    suspects.fingerprints.push_back(fingerprint);
  }
  if (!suspects.fingerprints.empty()) {
    Broadcast(aContext, aView, suspects);
  }
}

void Router::OnSuspects(Context& aContext, View& aView, const SuspectsMessage& aSuspects)
{
  for (const FingerprintId& fingerprint : aSuspects.fingerprints) {
    mFingerprints.suspects.Add(
      fingerprint, aContext.now() + aContext.settings().quarantineLength, aContext.now());
  }
  // This daemon's own requests on the crashed endpoint are suspects, too. The other daemons are
  // notified only if one of these requests is not marked yet. Otherwise daemons would answer each
  // other's messages without end.
  const EndpointInfo* info = aView.FindEndpoint(aSuspects.endpoint);
  const auto use = mEndpoints.find(aSuspects.endpoint);
  if (info == nullptr || info->bootId != aSuspects.bootId || use == mEndpoints.end()) {
    return;
  }
  const bool isNew =
    std::any_of(use->second.inFlight.begin(),
                use->second.inFlight.end(),
                [&](const RequestId& aRequest) { return !mRequests.at(aRequest).isSuspect; });
  if (isNew) {
    OnCrashed(aContext, aView, aSuspects.endpoint);
  }
}

bool Router::IsIsolatedSuspect(const Context& aContext, const Request& aRequest) const
{
  if (!aRequest.isSuspect) {
    return false;
  }
  if (IsPlainService(aRequest.arrived.artifact)) {
    return CountInFlight(aRequest.endpoint) == 1;
  }
  return !aRequest.isolationHolder.empty() && aContext.now() < aRequest.reservedUntil;
}

bool Router::QuarantineFingerprint(Context& aContext, View& aView, const Request& aRequest)
{
  if (!aContext.IsEnabled(Mechanism::kQuarantine)) {
    return false;
  }
  const ConvictedMessage quarantined{ aRequest.arrived.fingerprint,
                                      aContext.settings().quarantineLength };
  OnConvicted(aContext, quarantined);
  Broadcast(aContext, aView, quarantined);
  return true;
}

void Router::OnConvicted(Context& aContext, const ConvictedMessage& aConvicted)
{
  if (!aContext.IsEnabled(Mechanism::kQuarantine)) {
    return;
  }
  mFingerprints.suspects.Remove(aConvicted.fingerprint);
  if (aConvicted.expiresIn.count() <= 0) {
    mFingerprints.quarantined.Remove(aConvicted.fingerprint); // An operator released the request.
    return;
  }
  mFingerprints.quarantined.Add(
    aConvicted.fingerprint, aContext.now() + aConvicted.expiresIn, aContext.now());
  std::vector<RequestId> waiting;
  for (const auto& [id, request] : mRequests) {
    const bool isWaiting =
      request.state == RequestState::kQueued || request.state == RequestState::kIsolating;
    if (isWaiting && request.arrived.fingerprint == aConvicted.fingerprint) {
      waiting.push_back(id);
    }
  }
  for (const RequestId& id : waiting) {
    Request& request = mRequests.at(id);
    Finish(aContext,
           request,
           request.mayHaveRun ? ResultCode::kCrashedEndpoints : ResultCode::kQuarantined);
  }
}

void Router::ClearSuspect(Context& aContext, View& aView, const FingerprintId& aFingerprint)
{
  if (mFingerprints.suspects.Contains(aFingerprint, aContext.now())) {
    OnCleared({ aFingerprint });
    Broadcast(aContext, aView, ClearedMessage{ aFingerprint });
  }
}

void Router::OnCleared(const ClearedMessage& aCleared)
{
  mFingerprints.suspects.Remove(aCleared.fingerprint);
}

bool Router::MustIsolate(const Context& aContext, const Request& aRequest) const
{
  // The endpoints of a plain service have no holder that could reserve one. There a suspect shares
  // the endpoint with no other request of this daemon, but possibly with requests of other daemons.
  const FingerprintId& fingerprint = aRequest.arrived.fingerprint;
  const bool isMarked = mFingerprints.suspects.Contains(fingerprint, aContext.now()) ||
                        mFingerprints.quarantined.Contains(fingerprint, aContext.now());
  return isMarked && aContext.IsEnabled(Mechanism::kQuarantine) &&
         !IsPlainService(aRequest.arrived.artifact);
}

void Router::Isolate(Context& aContext, View& aView, Request& aRequest)
{
  const FingerprintId& fingerprint = aRequest.arrived.fingerprint;
  aRequest.state = RequestState::kIsolating;
  aRequest.isSuspect = true;
  if (mFingerprints.quarantined.Contains(fingerprint, aContext.now())) {
    Finish(aContext,
           aRequest,
           aRequest.mayHaveRun ? ResultCode::kCrashedEndpoints : ResultCode::kQuarantined);
    return;
  }
  if (mIsolatedRequests.size() >= kIsolatedRequestLimit) {
    Finish(aContext, aRequest, FailureCode(aRequest, ResultCode::kReplicaUnavailable));
    return;
  }
  mIsolatedRequests.insert(aRequest.arrived.request);
  RequestIsolation(aContext, aView, aRequest);
}

void Router::RequestIsolation(Context& aContext, View& aView, Request& aRequest)
{
  const ServiceId& service = aRequest.arrived.service;
  aRequest.isolationRequestedAt = aContext.now();
  ++aRequest.isolationRequestNumber;
  aContext.WakeBy(aContext.now() + aContext.settings().demandInterval);
  Send(aContext,
       aView,
       ChooseHolder(aContext, aView, service),
       IsolationRequestMessage{ .cell = CellId{ service.str() },
                                .artifact = aRequest.arrived.artifact,
                                .request = aRequest.arrived.request,
                                .ask = aRequest.isolationRequestNumber,
                                .timeLeft = aRequest.deadline - aContext.now() });
}

void Router::OnIsolationGrant(Context& aContext,
                              View& aView,
                              const DaemonId& aFrom,
                              const IsolationGrantMessage& aGrant)
{
  const auto found = mRequests.find(aGrant.request);
  if (found == mRequests.end() || found->second.state != RequestState::kIsolating) {
    const bool isInUse = found != mRequests.end() && found->second.isolationHolder == aFrom;
    if (aGrant.status == IsolationStatus::kGranted && !isInUse) {
      Send(aContext, aView, aFrom, IsolationReleaseMessage{ aGrant.cell, aGrant.request });
    }
    return;
  }
  Request& request = found->second;
  if (request.isolationRequestNumber != aGrant.ask) {
    // The validity of a grant counts from the sending of its isolation request. That time is known
    // only for the last one.
    return;
  }
  HolderContact& contact = mHolders[request.arrived.service];
  if (aGrant.status == IsolationStatus::kNotHolder) {
    const bool isNew = !aGrant.holder.empty() && aGrant.holder != contact.holder;
    if (isNew && !contact.hasFollowedHint) {
      contact.holder = aGrant.holder;
      contact.hasFollowedHint = true;
      contact.holderUnansweredSince = aContext.now();
      RequestIsolation(aContext, aView, request);
    }
    return;
  }
  contact.holderUnansweredSince.reset();
  contact.demandUnansweredSince.reset();
  if (aGrant.status == IsolationStatus::kRefused) {
    Finish(aContext, request, FailureCode(request, ResultCode::kReplicaUnavailable));
    return;
  }
  const bool isGranted = aGrant.status == IsolationStatus::kGranted;
  if (!isGranted || !aView.IsUsable(aGrant.runner, aContext.now())) {
    return;
  }
  request.isolationHolder = aFrom;
  request.reservedUntil = request.isolationRequestedAt + aGrant.validFor;
  Target& target = mTargets[{ request.arrived.service, request.arrived.artifact }];
  target.service = request.arrived.service;
  target.artifact = request.arrived.artifact;
  StartNextAttempt(aContext, aView, target, request, aGrant.runner);
  aContext.WakeBy(request.reservedUntil);
}

void Router::EndIsolation(Context& aContext, View& aView, Request& aRequest)
{
  if (aRequest.isolationHolder.empty()) {
    return;
  }
  const RequestId& id = aRequest.arrived.request;
  Send(aContext,
       aView,
       aRequest.isolationHolder,
       IsolationReleaseMessage{ CellId{ aRequest.arrived.service.str() }, id });
  aRequest.isolationHolder = {};
  mIsolatedRequests.erase(id);
}

void Router::UpdateIsolatedRequests(Context& aContext, View& aView)
{
  for (const RequestId& id : std::set<RequestId>{ mIsolatedRequests }) {
    const auto found = mRequests.find(id);
    if (found == mRequests.end()) {
      continue;
    }
    Request& request = found->second;
    if (request.state == RequestState::kIsolating) {
      const TimePoint next = request.isolationRequestedAt + aContext.settings().demandInterval;
      if (next > aContext.now()) {
        aContext.WakeBy(next);
      } else if (MustIsolate(aContext, request)) {
        RequestIsolation(aContext, aView, request);
      } else {
        mIsolatedRequests.erase(id);
        Enqueue(aContext, aView, request);
      }
    } else if (request.state == RequestState::kInFlight &&
               request.reservedUntil <= aContext.now()) {
      // Other requests may use the runner when the reservation has ended, so the attempt is
      // abandoned.
      const ResultCode code = FailureCode(request, ResultCode::kAttemptsExhausted);
      Refuse(aContext, id, code);
      Abandon(aContext, request);
    } else if (request.state == RequestState::kInFlight) {
      aContext.WakeBy(request.reservedUntil);
    }
  }
}

void Router::OnQuarantineReleased(Context& aContext,
                                  const View& aView,
                                  const QuarantineReleased& aReleased)
{
  mFingerprints.quarantined.Remove(aReleased.fingerprint);
  mFingerprints.suspects.Remove(aReleased.fingerprint);
  // A ConvictedMessage without validity makes the other daemons remove the fingerprint.
  for (const auto& [id, member] : aView.members()) {
    aView.SendTo(aContext, id, ConvictedMessage{ aReleased.fingerprint, Duration{} });
  }
}

} // namespace rhubarbtrail

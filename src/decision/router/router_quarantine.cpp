/* Requests that crash endpoints. */
#include "decision/router/router_base.h"

namespace rhubarbtrail {

void Router::OnCrashed(Context& aContext,
                       View& aView,
                       Request& aRequest,
                       const EndpointId& aEndpoint)
{
  if (!aContext.IsEnabled(Mechanism::kQuarantine)) {
    return;
  }
  const EndpointInfo* info = aView.FindEndpoint(aEndpoint);
  SuspectsMessage suspects{ aEndpoint, info != nullptr ? info->bootId : std::string{}, {} };
  suspects.fingerprints.push_back(aRequest.arrived.fingerprint);
  aRequest.suspect = true;
  for (const RequestId& other : mInFlight[aEndpoint]) {
    Request& request = mRequests.at(other);
    request.suspect = true;
    suspects.fingerprints.push_back(request.arrived.fingerprint);
  }
  OnSuspects(aContext, suspects);
  for (const auto& [id, member] : aView.members()) {
    aView.SendTo(aContext, id, suspects);
  }
}

void Router::OnSuspects(Context& aContext, const SuspectsMessage& aSuspects)
{
  for (const FingerprintId& fingerprint : aSuspects.fingerprints) {
    mQuarantine.suspects.Add(
      fingerprint, aContext.now() + aContext.settings().quarantineLength, aContext.now());
  }
}

void Router::OnConvicted(Context& aContext, const ConvictedMessage& aConvicted)
{
  if (!aContext.IsEnabled(Mechanism::kQuarantine)) {
    return;
  }
  mQuarantine.convicted.Add(
    aConvicted.fingerprint, aContext.now() + aConvicted.expiresIn, aContext.now());
}

void Router::OnQuarantineReleased(Context& aContext,
                                  const View& aView,
                                  const QuarantineReleased& aReleased)
{
  mQuarantine.convicted.Remove(aReleased.fingerprint);
  // A conviction that has expired on arrival replaces the one that the others hold.
  for (const auto& [id, member] : aView.members()) {
    aView.SendTo(aContext, id, ConvictedMessage{ aReleased.fingerprint, Duration{} });
  }
}

} // namespace rhubarbtrail

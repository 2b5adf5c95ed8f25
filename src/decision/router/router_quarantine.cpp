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
  for (const RequestId& other : mEndpoints[aEndpoint].inFlight) {
    suspects.fingerprints.push_back(mRequests.at(other).arrived.fingerprint);
  }
  (void)aRequest;
  OnSuspects(aContext, suspects);
  for (const auto& [id, member] : aView.members()) {
    aView.SendTo(aContext, id, suspects);
  }
}

bool Router::Convict(Context& aContext, View& aView, const Request& aRequest)
{
  if (!aRequest.suspect || !aContext.IsEnabled(Mechanism::kQuarantine)) {
    return false;
  }
  const Duration length = aContext.settings().quarantineLength;
  const FingerprintId& fingerprint = aRequest.arrived.fingerprint;
  mQuarantine.convicted.Add(fingerprint, aContext.now() + length, aContext.now());
  for (const auto& [id, member] : aView.members()) {
    aView.SendTo(aContext, id, ConvictedMessage{ fingerprint, length });
  }
  return true;
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

} // namespace rhubarbtrail

/* Rates an endpoint by the outcomes of the requests that were sent to it, because the endpoint's
 * own health check may be wrong. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_ENDPOINT_HEALTH_H
#define RHUBARBTRAIL_DECISION_FLEET_ENDPOINT_HEALTH_H

#include "core/unit_type.h"

#include <algorithm>
#include <cstdint>

namespace rhubarbtrail::fleet {

/* The outcome of an attempt at an endpoint, as far as it concerns the endpoint's health. */
enum class EndpointOutcome : std::uint8_t
{
  kSucceeded, ///< It answered without a failure.
  kRefused,   ///< It was full, or had not loaded the requested model.
  kFailed,    ///< It answered with a failure, broke off, did not answer or could not be reached.
  kWrongEndpoint, ///< Another endpoint has this address.
  kCancelled,     ///< The daemon cancelled the attempt, so the health does not change.
};

/* A circuit breaker for one endpoint. An endpoint that fails a large share of its requests is
 * avoided for a time that grows with each failure in a row, and then gets requests again. */
class EndpointHealth
{
public:
  void Record(TimePoint aNow, EndpointOutcome aOutcome);
  void Reset() { *this = {}; }
  /* Returns whether requests should go to other endpoints for now. */
  bool IsAvoided(TimePoint aNow) const { return aNow < mAvoidedUntil; }
  TimePoint avoidedUntil() const { return mAvoidedUntil; }
  double failureShare() const { return mFailureShare; }

private:
  std::uint32_t mConsecutiveFailures = 0;
  double mFailureShare = 0.0; ///< Moving average of failures: 0 for none, 1 for all.
  TimePoint mAvoidedUntil{};
};

} // namespace rhubarbtrail::fleet

#endif

/* Rates an endpoint by the outcomes of the requests that were sent to it. */
#include "decision/fleet/endpoint_health.h"

namespace rhubarbtrail::fleet {

namespace {

/* Weight of each new outcome in the moving average of failures. With this weight, about five
 * outcomes distinguish an endpoint that fails 4 of 10 requests from one that fails 1 of 10. */
constexpr double kFailureWeight = 0.2;
/* An endpoint is avoided after a failure that leaves the average of failures above this value. */
constexpr double kAvoidanceThreshold = 0.35;
/* Shortest and longest time for which an endpoint is avoided. The time doubles with each failure in
 * a row. */
constexpr Duration kMinAvoidanceTime = 500ms;
constexpr Duration kMaxAvoidanceTime = 4s;
/* Time for which an endpoint is avoided after it refused a request. */
constexpr Duration kRefusalAvoidanceTime = 60ms;

} // namespace

void EndpointHealth::Record(TimePoint aNow, EndpointOutcome aOutcome)
{
  switch (aOutcome) {
    case EndpointOutcome::kSucceeded:
      mFailureShare -= kFailureWeight * mFailureShare;
      mConsecutiveFailures = 0;
      break;
    case EndpointOutcome::kFailed:
      mFailureShare += kFailureWeight * (1.0 - mFailureShare);
      ++mConsecutiveFailures;
      if (mFailureShare > kAvoidanceThreshold) {
        const auto doublings = std::min<std::uint32_t>(mConsecutiveFailures, 4) - 1;
        mAvoidedUntil = aNow + std::min(kMinAvoidanceTime * (1 << doublings), kMaxAvoidanceTime);
      }
      break;
    case EndpointOutcome::kRefused:
      mAvoidedUntil = std::max(mAvoidedUntil, aNow + kRefusalAvoidanceTime);
      break;
    case EndpointOutcome::kWrongEndpoint:
      // The endpoint's entry is outdated. An entry with another address, start time or service
      // resets this.
      mAvoidedUntil = aNow + kMaxAvoidanceTime;
      break;
    case EndpointOutcome::kCancelled:
      break;
  }
}

} // namespace rhubarbtrail::fleet

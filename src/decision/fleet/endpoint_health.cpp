/* Rates an endpoint by the outcomes of the requests that were sent to it. */
#include "decision/fleet/endpoint_health.h"

namespace rhubarbtrail::fleet {

namespace {

/* Weight of each new outcome in the moving average of failures. With this weight, about five
 * outcomes distinguish an endpoint that fails 4 of 10 requests from one that fails 1 of 10. */
constexpr double kFailureWeight = 0.2;
/* An endpoint is avoided after a failure that leaves the average of failures above this value. */
constexpr double kDoubtedShare = 0.35;
/* Shortest and longest time for which an endpoint is avoided. The time doubles with each failure in
 * a row. */
constexpr Duration kFirstAvoidance = 500ms;
constexpr Duration kLongestAvoidance = 4s;
/* Time for which an endpoint is avoided after it refused a request. */
constexpr Duration kRefusalPause = 60ms;

} // namespace

void EndpointHealth::Note(TimePoint aNow, EndpointSign aSign)
{
  switch (aSign) {
    case EndpointSign::kGood:
      mFailureShare -= kFailureWeight * mFailureShare;
      mFailuresInRow = 0;
      break;
    case EndpointSign::kFailed:
      mFailureShare += kFailureWeight * (1.0 - mFailureShare);
      ++mFailuresInRow;
      if (mFailureShare > kDoubtedShare) {
        const auto doublings = std::min<std::uint32_t>(mFailuresInRow, 4) - 1;
        mAvoidUntil = aNow + std::min(kFirstAvoidance * (1 << doublings), kLongestAvoidance);
      }
      break;
    case EndpointSign::kRefused:
      mAvoidUntil = std::max(mAvoidUntil, aNow + kRefusalPause);
      break;
    case EndpointSign::kMisaddressed:
      // The endpoint's entry is outdated. An entry with another address, start time or service
      // resets this.
      mAvoidUntil = aNow + kLongestAvoidance;
      break;
    case EndpointSign::kCancelled:
      break;
  }
}

} // namespace rhubarbtrail::fleet

/* Belief in an endpoint, from how requests went there. */
#include "decision/fleet/endpoint_health.h"

namespace rhubarbtrail::fleet {

namespace {

/* Share of each new outcome in the moving average of failures: about five outcomes tell an
 * endpoint that fails four requests in ten from one that fails one in ten. */
constexpr double kFailureWeight = 0.2;
/* Average of failures from which an endpoint is doubted. */
constexpr double kDoubtedShare = 0.35;
/* First and longest time for which a doubted endpoint gets no requests. */
constexpr Duration kFirstAvoidance = 500ms;
constexpr Duration kLongestAvoidance = 4s;
/* Time for which an endpoint is left alone after it refused a request. */
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
      // Its entry is old; a new one clears this.
      mAvoidUntil = aNow + kLongestAvoidance;
      break;
    case EndpointSign::kCancelled:
      break;
  }
}

} // namespace rhubarbtrail::fleet

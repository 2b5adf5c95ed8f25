/* Belief in an endpoint, from how requests went there: its own health check may be wrong. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_ENDPOINT_HEALTH_H
#define RHUBARBTRAIL_DECISION_FLEET_ENDPOINT_HEALTH_H

#include "core/unit_type.h"

#include <algorithm>
#include <cstdint>

namespace rhubarbtrail::fleet {

/* How an attempt at an endpoint went, as far as its health is concerned. */
enum class EndpointSign : std::uint8_t
{
  kGood,
  kRefused,      ///< It was full, or did not hold what was asked for.
  kFailed,       ///< It failed the request, broke off or said nothing.
  kMisaddressed, ///< Another endpoint has the address.
  kCancelled,    ///< We stopped it, which says nothing.
};

/* An endpoint that fails a good part of its requests is left alone for a time that grows with each
 * failure in a row, and is then tried again. */
class EndpointHealth
{
public:
  void Note(TimePoint aNow, EndpointSign aSign);
  void Reset() { *this = {}; }
  bool IsDoubted(TimePoint aNow) const { return aNow < mAvoidUntil; }
  double failureShare() const { return mFailureShare; }

private:
  std::uint32_t mFailuresInRow = 0;
  double mFailureShare = 0.0; ///< Moving average of attempts that failed.
  TimePoint mAvoidUntil{};
};

} // namespace rhubarbtrail::fleet

#endif

/* How long runners take, as the dispatcher expects. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_DISPATCH_ESTIMATE_H
#define RHUBARBTRAIL_DECISION_FLEET_DISPATCH_ESTIMATE_H

#include "core/unit_type.h"
#include "decision/fleet/work_type.h"

#include <cstdint>

namespace rhubarbtrail::fleet {

/* Prompt tokens that a runner reads in a millisecond between the tokens of other requests; the
 * operators state 19 for a runner that does nothing else. */
constexpr double kReadingRate = 15.0;
/* Time of the runner that one output token takes when about twenty requests share a step. */
constexpr Duration kTokenTime = 450us;
/* What each request in the batch adds to the time to a first token. */
constexpr Duration kBatchDelay = 1ms;
/* An adapter's way from the weight store; the operators state 6 to 19 ms. */
constexpr Duration kAdapterLoadTime = 22ms;
/* Cost of crossing zones: a round trip, and the price of the bytes. */
constexpr Duration kZoneDelay = 8ms;

inline Duration ReadingTime(std::uint32_t aTokens)
{
  return Duration{ static_cast<Duration::rep>(aTokens / kReadingRate * 1e3) };
}

inline Duration ScaleBy(Duration aTime, double aFactor)
{
  return Duration{ static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor) };
}

/* Returns for how long a request keeps a runner from serving others. */
inline Duration EstimateWork(const ModelWork& aWork)
{
  return ReadingTime(aWork.promptTokens) + aWork.outputTokens * kTokenTime;
}

} // namespace rhubarbtrail::fleet

#endif

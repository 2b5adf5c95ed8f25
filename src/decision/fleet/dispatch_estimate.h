/* Constants and functions by which the dispatcher estimates how long runners take. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_DISPATCH_ESTIMATE_H
#define RHUBARBTRAIL_DECISION_FLEET_DISPATCH_ESTIMATE_H

#include "core/unit_type.h"
#include "decision/fleet/work_type.h"

#include <cstdint>

namespace rhubarbtrail::fleet {

/* Prompt tokens that a runner processes per millisecond while it also generates tokens for other
 * requests. The operators state 19 for a runner that does nothing else. */
constexpr double kPromptTokensPerMs = 15.0;
/* Runner time per output token when about twenty requests share each decoding step. */
constexpr Duration kTimePerOutputToken = 450us;
/* Delay of a request's first token for each request that the runner already runs. */
constexpr Duration kDelayPerRunningRequest = 1ms;
/* Time to load an adapter from the weight store. The operators state 6 to 19 ms. */
constexpr Duration kAdapterLoadTime = 22ms;
/* Penalty for a runner in another zone than the requesting daemon: a round trip, and the price of
 * the bytes between zones expressed as a delay. */
constexpr Duration kCrossZonePenalty = 8ms;

/* Work that one replica of a model should have at most, as a share of a runner's time. With more,
 * prompts queue. */
constexpr double kMaxWorkPerReplica = 0.5;
/* Value of a replica beyond the number needed, relative to a needed one. */
constexpr double kSurplusReplicaFactor = 0.05;
/* Value of a late answer relative to one in time. Operators state a seventh to a half. */
constexpr double kLateAnswerValue = 0.2;
/* Least time until a request's deadline with which an answer can still be complete. */
constexpr Duration kMinServiceTime = 250ms;
/* Least time that a request waits for its model before it is refused because no load is planned. */
constexpr Duration kMinWaitForModel = 1s;
/* Retry-after time of refusals for lack of a replica while none is planned. */
constexpr Duration kRetryAfterRefusal = 1'500ms;

/* Size of a runner's window, and of that of a model that was just loaded, at the start. */
constexpr double kFirstRunnerWindow = 2.0;

inline double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/* Returns the time to process prompt tokens that the runner does not have in its prompt cache. */
inline Duration PromptProcessingTime(std::uint32_t aTokens)
{
  return Duration{ static_cast<Duration::rep>(aTokens / kPromptTokensPerMs * 1e3) };
}

inline Duration ScaleDuration(Duration aTime, double aFactor)
{
  return Duration{ static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor) };
}

/* Returns the runner time that a request uses: its whole prompt, and its output at the maximum
 * length. */
inline Duration EstimateRunnerTime(const ModelWork& aWork)
{
  return PromptProcessingTime(aWork.promptTokens) + aWork.outputTokens * kTimePerOutputToken;
}

} // namespace rhubarbtrail::fleet

#endif

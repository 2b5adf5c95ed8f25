/* Decides whether a request is sent again after an attempt, and otherwise what the client gets. */
#include "decision/fleet/attempt_policy.h"

namespace rhubarbtrail::fleet {

namespace {

/* Number of attempts that have not run after which a request is not sent again. It is limited
 * because each attempt is one more arrival at an endpoint. */
constexpr std::uint32_t kRefusalLimit = 4;
/* No further attempt is made with this time left or less, because no answer could arrive in it. */
constexpr Duration kMinAttemptTime = 20ms;

bool MayRunAgain(const AttemptState& aState)
{
  const bool isRepeatable = aState.kind == RouteKind::kIdempotent || aState.isResumable;
  return isRepeatable && aState.runs < aState.maxAttempts && !aState.isQuarantined &&
         aState.timeLeft > kMinAttemptTime;
}

} // namespace

std::string_view ToString(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kErrorAnswer:
      return "failure";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kNotRun:
      return "not_run";
    case AttemptEnd::kLost:
      return "lost";
    case AttemptEnd::kBrokenOff:
      return "cut_midway";
  }
  return "unknown";
}

NextStep DecideNextStep(const AttemptState& aState, AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kAnswered:
      return NextStep::kForwardAnswer;
    case AttemptEnd::kErrorAnswer:
      return MayRunAgain(aState) ? NextStep::kRetry : NextStep::kForwardAnswer;
    case AttemptEnd::kNotSent:
    case AttemptEnd::kNotRun:
      if (aState.refusals < kRefusalLimit && aState.timeLeft > kMinAttemptTime) {
        return NextStep::kRetry;
      }
      return aState.runs == 0 ? NextStep::kRefuse : NextStep::kFail;
    case AttemptEnd::kLost:
      return MayRunAgain(aState) ? NextStep::kRetry : NextStep::kFail;
    case AttemptEnd::kBrokenOff:
      return MayRunAgain(aState) ? NextStep::kRetry : NextStep::kBreakOffAnswer;
  }
  return NextStep::kFail;
}

bool MayMoveAttempt(AttemptState aState)
{
  ++aState.runs; // The attempt that the silent endpoint has begun counts.
  return aState.refusals < kRefusalLimit && MayRunAgain(aState);
}

} // namespace rhubarbtrail::fleet

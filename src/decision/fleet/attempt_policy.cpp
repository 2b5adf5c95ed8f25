/* Decides whether a request is sent again after an attempt, and otherwise what the client gets. */
#include "decision/fleet/attempt_policy.h"

namespace rhubarbtrail::fleet {

namespace {

/* Number of attempts that have not run after which a request is given up. It is limited because
 * each attempt is one more arrival at an endpoint. */
constexpr std::uint32_t kRefusalLimit = 4;
/* No further attempt is made with this time left or less, because no answer could arrive in it. */
constexpr Duration kMinAttemptTime = 20ms;

bool MayRunAgain(const AttemptState& aState)
{
  const bool isRepeatable = aState.kind == RouteKind::kIdempotent || aState.isResumable;
  return isRepeatable && aState.runs < aState.maxAttempts && !aState.isConvicted &&
         aState.timeLeft > kMinAttemptTime;
}

} // namespace

std::string_view ToString(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kFailure:
      return "failure";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kNotRun:
      return "not_run";
    case AttemptEnd::kLost:
      return "lost";
    case AttemptEnd::kCutMidway:
      return "cut_midway";
  }
  return "unknown";
}

NextStep DecideNextStep(const AttemptState& aState, AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kAnswered:
      return NextStep::kPassOn;
    case AttemptEnd::kFailure:
      return MayRunAgain(aState) ? NextStep::kTryAgain : NextStep::kPassOn;
    case AttemptEnd::kNotSent:
    case AttemptEnd::kNotRun:
      if (aState.refusals < kRefusalLimit && aState.timeLeft > kMinAttemptTime) {
        return NextStep::kTryAgain;
      }
      return aState.runs == 0 ? NextStep::kRefuse : NextStep::kFail;
    case AttemptEnd::kLost:
      return MayRunAgain(aState) ? NextStep::kTryAgain : NextStep::kFail;
    case AttemptEnd::kCutMidway:
      return MayRunAgain(aState) ? NextStep::kTryAgain : NextStep::kCut;
  }
  return NextStep::kFail;
}

} // namespace rhubarbtrail::fleet

/* What follows an attempt at an endpoint: another one, the answer, or a failure. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_ATTEMPT_POLICY_H
#define RHUBARBTRAIL_DECISION_FLEET_ATTEMPT_POLICY_H

#include "decision/fleet/fleet_configuration_type.h"

#include <cstdint>
#include <string_view>

namespace rhubarbtrail::fleet {

enum class AttemptEnd : std::uint8_t
{
  kAnswered,  ///< A whole, signed answer.
  kFailure,   ///< A whole, signed answer with a 5xx status: it has run.
  kNotSent,   ///< No byte can have left.
  kNotRun,    ///< The endpoint states that it has not run it.
  kLost,      ///< No answer, or none that counts: it may have run.
  kCutMidway, ///< The answer broke off after a part had been passed on.
};

std::string_view ToString(AttemptEnd aEnd);

/* A request after an attempt. */
struct AttemptState
{
  std::uint32_t runs = 0;     ///< Attempts that may have run, this one included.
  std::uint32_t refusals = 0; ///< Attempts that certainly have not run.
  std::uint32_t maxAttempts = 1;
  RouteKind kind = RouteKind::kNonIdempotent;
  bool isResumable = false;
  bool isConvicted = false; ///< It is known to crash endpoints.
  Duration timeLeft{};
};

enum class NextStep : std::uint8_t
{
  kTryAgain, ///< From its beginning, or from the event where the client's part ends.
  kPassOn,   ///< Give the client the endpoint's answer.
  kRefuse,   ///< Tell the client that it has not run.
  kFail,     ///< Tell the client that it may have run.
  kCut,      ///< Break off the answer, since a part of it was passed on.
};

/* Decides what follows. What has been sent counts as run unless the endpoint says otherwise, so
 * that nothing runs twice that must not, and a refusal is true. */
NextStep DecideNextStep(const AttemptState& aState, AttemptEnd aEnd);

} // namespace rhubarbtrail::fleet

#endif

/* Decides what follows an attempt at an endpoint: another attempt, the endpoint's answer or a
 * failure. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_ATTEMPT_POLICY_H
#define RHUBARBTRAIL_DECISION_FLEET_ATTEMPT_POLICY_H

#include "decision/fleet/fleet_configuration_type.h"

#include <cstdint>
#include <string_view>

namespace rhubarbtrail::fleet {

/* The result of an attempt. An answer is signed if it carries a signature of the endpoint, which
 * the caller does not verify. */
enum class AttemptEnd : std::uint8_t
{
  kAnswered,    ///< A complete, signed answer.
  kErrorAnswer, ///< A complete, signed answer with a 5xx status. The request has run.
  kNotSent,     ///< No byte of the request was sent.
  kNotRun,      ///< The endpoint states that it has not run the request.
  kLost,        ///< No complete and valid answer. The request may have run.
  kBrokenOff,   ///< The answer broke off or became invalid after the client got a part of it.
};

std::string_view ToString(AttemptEnd aEnd);

/* The state of a request after an attempt. */
struct AttemptState
{
  std::uint32_t runs = 0;     ///< Attempts that may have run, including the last one.
  std::uint32_t refusals = 0; ///< Attempts that have certainly not run, including the last one.
  std::uint32_t maxAttempts = 1;
  RouteKind kind = RouteKind::kNonIdempotent;
  bool isResumable = false;
  bool isQuarantined = false; ///< The request is quarantined because it crashes endpoints.
  Duration timeLeft{};
};

/* What to do with a request after an attempt. */
enum class NextStep : std::uint8_t
{
  kRetry,          ///< Send the request again. A resumable stream continues after the client's last
                   ///< event.
  kForwardAnswer,  ///< Forward the endpoint's answer to the client.
  kRefuse,         ///< Tell the client that the request has not run.
  kFail,           ///< Tell the client that the request may have run.
  kBreakOffAnswer, ///< Break off the answer, because the client already has a part of it.
};

/* Decides what follows an attempt. A request that was sent counts as run unless the endpoint states
 * that it has not run it. So a request that must not be repeated never runs twice, and a client is
 * told that its request has not run only if that is certain. */
NextStep DecideNextStep(const AttemptState& aState, AttemptEnd aEnd);

/* Returns whether a request that is in flight at a silent endpoint may be sent to another one
 * instead. aState is that after the former attempts. */
bool MayMoveAttempt(AttemptState aState);

} // namespace rhubarbtrail::fleet

#endif

/* Messages between daemons and the dispatcher about requests for models: placement requests,
 * replies and the state of assignments to runners. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_DISPATCH_TYPE_H
#define RHUBARBTRAIL_DECISION_FLEET_DISPATCH_TYPE_H

#include "core/result_code_type.h"
#include "decision/fleet/stream_origins.h"
#include "decision/fleet/work_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbtrail::fleet {

/* Identifies a placement request among those of all daemons. */
struct PlacementRequestId
{
  DaemonId daemon;
  std::uint64_t number = 0;

  auto operator<=>(const PlacementRequestId&) const = default;
  bool operator==(const PlacementRequestId&) const = default;
};

/* A runner that wants nothing from the requesting daemon for some time. */
struct PausedRunner
{
  EndpointId runner;
  Duration timeLeft{};

  bool operator==(const PausedRunner&) const = default;
};

/* What an endpoint's process has stated about its limit on requests. */
struct LimitStatement
{
  EndpointId endpoint;
  std::int64_t startedAtMs = 0; ///< Unix time of the process's start.
  /* The limit, or nothing if an answer stated none. */
  std::optional<RequestRate> limit;
  /* Without a limit: time since the request was sent whose answer stated none. */
  Duration age{};
};

/* A placement request: a daemon asks the dispatcher to assign a client's request to a runner, or to
 * an endpoint without models if endpoints of the service state limits on requests. */
struct PlacementRequest
{
  PlacementRequestId id;
  std::string requestId; ///< For logs.
  std::string route;
  ServiceId service;
  ClientAccountId account; ///< Empty if the daemon is of a release that does not state it.
  /* What the request counts as against the account's quota. 0 if the account has none, or if the
   * request is counted already. */
  double quotaCost = 0.0;
  ModelWork work; ///< Without a model for an endpoint without models.
  std::uint32_t priority = 0;
  /* Time within which the first event meets the route's latency objective. This and timeLeft count
   * from when the message was first sent. */
  Duration latencyObjective{};
  /* Time until the request's deadline or until the client gives up, whichever is earlier. */
  Duration timeLeft{};
  bool isResumable = false;
  std::vector<EndpointId> failedRunners;   ///< Runners where an attempt failed or was refused.
  std::vector<PausedRunner> pausedRunners; ///< When the message was first sent.
  /* Set for a stream that is resumed: only runners of this service and version can go on with it.
   */
  std::optional<StreamOrigin> origin;
  /* Set for a stream that is resumed and whose origin the daemon does not know. */
  std::optional<StreamKey> resumedStream;
  /* Set if the request has quarantined parts and is to be their trial. */
  std::vector<PromptPartId> trialParts;

  bool UsesModel() const { return !work.target.model.empty(); }
};

/* The request is assigned to this runner, and the daemon may send it there now. */
struct RunnerAssigned
{
  EndpointId runner;
  /* The runner's software version, or empty if it is not known since the runner restarted. Nothing
   * if the dispatcher is of a release that does not state it. */
  std::optional<SoftwareVersion> version;
};

/* The request cannot be assigned to a runner in time. */
struct PlacementRefused
{
  ResultCode code = ResultCode::kReplicaUnavailable;
  Duration retryAfter{};
};

/* There is no decision, so the daemon chooses a runner by its own data. This is the answer when the
 * dispatcher was lost, is no longer the dispatcher, or does not know the service or the model. */
struct PlacementUndecided
{};

struct PlacementReply
{
  PlacementRequestId id;
  std::variant<RunnerAssigned, PlacementRefused, PlacementUndecided> answer;
};

/* Why an assignment, or the placement request before it, ended. */
enum class AssignmentEnd : std::uint8_t
{
  kWithdrawn, ///< The daemon does not need the assignment any more.
  kDone,      ///< The runner answered completely, or the daemon cancelled the attempt.
  kRefused,   ///< The runner refused the request without running it.
  kFailed,    ///< There was no valid answer, or the answer broke off.
  kLost,      ///< The runner could not be reached or is no longer usable.
};

/* Ends an assignment or withdraws a placement request. */
struct AssignmentReleased
{
  PlacementRequestId id;
  AssignmentEnd end = AssignmentEnd::kDone;
  /* From sending the request to the runner to its first event. 0 if there was none. */
  Duration timeToFirstEvent{};
};

/* Tells a new dispatcher about an assignment that is already in use. */
struct AssignmentInUse
{
  PlacementRequest request;
  EndpointId runner;
};

/* A message from a daemon to the dispatcher. */
using DispatchMessage = std::variant<PlacementRequest, AssignmentReleased, AssignmentInUse>;

} // namespace rhubarbtrail::fleet

#endif

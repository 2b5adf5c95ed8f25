/* What daemons and the dispatcher tell each other about requests for models. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_DISPATCH_TYPE_H
#define RHUBARBTRAIL_DECISION_FLEET_DISPATCH_TYPE_H

#include "core/result_code_type.h"
#include "decision/fleet/work_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbtrail::fleet {

/* Names one question of one daemon. */
struct AskId
{
  DaemonId daemon;
  std::uint64_t number = 0;

  auto operator<=>(const AskId&) const = default;
  bool operator==(const AskId&) const = default;
};

/* A request that wants a place at a runner. */
struct PlacementAsk
{
  AskId id;
  std::string requestId; ///< For logs.
  std::string route;
  ServiceId service;
  ModelWork work;
  std::uint32_t priority = 0;
  Duration objective{}; ///< From now to the first event, for full credit.
  Duration timeLeft{};  ///< Until the caller gives up.
  bool isResumable = false;
  std::vector<EndpointId> excluded; ///< Runners that it has failed at.
};

/* Where a request may run now. */
struct PlaceGranted
{
  EndpointId runner;
};

/* The request will not get a place in time. */
struct PlaceRefused
{
  ResultCode code = ResultCode::kReplicaUnavailable;
  Duration retryAfter{};
};

/* No dispatcher can be reached; the daemon chooses by what it knows. */
struct PlaceUnknown
{};

struct PlacementReply
{
  AskId id;
  std::variant<PlaceGranted, PlaceRefused, PlaceUnknown> answer;
};

/* How the use of a place ended. */
enum class PlaceEnd : std::uint8_t
{
  kWithdrawn, ///< The question is not asked any more.
  kDone,
  kRefused, ///< The runner did not take the request.
  kFailed,  ///< The runner failed it or broke off.
  kLost,    ///< The runner could not be reached.
};

struct PlaceReleased
{
  AskId id;
  PlaceEnd end = PlaceEnd::kDone;
  Duration firstEvent{}; ///< From the request's sending to its first event; 0: there was none.
};

/* A place that is in use, told to a dispatcher that does not know of it. */
struct PlaceInUse
{
  PlacementAsk ask;
  EndpointId runner;
};

/* From a daemon to the dispatcher. */
using DispatchMessage = std::variant<PlacementAsk, PlaceReleased, PlaceInUse>;

} // namespace rhubarbtrail::fleet

#endif

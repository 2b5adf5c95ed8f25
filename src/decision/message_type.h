/* The messages between daemons. A message may be lost, late or doubled. */
#ifndef RHUBARBTRAIL_DECISION_MESSAGE_TYPE_H
#define RHUBARBTRAIL_DECISION_MESSAGE_TYPE_H

#include "core/id_type.h"
#include "core/result_code_type.h"
#include "core/unit_type.h"
#include "decision/row_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbtrail {

/* What is asked of a runner: a model, and an adapter of it unless empty. */
struct Artifact
{
  ModelId model;
  AdapterId adapter;

  auto operator<=>(const Artifact&) const = default;
  bool operator==(const Artifact&) const = default;
};

/* Asks the holder of a cell for replicas, and reports the use of known ones. */
struct DemandMessage
{
  CellId cell;
  Artifact artifact;
  Duration timeLeft{};            ///< Until the earliest deadline among the waiting requests.
  std::uint32_t waiting = 0;      ///< Requests that have no replica.
  std::uint32_t inFlight = 0;     ///< Requests that run on a replica now.
  std::uint32_t startedSince = 0; ///< Requests started since the last message.
};

/* A replica that a router may use. */
struct ReplicaLocation
{
  EndpointId runner;
  std::uint32_t concurrency = 1; ///< Requests that this daemon may have in flight there.
  std::uint32_t reportedLoad = 0;
};

enum class DemandStatus : std::uint8_t
{
  kReady,
  kLoading,
  kRefused,
  kNotHolder,
};

/* Answers a demand; sent again when a load ends. */
struct DemandReplyMessage
{
  CellId cell;
  Artifact artifact;
  DemandStatus status = DemandStatus::kReady;
  std::vector<ReplicaLocation> replicas;
  Duration expectedWait{};
  ResultCode refusal = ResultCode::kOk;
  Duration refusesBelow{}; ///< Only requests with less time left are refused; 0: all.
  DaemonId holder;         ///< The holder as far as known, with kNotHolder.
  Fence fence;
};

/* Tells a router to stop using a replica, and to say when its last request has ended. */
struct DrainMessage
{
  CellId cell;
  EndpointId runner;
  ModelId model;
  Fence fence;
};

/* Says that a router has no request in flight on a drained replica. */
struct DrainedMessage
{
  CellId cell;
  EndpointId runner;
  ModelId model;
  Fence fence;
};

/* Asks the issuer of an order to give it up. */
struct WithdrawOrderMessage
{
  CellId cell;
  OrderId order;
  Incarnation issuer;
};

/* Says that an order is not in flight any more and will never be sent again. */
struct OrderWithdrawnMessage
{
  CellId cell;
  OrderId order;
  Incarnation issuer;
};

/* Exchanged each second: liveness, the version in force, and how fresh it is. */
struct HeartbeatMessage
{
  ConfigVersion version;
  bool reply = false; ///< Set when this answers a heartbeat.
  Duration sentAt{};  ///< The asking daemon's own clock, echoed in the answer.
};

/* Carries a whole accepted configuration. */
struct ConfigurationMessage
{
  ConfigurationRow row;
};

/* Asks for the configuration after hearing of a newer version. */
struct ConfigurationRequestMessage
{
  ConfigVersion atLeast;
};

/* Says that an endpoint is leaving and takes no new work. */
struct EndpointLeavingMessage
{
  EndpointId endpoint;
  std::string bootId;
};

/* Names requests that were in flight on an endpoint when it crashed. */
struct SuspectsMessage
{
  EndpointId endpoint;
  std::string bootId;
  std::vector<FingerprintId> fingerprints;
};

/* Names a request that crashed an endpoint while it ran alone. */
struct ConvictedMessage
{
  FingerprintId fingerprint;
  Duration expiresIn{};
};

/* Says that a suspect request has completed, and is one no longer. */
struct ClearedMessage
{
  FingerprintId fingerprint;
};

/* Asks the holder of a cell for a runner on which a suspect request runs alone. */
struct IsolationRequestMessage
{
  CellId cell;
  Artifact artifact;
  RequestId request;
  std::uint64_t ask = 0; ///< Rises with each repeat; the answer names it.
  Duration timeLeft{};
};

enum class IsolationStatus : std::uint8_t
{
  kGranted,
  kWaiting,
  kRefused, ///< Too many suspects are waiting.
  kNotHolder,
};

/* Answers an isolation request; sent again when the runner is free. */
struct IsolationGrantMessage
{
  CellId cell;
  RequestId request;
  std::uint64_t ask = 0;
  IsolationStatus status = IsolationStatus::kWaiting;
  EndpointId runner;
  Duration validFor{}; ///< From the time at which the ask was sent.
  DaemonId holder;     ///< The holder as far as known, with kNotHolder.
};

/* Gives an isolated runner back, or a request for one up. */
struct IsolationReleaseMessage
{
  CellId cell;
  RequestId request;
};

using Message = std::variant<DemandMessage,
                             DemandReplyMessage,
                             DrainMessage,
                             DrainedMessage,
                             WithdrawOrderMessage,
                             OrderWithdrawnMessage,
                             HeartbeatMessage,
                             ConfigurationMessage,
                             ConfigurationRequestMessage,
                             EndpointLeavingMessage,
                             SuspectsMessage,
                             ConvictedMessage,
                             ClearedMessage,
                             IsolationRequestMessage,
                             IsolationGrantMessage,
                             IsolationReleaseMessage>;

} // namespace rhubarbtrail

#endif

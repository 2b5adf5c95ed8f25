/* The messages between daemons. A message may be lost, delayed, duplicated or reordered.
 *
 * Each daemon has a router, which serves callers. The holder is the daemon that holds the lease of
 * a cell. A suspect is a request whose fingerprint was in flight on an endpoint that crashed. */
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

/* What a request needs loaded: a model, and one of its adapters unless the adapter is empty.
 * Requests to a plain service have an empty model. */
struct Artifact
{
  ModelId model;
  AdapterId adapter;

  auto operator<=>(const Artifact&) const = default;
  bool operator==(const Artifact&) const = default;
};

/* Requests replicas of an artifact from the holder of its cell, and reports the router's use of
 * them. */
struct DemandMessage
{
  CellId cell;
  Artifact artifact;
  Duration timeLeft{};            ///< Time to the earliest deadline of the waiting requests, or 0.
  std::uint32_t waiting = 0;      ///< Requests in the router's queue for the artifact.
  std::uint32_t inFlight = 0;     ///< Attempts for the artifact that have not ended yet.
  std::uint32_t startedSince = 0; ///< Attempts started since the router's previous demand.
};

/* A loaded replica that a router may use. */
struct ReplicaLocation
{
  EndpointId runner;
  std::uint32_t concurrency = 1;  ///< Requests that the router may have in flight on the runner.
  std::uint32_t reportedLoad = 0; ///< Running and queued requests in the runner's last inventory.
};

enum class DemandStatus : std::uint8_t
{
  kReady,     ///< The artifact is loaded. The reply lists the replicas that the router may use.
  kLoading,   ///< Another reply follows when the artifact is loaded or refused.
  kRefused,   ///< The artifact cannot be loaded now. The field refusal has the reason.
  kNotHolder, ///< The daemon does not hold the cell's lease.
};

/* Answers a demand. The holder sends another reply when a load that routers wait for has ended. */
struct DemandReplyMessage
{
  CellId cell;
  Artifact artifact;
  DemandStatus status = DemandStatus::kReady;
  std::vector<ReplicaLocation> replicas;
  Duration expectedWait{}; ///< kLoading: duration of the load. kRefused: delay before a repeat.
  ResultCode refusal = ResultCode::kOk; ///< kRefused: result code for the refused requests.
  Duration refusesBelow{}; ///< kRefused: requests with less time left are refused, or all if 0.
  DaemonId holder;         ///< kNotHolder: the holder that the daemon knows of, or empty.
  /* Fencing token that the sender knows of. It is lower than in an earlier reply if the sender is a
   * former holder. */
  FencingToken fence;
};

/* Tells a router to stop using a replica, and to answer when it has no request left there. */
struct DrainMessage
{
  CellId cell;
  EndpointId runner;
  ModelId model;
  FencingToken fence; ///< Fencing token of the holder, which ignores answers with another one.
};

/* Answers a DrainMessage, with the same values, when the router has no request in flight on the
 * replica. */
struct DrainedMessage
{
  CellId cell;
  EndpointId runner;
  ModelId model;
  FencingToken fence;
};

/* Sent by a new holder to the issuer of an order that may still be in flight. The issuer must not
 * send the order again. */
struct WithdrawOrderMessage
{
  CellId cell;
  OrderId order;
  Incarnation issuer;
};

/* Answers a WithdrawOrderMessage when the order is no longer in flight. The issuer never sends it
 * again, so the new holder can release the memory that it has reserved for the order. */
struct OrderWithdrawnMessage
{
  CellId cell;
  OrderId order;
  Incarnation issuer;
};

/* Shows that a daemon is alive and which configuration version it has. A daemon sends one to each
 * other daemon every heartbeatInterval, and that daemon answers. It also broadcasts an unrequested
 * answer when it has loaded a configuration. */
struct HeartbeatMessage
{
  ConfigVersion version;
  bool reply = false; ///< True in an answer. Answers are not answered.
  /* When the answered heartbeat was sent, by the clock of its sender, which counts the age of the
   * answer from then. The answer echoes the value. It is 0 in an unrequested answer. */
  Duration sentAt{};
};

/* Transfers an accepted configuration to a daemon that requested it. */
struct ConfigurationMessage
{
  ConfigurationRow row;
};

/* Requests the configuration of a daemon that has a newer version. */
struct ConfigurationRequestMessage
{
  ConfigVersion atLeast; ///< Not answered by a daemon whose version is lower.
};

/* Notifies other daemons that an endpoint process is leaving and takes no new requests. */
struct EndpointLeavingMessage
{
  EndpointId endpoint;
  std::string bootId;
};

/* Names the sender's requests that were in flight on an endpoint when it crashed. Receivers treat
 * them as suspects, and their own requests in flight on the same endpoint process, too. */
struct SuspectsMessage
{
  EndpointId endpoint;
  std::string bootId;
  std::vector<FingerprintId> fingerprints;
};

/* Quarantines a request that crashed an endpoint while it ran alone. Without a positive expiresIn,
 * the message ends the quarantine. */
struct ConvictedMessage
{
  FingerprintId fingerprint;
  Duration expiresIn{}; ///< Time for which the request is refused.
};

/* Notifies other daemons that a suspect has completed and is no longer a suspect. */
struct ClearedMessage
{
  FingerprintId fingerprint;
};

/* Requests a runner from the holder of a cell, so that a suspect request runs alone on it. */
struct IsolationRequestMessage
{
  CellId cell;
  Artifact artifact;
  RequestId request;
  std::uint64_t ask = 0; ///< Number of this message, echoed in the answer. Each repeat raises it.
  Duration timeLeft{};   ///< Time to the deadline of the request.
};

enum class IsolationStatus : std::uint8_t
{
  kGranted,   ///< The runner is reserved for the request.
  kWaiting,   ///< Another answer follows when a runner is reserved.
  kRefused,   ///< Too many suspects are waiting.
  kNotHolder, ///< The daemon does not hold the cell's lease.
};

/* Answers an isolation request. The holder sends another answer when it has reserved a runner. */
struct IsolationGrantMessage
{
  CellId cell;
  RequestId request;
  std::uint64_t ask = 0; ///< Number of the answered isolation request.
  IsolationStatus status = IsolationStatus::kWaiting;
  EndpointId runner;   ///< kGranted: the reserved runner.
  Duration validFor{}; ///< kGranted: validity, counted from when the answered request was sent.
  DaemonId holder;     ///< kNotHolder: the holder that the daemon knows of, or empty.
};

/* Ends the reservation of a runner, or cancels an isolation request. */
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

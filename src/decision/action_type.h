/* Everything that a daemon's decisions ask for. */
#ifndef RHUBARBTRAIL_DECISION_ACTION_TYPE_H
#define RHUBARBTRAIL_DECISION_ACTION_TYPE_H

#include "decision/event_type.h"

#include <memory>
#include <variant>
#include <vector>

namespace rhubarbtrail {

enum class ConnectionReuse : std::uint8_t
{
  kAllowed,
  kFresh, ///< A new connection, so that a refused connect proves that nothing was sent.
};

/* Sends a request to an endpoint. */
struct StartAttempt
{
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  std::string address;
  std::uint32_t resumeOffset = 0; ///< Stream events that the caller already has.
  std::uint32_t priority = 1;
  ConnectionReuse reuse = ConnectionReuse::kAllowed;
  Duration progressLimit{}; ///< Longest silence before the attempt counts as silent.
  Duration timeLeft{};      ///< Until the deadline.
};

/* Stops an attempt; its AttemptEnded still follows. */
struct StopAttempt
{
  RequestId request;
  AttemptNumber attempt;
};

/* Ends a request: the whole answer was passed on, or the final refusal is to be sent now. */
struct FinishRequest
{
  RequestId request;
  ResultCode code = ResultCode::kOk;
  Duration retryAfter{};        ///< 0 when coming back does not help.
  std::uint16_t httpStatus = 0; ///< With a stored answer.
  std::string contentType;
  std::string storedAnswer; ///< The answer of the earlier request with the same key.
};

/* A conditional multi-row write: all of it or nothing. */
struct TableTransaction
{
  ChangeId change;
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

struct TableRead
{
  ChangeId read;
  std::vector<RowKey> keys;
};

enum class OrderKind : std::uint8_t
{
  kInventory,
  kLoadModel,
  kUnloadModel,
  kLoadAdapter,
};

/* Orders a runner. The runner carries out an order id at most once. */
struct SendOrder
{
  CellId cell;
  EndpointId runner;
  std::string address;
  OrderId order;
  OrderKind kind = OrderKind::kInventory;
  Fence fence;
  Artifact artifact;
  std::string version;
  MemoryMb memory;
};

struct SendMessage
{
  DaemonId to;
  std::string address;
  Message message;
};

/* Asks for a Wake event at a time; replaces the earlier wish. */
struct WakeAt
{
  TimePoint time;
};

/* Publishes the configuration in force to the request threads. */
struct PublishConfiguration
{
  std::shared_ptr<const Configuration> configuration;
};

enum class Readiness : std::uint8_t
{
  kStarting,
  kReady,
  kStale,
  kStopping,
};

/* Publishes whether new requests are taken. */
struct PublishReadiness
{
  Readiness readiness = Readiness::kStarting;
};

/* All requests are finished and all leases handed over: the process may end. */
struct ShutdownComplete
{};

using Action = std::variant<StartAttempt,
                            StopAttempt,
                            FinishRequest,
                            TableTransaction,
                            TableRead,
                            SendOrder,
                            SendMessage,
                            WakeAt,
                            PublishConfiguration,
                            PublishReadiness,
                            ShutdownComplete>;

} // namespace rhubarbtrail

#endif

/* The actions that a Node requests from its driver. */
#ifndef RHUBARBTRAIL_DECISION_ACTION_TYPE_H
#define RHUBARBTRAIL_DECISION_ACTION_TYPE_H

#include "decision/event_type.h"

#include <memory>
#include <variant>
#include <vector>

namespace rhubarbtrail {

/* Whether an attempt may use a connection that is already open. */
enum class ConnectionReuse : std::uint8_t
{
  kAllowed,
  /* A new connection is opened. If that fails, no byte of the request was sent. On an open
   * connection that breaks, this would be unknown. */
  kNewConnection,
};

/* Sends a request to an endpoint. */
struct StartAttempt
{
  RequestId request;
  AttemptNumber attempt;
  EndpointId endpoint;
  std::string address;            ///< host:port
  std::uint32_t resumeOffset = 0; ///< Stream events that the caller already has.
  std::uint32_t priority = 1;     ///< Priority of the request class; 0 is the highest.
  ConnectionReuse reuse = ConnectionReuse::kAllowed;
  /* Time without bytes after which the attempt ends with kTimedOut. For an answer that is not
   * streamed, the limit is timeLeft if that is longer. */
  Duration progressLimit{};
  /* Time to the deadline of the request. An at-most-once request gets some more, so that a late
   * answer can still be stored. */
  Duration timeLeft{};
};

/* Stops an attempt. Its AttemptEnded event still follows. */
struct StopAttempt
{
  RequestId request;
  AttemptNumber attempt;
};

/* Ends a request. With any code but kOk, the caller gets an error. With kOk, the caller gets the
 * stored answer if there is one. Otherwise the last attempt has delivered the answer. */
struct FinishRequest
{
  RequestId request;
  ResultCode code = ResultCode::kOk;
  Duration retryAfter{};        ///< Delay before the caller should retry; 0 if a retry is useless.
  std::uint16_t httpStatus = 0; ///< Status of the stored answer; 0 if there is none.
  std::string contentType;      ///< Content type of the stored answer.
  std::string storedAnswer;     ///< Answer of an earlier request with the same idempotency key.
};

/* Writes several rows atomically, provided that all conditions are met. */
struct TableTransaction
{
  ChangeId change; ///< Id that the TransactionResult repeats.
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

/* Reads rows of the table. */
struct TableRead
{
  ChangeId read; ///< Id that the ReadResult repeats.
  std::vector<RowKey> keys;
};

enum class OrderKind : std::uint8_t
{
  kInventory,
  kLoadModel,
  kUnloadModel,
  kLoadAdapter,
};

/* Sends an order to a runner. A runner carries out each order id at most once, so an order can be
 * sent again when its result is unknown. */
struct SendOrder
{
  CellId cell;
  EndpointId runner;
  std::string address; ///< host:port
  OrderId order;
  OrderKind kind = OrderKind::kInventory;
  FencingToken fence;  ///< Runners that check it reject an order with a lower one than before.
  Artifact artifact;   ///< Empty for an inventory order.
  std::string version; ///< Version of the model.
  MemoryMb memory;     ///< Of a model order: reserved for the model and all its adapters.
};

/* Sends a message to a daemon. A message to this daemon itself has no address and is applied as a
 * MessageReceived event. */
struct SendMessage
{
  DaemonId to;
  std::string address; ///< host:port
  Message message;
};

/* Requests a Wake event at a time. Replaces the time of the previous WakeAt. */
struct WakeAt
{
  TimePoint time;
};

/* Publishes a configuration, which applies to new requests from now on. */
struct PublishConfiguration
{
  std::shared_ptr<const Configuration> configuration;
};

/* Whether a daemon accepts new requests. */
enum class Readiness : std::uint8_t
{
  kStarting, ///< Refuses requests: the configuration or the host list is missing.
  kReady,    ///< Accepts requests.
  kStale,    ///< Refuses requests: a newer configuration may exist.
  kStopping, ///< Serves only requests on connections that are already open.
};

/* Publishes a change of the readiness. */
struct PublishReadiness
{
  Readiness readiness = Readiness::kStarting;
};

/* The process may end: no request is left, and this daemon holds no lease. */
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

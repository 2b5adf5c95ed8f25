/* The events that a driver reports to a Node. */
#ifndef RHUBARBTRAIL_DECISION_EVENT_TYPE_H
#define RHUBARBTRAIL_DECISION_EVENT_TYPE_H

#include "decision/configuration_type.h"
#include "decision/message_type.h"
#include "decision/row_type.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbtrail {

/* A request of an authenticated caller. */
struct RequestArrived
{
  RequestId request;
  CustomerId customer;
  ServiceId service;
  Artifact artifact; ///< Empty for a plain service.
  ClassId requestClass;
  Duration timeLeft{}; ///< Time to the deadline that the caller set; 0 means the class default.
  IdempotencyKey key;  ///< Required for an at-most-once request.
  FingerprintId fingerprint; ///< Hash of the method, path and body. Equal requests share it.
  /* Hash of the start of the body. Requests with an equal one prefer the same endpoints. */
  std::uint64_t prefixHash = 0;
  std::uint64_t bodySize = 0; ///< Bytes.
};

/* The caller closed its connection, so it gets no answer. */
struct RequestCancelled
{
  RequestId request;
};

enum class AttemptOutcome : std::uint8_t
{
  kCompleted,     ///< The whole answer arrived, and it belongs to the request.
  kNotConnected,  ///< No byte of the request was sent.
  kNotRun,        ///< The endpoint refused and did not run it: model not loaded, role or queue.
  kLeaving,       ///< The endpoint refused and did not run it, because it is leaving.
  kIncomplete,    ///< The answer is incomplete, or has a 5xx status after which a retry is allowed.
  kTimedOut,      ///< No byte arrived within the limit that StartAttempt sets.
  kCrashed,       ///< The connection broke, and the host refuses new ones: the process has ended.
  kForeignAnswer, ///< The answer belongs to another request.
  kRejected,      ///< The endpoint answered with an error, after which a retry is useless.
  kCancelled,     ///< The attempt was stopped by this daemon.
};

/* An attempt has ended. An attempt sends a request to one endpoint. */
struct AttemptEnded
{
  RequestId request;
  AttemptNumber attempt;
  AttemptOutcome outcome = AttemptOutcome::kCompleted;
  /* Stream events delivered to the caller by all attempts so far. */
  std::uint32_t deliveredEvents = 0;
  /* The answer, for the claim of an at-most-once request. Only set with kCompleted. */
  std::uint16_t httpStatus = 0;
  std::string contentType;
  std::string answer;
};

enum class TransactionOutcome : std::uint8_t
{
  kCommitted,
  kConflict, ///< A condition was not met, and nothing was written.
  kUnknown,  ///< No answer arrived. The transaction may take effect, even later.
};

/* The outcome of a transaction. */
struct TransactionResult
{
  ChangeId change;
  TransactionOutcome outcome = TransactionOutcome::kCommitted;
  /* With kCommitted, the written rows with their new versions. With kConflict, the rows whose
   * conditions failed, as they are now. */
  std::vector<Row> rows;
};

/* The result of a TableRead. */
struct ReadResult
{
  ChangeId read;             ///< The id of the TableRead.
  bool hasSucceeded = false; ///< False if the table gave no valid answer.
  std::vector<Row> rows;     ///< One row for each key, in the same order. Absent rows are included.
};

/* A model in the inventory of a runner. */
struct LoadedModel
{
  ModelId model;
  std::string version;
  bool ready = false; ///< False while the load is running.
  std::vector<AdapterId> adapters;
  std::uint32_t running = 0; ///< Requests that run on this model.
};

/* The state of a runner, as reported by the runner itself. */
struct Inventory
{
  std::string bootId; ///< Changes with each start of the runner's process.
  MemoryMb memory;    ///< Total memory of the runner, used or free.
  std::vector<LoadedModel> models;
  std::uint32_t running = 0; ///< Requests that run on the runner.
  std::uint32_t queued = 0;  ///< Requests that wait on the runner.
  /* Models whose checkpoints are cached on the host of the runner, so that they load faster. */
  std::vector<ModelId> checkpoints;
};

enum class OrderOutcome : std::uint8_t
{
  kAccepted, ///< The runner carries the order out. Another result follows.
  kDone,
  kFenced,            ///< The runner rejected the order, because its fencing token is outdated.
  kNoMemory,          ///< The runner has not enough memory for the order.
  kFailed,            ///< The runner could not carry the order out.
  kUnknown,           ///< No valid answer arrived. The order may take effect, even later.
  kNotConnected,      ///< No byte of the order was sent.
  kConnectionRefused, ///< The host refuses connections, because the runner's process has ended.
};

/* The outcome of an order, and the inventory if the runner's answer contained one. */
struct OrderResult
{
  CellId cell;
  EndpointId runner;
  OrderId order;
  OrderOutcome outcome = OrderOutcome::kDone;
  Inventory inventory; ///< Its boot id is empty if the answer contained none.
};

/* A message from another daemon, or from this daemon to itself. */
struct MessageReceived
{
  Incarnation from;
  /* Configuration version of the sender when it sent the message. */
  ConfigVersion senderConfigVersion;
  Message message;
};

enum class HostState : std::uint8_t
{
  kLive,
  kLeaving, ///< The process ends soon or has ended. It never becomes live again.
  kDrained, ///< The configuration excludes the endpoint from new work, until operators change that.
};

enum class HostKind : std::uint8_t
{
  kDaemon,
  kEndpoint,
};

/* A process in the platform's host list. */
struct HostEntry
{
  HostKind kind = HostKind::kEndpoint;
  std::string id;     ///< Id of the endpoint or daemon.
  std::string bootId; ///< Changes with each start of the process.
  ServiceId service;  ///< Service of an endpoint. Empty for a daemon.
  ZoneId zone;
  std::string address; ///< host:port
  HostState state = HostState::kLive;
};

/* The platform's host list. Starts and ends of processes appear in it with a delay. */
struct HostListReceived
{
  std::vector<HostEntry> hosts;
};

/* A configuration row that was read from the table or received from another daemon, and its parsed
 * document. */
struct ConfigurationLoaded
{
  ConfigurationRow row;
  std::shared_ptr<const Configuration> configuration;
};

/* An operator has released a request from quarantine. */
struct QuarantineReleased
{
  FingerprintId fingerprint;
};

/* The process was asked to stop, by a signal or by an operator. */
struct ShutdownRequested
{};

/* The time of the last WakeAt has been reached. */
struct Wake
{};

using Event = std::variant<RequestArrived,
                           RequestCancelled,
                           AttemptEnded,
                           TransactionResult,
                           ReadResult,
                           OrderResult,
                           MessageReceived,
                           HostListReceived,
                           ConfigurationLoaded,
                           QuarantineReleased,
                           ShutdownRequested,
                           Wake>;

} // namespace rhubarbtrail

#endif

/* Everything that a daemon's decisions are told. */
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

/* A caller's request that passed authentication. */
struct RequestArrived
{
  RequestId request;
  CustomerId customer;
  ServiceId service;
  Artifact artifact; ///< Empty for a plain service.
  ClassId requestClass;
  Duration timeLeft{}; ///< Until the caller's own deadline; 0 means the class default.
  IdempotencyKey key;
  FingerprintId fingerprint;
  std::uint64_t prefixHash = 0;
  std::uint64_t bytes = 0;
};

/* The caller closed its connection. */
struct RequestCancelled
{
  RequestId request;
};

enum class AttemptOutcome : std::uint8_t
{
  kCompleted,    ///< The whole answer arrived and was checked.
  kNotConnected, ///< No byte of the request can have left.
  kNotRun,       ///< The endpoint refused: model not loaded, role or queue.
  kLeaving,      ///< The endpoint refused because it is leaving.
  kCut,          ///< The connection broke after the request was sent.
  kSilent,       ///< No progress within the limit.
  kCrashed,      ///< The connection broke and the endpoint's process is gone.
  kMismatched,   ///< The answer belonged to another request.
  kRejected,     ///< The endpoint answered with a final error of its own.
  kCancelled,    ///< The attempt was stopped on our order.
};

/* An attempt at an endpoint ended. */
struct AttemptEnded
{
  RequestId request;
  AttemptNumber attempt;
  AttemptOutcome outcome = AttemptOutcome::kCompleted;
  std::uint32_t delivered = 0;  ///< Stream events passed on to the caller in all.
  std::uint16_t httpStatus = 0; ///< With kCompleted, for the claim.
  std::string contentType;
  std::string answer; ///< With kCompleted of an at-most-once request, for the claim.
};

enum class TransactionOutcome : std::uint8_t
{
  kCommitted,
  kConflict,
  kUnknown, ///< No answer: it may take effect, now or later.
};

/* The outcome of a transaction; conflicting rows are given as they are now. */
struct TransactionResult
{
  ChangeId change;
  TransactionOutcome outcome = TransactionOutcome::kCommitted;
  std::vector<Row> rows; ///< Written rows with new versions, or the conflicting ones.
};

/* The rows that were asked for, absent ones included. */
struct ReadResult
{
  ChangeId read;
  bool ok = false;
  std::vector<Row> rows;
};

struct LoadedModel
{
  ModelId model;
  std::string version;
  bool ready = false; ///< False while the load is running.
  std::vector<AdapterId> adapters;
  std::uint32_t running = 0;
};

/* What a runner says of itself. */
struct Inventory
{
  std::string bootId;
  MemoryMb memory;
  std::vector<LoadedModel> models;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::vector<ModelId> checkpoints; ///< Kept by the runner's host, so that they load sooner.
};

enum class OrderOutcome : std::uint8_t
{
  kAccepted, ///< Taken on; it is still being carried out.
  kDone,
  kFenced, ///< Refused: the fencing number is old.
  kNoMemory,
  kFailed,
  kUnknown,      ///< No answer: it may take effect, now or later.
  kNotConnected, ///< No byte of the order can have left.
  kRefused,      ///< The host refuses connections: the runner's process has gone.
};

/* The outcome of an order, with the inventory that the runner sent along. */
struct OrderResult
{
  CellId cell;
  EndpointId runner;
  OrderId order;
  OrderOutcome outcome = OrderOutcome::kDone;
  Inventory inventory; ///< Empty boot id when none was sent.
};

struct MessageReceived
{
  Incarnation from;
  ConfigVersion senderVersion;
  Message message;
};

enum class HostState : std::uint8_t
{
  kLive,
  kLeaving, ///< For good: it ends soon, or has ended.
  kDrained, ///< Operators want no new work there; they may take that back.
};

enum class HostKind : std::uint8_t
{
  kDaemon,
  kEndpoint,
};

/* One entry of the platform's host list. */
struct HostEntry
{
  HostKind kind = HostKind::kEndpoint;
  std::string id;     ///< Endpoint or daemon id.
  std::string bootId; ///< Changes with every start of the process.
  ServiceId service;  ///< Of an endpoint.
  ZoneId zone;
  std::string address; ///< host:port
  HostState state = HostState::kLive;
};

/* The platform's list of hosts, which lags. */
struct HostListReceived
{
  std::vector<HostEntry> hosts;
};

/* A configuration row that was read or received, together with its parsed form. */
struct ConfigurationLoaded
{
  ConfigurationRow row;
  std::shared_ptr<const Configuration> configuration;
};

/* An operator took a request out of quarantine. */
struct QuarantineReleased
{
  FingerprintId fingerprint;
};

/* SIGTERM: hand over, finish, go. */
struct ShutdownRequested
{};

/* The time asked for with WakeAt has come. */
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

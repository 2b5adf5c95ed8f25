/* The rows that daemons share through the platform's table service. */
#ifndef RHUBARBTRAIL_DECISION_ROW_TYPE_H
#define RHUBARBTRAIL_DECISION_ROW_TYPE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbtrail {

/* A daemon process. When a daemon restarts, its new process is another incarnation. */
struct Incarnation
{
  DaemonId daemon;
  IncarnationId id;

  auto operator<=>(const Incarnation&) const = default;
  bool operator==(const Incarnation&) const = default;
};

/* The lease of a cell. A cell consists of the runners of one service, and the holder of its lease
 * decides which of them load which models. Each renewal changes the version of the row, which shows
 * other daemons that the holder is alive. */
struct CellLeaseRow
{
  Incarnation holder; ///< Its daemon id is empty after the holder has released the lease.
  FencingToken fence; ///< Fencing token of the lease term. Each acquisition raises it by one.
  std::uint64_t renewals = 0; ///< Writes since the acquisition. A release counts as one, too.
  ChangeId change;            ///< Transaction that wrote the row.
};

enum class PlacementState : std::uint8_t
{
  kLoad,   ///< A load order was decided on and may have been sent.
  kLoaded, ///< Loaded, and possibly being drained.
  kUnload, ///< An unload order was decided on and may have been sent.
};

/* One replica, together with the last order to load or unload it. */
struct PlacementEntry
{
  EndpointId runner;
  ModelId model;
  std::string version; ///< Version of the model.
  PlacementState state = PlacementState::kLoad;
  OrderId order;
  Incarnation issuer; ///< Daemon process that may still have the order in flight.

  bool operator==(const PlacementEntry&) const = default;
};

/* The replicas of a cell, as its holder last recorded them. A new holder starts from this row. */
struct PlacementRow
{
  FencingToken fence; ///< Fencing token of the holder that wrote the row.
  std::vector<PlacementEntry> entries;
  ChangeId change; ///< Transaction that wrote the row.
};

enum class ClaimState : std::uint8_t
{
  kClaimed,  ///< No result of the request has been recorded yet.
  kDone,     ///< The request has run, and the row has its answer.
  kUnknown,  ///< The request may have run, and its answer is not known.
  kReleased, ///< The request has not run. Another request may claim the key.
};

/* The claim of an idempotency key. An at-most-once request must own it before any byte of the
 * request is sent to an endpoint. */
struct ClaimRow
{
  ClaimState state = ClaimState::kClaimed;
  RequestId request;            ///< Request that has claimed the key.
  Incarnation owner;            ///< Daemon process that serves this request.
  FingerprintId fingerprint;    ///< Shows whether a later request with the key is the same request.
  std::uint16_t httpStatus = 0; ///< Status of the stored answer.
  std::string contentType;      ///< Content type of the stored answer.
  std::string answer;           ///< Stored answer, in state kDone.
};

/* An accepted configuration. The head row has the newest version, and a history row is kept for
 * each version. */
struct ConfigurationRow
{
  ConfigVersion version;
  std::string document; ///< The YAML document of the operators.
  std::string author;
  std::string comment;
  std::int64_t acceptedAtUnixMs = 0;
  /* Transaction that wrote the row. After a lost answer, it shows whether this write or an equal
   * one of another operator took effect. */
  ChangeId change;
};

using RowValue = std::variant<CellLeaseRow, PlacementRow, ClaimRow, ConfigurationRow>;

/* A row as read from the table. An absent row has version 0 and no value. */
struct Row
{
  RowKey key;
  RowVersion version;
  std::optional<RowValue> value;
};

/* Requires that a row has this version when the transaction is applied. */
struct RowCondition
{
  RowKey key;
  RowVersion version;
};

/* Writes a row, or deletes it if there is no value. */
struct RowWrite
{
  RowKey key;
  std::optional<RowValue> value;
};

/* The keys of the row types above. */
RowKey CellLeaseKey(const CellId& aCell);
RowKey PlacementKey(const CellId& aCell);
RowKey ClaimKey(const CustomerId& aCustomer, const IdempotencyKey& aKey);
RowKey ConfigurationHeadKey();
RowKey ConfigurationHistoryKey(ConfigVersion aVersion);

} // namespace rhubarbtrail

#endif

/* The rows that the decisions keep in the platform's table service. */
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

/* A daemon process: the same daemon restarted is another incarnation. */
struct Incarnation
{
  DaemonId daemon;
  IncarnationId id;

  auto operator<=>(const Incarnation&) const = default;
  bool operator==(const Incarnation&) const = default;
};

/* The lease of a cell: who schedules it, and under which fencing number. */
struct CellLeaseRow
{
  Incarnation holder; ///< An empty daemon id means that the lease was handed back.
  Fence fence;
  std::uint64_t renewals = 0;
  ChangeId change;
};

enum class PlacementState : std::uint8_t
{
  kLoad,
  kLoaded,
  kUnload,
};

/* One replica of a placement, or an order about it that may still take effect. */
struct PlacementEntry
{
  EndpointId runner;
  ModelId model;
  std::string version;
  PlacementState state = PlacementState::kLoad;
  OrderId order;
  Incarnation issuer; ///< Who may still have the order in flight.

  bool operator==(const PlacementEntry&) const = default;
};

/* The written placement of a cell: every replica that was decided. */
struct PlacementRow
{
  Fence fence;
  std::vector<PlacementEntry> entries;
  ChangeId change;
};

enum class ClaimState : std::uint8_t
{
  kClaimed,
  kDone,
  kUnknown,
  kReleased, ///< Given back unused; may be claimed again.
};

/* The right to run one non-idempotent request, taken before any byte is sent. */
struct ClaimRow
{
  ClaimState state = ClaimState::kClaimed;
  RequestId request;
  Incarnation owner;
  FingerprintId fingerprint;
  std::uint16_t httpStatus = 0;
  std::string contentType;
  std::string answer; ///< The stored answer of a completed request.
};

/* The newest accepted configuration; the history keeps one row for each version. */
struct ConfigurationRow
{
  ConfigVersion version;
  std::string document;
  std::string author;
  std::string comment;
  std::int64_t acceptedAtUnixMs = 0;
  ChangeId change; ///< Tells a proposal's own row from an equal one.
};

using RowValue = std::variant<CellLeaseRow, PlacementRow, ClaimRow, ConfigurationRow>;

/* A row as read: version 0 and no value when absent. */
struct Row
{
  RowKey key;
  RowVersion version;
  std::optional<RowValue> value;
};

/* Demands that a row still has this version. */
struct RowCondition
{
  RowKey key;
  RowVersion version;
};

/* Writes a row, or deletes it when there is no value. */
struct RowWrite
{
  RowKey key;
  std::optional<RowValue> value;
};

RowKey CellLeaseKey(const CellId& aCell);
RowKey PlacementKey(const CellId& aCell);
RowKey ClaimKey(const CustomerId& aCustomer, const IdempotencyKey& aKey);
RowKey ConfigurationHeadKey();
RowKey ConfigurationHistoryKey(ConfigVersion aVersion);

} // namespace rhubarbtrail

#endif

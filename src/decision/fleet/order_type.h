/* Orders to runners to load or unload a model or an adapter, and their results. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_ORDER_TYPE_H
#define RHUBARBTRAIL_DECISION_FLEET_ORDER_TYPE_H

#include "decision/fleet/runner_type.h"

#include <cstdint>
#include <string>

namespace rhubarbtrail::fleet {

enum class OrderKind : std::uint8_t
{
  kLoad,
  kUnload,
};

struct RunnerOrder
{
  EndpointId runner;
  std::string address;
  OrderKind kind = OrderKind::kLoad;
  ModelRef subject; ///< The model or adapter to load or unload.
  /* The runner rejects the order unless it has accepted this number of orders before. */
  std::uint64_t expectedOrderCount = 0;
  std::string holder;
  FencingToken fence;

  bool operator==(const RunnerOrder&) const = default;
};

enum class OrderOutcome : std::uint8_t
{
  kAccepted,    ///< The runner has accepted the order and carries it out.
  kAlreadyDone, ///< The runner is already in the ordered state.
  kConflict,    ///< Another order is in progress, or the number of accepted orders differs.
  kFenced,      ///< The runner has seen a newer fencing token.
  kRejected,    ///< The address belongs to another runner, or the runner does not know the order.
  kUnknown,     ///< No usable answer. The runner may carry out the order, now or later.
  kNotSent,     ///< No byte of the order was sent.
};

} // namespace rhubarbtrail::fleet

#endif

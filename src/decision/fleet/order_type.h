/* Orders that make runners load and unload models and adapters. */
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
  ModelRef subject;
  std::uint64_t expectedOrderCount = 0; ///< The runner refuses when it has accepted others since.
  std::string holder;
  Fence fence;
};

enum class OrderOutcome : std::uint8_t
{
  kAccepted, ///< The runner carries it out.
  kHolds,    ///< What was ordered already holds.
  kConflict, ///< Another order is under way, or others were accepted since.
  kFenced,   ///< The runner has seen a newer holder.
  kRejected, ///< The runner is another one, or does not know the order.
  kUnknown,  ///< No answer: it may be carried out, now or later.
  kNotSent,  ///< No byte can have left.
};

} // namespace rhubarbtrail::fleet

#endif

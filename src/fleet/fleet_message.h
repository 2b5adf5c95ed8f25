/* Messages between the daemons of a fleet. */
#ifndef RHUBARBTRAIL_FLEET_FLEET_MESSAGE_H
#define RHUBARBTRAIL_FLEET_FLEET_MESSAGE_H

#include "decision/fleet/dispatch_type.h"
#include "decision/fleet/order_lease.h"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace rhubarbtrail {

/* A daemon makes itself known to the dispatcher, and says that it lives. */
struct HelloMessage
{
  ZoneId zone;
  std::string address; ///< Of its link.
};

/* The dispatcher says that it lives. */
struct BeaconMessage
{
  fleet::LeaseRow lease;
  RowVersion version;
  fleet::HolderState state = fleet::HolderState::kRenewing;
  std::uint32_t daemons = 1; ///< Known to the dispatcher, itself included.
};

/* A runner's process ended while it ran a request, or a suspect was answered. */
struct SuspectMessage
{
  FingerprintId request;
  bool isCleared = false;
};

using FleetBody = std::variant<HelloMessage,
                               BeaconMessage,
                               SuspectMessage,
                               fleet::PlacementAsk,
                               fleet::PlaceReleased,
                               fleet::PlaceInUse,
                               fleet::PlacementReply>;

struct FleetMessage
{
  DaemonId from;
  IncarnationId incarnation;
  FleetBody body;
};

/* MessagePack maps: unknown members are ignored, so that neighbouring releases understand each
 * other. */
std::vector<std::uint8_t> EncodeFleetMessage(const FleetMessage& aMessage);
tl::expected<FleetMessage, std::string> DecodeFleetMessage(const std::string& aBytes);

/* The lease as the store keeps it. */
std::string EncodeLeaseRow(const fleet::LeaseRow& aRow);
tl::expected<fleet::LeaseRow, std::string> DecodeLeaseRow(const std::string& aText);

} // namespace rhubarbtrail

#endif

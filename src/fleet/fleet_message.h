/* Messages between the daemons of a fleet. */
#ifndef RHUBARBTRAIL_FLEET_FLEET_MESSAGE_H
#define RHUBARBTRAIL_FLEET_FLEET_MESSAGE_H

#include "decision/fleet/configuration_exchange.h"
#include "decision/fleet/crash_guard.h"
#include "decision/fleet/dispatch_type.h"
#include "decision/fleet/endpoint_slowness.h"
#include "decision/fleet/feed_coverage.h"
#include "decision/fleet/lease_row_content.h"
#include "decision/fleet/order_lease.h"
#include "decision/fleet/prompt_part_guard.h"
#include "decision/fleet/quota_type.h"
#include "platform/store_codec.h"

#include <cstdint>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace rhubarbtrail {

/* Sent periodically to the dispatcher by every other daemon. It makes the sender a member of the
 * fleet and serves as the sender's heartbeat. */
struct HelloMessage
{
  ZoneId zone;
  std::string address; ///< host:port for messages to the sender.
  StoreEra era;        ///< The highest era of the store that the sender knows.
  std::vector<fleet::PartGroup> quarantinedParts; ///< Those that the sender knows.
  fleet::ConfigurationStatement configuration;
};

/* Heartbeat of the dispatcher, which is the holder of the order lease, to its members. */
struct HolderHeartbeatMessage
{
  fleet::OrderLeaseRow lease;
  RowVersion version; ///< Of the lease row.
  /* Of the present lease term. What members told the dispatcher in an earlier term is forgotten.
   * Releases without it state 0. */
  FencingToken fence;
  fleet::HolderState state = fleet::HolderState::kRenewing;
  std::uint32_t daemons = 1; ///< Daemons known to the dispatcher, itself included.
  /* What the dispatcher states about the store's tables, by their names. */
  std::map<std::string, fleet::TableNotice> notices;
  StoreEra era; ///< The highest era of the store that the dispatcher knows.
  std::vector<fleet::PartGroup> quarantinedParts; ///< Those that the dispatcher knows.
  std::vector<fleet::PartTrials> partTrials;      ///< Of these groups, in the same order.
  fleet::ConfigurationStatement configuration;
  std::vector<std::string> peers; ///< Addresses of some members, others each time.
  /* Of the accounts with limits and recent use. */
  std::vector<fleet::QuotaStatement> quotas;
  /* Software versions that the lease row names. Releases without it state none. */
  std::optional<fleet::VersionsByService> recordedVersions;
};

/* Rows of a table that the dispatcher relays to its members, so that these need not read them. */
struct TableChangesMessage
{
  std::string table;
  /* The rows are all that members must know of the changes after the first version, up to the
   * second. */
  RowVersion from;
  RowVersion to;
  std::vector<platform::StoreRow> rows;
};

/* Reports that a request is suspected of crashing runners, because a runner's process ended while
 * it ran the request, or that a suspected request was answered and so is cleared. */
struct SuspectMessage
{
  FingerprintId request;          ///< Empty if only parts of prompts are cleared.
  fleet::EndpointProcess process; ///< That ended; not set if the request is cleared.
  bool isCleared = false;
  ClientAccountId account;
  /* Parts that the runner may have crashed on, or parts that are sound. */
  std::vector<fleet::PromptPartId> parts;
  bool hasHead = false; ///< The runner had begun to answer the request.
  /* No crash is reported, but it is asked whether these parts are known to be sound. */
  bool isQuestion = false;
  /* Of the runner that crashed or answered; releases without it state none. A question is about
   * this version. */
  SoftwareVersion version;
};

/* Several of these reports. */
struct SuspectListMessage
{
  std::vector<SuspectMessage> suspects;
};

/* Streams that have begun, with their origins. The daemon that serves a stream sends it to the
 * dispatcher, which sends copies to some members. */
struct StreamsBegunMessage
{
  std::vector<fleet::BegunStream> streams;
  bool isResent = false; ///< Sent to a new dispatcher; the former one has made copies.
};

/* Reports that a runner's process has stated in an answer that it is leaving. */
struct RunnerLeavingMessage
{
  EndpointId runner;
  std::int64_t startedAtMs = 0; ///< Unix time of the process's start.
};

/* Limits on requests that endpoints have stated: from a daemon to the dispatcher, and from the
 * dispatcher to its members. */
struct EndpointLimitsMessage
{
  std::vector<fleet::LimitStatement> statements;
};

/* What runners have stated about their slowness, from a daemon to the dispatcher. */
struct EndpointSlownessMessage
{
  std::vector<fleet::SlownessStatement> statements;
};

using FleetBody = std::variant<HelloMessage,
                               HolderHeartbeatMessage,
                               SuspectMessage,
                               SuspectListMessage,
                               TableChangesMessage,
                               StreamsBegunMessage,
                               RunnerLeavingMessage,
                               EndpointLimitsMessage,
                               fleet::ConfigurationQuery,
                               fleet::ConfigurationReply,
                               EndpointSlownessMessage,
                               fleet::PlacementRequest,
                               fleet::AssignmentReleased,
                               fleet::AssignmentInUse,
                               fleet::PlacementReply,
                               fleet::QuotaReport,
                               fleet::QuotaReply>;

/* Returns the name of a kind of message, by its index in FleetBody, for metrics. */
std::string_view NameOfMessage(std::size_t aKind);

struct FleetMessage
{
  DaemonId from;
  IncarnationId incarnation;
  FleetBody body;
};

/* Encodes a message as a MessagePack map. Decoding ignores unknown keys, so that daemons of
 * successive releases understand each other. */
std::vector<std::uint8_t> EncodeFleetMessage(const FleetMessage& aMessage);
/* Returns the message, or a description of the error. */
tl::expected<FleetMessage, std::string> DecodeFleetMessage(const std::string& aBytes);

/* What the store keeps in the lease row. */
struct StoredLease
{
  fleet::OrderLeaseRow lease;
  fleet::LeaseRowContent content;
};

/* Encodes the lease row as JSON, the form in which the store keeps it. */
tl::expected<std::string, std::string> EncodeLeaseRow(const StoredLease& aRow);
tl::expected<StoredLease, std::string> DecodeLeaseRow(const std::string& aText);

} // namespace rhubarbtrail

#endif

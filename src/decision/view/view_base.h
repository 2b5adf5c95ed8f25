/* A daemon's view of the fleet: endpoints, other daemons and the configuration in force. */
#ifndef RHUBARBTRAIL_DECISION_VIEW_VIEW_BASE_H
#define RHUBARBTRAIL_DECISION_VIEW_VIEW_BASE_H

#include "decision/context_type.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarbtrail {

enum class EndpointState : std::uint8_t
{
  kLive,
  kLeaving, ///< Gets no new requests: the process is leaving, or operators drain the endpoint.
  kGone,    ///< Not on the host list any more.
};

/* An endpoint, as the host list and the results of attempts describe it. */
struct EndpointInfo
{
  EndpointId id;
  std::string bootId;
  ServiceId service;
  ZoneId zone;
  std::string address;
  EndpointState state = EndpointState::kLive;
  /* It refused a connection, and no requests are sent to it before this time. */
  TimePoint refusedUntil{};
};

/* Another daemon of the fleet. */
struct Member
{
  DaemonId id;
  std::string address;
  IncarnationId incarnation; ///< Its latest known process; empty until a message arrives from it.
  /* Its earlier processes. Messages of these may still arrive after those of a later one. */
  std::set<IncarnationId> formerIncarnations;
  ConfigVersion version;                  ///< Highest configuration version that it has reported.
  bool isListed = false;                  ///< On the current host list.
  bool hasBeenListed = false;             ///< Has been on a host list.
  TimePoint lastListedAt{};               ///< Time of the last host list with it.
  std::optional<TimePoint> lastMessageAt; ///< Time of its last message.
  TimePoint versionConfirmedAt{};         ///< Sending time of the last heartbeat that it answered.
  TimePoint nextHeartbeatAt{};
};

/* The fleet as one daemon knows it. It may lag behind: the host list arrives late, and messages
 * from other daemons may be lost. */
class View
{
public:
  const Configuration& configuration() const { return *mConfiguration; }
  const std::map<EndpointId, EndpointInfo>& endpoints() const { return mEndpoints; }
  const std::map<DaemonId, Member>& members() const { return mMembers; }
  Readiness readiness() const { return mReadiness; }

  const EndpointInfo* FindEndpoint(const EndpointId& aEndpoint) const;
  const Member* FindMember(const DaemonId& aDaemon) const;

  /* Returns the endpoints of a service, so that a cell need not search those of the whole fleet. */
  const std::vector<EndpointId>& EndpointsOf(const ServiceId& aService) const;

  /* Returns whether requests may be sent to the endpoint now. */
  bool IsUsable(const EndpointId& aEndpoint, TimePoint aNow) const;

  /* Returns whether this process of a daemon has certainly ended. That is so in three cases:
   * - The last message of the daemon came from another process.
   * - The daemon was on an earlier host list and is not on the current one.
   * - A host list has arrived, the daemon is not on it and has sent nothing within memberTimeout,
   *   and this has been so for more than another memberTimeout since a call first found it. */
  bool IsProvenDead(const Context& aContext, const Incarnation& aIncarnation) const;

  /* Returns this daemon and those that sent a message within memberTimeout, by descending
   * rendezvous weight for the key. The first is the preferred holder. */
  std::vector<DaemonId> RankDaemons(const Context& aContext, const std::string& aKey) const;

  /* Returns whether this daemon is among the aCount daemons with the highest weight for the key.
   * Unlike RankDaemons(), it counts listed daemons before their first message, too, for
   * memberTimeout after the first host list. */
  bool IsAmongFirst(const Context& aContext, const std::string& aKey, std::size_t aCount) const;

  void OnHostList(Context& aContext, const HostListReceived& aList);
  void OnMessage(Context& aContext, const MessageReceived& aReceived);
  void OnReadResult(Context& aContext, const ReadResult& aResult);
  void OnConfiguration(Context& aContext, const ConfigurationLoaded& aLoaded);
  void OnWake(Context& aContext);

  /* Marks an endpoint as leaving after it reported so itself, and notifies the other daemons. */
  void RecordLeaving(Context& aContext, const EndpointId& aEndpoint);
  /* Marks an endpoint that refused a connection as unusable for a short time. */
  void RecordRefusedConnection(const Context& aContext, const EndpointId& aEndpoint);
  /* Returns whether the table or a majority of daemons confirmed the configuration version within
   * freshnessLimit. */
  bool IsFresh(const Context& aContext) const;
  /* Sets the readiness to kStopping, for good. */
  void SetStopping(Context& aContext);

  /* Sends a message to a daemon; does nothing if its address is unknown. */
  void SendTo(Context& aContext, const DaemonId& aDaemon, Message aMessage) const;
  void Dump(std::vector<DumpEntry>& aOut, TimePoint aNow) const;

private:
  void OnHeartbeat(Context& aContext,
                   const MessageReceived& aReceived,
                   const HeartbeatMessage& aHeartbeat);
  void RecordMember(Context& aContext, const Incarnation& aFrom, ConfigVersion aVersion);
  /* Sends a daemon this daemon's recent leaving notices again, as messages may be lost. */
  void RepeatLeavingNotices(Context& aContext, const DaemonId& aDaemon);
  void UpdateReadiness(Context& aContext);
  /* Returns whether this daemon and those that confirmed within freshnessLimit that they have no
   * newer version are more than half of the listed daemons. */
  bool IsConfirmedByMajority(const Context& aContext) const;
  void SendHeartbeats(Context& aContext);
  void PollConfiguration(Context& aContext);
  void Broadcast(Context& aContext, const Message& aMessage) const;

  std::shared_ptr<const Configuration> mConfiguration = std::make_shared<Configuration>();
  ConfigurationRow mConfigurationRow;
  std::map<EndpointId, EndpointInfo> mEndpoints;
  std::map<ServiceId, std::vector<EndpointId>> mEndpointsOf;
  std::map<DaemonId, Member> mMembers;
  std::map<EndpointId, std::string> mLeavingBootIds; ///< Boot ids of endpoints known to be leaving.
  std::map<EndpointId, TimePoint> mLeavingReportedAt; ///< When they reported it to this daemon.
  /* When IsProvenDead() first found a process neither listed nor sending messages. An entry is
   * erased when a call finds otherwise. */
  mutable std::map<Incarnation, TimePoint> mAbsentSince;
  Readiness mReadiness = Readiness::kStarting;
  bool mHasHostList = false;    ///< A host list has arrived.
  TimePoint mFirstHostListAt{}; ///< Arrival time of the first one.
  /* Start of the last table read that showed no newer version. */
  std::optional<TimePoint> mTableConfirmedAt;
  TimePoint mNextPollAt{};
  ChangeId mPollRead; ///< The table read in flight, or empty.
  TimePoint mPollStartedAt{};
};

} // namespace rhubarbtrail

#endif

/* What a daemon knows of its surroundings: hosts, members and the configuration in force. */
#ifndef RHUBARBTRAIL_DECISION_VIEW_VIEW_BASE_H
#define RHUBARBTRAIL_DECISION_VIEW_VIEW_BASE_H

#include "decision/context_type.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbtrail {

enum class EndpointState : std::uint8_t
{
  kLive,
  kLeaving,
  kGone,
};

/* An endpoint as the host list and the endpoints themselves describe it. */
struct EndpointInfo
{
  EndpointId id;
  std::string bootId;
  ServiceId service;
  ZoneId zone;
  std::string address;
  EndpointState state = EndpointState::kLive;
  TimePoint refusedUntil{}; ///< Connections are refused; not chosen before this time.
};

/* Another daemon. */
struct Member
{
  DaemonId id;
  std::string address;
  IncarnationId incarnation; ///< Empty until it was heard or listed.
  ConfigVersion version;
  bool listed = false;
  bool wasListed = false;   ///< Some host list has shown it.
  TimePoint lastListedAt{}; ///< When one last did.
  std::optional<TimePoint> heardAt;
  TimePoint confirmedAt{}; ///< When it was asked for the version that it has answered.
  TimePoint nextHeartbeat{};
};

class View
{
public:
  const Configuration& configuration() const { return *mConfiguration; }
  const std::map<EndpointId, EndpointInfo>& endpoints() const { return mEndpoints; }
  const std::map<DaemonId, Member>& members() const { return mMembers; }
  Readiness readiness() const { return mReadiness; }

  const EndpointInfo* FindEndpoint(const EndpointId& aEndpoint) const;
  const Member* FindMember(const DaemonId& aDaemon) const;

  /* Returns the endpoints of a service, so that a cell never looks at the rest of the fleet. */
  const std::vector<EndpointId>& EndpointsOf(const ServiceId& aService) const;

  /* Returns whether requests may be sent to the endpoint now. */
  bool IsUsable(const EndpointId& aEndpoint, TimePoint aNow) const;

  /* Returns whether it is proven that this process of a daemon runs no more: a later one was heard,
   * or it has been neither heard nor listed for longer than the host list can lag. */
  bool IsProvenDead(const Context& aContext, const Incarnation& aIncarnation) const;

  /* Returns the listed or recently heard daemons, the best candidate for the key first. */
  std::vector<DaemonId> RankDaemons(const Context& aContext, const std::string& aKey) const;

  /* Returns whether this daemon is among the first aCount of RankDaemons(). */
  bool IsAmongFirst(const Context& aContext, const std::string& aKey, std::size_t aCount) const;

  void OnHostList(Context& aContext, const HostListReceived& aList);
  void OnMessage(Context& aContext, const MessageReceived& aReceived);
  void OnReadResult(Context& aContext, const ReadResult& aResult);
  void OnConfiguration(Context& aContext, const ConfigurationLoaded& aLoaded);
  void OnWake(Context& aContext);

  /* Marks an endpoint that said itself that it is leaving, and tells the other daemons. */
  void NoteLeaving(Context& aContext, const EndpointId& aEndpoint);
  /* Avoids an endpoint that refuses connections for a short time. */
  void NoteRefused(const Context& aContext, const EndpointId& aEndpoint);
  void NoteStopping(Context& aContext);

  void SendTo(Context& aContext, const DaemonId& aDaemon, Message aMessage) const;
  void Dump(std::vector<DumpEntry>& aOut, TimePoint aNow) const;

private:
  void OnHeartbeat(Context& aContext,
                   const MessageReceived& aReceived,
                   const HeartbeatMessage& aHeartbeat);
  void NoteMember(Context& aContext, const Incarnation& aFrom, ConfigVersion aVersion);
  /* Tells a daemon once more which endpoints have said that they leave. */
  void RepeatLeaving(Context& aContext, const DaemonId& aDaemon);
  void UpdateReadiness(Context& aContext);
  bool IsFresh(const Context& aContext) const;
  bool HearsMajority(const Context& aContext) const;
  void SendHeartbeats(Context& aContext);
  void PollConfiguration(Context& aContext);
  void Broadcast(Context& aContext, const Message& aMessage) const;

  std::shared_ptr<const Configuration> mConfiguration = std::make_shared<Configuration>();
  ConfigurationRow mRow;
  std::map<EndpointId, EndpointInfo> mEndpoints;
  std::map<ServiceId, std::vector<EndpointId>> mEndpointsOf;
  std::map<DaemonId, Member> mMembers;
  std::map<EndpointId, std::string> mLeavingBoots; ///< Boot ids known to be leaving.
  std::map<EndpointId, TimePoint> mLeavingSaid;    ///< When an endpoint told this daemon so itself.
  /* Since when processes that were asked about have been neither heard nor listed. */
  mutable std::map<Incarnation, TimePoint> mAbsentSince;
  Readiness mReadiness = Readiness::kStarting;
  bool mHostsKnown = false;
  TimePoint mHostsKnownSince{};
  std::optional<TimePoint> mConfirmedAt; ///< When the table last confirmed the version.
  TimePoint mNextPoll{};
  ChangeId mPoll; ///< The read under way; empty when none.
  TimePoint mPollStarted{};
};

} // namespace rhubarbtrail

#endif

/* Fleet membership of this daemon: takes part in the order lease, runs the dispatcher while it
 * holds the lease, and otherwise keeps in touch with the daemon that holds it. */
#ifndef RHUBARBTRAIL_FLEET_FLEET_MEMBER_H
#define RHUBARBTRAIL_FLEET_FLEET_MEMBER_H

#include "core/event_log.h"
#include "core/metrics.h"
#include "decision/fleet/dispatcher.h"
#include "decision/fleet/order_lease.h"
#include "decision/fleet/quota_ledger.h"
#include "decision/fleet/slowness_reports.h"
#include "fleet/fleet_message.h"
#include "fleet/report_queue.h"
#include "fleet/store_client.h"
#include "gateway/placement_client.h"
#include "gateway/quota_client.h"
#include "peer/fleet_link.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace rhubarbtrail {

struct FleetMemberOptions
{
  DaemonId self;
  IncarnationId incarnation;
  ZoneId zone;
  FleetLinkOptions link;      ///< Its address is the one that other daemons send messages to.
  Duration leaseSpacing = 3s; ///< Minimum time between the orders of two successive holders.
  /* Extra time that this host waits before it takes a free or expired lease. */
  Duration additionalTakeoverDelay{};
};

/* Parts of the daemon that FleetMember uses. The references must outlive it. */
struct FleetMemberServices
{
  boost::asio::io_context& loop;
  http::Client& client;
  StoreClient& store;
  EventLog& log;
  Metrics& metrics;
  PlacementClient& placement;
  fleet::Dispatcher& dispatcher;
  QuotaClient& quotas;
  fleet::QuotaLedger& quotaLedger;
  fleet::StreamOrigins& streamOrigins;
  fleet::ConfigurationExchange& configuration;
  /* Takes a configuration document that another daemon has sent, and its version as that states it.
   */
  std::function<void(ConfigVersion, const std::string&)> onConfiguration;
  /* Takes a report of another daemon, which has this address, about crashed runners. */
  std::function<void(const std::string&, const SuspectMessage&)> onSuspect;
  /* Takes another daemon's report that a runner is leaving. Returns whether that is news. */
  std::function<bool(const RunnerLeavingMessage&)> onRunnerLeaving;
  /* Takes what another daemon states about an endpoint's limit on requests. */
  std::function<void(const fleet::LimitStatement&)> onLimitStatement;
  /* Returns the limits in force, as far as this daemon knows them. */
  std::function<std::vector<fleet::LimitStatement>()> limits;
  /* Takes what a runner's process, which started at this time, states in the head of an answer. */
  std::function<void(const EndpointId&, std::int64_t, const http::AnswerHead&)> onRunnerAnswer;
  /* Returns whether a runner wants nothing from this daemon now. */
  std::function<bool(const EndpointId&)> isPaused;
  /* Takes the number of daemons known to the dispatcher, itself included. */
  std::function<void(std::uint32_t)> onDaemonCount;
  /* Returns what this daemon states about the store's tables while it is the dispatcher. */
  std::function<std::map<std::string, fleet::TableNotice>()> tableNotices;
  /* Take what another daemon, the dispatcher, states about the tables and the rows that it relays,
   * and that there is no such daemon any more. */
  std::function<void(const std::map<std::string, fleet::TableNotice>&)> onTableNotices;
  std::function<void(const TableChangesMessage&)> onTableChanges;
  std::function<void()> onTableNoticesLost;
  /* Returns the software versions that this daemon knows. */
  std::function<fleet::VersionsByService()> recentVersions;
  /* Takes versions that a former process, or another daemon, knew. */
  std::function<void(const fleet::VersionsByService&)> onRecentVersions;
  fleet::RecordedVersions& recordedVersions; ///< Kept up to date by the member.
  /* Returns the quarantined parts of prompts that this daemon knows, and takes those that another
   * daemon or the store's lease row states. */
  std::function<std::vector<fleet::PartGroup>()> quarantinedParts;
  std::function<void(const std::vector<fleet::PartGroup>&, const std::vector<fleet::PartTrials>&)>
    onQuarantinedParts;
  /* Returns how often they were tried, in the same order. */
  std::function<std::vector<fleet::PartTrials>()> partTrials;
  /* Counts a trial of quarantined parts. Returns whether one was due. */
  std::function<bool(const std::vector<fleet::PromptPartId>&)> startTrial;
  /* Returns the quarantined requests that this daemon knows, and takes those that the store's lease
   * row states when this process starts. */
  std::function<std::vector<FingerprintId>()> quarantinedRequests;
  std::function<void(const std::vector<FingerprintId>&)> onQuarantinedRequests;
  /* Returns reports of the crashes of all quarantined requests that this daemon knows. */
  std::function<std::vector<SuspectMessage>()> quarantineReports;
  /* Takes the era of the store that another daemon knows. */
  std::function<void(StoreEra)> onStoreEra;
};

class FleetMember
{
public:
  FleetMember(FleetMemberServices aServices, FleetMemberOptions aOptions);

  /* Listens for other daemons and starts the periodic work. Returns an error message if it cannot
   * listen, else an empty string. */
  std::string Start();
  /* Starts to release the order lease. IsReleased() is true once this daemon does not hold it. */
  void Release();
  bool IsReleased() const;
  void Close();
  /* A runner has this version. While this daemon holds the lease, it writes a version that the row
   * does not name yet without waiting for the next renewal. */
  void OnSoftwareVersion(const ServiceId& aService, const SoftwareVersion& aVersion);

  /* Sends a message to the dispatcher, or handles it here if this daemon is the dispatcher. Returns
   * false if no dispatcher is known to be alive. */
  bool SendToDispatcher(const fleet::DispatchMessage& aMessage);
  /* Sends a report about crashed runners to an audience, joined with others. The address is that of
   * kSender. Suspects that this daemon reported in the last minute are also sent to a dispatcher
   * that is found later. */
  void ReportSuspect(ReportAudience aAudience,
                     const std::string& aAddress,
                     const SuspectMessage& aMessage);
  /* Notifies the other daemons, through the dispatcher, of a runner that is leaving. */
  void ReportRunnerLeaving(const RunnerLeavingMessage& aMessage);
  /* Notifies them in the same way of an endpoint's limit on requests, or that it has ended. */
  void ReportLimit(const fleet::LimitStatement& aStatement);
  /* Passes the slowness that an endpoint states to the dispatcher, if that assigns requests to it.
   */
  void ReportSlowness(const fleet::SlownessStatement& aStatement);
  /* Returns whether this process has not run for some time, for example because it was suspended.
   * Messages that it handles now may be that old. */
  bool WasDelayed() const;
  /* Records a stream that this daemon is about to send the first event of, and sends it to the
   * dispatcher, so that another daemon can resume it if this one fails. */
  void ReportStream(const fleet::BegunStream& aStream);
  /* Sends the current notices about the tables to the members, after these changes if there are
   * any. Does nothing on a daemon that is not the dispatcher. */
  void RelayTableChanges(const TableChangesMessage& aChanges);
  /* A request has begun to wait for a grant of its account's quota. */
  void OnQuotaWaiting() { SendQuotaReport(); }
  /* The store came back from an older copy. */
  void OnStoreEra(StoreEra aEra);
  /* Schedules a dispatcher tick after its input has changed, for example the configuration or a
   * runner's entry. Does nothing on a daemon that is not the dispatcher. */
  void OnDispatcherInputChanged() { ScheduleDispatcherTick(); }

  /* Whether the lease row, or its absence, has been read since the start. */
  bool hasReadLease() const { return mHasReadLease; }
  bool isDispatcher() const { return mLease.isHolder(); }
  bool HasDispatcher() const { return isDispatcher() || mHasRemoteDispatcher; }
  const fleet::OrderLeaseRow& lease() const { return mLease.row(); }
  std::size_t memberCount() const { return mMembers.size(); }

  /* Messages to other daemons since the start. */
  struct SentMessages
  {
    std::string_view kind;
    std::uint64_t count = 0;
    std::uint64_t bytes = 0;
  };
  const std::array<SentMessages, std::variant_size_v<FleetBody>>& sentMessages() const
  {
    return mSentMessages;
  }

private:
  /* Another daemon. Only the dispatcher keeps these. */
  struct Member
  {
    IncarnationId incarnation;
    std::string address;
    ZoneId zone;
    TimePoint lastMessageAt{};       ///< When its last message arrived.
    bool hasConnectionEnded = false; ///< The connection to it has ended since then.
  };

  // The lease.
  void Tick();
  void Execute(const fleet::LeaseAction& aAction);
  void ReadLease();
  void WriteLease(const fleet::WriteLease& aWrite);
  /* Records what a row leaves out, and logs when it begins or ceases to do so. */
  void RecordLeaseContent(const fleet::LeaseRowContent& aAll,
                          const fleet::LeaseRowContent& aWritten,
                          std::size_t aRowBytes);
  void OnLeaseRead(const StoreResult& aResult);
  /* Takes the result of a write of the row with these software versions. */
  void OnLeaseWritten(const StoreResult& aResult, const fleet::VersionsByService& aVersions);
  /* Returns the lease in a row of the store, or an empty one if the row is unreadable. */
  fleet::OrderLeaseRow ReadLeaseRow(const platform::StoreRow& aRow);
  /* Takes the software versions that the lease row names. */
  void SetRecordedVersions(const fleet::VersionsByService& aVersions);
  void ApplyLeaseState();

  // Messages.
  void Send(const std::string& aAddress, FleetBody aBody);
  void SendToMembers(FleetBody aBody);
  /* Sends a message to the first members, at most so many. */
  void SendToSomeMembers(FleetBody aBody, std::size_t aCount);
  void SendBytes(const std::string& aAddress, std::size_t aKind, std::vector<std::uint8_t> aBytes);
  void OnMessage(const std::string& aBytes);
  void OnHello(const FleetMessage& aMessage, const HelloMessage& aHello);
  void OnHolderHeartbeat(const FleetMessage& aMessage, const HolderHeartbeatMessage& aHeartbeat);
  void OnSuspects(const FleetMessage& aMessage, const std::vector<SuspectMessage>& aSuspects);
  /* Sends the reports about crashed runners that are due. */
  void SendReports(TimePoint aNow);
  void OnRunnerLeaving(const FleetMessage& aMessage, const RunnerLeavingMessage& aLeaving);
  void OnEndpointLimits(const FleetMessage& aMessage, const EndpointLimitsMessage& aLimits);
  /* Sends the limits that have changed: to the dispatcher, or to all members if this daemon is the
   * dispatcher. */
  void SendChangedLimits(TimePoint aNow);
  /* Sends the slowness of runners that is due to the dispatcher. */
  void SendSlowness(TimePoint aNow);
  /* Sends limits in messages of bounded size. */
  void SendLimits(const std::string& aAddress, const std::vector<fleet::LimitStatement>& aLimits);
  /* Sends a report to the dispatcher, or to all members if this daemon is the dispatcher. */
  void Announce(FleetBody aReport);
  /* Passes another member's report on to the others if this daemon is the dispatcher. */
  void PassOn(const DaemonId& aFrom, const FleetBody& aReport);
  void OnStreamsBegun(const StreamsBegunMessage& aBegun);
  /* Sends the suspects that this daemon reported a short time ago to a daemon. */
  void SendOwnSuspects(const std::string& aAddress);
  /* Tells a daemon that joins of the quarantined requests that this one knows. */
  void SendQuarantineReports(const std::string& aAddress);
  /* Sends the streams that this daemon began a short time ago to a new dispatcher. */
  void SendOwnStreams();
  /* Sends the streams that were reported since the last copy to the members that keep copies, when
   * the next copy is due. */
  void CopyStreamsToMembers(TimePoint aNow);
  void HandleDispatchMessage(const DaemonId& aFrom, const fleet::DispatchMessage& aMessage);
  /* Sends the report about the accounts' quotas if one is due. */
  void SendQuotaReport();
  void OnQuotaReport(const FleetMessage& aMessage, const fleet::QuotaReport& aReport);
  /* Does the dispatcher's periodic work on the quotas. */
  void TickQuotas(TimePoint aNow);
  /* This daemon has found a dispatcher, which may be itself. */
  void BeginQuotaEpoch(TimePoint aNow);
  void RejectPlacementRequest(const DaemonId& aFrom, const fleet::DispatchMessage& aMessage);
  void SendHeartbeats();
  void SendHello();
  void RemoveTimedOutMembers(TimePoint aNow);
  void LoseDispatcher(std::string_view aReason);
  HolderHeartbeatMessage MakeHeartbeat() const;
  /* Returns the addresses of some members, others each time. */
  std::vector<std::string> NextPeers();
  /* Notices that this process was suspended. */
  void CheckForSuspension(TimePoint aNow);
  /* Asks another daemon for the configuration, if that is due. */
  void QueryConfiguration(TimePoint aNow);
  void OnConfigurationQuery(const fleet::ConfigurationQuery& aQuery);
  void OnConfigurationReply(const fleet::ConfigurationReply& aReply);

  // The dispatcher.
  void ScheduleDispatcherTick();
  void TickDispatcher();
  void Execute(const fleet::DispatchAction& aAction);
  void SendReply(const fleet::PlacementReply& aReply);
  void SendOrder(const fleet::RunnerOrder& aOrder);
  void FetchReport(const fleet::ReportRequest& aReportRequest);
  ZoneId ZoneOf(const DaemonId& aDaemon) const;
  std::int64_t StartTimeOf(const EndpointId& aRunner) const;

  FleetMemberServices mServices;
  FleetMemberOptions mOptions;
  std::size_t mLeaseContentBytes; ///< That the lease row may take besides the lease.
  fleet::OrderLease mLease;
  FleetLink mLink;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mDispatcherTimer;
  std::map<DaemonId, Member> mMembers;
  /* Addresses of those that were members when this daemon last lost the lease. */
  std::vector<std::string> mFormerMembers;
  std::map<DaemonId, std::string> mAddresses;      ///< Of all daemons that have ever sent a hello.
  std::map<DaemonId, IncarnationId> mIncarnations; ///< Of the same daemons.
  /* Another daemon is the dispatcher, and its heartbeats arrive. */
  bool mHasRemoteDispatcher = false;
  /* Lease row from the last heartbeat of that dispatcher. Messages go to the address in it. */
  fleet::OrderLeaseRow mDispatcherLease;
  FencingToken mDispatcherFence; ///< From the same heartbeat.
  TimePoint mLastHeartbeatAt{};  ///< When that dispatcher's last heartbeat arrived.
  /* Streams reported to this daemon as the dispatcher of which no member has a copy yet. */
  std::vector<fleet::BegunStream> mUncopiedStreams;
  TimePoint mNextStreamCopyAt{};
  /* Streams that this daemon began within kOwnStreamRetention, with the time, oldest first. */
  std::deque<std::pair<TimePoint, fleet::BegunStream>> mOwnStreams;
  ReportQueue mReports;
  /* Suspects that this daemon reported or passed on, with the time, oldest first. */
  std::deque<std::pair<TimePoint, SuspectMessage>> mOwnSuspects;
  /* The last statement about each endpoint whose limit has changed since the last message. */
  std::map<EndpointId, fleet::LimitStatement> mChangedLimits;
  TimePoint mNextLimitsAt{}; ///< When the next message about limits may be sent.
  fleet::SlownessReports mSlowness;
  TimePoint mLastTickAt{};
  DaemonId mLastPeer; ///< The last member whose address was sent to the others.
  TimePoint mNextHeartbeatAt{};
  TimePoint mNextHelloAt{};
  std::string mLoggedHolder; ///< Holder and incarnation in the last holder_changed log line.
  std::array<SentMessages, std::variant_size_v<FleetBody>> mSentMessages;
  bool mWasOrderingAllowed = false;
  bool mHasReadLease = false;
  bool mIsLeaseContentCut = false;   ///< The row has no room for all of the content.
  bool mAreLeaseVersionsCut = false; ///< The same for the versions in it.
  bool mIsTickPosted = false;
  bool mIsClosed = false;
};

} // namespace rhubarbtrail

#endif

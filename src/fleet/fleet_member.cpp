/* Fleet membership of this daemon: order lease, messages between daemons, dispatcher. */
#include "fleet/fleet_member.h"

#include "core/boot_clock.h"
#include "core/overloaded.h"
#include "platform/request_headers.h"
#include "platform/runner_decoder.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbtrail {

namespace {

/* Interval of the periodic work in Tick(). */
constexpr Duration kTickInterval = 50ms;
/* Intervals of the heartbeats: the dispatcher's to its members, and the hellos of the others to the
 * dispatcher. */
constexpr Duration kHeartbeatInterval = 400ms;
constexpr Duration kHelloInterval = 800ms;
/* Time without a heartbeat after which a daemon treats the dispatcher as unreachable, and time
 * without any message after which the dispatcher removes a member. */
constexpr Duration kDispatcherTimeout = 1'300ms;
constexpr Duration kMemberTimeout = 2'500ms;
/* Time without any message after which the dispatcher withholds a member's part of the quotas. It
 * is less than kDispatcherTimeout, after which the member may begin to spend that part by itself.
 */
constexpr Duration kQuotaSilentTime = 1'200ms;
/* Time limits for a runner's answer to an order, for its report, and for connecting to it. */
constexpr Duration kOrderAnswerTimeout = 400ms;
constexpr Duration kReportAnswerTimeout = 400ms;
/* The same from the start of the call to the end of the body. A report may pause for two seconds;
 * only the status of the answer to an order is needed. */
constexpr Duration kOrderTimeout = 1s;
constexpr Duration kReportTimeout = 2'500ms;
/* Largest size of a report, in bytes. A runner's entry has the same lists and fits into a row of
 * 64 KB; a report adds a short line for each run. */
constexpr std::uint64_t kMaxReportBytes = 128U << 10U;
constexpr Duration kRunnerConnectTimeout = 250ms;
/* Members to which the dispatcher sends copies of the streams that have begun: all of a small
 * fleet, so that streams can be resumed while a lost dispatcher is being replaced. More copies
 * would take much of the dispatcher's time in a large fleet. */
constexpr std::size_t kMaxStreamCopies = 8;
/* Members to which the dispatcher sends copies of crash reports, for the same reasons. */
constexpr std::size_t kMaxReportCopies = 8;
/* Time between two copies. A dispatcher that fails loses the streams of its own clients since the
 * last one. */
constexpr Duration kStreamCopyInterval = 200ms;
/* Age up to which a daemon sends the streams that it began to a new dispatcher. It is the time
 * limit of requests that state no deadline. */
constexpr Duration kOwnStreamRetention = 30s;
/* Age up to which a daemon sends the suspects that it reported to a new dispatcher, and their
 * greatest number. */
constexpr Duration kOwnSuspectRetention = fleet::kCrashCountLifetime;
constexpr std::size_t kMaxOwnSuspects = 64;
/* Time between two messages about limits on requests, from the dispatcher and to it. */
constexpr Duration kMemberLimitsInterval = 400ms;
constexpr Duration kOwnLimitsInterval = 100ms;
/* Largest number of limits in one message. */
constexpr std::size_t kMaxLimitsPerMessage = 500;
/* Addresses of members in one heartbeat. */
constexpr std::size_t kPeersPerHeartbeat = 4;
/* Time without periodic work after which this process counts as delayed. */
constexpr Duration kMaxTickDelay = 1s;
/* Largest number of streams in one message. */
constexpr std::size_t kMaxStreamsPerMessage = 500;
/* Table and key of the lease row in the store. */
constexpr const char* kFleetTable = "rhubarbtrail";
constexpr const char* kLeaseKey = "lease";
/* Bytes that the lease row may take besides the lease itself, before base64. The operators' store
 * accepts 64 KB. */
constexpr std::size_t kMaxLeaseContentBytes = 36U << 10U;

} // namespace

FleetMember::FleetMember(FleetMemberServices aServices, FleetMemberOptions aOptions)
  : mServices(std::move(aServices))
  , mOptions(std::move(aOptions))
  , mLeaseContentBytes(kMaxLeaseContentBytes)
  , mLease({ .self = mOptions.self,
             .incarnation = mOptions.incarnation,
             .address = mOptions.link.address,
             .spacing = mOptions.leaseSpacing,
             .additionalTakeoverDelay = mOptions.additionalTakeoverDelay })
  , mLink(mServices.loop,
          mOptions.link,
          { .onMessage = [this](const std::string& aBytes) { OnMessage(aBytes); },
            .onConnectionEnded =
              [this](const std::string& aAddress) {
                if (mHasRemoteDispatcher && aAddress == mDispatcherLease.address) {
                  LoseDispatcher("connection_ended");
                }
                for (auto& [id, member] : mMembers) {
                  if (member.address == aAddress) {
                    member.hasConnectionEnded = true;
                  }
                }
              },
            .onLimitExceeded =
              [this](const ExceededMessageLimit& aExceeded) {
                mServices.log.Write("message_limit_exceeded",
                                    { { "part", aExceeded.part },
                                      { "value", aExceeded.value },
                                      { "limit", aExceeded.limit },
                                      { "action", "connection_closed" } });
              } })
  , mTimer(mServices.loop)
  , mDispatcherTimer(mServices.loop)
{
  for (std::size_t kind = 0; kind < mSentMessages.size(); ++kind) {
    mSentMessages.at(kind).kind = NameOfMessage(kind);
  }
}

std::string FleetMember::Start()
{
  std::string error = mLink.Listen();
  if (error.empty()) {
    Tick();
  }
  return error;
}

void FleetMember::Release()
{
  mLease.Release();
}

bool FleetMember::IsReleased() const
{
  return mLease.isReleased();
}

void FleetMember::Close()
{
  mIsClosed = true;
  mTimer.cancel();
  mDispatcherTimer.cancel();
  mLink.Close();
}

void FleetMember::Tick()
{
  const TimePoint now = BootClockNow();
  CheckForSuspension(now);
  mLastTickAt = now;
  if (const auto action = mLease.Tick(now)) {
    Execute(*action);
  }
  ApplyLeaseState();
  if (isDispatcher()) {
    if (now >= mNextHeartbeatAt) {
      mNextHeartbeatAt = now + kHeartbeatInterval;
      SendHeartbeats();
    }
    TickQuotas(now);
    RemoveTimedOutMembers(now);
    CopyStreamsToMembers(now);
  } else if (now >= mNextHelloAt) {
    mNextHelloAt = now + kHelloInterval;
    SendHello();
  }
  if (mHasRemoteDispatcher && now - mLastHeartbeatAt > kDispatcherTimeout) {
    LoseDispatcher("silent");
  }
  QueryConfiguration(now);
  SendChangedLimits(now);
  SendSlowness(now);
  SendReports(now);
  mServices.quotas.Tick(now);
  SendQuotaReport();
  mLink.CloseOverdueConnections(now);
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError && !mIsClosed) {
      Tick();
    }
  });
}

void FleetMember::Execute(const fleet::LeaseAction& aAction)
{
  std::visit(Overloaded{ [this](const fleet::ReadLease&) { ReadLease(); },
                         [this](const fleet::WriteLease& aWrite) { WriteLease(aWrite); } },
             aAction);
}

void FleetMember::ReadLease()
{
  mServices.store.Read(kFleetTable, {}, [this](const StoreResult& aResult) {
    if (!mIsClosed) {
      OnLeaseRead(aResult);
      ApplyLeaseState();
    }
  });
}

void FleetMember::WriteLease(const fleet::WriteLease& aWrite)
{
  const fleet::LeaseRowContent all{ .versions = mServices.recentVersions(),
                                    .quarantinedParts = mServices.quarantinedParts(),
                                    .partTrials = mServices.partTrials(),
                                    .quarantinedRequests = mServices.quarantinedRequests() };
  const auto content = fleet::FitLeaseRow(all, mServices.recordedVersions, mLeaseContentBytes);
  auto row = EncodeLeaseRow({ .lease = aWrite.row, .content = content });
  if (!row) {
    mServices.log.Write("lease_row_not_encoded", { { "reason", row.error() } });
    mLease.OnWriteFailed(BootClockNow(), false);
    return;
  }
  RecordLeaseContent(all, content, row->size());
  mServices.store.Write({ .table = kFleetTable,
                          .key = kLeaseKey,
                          .value = std::move(*row),
                          .expectedVersion = aWrite.expectedVersion },
                        [this, versions = content.versions](const StoreResult& aResult) {
                          if (!mIsClosed) {
                            OnLeaseWritten(aResult, versions);
                            ApplyLeaseState();
                          }
                        });
}

void FleetMember::RecordLeaseContent(const fleet::LeaseRowContent& aAll,
                                     const fleet::LeaseRowContent& aWritten,
                                     std::size_t aRowBytes)
{
  mAreLeaseVersionsCut = aAll.versions != aWritten.versions;
  const bool isCut = aAll != aWritten;
  if (std::exchange(mIsLeaseContentCut, isCut) == isCut) {
    return;
  }
  mServices.log.Write(isCut ? "lease_row_cut" : "lease_row_whole",
                      { { "versions", fleet::CountVersions(aAll.versions) },
                        { "versions_written", fleet::CountVersions(aWritten.versions) },
                        { "part_groups", aAll.quarantinedParts.size() },
                        { "part_groups_written", aWritten.quarantinedParts.size() },
                        { "row_bytes", aRowBytes },
                        { "limit", mLeaseContentBytes } });
}

void FleetMember::OnLeaseRead(const StoreResult& aResult)
{
  const TimePoint now = BootClockNow();
  if (aResult.outcome != StoreOutcome::kDone) {
    mLease.OnReadFailed(now);
    return;
  }
  const auto& rows = aResult.answer.rows;
  const auto row =
    std::find_if(rows.begin(), rows.end(), [](const auto& aRow) { return aRow.key == kLeaseKey; });
  if (row == rows.end()) {
    mLease.OnRead(now, {}, {});
  } else {
    mLease.OnRead(now, ReadLeaseRow(*row), row->version);
  }
  mHasReadLease = true;
}

fleet::OrderLeaseRow FleetMember::ReadLeaseRow(const platform::StoreRow& aRow)
{
  auto row = DecodeLeaseRow(aRow.value);
  if (!row) {
    mServices.log.Write("lease_unreadable",
                        { { "row_version", aRow.version.value }, { "reason", row.error() } });
    mServices.onRecentVersions(fleet::kUnknownVersions);
    mServices.recordedVersions.Set({});
    return {};
  }
  if (!mHasReadLease && row->lease.era < aRow.version.era) {
    mServices.onRecentVersions(fleet::kUnknownVersions); // Later writes of the row are forgotten.
  }
  SetRecordedVersions(row->content.versions);
  mServices.onQuarantinedParts(row->content.quarantinedParts, row->content.partTrials);
  if (!mHasReadLease) {
    // Later, the row may be older than an answer that has ended a quarantine.
    mServices.onQuarantinedRequests(row->content.quarantinedRequests);
  }
  return std::move(row->lease);
}

void FleetMember::SetRecordedVersions(const fleet::VersionsByService& aVersions)
{
  mServices.recordedVersions.Set(aVersions);
  mServices.onRecentVersions(aVersions);
  OnDispatcherInputChanged();
}

void FleetMember::OnSoftwareVersion(const ServiceId& aService, const SoftwareVersion& aVersion)
{
  // While the row has no room for all versions, renewing it ahead of time does not add this one.
  if (!mAreLeaseVersionsCut && !mServices.recordedVersions.Has(aService, aVersion)) {
    mLease.RenewSoon();
  }
}

void FleetMember::OnLeaseWritten(const StoreResult& aResult,
                                 const fleet::VersionsByService& aVersions)
{
  const TimePoint now = BootClockNow();
  switch (aResult.outcome) {
    case StoreOutcome::kDone:
      mLease.OnWritten(now, aResult.answer.newest);
      if (mLease.isHolder() && aVersions != mServices.recordedVersions.versions()) {
        SetRecordedVersions(aVersions);
      }
      return;
    case StoreOutcome::kConflict:
      for (const auto& row : aResult.answer.rows) {
        if (row.key == kLeaseKey) {
          mLease.OnConflict(now, ReadLeaseRow(row), row.version);
          return;
        }
      }
      mLease.OnConflict(now, {}, {});
      return;
    case StoreOutcome::kTooLarge:
      // The store accepts less than expected. The lease itself fits into any row.
      mLeaseContentBytes /= 2;
      mLease.OnWriteFailed(now, false);
      break;
    case StoreOutcome::kHistoryGone:
    case StoreOutcome::kUnavailable:
      mLease.OnWriteFailed(now, false);
      break;
    case StoreOutcome::kUnknown:
      mLease.OnWriteFailed(now, true);
      break;
  }
  if (isDispatcher() || aResult.outcome == StoreOutcome::kTooLarge) {
    mServices.log.Write("lease_renewal_failed",
                        { { "outcome", ToString(aResult.outcome) },
                          { "reason", aResult.reason },
                          { "row_version", mLease.version().value } });
  }
}

/* Applies the current state of the lease:
 * - Logs a change of the holder.
 * - Clears the dispatcher's state when the lease row no longer names this daemon.
 * - Sends this daemon's open placement requests and assignments to its own dispatcher when it takes
 *   the lease while another daemon still counts as the dispatcher.
 * - Updates the dispatcher's permission to send orders. */
void FleetMember::ApplyLeaseState()
{
  const TimePoint now = BootClockNow();
  const bool isHolder = isDispatcher();
  const std::string holder = mLease.row().holder.str() + "/" + mLease.row().incarnation.str();
  if (holder != mLoggedHolder) {
    const bool wasHolder = mLoggedHolder == mOptions.self.str() + "/" + mOptions.incarnation.str();
    mServices.log.Write("holder_changed",
                        { { "holder", mLease.row().holder },
                          { "former", mLoggedHolder },
                          { "row_version", mLease.version().value },
                          { "fence", mLease.fence().value } });
    mLoggedHolder = holder;
    if (isHolder && !wasHolder) {
      mServices.quotaLedger.Start(now, mOptions.self);
      BeginQuotaEpoch(now);
      // They may still take this daemon for their dispatcher, and wait for answers of the last
      // term.
      for (const std::string& address : std::exchange(mFormerMembers, {})) {
        Send(address, MakeHeartbeat());
      }
    }
    if (wasHolder && !isHolder) {
      mServices.quotas.OnDispatcherLost(now, false);
      mFormerMembers.clear();
      for (const auto& [id, member] : mMembers) {
        mFormerMembers.push_back(member.address);
      }
      mMembers.clear();
      mUncopiedStreams.clear();
      mServices.dispatcher.Clear();
      mServices.placement.OnDispatcherLost();
    }
    mNextHelloAt = now;
  }
  if (isHolder && mHasRemoteDispatcher) {
    mHasRemoteDispatcher = false;
    mServices.onTableNoticesLost();
    mServices.placement.OnNewDispatcher();
  }
  const bool mayOrder = mLease.MayOrder(now);
  if (mayOrder != mWasOrderingAllowed) {
    mWasOrderingAllowed = mayOrder;
    mServices.log.Write(mayOrder ? "orders_allowed" : "orders_stopped",
                        { { "row_version", mLease.version().value },
                          { "fence", mLease.fence().value },
                          { "holder", mLease.row().holder } });
  }
  mServices.dispatcher.SetOrderPermission({ .mayOrder = mayOrder,
                                            .allowedFrom = mLease.ordersAllowedFrom(now),
                                            .holder = mOptions.self.str(),
                                            .fence = mLease.fence() });
}

void FleetMember::Send(const std::string& aAddress, FleetBody aBody)
{
  const std::size_t kind = aBody.index();
  SendBytes(
    aAddress,
    kind,
    EncodeFleetMessage(
      { .from = mOptions.self, .incarnation = mOptions.incarnation, .body = std::move(aBody) }));
}

void FleetMember::SendBytes(const std::string& aAddress,
                            std::size_t aKind,
                            std::vector<std::uint8_t> aBytes)
{
  ++mSentMessages.at(aKind).count;
  mSentMessages.at(aKind).bytes += aBytes.size();
  mLink.Send(aAddress, std::move(aBytes));
}

void FleetMember::SendToMembers(FleetBody aBody)
{
  const std::size_t kind = aBody.index();
  const auto bytes = EncodeFleetMessage(
    { .from = mOptions.self, .incarnation = mOptions.incarnation, .body = std::move(aBody) });
  for (const auto& [id, member] : mMembers) {
    SendBytes(member.address, kind, bytes);
  }
}

HolderHeartbeatMessage FleetMember::MakeHeartbeat() const
{
  return { .lease = mLease.row(),
           .version = mLease.version(),
           .fence = mLease.fence(),
           .state = mLease.state(BootClockNow()),
           .daemons = static_cast<std::uint32_t>(mMembers.size()) + 1,
           .notices = mServices.tableNotices(),
           .era = mServices.store.era(),
           .quarantinedParts = mServices.quarantinedParts(),
           .partTrials = mServices.partTrials(),
           .configuration = mServices.configuration.Statement(BootClockNow()),
           .peers = {},
           .quotas = mServices.quotaLedger.Statements(BootClockNow()),
           .recordedVersions = mServices.recordedVersions.versions() };
}

std::vector<std::string> FleetMember::NextPeers()
{
  std::vector<std::string> peers;
  auto next = mMembers.upper_bound(mLastPeer);
  const std::size_t count = std::min(kPeersPerHeartbeat, mMembers.size());
  while (peers.size() < count) {
    if (next == mMembers.end()) {
      next = mMembers.begin();
    }
    mLastPeer = next->first;
    peers.push_back(next->second.address);
    ++next;
  }
  return peers;
}

void FleetMember::CheckForSuspension(TimePoint aNow)
{
  if (mLastTickAt != TimePoint{} && aNow - mLastTickAt > kMaxTickDelay) {
    mServices.configuration.OnResumed(aNow);
  }
}

void FleetMember::QueryConfiguration(TimePoint aNow)
{
  std::vector<std::string> addresses;
  if (mHasRemoteDispatcher) {
    addresses.push_back(mDispatcherLease.address);
  }
  for (const auto& [id, member] : mMembers) {
    addresses.push_back(member.address);
  }
  auto query = mServices.configuration.Tick(aNow, std::move(addresses));
  if (!query) {
    return;
  }
  mServices.log.Write("configuration_queried",
                      { { "address", query->address },
                        { "version", query->query.known.value },
                        { "heard_version", mServices.configuration.heardVersion().value },
                        { "dispatcher", mDispatcherLease.holder } });
  Send(query->address, std::move(query->query));
}

void FleetMember::OnConfigurationQuery(const fleet::ConfigurationQuery& aQuery)
{
  if (auto reply = mServices.configuration.Answer(BootClockNow(), aQuery)) {
    reply->dispatcher = isDispatcher() ? mOptions.link.address : mDispatcherLease.address;
    Send(aQuery.address, std::move(*reply));
  }
}

void FleetMember::OnConfigurationReply(const fleet::ConfigurationReply& aReply)
{
  auto outcome = mServices.configuration.OnReply(BootClockNow(), aReply);
  if (outcome.document) {
    mServices.onConfiguration(outcome.version, *outcome.document);
  }
  if (outcome.next) {
    Send(outcome.next->address, std::move(outcome.next->query));
  }
}

void FleetMember::SendHeartbeats()
{
  mServices.quotas.share().OnStatements(BootClockNow(),
                                        mServices.quotaLedger.Statements(BootClockNow()));
  mServices.onDaemonCount(static_cast<std::uint32_t>(mMembers.size()) + 1);
  HolderHeartbeatMessage heartbeat = MakeHeartbeat();
  heartbeat.peers = NextPeers();
  SendToMembers(std::move(heartbeat));
}

void FleetMember::OnStoreEra(StoreEra aEra)
{
  mServices.recordedVersions.Set({});
  mLease.OnEra(BootClockNow(), aEra);
  ApplyLeaseState();
}

void FleetMember::RelayTableChanges(const TableChangesMessage& aChanges)
{
  if (!isDispatcher()) {
    return;
  }
  if (!aChanges.rows.empty()) {
    SendToMembers(aChanges);
  }
  mNextHeartbeatAt = BootClockNow() + kHeartbeatInterval;
  SendHeartbeats();
}

void FleetMember::SendHello()
{
  const auto& row = mLease.row();
  if (!row.holder.empty() && row.holder != mOptions.self && !row.address.empty()) {
    Send(row.address,
         HelloMessage{ .zone = mOptions.zone,
                       .address = mOptions.link.address,
                       .era = mServices.store.era(),
                       .quarantinedParts = mServices.quarantinedParts(),
                       .configuration = mServices.configuration.Statement(BootClockNow()) });
  }
}

void FleetMember::RemoveTimedOutMembers(TimePoint aNow)
{
  std::erase_if(mMembers, [&](const auto& aItem) {
    const auto& [id, member] = aItem;
    if (aNow - member.lastMessageAt <= kMemberTimeout) {
      return false;
    }
    mServices.log.Write(
      "member_lost",
      { { "member", id }, { "silent_ms", ToMilliseconds(aNow - member.lastMessageAt) } });
    mServices.dispatcher.OnDaemonLost(id);
    if (member.hasConnectionEnded) {
      mServices.quotaLedger.OnDaemonEnded(aNow, id);
    }
    mLink.Disconnect(member.address);
    return true;
  });
}

void FleetMember::LoseDispatcher(std::string_view aReason)
{
  if (!std::exchange(mHasRemoteDispatcher, false)) {
    return;
  }
  mServices.log.Write("dispatcher_lost",
                      { { "dispatcher", mDispatcherLease.holder },
                        { "why", aReason },
                        { "heard_ms_ago", ToMilliseconds(BootClockNow() - mLastHeartbeatAt) } });
  mLink.Disconnect(mDispatcherLease.address);
  mServices.onTableNoticesLost();
  // Before the placement requests, which then look for runners without the dispatcher.
  mServices.quotas.OnDispatcherLost(BootClockNow(), aReason == "connection_ended");
  mServices.placement.OnDispatcherLost();
}

void FleetMember::OnMessage(const std::string& aBytes)
{
  const auto message = DecodeFleetMessage(aBytes);
  if (!message) {
    mServices.log.Write("message_rejected", { { "reason", message.error() } });
    return;
  }
  if (mIsClosed) {
    return;
  }
  CheckForSuspension(BootClockNow());
  if (const auto member = mMembers.find(message->from);
      member != mMembers.end() && member->second.incarnation == message->incarnation) {
    member->second.lastMessageAt = BootClockNow();
    member->second.hasConnectionEnded = false;
    mServices.quotaLedger.OnDaemonHeard(BootClockNow(), message->from);
  }
  std::visit(
    Overloaded{
      [&](const HelloMessage& aHello) { OnHello(*message, aHello); },
      [&](const HolderHeartbeatMessage& aHeartbeat) { OnHolderHeartbeat(*message, aHeartbeat); },
      [&](const SuspectMessage& aSuspect) { OnSuspects(*message, { aSuspect }); },
      [&](const SuspectListMessage& aSuspects) { OnSuspects(*message, aSuspects.suspects); },
      [&](const RunnerLeavingMessage& aLeaving) { OnRunnerLeaving(*message, aLeaving); },
      [&](const StreamsBegunMessage& aBegun) { OnStreamsBegun(aBegun); },
      [&](const EndpointLimitsMessage& aLimits) { OnEndpointLimits(*message, aLimits); },
      [&](const fleet::ConfigurationQuery& aQuery) { OnConfigurationQuery(aQuery); },
      [&](const fleet::ConfigurationReply& aReply) { OnConfigurationReply(aReply); },
      [&](const EndpointSlownessMessage& aSlowness) {
        for (const fleet::SlownessStatement& statement : aSlowness.statements) {
          mServices.dispatcher.OnSlownessStatement(BootClockNow(), statement);
        }
      },
      [&](const TableChangesMessage& aChanges) {
        if (mHasRemoteDispatcher && message->from == mDispatcherLease.holder &&
            message->incarnation == mDispatcherLease.incarnation) {
          mServices.onTableChanges(aChanges);
        }
      },
      [&](const fleet::PlacementReply& aReply) { mServices.placement.OnReply(aReply); },
      [&](const fleet::QuotaReport& aReport) { OnQuotaReport(*message, aReport); },
      [&](const fleet::QuotaReply& aReply) {
        if (mHasRemoteDispatcher && message->from == mDispatcherLease.holder) {
          mServices.quotas.OnReply(BootClockNow(), aReply);
        }
      },
      [&](const auto& aDispatchMessage) {
        if (isDispatcher()) {
          HandleDispatchMessage(message->from, fleet::DispatchMessage{ aDispatchMessage });
        } else {
          RejectPlacementRequest(message->from, fleet::DispatchMessage{ aDispatchMessage });
        }
      } },
    message->body);
}

/* Answers a placement request that arrives although this daemon is not the dispatcher, so that the
 * sender does not wait for a reply. Other messages are ignored. */
void FleetMember::RejectPlacementRequest(const DaemonId& aFrom,
                                         const fleet::DispatchMessage& aMessage)
{
  const auto* request = std::get_if<fleet::PlacementRequest>(&aMessage);
  const auto address = mAddresses.find(aFrom);
  if (request != nullptr && address != mAddresses.end()) {
    Send(address->second,
         fleet::PlacementReply{ .id = request->id, .answer = fleet::PlacementUndecided{} });
  }
}

void FleetMember::OnHello(const FleetMessage& aMessage, const HelloMessage& aHello)
{
  mAddresses[aMessage.from] = aHello.address;
  if (const IncarnationId former =
        std::exchange(mIncarnations[aMessage.from], aMessage.incarnation);
      !former.empty() && former != aMessage.incarnation) {
    mServices.quotaLedger.OnDaemonEnded(BootClockNow(), aMessage.from);
  }
  mServices.onStoreEra(aHello.era);
  mServices.configuration.OnStatement(BootClockNow(), aHello.configuration);
  mServices.configuration.OnPeers({ aHello.address });
  if (!isDispatcher()) {
    return;
  }
  const auto found = mMembers.find(aMessage.from);
  const bool isNew = found == mMembers.end() || found->second.incarnation != aMessage.incarnation;
  if (isNew) {
    if (found != mMembers.end()) {
      mServices.dispatcher.OnDaemonLost(aMessage.from);
      mLink.Disconnect(found->second.address);
    }
    mServices.log.Write("member_joined",
                        { { "member", aMessage.from }, { "address", aHello.address } });
  }
  mMembers[aMessage.from] = { .incarnation = aMessage.incarnation,
                              .address = aHello.address,
                              .zone = aHello.zone,
                              .lastMessageAt = BootClockNow() };
  mServices.onQuarantinedParts(aHello.quarantinedParts, {});
  if (isNew) {
    Send(aHello.address, MakeHeartbeat());
    SendOwnSuspects(aHello.address);
    SendQuarantineReports(aHello.address);
    SendLimits(aHello.address, mServices.limits());
  }
}

void FleetMember::OnHolderHeartbeat(const FleetMessage& aMessage,
                                    const HolderHeartbeatMessage& aHeartbeat)
{
  const TimePoint now = BootClockNow();
  mServices.onStoreEra(aHeartbeat.era);
  mServices.configuration.OnStatement(now, aHeartbeat.configuration);
  mServices.configuration.OnPeers(aHeartbeat.peers);
  if (aMessage.from != aHeartbeat.lease.holder || aHeartbeat.version < mLease.version()) {
    // From a former holder that has not yet noticed that it lost the lease. The store may turn it
    // away, and then it learns of that from here only.
    if (isDispatcher()) {
      Send(aHeartbeat.lease.address, MakeHeartbeat());
    }
    return;
  }
  mLease.OnHolderHeartbeat(now, aHeartbeat.lease, aHeartbeat.version, aHeartbeat.state);
  ApplyLeaseState();
  if (isDispatcher()) {
    return;
  }
  const bool isNew = !mHasRemoteDispatcher ||
                     mDispatcherLease.incarnation != aHeartbeat.lease.incarnation ||
                     mDispatcherFence != aHeartbeat.fence;
  if (isNew && mHasRemoteDispatcher && mDispatcherLease.address != aHeartbeat.lease.address) {
    mLink.Disconnect(mDispatcherLease.address);
  }
  mDispatcherLease = aHeartbeat.lease;
  mDispatcherFence = aHeartbeat.fence;
  mHasRemoteDispatcher = true;
  mLastHeartbeatAt = now;
  mServices.onDaemonCount(aHeartbeat.daemons);
  mServices.onTableNotices(aHeartbeat.notices);
  mServices.onQuarantinedParts(aHeartbeat.quarantinedParts, aHeartbeat.partTrials);
  if (aHeartbeat.recordedVersions &&
      *aHeartbeat.recordedVersions != mServices.recordedVersions.versions()) {
    SetRecordedVersions(*aHeartbeat.recordedVersions);
  }
  if (isNew) {
    mServices.log.Write(
      "dispatcher_found",
      { { "dispatcher", aHeartbeat.lease.holder }, { "row_version", aHeartbeat.version.value } });
    SendHello();
    // Sent first, so that the dispatcher knows the streams when requests to resume them arrive.
    SendOwnStreams();
    SendOwnSuspects(mDispatcherLease.address);
    mSlowness.OnNewDispatcher();
    SendLimits(mDispatcherLease.address, mServices.limits());
    BeginQuotaEpoch(now);
    mServices.placement.OnNewDispatcher();
  }
  mServices.quotas.share().OnStatements(now, aHeartbeat.quotas);
}

void FleetMember::OnSuspects(const FleetMessage& aMessage,
                             const std::vector<SuspectMessage>& aSuspects)
{
  const auto member = mMembers.find(aMessage.from);
  const std::string address = member == mMembers.end() ? std::string{} : member->second.address;
  for (const SuspectMessage& suspect : aSuspects) {
    mServices.onSuspect(address, suspect);
  }
}

void FleetMember::OnRunnerLeaving(const FleetMessage& aMessage,
                                  const RunnerLeavingMessage& aLeaving)
{
  if (mServices.onRunnerLeaving(aLeaving)) {
    PassOn(aMessage.from, aLeaving);
  }
}

void FleetMember::PassOn(const DaemonId& aFrom, const FleetBody& aReport)
{
  if (!isDispatcher()) {
    return;
  }
  for (const auto& [id, member] : mMembers) {
    if (id != aFrom) {
      Send(member.address, aReport);
    }
  }
}

void FleetMember::Announce(FleetBody aReport)
{
  if (isDispatcher()) {
    SendToMembers(std::move(aReport));
  } else if (mHasRemoteDispatcher) {
    Send(mDispatcherLease.address, std::move(aReport));
  }
}

void FleetMember::ReportRunnerLeaving(const RunnerLeavingMessage& aMessage)
{
  Announce(aMessage);
}

void FleetMember::ReportLimit(const fleet::LimitStatement& aStatement)
{
  mServices.dispatcher.OnLimitStatement(BootClockNow(), aStatement);
  mChangedLimits[aStatement.endpoint] = aStatement;
  if (!isDispatcher()) {
    SendChangedLimits(BootClockNow());
  }
}

void FleetMember::OnEndpointLimits(const FleetMessage& aMessage,
                                   const EndpointLimitsMessage& aLimits)
{
  const bool isFromDispatcher = mHasRemoteDispatcher && aMessage.from == mDispatcherLease.holder &&
                                aMessage.incarnation == mDispatcherLease.incarnation;
  if (!isDispatcher() && !isFromDispatcher) {
    return;
  }
  const TimePoint now = BootClockNow();
  for (const fleet::LimitStatement& statement : aLimits.statements) {
    const bool isChanged = mServices.dispatcher.OnLimitStatement(now, statement);
    mServices.onLimitStatement(statement);
    if (!isDispatcher()) {
      continue;
    }
    if (isChanged) {
      mChangedLimits[statement.endpoint] = statement;
      continue;
    }
    const auto& runners = mServices.dispatcher.runners();
    const auto runner = runners.find(statement.endpoint);
    if (!statement.limit && runner != runners.end() && runner->second.limit.rate()) {
      // The limit was stated again meanwhile. The sender believes that it has ended.
      mChangedLimits[statement.endpoint] = { .endpoint = statement.endpoint,
                                             .startedAtMs = runner->second.entry.startedAtMs,
                                             .limit = runner->second.limit.rate() };
    }
  }
}

void FleetMember::SendChangedLimits(TimePoint aNow)
{
  if (mChangedLimits.empty() || aNow < mNextLimitsAt || !HasDispatcher()) {
    return;
  }
  mNextLimitsAt = aNow + (isDispatcher() ? kMemberLimitsInterval : kOwnLimitsInterval);
  std::vector<fleet::LimitStatement> changed;
  for (const auto& [id, statement] : std::exchange(mChangedLimits, {})) {
    changed.push_back(statement);
  }
  if (!isDispatcher()) {
    SendLimits(mDispatcherLease.address, changed);
    return;
  }
  for (const auto& [id, member] : mMembers) {
    SendLimits(member.address, changed);
  }
}

void FleetMember::SendLimits(const std::string& aAddress,
                             const std::vector<fleet::LimitStatement>& aLimits)
{
  for (std::size_t first = 0; first < aLimits.size(); first += kMaxLimitsPerMessage) {
    const auto begin = aLimits.begin() + static_cast<std::ptrdiff_t>(first);
    const auto count = std::min(kMaxLimitsPerMessage, aLimits.size() - first);
    Send(
      aAddress,
      EndpointLimitsMessage{ .statements = { begin, begin + static_cast<std::ptrdiff_t>(count) } });
  }
}

/* The dispatcher of this daemon is kept informed also while another daemon gives the orders,
 * because this one may take over. */
void FleetMember::ReportSlowness(const fleet::SlownessStatement& aStatement)
{
  const TimePoint now = BootClockNow();
  const auto usual = mServices.dispatcher.OnSlownessStatement(now, aStatement);
  if (usual && mHasRemoteDispatcher) {
    mSlowness.Record(now, aStatement, *usual);
  }
}

void FleetMember::SendSlowness(TimePoint aNow)
{
  if (!mHasRemoteDispatcher) {
    return;
  }
  if (auto due = mSlowness.TakeDue(aNow); !due.empty()) {
    Send(mDispatcherLease.address, EndpointSlownessMessage{ .statements = std::move(due) });
  }
}

bool FleetMember::WasDelayed() const
{
  return BootClockNow() - mLastTickAt > kMaxTickDelay;
}

void FleetMember::ReportStream(const fleet::BegunStream& aStream)
{
  const TimePoint now = BootClockNow();
  mServices.streamOrigins.Record(now, aStream);
  mOwnStreams.emplace_back(now, aStream);
  while (now - mOwnStreams.front().first > kOwnStreamRetention) {
    mOwnStreams.pop_front();
  }
  if (isDispatcher()) {
    mUncopiedStreams.push_back(aStream);
  } else if (mHasRemoteDispatcher) {
    Send(mDispatcherLease.address, StreamsBegunMessage{ .streams = { aStream } });
  }
}

void FleetMember::OnStreamsBegun(const StreamsBegunMessage& aBegun)
{
  const TimePoint now = BootClockNow();
  for (const fleet::BegunStream& stream : aBegun.streams) {
    mServices.streamOrigins.Record(now, stream);
  }
  if (!isDispatcher()) {
    return;
  }
  if (!aBegun.isResent) {
    mUncopiedStreams.insert(mUncopiedStreams.end(), aBegun.streams.begin(), aBegun.streams.end());
  }
  ScheduleDispatcherTick(); // Requests may wait for the origins.
}

void FleetMember::SendOwnStreams()
{
  const TimePoint oldest = BootClockNow() - kOwnStreamRetention;
  StreamsBegunMessage message{ .streams = {}, .isResent = true };
  for (const auto& [begunAt, stream] : mOwnStreams) {
    if (begunAt < oldest) {
      continue;
    }
    message.streams.push_back(stream);
    if (message.streams.size() == kMaxStreamsPerMessage) {
      Send(mDispatcherLease.address, message);
      message.streams.clear();
    }
  }
  if (!message.streams.empty()) {
    Send(mDispatcherLease.address, std::move(message));
  }
}

void FleetMember::CopyStreamsToMembers(TimePoint aNow)
{
  if (mUncopiedStreams.empty() || aNow < mNextStreamCopyAt) {
    return;
  }
  mNextStreamCopyAt = aNow + kStreamCopyInterval;
  SendToSomeMembers(StreamsBegunMessage{ .streams = std::exchange(mUncopiedStreams, {}) },
                    kMaxStreamCopies);
}

void FleetMember::SendToSomeMembers(FleetBody aBody, std::size_t aCount)
{
  const std::size_t kind = aBody.index();
  const auto bytes = EncodeFleetMessage(
    { .from = mOptions.self, .incarnation = mOptions.incarnation, .body = std::move(aBody) });
  std::size_t copies = 0;
  for (const auto& [id, member] : mMembers) {
    if (copies++ == aCount) {
      break;
    }
    SendBytes(member.address, kind, bytes);
  }
}

void FleetMember::ReportSuspect(ReportAudience aAudience,
                                const std::string& aAddress,
                                const SuspectMessage& aMessage)
{
  const TimePoint now = BootClockNow();
  const bool isCrash = !aMessage.isCleared && !aMessage.isQuestion;
  if (isCrash && aAudience != ReportAudience::kAllMembers) {
    mOwnSuspects.emplace_back(now, aMessage);
    if (mOwnSuspects.size() > kMaxOwnSuspects) {
      mOwnSuspects.pop_front();
    }
  }
  if (!mReports.Add(aAudience, aAddress, aMessage)) {
    mServices.log.Write("report_left_out",
                        { { "request", aMessage.request }, { "limit", kMaxQueuedReports } });
  }
  SendReports(now);
}

void FleetMember::SendReports(TimePoint aNow)
{
  if (!HasDispatcher()) {
    return;
  }
  for (ReportBatch& batch : mReports.TakeDue(aNow)) {
    const FleetBody body = batch.reports.size() == 1
                             ? FleetBody{ std::move(batch.reports.front()) }
                             : FleetBody{ SuspectListMessage{ std::move(batch.reports) } };
    if (batch.audience == ReportAudience::kSender) {
      Send(batch.address, body);
    } else if (!isDispatcher()) {
      Send(mDispatcherLease.address, body);
    } else if (batch.audience == ReportAudience::kAllMembers) {
      SendToMembers(body);
    } else {
      SendToSomeMembers(body, kMaxReportCopies);
    }
  }
}

void FleetMember::SendOwnSuspects(const std::string& aAddress)
{
  const TimePoint oldest = BootClockNow() - kOwnSuspectRetention;
  SuspectListMessage message;
  for (const auto& [reportedAt, suspect] : mOwnSuspects) {
    if (reportedAt >= oldest) {
      message.suspects.push_back(suspect);
    }
  }
  if (!message.suspects.empty()) {
    Send(aAddress, std::move(message));
  }
}

void FleetMember::SendQuarantineReports(const std::string& aAddress)
{
  std::vector<SuspectMessage> reports = mServices.quarantineReports();
  for (std::size_t first = 0; first < reports.size(); first += kMaxReportsPerMessage) {
    const auto begin = std::make_move_iterator(reports.begin());
    const std::size_t last = std::min(first + kMaxReportsPerMessage, reports.size());
    Send(aAddress,
         SuspectListMessage{ { begin + static_cast<std::ptrdiff_t>(first),
                               begin + static_cast<std::ptrdiff_t>(last) } });
  }
}

bool FleetMember::SendToDispatcher(const fleet::DispatchMessage& aMessage)
{
  if (isDispatcher()) {
    HandleDispatchMessage(mOptions.self, aMessage);
    return true;
  }
  if (!mHasRemoteDispatcher) {
    return false;
  }
  std::visit([this](const auto& aBody) { Send(mDispatcherLease.address, aBody); }, aMessage);
  return true;
}

void FleetMember::HandleDispatchMessage(const DaemonId& aFrom,
                                        const fleet::DispatchMessage& aMessage)
{
  const TimePoint now = BootClockNow();
  std::visit(
    Overloaded{
      [&](const fleet::PlacementRequest& aRequest) {
        if (!aRequest.trialParts.empty() && !mServices.startTrial(aRequest.trialParts)) {
          SendReply(
            { .id = aRequest.id,
              .answer = fleet::PlacementRefused{ .code = ResultCode::kPromptPartQuarantined } });
          return;
        }
        if (const auto exceeded = mServices.quotaLedger.Charge(now, aRequest)) {
          SendReply({ .id = aRequest.id,
                      .answer = fleet::PlacementRefused{ .code = ResultCode::kQuotaExceeded,
                                                         .retryAfter = exceeded->retryAfter } });
          return;
        }
        mServices.dispatcher.OnPlacementRequest(now, aRequest, ZoneOf(aFrom));
      },
      [&](const fleet::AssignmentReleased& aReleased) {
        mServices.dispatcher.OnAssignmentReleased(now, aReleased);
        mServices.quotaLedger.End(now,
                                  aReleased.id,
                                  aReleased.end == fleet::AssignmentEnd::kDone ||
                                    aReleased.end == fleet::AssignmentEnd::kFailed);
      },
      [&](const fleet::AssignmentInUse& aAssignment) {
        mServices.dispatcher.OnAssignmentInUse(now, aAssignment);
      } },
    aMessage);
  ScheduleDispatcherTick();
}

ZoneId FleetMember::ZoneOf(const DaemonId& aDaemon) const
{
  const auto found = mMembers.find(aDaemon);
  return found == mMembers.end() ? mOptions.zone : found->second.zone;
}

void FleetMember::ScheduleDispatcherTick()
{
  if (!isDispatcher() || std::exchange(mIsTickPosted, true)) {
    return;
  }
  boost::asio::post(mServices.loop, [this] {
    mIsTickPosted = false;
    if (!mIsClosed) {
      TickDispatcher();
    }
  });
}

void FleetMember::TickDispatcher()
{
  if (!isDispatcher()) {
    return;
  }
  ApplyLeaseState();
  const TimePoint now = BootClockNow();
  for (const auto& action : mServices.dispatcher.Tick(now)) {
    Execute(action);
  }
  const Duration pause = std::max(mServices.dispatcher.nextTickAt() - BootClockNow(),
                                  Duration{ std::chrono::milliseconds{ 1 } });
  mDispatcherTimer.expires_after(pause);
  mDispatcherTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError && !mIsClosed) {
      TickDispatcher();
    }
  });
}

void FleetMember::Execute(const fleet::DispatchAction& aAction)
{
  std::visit(
    Overloaded{ [this](const fleet::PlacementReply& aReply) { SendReply(aReply); },
                [this](const fleet::RunnerOrder& aOrder) { SendOrder(aOrder); },
                [this](const fleet::ReportRequest& aReportRequest) { FetchReport(aReportRequest); },
                [this](const fleet::DispatchLogRecord& aRecord) {
                  mServices.log.Write(aRecord.event,
                                      { { "id", aRecord.request },
                                        { "endpoint", aRecord.runner },
                                        { "model", aRecord.model.model },
                                        { "adapter", aRecord.model.adapter },
                                        { "why", aRecord.why },
                                        { "account", aRecord.account },
                                        { "account_use", aRecord.accountUse },
                                        { "time_ms", ToMilliseconds(aRecord.time) },
                                        { "count", aRecord.count },
                                        { "fence", mLease.fence().value } });
                } },
    aAction);
}

void FleetMember::BeginQuotaEpoch(TimePoint aNow)
{
  mServices.quotas.share().OnDispatcherFound(aNow);
  SendQuotaReport();
}

void FleetMember::SendQuotaReport()
{
  if (!HasDispatcher()) {
    return;
  }
  const TimePoint now = BootClockNow();
  const auto report = mServices.quotas.share().TakeReport(now);
  if (!report) {
    return;
  }
  if (!isDispatcher()) {
    Send(mDispatcherLease.address, *report);
    return;
  }
  // Later, because the report may be about a request that has only begun to wait.
  boost::asio::post(mServices.loop, [this, report] {
    if (!mIsClosed && isDispatcher()) {
      const TimePoint later = BootClockNow();
      mServices.quotas.OnReply(later,
                               mServices.quotaLedger.OnReport(later, mOptions.self, *report));
    }
  });
}

void FleetMember::OnQuotaReport(const FleetMessage& aMessage, const fleet::QuotaReport& aReport)
{
  const auto member = mMembers.find(aMessage.from);
  if (!isDispatcher() || member == mMembers.end() ||
      member->second.incarnation != aMessage.incarnation) {
    return; // Its hello has not arrived yet, and it states everything again.
  }
  Send(member->second.address,
       mServices.quotaLedger.OnReport(BootClockNow(), aMessage.from, aReport));
}

void FleetMember::TickQuotas(TimePoint aNow)
{
  mServices.quotaLedger.Tick(aNow);
  for (const auto& [id, member] : mMembers) {
    if (!member.hasConnectionEnded && aNow - member.lastMessageAt > kQuotaSilentTime) {
      mServices.quotaLedger.OnDaemonSilent(aNow, id);
    }
  }
}

void FleetMember::SendReply(const fleet::PlacementReply& aReply)
{
  if (!std::holds_alternative<fleet::RunnerAssigned>(aReply.answer)) {
    mServices.quotaLedger.End(BootClockNow(), aReply.id, false);
  }
  if (aReply.id.daemon == mOptions.self) {
    mServices.placement.OnReply(aReply);
    return;
  }
  if (const auto member = mMembers.find(aReply.id.daemon); member != mMembers.end()) {
    Send(member->second.address, aReply);
  }
}

/* Returns the Unix time of the start of a runner's process in milliseconds, or 0 if it is unknown.
 */
std::int64_t FleetMember::StartTimeOf(const EndpointId& aRunner) const
{
  const auto& runners = mServices.dispatcher.runners();
  const auto found = runners.find(aRunner);
  return found == runners.end() ? 0 : found->second.entry.startedAtMs;
}

void FleetMember::SendOrder(const fleet::RunnerOrder& aOrder)
{
  // Checked here and when the connection is ready, because the host may have been suspended since
  // the dispatcher decided, and the permission to send orders may have expired meanwhile.
  // BootClockNow() counts suspensions.
  const auto mayBeSent = [this, fence = aOrder.fence] {
    return mLease.MayOrder(BootClockNow()) && mLease.fence() == fence;
  };
  if (!mayBeSent() || mServices.isPaused(aOrder.runner)) {
    mServices.dispatcher.OnOrderResult(BootClockNow(), aOrder, fleet::OrderOutcome::kNotSent);
    return;
  }
  auto request = platform::EncodeOrder(aOrder);
  if (!request) {
    mServices.log.Write("order_not_encoded",
                        { { "endpoint", aOrder.runner },
                          { "model", aOrder.subject.model },
                          { "adapter", aOrder.subject.adapter },
                          { "reason", request.error() } });
    mServices.dispatcher.OnOrderResult(BootClockNow(), aOrder, fleet::OrderOutcome::kRejected);
    return;
  }
  if (aOrder.subject.adapter.empty()) {
    mServices.metrics.Count(aOrder.kind == fleet::OrderKind::kLoad ? Counter::kModelLoads
                                                                   : Counter::kModelUnloads);
  } else if (aOrder.kind == fleet::OrderKind::kLoad) {
    mServices.metrics.Count(Counter::kAdapterLoads);
  }
  auto status = std::make_shared<unsigned>(0);
  const std::int64_t startedAtMs = StartTimeOf(aOrder.runner);
  mServices.client.Start(
    { .address = aOrder.address,
      .request = std::move(*request),
      .reuse = http::Reuse::kAllowed,
      .connectTimeout = kRunnerConnectTimeout,
      .answerTimeout = kOrderAnswerTimeout,
      .bodyIdleTimeout = kOrderAnswerTimeout,
      .totalTimeout = kOrderTimeout,
      .mayBeSent = mayBeSent },
    { .onHead =
        [this, status, runner = aOrder.runner, startedAtMs](const http::AnswerHead& aHead) {
          mServices.onRunnerAnswer(runner, startedAtMs, aHead);
          if (platform::AnswersRequest(aHead)) {
            return false;
          }
          *status = aHead.status;
          return true;
        },
      .onBody = [](std::string_view) {},
      .onEnd =
        [this, status, order = aOrder](http::CallResult aResult) {
          const fleet::OrderOutcome outcome =
            aResult == http::CallResult::kNotConnected ? fleet::OrderOutcome::kNotSent
            : *status == 0                             ? fleet::OrderOutcome::kUnknown
                                                       : platform::DecodeOrderOutcome(*status);
          const bool isExpected = outcome == fleet::OrderOutcome::kAccepted ||
                                  outcome == fleet::OrderOutcome::kAlreadyDone;
          if (*status != 0 && !isExpected) {
            // The runner may write the refusal once more, and nothing in it tells that from the
            // answer to a later order.
            mServices.client.CloseIdleTo(order.address);
          }
          mServices.log.Write(isExpected ? "order_answered" : "order_refused",
                              { { "endpoint", order.runner },
                                { "model", order.subject.model },
                                { "adapter", order.subject.adapter },
                                { "status", *status },
                                { "result", http::ToString(aResult) },
                                { "expected_count", order.expectedOrderCount },
                                { "fence", order.fence.value } });
          mServices.dispatcher.OnOrderResult(BootClockNow(), order, outcome);
          ScheduleDispatcherTick();
        } });
}

void FleetMember::FetchReport(const fleet::ReportRequest& aReportRequest)
{
  if (mServices.isPaused(aReportRequest.runner)) {
    mServices.dispatcher.OnReport(BootClockNow(), aReportRequest.runner, nullptr);
    return;
  }
  mServices.metrics.Count(Counter::kReports);
  struct Progress
  {
    unsigned status = 0;
    std::string body;
  };
  auto progress = std::make_shared<Progress>();
  const std::int64_t startedAtMs = StartTimeOf(aReportRequest.runner);
  mServices.client.Start(
    { .address = aReportRequest.address,
      .request = platform::EncodeReportRequest(aReportRequest.runner),
      .connectTimeout = kRunnerConnectTimeout,
      .answerTimeout = kReportAnswerTimeout,
      .bodyIdleTimeout = kReportAnswerTimeout,
      .maxBodyBytes = kMaxReportBytes,
      .totalTimeout = kReportTimeout },
    { .onHead =
        [this, progress, runner = aReportRequest.runner, startedAtMs](
          const http::AnswerHead& aHead) {
          mServices.onRunnerAnswer(runner, startedAtMs, aHead);
          if (platform::AnswersRequest(aHead)) {
            return false;
          }
          progress->status = aHead.status;
          return true;
        },
      .onBody = [progress](std::string_view aBytes) { progress->body += aBytes; },
      .onEnd =
        [this, progress, runner = aReportRequest.runner](http::CallResult aResult) {
          constexpr unsigned kOk = 200;
          const bool isSuccess = aResult == http::CallResult::kComplete && progress->status == kOk;
          const auto report = isSuccess
                                ? platform::DecodeRunnerReport(progress->body)
                                : tl::make_unexpected(std::string{ http::ToString(aResult) });
          if (!report) {
            mServices.log.Write("report_failed",
                                { { "endpoint", runner },
                                  { "status", progress->status },
                                  { "reason", report.error() } });
          }
          mServices.dispatcher.OnReport(BootClockNow(), runner, report ? &*report : nullptr);
          ScheduleDispatcherTick();
        } });
}

} // namespace rhubarbtrail

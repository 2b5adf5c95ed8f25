/* Updates of the view by host lists, messages, table reads and time. */
#include "decision/view/view_base.h"

#include "decision/rendezvous_func.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Time for which no requests are sent to an endpoint after it refused a connection. */
constexpr Duration kRefusedConnectionBackoff = 500ms;
/* Time for which a leaving notice is repeated with each heartbeat, because messages may be lost. */
constexpr Duration kLeavingNoticeRepeatTime = 10s;
/* Time after which a poll without a result counts as lost, in poll intervals. Calls to the table
 * have shorter time-outs, so a later result is not expected. */
constexpr int kPollTimeoutIntervals = 10;

} // namespace

const EndpointInfo* View::FindEndpoint(const EndpointId& aEndpoint) const
{
  const auto found = mEndpoints.find(aEndpoint);
  return found == mEndpoints.end() ? nullptr : &found->second;
}

const Member* View::FindMember(const DaemonId& aDaemon) const
{
  const auto found = mMembers.find(aDaemon);
  return found == mMembers.end() ? nullptr : &found->second;
}

const std::vector<EndpointId>& View::EndpointsOf(const ServiceId& aService) const
{
  static const std::vector<EndpointId> kNone;
  const auto found = mEndpointsOf.find(aService);
  return found == mEndpointsOf.end() ? kNone : found->second;
}

bool View::IsUsable(const EndpointId& aEndpoint, TimePoint aNow) const
{
  const EndpointInfo* info = FindEndpoint(aEndpoint);
  return info != nullptr && info->state == EndpointState::kLive && info->refusedUntil <= aNow;
}

bool View::IsProvenDead(const Context& aContext, const Incarnation& aIncarnation) const
{
  const Member* member = FindMember(aIncarnation.daemon);
  if (member != nullptr && !member->incarnation.empty() && member->incarnation != aIncarnation.id) {
    return true;
  }
  if (mHasHostList && member != nullptr && member->hasBeenListed && !member->isListed) {
    return true; // The daemon was on the host list and no longer is.
  }
  const TimePoint now = aContext.now();
  const Duration limit = aContext.settings().memberTimeout;
  const bool isReachable =
    member != nullptr && member->lastMessageAt && now - *member->lastMessageAt <= limit;
  if (!mHasHostList || isReachable || (member != nullptr && member->isListed)) {
    mAbsentSince.erase(aIncarnation);
    return false;
  }
  // The host list lags, so a daemon that has just started may not be on it yet.
  const TimePoint since = mAbsentSince.try_emplace(aIncarnation, now).first->second;
  return now - since > limit;
}

std::vector<DaemonId> View::RankDaemons(const Context& aContext, const std::string& aKey) const
{
  std::vector<std::pair<std::uint64_t, DaemonId>> ranked;
  ranked.emplace_back(RendezvousWeight(aKey, aContext.self().daemon.str()), aContext.self().daemon);
  for (const auto& [id, member] : mMembers) {
    if (!member.lastMessageAt ||
        aContext.now() - *member.lastMessageAt > aContext.settings().memberTimeout) {
      continue;
    }
    ranked.emplace_back(RendezvousWeight(aKey, id.str()), id);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<DaemonId> order;
  order.reserve(ranked.size());
  for (auto& [weight, id] : ranked) {
    order.push_back(std::move(id));
  }
  return order;
}

bool View::IsAmongFirst(const Context& aContext, const std::string& aKey, std::size_t aCount) const
{
  const std::string& self = aContext.self().daemon.str();
  const std::pair own{ RendezvousWeight(aKey, self), std::string_view{ self } };
  std::size_t higherRanked = 0;
  for (const auto& [id, member] : mMembers) {
    // Right after the start no messages have arrived. Then listed daemons count, so that daemons
    // that start together do not all rank themselves first.
    const bool isReachable =
      member.lastMessageAt
        ? aContext.now() - *member.lastMessageAt <= aContext.settings().memberTimeout
        : member.isListed && aContext.now() - mFirstHostListAt <= aContext.settings().memberTimeout;
    if (!isReachable ||
        std::pair{ RendezvousWeight(aKey, id.str()), std::string_view{ id.str() } } < own) {
      continue;
    }
    if (++higherRanked >= aCount) {
      return false;
    }
  }
  return true;
}

void View::OnHostList(Context& aContext, const HostListReceived& aList)
{
  mFirstHostListAt = mHasHostList ? mFirstHostListAt : aContext.now();
  mHasHostList = true;
  for (auto& [id, info] : mEndpoints) {
    info.state = EndpointState::kGone;
  }
  for (auto& [id, member] : mMembers) {
    member.isListed = false;
  }
  for (const HostEntry& host : aList.hosts) {
    if (host.kind == HostKind::kDaemon) {
      if (host.id == aContext.self().daemon.str()) {
        continue;
      }
      Member& member = mMembers[DaemonId{ host.id }];
      member.id = DaemonId{ host.id };
      member.address = host.address;
      member.isListed = true;
      member.hasBeenListed = true;
      member.lastListedAt = aContext.now();
      continue;
    }
    EndpointInfo& info = mEndpoints[EndpointId{ host.id }];
    info.id = EndpointId{ host.id };
    if (info.bootId != host.bootId) {
      info.refusedUntil = {};
    }
    info.bootId = host.bootId;
    info.service = host.service;
    info.zone = host.zone;
    info.address = host.address;
    if (host.state == HostState::kLeaving) {
      mLeavingBootIds[info.id] = host.bootId; // A later list may lag and show it as live.
    }
    const auto leaving = mLeavingBootIds.find(info.id);
    const bool isKnownLeaving = leaving != mLeavingBootIds.end() && leaving->second == host.bootId;
    info.state = host.state == HostState::kDrained || isKnownLeaving ? EndpointState::kLeaving
                                                                     : EndpointState::kLive;
  }
  std::erase_if(mEndpoints,
                [](const auto& aItem) { return aItem.second.state == EndpointState::kGone; });
  mEndpointsOf.clear();
  for (const auto& [id, info] : mEndpoints) {
    mEndpointsOf[info.service].push_back(id);
  }
  std::erase_if(mLeavingBootIds,
                [this](const auto& aItem) { return !mEndpoints.contains(aItem.first); });
  std::erase_if(mLeavingReportedAt,
                [this](const auto& aItem) { return !mLeavingBootIds.contains(aItem.first); });
  std::erase_if(mMembers, [&](const auto& aItem) {
    const Member& member = aItem.second;
    const TimePoint lastSeen =
      std::max(member.lastMessageAt.value_or(TimePoint{}), member.lastListedAt);
    return !member.isListed && aContext.now() - lastSeen > 2 * aContext.settings().memberTimeout;
  });
}

void View::RecordMember(Context& aContext, const Incarnation& aFrom, ConfigVersion aVersion)
{
  Member& member = mMembers[aFrom.daemon];
  member.id = aFrom.daemon;
  if (member.formerIncarnations.contains(aFrom.id)) {
    return; // Sent before the daemon was restarted. It says nothing about the present process.
  }
  if (!member.incarnation.empty() && member.incarnation != aFrom.id) {
    member.formerIncarnations.insert(member.incarnation);
  }
  member.incarnation = aFrom.id;
  member.version = std::max(member.version, aVersion);
  member.lastMessageAt = aContext.now();
}

void View::OnMessage(Context& aContext, const MessageReceived& aReceived)
{
  RecordMember(aContext, aReceived.from, aReceived.senderConfigVersion);
  if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&aReceived.message)) {
    OnHeartbeat(aContext, aReceived, *heartbeat);
  } else if (const auto* wanted = std::get_if<ConfigurationRequestMessage>(&aReceived.message)) {
    if (mConfigurationRow.version >= wanted->atLeast && mConfigurationRow.version.value > 0) {
      SendTo(aContext, aReceived.from.daemon, ConfigurationMessage{ mConfigurationRow });
    }
  } else if (const auto* leaving = std::get_if<EndpointLeavingMessage>(&aReceived.message)) {
    const auto found = mEndpoints.find(leaving->endpoint);
    if (found != mEndpoints.end() && found->second.bootId == leaving->bootId &&
        aContext.IsEnabled(Mechanism::kLeavingNotice)) {
      found->second.state = EndpointState::kLeaving;
      mLeavingBootIds[leaving->endpoint] = leaving->bootId;
    }
  }
  if (aReceived.senderConfigVersion > mConfigurationRow.version) {
    SendTo(aContext,
           aReceived.from.daemon,
           ConfigurationRequestMessage{ aReceived.senderConfigVersion });
  }
  UpdateReadiness(aContext);
}

void View::OnHeartbeat(Context& aContext,
                       const MessageReceived& aReceived,
                       const HeartbeatMessage& aHeartbeat)
{
  if (!aHeartbeat.reply) {
    SendTo(aContext,
           aReceived.from.daemon,
           HeartbeatMessage{ mConfigurationRow.version, true, aHeartbeat.sentAt });
    return;
  }
  // An answer is at least as recent as its request, so the age of the information is counted from
  // the sending of the request, however long the answer took.
  Member& member = mMembers[aReceived.from.daemon];
  if (aHeartbeat.sentAt.count() > 0) {
    member.versionConfirmedAt = std::max(member.versionConfirmedAt, TimePoint{ aHeartbeat.sentAt });
  }
}

void View::OnReadResult(Context& aContext, const ReadResult& aResult)
{
  if (aResult.read != mPollRead) {
    return;
  }
  mPollRead = {};
  // The row was read at or after the start of the poll, so its age is counted from that start.
  if (aResult.hasSucceeded) {
    const Row* head = aResult.rows.empty() ? nullptr : &aResult.rows.front();
    const auto* row =
      head != nullptr && head->value ? std::get_if<ConfigurationRow>(&*head->value) : nullptr;
    if (row == nullptr || row->version <= mConfigurationRow.version) {
      mTableConfirmedAt = mPollStartedAt;
    }
  }
  mNextPollAt = aContext.now() + aContext.settings().configurationPoll;
  aContext.WakeBy(mNextPollAt);
  UpdateReadiness(aContext);
}

void View::OnConfiguration(Context& aContext, const ConfigurationLoaded& aLoaded)
{
  const bool isOlder = aLoaded.row.version <= mConfigurationRow.version;
  if (isOlder && aContext.IsEnabled(Mechanism::kVersionMonotonic)) {
    return;
  }
  mConfigurationRow = aLoaded.row;
  mConfiguration = aLoaded.configuration;
  aContext.Emit(PublishConfiguration{ mConfiguration });
  Broadcast(aContext, HeartbeatMessage{ mConfigurationRow.version, true });
  UpdateReadiness(aContext);
}

void View::OnWake(Context& aContext)
{
  PollConfiguration(aContext);
  SendHeartbeats(aContext);
  UpdateReadiness(aContext);
}

void View::PollConfiguration(Context& aContext)
{
  const Duration timeout = aContext.settings().configurationPoll * kPollTimeoutIntervals;
  if (!mPollRead.empty() && aContext.now() - mPollStartedAt >= timeout) {
    mPollRead = {};
    mNextPollAt = aContext.now();
  }
  if (mPollRead.empty() && mNextPollAt <= aContext.now()) {
    mPollRead = ChangeId{ aContext.NewUniqueId() };
    mPollStartedAt = aContext.now();
    aContext.Emit(TableRead{ mPollRead, { ConfigurationHeadKey() } });
  }
  aContext.WakeBy(mPollRead.empty() ? mNextPollAt : mPollStartedAt + timeout);
}

void View::SendHeartbeats(Context& aContext)
{
  for (auto& [id, member] : mMembers) {
    if (member.address.empty()) {
      continue;
    }
    if (member.nextHeartbeatAt <= aContext.now()) {
      member.nextHeartbeatAt = aContext.now() + aContext.settings().heartbeatInterval;
      SendTo(
        aContext,
        id,
        HeartbeatMessage{ mConfigurationRow.version, false, aContext.now().time_since_epoch() });
      RepeatLeavingNotices(aContext, id);
    }
    aContext.WakeBy(member.nextHeartbeatAt);
  }
}

bool View::IsConfirmedByMajority(const Context& aContext) const
{
  std::size_t listed = 0;
  std::size_t confirmed = 0;
  for (const auto& [id, member] : mMembers) {
    if (!member.isListed) {
      continue;
    }
    ++listed;
    const bool isCurrent =
      member.versionConfirmedAt != TimePoint{} &&
      aContext.now() - member.versionConfirmedAt <= aContext.settings().freshnessLimit;
    if (isCurrent && member.version <= mConfigurationRow.version) {
      ++confirmed;
    }
  }
  // Both counts include this daemon.
  return listed > 0 && 2 * (confirmed + 1) > listed + 1;
}

bool View::IsFresh(const Context& aContext) const
{
  if (!aContext.IsEnabled(Mechanism::kFreshnessLimit)) {
    return true;
  }
  const bool isConfirmed =
    mTableConfirmedAt && aContext.now() - *mTableConfirmedAt <= aContext.settings().freshnessLimit;
  return isConfirmed || IsConfirmedByMajority(aContext);
}

void View::UpdateReadiness(Context& aContext)
{
  if (mReadiness == Readiness::kStopping) {
    return;
  }
  Readiness readiness = Readiness::kStarting;
  if (mConfigurationRow.version.value > 0 && mHasHostList) {
    readiness = IsFresh(aContext) ? Readiness::kReady : Readiness::kStale;
  }
  if (readiness != mReadiness) {
    mReadiness = readiness;
    aContext.Emit(PublishReadiness{ readiness });
  }
}

void View::RecordLeaving(Context& aContext, const EndpointId& aEndpoint)
{
  const auto found = mEndpoints.find(aEndpoint);
  if (found == mEndpoints.end() || found->second.state == EndpointState::kLeaving) {
    return;
  }
  found->second.state = EndpointState::kLeaving;
  mLeavingBootIds[aEndpoint] = found->second.bootId;
  mLeavingReportedAt[aEndpoint] = aContext.now();
  if (aContext.IsEnabled(Mechanism::kLeavingNotice)) {
    Broadcast(aContext, EndpointLeavingMessage{ aEndpoint, found->second.bootId });
  }
}

void View::RepeatLeavingNotices(Context& aContext, const DaemonId& aDaemon)
{
  if (!aContext.IsEnabled(Mechanism::kLeavingNotice)) {
    return;
  }
  for (const auto& [endpoint, reportedAt] : mLeavingReportedAt) {
    const auto boot = mLeavingBootIds.find(endpoint);
    if (boot != mLeavingBootIds.end() && aContext.now() - reportedAt <= kLeavingNoticeRepeatTime) {
      SendTo(aContext, aDaemon, EndpointLeavingMessage{ endpoint, boot->second });
    }
  }
}

void View::RecordRefusedConnection(const Context& aContext, const EndpointId& aEndpoint)
{
  const auto found = mEndpoints.find(aEndpoint);
  if (found != mEndpoints.end()) {
    found->second.refusedUntil = aContext.now() + kRefusedConnectionBackoff;
  }
}

void View::SetStopping(Context& aContext)
{
  if (mReadiness == Readiness::kStopping) {
    return;
  }
  mReadiness = Readiness::kStopping;
  aContext.Emit(PublishReadiness{ mReadiness });
}

void View::SendTo(Context& aContext, const DaemonId& aDaemon, Message aMessage) const
{
  const Member* member = FindMember(aDaemon);
  if (member == nullptr || member->address.empty()) {
    return;
  }
  aContext.Emit(SendMessage{ aDaemon, member->address, std::move(aMessage) });
}

void View::Broadcast(Context& aContext, const Message& aMessage) const
{
  for (const auto& [id, member] : mMembers) {
    SendTo(aContext, id, aMessage);
  }
}

void View::Dump(std::vector<DumpEntry>& aOut, TimePoint aNow) const
{
  aOut.push_back({ "view.configuration", std::to_string(mConfigurationRow.version.value) });
  aOut.push_back({ "view.readiness", std::to_string(static_cast<int>(mReadiness)) });
  for (const auto& [id, member] : mMembers) {
    const std::string path = "view.members." + id.str();
    const auto age =
      member.lastMessageAt
        ? std::chrono::duration_cast<std::chrono::milliseconds>(aNow - *member.lastMessageAt)
        : -1ms;
    aOut.push_back({ path + ".heard_ms_ago", std::to_string(age.count()) });
    aOut.push_back({ path + ".configuration", std::to_string(member.version.value) });
  }
  for (const auto& [id, info] : mEndpoints) {
    aOut.push_back(
      { "view.endpoints." + id.str(), info.state == EndpointState::kLive ? "live" : "leaving" });
  }
}

} // namespace rhubarbtrail

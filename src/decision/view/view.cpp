/* Updates of the view by host lists, messages, table reads and time. */
#include "decision/view/view_base.h"

#include "decision/rendezvous_func.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Time for which no requests are sent to an endpoint after it refused a connection. */
constexpr Duration kRefusedPause = 500ms;
/* Time for which a leaving notice is repeated with each heartbeat, because messages may be lost. */
constexpr Duration kLeavingRepeat = 10s;

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
  if (mHostsKnown && member != nullptr && member->wasListed && !member->listed) {
    return true; // The daemon was on the host list and no longer is.
  }
  const TimePoint now = aContext.now();
  const Duration limit = aContext.settings().memberTimeout;
  const bool isHeard = member != nullptr && member->heardAt && now - *member->heardAt <= limit;
  if (!mHostsKnown || isHeard || (member != nullptr && member->listed)) {
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
    if (!member.heardAt || aContext.now() - *member.heardAt > aContext.settings().memberTimeout) {
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
  std::size_t better = 0;
  for (const auto& [id, member] : mMembers) {
    // Right after the start no messages have arrived. Then listed daemons count, so that daemons
    // that start together do not all rank themselves first.
    const bool isHeard =
      member.heardAt
        ? aContext.now() - *member.heardAt <= aContext.settings().memberTimeout
        : member.listed && aContext.now() - mHostsKnownSince <= aContext.settings().memberTimeout;
    if (!isHeard ||
        std::pair{ RendezvousWeight(aKey, id.str()), std::string_view{ id.str() } } < own) {
      continue;
    }
    if (++better >= aCount) {
      return false;
    }
  }
  return true;
}

void View::OnHostList(Context& aContext, const HostListReceived& aList)
{
  mHostsKnownSince = mHostsKnown ? mHostsKnownSince : aContext.now();
  mHostsKnown = true;
  for (auto& [id, info] : mEndpoints) {
    info.state = EndpointState::kGone;
  }
  for (auto& [id, member] : mMembers) {
    member.listed = false;
  }
  for (const HostEntry& host : aList.hosts) {
    if (host.kind == HostKind::kDaemon) {
      if (host.id == aContext.self().daemon.str()) {
        continue;
      }
      Member& member = mMembers[DaemonId{ host.id }];
      member.id = DaemonId{ host.id };
      member.address = host.address;
      member.listed = true;
      member.wasListed = true;
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
      mLeavingBoots[info.id] = host.bootId; // A later list may lag and show it as live.
    }
    const auto leaving = mLeavingBoots.find(info.id);
    const bool knownLeaving = leaving != mLeavingBoots.end() && leaving->second == host.bootId;
    info.state = host.state == HostState::kDrained || knownLeaving ? EndpointState::kLeaving
                                                                   : EndpointState::kLive;
  }
  std::erase_if(mEndpoints,
                [](const auto& aItem) { return aItem.second.state == EndpointState::kGone; });
  mEndpointsOf.clear();
  for (const auto& [id, info] : mEndpoints) {
    mEndpointsOf[info.service].push_back(id);
  }
  std::erase_if(mLeavingBoots,
                [this](const auto& aItem) { return !mEndpoints.contains(aItem.first); });
  std::erase_if(mLeavingSaid,
                [this](const auto& aItem) { return !mLeavingBoots.contains(aItem.first); });
  std::erase_if(mMembers, [&](const auto& aItem) {
    const Member& member = aItem.second;
    const TimePoint lastSeen = std::max(member.heardAt.value_or(TimePoint{}), member.lastListedAt);
    return !member.listed && aContext.now() - lastSeen > 2 * aContext.settings().memberTimeout;
  });
}

void View::NoteMember(Context& aContext, const Incarnation& aFrom, ConfigVersion aVersion)
{
  Member& member = mMembers[aFrom.daemon];
  member.id = aFrom.daemon;
  member.incarnation = aFrom.id;
  member.version = std::max(member.version, aVersion);
  member.heardAt = aContext.now();
}

void View::OnMessage(Context& aContext, const MessageReceived& aReceived)
{
  NoteMember(aContext, aReceived.from, aReceived.senderVersion);
  if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&aReceived.message)) {
    OnHeartbeat(aContext, aReceived, *heartbeat);
  } else if (const auto* wanted = std::get_if<ConfigurationRequestMessage>(&aReceived.message)) {
    if (mRow.version >= wanted->atLeast && mRow.version.value > 0) {
      SendTo(aContext, aReceived.from.daemon, ConfigurationMessage{ mRow });
    }
  } else if (const auto* leaving = std::get_if<EndpointLeavingMessage>(&aReceived.message)) {
    const auto found = mEndpoints.find(leaving->endpoint);
    if (found != mEndpoints.end() && found->second.bootId == leaving->bootId &&
        aContext.IsEnabled(Mechanism::kLeavingNotice)) {
      found->second.state = EndpointState::kLeaving;
      mLeavingBoots[leaving->endpoint] = leaving->bootId;
    }
  }
  if (aReceived.senderVersion > mRow.version) {
    SendTo(aContext, aReceived.from.daemon, ConfigurationRequestMessage{ aReceived.senderVersion });
  }
  UpdateReadiness(aContext);
}

void View::OnHeartbeat(Context& aContext,
                       const MessageReceived& aReceived,
                       const HeartbeatMessage& aHeartbeat)
{
  if (!aHeartbeat.reply) {
    SendTo(
      aContext, aReceived.from.daemon, HeartbeatMessage{ mRow.version, true, aHeartbeat.sentAt });
    return;
  }
  // An answer is at least as recent as its request, so the age of the information is counted from
  // the sending of the request, however long the answer took.
  Member& member = mMembers[aReceived.from.daemon];
  if (aHeartbeat.sentAt.count() > 0) {
    member.confirmedAt = std::max(member.confirmedAt, TimePoint{ aHeartbeat.sentAt });
  }
}

void View::OnReadResult(Context& aContext, const ReadResult& aResult)
{
  if (aResult.read != mPoll) {
    return;
  }
  mPoll = {};
  // The row was read at or after the start of the poll, so its age is counted from that start.
  if (aResult.ok) {
    const Row* head = aResult.rows.empty() ? nullptr : &aResult.rows.front();
    const auto* row =
      head != nullptr && head->value ? std::get_if<ConfigurationRow>(&*head->value) : nullptr;
    if (row == nullptr || row->version <= mRow.version) {
      mConfirmedAt = mPollStarted;
    }
  }
  mNextPoll = aContext.now() + aContext.settings().configurationPoll;
  aContext.WakeBy(mNextPoll);
  UpdateReadiness(aContext);
}

void View::OnConfiguration(Context& aContext, const ConfigurationLoaded& aLoaded)
{
  const bool isOlder = aLoaded.row.version <= mRow.version;
  if (isOlder && aContext.IsEnabled(Mechanism::kVersionMonotonic)) {
    return;
  }
  mRow = aLoaded.row;
  mConfiguration = aLoaded.configuration;
  aContext.Emit(PublishConfiguration{ mConfiguration });
  Broadcast(aContext, HeartbeatMessage{ mRow.version, true });
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
  if (mPoll.empty() && mNextPoll <= aContext.now()) {
    mPoll = ChangeId{ aContext.NewName() };
    mPollStarted = aContext.now();
    aContext.Emit(TableRead{ mPoll, { ConfigurationHeadKey() } });
  }
  if (mPoll.empty()) {
    aContext.WakeBy(mNextPoll);
  }
}

void View::SendHeartbeats(Context& aContext)
{
  for (auto& [id, member] : mMembers) {
    if (member.address.empty()) {
      continue;
    }
    if (member.nextHeartbeat <= aContext.now()) {
      member.nextHeartbeat = aContext.now() + aContext.settings().heartbeatInterval;
      SendTo(
        aContext, id, HeartbeatMessage{ mRow.version, false, aContext.now().time_since_epoch() });
      RepeatLeaving(aContext, id);
    }
    aContext.WakeBy(member.nextHeartbeat);
  }
}

bool View::HearsMajority(const Context& aContext) const
{
  std::size_t listed = 0;
  std::size_t heard = 0;
  for (const auto& [id, member] : mMembers) {
    if (!member.listed) {
      continue;
    }
    ++listed;
    const bool isCurrent =
      member.confirmedAt != TimePoint{} &&
      aContext.now() - member.confirmedAt <= aContext.settings().freshnessLimit;
    if (isCurrent && member.version <= mRow.version) {
      ++heard;
    }
  }
  // Both counts include this daemon.
  return listed > 0 && 2 * (heard + 1) > listed + 1;
}

bool View::IsFresh(const Context& aContext) const
{
  if (!aContext.IsEnabled(Mechanism::kFreshnessLimit)) {
    return true;
  }
  const bool isConfirmed =
    mConfirmedAt && aContext.now() - *mConfirmedAt <= aContext.settings().freshnessLimit;
  return isConfirmed || HearsMajority(aContext);
}

void View::UpdateReadiness(Context& aContext)
{
  if (mReadiness == Readiness::kStopping) {
    return;
  }
  Readiness readiness = Readiness::kStarting;
  if (mRow.version.value > 0 && mHostsKnown) {
    readiness = IsFresh(aContext) ? Readiness::kReady : Readiness::kStale;
  }
  if (readiness != mReadiness) {
    mReadiness = readiness;
    aContext.Emit(PublishReadiness{ readiness });
  }
}

void View::NoteLeaving(Context& aContext, const EndpointId& aEndpoint)
{
  const auto found = mEndpoints.find(aEndpoint);
  if (found == mEndpoints.end() || found->second.state == EndpointState::kLeaving) {
    return;
  }
  found->second.state = EndpointState::kLeaving;
  mLeavingBoots[aEndpoint] = found->second.bootId;
  mLeavingSaid[aEndpoint] = aContext.now();
  if (aContext.IsEnabled(Mechanism::kLeavingNotice)) {
    Broadcast(aContext, EndpointLeavingMessage{ aEndpoint, found->second.bootId });
  }
}

void View::RepeatLeaving(Context& aContext, const DaemonId& aDaemon)
{
  if (!aContext.IsEnabled(Mechanism::kLeavingNotice)) {
    return;
  }
  for (const auto& [endpoint, saidAt] : mLeavingSaid) {
    const auto boot = mLeavingBoots.find(endpoint);
    if (boot != mLeavingBoots.end() && aContext.now() - saidAt <= kLeavingRepeat) {
      SendTo(aContext, aDaemon, EndpointLeavingMessage{ endpoint, boot->second });
    }
  }
}

void View::NoteRefused(const Context& aContext, const EndpointId& aEndpoint)
{
  const auto found = mEndpoints.find(aEndpoint);
  if (found != mEndpoints.end()) {
    found->second.refusedUntil = aContext.now() + kRefusedPause;
  }
}

void View::NoteStopping(Context& aContext)
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
  aOut.push_back({ "view.configuration", std::to_string(mRow.version.value) });
  aOut.push_back({ "view.readiness", std::to_string(static_cast<int>(mReadiness)) });
  for (const auto& [id, member] : mMembers) {
    const std::string path = "view.members." + id.str();
    const auto age =
      member.heardAt ? std::chrono::duration_cast<std::chrono::milliseconds>(aNow - *member.heardAt)
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

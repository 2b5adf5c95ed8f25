/* Fleet membership of this daemon: order lease, messages between daemons, dispatcher. */
#include "fleet/fleet_member.h"

#include "core/boot_clock.h"
#include "core/overloaded.h"
#include "platform/runner_decoder.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Interval of the periodic work in Tick(). */
constexpr Duration kTickInterval = 50ms;
/* Intervals of the heartbeats: the dispatcher's to its members, and the hellos of the others to the
 * dispatcher. */
constexpr Duration kBeaconInterval = 400ms;
constexpr Duration kHelloInterval = 800ms;
/* Time without a heartbeat after which a daemon treats the dispatcher as unreachable, and time
 * without any message after which the dispatcher removes a member. */
constexpr Duration kDispatcherSilence = 1'300ms;
constexpr Duration kMemberSilence = 2'500ms;
/* Time limits for a runner's answer to an order, for its report, and for connecting to it. */
constexpr Duration kOrderLimit = 400ms;
constexpr Duration kReportLimit = 400ms;
constexpr Duration kRunnerConnectLimit = 250ms;
/* Table and key of the lease row in the store. */
constexpr const char* kFleetTable = "rhubarbtrail";
constexpr const char* kLeaseKey = "lease";

} // namespace

FleetMember::FleetMember(FleetMemberServices aServices, FleetMemberOptions aOptions)
  : mServices(std::move(aServices))
  , mOptions(std::move(aOptions))
  , mLease({ .self = mOptions.self,
             .incarnation = mOptions.incarnation,
             .address = mOptions.address,
             .spacing = mOptions.leaseSpacing,
             .headStart = mOptions.headStart })
  , mLink(mServices.loop,
          { .address = mOptions.address },
          { .onMessage = [this](const std::string& aBytes) { OnMessage(aBytes); },
            .onBroken =
              [this](const std::string& aAddress) {
                if (mIsLinked && aAddress == mLinkedTo.address) {
                  LoseDispatcher("connection_ended");
                }
              } })
  , mTimer(mServices.loop)
  , mDispatchTimer(mServices.loop)
{
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
  mDispatchTimer.cancel();
  mLink.Close();
}

void FleetMember::Tick()
{
  const TimePoint now = BootTime();
  if (const auto action = mLease.Tick(now)) {
    Carry(*action);
  }
  NoteHolder();
  if (isDispatcher()) {
    if (now >= mNextBeacon) {
      mNextBeacon = now + kBeaconInterval;
      SendBeacons();
    }
    CheckMembers(now);
  } else if (now >= mNextHello) {
    mNextHello = now + kHelloInterval;
    SendHello();
  }
  if (mIsLinked && now - mBeaconAt > kDispatcherSilence) {
    LoseDispatcher("silent");
  }
  mLink.CheckSilence(now);
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError && !mIsClosed) {
      Tick();
    }
  });
}

void FleetMember::Carry(const fleet::LeaseAction& aAction)
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
      NoteHolder();
    }
  });
}

void FleetMember::WriteLease(const fleet::WriteLease& aWrite)
{
  mServices.store.Write({ .table = kFleetTable,
                          .key = kLeaseKey,
                          .value = EncodeLeaseRow(aWrite.row),
                          .expected = aWrite.expected },
                        [this](const StoreResult& aResult) {
                          if (!mIsClosed) {
                            OnLeaseWritten(aResult);
                            NoteHolder();
                          }
                        });
}

void FleetMember::OnLeaseRead(const StoreResult& aResult)
{
  const TimePoint now = BootTime();
  if (aResult.outcome != StoreOutcome::kDone) {
    mLease.OnReadFailed(now);
    return;
  }
  for (const auto& row : aResult.answer.rows) {
    if (row.key != kLeaseKey) {
      continue;
    }
    const auto lease = DecodeLeaseRow(row.value);
    if (!lease) {
      mServices.log.Write("lease_unreadable",
                          { { "row_version", row.version.value }, { "reason", lease.error() } });
    }
    mLease.OnRead(now, lease.value_or(fleet::LeaseRow{}), row.version);
    return;
  }
  mLease.OnRead(now, {}, {});
}

void FleetMember::OnLeaseWritten(const StoreResult& aResult)
{
  const TimePoint now = BootTime();
  switch (aResult.outcome) {
    case StoreOutcome::kDone:
      mLease.OnWritten(now, aResult.answer.newest);
      return;
    case StoreOutcome::kConflict:
      for (const auto& row : aResult.answer.rows) {
        if (row.key == kLeaseKey) {
          mLease.OnConflict(
            now, DecodeLeaseRow(row.value).value_or(fleet::LeaseRow{}), row.version);
          return;
        }
      }
      mLease.OnConflict(now, {}, {});
      return;
    case StoreOutcome::kHistoryGone:
    case StoreOutcome::kUnavailable:
      mLease.OnWriteFailed(now, false);
      break;
    case StoreOutcome::kUnknown:
      mLease.OnWriteFailed(now, true);
      break;
  }
  if (isDispatcher()) {
    mServices.log.Write("lease_renewal_failed",
                        { { "outcome", ToString(aResult.outcome) },
                          { "reason", aResult.reason },
                          { "row_version", mLease.version().value } });
  }
}

/* Applies the current state of the lease. Logs a change of the holder. Clears the dispatcher's
 * state when another holder follows this daemon. When this daemon takes the lease while it still
 * receives another dispatcher's heartbeats, sends its open placement requests and assignments to
 * its own dispatcher. Updates the dispatcher's order permission. */
void FleetMember::NoteHolder()
{
  const TimePoint now = BootTime();
  const bool isHolder = isDispatcher();
  const std::string holder = mLease.row().holder.str() + "/" + mLease.row().incarnation.str();
  if (holder != mKnownHolder) {
    const bool wasHolder = mKnownHolder == mOptions.self.str() + "/" + mOptions.incarnation.str();
    mServices.log.Write("holder_changed",
                        { { "holder", mLease.row().holder },
                          { "former", mKnownHolder },
                          { "row_version", mLease.version().value },
                          { "fence", mLease.fence().value } });
    mKnownHolder = holder;
    if (wasHolder && !isHolder) {
      mMembers.clear();
      mServices.dispatcher.Clear();
      mServices.placement.OnLost();
    }
    mNextHello = now;
  }
  if (isHolder && mIsLinked) {
    mIsLinked = false;
    mServices.placement.OnNewDispatcher();
  }
  const bool mayOrder = mLease.MayOrder(now);
  if (mayOrder != mCouldOrder) {
    mCouldOrder = mayOrder;
    mServices.log.Write(mayOrder ? "orders_allowed" : "orders_stopped",
                        { { "row_version", mLease.version().value },
                          { "fence", mLease.fence().value },
                          { "holder", mLease.row().holder } });
  }
  mServices.dispatcher.SetOrderRight(
    { .mayOrder = mayOrder, .holder = mOptions.self.str(), .fence = mLease.fence() });
}

void FleetMember::Send(const std::string& aAddress, FleetBody aBody)
{
  mLink.Send(
    aAddress,
    EncodeFleetMessage(
      { .from = mOptions.self, .incarnation = mOptions.incarnation, .body = std::move(aBody) }));
}

BeaconMessage FleetMember::Beacon() const
{
  return { .lease = mLease.row(),
           .version = mLease.version(),
           .state = mLease.state(BootTime()),
           .daemons = static_cast<std::uint32_t>(mMembers.size()) + 1 };
}

void FleetMember::SendBeacons()
{
  mServices.onDaemonCount(static_cast<std::uint32_t>(mMembers.size()) + 1);
  const BeaconMessage beacon = Beacon();
  for (const auto& [id, member] : mMembers) {
    Send(member.address, beacon);
  }
}

void FleetMember::SendHello()
{
  const auto& row = mLease.row();
  if (!row.holder.empty() && row.holder != mOptions.self && !row.address.empty()) {
    Send(row.address, HelloMessage{ .zone = mOptions.zone, .address = mOptions.address });
  }
}

void FleetMember::CheckMembers(TimePoint aNow)
{
  std::erase_if(mMembers, [&](const auto& aItem) {
    const auto& [id, member] = aItem;
    if (aNow - member.heardAt <= kMemberSilence) {
      return false;
    }
    mServices.log.Write("member_lost",
                        { { "member", id }, { "silent_ms", Milliseconds(aNow - member.heardAt) } });
    mServices.dispatcher.OnDaemonLost(id);
    mLink.Disconnect(member.address);
    return true;
  });
}

void FleetMember::LoseDispatcher(std::string_view aWhy)
{
  if (!std::exchange(mIsLinked, false)) {
    return;
  }
  mServices.log.Write("dispatcher_lost",
                      { { "dispatcher", mLinkedTo.holder },
                        { "why", aWhy },
                        { "heard_ms_ago", Milliseconds(BootTime() - mBeaconAt) } });
  mLink.Disconnect(mLinkedTo.address);
  mServices.placement.OnLost();
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
  if (const auto member = mMembers.find(message->from);
      member != mMembers.end() && member->second.incarnation == message->incarnation) {
    member->second.heardAt = BootTime();
  }
  std::visit(
    Overloaded{ [&](const HelloMessage& aHello) { OnHello(*message, aHello); },
                [&](const BeaconMessage& aBeacon) { OnBeacon(*message, aBeacon); },
                [&](const SuspectMessage& aSuspect) { OnSuspect(*message, aSuspect); },
                [&](const fleet::PlacementReply& aReply) { mServices.placement.OnReply(aReply); },
                [&](const auto& aQuestion) {
                  if (isDispatcher()) {
                    Dispatch(message->from, fleet::DispatchMessage{ aQuestion });
                  } else {
                    Disown(message->from, fleet::DispatchMessage{ aQuestion });
                  }
                } },
    message->body);
}

/* Answers a placement request that arrives although this daemon is not the dispatcher, so that the
 * sender does not wait for a reply. Other messages are ignored. */
void FleetMember::Disown(const DaemonId& aFrom, const fleet::DispatchMessage& aMessage)
{
  const auto* ask = std::get_if<fleet::PlacementAsk>(&aMessage);
  const auto address = mAddresses.find(aFrom);
  if (ask != nullptr && address != mAddresses.end()) {
    Send(address->second, fleet::PlacementReply{ .id = ask->id, .answer = fleet::PlaceUnknown{} });
  }
}

void FleetMember::OnHello(const FleetMessage& aMessage, const HelloMessage& aHello)
{
  mAddresses[aMessage.from] = aHello.address;
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
                              .heardAt = BootTime() };
  if (isNew) {
    Send(aHello.address, Beacon());
  }
}

void FleetMember::OnBeacon(const FleetMessage& aMessage, const BeaconMessage& aBeacon)
{
  const TimePoint now = BootTime();
  if (aMessage.from != aBeacon.lease.holder || aBeacon.version < mLease.version()) {
    return; // From a former holder that has not yet noticed that it lost the lease.
  }
  mLease.OnHolderHeard(now, aBeacon.lease, aBeacon.version, aBeacon.state);
  NoteHolder();
  if (isDispatcher()) {
    return;
  }
  const bool isNew = !mIsLinked || mLinkedTo.incarnation != aBeacon.lease.incarnation;
  if (isNew && mIsLinked && mLinkedTo.address != aBeacon.lease.address) {
    mLink.Disconnect(mLinkedTo.address);
  }
  mLinkedTo = aBeacon.lease;
  mIsLinked = true;
  mBeaconAt = now;
  mServices.onDaemonCount(aBeacon.daemons);
  if (isNew) {
    mServices.log.Write(
      "dispatcher_found",
      { { "dispatcher", aBeacon.lease.holder }, { "row_version", aBeacon.version.value } });
    SendHello();
    mServices.placement.OnNewDispatcher();
  }
}

void FleetMember::OnSuspect(const FleetMessage& aMessage, const SuspectMessage& aSuspect)
{
  mServices.onSuspect(aSuspect);
  if (!isDispatcher()) {
    return;
  }
  for (const auto& [id, member] : mMembers) {
    if (id != aMessage.from) {
      Send(member.address, aSuspect);
    }
  }
}

void FleetMember::ReportSuspect(const SuspectMessage& aMessage)
{
  if (isDispatcher()) {
    for (const auto& [id, member] : mMembers) {
      Send(member.address, aMessage);
    }
  } else if (mIsLinked) {
    Send(mLinkedTo.address, aMessage);
  }
}

bool FleetMember::ToDispatcher(const fleet::DispatchMessage& aMessage)
{
  if (isDispatcher()) {
    Dispatch(mOptions.self, aMessage);
    return true;
  }
  if (!mIsLinked) {
    return false;
  }
  std::visit([this](const auto& aBody) { Send(mLinkedTo.address, aBody); }, aMessage);
  return true;
}

void FleetMember::Dispatch(const DaemonId& aFrom, const fleet::DispatchMessage& aMessage)
{
  const TimePoint now = BootTime();
  std::visit(Overloaded{ [&](const fleet::PlacementAsk& aAsk) {
                          mServices.dispatcher.OnAsk(now, aAsk, ZoneOf(aFrom));
                        },
                         [&](const fleet::PlaceReleased& aReleased) {
                           mServices.dispatcher.OnReleased(now, aReleased);
                         },
                         [&](const fleet::PlaceInUse& aPlace) {
                           mServices.dispatcher.OnPlaceInUse(now, aPlace);
                         } },
             aMessage);
  TickDispatcherSoon();
}

ZoneId FleetMember::ZoneOf(const DaemonId& aDaemon) const
{
  const auto found = mMembers.find(aDaemon);
  return found == mMembers.end() ? mOptions.zone : found->second.zone;
}

void FleetMember::TickDispatcherSoon()
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
  NoteHolder();
  const TimePoint now = BootTime();
  for (const auto& action : mServices.dispatcher.Tick(now)) {
    Carry(action);
  }
  const Duration pause = std::max(mServices.dispatcher.nextWake() - BootTime(),
                                  Duration{ std::chrono::milliseconds{ 1 } });
  mDispatchTimer.expires_after(pause);
  mDispatchTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError && !mIsClosed) {
      TickDispatcher();
    }
  });
}

void FleetMember::Carry(const fleet::DispatchAction& aAction)
{
  std::visit(Overloaded{ [this](const fleet::PlacementReply& aReply) { Answer(aReply); },
                         [this](const fleet::RunnerOrder& aOrder) { GiveOrder(aOrder); },
                         [this](const fleet::ReportWanted& aWanted) { FetchReport(aWanted); },
                         [this](const fleet::DispatchNote& aNote) {
                           mServices.log.Write(aNote.event,
                                               { { "id", aNote.request },
                                                 { "endpoint", aNote.runner },
                                                 { "model", aNote.model.model },
                                                 { "adapter", aNote.model.adapter },
                                                 { "why", aNote.why },
                                                 { "time_ms", Milliseconds(aNote.time) },
                                                 { "count", aNote.count },
                                                 { "fence", mLease.fence().value } });
                         } },
             aAction);
}

void FleetMember::Answer(const fleet::PlacementReply& aReply)
{
  if (aReply.id.daemon == mOptions.self) {
    mServices.placement.OnReply(aReply);
    return;
  }
  if (const auto member = mMembers.find(aReply.id.daemon); member != mMembers.end()) {
    Send(member->second.address, aReply);
  }
}

void FleetMember::GiveOrder(const fleet::RunnerOrder& aOrder)
{
  // Checked again: the host may have been suspended since the dispatcher decided, and the
  // permission to give orders may have expired meanwhile. BootTime() counts suspensions.
  if (!mLease.MayOrder(BootTime())) {
    mServices.dispatcher.OnOrderResult(BootTime(), aOrder.runner, fleet::OrderOutcome::kNotSent);
    return;
  }
  if (aOrder.subject.adapter.empty()) {
    mServices.metrics.Count(aOrder.kind == fleet::OrderKind::kLoad ? Counter::kModelLoads
                                                                   : Counter::kModelUnloads);
  } else if (aOrder.kind == fleet::OrderKind::kLoad) {
    mServices.metrics.Count(Counter::kAdapterLoads);
  }
  auto status = std::make_shared<unsigned>(0);
  mServices.client.Start(
    { .address = aOrder.address,
      .request = platform::EncodeOrder(aOrder),
      .reuse = http::Reuse::kAllowed,
      .connectTime = kRunnerConnectLimit,
      .answerTime = kOrderLimit,
      .silenceTime = kOrderLimit },
    { .onHead =
        [status](const http::AnswerHead& aHead) {
          *status = aHead.status;
          return true;
        },
      .onBody = [](std::string_view) {},
      .onEnd =
        [this, status, order = aOrder](http::CallResult aResult) {
          const fleet::OrderOutcome outcome = aResult == http::CallResult::kNotConnected
                                                ? fleet::OrderOutcome::kNotSent
                                              : *status == 0 ? fleet::OrderOutcome::kUnknown
                                                             : platform::DecodeOrderAnswer(*status);
          const bool isExpected =
            outcome == fleet::OrderOutcome::kAccepted || outcome == fleet::OrderOutcome::kHolds;
          mServices.log.Write(isExpected ? "order_answered" : "order_refused",
                              { { "endpoint", order.runner },
                                { "model", order.subject.model },
                                { "adapter", order.subject.adapter },
                                { "status", *status },
                                { "result", http::ToString(aResult) },
                                { "expected_count", order.expectedOrderCount },
                                { "fence", order.fence.value } });
          mServices.dispatcher.OnOrderResult(BootTime(), order.runner, outcome);
          TickDispatcherSoon();
        } });
}

void FleetMember::FetchReport(const fleet::ReportWanted& aWanted)
{
  struct Progress
  {
    unsigned status = 0;
    std::string body;
  };
  auto progress = std::make_shared<Progress>();
  mServices.client.Start(
    { .address = aWanted.address,
      .request = platform::EncodeReportCall(aWanted.runner),
      .connectTime = kRunnerConnectLimit,
      .answerTime = kReportLimit,
      .silenceTime = kReportLimit },
    { .onHead =
        [progress](const http::AnswerHead& aHead) {
          progress->status = aHead.status;
          return true;
        },
      .onBody = [progress](std::string_view aBytes) { progress->body += aBytes; },
      .onEnd =
        [this, progress, runner = aWanted.runner](http::CallResult aResult) {
          constexpr unsigned kOk = 200;
          const bool isWhole = aResult == http::CallResult::kComplete && progress->status == kOk;
          const auto report = isWhole ? platform::DecodeRunnerReport(progress->body)
                                      : tl::make_unexpected(std::string{ http::ToString(aResult) });
          if (!report) {
            mServices.log.Write("report_failed",
                                { { "endpoint", runner },
                                  { "status", progress->status },
                                  { "reason", report.error() } });
          }
          mServices.dispatcher.OnReport(BootTime(), runner, report ? &*report : nullptr);
          TickDispatcherSoon();
        } });
}

} // namespace rhubarbtrail

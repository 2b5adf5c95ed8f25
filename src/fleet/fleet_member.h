/* This daemon as a member of the fleet: it finds the dispatcher, or is it. */
#ifndef RHUBARBTRAIL_FLEET_FLEET_MEMBER_H
#define RHUBARBTRAIL_FLEET_FLEET_MEMBER_H

#include "core/event_log.h"
#include "core/metrics.h"
#include "decision/fleet/dispatcher.h"
#include "decision/fleet/order_lease.h"
#include "fleet/fleet_message.h"
#include "fleet/store_client.h"
#include "gateway/placement_client.h"
#include "peer/fleet_link.h"

#include <boost/asio/steady_timer.hpp>
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
  std::string address; ///< Of this daemon's link.
  Duration leaseSpacing = 3s;
  Duration headStart{};
};

/* What the member needs of the daemon around it. */
struct FleetMemberServices
{
  boost::asio::io_context& loop;
  http::Client& client;
  StoreClient& store;
  EventLog& log;
  Metrics& metrics;
  PlacementClient& placement;
  fleet::Dispatcher& dispatcher;
  std::function<void(const SuspectMessage&)> onSuspect;
  std::function<void(std::uint32_t)> onDaemonCount;
};

class FleetMember
{
public:
  FleetMember(FleetMemberServices aServices, FleetMemberOptions aOptions);

  /* Starts listening and looking for the dispatcher; returns why not, or an empty text. */
  std::string Start();
  /* Hands the lease back; IsReleased() tells when that is done. */
  void Release();
  bool IsReleased() const;
  void Close();

  /* Sends a message to the dispatcher, or takes it where this daemon is the dispatcher. Returns
   * false when no dispatcher can be reached. */
  bool ToDispatcher(const fleet::DispatchMessage& aMessage);
  /* Tells the other daemons of a request that ended a runner's process, or was cleared of it. */
  void ReportSuspect(const SuspectMessage& aMessage);
  /* Something that the dispatcher decides by has changed. */
  void OnChange() { TickDispatcherSoon(); }

  bool isDispatcher() const { return mLease.isHolder(); }
  bool HasDispatcher() const { return isDispatcher() || mIsLinked; }
  const fleet::LeaseRow& lease() const { return mLease.row(); }
  std::size_t memberCount() const { return mMembers.size(); }

private:
  /* Another daemon, as the dispatcher knows it. */
  struct Member
  {
    IncarnationId incarnation;
    std::string address;
    ZoneId zone;
    TimePoint heardAt{};
  };

  // The lease.
  void Tick();
  void Carry(const fleet::LeaseAction& aAction);
  void ReadLease();
  void WriteLease(const fleet::WriteLease& aWrite);
  void OnLeaseRead(const StoreResult& aResult);
  void OnLeaseWritten(const StoreResult& aResult);
  void NoteHolder();

  // Messages.
  void Send(const std::string& aAddress, FleetBody aBody);
  void OnMessage(const std::string& aBytes);
  void OnHello(const FleetMessage& aMessage, const HelloMessage& aHello);
  void OnBeacon(const FleetMessage& aMessage, const BeaconMessage& aBeacon);
  void OnSuspect(const FleetMessage& aMessage, const SuspectMessage& aSuspect);
  void Dispatch(const DaemonId& aFrom, const fleet::DispatchMessage& aMessage);
  void Disown(const DaemonId& aFrom, const fleet::DispatchMessage& aMessage);
  void SendBeacons();
  void SendHello();
  void CheckMembers(TimePoint aNow);
  void LoseDispatcher(std::string_view aWhy);
  BeaconMessage Beacon() const;

  // The dispatcher.
  void TickDispatcherSoon();
  void TickDispatcher();
  void Carry(const fleet::DispatchAction& aAction);
  void Answer(const fleet::PlacementReply& aReply);
  void GiveOrder(const fleet::RunnerOrder& aOrder);
  void FetchReport(const fleet::ReportWanted& aWanted);
  ZoneId ZoneOf(const DaemonId& aDaemon) const;

  FleetMemberServices mServices;
  FleetMemberOptions mOptions;
  fleet::OrderLease mLease;
  FleetLink mLink;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mDispatchTimer;
  std::map<DaemonId, Member> mMembers;
  std::map<DaemonId, std::string> mAddresses; ///< Of all daemons that made themselves known.
  bool mIsLinked = false;    ///< The dispatcher, another daemon, was heard of lately.
  fleet::LeaseRow mLinkedTo; ///< The dispatcher that questions go to.
  TimePoint mBeaconAt{};     ///< When the dispatcher was last heard of.
  TimePoint mNextBeacon{};
  TimePoint mNextHello{};
  std::string mKnownHolder; ///< As last logged.
  bool mCouldOrder = false;
  bool mIsTickPosted = false;
  bool mIsClosed = false;
};

} // namespace rhubarbtrail

#endif

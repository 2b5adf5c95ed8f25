/* Exchanges reports of crashed runners with the other daemons, and quarantines requests by them. */
#ifndef RHUBARBTRAIL_DAEMON_CRASH_REPORTS_H
#define RHUBARBTRAIL_DAEMON_CRASH_REPORTS_H

#include "core/event_log.h"
#include "fleet/fleet_member.h"
#include "gateway/gateway.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace rhubarbtrail {

class CrashReports
{
public:
  /* The references must outlive the object. */
  CrashReports(GatewayContext& aGateway, FleetMember& aMember, EventLog& aLog)
    : mGateway(aGateway)
    , mMember(aMember)
    , mLog(aLog)
  {
  }

  /* A runner's process ended while it ran a request of this daemon. The suspect has no parts if the
   * request had events of that process. */
  void OnOwnCrash(const fleet::EndpointProcess& aProcess, const fleet::CrashSuspect& aSuspect);
  /* A request of this daemon with these parts was answered. */
  void OnOwnAnswer(const ClientAccountId& aAccount, std::span<const fleet::PromptPartId> aParts);
  /* Takes another daemon's report and returns what of it is news to the others, or nothing. */
  std::optional<SuspectMessage> OnReport(const SuspectMessage& aReport);
  /* Takes over what another daemon or the store knows to be quarantined. */
  void OnQuarantined(const std::vector<fleet::PartGroup>& aGroups);

private:
  void RecordCrash(const fleet::EndpointProcess& aProcess, const fleet::CrashSuspect& aSuspect);
  void AnnounceSound(const ClientAccountId& aAccount, std::vector<fleet::PromptPartId> aParts);
  /* Logs a change and ends the requests that must not run any more. */
  void Apply(const fleet::PromptPartGuard::Change& aChange, std::string_view aSource);

  GatewayContext& mGateway;
  FleetMember& mMember;
  EventLog& mLog;
};

} // namespace rhubarbtrail

#endif

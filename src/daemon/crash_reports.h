/* Exchanges reports of crashed runners with the other daemons, and quarantines requests by them. */
#ifndef RHUBARBTRAIL_DAEMON_CRASH_REPORTS_H
#define RHUBARBTRAIL_DAEMON_CRASH_REPORTS_H

#include "core/event_log.h"
#include "decision/fleet/crash_guard.h"
#include "decision/fleet/prompt_part_guard.h"
#include "fleet/report_queue.h"

#include <compare>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarbtrail {

/* Parts of the daemon that CrashReports uses. The references must outlive it. */
struct CrashReportServices
{
  fleet::CrashGuard& crashes;
  fleet::PromptPartGuard& promptParts;
  EventLog& log;
  std::function<bool()> isDispatcher;
  /* Returns the software versions of the runners that serve now. */
  std::function<std::set<SoftwareVersion>()> versionsInUse;
  /* Sends a report to an audience. The address is that of kSender. */
  std::function<void(ReportAudience, const std::string&, const SuspectMessage&)> send;
  /* Called after parts were quarantined or cleared. */
  std::function<void()> onPartsChanged;
};

/* The dispatcher counts the crashes of the fleet. Reports go to it, and it sends copies to some
 * members. All members learn only what they must act on: which requests and parts are quarantined,
 * and which suspected parts some daemon may know to be sound. So the messages for a crash are
 * linear in the number of daemons. */
class CrashReports
{
public:
  explicit CrashReports(CrashReportServices aServices);

  /* A runner's process ended while it ran a request of this daemon. The suspect has no parts if the
   * request's stream had gone on for a while. */
  void OnOwnCrash(TimePoint aNow,
                  const fleet::EndpointProcess& aProcess,
                  const fleet::CrashSuspect& aSuspect);
  /* A request of this daemon with these parts was answered by a runner of a version. */
  void OnOwnAnswer(TimePoint aNow,
                   const ClientAccountId& aAccount,
                   std::span<const fleet::PromptPartId> aParts,
                   const SoftwareVersion& aVersion = {});
  /* A request of this daemon that was suspected of crashing runners was answered. */
  void OnOwnCleared(const FingerprintId& aRequest, bool aWasQuarantined);
  /* Returns reports of crashes by which a daemon that joins quarantines the same requests, the
   * latest ones if there are many. */
  std::vector<SuspectMessage> QuarantineReports(TimePoint aNow) const;
  /* Takes a report of another daemon, which has this address. It is empty if the daemon is not
   * known to be a member, and then it gets no answer. */
  void OnReport(TimePoint aNow, const std::string& aSender, const SuspectMessage& aReport);
  /* Takes over what another daemon or the store knows to be quarantined. */
  void OnQuarantined(TimePoint aNow,
                     const std::vector<fleet::PartGroup>& aGroups,
                     const std::vector<fleet::PartTrials>& aTrials);

private:
  /* Times by part and software version. */
  using PartTimes = std::map<std::pair<fleet::PromptPartId, SoftwareVersion>, TimePoint>;

  /* Removes the parts that were recorded less than an interval ago, and records the others. */
  static void KeepDue(TimePoint aNow,
                      Duration aInterval,
                      const SoftwareVersion& aVersion,
                      PartTimes& aTimes,
                      std::vector<fleet::PromptPartId>& aParts);

  struct CrashId
  {
    fleet::EndpointProcess process;
    FingerprintId request;

    auto operator<=>(const CrashId&) const = default;
  };

  /* Records a crash. Returns what has changed for its parts. */
  fleet::PromptPartGuard::Change RecordCrash(TimePoint aNow,
                                             const fleet::EndpointProcess& aProcess,
                                             const fleet::CrashSuspect& aSuspect);
  /* Tells the other members what they need to know of a crash. Only on the dispatcher. */
  void PublishCrash(TimePoint aNow, const SuspectMessage& aReport, std::size_t aCrashes);
  void OnCrashReport(TimePoint aNow, const std::string& aSender, const SuspectMessage& aReport);
  void OnClearance(TimePoint aNow, const SuspectMessage& aReport);
  /* Sends a report to the dispatcher, or on the dispatcher to members. */
  void Report(ReportAudience aMembers, const SuspectMessage& aReport);
  /* Notifies the other daemons that parts are sound at a version, each at most once in a while. */
  void AnnounceSound(TimePoint aNow,
                     const ClientAccountId& aAccount,
                     std::vector<fleet::PromptPartId> aParts,
                     const SoftwareVersion& aVersion);
  /* Returns whether a crash was not known, and remembers it. */
  bool IsNews(TimePoint aNow, const SuspectMessage& aReport);
  /* Logs a change and ends the requests that must not run any more. */
  void Apply(const fleet::PromptPartGuard::Change& aChange, std::string_view aSource);

  CrashReportServices mServices;
  std::map<CrashId, TimePoint> mKnownCrashes; ///< With the time of the report.
  /* When a question about a part was sent to all members, and when it was announced as sound. */
  PartTimes mAskedAt;
  PartTimes mAnnouncedAt;
};

} // namespace rhubarbtrail

#endif

/* Joins crash reports into few messages. */
#ifndef RHUBARBTRAIL_FLEET_REPORT_QUEUE_H
#define RHUBARBTRAIL_FLEET_REPORT_QUEUE_H

#include "fleet/fleet_message.h"

#include <string>
#include <vector>

namespace rhubarbtrail {

/* To whom a daemon sends a crash report. */
enum class ReportAudience : std::uint8_t
{
  kDispatcher,
  kCopies, ///< Some members, which take over the count if the dispatcher fails.
  kAllMembers,
  kSender, ///< The daemon that has sent a report, which this one answers.
};

/* Time between two messages to one audience. */
constexpr Duration kReportInterval = 200ms;
/* Largest number of reports in one message, and of reports that wait. More are left out. */
constexpr std::size_t kMaxReportsPerMessage = 64;
constexpr std::size_t kMaxQueuedReports = 512;

/* Reports that are sent in one message. */
struct ReportBatch
{
  ReportAudience audience = ReportAudience::kDispatcher;
  std::string address; ///< Of a sender; empty for the other audiences.
  std::vector<SuspectMessage> reports;
};

/* Reports that wait to be sent. The first one to an audience is due at once, and those of the next
 * kReportInterval follow in one message. So the traffic of a daemon is bounded by the second,
 * however many runners crash. */
class ReportQueue
{
public:
  /* Adds a report. Returns false if it is left out because too many wait. */
  bool Add(ReportAudience aAudience, const std::string& aAddress, SuspectMessage aReport);
  /* Removes and returns what is due. */
  std::vector<ReportBatch> TakeDue(TimePoint aNow);

private:
  struct Waiting
  {
    ReportBatch batch;
    TimePoint dueAt{};
  };

  std::vector<Waiting> mWaiting;
};

} // namespace rhubarbtrail

#endif

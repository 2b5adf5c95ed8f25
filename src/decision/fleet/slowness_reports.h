/* Decides what a daemon tells the dispatcher about the slowness that runners state. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_SLOWNESS_REPORTS_H
#define RHUBARBTRAIL_DECISION_FLEET_SLOWNESS_REPORTS_H

#include "decision/fleet/endpoint_slowness.h"

#include <map>
#include <vector>

namespace rhubarbtrail::fleet {

/* Time between two messages of a daemon, and the largest number of statements in one. */
constexpr Duration kSlownessReportInterval = 200ms;
constexpr std::size_t kMaxSlownessPerMessage = 64;

/* Load pattern: each answer of a runner states a slowness, some hundred answers a second over all
 * daemons, and the dispatcher's host has half a core. A statement is reported only if it differs
 * materially from what the dispatcher expects after this daemon's last report, which counts less
 * the older it is. So a runner that stays slow is reported again, and one at usual speed is not. */
class SlownessReports
{
public:
  /* Takes a statement, where aUsual is the mean over the service's endpoints. */
  void Record(TimePoint aNow, const SlownessStatement& aStatement, Slowness aUsual);
  /* Removes and returns what is due, with its age. */
  std::vector<SlownessStatement> TakeDue(TimePoint aNow);
  /* There is another dispatcher, which knows none of the reports. */
  void OnNewDispatcher() { mReported.clear(); }

private:
  struct Reported
  {
    std::int64_t startedAtMs = 0;
    SlownessEstimate estimate;
  };
  struct Waiting
  {
    SlownessStatement statement;
    TimePoint statedAt{};
  };

  std::map<EndpointId, Reported> mReported;
  std::map<EndpointId, Waiting> mWaiting; ///< The last statement of each endpoint.
  TimePoint mNextAt{};
};

} // namespace rhubarbtrail::fleet

#endif

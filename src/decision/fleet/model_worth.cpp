/* The worth of a model's load to waiting requests. */
#include "decision/fleet/model_worth.h"

#include "decision/fleet/dispatch_estimate.h"

#include <algorithm>
#include <tuple>

namespace rhubarbtrail::fleet {

LoadWorth WorthOfLoad(const std::vector<WaitingWork>& aWaiting, TimePoint aReadyAt)
{
  LoadWorth worth;
  for (const WaitingWork& work : aWaiting) {
    const TimePoint latest = work.deadline - kMinServiceTime;
    if (aReadyAt > latest) {
      continue;
    }
    const bool isInTime = aReadyAt <= work.latestInTime;
    worth.value += isInTime ? 1.0 : kLateAnswerValue;
    worth.priority = std::min(worth.priority, work.priority);
    worth.firstLossAt = std::min(worth.firstLossAt, isInTime ? work.latestInTime : latest);
  }
  return worth;
}

bool GoesBefore(const LoadWorth& aLeft, const LoadWorth& aRight)
{
  return std::tuple{ -aLeft.value, aLeft.priority, aLeft.firstLossAt } <
         std::tuple{ -aRight.value, aRight.priority, aRight.firstLossAt };
}

} // namespace rhubarbtrail::fleet

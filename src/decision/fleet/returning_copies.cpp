/* Copies of models on the disks of runners that crashed a short time ago, and the expected end of
 * loads from the weight store. */
#include "decision/fleet/returning_copies.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* Time after which a wait that has ended may begin again for the same model. */
constexpr Duration kRepeatedWaitInterval = 30s;
/* Added to the expected duration of a load before it counts as overdue, since the report that shows
 * its end is some hundred milliseconds old. */
constexpr Duration kOverdueMargin = 500ms;

} // namespace

bool IsWorthWaitingForCopy(const Model& aModel)
{
  return (kCopyReturnTime + aModel.diskLoadTime) * 2 < aModel.storeLoadTime;
}

void ReturningCopies::RecordLost(TimePoint aNow,
                                 const ServiceId& aService,
                                 const std::set<ModelId>& aCopies)
{
  for (const ModelId& model : aCopies) {
    mLostAt[{ aService, model }] = aNow;
  }
}

bool ReturningCopies::IsExpected(TimePoint aNow,
                                 const ServiceId& aService,
                                 const ModelId& aModel) const
{
  const auto found = mLostAt.find({ aService, aModel });
  return found != mLostAt.end() && aNow - found->second < kCopyReturnTime;
}

bool ReturningCopies::ShouldWait(TimePoint aNow,
                                 const ServiceId& aService,
                                 const ModelId& aModel,
                                 bool aIsExpected)
{
  if (!aIsExpected) {
    return false;
  }
  const auto [since, isNew] = mWaitSince.try_emplace({ aService, aModel }, aNow);
  return isNew || aNow - since->second < kCopyReturnTime;
}

void ReturningCopies::Expire(TimePoint aNow)
{
  std::erase_if(mLostAt, [&](const auto& aItem) { return aNow - aItem.second >= kCopyReturnTime; });
  std::erase_if(mWaitSince,
                [&](const auto& aItem) { return aNow - aItem.second >= kRepeatedWaitInterval; });
}

TimePoint ExpectedStoreLoadEnd(TimePoint aNow,
                               TimePoint aStart,
                               Duration aDuration,
                               std::size_t aOtherLoads)
{
  TimePoint end = aStart + aDuration;
  for (std::size_t others = 0; others < aOtherLoads && end + kOverdueMargin < aNow; ++others) {
    end += aDuration;
  }
  return std::max(end, aNow);
}

} // namespace rhubarbtrail::fleet

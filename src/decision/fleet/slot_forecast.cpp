/* Forecasts of waiting times, and the spread of retries. */
#include "decision/fleet/slot_forecast.h"

#include "decision/fleet/dispatch_estimate.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtrail::fleet {

namespace {

/* Weight of one request in the average time that slots are held, and the requests that it needs. */
constexpr double kHoldTimeWeight = 0.1;
constexpr std::uint32_t kMinHoldTimes = 8;
/* Standard deviations by which a slot may be there earlier than forecast: for a new request, and
 * for one that was let wait. Requests end at random times, so the time in which n slots become free
 * has a standard deviation of the square root of n intervals between two of them. */
constexpr double kDeviationsOfNew = 1.0;
constexpr double kDeviationsOfAdmitted = 2.0;
/* Longest time by which a retry is moved back. A client comes back after a third of its remaining
 * time at the latest, so a longer one only moves retries together. */
constexpr Duration kMaxSpread = 4s;
constexpr std::size_t kMaxPacedModels = 1'000;

} // namespace

void SlotHoldTime::Record(Duration aTime)
{
  const double time = ToSeconds(aTime);
  ++mCount;
  const double weight = std::max(kHoldTimeWeight, 1.0 / static_cast<double>(mCount));
  mAverageS += weight * (time - mAverageS);
}

std::optional<Duration> SlotHoldTime::Average() const
{
  return mCount < kMinHoldTimes ? std::nullopt : std::optional{ ScaleDuration(1s, mAverageS) };
}

void WaitingCounts::AddWaiting(const ModelId& aModel,
                               std::uint32_t aPriority,
                               const ClientAccountId& aAccount)
{
  ++mCounts[aModel][{ aPriority, aAccount }].waiting;
}

void WaitingCounts::RemoveWaiting(const ModelId& aModel,
                                  std::uint32_t aPriority,
                                  const ClientAccountId& aAccount)
{
  std::size_t& waiting = mCounts[aModel][{ aPriority, aAccount }].waiting;
  waiting -= std::min<std::size_t>(waiting, 1);
}

void WaitingCounts::AddTried(const ModelId& aModel,
                             std::uint32_t aPriority,
                             const ClientAccountId& aAccount)
{
  ++mCounts[aModel][{ aPriority, aAccount }].tried;
}

std::size_t WaitingCounts::Tried(const ModelId& aModel,
                                 std::uint32_t aPriority,
                                 const ClientAccountId& aAccount) const
{
  const auto model = mCounts.find(aModel);
  if (model == mCounts.end()) {
    return 0;
  }
  const auto count = model->second.find({ aPriority, aAccount });
  return count == model->second.end() ? 0 : count->second.tried;
}

std::size_t WaitingCounts::Ahead(const ModelId& aModel,
                                 std::uint32_t aPriority,
                                 const ClientAccountId& aAccount,
                                 std::size_t aOwnAhead) const
{
  const auto model = mCounts.find(aModel);
  if (model == mCounts.end()) {
    return 0;
  }
  std::size_t ahead = 0;
  for (const auto& [key, count] : model->second) {
    const auto& [priority, account] = key;
    if (priority < aPriority) {
      ahead += count.waiting;
    } else if (priority == aPriority && account == aAccount) {
      ahead += count.tried;
    } else if (priority == aPriority) {
      ahead += std::min(count.waiting, aOwnAhead);
    }
  }
  return ahead;
}

std::optional<SlotForecast> ForecastSlot(const std::vector<FullRunner>& aRunners, double aAhead)
{
  double slotsPerSecond = 0.0;
  for (const FullRunner& runner : aRunners) {
    if (!runner.holdTime || *runner.holdTime <= Duration::zero() ||
        2 * runner.inFlight < runner.slots) {
      return std::nullopt;
    }
    slotsPerSecond += static_cast<double>(runner.inFlight) / ToSeconds(*runner.holdTime);
  }
  if (slotsPerSecond <= 0.0) {
    return std::nullopt;
  }
  const Duration interval = ScaleDuration(1s, 1.0 / slotsPerSecond);
  return SlotForecast{ .wait = ScaleDuration(interval, aAhead + 1.0), .interval = interval };
}

bool IsTooLongToWait(const SlotForecast& aForecast, Duration aTimeLeft, bool aWasAdmitted)
{
  const double deviations = aWasAdmitted ? kDeviationsOfAdmitted : kDeviationsOfNew;
  const double wait = ToSeconds(aForecast.wait);
  const double earliest = wait - deviations * std::sqrt(wait * ToSeconds(aForecast.interval));
  return earliest + ToSeconds(kMinServiceTime) > ToSeconds(aTimeLeft);
}

Duration RetryPacing::Next(TimePoint aNow,
                           const ModelId& aModel,
                           Duration aWait,
                           Duration aInterval)
{
  if (mNextAt.size() > kMaxPacedModels) {
    std::erase_if(mNextAt, [aNow](const auto& aItem) { return aItem.second <= aNow; });
  }
  TimePoint& next = mNextAt[aModel];
  if (next < aNow + aWait || next > aNow + aWait + kMaxSpread) {
    next = aNow + aWait;
  }
  const Duration time = next - aNow;
  next += aInterval;
  return time;
}

} // namespace rhubarbtrail::fleet

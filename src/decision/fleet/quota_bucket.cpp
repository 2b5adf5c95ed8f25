/* A token bucket whose uses can be taken back. */
#include "decision/fleet/quota_bucket.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

void QuotaBucket::SetLimits(TimePoint aNow, double aRate, double aCapacity)
{
  Refill(aNow);
  mRate = aRate;
  mCapacity = aCapacity;
  mLevel = std::min(mLevel, mCapacity);
}

void QuotaBucket::Refill(TimePoint aNow)
{
  const Duration passed = aNow - mUpdatedAt;
  if (passed > Duration::zero() && passed <= kMaxRefillTime) {
    mLevel = std::min(mCapacity, mLevel + mRate * std::chrono::duration<double>(passed).count());
  }
  mUpdatedAt = std::max(mUpdatedAt, aNow);
}

void QuotaBucket::Take(TimePoint aNow, double aAmount)
{
  Refill(aNow);
  const double lack = mCapacity - mLevel;
  while (!mLacks.empty() && mLacks.back().amount >= lack) {
    mLacks.pop_back();
  }
  mLacks.push_back({ .at = aNow, .amount = lack });
  while (mLacks.size() > kMaxEntries || aNow - mLacks.front().at > kMaxAge) {
    mForgottenUntil = mLacks.front().at;
    mLacks.pop_front();
  }
  mLevel -= aAmount;
}

void QuotaBucket::GiveBack(TimePoint aNow, double aAmount, TimePoint aTakenAt)
{
  Refill(aNow);
  if (aTakenAt <= mForgottenUntil) {
    return; // It is not known what the level would be.
  }
  double possible = std::min(aAmount, mCapacity - mLevel);
  const auto next = std::find_if(
    mLacks.begin(), mLacks.end(), [&](const Lack& aLack) { return aLack.at > aTakenAt; });
  if (next != mLacks.end()) {
    possible = std::min(possible, next->amount);
  }
  mLevel += std::max(possible, 0.0);
}

void QuotaBucket::Add(double aAmount)
{
  mLevel = std::min(mCapacity, mLevel + aAmount);
}

Duration QuotaBucket::TimeUntil(double aLevel) const
{
  if (mLevel >= aLevel || mRate <= 0.0) {
    return Duration::zero();
  }
  constexpr double kMaxS = 3600.0;
  return std::chrono::ceil<Duration>(
    std::chrono::duration<double>(std::min((aLevel - mLevel) / mRate, kMaxS)));
}

} // namespace rhubarbtrail::fleet

/* A token bucket whose uses can be taken back. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_QUOTA_BUCKET_H
#define RHUBARBTRAIL_DECISION_FLEET_QUOTA_BUCKET_H

#include "core/unit_type.h"

#include <cstddef>
#include <deque>

namespace rhubarbtrail::fleet {

/* Counts amounts against a rate and a capacity. An amount that is given back later raises the level
 * only as far as it would be higher had the amount never been used: what a full bucket could not
 * have kept is lost. Otherwise requests that wait for seconds and are then refused would allow more
 * in a window than the rate and the capacity do. */
class QuotaBucket
{
public:
  /* Refills the bucket up to this time and changes the rate and the capacity from then on. The
   * level is lowered to the new capacity. */
  void SetLimits(TimePoint aNow, double aRate, double aCapacity);
  /* Refills the bucket. Nothing is added for a time without calls that is longer than
   * kMaxRefillTime, because the process did not run, and other daemons went on without it. */
  void Refill(TimePoint aNow);
  /* Uses an amount. The level may become negative. */
  void Take(TimePoint aNow, double aAmount);
  /* Gives back an amount that was used at an earlier time. */
  void GiveBack(TimePoint aNow, double aAmount, TimePoint aTakenAt);
  /* Raises or lowers the level, up to the capacity. */
  void Add(double aAmount);
  /* Returns the time until the level is at least this, or 0 if it never is. */
  Duration TimeUntil(double aLevel) const;

  double level() const { return mLevel; }
  double capacity() const { return mCapacity; }

  static constexpr Duration kMaxRefillTime = std::chrono::milliseconds{ 500 };

private:
  /* What the bucket lacked to be full just before an amount was used. */
  struct Lack
  {
    TimePoint at{};
    double amount = 0.0;
  };

  /* Age up to which amounts can be given back, and the greatest number of entries that are kept. */
  static constexpr Duration kMaxAge = std::chrono::seconds{ 60 };
  static constexpr std::size_t kMaxEntries = 4096;

  double mLevel = 0.0;
  double mRate = 0.0;
  double mCapacity = 0.0;
  TimePoint mUpdatedAt{};
  /* Oldest first, and growing: an entry is dropped when a later one is not greater. */
  std::deque<Lack> mLacks;
  TimePoint mForgottenUntil{}; ///< Amounts that were used up to this time cannot be given back.
};

} // namespace rhubarbtrail::fleet

#endif

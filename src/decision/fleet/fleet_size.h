/* How many daemons share what the fleet may do, as far as this daemon knows. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_FLEET_SIZE_H
#define RHUBARBTRAIL_DECISION_FLEET_FLEET_SIZE_H

#include "core/unit_type.h"

#include <cstdint>
#include <deque>

namespace rhubarbtrail::fleet {

/* The number of daemons that the dispatcher states in its heartbeats, itself included. It is too
 * low while a dispatcher that has just taken over does not know all daemons yet, and a daemon that
 * is no longer counted may still use its part. So a lower number counts only once no higher one has
 * been stated for some time. */
class FleetSize
{
public:
  /* Time without a statement after which a daemon may be cut off and no longer counted by others.
   */
  static constexpr Duration kLifetime = 3s;

  /* Sets the window in which the parts of the daemons are added up. */
  void SetWindow(Duration aWindow) { mMemory = aWindow + kNoticeTime; }
  void Record(TimePoint aNow, std::uint32_t aDaemons);
  /* Returns the number of daemons that counts, or 0 if none has ever been stated. */
  std::uint32_t daemons() const { return mHighest.empty() ? 0 : mHighest.front().daemons; }
  /* Returns whether a number was stated within the lifetime. */
  bool IsStated(TimePoint aNow) const { return !mHighest.empty() && aNow - mStatedAt <= kLifetime; }

private:
  /* Time until daemons that are cut off have noticed that, and use their part no more. */
  static constexpr Duration kNoticeTime = 4s;

  struct Statement
  {
    TimePoint at{};
    std::uint32_t daemons = 0;
  };

  /* How long a stated number keeps lower ones from counting. */
  Duration mMemory = 10s + kNoticeTime;
  /* The statements of the memory before the last one, without those that are followed by one
   * that is as high: from the highest to the last. */
  std::deque<Statement> mHighest;
  TimePoint mStatedAt{};
};

} // namespace rhubarbtrail::fleet

#endif

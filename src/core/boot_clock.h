/* The clock that also counts the time during which the host is suspended. */
#ifndef RHUBARBTRAIL_CORE_BOOT_CLOCK_H
#define RHUBARBTRAIL_CORE_BOOT_CLOCK_H

#include "core/unit_type.h"

#include <ctime>

namespace rhubarbtrail {

/* Returns the time since the host booted, including the time during which it was suspended
 * (CLOCK_BOOTTIME). The steady clock stops during a suspension, so that a lease that expired
 * meanwhile would still look valid afterwards. */
inline TimePoint BootClockNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint{ std::chrono::duration_cast<Duration>(std::chrono::seconds{ now.tv_sec } +
                                                         std::chrono::nanoseconds{ now.tv_nsec }) };
}

/* Returns a duration in whole milliseconds, rounded towards zero, as logs and metrics show it. */
inline std::int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace rhubarbtrail

#endif

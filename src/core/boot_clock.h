/* The clock that goes on counting while the host is suspended. */
#ifndef RHUBARBTRAIL_CORE_BOOT_CLOCK_H
#define RHUBARBTRAIL_CORE_BOOT_CLOCK_H

#include "core/unit_type.h"

#include <ctime>

namespace rhubarbtrail {

/* Returns the time since the host started, suspensions included. A lease must not outlive a
 * suspension, which the steady clock leaves out. */
inline TimePoint BootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint{ std::chrono::duration_cast<Duration>(std::chrono::seconds{ now.tv_sec } +
                                                         std::chrono::nanoseconds{ now.tv_nsec }) };
}

/* Returns a duration in whole milliseconds, as logs and metrics give it. */
inline std::int64_t Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace rhubarbtrail

#endif

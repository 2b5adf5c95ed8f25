/* How many daemons share what the fleet may do, as far as this daemon knows. */
#include "decision/fleet/fleet_size.h"

namespace rhubarbtrail::fleet {

/* Load pattern: the dispatcher is killed, or all daemons are, while endpoints refuse requests. The
 * next dispatcher counts one daemon after the other as they find it. */
void FleetSize::Record(TimePoint aNow, std::uint32_t aDaemons)
{
  mStatedAt = aNow;
  while (!mHighest.empty() && mHighest.back().daemons <= aDaemons) {
    mHighest.pop_back();
  }
  mHighest.push_back({ .at = aNow, .daemons = aDaemons });
  while (aNow - mHighest.front().at > mMemory) {
    mHighest.pop_front();
  }
}

} // namespace rhubarbtrail::fleet

/* Tells a host that refuses connections from one that cannot be reached. */
#ifndef RHUBARBTRAIL_CORE_CONNECT_PROBE_FUNC_H
#define RHUBARBTRAIL_CORE_CONNECT_PROBE_FUNC_H

#include "core/unit_type.h"

#include <string>

namespace rhubarbtrail {

/* Connects to host:port, given as IP numbers, and returns whether the host answered that nobody
 * listens there. A connection that succeeds, is not answered in time or has no route gives false.
 */
bool IsConnectionRefused(const std::string& aAddress, Duration aTimeout);

} // namespace rhubarbtrail

#endif

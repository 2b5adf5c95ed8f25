/* Distinguishes a host that refuses connections from a host that cannot be reached. */
#ifndef RHUBARBTRAIL_CORE_CONNECT_PROBE_FUNC_H
#define RHUBARBTRAIL_CORE_CONNECT_PROBE_FUNC_H

#include "core/unit_type.h"

#include <string>

namespace rhubarbtrail {

/* Connects to an address of the form IPv4:port and returns whether the host refused the connection
 * (ECONNREFUSED): the host is reachable, and no process listens on the port. Returns false if the
 * connection succeeds, times out or has no route. */
bool IsConnectionRefused(const std::string& aAddress, Duration aTimeout);

} // namespace rhubarbtrail

#endif

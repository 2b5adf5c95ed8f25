/* Reads the platform's list of hosts. */
#ifndef RHUBARBTRAIL_TABLE_HOST_LIST_CLIENT_H
#define RHUBARBTRAIL_TABLE_HOST_LIST_CLIENT_H

#include "decision/event_type.h"

#include <optional>
#include <string>

namespace rhubarbtrail {

struct HostListClientOptions
{
  std::string address;   ///< host:port
  Duration timeout = 2s; ///< For the connect, and for each read and each write.
};

/* Reads the host list. Returns nothing when the call fails, the status is not 200 or the body is
 * malformed. */
std::optional<HostListReceived> ReadHostList(const HostListClientOptions& aOptions);

} // namespace rhubarbtrail

#endif

/* The platform's list of hosts. */
#ifndef RHUBARBTRAIL_TABLE_HOST_LIST_CLIENT_H
#define RHUBARBTRAIL_TABLE_HOST_LIST_CLIENT_H

#include "decision/event_type.h"

#include <optional>
#include <string>

namespace rhubarbtrail {

struct HostListClientOptions
{
  std::string address; ///< host:port
  Duration timeout = 2s;
};

/* Reads the host list; returns nothing when there is no whole answer. */
std::optional<HostListReceived> ReadHostList(const HostListClientOptions& aOptions);

} // namespace rhubarbtrail

#endif

/* Options that every connection gets, and addresses as text. */
#ifndef RHUBARBTRAIL_HTTP_SOCKET_OPTIONS_H
#define RHUBARBTRAIL_HTTP_SOCKET_OPTIONS_H

#include "core/unit_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace rhubarbtrail::http {

/* Longest time that sent bytes may stay unacknowledged, and that an idle peer may leave probes
 * unanswered; below the 3 s for which a daemon may be out of touch. */
constexpr int kUnacknowledgedLimitMs = 2'000;
/* Keep-alive probes: after this idle time, and at this interval, in seconds. */
constexpr int kProbeIdleS = 1;
constexpr int kProbeIntervalS = 1;
constexpr int kProbeCount = 2;

/* Sets the options of a connected or connecting socket. Connections that something between the
 * two ends has forgotten are noticed by the kernel's probes. */
void SetSocketOptions(boost::asio::ip::tcp::socket& aSocket);

/* Reads "host:port" with an IP number. */
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& aAddress);

} // namespace rhubarbtrail::http

#endif

/* Socket options of every connection, and parsing of addresses. */
#ifndef RHUBARBTRAIL_HTTP_SOCKET_OPTIONS_H
#define RHUBARBTRAIL_HTTP_SOCKET_OPTIONS_H

#include "core/unit_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>

namespace rhubarbtrail::http {

/* The kernel closes a connection when sent bytes stay unacknowledged, or keep-alive probes
 * unanswered, for this time (TCP_USER_TIMEOUT). It is shorter than the 3 s for which a daemon may
 * be out of contact. */
constexpr int kUserTimeoutMs = 2'000;
/* TCP keep-alive: idle time before the first probe and interval between probes, in seconds, and
 * number of probes. */
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbeCount = 2;

/* Sets the options of an open socket, connected or not: no delay, keep-alive and user timeout. The
 * keep-alive probes find connections that a firewall or another device on the path has dropped
 * without telling either end. */
void SetSocketOptions(boost::asio::ip::tcp::socket& aSocket, int aUserTimeoutMs = kUserTimeoutMs);

/* Limits the bytes of a socket that wait in the kernel and are not yet on the way to the other end,
 * whatever is on the way (TCP_NOTSENT_LOWAT). A fast connection is not slowed down by that. */
void LimitUnsentBytes(boost::asio::ip::tcp::socket& aSocket, std::size_t aBytes);

/* Parses "IP:port". Returns nothing if the text is not valid; host names are not resolved. */
std::optional<boost::asio::ip::tcp::endpoint> ParseSocketAddress(const std::string& aAddress);

} // namespace rhubarbtrail::http

#endif

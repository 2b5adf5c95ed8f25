/* Socket options of every connection, and parsing of addresses. */
#include "http/socket_options.h"

#include "core/number_func.h"

#include <cstdint>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rhubarbtrail::http {

void SetSocketOptions(boost::asio::ip::tcp::socket& aSocket, int aUserTimeoutMs)
{
  // Errors are ignored: a connection without one of the options still works.
  const int handle = aSocket.native_handle();
  const int on = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleS, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalS, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbeCount, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &aUserTimeoutMs, sizeof(aUserTimeoutMs));
}

void LimitUnsentBytes(boost::asio::ip::tcp::socket& aSocket, std::size_t aBytes)
{
  const auto value = static_cast<std::uint32_t>(aBytes);
  // An error is ignored: the connection works without the option.
  setsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &value, sizeof(value));
}

std::optional<boost::asio::ip::tcp::endpoint> ParseSocketAddress(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const auto port = ParseNumber<std::uint16_t>(
    std::string_view{ aAddress }.substr(colon + 1), std::uint16_t{ 0 }, std::uint16_t{ 65'535 });
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address(aAddress.substr(0, colon), error);
  if (!port || error) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint{ host, *port };
}

} // namespace rhubarbtrail::http

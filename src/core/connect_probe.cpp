/* A single TCP connect. cpp-httplib does not report the error number of its own connects. */
#include "core/connect_probe_func.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace rhubarbtrail {

namespace {

/* Returns the error number of a connect, or 0 if it succeeded. */
int ConnectWithTimeout(int aSocket, const sockaddr_in& aTarget, Duration aTimeout)
{
  if (connect(aSocket, reinterpret_cast<const sockaddr*>(&aTarget), sizeof(aTarget)) == 0) {
    return 0;
  }
  if (errno != EINPROGRESS) {
    return errno;
  }
  pollfd polled{ .fd = aSocket, .events = POLLOUT, .revents = 0 };
  if (poll(&polled, 1, static_cast<int>(aTimeout / 1ms)) != 1) {
    return ETIMEDOUT;
  }
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(aSocket, SOL_SOCKET, SO_ERROR, &error, &length);
  return error;
}

} // namespace

bool IsConnectionRefused(const std::string& aAddress, Duration aTimeout)
{
  const auto colon = aAddress.rfind(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  if (colon == std::string::npos ||
      inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &target.sin_addr) != 1) {
    return false;
  }
  target.sin_port =
    htons(static_cast<std::uint16_t>(std::strtoul(aAddress.c_str() + colon + 1, nullptr, 10)));
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    return false;
  }
  const int error = ConnectWithTimeout(socket, target, aTimeout);
  close(socket);
  return error == ECONNREFUSED;
}

} // namespace rhubarbtrail

/* Starting and stopping a server. */
#include "core/http_server.h"

#include <httplib.h>

#include <sys/socket.h>

namespace rhubarbtrail {

namespace {

/* Connections that may wait to be accepted. The HTTP library asks for 5, and the kernel then drops
 * a burst's connections, whose callers try again after a second. */
constexpr int kBacklog = 1'024;

} // namespace

std::uint16_t HttpServerThread::Start(const std::string& aAddress, std::uint16_t aPort)
{
  int listener = -1;
  // The library would share the port with other processes.
  mServer.set_socket_options([&listener](int aSocket) {
    listener = aSocket;
    const int on = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
  int port = aPort;
  if (aPort == 0) {
    port = mServer.bind_to_any_port(aAddress.c_str());
  } else if (!mServer.bind_to_port(aAddress.c_str(), aPort)) {
    port = -1;
  }
  if (port <= 0) {
    return 0;
  }
  listen(listener, kBacklog);
  mThread = std::thread([this] { mServer.listen_after_bind(); });
  // A server that is stopped before it listens would listen forever.
  while (!mServer.is_running()) {
    std::this_thread::yield();
  }
  return static_cast<std::uint16_t>(port);
}

void HttpServerThread::Stop()
{
  mServer.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

} // namespace rhubarbtrail

/* Starts and stops a cpp-httplib server. */
#include "core/httplib_server.h"

#include <httplib.h>

#include <sys/socket.h>

namespace rhubarbtrail {

namespace {

/* Length of the queue of connections that wait to be accepted. cpp-httplib sets it to 5. With so
 * short a queue the kernel drops connection attempts of a burst, and clients retry only after a
 * second. */
constexpr int kBacklog = 1'024;

} // namespace

std::uint16_t HttplibServerThread::Start(const std::string& aAddress, std::uint16_t aPort)
{
  int listeningSocket = -1;
  // Replaces the default of cpp-httplib, which would let other processes share the port.
  mServer.set_socket_options([&listeningSocket](int aSocket) {
    listeningSocket = aSocket;
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
  listen(listeningSocket, kBacklog);
  mThread = std::thread([this] { mServer.listen_after_bind(); });
  // Waits until the server runs: a stop() before that would have no effect, and the thread would
  // never end.
  while (!mServer.is_running()) {
    std::this_thread::yield();
  }
  return static_cast<std::uint16_t>(port);
}

void HttplibServerThread::Stop()
{
  mServer.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

} // namespace rhubarbtrail

/* Starting and stopping a cpp-httplib server, the same way for all that we listen on. */
#ifndef RHUBARBTRAIL_CORE_HTTP_SERVER_H
#define RHUBARBTRAIL_CORE_HTTP_SERVER_H

#include <cstdint>
#include <string>
#include <thread>

namespace httplib {
class Server;
}

namespace rhubarbtrail {

/* Runs a server on a thread of its own. */
class HttpServerThread
{
public:
  explicit HttpServerThread(httplib::Server& aServer)
    : mServer(aServer)
  {
  }
  ~HttpServerThread() { Stop(); }
  HttpServerThread(const HttpServerThread&) = delete;
  HttpServerThread& operator=(const HttpServerThread&) = delete;

  /* Binds and serves; port 0 lets the kernel choose. Returns the port, or 0 when it cannot be
   * bound. The port is ours alone, and bursts of connections wait in the kernel. */
  std::uint16_t Start(const std::string& aAddress, std::uint16_t aPort);

  /* Closes the listening socket and waits for the answers under way. */
  void Stop();

private:
  httplib::Server& mServer;
  std::thread mThread;
};

} // namespace rhubarbtrail

#endif

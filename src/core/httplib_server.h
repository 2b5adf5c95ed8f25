/* Runs a cpp-httplib server on its own thread. The event-driven server is in http/http_server.h. */
#ifndef RHUBARBTRAIL_CORE_HTTPLIB_SERVER_H
#define RHUBARBTRAIL_CORE_HTTPLIB_SERVER_H

#include <cstdint>
#include <string>
#include <thread>

namespace httplib {
class Server;
}

namespace rhubarbtrail {

/* Starts and stops a server, which must outlive this object. */
class HttplibServerThread
{
public:
  explicit HttplibServerThread(httplib::Server& aServer)
    : mServer(aServer)
  {
  }
  ~HttplibServerThread() { Stop(); }
  HttplibServerThread(const HttplibServerThread&) = delete;
  HttplibServerThread& operator=(const HttplibServerThread&) = delete;

  /* Binds the address and starts serving. With port 0, the kernel chooses a port. Returns the port,
   * or 0 if it cannot be bound. The port is not shared with other processes, and the accept queue
   * is long enough for bursts of connections. */
  std::uint16_t Start(const std::string& aAddress, std::uint16_t aPort);

  /* Closes the listening socket and waits until the answers in progress are complete. */
  void Stop();

private:
  httplib::Server& mServer;
  std::thread mThread;
};

} // namespace rhubarbtrail

#endif

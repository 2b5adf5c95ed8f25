/* A listening socket. When accepting fails, for example because no descriptor is free, it tries
 * again after a short delay. */
#ifndef RHUBARBTRAIL_HTTP_LISTENER_H
#define RHUBARBTRAIL_HTTP_LISTENER_H

#include "core/unit_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbtrail::http {

struct ListenerOptions
{
  std::string address; ///< IP:port
  /* Size of the kernel's receive buffer of a connection until it is set anew; 0: the kernel's. */
  std::size_t receiveBufferBytes = 0;
  Duration retryDelay = 20ms; ///< Time before the next attempt after a failed accept.
};

struct ListenerHandlers
{
  /* Receives an accepted connection. */
  std::function<void(boost::asio::ip::tcp::socket)> onConnection;
  /* Called when a connection could not be accepted, for example because no descriptor is free. May
   * close other connections to free one. May be null. */
  std::function<void()> onAcceptError;
};

/* A listening socket on the event loop. No handler is called after Close(). */
class Listener
{
public:
  Listener(boost::asio::io_context& aContext, ListenerOptions aOptions, ListenerHandlers aHandlers);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /* Binds the address and starts to accept connections. Returns an error message, or an empty
   * string on success. */
  std::string Listen();
  void Close();
  /* Returns the bound port, or 0 if the socket is not open. */
  std::uint16_t port() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail::http

#endif

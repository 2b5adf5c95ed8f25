/* Taking connections, without a pause longer than needed when the host is short of descriptors. */
#ifndef RHUBARBTRAIL_HTTP_LISTENER_H
#define RHUBARBTRAIL_HTTP_LISTENER_H

#include "core/unit_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbtrail::http {

struct ListenerOptions
{
  std::string address;   ///< host:port
  Duration pause = 20ms; ///< Before accepting again after a failure.
};

struct ListenerHandlers
{
  std::function<void(boost::asio::ip::tcp::socket)> onSocket;
  std::function<void()> onFailure; ///< A connection could not be taken; may make room. May be null.
};

/* A listening socket on the event loop; its handlers are not called after Close(). */
class Listener
{
public:
  Listener(boost::asio::io_context& aContext, ListenerOptions aOptions, ListenerHandlers aHandlers);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /* Binds and listens; returns why not, or an empty text. */
  std::string Listen();
  void Close();
  /* Returns the port, or 0 before Listen(). */
  std::uint16_t port() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail::http

#endif

/* A listening socket on the event loop. */
#include "http/listener.h"

#include "http/socket_options.h"

#include <utility>

namespace rhubarbtrail::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

} // namespace

struct Listener::Impl : std::enable_shared_from_this<Listener::Impl>
{
  Impl(asio::io_context& aContext, ListenerOptions aOptions, ListenerHandlers aHandlers)
    : options(std::move(aOptions))
    , handlers(std::move(aHandlers))
    , acceptor(aContext)
    , timer(aContext)
  {
  }

  void Accept()
  {
    acceptor.async_accept([self = shared_from_this()](error_code aError, tcp::socket aSocket) {
      if (self->isClosed) {
        return;
      }
      if (aError) {
        if (self->handlers.onAcceptError) {
          self->handlers.onAcceptError();
        }
        self->AcceptAfterDelay();
        return;
      }
      self->handlers.onConnection(std::move(aSocket));
      self->Accept();
    });
  }

  void AcceptAfterDelay()
  {
    timer.expires_after(options.retryDelay);
    timer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError && !self->isClosed) {
        self->Accept();
      }
    });
  }

  ListenerOptions options;
  ListenerHandlers handlers;
  tcp::acceptor acceptor;
  asio::steady_timer timer;
  bool isClosed = false;
};

Listener::Listener(asio::io_context& aContext, ListenerOptions aOptions, ListenerHandlers aHandlers)
  : mImpl(std::make_shared<Impl>(aContext, std::move(aOptions), std::move(aHandlers)))
{
}

Listener::~Listener()
{
  Close();
}

std::string Listener::Listen()
{
  const std::string& address = mImpl->options.address;
  const auto endpoint = ParseSocketAddress(address);
  if (!endpoint) {
    return "'" + address + "' is not an address";
  }
  error_code error;
  mImpl->acceptor.open(endpoint->protocol(), error);
  if (!error) {
    mImpl->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (const std::size_t size = mImpl->options.receiveBufferBytes; !error && size > 0) {
    // Accepted connections inherit it. An error is harmless: the kernel's size then stays.
    error_code ignored;
    mImpl->acceptor.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(size)),
                               ignored);
  }
  if (!error) {
    mImpl->acceptor.bind(*endpoint, error);
  }
  if (!error) {
    mImpl->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return address + ": " + error.message();
  }
  mImpl->Accept();
  return {};
}

void Listener::Close()
{
  mImpl->isClosed = true;
  error_code ignored; // Errors are harmless: the socket may be closed already.
  mImpl->acceptor.close(ignored);
  mImpl->timer.cancel(ignored);
}

std::uint16_t Listener::port() const
{
  error_code ignored; // On an error, as when the socket is not open, the port is 0.
  return mImpl->acceptor.local_endpoint(ignored).port();
}

} // namespace rhubarbtrail::http

/* Reads from a socket, for connections that stay alive through their own pending handlers. */
#ifndef RHUBARBTRAIL_HTTP_SOCKET_READER_H
#define RHUBARBTRAIL_HTTP_SOCKET_READER_H

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace rhubarbtrail::http {

/* Waits until a socket has bytes and then reads them without blocking. Idle connections thus need
 * no receive buffer of their own. */
class SocketReader
{
public:
  /* Receives an error, or bytes that are valid until the handler returns. */
  using Handler = std::function<void(boost::system::error_code, std::string_view)>;

  explicit SocketReader(boost::asio::ip::tcp::socket& aSocket)
    : mSocket(aSocket)
  {
  }

  /* Returns whether the bytes that have come may be read now. */
  using Gate = std::function<bool()>;

  /* Waits for bytes, reads them and calls the handler once. If the gate, which may be empty, is
   * closed when they come, nothing is read and the error is kGateClosed. Does nothing if a read is
   * already waiting. The read keeps aOwner alive, which must own this reader and its socket. */
  void Read(std::shared_ptr<void> aOwner, Handler aHandler, Gate aGate = nullptr);

  static constexpr auto kGateClosed = boost::asio::error::no_buffer_space;

private:
  boost::asio::ip::tcp::socket& mSocket;
  bool mIsWaiting = false;
};

} // namespace rhubarbtrail::http

#endif

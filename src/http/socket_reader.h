/* Reading what comes in on a socket, for connections that own themselves. */
#ifndef RHUBARBTRAIL_HTTP_SOCKET_READER_H
#define RHUBARBTRAIL_HTTP_SOCKET_READER_H

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace rhubarbtrail::http {

class SocketReader
{
public:
  /* Takes an error, or bytes that stand until the handler returns. */
  using Handler = std::function<void(boost::system::error_code, std::string_view)>;

  explicit SocketReader(boost::asio::ip::tcp::socket& aSocket)
    : mSocket(aSocket)
  {
  }

  /* Waits for bytes and reads them, once; does nothing while it waits already. The owner, which
   * holds this reader and its socket, is kept until then. */
  void Read(std::shared_ptr<void> aOwner, Handler aHandler);

private:
  boost::asio::ip::tcp::socket& mSocket;
  bool mIsWaiting = false;
};

} // namespace rhubarbtrail::http

#endif

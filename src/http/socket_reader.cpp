/* Reads from a socket into a buffer that all connections of a thread share. */
#include "http/socket_reader.h"

#include <array>
#include <utility>

namespace rhubarbtrail::http {

namespace {

using boost::system::error_code;

/* Largest number of bytes that one read returns. */
constexpr std::size_t kReadBufferSize = 16U << 10U;

/* Reads the available bytes without blocking. The result refers to a buffer that belongs to the
 * thread and is overwritten by the next call, so connections copy the bytes that they keep. */
std::string_view ReadAvailable(boost::asio::ip::tcp::socket& aSocket, error_code& aError)
{
  thread_local std::array<char, kReadBufferSize> sBuffer;
  if (!aSocket.non_blocking()) {
    aSocket.non_blocking(true, aError);
    if (aError) {
      return {};
    }
  }
  const std::size_t size = aSocket.read_some(boost::asio::buffer(sBuffer), aError);
  return { sBuffer.data(), size };
}

} // namespace

void SocketReader::Read(std::shared_ptr<void> aOwner, Handler aHandler, Gate aGate)
{
  if (std::exchange(mIsWaiting, true)) {
    return;
  }
  mSocket.async_wait(
    boost::asio::ip::tcp::socket::wait_read,
    [this, owner = std::move(aOwner), handler = std::move(aHandler), gate = std::move(aGate)](
      error_code aError) {
      mIsWaiting = false;
      if (!aError && gate && !gate()) {
        aError = kGateClosed;
      }
      const std::string_view bytes = aError ? std::string_view{} : ReadAvailable(mSocket, aError);
      handler(aError, bytes);
    });
}

} // namespace rhubarbtrail::http

/* Sends and receives the messages between the daemons of a fleet, on the event loop. The transport
 * with a thread of its own is in peer/peer_transport.h. */
#ifndef RHUBARBTRAIL_PEER_FLEET_LINK_H
#define RHUBARBTRAIL_PEER_FLEET_LINK_H

#include "core/byte_account.h"
#include "core/socket_count.h"
#include "core/unit_type.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbtrail {

/* Messages of another daemon that exceeded a limit. Their connection is closed. */
struct ExceededMessageLimit
{
  /* "size" of the messages of one connection or "total" of all, in bytes; "time", in milliseconds;
   * "connections" on which no message has arrived. */
  std::string_view part;
  std::uint64_t value = 0; ///< What was received when the limit was noticed.
  std::uint64_t limit = 0;
};

struct FleetLinkHandlers
{
  /* Called with each message that another daemon has sent. */
  std::function<void(const std::string& aBytes)> onMessage;
  /* Called when a connection that this daemon opened, or tried to open, has ended. Messages that
   * the other daemon has not acknowledged may be lost. */
  std::function<void(const std::string& aAddress)> onConnectionEnded;
  /* Called when incomplete messages of another daemon exceed a limit. May be empty. */
  std::function<void(const ExceededMessageLimit&)> onLimitExceeded;
};

struct FleetLinkOptions
{
  std::string address; ///< IP:port to listen on.
  /* An outgoing connection is closed when one of its messages has had no response for this time. */
  Duration responseTimeout = 1'200ms;
  /* An accepted connection is closed when one of its messages has not ended after this time. */
  Duration messageTimeout = 5s;
  /* Largest number of accepted connections on which no message has arrived to its end. One more
   * closes the oldest of them. They also close after messageTimeout. */
  std::size_t unprovenConnections = 256;
  /* Returns the largest size of all messages that are arriving, in bytes; 0 for no limit. Above it,
   * the connection with the largest ones is closed, one without a complete message first. May be
   * empty. */
  std::function<std::size_t()> incompleteMessagesLimit;
  /* Take what the connections hold. May be null; otherwise they must outlive the link. */
  ByteAccount* account = nullptr;
  SocketCount* sockets = nullptr;
  /* Size of the kernel's receive buffer of an accepted connection; 0 leaves it to the kernel. */
  std::size_t receiveBufferBytes = 0;
};

/* Keeps one outgoing HTTP/2 connection for each address that messages are sent to, and accepts the
 * connections of other daemons. Each message is one HTTP/2 stream. Messages travel only from the
 * daemon that opened a connection to the one that accepted it. */
class FleetLink
{
public:
  FleetLink(boost::asio::io_context& aContext,
            FleetLinkOptions aOptions,
            FleetLinkHandlers aHandlers);
  ~FleetLink();
  FleetLink(const FleetLink&) = delete;
  FleetLink& operator=(const FleetLink&) = delete;

  /* Starts to listen. Returns an error message, or an empty string on success. */
  std::string Listen();
  /* Sends a message to an address of the form IP:port. Opens a connection if there is none. While
   * it is being established, up to 1,024 messages are queued and further ones are dropped. */
  void Send(const std::string& aAddress, std::vector<std::uint8_t> aBytes);
  /* Closes the outgoing connection to an address without calling onConnectionEnded. Messages that
   * are queued for it are dropped. */
  void Disconnect(const std::string& aAddress);
  /* Closes outgoing connections with a message that has had no response for longer than
   * responseTimeout, and accepted ones with a message that has not ended within messageTimeout.
   * Must be called periodically. */
  void CloseOverdueConnections(TimePoint aNow);
  /* Stops listening and closes all connections. No handler is called afterwards. */
  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail

#endif

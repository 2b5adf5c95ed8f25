/* Sends and receives the messages between daemons over HTTP/2, on a thread of its own. The
 * transport on the event loop is in peer/fleet_link.h. */
#ifndef RHUBARBTRAIL_PEER_PEER_TRANSPORT_H
#define RHUBARBTRAIL_PEER_PEER_TRANSPORT_H

#include "codec/json_codec.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbtrail {

struct PeerTransportOptions
{
  std::string address = "127.0.0.1"; ///< IPv4 address to listen on.
  std::uint16_t port = 0;            ///< 0: the kernel chooses a port.
  /* An outgoing connection is closed when one of its messages has had no response for this time. */
  Duration responseTimeout = 1500ms;
};

struct PeerCounters
{
  std::uint64_t sentBytes = 0;     ///< Size of the messages counted in sentMessages.
  std::uint64_t receivedBytes = 0; ///< Size of the received messages.
  std::uint64_t sentMessages = 0;  ///< Messages queued on a connection, delivered or not.
  /* Messages that could not be queued on a connection, and those without a response when their
   * connection failed. Those of connections closed after responseTimeout are not counted. */
  std::uint64_t lostMessages = 0;
};

/* Serves all connections to and from other daemons on one thread. Each message is one HTTP/2
 * stream: a POST request whose body is the encoded envelope. A message that cannot be delivered is
 * dropped. The decision code sends messages again where their loss matters. */
class PeerTransport
{
public:
  PeerTransport(PeerTransportOptions aOptions, std::function<void(Envelope)> aOnEnvelope);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /* Starts to listen and starts the thread. Returns the port, or 0 when listening fails. */
  std::uint16_t Start();
  /* Queues a message to an address of the form IPv4:port for the transport's thread. May be called
   * by any thread. */
  void Send(const std::string& aAddress, const Envelope& aEnvelope);
  void Stop();
  PeerCounters counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail

#endif

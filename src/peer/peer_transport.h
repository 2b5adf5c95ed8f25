/* Messages between daemons over HTTP/2 streams. */
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
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  Duration answerLimit = 1500ms; ///< A connection that leaves a message unanswered is closed.
};

struct PeerCounters
{
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedBytes = 0;
  std::uint64_t sentMessages = 0;
  std::uint64_t lostMessages = 0;
};

/* One thread that serves all connections to and from other daemons. Each message is one stream:
 * a POST whose body is the envelope. A message that cannot be delivered is dropped; the
 * decisions repeat what matters. */
class PeerTransport
{
public:
  PeerTransport(PeerTransportOptions aOptions, std::function<void(Envelope)> aSink);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /* Binds and starts; returns the port, or 0 when it cannot be bound. */
  std::uint16_t Start();
  void Send(const std::string& aAddress, const Envelope& aEnvelope);
  void Stop();
  PeerCounters counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail

#endif

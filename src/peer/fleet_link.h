/* Connections between the daemons of a fleet, on the event loop. */
#ifndef RHUBARBTRAIL_PEER_FLEET_LINK_H
#define RHUBARBTRAIL_PEER_FLEET_LINK_H

#include "core/unit_type.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rhubarbtrail {

struct FleetLinkHandlers
{
  /* Takes a message from another daemon. */
  std::function<void(const std::string& aBytes)> onMessage;
  /* A connection that this daemon opened has ended; what was on its way may be lost. */
  std::function<void(const std::string& aAddress)> onBroken;
};

struct FleetLinkOptions
{
  std::string address;             ///< host:port to listen on.
  Duration silenceLimit = 1'200ms; ///< An unanswered message ends its connection after this time.
};

/* One HTTP/2 connection in each direction that is used; one stream for each message. */
class FleetLink
{
public:
  FleetLink(boost::asio::io_context& aContext,
            FleetLinkOptions aOptions,
            FleetLinkHandlers aHandlers);
  ~FleetLink();
  FleetLink(const FleetLink&) = delete;
  FleetLink& operator=(const FleetLink&) = delete;

  /* Listens; returns why not, or an empty text. */
  std::string Listen();
  /* Sends a message; connects first where there is no connection. */
  void Send(const std::string& aAddress, std::vector<std::uint8_t> aBytes);
  /* Closes the connection to an address, without a call of onBroken. */
  void Disconnect(const std::string& aAddress);
  /* Ends connections that have been silent for too long; to be called now and then. */
  void CheckSilence(TimePoint aNow);
  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail

#endif

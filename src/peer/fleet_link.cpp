/* Sends and receives the messages between the daemons of a fleet, on the event loop. */
#include "peer/fleet_link.h"

#include "core/boot_clock.h"
#include "http/listener.h"
#include "http/socket_options.h"
#include "peer/peer_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

namespace rhubarbtrail {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/* Messages to one address that are queued while its connection is being established. Further ones
 * are dropped. */
constexpr std::size_t kWaitingLimit = 1'024;
constexpr Duration kConnectLimit = 600ms;
/* Time between a failed accept and the next one. */
constexpr Duration kAcceptPause = 50ms;

/* An accepted or outgoing connection, driven by the event loop. */
class Link : public std::enable_shared_from_this<Link>
{
public:
  Link(asio::io_context& aContext,
       int aSocket,
       PeerRole aRole,
       PeerConnection::Receiver aReceiver,
       std::function<void()> aOnEnd)
    : mDescriptor(aContext, aSocket)
    , mConnection(std::make_unique<PeerConnection>(aSocket, aRole, std::move(aReceiver)))
    , mOnEnd(std::move(aOnEnd))
  {
  }

  ~Link()
  {
    if (!mIsEnded) {
      mDescriptor.release(); // The connection owns the socket.
    }
  }

  void Start()
  {
    WaitForRead();
    Write();
  }

  bool Submit(std::vector<std::uint8_t> aBytes)
  {
    if (mIsEnded || !mConnection->Submit(std::move(aBytes), BootTime())) {
      return false;
    }
    Write();
    return !mIsEnded;
  }

  bool IsSilent(TimePoint aNow, Duration aLimit) const
  {
    return !mIsEnded && mConnection->IsSilent(aNow, aLimit);
  }

  /* Closes the connection and calls the end handler, unless Detach() was called. */
  void End()
  {
    if (std::exchange(mIsEnded, true)) {
      return;
    }
    mDescriptor.release();
    mConnection.reset();
    if (mOnEnd) {
      std::exchange(mOnEnd, nullptr)();
    }
  }

  void Detach() { mOnEnd = nullptr; }

private:
  void WaitForRead()
  {
    mDescriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                           [self = shared_from_this()](error_code aError) {
                             if (self->mIsEnded) {
                               return;
                             }
                             if (aError || !self->mConnection->OnReadable()) {
                               self->End();
                               return;
                             }
                             self->WaitForWriteIfWanted();
                             self->WaitForRead();
                           });
  }

  void Write()
  {
    if (!mConnection->OnWritable()) {
      End();
      return;
    }
    WaitForWriteIfWanted();
  }

  void WaitForWriteIfWanted()
  {
    if (mIsEnded || mIsWaitingToWrite || !mConnection->WantsWrite()) {
      return;
    }
    mIsWaitingToWrite = true;
    mDescriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                           [self = shared_from_this()](error_code aError) {
                             self->mIsWaitingToWrite = false;
                             if (self->mIsEnded) {
                               return;
                             }
                             if (aError) {
                               self->End();
                               return;
                             }
                             self->Write();
                           });
  }

  asio::posix::stream_descriptor mDescriptor;
  std::unique_ptr<PeerConnection> mConnection;
  std::function<void()> mOnEnd;
  bool mIsWaitingToWrite = false;
  bool mIsEnded = false;
};

/* A connection to one address. While it is being established, link is null and messages wait. */
struct Outgoing
{
  explicit Outgoing(asio::io_context& aContext)
    : socket(aContext)
    , timer(aContext)
  {
  }

  tcp::socket socket;
  asio::steady_timer timer;
  std::shared_ptr<Link> link;
  std::vector<std::vector<std::uint8_t>> waiting;
};

} // namespace

struct FleetLink::Impl : std::enable_shared_from_this<FleetLink::Impl>
{
  Impl(asio::io_context& aContext, FleetLinkOptions aOptions, FleetLinkHandlers aHandlers)
    : context(aContext)
    , options(std::move(aOptions))
    , handlers(std::move(aHandlers))
    , listener(aContext,
               { .address = options.address, .pause = kAcceptPause },
               { .onSocket = [this](tcp::socket aSocket) { OnSocket(std::move(aSocket)); },
                 .onFailure = nullptr })
  {
  }

  void OnSocket(tcp::socket aSocket);
  void Connect(const std::string& aAddress);
  void OnConnected(const std::string& aAddress, const std::shared_ptr<Outgoing>& aOutgoing);
  void Break(const std::string& aAddress);

  asio::io_context& context;
  FleetLinkOptions options;
  FleetLinkHandlers handlers;
  http::Listener listener;
  std::map<std::string, std::shared_ptr<Outgoing>> outgoing;
  std::set<std::shared_ptr<Link>> incoming;
  bool isClosed = false;
};

void FleetLink::Impl::OnSocket(tcp::socket aSocket)
{
  error_code ignored; // If this fails, the first read fails, too, and closes the connection.
  aSocket.native_non_blocking(true, ignored);
  http::SetSocketOptions(aSocket);
  const std::weak_ptr<Impl> weak = weak_from_this();
  auto place = std::make_shared<std::weak_ptr<Link>>();
  auto link = std::make_shared<Link>(
    context,
    aSocket.release(),
    PeerRole::kServer,
    [weak](const std::string& aBody) {
      if (const auto owner = weak.lock()) {
        owner->handlers.onMessage(aBody);
      }
    },
    [weak, place] {
      if (const auto owner = weak.lock()) {
        owner->incoming.erase(place->lock());
      }
    });
  *place = link;
  incoming.insert(link);
  link->Start();
}

void FleetLink::Impl::Connect(const std::string& aAddress)
{
  auto item = std::make_shared<Outgoing>(context);
  outgoing[aAddress] = item;
  const auto endpoint = http::ParseEndpoint(aAddress);
  error_code error;
  if (endpoint) {
    item->socket.open(endpoint->protocol(), error);
  }
  if (!endpoint || error) {
    asio::post(context, [self = shared_from_this(), aAddress] { self->Break(aAddress); });
    return;
  }
  http::SetSocketOptions(item->socket);
  item->timer.expires_after(kConnectLimit);
  item->timer.async_wait([item](error_code aError) {
    if (!aError && !item->link) {
      error_code ignored; // Closing the socket ends async_connect() with an error.
      item->socket.close(ignored);
    }
  });
  item->socket.async_connect(*endpoint,
                             [self = shared_from_this(), item, aAddress](error_code aError) {
                               item->timer.cancel();
                               const auto found = self->outgoing.find(aAddress);
                               if (found == self->outgoing.end() || found->second != item) {
                                 return; // Disconnect() or Close() was called meanwhile.
                               }
                               if (aError) {
                                 self->Break(aAddress);
                                 return;
                               }
                               self->OnConnected(aAddress, item);
                             });
}

void FleetLink::Impl::OnConnected(const std::string& aAddress,
                                  const std::shared_ptr<Outgoing>& aOutgoing)
{
  error_code ignored; // If this fails, the first write fails, too, and closes the connection.
  aOutgoing->socket.native_non_blocking(true, ignored);
  const std::weak_ptr<Impl> weak = weak_from_this();
  aOutgoing->link = std::make_shared<Link>(
    context,
    aOutgoing->socket.release(),
    PeerRole::kClient,
    [](const std::string& /*aBody*/) {},
    [weak, aAddress] {
      if (const auto owner = weak.lock()) {
        owner->Break(aAddress);
      }
    });
  const auto link = aOutgoing->link;
  link->Start();
  for (auto& message : std::exchange(aOutgoing->waiting, {})) {
    if (!link->Submit(std::move(message))) {
      link->End();
      return;
    }
  }
}

void FleetLink::Impl::Break(const std::string& aAddress)
{
  if (outgoing.erase(aAddress) > 0 && !isClosed) {
    handlers.onBroken(aAddress);
  }
}

FleetLink::FleetLink(asio::io_context& aContext,
                     FleetLinkOptions aOptions,
                     FleetLinkHandlers aHandlers)
  : mImpl(std::make_shared<Impl>(aContext, std::move(aOptions), std::move(aHandlers)))
{
}

FleetLink::~FleetLink()
{
  Close();
}

std::string FleetLink::Listen()
{
  return mImpl->listener.Listen();
}

void FleetLink::Send(const std::string& aAddress, std::vector<std::uint8_t> aBytes)
{
  if (!mImpl->outgoing.contains(aAddress)) {
    mImpl->Connect(aAddress);
  }
  const auto item = mImpl->outgoing[aAddress];
  if (!item->link) {
    if (item->waiting.size() < kWaitingLimit) {
      item->waiting.push_back(std::move(aBytes));
    }
    return;
  }
  if (!item->link->Submit(std::move(aBytes))) {
    const auto link = item->link;
    link->End();
  }
}

void FleetLink::Disconnect(const std::string& aAddress)
{
  const auto found = mImpl->outgoing.find(aAddress);
  if (found == mImpl->outgoing.end()) {
    return;
  }
  const auto item = found->second;
  mImpl->outgoing.erase(found);
  if (item->link) {
    item->link->Detach();
    item->link->End();
  }
}

void FleetLink::CheckSilence(TimePoint aNow)
{
  const auto links = mImpl->outgoing;
  for (const auto& [address, item] : links) {
    if (item->link && item->link->IsSilent(aNow, mImpl->options.silenceLimit)) {
      item->link->End();
    }
  }
}

void FleetLink::Close()
{
  mImpl->isClosed = true;
  mImpl->listener.Close();
  for (const auto& [address, item] : std::exchange(mImpl->outgoing, {})) {
    if (item->link) {
      item->link->Detach();
      item->link->End();
    }
  }
  for (const auto& link : std::exchange(mImpl->incoming, {})) {
    link->Detach();
    link->End();
  }
}

} // namespace rhubarbtrail

/* Sends and receives the messages between the daemons of a fleet, on the event loop. */
#include "peer/fleet_link.h"

#include "core/boot_clock.h"
#include "http/listener.h"
#include "http/socket_options.h"
#include "peer/peer_connection.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>

namespace rhubarbtrail {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/* Messages to one address that are queued while its connection is being established. Further ones
 * are dropped. */
constexpr std::size_t kQueuedMessageLimit = 1'024;
constexpr Duration kConnectTimeout = 600ms;
/* Time between a failed accept and the next one. */
constexpr Duration kAcceptRetryDelay = 50ms;

/* An accepted or outgoing connection, driven by the event loop. */
class AsyncConnection : public std::enable_shared_from_this<AsyncConnection>
{
public:
  AsyncConnection(asio::io_context& aContext,
                  int aSocket,
                  PeerRole aRole,
                  const FleetLinkOptions& aOptions,
                  PeerConnection::Receiver aReceiver,
                  std::function<void()> aOnEnd)
    : mDescriptor(aContext, aSocket)
    , mConnection(std::make_unique<PeerConnection>(aSocket, aRole, std::move(aReceiver)))
    , mHeld(aOptions.account)
    , mCounted(aOptions.sockets)
    , mOpenedAt(BootClockNow())
    , mOnEnd(std::move(aOnEnd))
  {
    mCounted.Open();
  }

  ~AsyncConnection()
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
    if (mIsEnded || !mConnection->Submit(std::move(aBytes), BootClockNow())) {
      return false;
    }
    Write();
    return !mIsEnded;
  }

  bool HasOverdueMessage(TimePoint aNow, Duration aLimit) const
  {
    return !mIsEnded && mConnection->HasOverdueMessage(aNow, aLimit);
  }

  Duration LongestIncompleteTime(TimePoint aNow)
  {
    return mIsEnded ? Duration::zero() : mConnection->LongestIncompleteTime(aNow);
  }

  std::size_t incompleteBytes() const { return mHeld.bytes(); }
  /* Returns when the connection was accepted if no message has arrived on it, else nothing. */
  std::optional<TimePoint> UnprovenSince() const
  {
    return mIsEnded || mConnection->hasReceivedMessage() ? std::nullopt
                                                         : std::optional{ mOpenedAt };
  }

  /* Sets the handler that is called when bytes of a message that has not ended have arrived. */
  void OnIncompleteBytes(std::function<void()> aHandler)
  {
    mOnIncompleteBytes = std::move(aHandler);
  }

  /* Sets the handler that is called, with the size in bytes, when the connection is closed because
   * its incomplete messages are too large. */
  void OnTooLarge(std::function<void(std::size_t)> aHandler) { mOnTooLarge = std::move(aHandler); }

  /* Closes the connection and calls the end handler, unless Detach() was called. */
  void End()
  {
    if (std::exchange(mIsEnded, true)) {
      return;
    }
    mDescriptor.release();
    mConnection.reset();
    mHeld.Set(0);
    mCounted.Close();
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
                               self->ReportSize();
                               self->End();
                               return;
                             }
                             self->UpdateHeld();
                             if (self->mIsEnded) {
                               return;
                             }
                             self->WaitForWriteIfNeeded();
                             self->WaitForRead();
                           });
  }

  void UpdateHeld()
  {
    const std::size_t bytes = mConnection->incompleteMessageBytes();
    mHeld.Set(bytes);
    if (bytes > 0 && mOnIncompleteBytes) {
      mOnIncompleteBytes();
    }
  }

  void ReportSize()
  {
    if (!mIsEnded && mOnTooLarge && mConnection->excessBytes() > 0) {
      mOnTooLarge(mConnection->excessBytes());
    }
  }

  void Write()
  {
    if (!mConnection->OnWritable()) {
      End();
      return;
    }
    WaitForWriteIfNeeded();
  }

  void WaitForWriteIfNeeded()
  {
    if (mIsEnded || mIsWaitingForWrite || !mConnection->WantsWrite()) {
      return;
    }
    mIsWaitingForWrite = true;
    mDescriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                           [self = shared_from_this()](error_code aError) {
                             self->mIsWaitingForWrite = false;
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
  HeldBytes mHeld;
  CountedSocket mCounted;
  TimePoint mOpenedAt;
  std::function<void()> mOnIncompleteBytes;
  std::function<void()> mOnEnd;
  std::function<void(std::size_t)> mOnTooLarge;
  bool mIsWaitingForWrite = false;
  bool mIsEnded = false;
};

/* A connection to one address. Messages are queued until it is established. */
struct OutgoingConnection
{
  explicit OutgoingConnection(asio::io_context& aContext)
    : socket(aContext)
    , timer(aContext)
  {
  }

  tcp::socket socket;
  asio::steady_timer timer;
  std::shared_ptr<AsyncConnection> connection; ///< Null until it is established.
  std::vector<std::vector<std::uint8_t>> queuedMessages;
};

} // namespace

struct FleetLink::Impl : std::enable_shared_from_this<FleetLink::Impl>
{
  Impl(asio::io_context& aContext, FleetLinkOptions aOptions, FleetLinkHandlers aHandlers)
    : context(aContext)
    , options(std::move(aOptions))
    , handlers(std::move(aHandlers))
    , listener(aContext,
               { .address = options.address,
                 .receiveBufferBytes = options.receiveBufferBytes,
                 .retryDelay = kAcceptRetryDelay },
               { .onConnection =
                   [this](tcp::socket aSocket) { AddIncomingConnection(std::move(aSocket)); },
                 .onAcceptError = [this] { LimitUnproven(0); } })
  {
  }

  void AddIncomingConnection(tcp::socket aSocket);
  void Connect(const std::string& aAddress);
  void OnConnected(const std::string& aAddress,
                   const std::shared_ptr<OutgoingConnection>& aOutgoingConnection);
  void OnConnectionEnded(const std::string& aAddress);
  void CloseEndlessConnections(TimePoint aNow);
  /* Closes the oldest connections on which no message has arrived while there are more than aLimit.
   */
  void LimitUnproven(std::size_t aLimit);
  void LimitIncompleteMessages();
  void ReportLimit(const ExceededMessageLimit& aExceeded) const
  {
    if (handlers.onLimitExceeded) {
      handlers.onLimitExceeded(aExceeded);
    }
  }

  asio::io_context& context;
  FleetLinkOptions options;
  FleetLinkHandlers handlers;
  http::Listener listener;
  std::map<std::string, std::shared_ptr<OutgoingConnection>> outgoingConnections;
  std::set<std::shared_ptr<AsyncConnection>> incomingConnections;
  bool isClosed = false;
};

void FleetLink::Impl::AddIncomingConnection(tcp::socket aSocket)
{
  error_code ignored; // If this fails, the first read fails, too, and closes the connection.
  aSocket.native_non_blocking(true, ignored);
  http::SetSocketOptions(aSocket);
  const std::weak_ptr<Impl> weak = weak_from_this();
  auto ownConnection = std::make_shared<std::weak_ptr<AsyncConnection>>();
  auto connection = std::make_shared<AsyncConnection>(
    context,
    aSocket.release(),
    PeerRole::kServer,
    options,
    [weak](const std::string& aBody) {
      if (const auto owner = weak.lock()) {
        owner->handlers.onMessage(aBody);
      }
    },
    [weak, ownConnection] {
      if (const auto owner = weak.lock()) {
        owner->incomingConnections.erase(ownConnection->lock());
      }
    });
  *ownConnection = connection;
  connection->OnTooLarge([weak](std::size_t aSize) {
    if (const auto owner = weak.lock()) {
      owner->ReportLimit(
        { .part = "size", .value = aSize, .limit = PeerConnection::kIncompleteMessageBytesLimit });
    }
  });
  connection->OnIncompleteBytes([weak] {
    if (const auto owner = weak.lock()) {
      owner->LimitIncompleteMessages();
    }
  });
  LimitUnproven(options.unprovenConnections - 1);
  incomingConnections.insert(connection);
  connection->Start();
}

void FleetLink::Impl::LimitUnproven(std::size_t aLimit)
{
  std::vector<std::pair<TimePoint, std::shared_ptr<AsyncConnection>>> unproven;
  for (const auto& connection : incomingConnections) {
    if (const auto since = connection->UnprovenSince()) {
      unproven.emplace_back(*since, connection);
    }
  }
  if (unproven.size() <= aLimit) {
    return;
  }
  ReportLimit({ .part = "connections", .value = unproven.size(), .limit = aLimit });
  std::sort(unproven.begin(), unproven.end());
  unproven.resize(unproven.size() - aLimit);
  for (const auto& [since, connection] : unproven) {
    connection->End();
  }
}

void FleetLink::Impl::LimitIncompleteMessages()
{
  const std::size_t limit = options.incompleteMessagesLimit ? options.incompleteMessagesLimit() : 0;
  std::size_t total = 0;
  std::shared_ptr<AsyncConnection> largest;
  const auto rank = [](const AsyncConnection& aItem) {
    return std::pair{ aItem.UnprovenSince().has_value(), aItem.incompleteBytes() };
  };
  for (const auto& connection : incomingConnections) {
    if (connection->incompleteBytes() == 0) {
      continue;
    }
    total += connection->incompleteBytes();
    if (!largest || rank(*connection) > rank(*largest)) {
      largest = connection;
    }
  }
  if (limit > 0 && total > limit) {
    ReportLimit({ .part = "total", .value = total, .limit = limit });
    largest->End();
  }
}

void FleetLink::Impl::Connect(const std::string& aAddress)
{
  auto outgoing = std::make_shared<OutgoingConnection>(context);
  outgoingConnections[aAddress] = outgoing;
  const auto endpoint = http::ParseSocketAddress(aAddress);
  error_code error;
  if (endpoint) {
    outgoing->socket.open(endpoint->protocol(), error);
  }
  if (!endpoint || error) {
    asio::post(context,
               [self = shared_from_this(), aAddress] { self->OnConnectionEnded(aAddress); });
    return;
  }
  http::SetSocketOptions(outgoing->socket);
  outgoing->timer.expires_after(kConnectTimeout);
  outgoing->timer.async_wait([outgoing](error_code aError) {
    if (!aError && !outgoing->connection) {
      error_code ignored; // Closing the socket ends async_connect() with an error.
      outgoing->socket.close(ignored);
    }
  });
  outgoing->socket.async_connect(
    *endpoint, [self = shared_from_this(), outgoing, aAddress](error_code aError) {
      outgoing->timer.cancel();
      const auto found = self->outgoingConnections.find(aAddress);
      if (found == self->outgoingConnections.end() || found->second != outgoing) {
        return; // Disconnect() or Close() was called meanwhile.
      }
      if (aError) {
        self->OnConnectionEnded(aAddress);
        return;
      }
      self->OnConnected(aAddress, outgoing);
    });
}

void FleetLink::Impl::OnConnected(const std::string& aAddress,
                                  const std::shared_ptr<OutgoingConnection>& aOutgoingConnection)
{
  error_code ignored; // If this fails, the first write fails, too, and closes the connection.
  aOutgoingConnection->socket.native_non_blocking(true, ignored);
  const std::weak_ptr<Impl> weak = weak_from_this();
  aOutgoingConnection->connection = std::make_shared<AsyncConnection>(
    context,
    aOutgoingConnection->socket.release(),
    PeerRole::kClient,
    options,
    [](const std::string& /*aBody*/) {},
    [weak, aAddress] {
      if (const auto owner = weak.lock()) {
        owner->OnConnectionEnded(aAddress);
      }
    });
  const auto connection = aOutgoingConnection->connection;
  connection->Start();
  for (auto& message : std::exchange(aOutgoingConnection->queuedMessages, {})) {
    if (!connection->Submit(std::move(message))) {
      connection->End();
      return;
    }
  }
}

void FleetLink::Impl::OnConnectionEnded(const std::string& aAddress)
{
  if (outgoingConnections.erase(aAddress) > 0 && !isClosed) {
    handlers.onConnectionEnded(aAddress);
  }
}

/* Closes accepted connections with a message that has not ended in time. */
void FleetLink::Impl::CloseEndlessConnections(TimePoint aNow)
{
  const auto connections = incomingConnections;
  for (const auto& connection : connections) {
    const auto unprovenSince = connection->UnprovenSince();
    const Duration time = std::max(connection->LongestIncompleteTime(aNow),
                                   unprovenSince ? aNow - *unprovenSince : Duration::zero());
    if (time <= options.messageTimeout) {
      continue;
    }
    ReportLimit({ .part = "time",
                  .value = static_cast<std::uint64_t>(ToMilliseconds(time)),
                  .limit = static_cast<std::uint64_t>(ToMilliseconds(options.messageTimeout)) });
    connection->End();
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
  if (!mImpl->outgoingConnections.contains(aAddress)) {
    mImpl->Connect(aAddress);
  }
  const auto outgoing = mImpl->outgoingConnections[aAddress];
  if (!outgoing->connection) {
    if (outgoing->queuedMessages.size() < kQueuedMessageLimit) {
      outgoing->queuedMessages.push_back(std::move(aBytes));
    }
    return;
  }
  if (!outgoing->connection->Submit(std::move(aBytes))) {
    const auto connection = outgoing->connection;
    connection->End();
  }
}

void FleetLink::Disconnect(const std::string& aAddress)
{
  const auto found = mImpl->outgoingConnections.find(aAddress);
  if (found == mImpl->outgoingConnections.end()) {
    return;
  }
  const auto outgoing = found->second;
  mImpl->outgoingConnections.erase(found);
  if (outgoing->connection) {
    outgoing->connection->Detach();
    outgoing->connection->End();
  }
}

void FleetLink::CloseOverdueConnections(TimePoint aNow)
{
  const auto connections = mImpl->outgoingConnections;
  for (const auto& [address, outgoing] : connections) {
    if (outgoing->connection &&
        outgoing->connection->HasOverdueMessage(aNow, mImpl->options.responseTimeout)) {
      outgoing->connection->End();
    }
  }
  mImpl->CloseEndlessConnections(aNow);
}

void FleetLink::Close()
{
  mImpl->isClosed = true;
  mImpl->listener.Close();
  for (const auto& [address, outgoing] : std::exchange(mImpl->outgoingConnections, {})) {
    if (outgoing->connection) {
      outgoing->connection->Detach();
      outgoing->connection->End();
    }
  }
  for (const auto& connection : std::exchange(mImpl->incomingConnections, {})) {
    connection->Detach();
    connection->End();
  }
}

} // namespace rhubarbtrail

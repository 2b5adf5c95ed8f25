/* The thread that sends and receives the messages between daemons. */
#include "peer/peer_transport.h"

#include "peer/peer_connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace rhubarbtrail {

namespace {

/* Longest wait in poll(). Connections with overdue messages are closed at least that often. */
constexpr int kPollTimeoutMs = 200;
/* Connections accepted from other daemons. Further ones are closed at once. */
constexpr std::size_t kConnectionLimit = 2'048;
/* Bytes that the kernel may buffer for each connection when the peer is slow to read. A complete
 * configuration fits. */
constexpr int kSendBufferBytes = 4 << 20;

TimePoint Now()
{
  return TimePoint{ std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()) };
}

void SetSocketOptions(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(aSocket, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof(kSendBufferBytes));
}

/* Parses "host:port". Returns false when the host is not an IPv4 address. Accepts any port. */
bool ParseAddress(const std::string& aAddress, sockaddr_in& aOut)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  aOut = {};
  aOut.sin_family = AF_INET;
  aOut.sin_port = htons(static_cast<std::uint16_t>(std::atoi(aAddress.c_str() + colon + 1)));
  return inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &aOut.sin_addr) == 1;
}

/* Starts a non-blocking connect. Returns the socket, or -1 on failure. */
int StartConnect(const std::string& aAddress)
{
  sockaddr_in target{};
  if (!ParseAddress(aAddress, target)) {
    return -1;
  }
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    return -1;
  }
  SetSocketOptions(socket);
  const int result = connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof(target));
  if (result < 0 && errno != EINPROGRESS) {
    close(socket);
    return -1;
  }
  return socket;
}

} // namespace

struct PeerTransport::Impl
{
  struct PendingMessage
  {
    std::string address;
    std::vector<std::uint8_t> body;
  };

  Impl(PeerTransportOptions aOptions, std::function<void(Envelope)> aOnEnvelope)
    : options(std::move(aOptions))
    , onEnvelope(std::move(aOnEnvelope))
  {
  }

  void Run();
  void Accept();
  void SubmitPendingMessages();
  void SubmitMessage(const PendingMessage& aMessage);
  void ServeConnections(const std::vector<pollfd>& aPolled);
  std::vector<pollfd> PollSet() const;
  void ReceiveMessage(const std::string& aBody);
  void CloseOverdue();

  PeerTransportOptions options;
  std::function<void(Envelope)> onEnvelope;
  int listener = -1;
  int wakeupEvent = -1;
  std::atomic<bool> isStopping{ false };
  std::mutex mutex;
  std::vector<PendingMessage> pendingMessages;
  std::map<std::string, std::unique_ptr<PeerConnection>> outgoingConnections;
  std::vector<std::unique_ptr<PeerConnection>> incomingConnections;
  std::atomic<std::uint64_t> sentBytes{ 0 };
  std::atomic<std::uint64_t> receivedBytes{ 0 };
  std::atomic<std::uint64_t> sentMessages{ 0 };
  std::atomic<std::uint64_t> lostMessages{ 0 };
  std::thread thread;
};

void PeerTransport::Impl::ReceiveMessage(const std::string& aBody)
{
  receivedBytes += aBody.size();
  if (auto envelope = DecodeEnvelope(aBody)) {
    onEnvelope(std::move(*envelope));
  }
}

void PeerTransport::Impl::Accept()
{
  while (true) {
    const int socket = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    if (incomingConnections.size() >= kConnectionLimit) {
      close(socket);
      continue;
    }
    SetSocketOptions(socket);
    incomingConnections.push_back(std::make_unique<PeerConnection>(
      socket, PeerRole::kServer, [this](const std::string& aBody) { ReceiveMessage(aBody); }));
  }
}

void PeerTransport::Impl::SubmitMessage(const PendingMessage& aMessage)
{
  auto& connection = outgoingConnections[aMessage.address];
  if (connection == nullptr) {
    const int socket = StartConnect(aMessage.address);
    if (socket < 0) {
      outgoingConnections.erase(aMessage.address);
      ++lostMessages;
      return;
    }
    connection =
      std::make_unique<PeerConnection>(socket, PeerRole::kClient, [](const std::string&) {});
  }
  if (!connection->Submit(aMessage.body, Now())) {
    ++lostMessages;
    return;
  }
  sentBytes += aMessage.body.size();
  ++sentMessages;
}

void PeerTransport::Impl::SubmitPendingMessages()
{
  std::vector<PendingMessage> batch;
  {
    const std::lock_guard lock(mutex);
    batch.swap(pendingMessages);
  }
  for (const PendingMessage& message : batch) {
    SubmitMessage(message);
  }
}

std::vector<pollfd> PeerTransport::Impl::PollSet() const
{
  std::vector<pollfd> set{ { wakeupEvent, POLLIN, 0 }, { listener, POLLIN, 0 } };
  const auto add = [&set](const PeerConnection& aConnection) {
    const short events = aConnection.WantsWrite() ? POLLIN | POLLOUT : POLLIN;
    set.push_back({ aConnection.socket(), events, 0 });
  };
  for (const auto& [address, connection] : outgoingConnections) {
    add(*connection);
  }
  for (const auto& connection : incomingConnections) {
    add(*connection);
  }
  return set;
}

void PeerTransport::Impl::ServeConnections(const std::vector<pollfd>& aPolled)
{
  const auto serve = [&aPolled](PeerConnection& aConnection) {
    const auto polled = std::find_if(aPolled.begin(), aPolled.end(), [&](const pollfd& aItem) {
      return aItem.fd == aConnection.socket();
    });
    if (polled == aPolled.end() || polled->revents == 0) {
      return true;
    }
    if ((polled->revents & (POLLERR | POLLHUP)) != 0 && (polled->revents & POLLIN) == 0) {
      return false;
    }
    if ((polled->revents & POLLOUT) != 0 && !aConnection.OnWritable()) {
      return false;
    }
    return (polled->revents & POLLIN) == 0 || aConnection.OnReadable();
  };
  std::erase_if(outgoingConnections, [&](auto& aItem) {
    if (serve(*aItem.second)) {
      return false;
    }
    lostMessages += aItem.second->unansweredMessages();
    return true;
  });
  std::erase_if(incomingConnections, [&](auto& aConnection) { return !serve(*aConnection); });
}

void PeerTransport::Impl::CloseOverdue()
{
  std::erase_if(outgoingConnections, [&](const auto& aItem) {
    return aItem.second->HasOverdueMessage(Now(), options.responseTimeout);
  });
}

void PeerTransport::Impl::Run()
{
  while (!isStopping) {
    std::vector<pollfd> set = PollSet();
    poll(set.data(), set.size(), kPollTimeoutMs);
    if ((set[0].revents & POLLIN) != 0) {
      std::uint64_t count = 0;
      (void)!read(wakeupEvent, &count, sizeof(count));
    }
    ServeConnections(set);
    CloseOverdue();
    if ((set[1].revents & POLLIN) != 0) {
      Accept();
    }
    SubmitPendingMessages();
  }
}

PeerTransport::PeerTransport(PeerTransportOptions aOptions,
                             std::function<void(Envelope)> aOnEnvelope)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), std::move(aOnEnvelope)))
{
}

PeerTransport::~PeerTransport()
{
  Stop();
}

std::uint16_t PeerTransport::Start()
{
  sockaddr_in local{};
  if (!ParseAddress(mImpl->options.address + ":" + std::to_string(mImpl->options.port), local)) {
    return 0;
  }
  mImpl->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(mImpl->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  socklen_t length = sizeof(local);
  const bool isBound =
    bind(mImpl->listener, reinterpret_cast<sockaddr*>(&local), sizeof(local)) == 0 &&
    listen(mImpl->listener, SOMAXCONN) == 0 &&
    getsockname(mImpl->listener, reinterpret_cast<sockaddr*>(&local), &length) == 0;
  if (!isBound) {
    return 0;
  }
  mImpl->wakeupEvent = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  mImpl->thread = std::thread([this] { mImpl->Run(); });
  return ntohs(local.sin_port);
}

void PeerTransport::Send(const std::string& aAddress, const Envelope& aEnvelope)
{
  {
    const std::lock_guard lock(mImpl->mutex);
    mImpl->pendingMessages.push_back({ aAddress, EncodeEnvelope(aEnvelope) });
  }
  const std::uint64_t one = 1;
  (void)!write(mImpl->wakeupEvent, &one, sizeof(one));
}

void PeerTransport::Stop()
{
  if (!mImpl->thread.joinable()) {
    return;
  }
  mImpl->isStopping = true;
  const std::uint64_t one = 1;
  (void)!write(mImpl->wakeupEvent, &one, sizeof(one));
  mImpl->thread.join();
  mImpl->outgoingConnections.clear();
  mImpl->incomingConnections.clear();
  close(mImpl->listener);
  close(mImpl->wakeupEvent);
}

PeerCounters PeerTransport::counters() const
{
  return { mImpl->sentBytes, mImpl->receivedBytes, mImpl->sentMessages, mImpl->lostMessages };
}

} // namespace rhubarbtrail

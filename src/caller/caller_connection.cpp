/* Connections of callers on POSIX sockets. */
#include "caller/caller_connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace rhubarbtrail {

namespace {

using Clock = std::chrono::steady_clock;

/* Longest sleep of an idle connection before it looks whether the server is closing. */
constexpr Duration kIdlePoll = 100ms;
/* The same while other connections wait for a thread. */
constexpr Duration kPressedPoll = 10ms;
constexpr std::size_t kReadSize = 4'096;

/* The socket that this thread serves, or -1. */
thread_local int sSocket = -1;
thread_local bool sIsTooLarge = false;

/* Waits for events on a socket; false when the time has passed or the socket has failed. */
bool Poll(int aSocket, short aEvents, std::chrono::nanoseconds aLimit)
{
  pollfd item{ aSocket, aEvents, 0 };
  const auto limit = std::chrono::ceil<std::chrono::milliseconds>(std::max(aLimit, {}));
  const int count = poll(&item, 1, static_cast<int>(limit.count()));
  return count > 0 && (item.revents & (POLLERR | POLLNVAL)) == 0;
}

void ReadAddress(int (*aRead)(int, sockaddr*, socklen_t*),
                 int aSocket,
                 std::string& aIp,
                 int& aPort)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  std::array<char, INET_ADDRSTRLEN> text{};
  if (aRead(aSocket, reinterpret_cast<sockaddr*>(&address), &length) == 0 &&
      address.sin_family == AF_INET) {
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    aIp = text.data();
    aPort = ntohs(address.sin_port);
  }
}

/* A caller's socket, with bounds for each request. */
class CallerStream : public httplib::Stream
{
public:
  CallerStream(int aSocket, const CallerConnectionOptions& aOptions)
    : mSocket(aSocket)
    , mOptions(aOptions)
  {
  }

  /* Starts the count of bytes and time anew. */
  void BeginRequest()
  {
    sIsTooLarge = false;
    mRequestBytes = mEnd - mBegin;
    mRequestEnd = Clock::now() + mOptions.requestTime;
  }

  bool HasBuffered() const { return mBegin < mEnd; }

  bool is_readable() const override
  {
    return HasBuffered() || Poll(mSocket, POLLIN, mRequestEnd - Clock::now());
  }

  bool is_writable() const override
  {
    return Poll(mSocket, POLLOUT, mOptions.writeTime) && !BoundedServer::IsCallerGone();
  }

  ssize_t read(char* aData, std::size_t aSize) override
  {
    if (!HasBuffered() && !Fill()) {
      return -1;
    }
    const std::size_t count = std::min(aSize, mEnd - mBegin);
    std::copy_n(mBuffer.begin() + static_cast<std::ptrdiff_t>(mBegin), count, aData);
    mBegin += count;
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* aData, std::size_t aSize) override
  {
    std::size_t offset = 0;
    while (offset < aSize) {
      const ssize_t sent =
        send(mSocket, aData + offset, aSize - offset, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent > 0) {
        offset += static_cast<std::size_t>(sent);
        continue;
      }
      const bool isBlocked = errno == EAGAIN || errno == EINTR;
      if (!isBlocked || !Poll(mSocket, POLLOUT, mOptions.writeTime)) {
        return -1;
      }
    }
    return static_cast<ssize_t>(aSize);
  }

  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override
  {
    ReadAddress(getpeername, mSocket, aIp, aPort);
  }
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override
  {
    ReadAddress(getsockname, mSocket, aIp, aPort);
  }
  socket_t socket() const override { return mSocket; }

private:
  /* Reads more of the request; false at its end or when it exceeds a bound. */
  bool Fill()
  {
    sIsTooLarge = mRequestBytes > mOptions.requestLimit;
    if (sIsTooLarge || !Poll(mSocket, POLLIN, mRequestEnd - Clock::now())) {
      return false;
    }
    const ssize_t count = recv(mSocket, mBuffer.data(), mBuffer.size(), 0);
    if (count <= 0) {
      return false;
    }
    mBegin = 0;
    mEnd = static_cast<std::size_t>(count);
    mRequestBytes += mEnd;
    return true;
  }

  const int mSocket;
  const CallerConnectionOptions& mOptions;
  std::array<char, kReadSize> mBuffer{};
  std::size_t mBegin = 0;
  std::size_t mEnd = 0;
  std::size_t mRequestBytes = 0;
  Clock::time_point mRequestEnd{};
};

/* Counts the connections that no thread has taken yet. */
class CountingQueue : public httplib::TaskQueue
{
public:
  CountingQueue(std::size_t aThreads, std::atomic<int>& aWaiting)
    : mPool(aThreads)
    , mWaiting(aWaiting)
  {
  }

  void enqueue(std::function<void()> aTask) override
  {
    ++mWaiting;
    mPool.enqueue([this, task = std::move(aTask)] {
      --mWaiting;
      task();
    });
  }

  void shutdown() override { mPool.shutdown(); }

private:
  httplib::ThreadPool mPool;
  std::atomic<int>& mWaiting;
};

/* Whether the framing of the request that this thread serves is unsound. */
thread_local bool sIsUnsound = false;

} // namespace

BoundedServer::BoundedServer(CallerConnectionOptions aOptions)
  : mOptions(aOptions)
{
}

void BoundedServer::Close()
{
  mIsClosing = true;
  stop();
}

bool BoundedServer::IsCallerGone()
{
  char byte = 0;
  const ssize_t count = recv(sSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

bool BoundedServer::IsRequestTooLarge()
{
  return sIsTooLarge;
}

httplib::TaskQueue* BoundedServer::MakeQueue(std::size_t aThreads)
{
  return new CountingQueue(aThreads, mWaiting);
}

void BoundedServer::RefuseFraming(httplib::Response& aResponse)
{
  sIsUnsound = true;
  aResponse.status = 400;
  aResponse.set_header("Connection", "close");
}

bool BoundedServer::WaitForRequest(httplib::Stream& aStream) const
{
  const auto end = Clock::now() + mOptions.idleTime;
  while (Clock::now() < end) {
    const bool isPressed = mWaiting > 0;
    if (Poll(aStream.socket(), POLLIN, isPressed ? kPressedPoll : kIdlePoll)) {
      return true;
    }
    if (mIsClosing || isPressed) {
      return false;
    }
  }
  return false;
}

bool BoundedServer::process_and_close_socket(socket_t aSocket)
{
  sSocket = aSocket;
  CallerStream stream(aSocket, mOptions);
  bool isOpen = true;
  for (std::size_t left = keep_alive_max_count_; isOpen && left > 0; --left) {
    if (!stream.HasBuffered() && !WaitForRequest(stream)) {
      break;
    }
    stream.BeginRequest();
    sIsUnsound = false;
    bool isClosed = false;
    isOpen = process_request(stream, left == 1 || mIsClosing, isClosed, nullptr) && !isClosed &&
             !sIsUnsound;
  }
  sSocket = -1;
  shutdown(aSocket, SHUT_RDWR);
  close(aSocket);
  return isOpen;
}

} // namespace rhubarbtrail

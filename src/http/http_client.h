/* An event-driven HTTP/1.1 client on Boost.Asio with a pool of idle connections. The blocking
 * client on cpp-httplib is in core/httplib_client_func.h. */
#ifndef RHUBARBTRAIL_HTTP_HTTP_CLIENT_H
#define RHUBARBTRAIL_HTTP_HTTP_CLIENT_H

#include "core/byte_account.h"
#include "core/socket_count.h"
#include "core/unit_type.h"
#include "http/http_type.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbtrail::http {

/* Whether a call may use an idle connection of the pool. */
enum class Reuse : std::uint8_t
{
  kAllowed,
  kFresh, ///< Opens a new connection, which has carried no other request.
};

struct CallOptions
{
  std::string address; ///< IP:port
  Request request;
  Reuse reuse = Reuse::kAllowed;
  Duration connectTimeout = 1s; ///< Time limit for opening a connection.
  Duration answerTimeout = 2s;  ///< From the start of the call to the head of the final answer.
  Duration bodyIdleTimeout{};   ///< Longest time without bytes after the head; 0 for no limit.
  /* Largest size of the body in bytes, without the chunk framing; 0 for no limit. */
  std::uint64_t maxBodyBytes = 1U << 20U;
  /* From the start of the call to the end of the answer; 0 for no limit. */
  Duration totalTimeout = 5s;
  /* Returns whether the request may still be sent. Asked when the connection is ready; if not, the
   * call ends as kNotConnected. May be empty. */
  std::function<bool()> mayBeSent;
};

enum class CallResult : std::uint8_t
{
  kComplete,
  /* No byte of the request was sent: no connection could be opened in time, or the request was no
   * longer to be sent. */
  kNotConnected,
  kBroken, ///< The connection ended before the end of the answer.
  /* Not a valid HTTP answer, a status that is no interim or final one, or too many answers to other
   * requests, or one such answer after which the endpoint closes the connection. */
  kMalformed,
  kTooLarge, ///< A part of the answer exceeded its limit, for example maxBodyBytes.
  kTimedOut, ///< answerTimeout passed without a head, or a time limit without the end of the body.
};

/* Returns the name of a result in log events. */
std::string_view ToString(CallResult aResult);

struct CallHandlers
{
  /* Receives the head of an answer. Returns false if the answer belongs to another request: the
   * client then skips it and waits for the next answer on the connection. */
  std::function<bool(const AnswerHead&)> onHead;
  /* Receives the head of an interim answer (1xx), which the final one follows. May be empty. */
  std::function<void(const AnswerHead&)> onInterimHead;
  /* Receives a part of the body, without the chunk framing. The bytes are valid during the call. */
  std::function<void(std::string_view)> onBody;
  /* Called once, after all other handlers; not called after Cancel(). */
  std::function<void(CallResult)> onEnd;
};

/* The part of an answer that exceeded its limit. */
enum class AnswerPart : std::uint8_t
{
  kHead,         ///< Size of a head, in bytes.
  kInterimHeads, ///< Number of interim answers.
  kOtherAnswer,  ///< Size of the bodies of answers to other requests, in bytes.
  kBody,         ///< Size of the body, in bytes.
  kFraming,      ///< Size of a chunk's first line or of the trailer, in bytes.
  kTime,         ///< Time from the start of the call, or the limited time for the rest, in ms.
};

/* Returns the name of a part in log events. */
std::string_view ToString(AnswerPart aPart);

/* An answer that exceeded a limit. Its call ends and its connection is closed. */
struct ExceededLimit
{
  std::string address;
  std::string target; ///< Of the request.
  AnswerPart part = AnswerPart::kHead;
  std::uint64_t value = 0; ///< What was received when the limit was noticed.
  std::uint64_t limit = 0;
};

class ClientConnection;

/* Handle of a call in progress. Its destruction does not cancel the call. */
class Call
{
public:
  Call(const std::shared_ptr<ClientConnection>& aConnection, std::uint64_t aNumber);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  /* Returns whether the connection has carried another call before this one, so that an answer to
   * that call may come once more. */
  bool isConnectionReused() const;
  /* Aborts the call and closes its connection. No handler is called afterwards. */
  void Cancel();
  /* Pause() stops reading from the socket, for example while the client of the answer reads more
   * slowly than the endpoint sends. A read that is already waiting still delivers its bytes. The
   * time limits of the call keep running. */
  void Pause();
  void Resume();
  /* Returns the size of the request while not all of it has been written to the socket, else 0. */
  std::size_t unsentBytes() const;
  /* Returns the bytes of the answer that the kernel holds unread. */
  std::size_t unreadBytes() const;
  /* Replaces the limits of the body: its size in bytes, and the time from now to its end. 0 means
   * no new time limit. The call ends as kTooLarge or kTimedOut beyond them. To be called by
   * CallHandlers::onHead. */
  void LimitBody(std::uint64_t aMaxBytes, Duration aMaxTime);
  /* Ends the call with this result, unless it ends by itself before, and closes its connection. May
   * be called by any handler; onEnd is called later. */
  void End(CallResult aResult);

private:
  /* Returns the connection while it carries this call, else null. */
  std::shared_ptr<ClientConnection> connection() const;

  std::weak_ptr<ClientConnection> mConnection;
  std::uint64_t mNumber = 0;
};

struct ClientOptions
{
  std::size_t maxIdlePerAddress = 16; ///< Idle connections kept for each address.
  Duration idleTimeout = 4s;          ///< Time after which an idle connection is closed.
  /* Called when an answer exceeds a limit, before the call ends. May be empty. */
  std::function<void(const ExceededLimit&)> onLimitExceeded;
  /* Takes what the connections buffer. May be null; otherwise it must outlive the client. */
  ByteAccount* account = nullptr;
  SocketCount* sockets = nullptr; ///< Counts the connections, like account.
  /* Returns the size of the kernel's receive buffer of a connection that is about to be opened; 0
   * leaves the size to the kernel. May be empty. */
  std::function<std::size_t()> receiveBufferLimit;
  /* Returns how many bytes of a request may wait in the kernel without being on the way, for a
   * connection that is about to be opened; 0 for no limit. May be empty. */
  std::function<std::size_t()> sendBacklogLimit;
};

struct ClientCounts
{
  std::uint64_t calls = 0;
  std::uint64_t connects = 0; ///< Attempts to open a connection.
  /* Times that a connection received data that belongs to no open request on it. */
  std::uint64_t unsolicitedData = 0;
};

/* Sends requests and keeps the connections of completed calls for reuse. All calls and handlers run
 * on the thread of the event loop. */
class Client
{
public:
  Client(boost::asio::io_context& aContext, const ClientOptions& aOptions);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /* Starts a call. No handler is called before this function returns. */
  std::unique_ptr<Call> Start(const CallOptions& aOptions, CallHandlers aHandlers);
  /* Closes the idle connections to an address. */
  void CloseIdleTo(const std::string& aAddress);
  /* Closes all idle connections. Calls in progress continue, but their connections are not kept. */
  void Close();
  ClientCounts counts() const;

private:
  friend class ClientConnection;
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail::http

#endif

/* An event-driven HTTP/1.1 client that keeps connections for reuse. */
#ifndef RHUBARBTRAIL_HTTP_HTTP_CLIENT_H
#define RHUBARBTRAIL_HTTP_HTTP_CLIENT_H

#include "core/unit_type.h"
#include "http/http_type.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbtrail::http {

enum class Reuse : std::uint8_t
{
  kAllowed,
  kFresh, ///< A new connection, so that only this request can be on it.
};

struct CallOptions
{
  std::string address; ///< host:port
  Request request;
  Reuse reuse = Reuse::kAllowed;
  Duration connectTime = 1s;
  Duration answerTime = 2s; ///< From the start of the call to the head of the answer.
  Duration silenceTime{};   ///< Longest silence within the body; 0: no limit.
};

enum class CallResult : std::uint8_t
{
  kComplete,
  kNotConnected, ///< No byte of the request can have left.
  kBroken,       ///< The connection ended before the end of the answer.
  kMalformed,    ///< What came is not an answer.
  kTimedOut,     ///< No answer in time, or a silence within it.
};

/* Returns the word that logs carry for a result. */
std::string_view ToString(CallResult aResult);

struct CallHandlers
{
  /* Takes the head; false when it answers another request, and the next answer is to be read. */
  std::function<bool(const AnswerHead&)> onHead;
  std::function<void(std::string_view)> onBody;
  /* Called once, last; not called after Cancel(). */
  std::function<void(CallResult)> onEnd;
};

class ClientConnection;

/* A call under way. */
class Call
{
public:
  Call(const std::shared_ptr<ClientConnection>& aConnection, std::uint64_t aNumber);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  /* Gives the call up and closes its connection. No handler is called afterwards. */
  void Cancel();
  /* Stops and resumes reading, for a reader that is slower than the endpoint. */
  void Pause();
  void Resume();

private:
  /* Returns the connection while this call is the one on it, else null. */
  std::shared_ptr<ClientConnection> connection() const;

  std::weak_ptr<ClientConnection> mConnection;
  std::uint64_t mNumber = 0;
};

struct ClientOptions
{
  std::size_t idlePerAddress = 16; ///< Connections kept for reuse, to one address.
  Duration idleTime = 4s;          ///< Longest time for which one is kept without use.
};

struct ClientCounts
{
  std::uint64_t calls = 0;
  std::uint64_t connects = 0;
  std::uint64_t spoiled = 0; ///< Connections dropped because of bytes that belong to no request.
};

class Client
{
public:
  Client(boost::asio::io_context& aContext, const ClientOptions& aOptions);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /* Starts a call. No handler is called before this returns. */
  std::unique_ptr<Call> Start(const CallOptions& aOptions, CallHandlers aHandlers);
  /* Closes the idle connections to an address. */
  void Forget(const std::string& aAddress);
  void Close();
  ClientCounts counts() const;

private:
  friend class ClientConnection;
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail::http

#endif

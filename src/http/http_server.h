/* An event-driven HTTP/1.1 server on Boost.Asio that serves thousands of connections on one thread.
 * The runner of cpp-httplib servers is in core/httplib_server.h. */
#ifndef RHUBARBTRAIL_HTTP_HTTP_SERVER_H
#define RHUBARBTRAIL_HTTP_HTTP_SERVER_H

#include "core/byte_account.h"
#include "core/socket_count.h"
#include "core/unit_type.h"
#include "decision/fleet/request_intake.h"
#include "http/http_type.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbtrail::http {

class ServerConnection;

/* Sends the answer to one request. Calls have no effect after the connection has closed. */
class Responder
{
public:
  explicit Responder(const std::shared_ptr<ServerConnection>& aConnection);
  ~Responder();
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  /* Sends the status line and the header fields. */
  void SendHead(const AnswerHead& aHead);
  /* Sends a part of the body with the framing that the head announced. */
  void SendBody(std::string_view aBytes);
  /* Completes the answer. The connection then takes the next request or closes. */
  void Finish();
  /* Closes the connection once the bytes sent so far are written, without completing the answer, so
   * that the client can tell that the answer is truncated. */
  void Abort();
  /* Discards the bytes that are not written and resets the connection, so that the client can tell
   * that the answer is truncated. */
  void Reset();
  /* Sends a complete answer with a Content-Length. */
  void Send(AnswerHead aHead, std::string_view aBody);

  /* Returns the number of bytes that have not been written to the socket yet. */
  std::size_t unsentBytes() const;
  /* Returns the id of the connection, unique in its server, or 0 after it has closed. */
  std::uint64_t connectionId() const;
  /* Names the request in progress for Server::Readers(). */
  void SetLabel(const std::string& aLabel);

  /* Sets the handler that is called if the connection closes, on either side, before Finish() or
   * Abort(). */
  void OnClosed(std::function<void()> aHandler);
  /* Sets the handler that is called, until the answer ends, each time that all bytes sent so far
   * have been written to the socket. */
  void OnSendBufferEmpty(std::function<void()> aHandler);

private:
  std::weak_ptr<ServerConnection> mConnection;
};

/* Limits on what clients may send. They may be changed while connections are open and then apply
 * from the next request on each connection, and from the next time limit that starts. A longer idle
 * timeout also applies to connections that are idle already. */
struct ServerLimits
{
  std::size_t headerBytes = 16U << 10U; ///< Size of the head of a request.
  std::uint64_t bodyBytes = 4U << 20U;  ///< Size of the body of a request.
  Duration headerTimeout = 3s; ///< From the first byte of a request to the end of its head.
  Duration bodyTimeout = 30s;  ///< From the end of the head to the end of the body.
  Duration idleTimeout = 15s;  ///< Before the first request and between requests.
};

/* The answer to a request that is malformed, too large or too slow. */
struct Rejection
{
  unsigned status = 0;
  Fields fields;
  std::string body;
};

/* Why a request was rejected, for log events. */
struct RejectedRequest
{
  unsigned status = 0; ///< Of the answer.
  /* "head", "body", "framing", "time" or "malformed"; "memory" if EndReader() has rejected it,
   * "connections" if it was refused or ended because too many are open. */
  std::string_view part;
  std::size_t receivedBytes = 0; ///< Of the request, so far.
  std::uint64_t limit = 0;       ///< Of that part, in bytes; of the time in milliseconds.
};

struct ServerOptions
{
  std::string address; ///< IP:port
  /* From this number on, each new connection closes another one: an idle one, one that is about to
   * close or, if there is none, the one whose request has made no progress for the longest time.
   * Requests that are being answered may exceed the limit. */
  std::size_t connectionLimit = 2'000;
  /* Counts the connections. May be null; otherwise it must outlive the server. */
  SocketCount* sockets = nullptr;
  /* Returns whether there is room for a new connection; if there is none and no other one can be
   * closed, it is refused. May be empty. */
  std::function<bool()> hasRoom;
  /* Returns whether there is room to answer a connection that is refused. May be empty. */
  std::function<bool()> hasRoomForRefusal;
  /* Returns the answer to a request that is rejected with a status. If null, a default answer is
   * sent. */
  std::function<Rejection(unsigned)> rejection;
  /* Called when a request is rejected; its connection is then closed. May be empty. */
  std::function<void(const RejectedRequest&)> onRejected;
  /* Takes what the connections buffer. May be null; otherwise it must outlive the server. */
  ByteAccount* account = nullptr;
  /* Decides which requests are read while memory is short. May be null; otherwise it must outlive
   * the server, and account must be set. */
  fleet::RequestIntake* intake = nullptr;
  /* Called when a request begins to wait because intake does not let it be read. To be followed by
   * Server::ResumeReading(). */
  std::function<void()> onIntakeWait;
  /* Returns the size of the kernel's receive buffer of a connection, for this number of
   * connections; 0 leaves it to the kernel. May be empty. */
  std::function<std::size_t(std::size_t)> receiveBufferLimit;
  /* The same of a connection that is not accepted yet. */
  std::size_t initialReceiveBuffer = 0;
  /* Returns the limit of the bytes of an answer that wait in the kernel and are not on the way, for
   * a connection that is being accepted; 0 for no limit. May be empty. */
  std::function<std::size_t()> sendBacklogLimit;
  /* The kernel closes a connection when sent bytes stay unacknowledged for this time, and when the
   * client reads nothing for this time although its receive window is full. */
  Duration userTimeout = 10s;
};

/* A connection that holds bytes: of an answer that its client has yet to read, or of a request that
 * arrives. */
struct ReaderInfo
{
  std::uint64_t connection = 0;
  std::string label;           ///< Of the last request; empty if none was set.
  std::size_t heldBytes = 0;   ///< All that is buffered.
  std::size_t unsentBytes = 0; ///< Of these, of answers.
  /* Of an answer: time since it last held no byte of these. Of a request: time since it last
   * progressed (fleet::kProgressBytes) or was not let be read. */
  Duration behindFor{};
  bool isReceiving = false; ///< The bytes are of a request that is arriving.
};

struct ServerCounts
{
  std::size_t connections = 0;          ///< Open now.
  std::size_t openRequests = 0;         ///< Requests without a complete answer now.
  std::uint64_t accepted = 0;           ///< Connections accepted since the start.
  std::uint64_t refusedConnections = 0; ///< Of these, those for which there was no room.
  std::uint64_t rejected = 0;           ///< Requests that were malformed, too large or too slow.
};

/* Accepts connections and passes their requests to a handler, one at a time for each connection.
 * All handlers run on the thread of the event loop. */
class Server
{
public:
  /* Receives a complete request, and the responder that sends its answer. */
  using Handler = std::function<void(Request, std::shared_ptr<Responder>)>;

  Server(boost::asio::io_context& aContext, ServerOptions aOptions, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /* Binds the address and starts to accept connections. Returns an error message, or an empty
   * string on success. */
  std::string Listen();
  void SetLimits(const ServerLimits& aLimits);
  /* Makes every connection close after the next answer whose head is sent while no following
   * request has arrived. New connections are still accepted. */
  void Drain();
  /* Closes the connections on which no request has started to arrive. */
  void CloseIdle();
  /* Returns whether no connection has a request or unsent bytes. */
  bool IsDrained() const;
  /* Stops listening and closes all connections. */
  void Close();
  ServerCounts counts() const;
  /* Returns the connections that hold bytes. */
  std::vector<ReaderInfo> Readers() const;
  /* Reads on at a connection that waited for the intake. Does nothing if it has closed. */
  void ResumeReading(std::uint64_t aConnection);
  /* Returns how long the request that is arriving on a connection has not progressed, or nothing if
   * there is none. */
  std::optional<Duration> TimeWithoutProgress(std::uint64_t aConnection) const;
  /* Returns how much of the body that is arriving on a connection has come, or nothing if there is
   * none. */
  std::optional<fleet::BodyProgress> ProgressOf(std::uint64_t aConnection) const;
  /* Counts anew what the kernel holds unread of the requests that wait for the intake. */
  void CountUnread();
  /* Discards what a connection holds. A request that arrives is rejected with 503, and otherwise
   * the connection is reset, so that its client sees that the answer is not complete. The
   * OnClosed() handler is called if an answer is in progress. Does nothing if the connection has
   * closed. */
  void EndReader(std::uint64_t aConnection);
  /* Returns the bound port, or 0 if the server does not listen. */
  std::uint16_t port() const;

private:
  friend class ServerConnection;
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail::http

#endif

/* An event-driven HTTP/1.1 server on Boost.Beast's parser. */
#include "http/http_server.h"

#include "http/listener.h"
#include "http/received_body.h"
#include "http/socket_options.h"
#include "http/socket_reader.h"

#include <algorithm>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>

namespace rhubarbtrail::http {

namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/* When this many bytes of following requests have arrived while a request is being answered,
 * reading is paused until it is answered. */
constexpr std::size_t kMaxPipelinedBytes = 64U << 10U;
/* Largest size of the first line of a chunk, and of a trailer, in bytes. */
constexpr std::size_t kMaxFramingBytes = 16U << 10U;
/* Time for which a closing connection waits for the client to close its side. Closing at once while
 * bytes of the client are unread would send a reset, which can destroy an answer that the client
 * has not read. */
constexpr auto kLingerTimeout = std::chrono::milliseconds{ 500 };

constexpr unsigned kUnavailable = 503;

using Parser = beast_http::request_parser<ReceivedBody>;

/* Returns whether the framing of a request is valid, in addition to the checks of the parser. With
 * a transfer coding that the parser does not decode, the body would be read as the next request
 * (request smuggling). */
bool HasValidFraming(const Parser::value_type& aMessage, bool aIsChunked)
{
  const auto [first, last] = aMessage.equal_range(beast_http::field::transfer_encoding);
  if (first != last) {
    const bool isSingleCoding = std::next(first) == last;
    const auto coding = first->value();
    if (!isSingleCoding || !aIsChunked || aMessage.version() < 11 ||
        !EqualsIgnoringCase({ coding.data(), coding.size() }, "chunked")) {
      return false;
    }
  }
  const auto length = aMessage[beast_http::field::content_length];
  const bool isDecimalNumber = std::all_of(length.begin(), length.end(), [](char aCharacter) {
    return aCharacter >= '0' && aCharacter <= '9'; // The parser accepts lists such as "5, 5".
  });
  return isDecimalNumber && aMessage.count(beast_http::field::content_length) <= 1 &&
         aMessage.count(beast_http::field::host) == 1;
}

std::string_view ViewOf(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

/* Appends the fields of a message that a parser has read so far. */
void AppendFields(const Parser::value_type& aMessage, Fields& aFields)
{
  std::size_t count = 0;
  std::size_t bytes = 0;
  for (const auto& item : aMessage) {
    ++count;
    bytes += item.name_string().size() + item.value().size();
  }
  aFields.Reserve(aFields.size() + count, aFields.textBytes() + bytes);
  for (const auto& item : aMessage) {
    aFields.push_back({ ViewOf(item.name_string()), ViewOf(item.value()) });
  }
}

} // namespace

struct Server::Impl : std::enable_shared_from_this<Server::Impl>
{
  Impl(asio::io_context& aContext, ServerOptions aOptions, Handler aHandler)
    : context(aContext)
    , options(std::move(aOptions))
    , handler(std::move(aHandler))
    , listener(aContext,
               { .address = options.address, .receiveBufferBytes = options.initialReceiveBuffer },
               { .onConnection = [this](tcp::socket aSocket) { OnConnection(std::move(aSocket)); },
                 .onAcceptError = [this] { CloseOne(); } })
  {
  }

  void OnConnection(tcp::socket aSocket);
  /* Closes the connection that serves its client least, if there is one that may be closed. */
  void CloseOne();
  /* Returns an open connection, or null. */
  std::shared_ptr<ServerConnection> Find(std::uint64_t aId) const;

  asio::io_context& context;
  ServerOptions options;
  Handler handler;
  Listener listener;
  ServerLimits limits;
  bool isDraining = false;
  ServerCounts counts;
  std::uint64_t lastConnectionId = 0;
  std::unordered_map<std::uint64_t, ServerConnection*> connections; ///< By id.
};

/* A connection of a client. It reads also while a request is being answered, so that it notices at
 * once when the client closes. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(std::shared_ptr<Server::Impl> aServer, tcp::socket aSocket)
    : mServer(std::move(aServer))
    , mSocket(std::move(aSocket))
    , mTimer(mServer->context)
    , mHeld(mServer->options.account)
    , mCounted(mServer->options.sockets)
    , mId(++mServer->lastConnectionId)
  {
    mCounted.Open();
    mServer->connections.emplace(mId, this);
    ++mServer->counts.connections;
  }

  ~ServerConnection()
  {
    if (mState != State::kClosed) {
      Deregister();
    }
  }

  void Start()
  {
    // If the socket is broken already, the first read fails.
    SetSocketOptions(mSocket,
                     static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        mServer->options.userTimeout)
                                        .count()));
    if (const auto& limit = mServer->options.sendBacklogLimit; limit && limit() > 0) {
      LimitUnsentBytes(mSocket, limit());
    }
    if (const auto& limit = mServer->options.receiveBufferLimit) {
      if (const std::size_t size = limit(mServer->connections.size()); size > 0) {
        error_code ignored; // An error is harmless: the connection works without the option.
        mSocket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(size)), ignored);
      }
    }
    BecomeIdle();
    WaitForBytes();
  }

  /* Returns whether no request is in progress, all answers are written, and no byte of the next
   * request is in the receive buffer of this process or of the kernel. */
  bool isIdle() const
  {
    error_code error;
    return mState == State::kReading && !mParser && mReceiveBuffer.empty() && unsentBytes() == 0 &&
           mSocket.available(error) == 0;
  }

  void SendHead(const AnswerHead& aHead)
  {
    mFraming = aHead.framing;
    // A request that has arrived already is answered too, whatever the client does after a close.
    const bool isDraining = mServer->isDraining && mReceiveBuffer.empty();
    const bool keepsConnection =
      mKeepsConnection && !isDraining && aHead.framing != Framing::kUntilClose;
    mKeepsConnection = keepsConnection;
    Write(Serialize(aHead, keepsConnection));
  }

  void SendBody(std::string_view aBytes)
  {
    if (aBytes.empty() || mIsHeadRequest) {
      return;
    }
    if (mFraming == Framing::kChunked) {
      Write(EncodeChunk(aBytes));
    } else {
      Write(aBytes);
    }
  }

  void Finish()
  {
    if (mState != State::kAnswering) {
      return;
    }
    if (mFraming == Framing::kChunked && !mIsHeadRequest) {
      Write(kLastChunk);
    }
    EndAnswer();
    if (!mKeepsConnection) {
      mState = State::kClosing;
      if (!mIsWriting) {
        ShutDownAndLinger();
      }
      return;
    }
    mState = State::kReading;
    BecomeIdle();
    // Posted to the event loop, so that the caller of Finish() returns before the next request
    // starts.
    asio::post(mServer->context, [self = shared_from_this()] {
      self->WaitForBytes();
      self->ParseRequest();
    });
  }

  void Abort()
  {
    if (mState == State::kAnswering) {
      EndAnswer();
    }
    mState = State::kClosing;
    if (!mIsWriting) {
      Close();
    } else {
      mIsAborted = true;
    }
  }

  bool isClosing() const { return mState == State::kClosing || mState == State::kClosed; }
  std::size_t unsentBytes() const { return mSendBuffer.size() + mSendQueue.size(); }
  std::uint64_t id() const { return mId; }
  void SetLabel(const std::string& aLabel) { mLabel = aLabel; }

  ReaderInfo Describe() const
  {
    const auto now = asio::steady_timer::clock_type::now();
    const bool isSending = unsentBytes() > 0;
    const bool isReceiving = !isSending && mState == State::kReading && mParser;
    const auto since = isSending                               ? mUnsentSince
                       : (isReceiving && !mIsWaitingForIntake) ? mProgressAt
                                                               : now;
    return { .connection = mId,
             .label = isReceiving ? std::string{} : mLabel,
             .heldBytes = mHeld.bytes(),
             .unsentBytes = unsentBytes(),
             .behindFor = std::chrono::duration_cast<Duration>(now - since),
             .isReceiving = isReceiving };
  }

  /* Returns how long the request that is arriving has not progressed, or nothing if there is none.
   */
  std::optional<Duration> TimeWithoutProgress() const
  {
    const ReaderInfo info = Describe();
    return info.isReceiving ? std::optional{ info.behindFor } : std::nullopt;
  }

  std::optional<fleet::BodyProgress> Progress() const
  {
    if (mState != State::kReading || !mParser || !mHasRequestHead) {
      return std::nullopt;
    }
    const std::uint64_t received = mParser->get().body().size();
    const std::uint64_t limit = std::max<std::uint64_t>(mServer->limits.bodyBytes, received);
    return fleet::BodyProgress{ .received = received,
                                .remaining =
                                  mParser->content_length_remaining().value_or(limit - received) };
  }

  void ResumeReading()
  {
    if (std::exchange(mIsWaitingForIntake, false)) {
      mProgressAt = asio::steady_timer::clock_type::now();
      mUnreadBytes = 0;
      WaitForBytes();
    }
  }

  /* Counts what the kernel holds unread while the request waits for the intake. */
  void CountUnread()
  {
    error_code error; // The socket is closed; the next read notices that.
    mUnreadBytes = mIsWaitingForIntake ? mSocket.available(error) : 0;
    UpdateHeld();
  }

  /* Refuses the client before it has sent a request. */
  void Refuse()
  {
    Start();
    Reject(kUnavailable, "connections", mServer->options.connectionLimit);
  }

  /* Ends a request that is arriving with 503 and closes the connection at once. */
  void EndForDescriptor()
  {
    if (isArriving()) {
      Reject(kUnavailable, "connections", mServer->options.connectionLimit);
    }
    Close();
  }

  /* Returns how little the connection serves its client, the higher the less, or nothing if it must
   * not be closed: idle, about to close, or a request that arrives, and for how long. */
  std::optional<std::pair<int, Duration>> Dispensability() const
  {
    const auto now = asio::steady_timer::clock_type::now();
    const auto since = [&](auto aTime) {
      return std::chrono::duration_cast<Duration>(now - aTime);
    };
    constexpr int kIsIdle = 3;
    constexpr int kIsClosing = 2;
    constexpr int kIsArriving = 1;
    if (mState == State::kClosing && unsentBytes() == 0) {
      return std::pair{ kIsClosing, since(mLastBytesAt) };
    }
    if (isArriving()) {
      return std::pair{ kIsArriving, mIsWaitingForIntake ? Duration::zero() : since(mProgressAt) };
    }
    if (!isIdle()) {
      return std::nullopt;
    }
    // The first request on a new connection may be on its way.
    return std::pair{ mHasAnswered ? kIsIdle : kIsArriving, since(mIdleSince) };
  }

  /* Ends a request that is arriving with 503, and otherwise resets the connection. */
  void EndReader()
  {
    if (mState == State::kReading && mParser) {
      Reject(kUnavailable, "memory", 0);
      return;
    }
    Reset();
  }

  /* Closes with a reset, which also discards the bytes in the kernel's buffer. */
  void Reset()
  {
    error_code ignored; // Errors are harmless: the socket may be closed or reset already.
    mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }
  void OnClosed(std::function<void()> aHandler) { mOnClosed = std::move(aHandler); }
  void OnSendBufferEmpty(std::function<void()> aHandler)
  {
    mOnSendBufferEmpty = std::move(aHandler);
  }

  void Close()
  {
    if (mState == State::kClosed) {
      return;
    }
    const bool wasAnswering = mState == State::kAnswering;
    mState = State::kClosed;
    error_code ignored; // Errors are harmless: the socket may be closed or reset already.
    mTimer.cancel(ignored);
    mSocket.close(ignored);
    Deregister();
    if (!mIsWriting) {
      mSendBuffer = {}; // Otherwise the cancelled write refers to it and releases it.
    }
    mSendQueue = {};
    mReceiveBuffer = {};
    mParser.reset();
    mArriving = {};
    mHeld.Set(0);
    if (mPausedSelf) {
      // Released by the event loop, since the caller may still use this object.
      asio::post(mServer->context, [self = std::exchange(mPausedSelf, nullptr)] {});
    }
    if (wasAnswering) {
      --mServer->counts.openRequests;
      auto onClosed = std::move(mOnClosed);
      mOnClosed = nullptr;
      mOnSendBufferEmpty = nullptr;
      if (onClosed) {
        onClosed();
      }
    }
  }

private:
  enum class State
  {
    kReading,
    kAnswering,
    kClosing, ///< The last answer is being written, or the client has yet to close.
    kClosed,
  };

  /* Returns whether a part of a request has arrived, also if it is not read yet. */
  bool isArriving() const { return mState == State::kReading && (mParser || mIsWaitingForIntake); }

  /* Removes the connection from what the server knows of. */
  void Deregister()
  {
    LeaveIntake();
    mCounted.Close();
    mServer->connections.erase(mId);
    --mServer->counts.connections;
  }

  /* Updates what the account counts. */
  void UpdateHeld()
  {
    if (mServer->options.account != nullptr && mState != State::kClosed) {
      mHeld.Set(mSendQueue.capacity() + mSendBuffer.capacity() + mReceiveBuffer.capacity() +
                mUnreadBytes + ParserBytes());
    }
  }

  /* Returns what the parser holds, which is nothing of the head until all of it has arrived, and
   * the fields that were taken from it. */
  std::size_t ParserBytes() const
  {
    return mParser ? sizeof(Parser) + mArriving.target.capacity() + mArriving.fields.heapBytes() +
                       mParser->get().body().capacity()
                   : 0;
  }

  void EndAnswer()
  {
    --mServer->counts.openRequests;
    mHasAnswered = true;
    mOnClosed = nullptr;
    mOnSendBufferEmpty = nullptr;
  }

  void BecomeIdle()
  {
    mIdleSince = asio::steady_timer::clock_type::now();
    SetTimer(mServer->limits.idleTimeout);
  }

  void WaitForBytes()
  {
    if (mState != State::kClosed) {
      mReader.Read(
        shared_from_this(),
        [this](error_code aError, std::string_view aBytes) { OnBytes(aError, aBytes); },
        mServer->options.intake != nullptr ? [this] { return MayRead(); } : SocketReader::Gate{});
      mPausedSelf.reset();
    }
  }

  /* Returns whether bytes that have come may be read. The end of the input always may, and so may
   * bytes that are discarded. */
  bool MayRead() const
  {
    if (mState == State::kClosing || mState == State::kClosed ||
        mServer->options.intake->MayRead(mId, NextPart(), mServer->options.account->held())) {
      return true;
    }
    error_code error;
    return mSocket.available(error) == 0;
  }

  /* Returns what comes next of the requests on the connection. */
  fleet::ArrivingPart NextPart() const
  {
    if (mState == State::kAnswering) {
      return fleet::ArrivingPart::kBody; // It is sent ahead, and need not be read yet.
    }
    if (!mParser || !mHasRequestHead) {
      return fleet::ArrivingPart::kSmall;
    }
    const auto length = mParser->content_length();
    return length && *length <= fleet::kReadBytes ? fleet::ArrivingPart::kSmall
                                                  : fleet::ArrivingPart::kBody;
  }

  /* Leaves bytes in the kernel until the intake lets them be read or, while a request is being
   * answered, until that ends. */
  void WaitForIntake()
  {
    mPausedSelf = shared_from_this();
    if (mState == State::kAnswering) {
      return;
    }
    mIsWaitingForIntake = true;
    if (mReceiveBuffer.empty() && !mParser) {
      mFirstByteAt = asio::steady_timer::clock_type::now();
      SetTimer(mServer->limits.headerTimeout);
    }
    mServer->options.intake->Wait({ .id = mId,
                                    .arrivedAt = TimePoint{ std::chrono::duration_cast<Duration>(
                                      mFirstByteAt.time_since_epoch()) },
                                    .part = NextPart(),
                                    .body = Progress().value_or(fleet::BodyProgress{}) });
    CountUnread();
    mServer->options.onIntakeWait();
  }

  /* Ends what the intake knows of the request that was arriving. */
  void LeaveIntake()
  {
    mIsWaitingForIntake = false;
    mUnreadBytes = 0;
    if (mServer->options.intake != nullptr) {
      mServer->options.intake->Remove(mId);
    }
  }

  void OnBytes(error_code aError, std::string_view aBytes)
  {
    if (mState == State::kClosed) {
      return;
    }
    if (aError == asio::error::would_block) {
      WaitForBytes();
      return;
    }
    if (aError == SocketReader::kGateClosed) {
      WaitForIntake();
      return;
    }
    if (aError || aBytes.empty()) {
      Close();
      return;
    }
    if (mState == State::kClosing) {
      WaitForBytes(); // Bytes received after the last answer are discarded.
      return;
    }
    mLastBytesAt = asio::steady_timer::clock_type::now();
    if (mReceiveBuffer.empty() && !mParser) {
      mFirstByteAt = mLastBytesAt;
    }
    if (mRequestBytes >= mProgressBytes + fleet::kProgressBytes) {
      mProgressAt = mLastBytesAt;
      mProgressBytes = mRequestBytes;
    }
    mReceiveBuffer.append(aBytes);
    ParseRequest();
    if (mReceiveBuffer.empty()) {
      mReceiveBuffer = {}; // What arrives next may be parsed at once, too.
    }
    UpdateHeld();
    if (mState == State::kAnswering && mReceiveBuffer.size() > kMaxPipelinedBytes) {
      mPausedSelf = shared_from_this();
      return;
    }
    WaitForBytes();
  }

  /* Continues to parse the request at the front of the receive buffer. */
  void ParseRequest()
  {
    if (mState != State::kReading || mReceiveBuffer.empty()) {
      return;
    }
    if (!mParser) {
      mParser.emplace();
      mParser->eager(true);
      mParser->header_limit(static_cast<std::uint32_t>(mServer->limits.headerBytes));
      mParser->body_limit(mServer->limits.bodyBytes);
      mHasRequestHead = false;
      mRequestBytes = 0;
      mProgressBytes = 0;
      mProgressAt = asio::steady_timer::clock_type::now();
      SetTimer(mServer->limits.headerTimeout);
    }
    error_code error;
    const std::size_t used = mParser->put(asio::buffer(mReceiveBuffer), error);
    mReceiveBuffer.erase(0, used);
    mRequestBytes += used;
    if (mParser->is_header_done() && !mHasRequestHead && !OnHead()) {
      return;
    }
    if (error && error != beast_http::error::need_more) {
      if (error == beast_http::error::header_limit) {
        Reject(431, "head", mServer->limits.headerBytes);
      } else if (error == beast_http::error::body_limit) {
        Reject(413, "body", mServer->limits.bodyBytes);
      } else {
        Reject(400, "malformed", 0);
      }
      return;
    }
    if (!mParser->is_done()) {
      if (mHasRequestHead && mReceiveBuffer.size() > kMaxFramingBytes) {
        Reject(400, "framing", kMaxFramingBytes);
      }
      return;
    }
    mKeepsConnection = mParser->keep_alive();
    AppendFields(mParser->get(), mArriving.fields); // Of the trailer.
    mArriving.body = std::move(mParser->get().body());
    Request request = std::exchange(mArriving, {});
    mIsHeadRequest = request.method == "HEAD";
    request.age =
      std::chrono::duration_cast<Duration>(asio::steady_timer::clock_type::now() - mFirstByteAt);
    mFirstByteAt = mLastBytesAt; // The earliest time known of the bytes that are left.
    mParser.reset();
    if (mReceiveBuffer.empty()) {
      mReceiveBuffer.shrink_to_fit();
    }
    LeaveIntake();
    UpdateHeld(); // The handler takes the body into its own account.
    BeginAnswer();
    mServer->handler(std::move(request), std::make_shared<Responder>(shared_from_this()));
  }

  /* Checks a complete head. Returns false if the request was rejected. */
  bool OnHead()
  {
    mHasRequestHead = true;
    const auto& message = mParser->get();
    if (!HasValidFraming(message, mParser->chunked())) {
      Reject(400, "malformed", 0);
      return false;
    }
    SetTimer(mServer->limits.bodyTimeout);
    const bool isExpected =
      EqualsIgnoringCase(ViewOf(message[beast_http::field::expect]), "100-continue");
    // The parser holds each field as an element of its own, which takes more than ten times the
    // bytes of a short one, and needs none of them for the body.
    mArriving = { .method = std::string{ ViewOf(message.method_string()) },
                  .target = std::string{ ViewOf(message.target()) },
                  .fields = {},
                  .body = {} };
    AppendFields(message, mArriving.fields);
    mParser->get().base().clear();
    if (!mParser->is_done() && isExpected) {
      Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
  }

  void BeginAnswer()
  {
    mState = State::kAnswering;
    ++mServer->counts.openRequests;
    error_code ignored; // Cancelling a steady timer does not fail.
    mTimer.cancel(ignored);
  }

  /* Answers a request that is malformed, too large or too slow, and closes the connection. */
  void Reject(unsigned aStatus, std::string_view aPart, std::uint64_t aLimit)
  {
    ++mServer->counts.rejected;
    if (mServer->options.onRejected) {
      mServer->options.onRejected({ .status = aStatus,
                                    .part = aPart,
                                    .receivedBytes = mRequestBytes + mReceiveBuffer.size(),
                                    .limit = aLimit });
    }
    mIsHeadRequest = mArriving.method == "HEAD";
    mParser.reset();
    mArriving = {};
    mReceiveBuffer = {};
    mKeepsConnection = false;
    LeaveIntake();
    UpdateHeld();
    BeginAnswer();
    Rejection rejection{ .status = aStatus,
                         .fields = {},
                         .body = aStatus == kUnavailable
                                   ? "{\"error\":\"no room is free for the request\"}"
                                   : "{\"error\":\"the request is malformed or too large\"}" };
    if (mServer->options.rejection) {
      rejection = mServer->options.rejection(aStatus);
    }
    Responder{ shared_from_this() }.Send(
      { .status = rejection.status, .reason = "Rejected", .fields = std::move(rejection.fields) },
      rejection.body);
  }

  void Write(std::string_view aBytes)
  {
    if (mState == State::kClosed || mState == State::kClosing) {
      return;
    }
    if (!mIsWriting) {
      mUnsentSince = asio::steady_timer::clock_type::now();
    }
    mSendQueue.append(aBytes);
    if (!mIsWriting) {
      WriteNext();
    }
    UpdateHeld();
  }

  void WriteNext()
  {
    mIsWriting = true;
    mSendBuffer = std::exchange(mSendQueue, {});
    asio::async_write(mSocket,
                      asio::buffer(mSendBuffer),
                      [self = shared_from_this()](error_code aError, std::size_t /*aSize*/) {
                        self->OnWritten(aError);
                      });
  }

  void OnWritten(error_code aError)
  {
    mIsWriting = false;
    mSendBuffer = {}; // An idle connection keeps no memory of a large answer.
    UpdateHeld();
    if (mState == State::kClosed) {
      return;
    }
    if (aError) {
      Close();
      return;
    }
    if (!mSendQueue.empty()) {
      WriteNext();
      return;
    }
    if (mState == State::kClosing) {
      if (mIsAborted) {
        Close();
      } else {
        ShutDownAndLinger();
      }
      return;
    }
    if (mState == State::kAnswering && mOnSendBufferEmpty) {
      mOnSendBufferEmpty();
    }
  }

  /* Shuts the sending side down and waits up to kLingerTimeout for the client to close. */
  void ShutDownAndLinger()
  {
    error_code ignored; // Errors are harmless: the client may have closed first.
    mSocket.shutdown(tcp::socket::shutdown_send, ignored);
    SetTimer(std::chrono::duration_cast<Duration>(kLingerTimeout));
    mReceiveBuffer.clear();
    WaitForBytes();
  }

  void SetTimer(Duration aTime)
  {
    mTimer.expires_after(aTime);
    mTimer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError && self->mState != State::kAnswering) {
        self->OnTimeout();
      }
    });
  }

  void OnTimeout()
  {
    if (mTimer.expiry() > asio::steady_timer::clock_type::now()) {
      return; // The timer was set again after this handler had been queued.
    }
    if (mState == State::kReading && mIsWaitingForIntake) {
      Reject(kUnavailable, "memory", 0);
      return;
    }
    if (mState == State::kReading && mParser) {
      const auto& limits = mServer->limits;
      const Duration limit = mHasRequestHead ? limits.bodyTimeout : limits.headerTimeout;
      Reject(408,
             "time",
             static_cast<std::uint64_t>(
               std::chrono::duration_cast<std::chrono::milliseconds>(limit).count()));
      return;
    }
    const auto idleTime = asio::steady_timer::clock_type::now() - mIdleSince;
    if (mState == State::kReading && idleTime < mServer->limits.idleTimeout) {
      // The limit was raised after the timer had been set.
      SetTimer(std::chrono::duration_cast<Duration>(mServer->limits.idleTimeout - idleTime) + 1ms);
      return;
    }
    Close();
  }

  std::shared_ptr<Server::Impl> mServer;
  tcp::socket mSocket;
  SocketReader mReader{ mSocket };
  asio::steady_timer mTimer;
  asio::steady_timer::time_point mFirstByteAt; ///< Of the request that is being received or waits.
  asio::steady_timer::time_point mLastBytesAt;
  asio::steady_timer::time_point mIdleSince; ///< Since when no request is in progress.
  State mState = State::kReading;
  std::optional<Parser> mParser;
  Request mArriving;         ///< Its head, once it has arrived.
  bool mHasAnswered = false; ///< Some request.
  bool mHasRequestHead = false;
  bool mIsHeadRequest = false;                ///< The answer to the current request has no body.
  std::size_t mRequestBytes = 0;              ///< Of the current request, consumed by the parser.
  std::size_t mProgressBytes = 0;             ///< Of these, those that had come at mProgressAt.
  asio::steady_timer::time_point mProgressAt; ///< When the current request last progressed.
  bool mIsWaitingForIntake = false;
  std::size_t mUnreadBytes = 0; ///< Bytes that the kernel holds while it waits.
  bool mKeepsConnection = true;
  bool mIsWriting = false;
  bool mIsAborted = false;
  /* Set while reading is paused: no pending read or timer keeps the connection alive then. */
  std::shared_ptr<ServerConnection> mPausedSelf;
  Framing mFraming = Framing::kNone;
  std::string mReceiveBuffer;                  ///< Received and not parsed yet.
  std::string mSendQueue;                      ///< To be written after mSendBuffer.
  std::string mSendBuffer;                     ///< Being written to the socket.
  asio::steady_timer::time_point mUnsentSince; ///< Since when some byte of an answer is unsent.
  HeldBytes mHeld;
  CountedSocket mCounted;
  std::uint64_t mId;
  std::string mLabel; ///< Of the last request.
  std::function<void()> mOnClosed;
  std::function<void()> mOnSendBufferEmpty;
};

void Server::Impl::OnConnection(tcp::socket aSocket)
{
  const auto hasRoom = [](const std::function<bool()>& aCheck) { return !aCheck || aCheck(); };
  ++counts.accepted;
  if (counts.connections >= options.connectionLimit || !hasRoom(options.hasRoom)) {
    CloseOne();
  }
  if (!hasRoom(options.hasRoom)) {
    ++counts.refusedConnections;
    if (hasRoom(options.hasRoomForRefusal)) {
      std::make_shared<ServerConnection>(shared_from_this(), std::move(aSocket))->Refuse();
    }
    return; // Otherwise the socket closes here.
  }
  std::make_shared<ServerConnection>(shared_from_this(), std::move(aSocket))->Start();
}

void Server::Impl::CloseOne()
{
  std::optional<std::pair<int, Duration>> most;
  ServerConnection* found = nullptr;
  for (const auto& [id, connection] : connections) {
    const auto dispensability = connection->Dispensability();
    if (dispensability && (!most || *dispensability > *most)) {
      most = dispensability;
      found = connection;
    }
  }
  if (found != nullptr) {
    found->shared_from_this()->EndForDescriptor();
  }
}

Server::Server(asio::io_context& aContext, ServerOptions aOptions, Handler aHandler)
  : mImpl(std::make_shared<Impl>(aContext, std::move(aOptions), std::move(aHandler)))
{
}

Server::~Server()
{
  Close();
}

std::string Server::Listen()
{
  return mImpl->listener.Listen();
}

void Server::SetLimits(const ServerLimits& aLimits)
{
  mImpl->limits = aLimits;
}

void Server::Drain()
{
  mImpl->isDraining = true;
}

void Server::CloseIdle()
{
  const auto open = mImpl->connections;
  for (const auto& [id, connection] : open) {
    if (mImpl->connections.contains(id) && connection->isIdle()) {
      connection->shared_from_this()->Close();
    }
  }
}

bool Server::IsDrained() const
{
  return std::all_of(mImpl->connections.begin(), mImpl->connections.end(), [](const auto& aItem) {
    const ServerConnection& connection = *aItem.second;
    return connection.unsentBytes() == 0 && (connection.isIdle() || connection.isClosing());
  });
}

void Server::Close()
{
  mImpl->listener.Close();
  const auto open = mImpl->connections;
  for (const auto& [id, connection] : open) {
    if (mImpl->connections.contains(id)) {
      connection->shared_from_this()->Close();
    }
  }
}

ServerCounts Server::counts() const
{
  return mImpl->counts;
}

std::vector<ReaderInfo> Server::Readers() const
{
  std::vector<ReaderInfo> readers;
  for (const auto& [id, connection] : mImpl->connections) {
    ReaderInfo reader = connection->Describe();
    if (reader.heldBytes > 0) {
      readers.push_back(std::move(reader));
    }
  }
  return readers;
}

std::shared_ptr<ServerConnection> Server::Impl::Find(std::uint64_t aId) const
{
  const auto found = connections.find(aId);
  return found != connections.end() ? found->second->shared_from_this() : nullptr;
}

void Server::EndReader(std::uint64_t aConnection)
{
  if (const auto connection = mImpl->Find(aConnection)) {
    connection->EndReader();
  }
}

void Server::ResumeReading(std::uint64_t aConnection)
{
  if (const auto connection = mImpl->Find(aConnection)) {
    connection->ResumeReading();
  }
}

std::optional<Duration> Server::TimeWithoutProgress(std::uint64_t aConnection) const
{
  const auto connection = mImpl->Find(aConnection);
  return connection ? connection->TimeWithoutProgress() : std::nullopt;
}

std::optional<fleet::BodyProgress> Server::ProgressOf(std::uint64_t aConnection) const
{
  const auto connection = mImpl->Find(aConnection);
  return connection ? connection->Progress() : std::nullopt;
}

void Server::CountUnread()
{
  for (const auto& [id, connection] : mImpl->connections) {
    connection->CountUnread();
  }
}

std::uint16_t Server::port() const
{
  return mImpl->listener.port();
}

Responder::Responder(const std::shared_ptr<ServerConnection>& aConnection)
  : mConnection(aConnection)
{
}

Responder::~Responder() = default;

void Responder::SendHead(const AnswerHead& aHead)
{
  if (const auto connection = mConnection.lock()) {
    connection->SendHead(aHead);
  }
}

void Responder::SendBody(std::string_view aBytes)
{
  if (const auto connection = mConnection.lock()) {
    connection->SendBody(aBytes);
  }
}

void Responder::Finish()
{
  if (const auto connection = std::exchange(mConnection, {}).lock()) {
    connection->Finish();
  }
}

void Responder::Abort()
{
  if (const auto connection = std::exchange(mConnection, {}).lock()) {
    connection->Abort();
  }
}

void Responder::Reset()
{
  if (const auto connection = std::exchange(mConnection, {}).lock()) {
    connection->Reset();
  }
}

void Responder::Send(AnswerHead aHead, std::string_view aBody)
{
  aHead.framing = Framing::kLength;
  aHead.length = aBody.size();
  SendHead(aHead);
  SendBody(aBody);
  Finish();
}

std::size_t Responder::unsentBytes() const
{
  const auto connection = mConnection.lock();
  return connection ? connection->unsentBytes() : 0;
}

std::uint64_t Responder::connectionId() const
{
  const auto connection = mConnection.lock();
  return connection ? connection->id() : 0;
}

void Responder::SetLabel(const std::string& aLabel)
{
  if (const auto connection = mConnection.lock()) {
    connection->SetLabel(aLabel);
  }
}

void Responder::OnClosed(std::function<void()> aHandler)
{
  if (const auto connection = mConnection.lock()) {
    connection->OnClosed(std::move(aHandler));
  }
}

void Responder::OnSendBufferEmpty(std::function<void()> aHandler)
{
  if (const auto connection = mConnection.lock()) {
    connection->OnSendBufferEmpty(std::move(aHandler));
  }
}

} // namespace rhubarbtrail::http

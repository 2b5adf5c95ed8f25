/* An event-driven HTTP/1.1 client on Boost.Beast's parser. */
#include "http/http_client.h"

#include "core/number_func.h"
#include "http/received_body.h"
#include "http/socket_options.h"
#include "http/socket_reader.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <optional>
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

/* Largest size of the head of an answer, in bytes. It is checked after each read. The limit of the
 * parser is higher, so that a head without end is told from malformed bytes. */
constexpr std::uint32_t kMaxHeadBytes = 64U << 10U;
/* Largest size of the first line of a chunk, and of a trailer, in bytes. */
constexpr std::size_t kMaxFramingBytes = 64U << 10U;
/* Largest number of interim answers before a final one. */
constexpr std::uint64_t kMaxInterimHeads = 100;
/* Largest size of the bodies of the answers to other requests that one call skips, in bytes. */
constexpr std::uint64_t kMaxOtherAnswerBytes = 8U << 20U;
/* Largest number of answers to other requests that one call skips before it fails. */
constexpr int kMaxSkippedAnswers = 3;
/* Subtracted from the keep-alive timeout that an endpoint announces, so that the next request
 * arrives before the endpoint closes the connection. */
constexpr Duration kKeepAliveMargin = 800ms;

using Parser = beast_http::response_parser<ReceivedBody>;

/* Converts the head that a parser has read. */
AnswerHead ToAnswerHead(const Parser& aParser)
{
  const auto& message = aParser.get();
  const auto view = [](auto aText) { return std::string_view{ aText.data(), aText.size() }; };
  AnswerHead head{ .status = message.result_int(),
                   .reason = std::string{ view(message.reason()) } };
  for (const auto& item : message) {
    head.fields.push_back({ view(item.name_string()), view(item.value()) });
  }
  if (aParser.chunked()) {
    head.framing = Framing::kChunked;
  } else if (const auto length = aParser.content_length()) {
    head.framing = Framing::kLength;
    head.length = *length;
  } else if (!aParser.is_done()) {
    head.framing = Framing::kUntilClose;
  }
  return head;
}

/* Returns the timeout in the Keep-Alive field of an answer: the time after which the endpoint
 * closes the connection if no request arrives. Returns nothing without such a field. */
std::optional<Duration> KeepAliveTimeout(const AnswerHead& aHead)
{
  constexpr std::string_view kKey = "timeout=";
  const auto field = Find(aHead.fields, "Keep-Alive");
  if (!field || field->find(kKey) == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view text = field->substr(field->find(kKey) + kKey.size());
  text = text.substr(0, text.find_first_not_of("0123456789"));
  const auto seconds = ParseNumber<int>(text, 0, 86'400);
  return seconds ? std::optional<Duration>{ std::chrono::seconds{ *seconds } } : std::nullopt;
}

} // namespace

std::string_view ToString(CallResult aResult)
{
  switch (aResult) {
    case CallResult::kComplete:
      return "complete";
    case CallResult::kNotConnected:
      return "not_connected";
    case CallResult::kBroken:
      return "broken";
    case CallResult::kMalformed:
      return "malformed";
    case CallResult::kTooLarge:
      return "too_large";
    case CallResult::kTimedOut:
      return "timed_out";
  }
  return "unknown";
}

std::string_view ToString(AnswerPart aPart)
{
  switch (aPart) {
    case AnswerPart::kHead:
      return "head";
    case AnswerPart::kInterimHeads:
      return "interim_heads";
    case AnswerPart::kOtherAnswer:
      return "other_answer";
    case AnswerPart::kBody:
      return "body";
    case AnswerPart::kFraming:
      return "framing";
    case AnswerPart::kTime:
      return "time";
  }
  return "unknown";
}

struct Client::Impl
{
  Impl(asio::io_context& aContext, const ClientOptions& aOptions)
    : context(aContext)
    , options(aOptions)
  {
  }

  /* Removes an idle connection from the pool and returns it, or null if there is none. */
  std::shared_ptr<ClientConnection> TakeIdle(const std::string& aAddress);
  /* Adds an idle connection and closes the oldest one of the address if there are too many. */
  void AddIdle(const std::string& aAddress, std::shared_ptr<ClientConnection> aConnection);
  void RemoveIdle(const std::string& aAddress, const ClientConnection* aConnection);

  asio::io_context& context;
  ClientOptions options;
  ClientCounts counts;
  bool isClosed = false;
  /* Idle connections by address, the most recently used one last. */
  std::map<std::string, std::deque<std::shared_ptr<ClientConnection>>> idleConnections;
};

/* A connection to an endpoint, which carries at most one call at a time. */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  ClientConnection(std::shared_ptr<Client::Impl> aClient, std::string aAddress)
    : mClient(std::move(aClient))
    , mAddress(std::move(aAddress))
    , mSocket(mClient->context)
    , mTimer(mClient->context)
    , mHeld(mClient->options.account)
    , mCounted(mClient->options.sockets)
  {
  }

  /* Starts a call and returns its number on this connection. */
  std::uint64_t StartCall(const CallOptions& aOptions, CallHandlers aHandlers)
  {
    ++mCallNumber;
    mHandlers = std::move(aHandlers);
    mRequestBytes = Serialize(aOptions.request, mAddress);
    UpdateHeld();
    mIsHeadRequest = aOptions.request.method == "HEAD";
    mTarget = aOptions.request.target;
    mMayBeSent = aOptions.mayBeSent;
    mBodyIdleTimeout = aOptions.bodyIdleTimeout;
    mMaxBodyBytes = aOptions.maxBodyBytes;
    mBodyBytes = 0;
    mOtherAnswerBytes = 0;
    mInterimHeads = 0;
    const auto now = asio::steady_timer::clock_type::now();
    mLimitedTimeStart = now;
    mEndDeadline =
      aOptions.totalTimeout > Duration::zero() ? now + aOptions.totalTimeout : kNoDeadline;
    mAnswerDeadline = std::min(now + aOptions.answerTimeout, mEndDeadline);
    mHasAnswerHead = false;
    mHasWriteFailed = false;
    mSkippedAnswers = 0;
    mPausedSelf.reset();
    ResetParser();
    if (mState == State::kIdle) {
      mState = State::kCalling;
      SetTimer(mAnswerDeadline);
      // Posted to the event loop, so that no handler runs before Client::Start() has returned the
      // call.
      asio::post(mClient->context, [self = shared_from_this()] { self->Send(); });
      return mCallNumber;
    }
    mState = State::kConnecting;
    SetTimer(
      std::min(mAnswerDeadline, asio::steady_timer::clock_type::now() + aOptions.connectTimeout));
    Connect();
    return mCallNumber;
  }

  /* Returns whether the connection still carries the call with this number. */
  bool IsCurrentCall(std::uint64_t aCallNumber) const
  {
    return mCallNumber == aCallNumber && mState != State::kIdle && mState != State::kClosed;
  }

  void Cancel()
  {
    mHandlers = {};
    Close();
  }

  void Pause()
  {
    mPausedSelf = shared_from_this();
    if (mReceiveBuffer.empty()) {
      mReceiveBuffer = {}; // A paused call keeps no memory that it does not use.
    }
  }
  std::size_t unsentBytes() const { return mRequestBytes.size(); }

  std::size_t unreadBytes() const
  {
    error_code error;
    return mSocket.available(error); // 0 on an error: the socket is closed.
  }

  void Resume()
  {
    if (const auto self = std::exchange(mPausedSelf, nullptr)) {
      WaitForBytes();
    }
  }

  void LimitBody(std::uint64_t aMaxBytes, Duration aMaxTime)
  {
    mMaxBodyBytes = aMaxBytes;
    if (aMaxTime > Duration::zero()) {
      mLimitedTimeStart = asio::steady_timer::clock_type::now();
      mEndDeadline = mLimitedTimeStart + aMaxTime;
      SetBodyTimer();
    }
  }

  void End(CallResult aResult)
  {
    asio::post(mClient->context, [self = shared_from_this(), number = mCallNumber, aResult] {
      if (self->IsCurrentCall(number)) {
        self->EndCall(aResult);
      }
    });
  }

  void Close()
  {
    if (mState == State::kClosed) {
      return;
    }
    if (mState == State::kIdle) {
      mClient->RemoveIdle(mAddress, this);
    }
    mState = State::kClosed;
    error_code ignored; // Errors are harmless here: the endpoint may have closed first.
    mTimer.cancel(ignored);
    mSocket.close(ignored);
    mCounted.Close();
    mHeld.Set(0);
    if (mPausedSelf) {
      // Released by the event loop, since the caller may still use this object.
      asio::post(mClient->context, [self = std::exchange(mPausedSelf, nullptr)] {});
    }
  }

  /* Keeps the connection open without a call for at most aTime. The read notices when the endpoint
   * closes it. */
  void BecomeIdle(Duration aTime)
  {
    mState = State::kIdle;
    mReceiveBuffer.shrink_to_fit();
    SetTimer(asio::steady_timer::clock_type::now() + aTime);
    WaitForBytes();
  }

private:
  enum class State
  {
    kConnecting,
    kCalling,
    kIdle,
    kClosed,
  };

  /* Updates what the account counts. */
  void UpdateHeld()
  {
    if (mState != State::kClosed) {
      mHeld.Set(mRequestBytes.capacity() + mReceiveBuffer.capacity());
    }
  }

  /* Prepares the parser for the next answer. */
  void ResetParser()
  {
    mParser.emplace();
    mParser->eager(true);
    mParser->header_limit(2 * kMaxHeadBytes);
    mHeadBytes = 0;
    // Not boost::none: Beast 1.74 then rejects a head with a Content-Length that arrives alone.
    mParser->body_limit(std::numeric_limits<std::uint64_t>::max());
    mParser->skip(mIsHeadRequest);
  }

  void Connect()
  {
    const auto endpoint = ParseSocketAddress(mAddress);
    error_code error;
    if (endpoint) {
      mSocket.open(endpoint->protocol(), error);
    }
    if (!endpoint || error) {
      asio::post(mClient->context,
                 [self = shared_from_this()] { self->EndCall(CallResult::kNotConnected); });
      return;
    }
    ++mClient->counts.connects;
    mCounted.Open();
    SetSocketOptions(mSocket);
    if (const auto& limit = mClient->options.receiveBufferLimit; limit && limit() > 0) {
      // The kernel uses half of the size that it is given for its own data, and doubles the size.
      mSocket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(limit())), error);
    }
    if (const auto& limit = mClient->options.sendBacklogLimit; limit && limit() > 0) {
      LimitUnsentBytes(mSocket, limit());
    }
    mSocket.async_connect(*endpoint, [self = shared_from_this()](error_code aError) {
      if (self->mState != State::kConnecting) {
        return;
      }
      if (aError) {
        self->EndCall(CallResult::kNotConnected);
        return;
      }
      self->mState = State::kCalling;
      self->SetTimer(self->mAnswerDeadline);
      self->Send();
    });
  }

  void Send()
  {
    if (mState != State::kCalling) {
      return;
    }
    if (const auto mayBeSent = std::exchange(mMayBeSent, nullptr); mayBeSent && !mayBeSent()) {
      EndCall(CallResult::kNotConnected);
      return;
    }
    mIsWriting = true;
    asio::async_write(mSocket,
                      asio::buffer(mRequestBytes),
                      [self = shared_from_this()](error_code aError, std::size_t /*aSize*/) {
                        self->mIsWriting = false;
                        if (aError) {
                          // What arrived before the error is still read.
                          self->mHasWriteFailed = true;
                          return;
                        }
                        self->mRequestBytes.clear();
                        self->mRequestBytes.shrink_to_fit();
                        self->UpdateHeld();
                      });
    WaitForBytes();
  }

  void WaitForBytes()
  {
    if (!mPausedSelf && mState != State::kClosed) {
      mReader.Read(shared_from_this(),
                   [this](error_code aError, std::string_view aBytes) { OnBytes(aError, aBytes); });
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
    if (mState == State::kIdle) {
      if (!aError && !aBytes.empty()) {
        ++mClient->counts.unsolicitedData;
      }
      Close();
      return;
    }
    if (aError) {
      OnEndOfInput(aError == asio::error::eof);
      return;
    }
    mReceiveBuffer.append(aBytes);
    if (mHasAnswerHead && !mIsSkippingAnswer && mBodyIdleTimeout > Duration::zero()) {
      SetBodyTimer();
    }
    ParseAnswers();
    UpdateHeld();
    WaitForBytes();
  }

  /* Handles the end of the received data. After an orderly close (end of file, not an error), a
   * body with neither a length nor chunks is complete. */
  void OnEndOfInput(bool aIsOrderly)
  {
    const bool endsWithConnection =
      mHasAnswerHead && !mIsSkippingAnswer && !mParser->is_done() && mParser->need_eof();
    if (!aIsOrderly || !endsWithConnection) {
      EndCall(CallResult::kBroken);
      return;
    }
    if (!mIsWriting) {
      EndAtClose();
      return;
    }
    // The kernel reports a reset once, to a write or to a read. If a write has got it, the read
    // finds the end of the file, and the handler of that write is queued already.
    asio::post(mClient->context, [self = shared_from_this(), number = mCallNumber] {
      if (self->IsCurrentCall(number)) {
        self->EndAtClose();
      }
    });
  }

  void EndAtClose() { EndCall(mHasWriteFailed ? CallResult::kBroken : CallResult::kComplete); }

  void ParseAnswers()
  {
    while (mState == State::kCalling && !mReceiveBuffer.empty()) {
      error_code error;
      const std::size_t used = mParser->put(asio::buffer(mReceiveBuffer), error);
      mReceiveBuffer.erase(0, used);
      if (!mParser->is_header_done()) {
        mHeadBytes += used;
        if (mHeadBytes + mReceiveBuffer.size() > kMaxHeadBytes) {
          EndBeyondLimit(AnswerPart::kHead, mHeadBytes + mReceiveBuffer.size(), kMaxHeadBytes);
          return;
        }
      }
      if (mParser->is_header_done() && !mHasAnswerHead && !OnHead()) {
        continue;
      }
      if (error && error != beast_http::error::need_more) {
        EndCall(CallResult::kMalformed);
        return;
      }
      DeliverBody();
      if (mState != State::kCalling) {
        return;
      }
      if (mParser->is_done()) {
        OnAnswerDone();
        continue;
      }
      if (error == beast_http::error::need_more || used == 0) {
        if (mHasAnswerHead && mReceiveBuffer.size() > kMaxFramingBytes) {
          EndBeyondLimit(AnswerPart::kFraming, mReceiveBuffer.size(), kMaxFramingBytes);
        }
        return;
      }
    }
  }

  /* Handles a complete head. Returns false if the call ended or was cancelled, or if the head was
   * that of an interim answer and the parser is set up for the next one. */
  bool OnHead()
  {
    const unsigned status = mParser->get().result_int();
    if (!IsInterimStatus(status) && !IsFinalStatus(status)) {
      EndCall(CallResult::kMalformed);
      return false;
    }
    if (IsInterimStatus(status)) {
      const AnswerHead interimHead = ToAnswerHead(*mParser);
      ResetParser();
      if (++mInterimHeads > kMaxInterimHeads) {
        EndBeyondLimit(AnswerPart::kInterimHeads, mInterimHeads, kMaxInterimHeads);
        return false;
      }
      if (mHandlers.onInterimHead) {
        mHandlers.onInterimHead(interimHead);
      }
      return false;
    }
    mHasAnswerHead = true;
    const AnswerHead head = ToAnswerHead(*mParser);
    mKeepAliveTimeout = KeepAliveTimeout(head);
    mIsSkippingAnswer = !mHandlers.onHead(head);
    if (!mIsSkippingAnswer && mState == State::kCalling) {
      SetBodyTimer();
    }
    return mState == State::kCalling;
  }

  void DeliverBody()
  {
    const std::string body = std::exchange(mParser->get().body(), {});
    if (body.empty()) {
      return;
    }
    if (mIsSkippingAnswer) {
      mOtherAnswerBytes += body.size();
      if (mOtherAnswerBytes > kMaxOtherAnswerBytes) {
        EndBeyondLimit(AnswerPart::kOtherAnswer, mOtherAnswerBytes, kMaxOtherAnswerBytes);
      }
      return;
    }
    mBodyBytes += body.size();
    if (mMaxBodyBytes > 0 && mBodyBytes > mMaxBodyBytes) {
      EndBeyondLimit(AnswerPart::kBody, mBodyBytes, mMaxBodyBytes);
      return;
    }
    mHandlers.onBody(body);
  }

  /* Ends a call whose answer exceeds a limit. */
  void EndBeyondLimit(AnswerPart aPart, std::uint64_t aValue, std::uint64_t aLimit)
  {
    if (mClient->options.onLimitExceeded) {
      mClient->options.onLimitExceeded({ .address = mAddress,
                                         .target = mTarget,
                                         .part = aPart,
                                         .value = aValue,
                                         .limit = aLimit });
    }
    EndCall(aPart == AnswerPart::kTime ? CallResult::kTimedOut : CallResult::kTooLarge);
  }

  void OnAnswerDone()
  {
    if (!mIsSkippingAnswer) {
      EndCall(CallResult::kComplete);
      return;
    }
    ++mClient->counts.unsolicitedData;
    if (++mSkippedAnswers > kMaxSkippedAnswers || !mParser->keep_alive()) {
      EndCall(CallResult::kMalformed);
      return;
    }
    mHasAnswerHead = false;
    ResetParser();
  }

  /* Ends the call. The connection is kept for reuse only if the answer was complete, the endpoint
   * allows keep-alive, the whole request was sent, and no unexpected bytes were received. */
  void EndCall(CallResult aResult)
  {
    const bool isClean = aResult == CallResult::kComplete && mParser->is_done() &&
                         mParser->keep_alive() && !mIsWriting && mRequestBytes.empty() &&
                         mReceiveBuffer.empty() && mSkippedAnswers == 0;
    if (aResult == CallResult::kComplete && !mReceiveBuffer.empty()) {
      ++mClient->counts.unsolicitedData;
    }
    auto handlers = std::exchange(mHandlers, {});
    const auto self = std::exchange(mPausedSelf, nullptr); // An idle connection is read again.
    const Duration idleTimeout =
      std::min(mClient->options.idleTimeout,
               mKeepAliveTimeout.value_or(mClient->options.idleTimeout) -
                 (mKeepAliveTimeout ? kKeepAliveMargin : Duration::zero()));
    if (isClean && idleTimeout > Duration::zero() && !mClient->isClosed) {
      BecomeIdle(idleTimeout);
      mClient->AddIdle(mAddress, shared_from_this());
    } else {
      Close();
    }
    if (handlers.onEnd) {
      handlers.onEnd(aResult);
    }
  }

  void SetTimer(asio::steady_timer::time_point aTime)
  {
    mTimer.expires_at(aTime);
    mTimer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError && self->mTimer.expiry() <= asio::steady_timer::clock_type::now()) {
        self->OnTimeout();
      }
    });
  }

  /* Sets the timer for the rest of an answer whose head has arrived. */
  void SetBodyTimer()
  {
    auto deadline = mEndDeadline;
    if (mBodyIdleTimeout > Duration::zero()) {
      deadline = std::min(deadline, asio::steady_timer::clock_type::now() + mBodyIdleTimeout);
    }
    if (deadline == kNoDeadline) {
      error_code ignored; // Cancelling a timer does not fail.
      mTimer.cancel(ignored);
      return;
    }
    SetTimer(deadline);
  }

  void OnCallTimeout()
  {
    const auto now = asio::steady_timer::clock_type::now();
    if (!mHasAnswerHead || mIsSkippingAnswer || now < mEndDeadline) {
      EndCall(CallResult::kTimedOut);
      return;
    }
    const auto milliseconds = [](auto aTime) {
      return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
    };
    EndBeyondLimit(AnswerPart::kTime,
                   milliseconds(now - mLimitedTimeStart),
                   milliseconds(mEndDeadline - mLimitedTimeStart));
  }

  void OnTimeout()
  {
    switch (mState) {
      case State::kConnecting:
        EndCall(CallResult::kNotConnected);
        break;
      case State::kCalling:
        OnCallTimeout();
        break;
      case State::kIdle:
        Close();
        break;
      case State::kClosed:
        break;
    }
  }

  std::shared_ptr<Client::Impl> mClient;
  std::string mAddress;
  tcp::socket mSocket;
  SocketReader mReader{ mSocket };
  asio::steady_timer mTimer;
  State mState = State::kConnecting;
  std::uint64_t mCallNumber = 0; ///< Number of the current or latest call, from 1.
  CallHandlers mHandlers;
  std::function<bool()> mMayBeSent; ///< Of the current call, until it is sent.
  std::optional<Parser> mParser;
  std::string mReceiveBuffer; ///< Received and not parsed yet.
  std::string mRequestBytes;  ///< The request, until it is written.
  HeldBytes mHeld;
  CountedSocket mCounted;
  static constexpr auto kNoDeadline = asio::steady_timer::time_point::max();

  std::string mTarget; ///< Of the request, for log lines.
  asio::steady_timer::time_point mAnswerDeadline;
  asio::steady_timer::time_point mEndDeadline;      ///< For the end of the answer, or kNoDeadline.
  asio::steady_timer::time_point mLimitedTimeStart; ///< Start of the time that ends there.
  std::uint64_t mMaxBodyBytes = 0;                  ///< 0: no limit.
  std::uint64_t mBodyBytes = 0;
  std::uint64_t mHeadBytes = 0; ///< Of the current head, consumed by the parser.
  std::uint64_t mInterimHeads = 0;
  std::uint64_t mOtherAnswerBytes = 0;
  Duration mBodyIdleTimeout{};
  std::optional<Duration> mKeepAliveTimeout;
  bool mIsHeadRequest = false;
  bool mHasAnswerHead = false;    ///< The head of a final answer was received.
  bool mIsSkippingAnswer = false; ///< The current answer belongs to another request.
  int mSkippedAnswers = 0;        ///< Answers to other requests that the call has skipped.
  /* Set while reading is paused: no pending read or timer keeps the connection alive then. */
  std::shared_ptr<ClientConnection> mPausedSelf;
  bool mIsWriting = false;
  bool mHasWriteFailed = false;
};

std::shared_ptr<ClientConnection> Client::Impl::TakeIdle(const std::string& aAddress)
{
  const auto found = idleConnections.find(aAddress);
  if (found == idleConnections.end() || found->second.empty()) {
    return nullptr;
  }
  auto connection =
    std::move(found->second.back()); // The one most recently used is least likely to be closed.
  found->second.pop_back();
  if (found->second.empty()) {
    idleConnections.erase(found);
  }
  return connection;
}

void Client::Impl::AddIdle(const std::string& aAddress,
                           std::shared_ptr<ClientConnection> aConnection)
{
  auto& list = idleConnections[aAddress];
  list.push_back(std::move(aConnection));
  if (list.size() > options.maxIdlePerAddress) {
    const auto oldest = list.front();
    oldest->Close();
  }
}

void Client::Impl::RemoveIdle(const std::string& aAddress, const ClientConnection* aConnection)
{
  const auto found = idleConnections.find(aAddress);
  if (found == idleConnections.end()) {
    return;
  }
  std::erase_if(found->second, [&](const auto& aItem) { return aItem.get() == aConnection; });
  if (found->second.empty()) {
    idleConnections.erase(found);
  }
}

Client::Client(asio::io_context& aContext, const ClientOptions& aOptions)
  : mImpl(std::make_shared<Impl>(aContext, aOptions))
{
}

Client::~Client()
{
  Close();
}

std::unique_ptr<Call> Client::Start(const CallOptions& aOptions, CallHandlers aHandlers)
{
  ++mImpl->counts.calls;
  std::shared_ptr<ClientConnection> connection;
  if (aOptions.reuse == Reuse::kAllowed) {
    connection = mImpl->TakeIdle(aOptions.address);
  }
  if (!connection) {
    connection = std::make_shared<ClientConnection>(mImpl, aOptions.address);
  }
  const std::uint64_t number = connection->StartCall(aOptions, std::move(aHandlers));
  return std::make_unique<Call>(connection, number);
}

void Client::CloseIdleTo(const std::string& aAddress)
{
  const auto found = mImpl->idleConnections.find(aAddress);
  if (found == mImpl->idleConnections.end()) {
    return;
  }
  const auto connections = found->second;
  for (const auto& connection : connections) {
    connection->Close();
  }
}

void Client::Close()
{
  mImpl->isClosed = true;
  const auto idleConnections = mImpl->idleConnections;
  for (const auto& [address, connections] : idleConnections) {
    for (const auto& connection : connections) {
      connection->Close();
    }
  }
}

ClientCounts Client::counts() const
{
  return mImpl->counts;
}

Call::Call(const std::shared_ptr<ClientConnection>& aConnection, std::uint64_t aNumber)
  : mConnection(aConnection)
  , mNumber(aNumber)
{
}

Call::~Call() = default;

std::shared_ptr<ClientConnection> Call::connection() const
{
  auto connection = mConnection.lock();
  return connection && connection->IsCurrentCall(mNumber) ? connection : nullptr;
}

bool Call::isConnectionReused() const
{
  return mNumber > 1;
}

void Call::Cancel()
{
  if (const auto current = connection()) {
    current->Cancel();
  }
}

void Call::Pause()
{
  if (const auto current = connection()) {
    current->Pause();
  }
}

void Call::Resume()
{
  if (const auto current = connection()) {
    current->Resume();
  }
}

std::size_t Call::unsentBytes() const
{
  const auto current = connection();
  return current ? current->unsentBytes() : 0;
}

std::size_t Call::unreadBytes() const
{
  const auto current = connection();
  return current ? current->unreadBytes() : 0;
}

void Call::LimitBody(std::uint64_t aMaxBytes, Duration aMaxTime)
{
  if (const auto current = connection()) {
    current->LimitBody(aMaxBytes, aMaxTime);
  }
}

void Call::End(CallResult aResult)
{
  if (const auto current = connection()) {
    current->End(aResult);
  }
}

} // namespace rhubarbtrail::http

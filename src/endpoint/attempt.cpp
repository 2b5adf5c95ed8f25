/* Sends requests to endpoints with cpp-httplib. docs/INTERFACES.md defines the requirements on
 * endpoints. */
#include "endpoint/attempt.h"

#include "endpoint/sse_splitter.h"
#include "http/http_type.h"

#include <httplib.h>

#include <algorithm>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace rhubarbtrail {

namespace {

/* Timeout for connecting to an endpoint, and for each read of a probe. */
constexpr Duration kConnectTimeout = 1s;
/* Number of health probes of an endpoint whose connection broke, and the time between them. */
constexpr int kProbeLimit = 5;
constexpr Duration kProbeInterval = 10ms;
/* Idle connections that one thread keeps open. All are closed when one more is to be kept. */
constexpr std::size_t kIdleConnectionLimit = 32;
/* Largest non-streaming answer that is accepted, in bytes. */
constexpr std::size_t kAnswerBytesLimit = 64U << 20U;
constexpr int kHttpOk = 200;
constexpr int kHttpNoContent = 204;
constexpr int kHttpServerError = 500;

/* The idle connections of one thread, at most one for each address. */
class IdleConnections
{
public:
  /* Removes and returns the idle connection to an address. Returns a new one if there is none, or
   * if it may not be reused. */
  std::shared_ptr<httplib::Client> Take(const std::string& aAddress, ConnectionReuse aReuse)
  {
    const auto found = mIdleClients.find(aAddress);
    if (aReuse == ConnectionReuse::kAllowed && found != mIdleClients.end()) {
      auto client = std::move(found->second);
      mIdleClients.erase(found);
      return client;
    }
    auto client = std::make_shared<httplib::Client>("http://" + aAddress);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(kConnectTimeout);
    return client;
  }

  /* Keeps a connection for later attempts of this thread. */
  void Keep(const std::string& aAddress, std::shared_ptr<httplib::Client> aClient)
  {
    if (mIdleClients.size() >= kIdleConnectionLimit) {
      mIdleClients.clear();
    }
    mIdleClients[aAddress] = std::move(aClient);
  }

private:
  std::unordered_map<std::string, std::shared_ptr<httplib::Client>> mIdleClients;
};

/* Lets another thread stop the call that a client makes for one attempt. */
class Canceller
{
public:
  explicit Canceller(std::shared_ptr<httplib::Client> aClient)
    : mClient(std::move(aClient))
  {
  }
  void Cancel()
  {
    const std::lock_guard lock(mMutex);
    if (mClient != nullptr) {
      mClient->stop();
    }
  }
  /* Makes Cancel() ineffective, since the client may serve other attempts from now on. */
  void Detach()
  {
    const std::lock_guard lock(mMutex);
    mClient = nullptr;
  }

private:
  std::mutex mMutex;
  std::shared_ptr<httplib::Client> mClient;
};

/* Returns whether the process at an address has ended, which shows in refused connections. When a
 * process ends, the system closes its sockets one after the other, and the listening socket is not
 * always the first. A probe is therefore repeated when its connection is accepted and breaks at
 * once. */
bool RefusesConnections(const std::string& aAddress)
{
  for (int probeCount = 0; probeCount < kProbeLimit; ++probeCount) {
    httplib::Client probe("http://" + aAddress);
    probe.set_connection_timeout(kConnectTimeout);
    probe.set_read_timeout(kConnectTimeout);
    const auto started = std::chrono::steady_clock::now();
    const auto result = probe.Get("/health");
    if (!result && result.error() == httplib::Error::Connection) {
      return true;
    }
    const bool isRunning = result || std::chrono::steady_clock::now() - started >= kConnectTimeout;
    if (isRunning) {
      return false;
    }
    std::this_thread::sleep_for(kProbeInterval);
  }
  return false;
}

/* Reads the answer of one attempt, forwards it to the session and determines the outcome. */
class AnswerReader
{
public:
  AnswerReader(Session& aSession, const StartAttempt& aStart, Duration aReadTimeout)
    : mSession(aSession)
    , mStart(aStart)
    , mReadTimeout(aReadTimeout)
  {
  }

  /* Returns false, which ends the call, when the answer belongs to another request or the attempt
   * is no longer active. */
  bool OnHead(const httplib::Response& aResponse)
  {
    mStatus = aResponse.status;
    // The library takes any name. One with a blank can hide the framing of the body.
    mHasValidFields = std::all_of(aResponse.headers.begin(),
                                  aResponse.headers.end(),
                                  [](const auto& aItem) { return http::IsFieldName(aItem.first); });
    mContentType = aResponse.get_header_value("Content-Type");
    mRefusalReason = aResponse.get_header_value("X-Refusal");
    const std::string id = aResponse.get_header_value("X-Request-Id");
    mIsForeignAnswer = !id.empty() && id != mStart.request.str();
    mIsStream = mSession.call().form == AnswerForm::kStream && mStatus == kHttpOk;
    // An engine that does not return the requested offset sends the stream from its beginning.
    const std::string offset = std::to_string(mStart.resumeOffset);
    mNextEventIndex =
      aResponse.get_header_value("X-Resume-Offset") == offset ? mStart.resumeOffset : 0;
    mHasDefinedEnd = aResponse.has_header("Content-Length") || mStatus == kHttpNoContent ||
                     aResponse.get_header_value("Transfer-Encoding") == "chunked";
    return RecordProgress() && !mIsForeignAnswer;
  }

  /* Returns false, which ends the call, when the answer or an event is too large, the session
   * rejects an event, or the attempt is no longer active. */
  bool OnData(std::string_view aBytes)
  {
    if (!RecordProgress()) {
      return false;
    }
    if (!mIsStream) {
      mBody += aBytes;
      return mBody.size() <= kAnswerBytesLimit;
    }
    if (!mSplitter.Feed(aBytes)) {
      return false;
    }
    while (auto event = mSplitter.Next()) {
      if (*event == kStreamEndMark) {
        mIsEndMarkReceived = true;
      }
      if (!mSession.PushEvent(mStart.attempt, mNextEventIndex, std::move(*event))) {
        return false;
      }
      ++mNextEventIndex;
    }
    return true;
  }

  /* Returns the result of the attempt. Gives a complete non-streaming answer to the session. */
  AttemptEnded MakeAttemptEnded(const httplib::Result& aResult)
  {
    AttemptEnded ended{ .request = mStart.request,
                        .attempt = mStart.attempt,
                        .outcome = DetermineOutcome(aResult),
                        .deliveredEvents = mSession.delivered(),
                        .httpStatus = 0,
                        .contentType = {},
                        .answer = {} };
    if (ended.outcome != AttemptOutcome::kCompleted) {
      return ended;
    }
    ended.httpStatus = static_cast<std::uint16_t>(mStatus);
    ended.contentType = mContentType;
    const bool isAtMostOnce = mSession.call().repeatability == Repeatability::kAtMostOnce;
    if (isAtMostOnce) {
      ended.answer = mBody;
    }
    const bool isForwarded =
      mIsStream || mSession.PushBufferedAnswer(mStart.attempt, mStatus, mContentType, mBody);
    if (!isForwarded && !isAtMostOnce) {
      ended.outcome = AttemptOutcome::kCancelled;
    }
    return ended;
  }

private:
  AttemptOutcome DetermineOutcome(const httplib::Result& aResult) const
  {
    if (mIsForeignAnswer) {
      return AttemptOutcome::kForeignAnswer;
    }
    if (!aResult) {
      return DetermineTransportOutcome(aResult.error());
    }
    if (!mHasValidFields || !http::IsFinalStatus(static_cast<unsigned>(mStatus))) {
      return AttemptOutcome::kIncomplete;
    }
    if (mRefusalReason == "leaving") {
      return AttemptOutcome::kLeaving;
    }
    if (!mRefusalReason.empty()) {
      return AttemptOutcome::kNotRun;
    }
    if (mIsStream) {
      return mIsEndMarkReceived ? AttemptOutcome::kCompleted : AttemptOutcome::kIncomplete;
    }
    if (mSession.delivered() > 0) {
      // The caller has a part of a stream, which must not go on with the text of another answer.
      return AttemptOutcome::kIncomplete;
    }
    if (!mHasDefinedEnd) {
      // Without a length, a closed connection does not show whether the answer is complete.
      return AttemptOutcome::kIncomplete;
    }
    const bool isAtMostOnce = mSession.call().repeatability == Repeatability::kAtMostOnce;
    if (mStatus >= kHttpServerError && !isAtMostOnce) {
      return AttemptOutcome::kIncomplete;
    }
    return AttemptOutcome::kCompleted;
  }

  AttemptOutcome DetermineTransportOutcome(httplib::Error aError) const
  {
    if (mIsStream && mIsEndMarkReceived) {
      return AttemptOutcome::kCompleted;
    }
    if (aError == httplib::Error::Connection || aError == httplib::Error::ConnectionTimeout) {
      return AttemptOutcome::kNotConnected;
    }
    if (!mSession.IsActive(mStart.attempt)) {
      return AttemptOutcome::kCancelled;
    }
    if (std::chrono::steady_clock::now() - mLastProgressAt >= mReadTimeout) {
      return AttemptOutcome::kTimedOut;
    }
    return RefusesConnections(mStart.address) ? AttemptOutcome::kCrashed
                                              : AttemptOutcome::kIncomplete;
  }

  /* Records that bytes have arrived. Returns false when the attempt was stopped or superseded, or
   * the request has ended. */
  bool RecordProgress()
  {
    mLastProgressAt = std::chrono::steady_clock::now();
    return mSession.IsActive(mStart.attempt);
  }

  Session& mSession;
  const StartAttempt& mStart;
  const Duration mReadTimeout;
  std::chrono::steady_clock::time_point mLastProgressAt = std::chrono::steady_clock::now();
  SseSplitter mSplitter;
  std::uint32_t mNextEventIndex = 0;
  int mStatus = 0;
  std::string mContentType;
  std::string mRefusalReason;
  std::string mBody;
  bool mIsStream = false;
  bool mIsEndMarkReceived = false;
  bool mIsForeignAnswer = false;
  bool mHasValidFields = true; ///< The names of the header fields are valid.
  bool mHasDefinedEnd = false; ///< The header gives the length, chunked framing or status 204.
};

httplib::Request MakeRequest(const Session& aSession,
                             const StartAttempt& aStart,
                             AnswerReader& aReader)
{
  const EndpointCall& call = aSession.call();
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  request.body = call.body;
  for (const auto& [name, value] : call.headers) {
    request.set_header(name, value);
  }
  if (!call.contentType.empty()) {
    request.set_header("Content-Type", call.contentType);
  }
  request.set_header("X-Request-Id", aStart.request.str());
  request.set_header("X-Priority", std::to_string(aStart.priority));
  if (call.form == AnswerForm::kStream) {
    request.set_header("X-Resume-Offset", std::to_string(aStart.resumeOffset));
  }
  request.response_handler = [&aReader](const httplib::Response& aResponse) {
    return aReader.OnHead(aResponse);
  };
  request.content_receiver =
    [&aReader](const char* aData, std::size_t aLength, std::uint64_t, std::uint64_t) {
      return aReader.OnData({ aData, aLength });
    };
  return request;
}

} // namespace

AttemptEnded RunAttempt(Session& aSession, const StartAttempt& aStart)
{
  thread_local IdleConnections sIdleConnections;
  AttemptEnded notSent{ .request = aStart.request,
                        .attempt = aStart.attempt,
                        .outcome = AttemptOutcome::kNotConnected,
                        .deliveredEvents = aSession.delivered() };
  if (!aSession.BeginAttempt(aStart.attempt)) {
    return notSent;
  }
  const auto client = sIdleConnections.Take(aStart.address, aStart.reuse);
  const Duration progressTimeout =
    std::min(aStart.progressLimit, std::max(aStart.timeLeft, Duration{ 1ms }));
  // A non-streaming answer shows no progress while the endpoint computes it. Only the deadline
  // limits it.
  const Duration readTimeout = aSession.call().form == AnswerForm::kStream
                                 ? progressTimeout
                                 : std::max(aStart.timeLeft, progressTimeout);
  client->set_read_timeout(readTimeout);
  client->set_write_timeout(progressTimeout);
  const auto canceller = std::make_shared<Canceller>(client);
  if (!aSession.SetCanceller(aStart.attempt, [canceller] { canceller->Cancel(); })) {
    return notSent;
  }
  AnswerReader reader(aSession, aStart, readTimeout);
  const httplib::Result result = client->send(MakeRequest(aSession, aStart, reader));
  AttemptEnded ended = reader.MakeAttemptEnded(result);
  canceller->Detach();
  if (result) {
    sIdleConnections.Keep(aStart.address, client);
  }
  return ended;
}

} // namespace rhubarbtrail

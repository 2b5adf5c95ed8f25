/* Attempts over cpp-httplib; docs/INTERFACES.md says what is asked of endpoints. */
#include "endpoint/attempt.h"

#include "endpoint/sse_splitter.h"

#include <httplib.h>

#include <algorithm>
#include <thread>
#include <unordered_map>

namespace rhubarbtrail {

namespace {

/* Time allowed for a connection to an endpoint. */
constexpr Duration kConnectTimeout = 1s;
/* Questions to an endpoint whose connection broke, and the time between them. */
constexpr int kProbeLimit = 5;
constexpr Duration kProbePause = 10ms;
/* Connections that one thread keeps open at most. */
constexpr std::size_t kConnectionLimit = 32;
constexpr int kHttpOk = 200;
constexpr int kHttpServerError = 500;

/* The connections that a thread keeps, and the one in use. */
class Connections
{
public:
  std::shared_ptr<httplib::Client> Take(const std::string& aAddress, ConnectionReuse aReuse)
  {
    const auto found = mIdle.find(aAddress);
    if (aReuse == ConnectionReuse::kAllowed && found != mIdle.end()) {
      auto client = std::move(found->second);
      mIdle.erase(found);
      return client;
    }
    auto client = std::make_shared<httplib::Client>("http://" + aAddress);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(kConnectTimeout);
    return client;
  }

  void Keep(const std::string& aAddress, std::shared_ptr<httplib::Client> aClient)
  {
    if (mIdle.size() >= kConnectionLimit) {
      mIdle.clear();
    }
    mIdle[aAddress] = std::move(aClient);
  }

private:
  std::unordered_map<std::string, std::shared_ptr<httplib::Client>> mIdle;
};

/* Returns whether the process at an address has gone: it refuses connections. The system closes
 * the sockets of a process one after the other, its listening socket not always first; so a
 * connection that is accepted and breaks at once is tried again. */
bool RefusesConnections(const std::string& aAddress)
{
  for (int tries = 0; tries < kProbeLimit; ++tries) {
    httplib::Client probe("http://" + aAddress);
    probe.set_connection_timeout(kConnectTimeout);
    probe.set_read_timeout(kConnectTimeout);
    const auto started = std::chrono::steady_clock::now();
    const auto result = probe.Get("/health");
    if (!result && result.error() == httplib::Error::Connection) {
      return true;
    }
    const bool isAlive = result || std::chrono::steady_clock::now() - started >= kConnectTimeout;
    if (isAlive) {
      return false;
    }
    std::this_thread::sleep_for(kProbePause);
  }
  return false;
}

/* Follows one answer while it arrives. */
class AnswerReader
{
public:
  AnswerReader(Session& aSession, const StartAttempt& aStart)
    : mSession(aSession)
    , mStart(aStart)
    , mNextIndex(aStart.resumeOffset)
  {
  }

  bool OnHead(const httplib::Response& aResponse)
  {
    mStatus = aResponse.status;
    mContentType = aResponse.get_header_value("Content-Type");
    mRefusal = aResponse.get_header_value("X-Refusal");
    const std::string id = aResponse.get_header_value("X-Request-Id");
    mIsMismatched = !id.empty() && id != mStart.request.str();
    mIsStream = mSession.call().form == AnswerForm::kStream && mStatus == kHttpOk;
    return !mIsMismatched;
  }

  bool OnData(std::string_view aBytes)
  {
    if (!mIsStream) {
      mBody += aBytes;
      return true;
    }
    if (!mSplitter.Feed(aBytes)) {
      return false;
    }
    while (auto event = mSplitter.Next()) {
      if (*event == kStreamEndMark) {
        mIsEnded = true;
      }
      if (!mSession.PushEvent(mStart.attempt, mNextIndex, std::move(*event))) {
        return false;
      }
      ++mNextIndex;
    }
    return true;
  }

  AttemptEnded Judge(const httplib::Result& aResult)
  {
    AttemptEnded ended{ .request = mStart.request,
                        .attempt = mStart.attempt,
                        .outcome = OutcomeOf(aResult),
                        .delivered = mSession.delivered(),
                        .httpStatus = 0,
                        .contentType = {},
                        .answer = {} };
    if (ended.outcome != AttemptOutcome::kCompleted) {
      return ended;
    }
    ended.httpStatus = static_cast<std::uint16_t>(mStatus);
    ended.contentType = mContentType;
    const bool isOnce = mSession.call().repeatability == Repeatability::kAtMostOnce;
    if (isOnce) {
      ended.answer = mBody;
    }
    const bool isPassedOn =
      mIsStream || mSession.PushWhole(mStart.attempt, mStatus, mContentType, mBody);
    if (!isPassedOn && !isOnce) {
      ended.outcome = AttemptOutcome::kCancelled;
    }
    return ended;
  }

private:
  AttemptOutcome OutcomeOf(const httplib::Result& aResult) const
  {
    if (mIsMismatched) {
      return AttemptOutcome::kMismatched;
    }
    if (!aResult) {
      return TransportOutcome(aResult.error());
    }
    if (mRefusal == "leaving") {
      return AttemptOutcome::kLeaving;
    }
    if (!mRefusal.empty()) {
      return AttemptOutcome::kNotRun;
    }
    if (mIsStream) {
      return mIsEnded ? AttemptOutcome::kCompleted : AttemptOutcome::kCut;
    }
    const bool isOnce = mSession.call().repeatability == Repeatability::kAtMostOnce;
    if (mStatus >= kHttpServerError && !isOnce) {
      return AttemptOutcome::kCut;
    }
    return AttemptOutcome::kCompleted;
  }

  AttemptOutcome TransportOutcome(httplib::Error aError) const
  {
    if (mIsStream && mIsEnded) {
      return AttemptOutcome::kCompleted;
    }
    if (aError == httplib::Error::Connection || aError == httplib::Error::ConnectionTimeout) {
      return AttemptOutcome::kNotConnected;
    }
    return RefusesConnections(mStart.address) ? AttemptOutcome::kCrashed : AttemptOutcome::kCut;
  }

  Session& mSession;
  const StartAttempt& mStart;
  SseSplitter mSplitter;
  std::uint32_t mNextIndex;
  int mStatus = 0;
  std::string mContentType;
  std::string mRefusal;
  std::string mBody;
  bool mIsStream = false;
  bool mIsEnded = false;
  bool mIsMismatched = false;
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
  thread_local Connections sConnections;
  aSession.BeginAttempt(aStart.attempt);
  const auto client = sConnections.Take(aStart.address, aStart.reuse);
  const Duration limit = std::min(aStart.progressLimit, std::max(aStart.timeLeft, Duration{ 1ms }));
  client->set_read_timeout(aSession.call().form == AnswerForm::kStream ? limit : aStart.timeLeft);
  client->set_write_timeout(limit);
  aSession.SetCanceller(aStart.attempt, [client] { client->stop(); });

  AnswerReader reader(aSession, aStart);
  const auto started = std::chrono::steady_clock::now();
  const httplib::Result result = client->send(MakeRequest(aSession, aStart, reader));
  AttemptEnded ended = reader.Judge(result);
  const bool wasSilent = ended.outcome == AttemptOutcome::kCut && !result &&
                         std::chrono::steady_clock::now() - started >= limit;
  if (wasSilent) {
    ended.outcome = AttemptOutcome::kSilent;
  }
  aSession.SetCanceller(aStart.attempt, nullptr);
  if (result) {
    sConnections.Keep(aStart.address, client);
  }
  return ended;
}

} // namespace rhubarbtrail

/* An HTTP server that gives every request the same answer, with a fault if a test wants one. */
#ifndef RHUBARBTRAIL_TESTS_FAKE_SERVER_H
#define RHUBARBTRAIL_TESTS_FAKE_SERVER_H

#include <atomic>
#include <functional>
#include <httplib.h>
#include <string>
#include <thread>

namespace rhubarbtrail {

/* A fault in how an answer is sent. */
enum class AnswerFault : std::uint8_t
{
  kNone,
  kTruncated, ///< The connection ends before the announced length.
  kLate,      ///< Sent after 1 s, which is later than the time limits of the tests.
  kNoLength,  ///< The answer has no length and ends with its connection.
};

struct FakeAnswer
{
  int status = 200;
  std::string body;
  AnswerFault fault = AnswerFault::kNone;
  httplib::Headers headers;
  std::string contentType = "application/json";
};

class FakeServer
{
public:
  explicit FakeServer(FakeAnswer aAnswer)
    : mAnswer(std::move(aAnswer))
  {
    const auto handle = [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      mCallCount += aRequest.path != "/health" ? 1 : 0;
      Answer(aResponse);
    };
    mServer.Get("/.*", handle);
    mServer.Post("/.*", handle);
    mServer.set_keep_alive_max_count(1);
    mPort = mServer.bind_to_any_port("127.0.0.1");
    mThread = std::thread([this] { mServer.listen_after_bind(); });
    while (!mServer.is_running()) {
      std::this_thread::yield();
    }
  }
  ~FakeServer()
  {
    mIsStopping = true;
    mServer.stop();
    mThread.join();
  }
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(mPort); }
  int callCount() const { return mCallCount; }

private:
  void Answer(httplib::Response& aResponse)
  {
    aResponse.status = mAnswer.status;
    aResponse.headers = mAnswer.headers;
    for (int step = 0; mAnswer.fault == AnswerFault::kLate && step < 100 && !mIsStopping; ++step) {
      std::this_thread::sleep_for(std::chrono::milliseconds{ 10 });
    }
    const std::string& body = mAnswer.body;
    if (mAnswer.fault == AnswerFault::kTruncated) {
      aResponse.set_content_provider(
        body.size() + 10,
        mAnswer.contentType,
        [body](std::size_t aOffset, std::size_t, httplib::DataSink& aSink) {
          return aOffset == 0 && aSink.write(body.data(), body.size());
        });
    } else if (mAnswer.fault == AnswerFault::kNoLength) {
      aResponse.set_content_provider(mAnswer.contentType,
                                     [body](std::size_t, httplib::DataSink& aSink) {
                                       aSink.write(body.data(), body.size());
                                       aSink.done();
                                       return true;
                                     });
    } else {
      aResponse.set_content(body, mAnswer.contentType);
    }
  }

  FakeAnswer mAnswer;
  httplib::Server mServer;
  int mPort = 0;
  std::atomic<int> mCallCount{ 0 };
  std::atomic<bool> mIsStopping{ false };
  std::thread mThread;
};

/* Returns an address at which nothing listens. */
inline std::string ClosedAddress()
{
  const FakeServer server({});
  return server.address();
}

} // namespace rhubarbtrail

#endif

/* Answers whose connections are closed in the middle of the head. Guards against callers that get a
 * success with an empty or short body as if it were the whole answer. */
#include "core/httplib_client_func.h"
#include "endpoint/attempt.h"
#include "http/http_client.h"
#include "tests/http/run_until.h"

#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace rhubarbtrail;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/* How a connection ends after the last byte of an answer. */
enum class End : std::uint8_t
{
  kOrderly,
  kReset,
};

/* Accepts connections one after the other. On each, it answers one request with the same bytes and
 * closes. */
class CuttingEndpoint
{
public:
  CuttingEndpoint(std::string aAnswer, End aEnd)
    : mAnswer(std::move(aAnswer))
    , mEnd(aEnd)
    , mAcceptor(mLoop, { asio::ip::make_address("127.0.0.1"), 0 })
    , mThread([this] { Serve(); })
  {
  }
  ~CuttingEndpoint()
  {
    mIsStopping = true;
    boost::system::error_code ignored;
    asio::io_context loop;
    tcp::socket socket(loop);
    socket.connect(mAcceptor.local_endpoint(), ignored); // Ends the wait for a connection.
    socket.close(ignored);
    mThread.join();
  }
  CuttingEndpoint(const CuttingEndpoint&) = delete;
  CuttingEndpoint& operator=(const CuttingEndpoint&) = delete;

  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

private:
  void Serve()
  {
    while (!mIsStopping) {
      boost::system::error_code error;
      tcp::socket socket(mLoop);
      mAcceptor.accept(socket, error);
      asio::streambuf request;
      asio::read_until(socket, request, "\r\n\r\n", error);
      asio::write(socket, asio::buffer(mAnswer), error);
      if (mEnd == End::kReset) {
        socket.set_option(asio::socket_base::linger(true, 0), error);
      }
      socket.close(error);
    }
  }

  std::string mAnswer;
  End mEnd;
  std::atomic<bool> mIsStopping{ false };
  asio::io_context mLoop;
  tcp::acceptor mAcceptor;
  std::thread mThread;
};

/* Heads of whole answers. Those without a body are the ones that a reader can take for whole when
 * they are cut. */
const std::vector<std::string> kHeads{
  "HTTP/1.1 200 OK\r\nX-Response-Signature: 1.2\r\nX-Request-Id: id\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Response-Signature: 1.2\r\nX-Request-Id: id\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\nX-Request-Id: id\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
  "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n",
  "HTTP/1.1 204 No Content\r\nX-Response-Signature: 1.2\r\nX-Request-Id: other\r\n\r\n",
  "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nX-Request-Id: other\r\n\r\n",
  "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Refusal: not-loaded\r\nX-Request-Id: id\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Request-Id: id\r\n\r\n",
};

/* Calls a function with the address of an endpoint that sends the first bytes of a head. */
template<typename Function>
void WithCut(const std::string& aHead, std::size_t aBytes, End aEnd, const Function& aFunction)
{
  const std::string part = aHead.substr(0, aBytes);
  INFO((aEnd == End::kReset ? "reset after: " : "closed after: ") << part);
  const CuttingEndpoint endpoint(part, aEnd);
  aFunction(endpoint.address());
}

/* Does so for each beginning of each head. */
template<typename Function>
void ForEachCut(const Function& aFunction)
{
  for (const std::string& head : kHeads) {
    for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
      WithCut(head, bytes, End::kOrderly, aFunction);
      WithCut(head, bytes, End::kReset, aFunction);
    }
  }
}

/* Does so for each head that ends behind a line, or shortly before its end. */
template<typename Function>
void ForEachCutLine(const Function& aFunction)
{
  for (const std::string& head : kHeads) {
    for (auto end = head.find("\r\n"); end + 4 < head.size(); end = head.find("\r\n", end + 1)) {
      WithCut(head, end - 3, End::kOrderly, aFunction);
      WithCut(head, end + 2, End::kOrderly, aFunction);
    }
  }
}

} // namespace

TEST_CASE("an endpoint's answer whose head is cut off is not complete for a daemon of a cell")
{
  ForEachCutLine([](const std::string& aAddress) {
    for (const AnswerForm form : { AnswerForm::kBuffered, AnswerForm::kStream }) {
      Session session(
        RequestId{ "id" },
        EndpointCall{ .method = "POST", .path = "/v1/completions", .body = "{}", .form = form });
      const AttemptEnded ended = RunAttempt(session,
                                            { .request = RequestId{ "id" },
                                              .attempt = AttemptNumber{ 1 },
                                              .address = aAddress,
                                              .reuse = ConnectionReuse::kNewConnection,
                                              .progressLimit = 2s,
                                              .timeLeft = 2s });
      const bool isBroken =
        ended.outcome == AttemptOutcome::kIncomplete || ended.outcome == AttemptOutcome::kCrashed;
      CHECK_MESSAGE(isBroken, "outcome " << static_cast<int>(ended.outcome));
      CHECK(ended.deliveredEvents == 0);
    }
  });
}

TEST_CASE("an answer of the platform or of an engine to an order whose head is cut off is lost")
{
  ForEachCut([](const std::string& aAddress) {
    const HttplibAnswer answer = SendHttplibCall({ .address = aAddress, .body = {} });
    CHECK(answer.outcome == HttplibOutcome::kLost);
    CHECK(answer.status == 0);
  });
}

/* The client of `edge` makes all its calls: to endpoints, also when it takes a stream up, and to
 * the store. */
TEST_CASE("an answer whose head is cut off is not complete for the event-driven client")
{
  for (const std::string method : { "GET", "HEAD", "POST" }) {
    ForEachCut([&](const std::string& aAddress) {
      asio::io_context loop;
      http::Client client(loop, {});
      std::optional<http::CallResult> result;
      bool hasHead = false;
      client.Start({ .address = aAddress,
                     .request = { .method = method, .target = "/", .fields = {}, .body = {} },
                     .answerTimeout = 5s },
                   { .onHead =
                       [&](const http::AnswerHead&) {
                         hasHead = true;
                         return true;
                       },
                     .onBody = [](std::string_view) {},
                     .onEnd = [&](http::CallResult aResult) { result = aResult; } });
      REQUIRE(http::RunUntil(loop, [&] { return result.has_value(); }));
      CHECK(*result != http::CallResult::kComplete);
      CHECK_FALSE(hasHead);
    });
  }
}

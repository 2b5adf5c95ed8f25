/* Answers and requests that never end, over loopback connections. Guards against a client or server
 * whose memory grows, or whose call stays open, for as long as such bytes come. */
#include "http/http_client.h"
#include "http/http_server.h"
#include "tests/http/run_until.h"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::http;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/* An answer whose last part is repeated until the connection is closed. */
struct EndlessAnswer
{
  std::string start;
  std::string unit;
  /* The largest number of bytes in one write; the number is drawn at random for each. 0: the writes
   * are whole units. */
  std::size_t maxPieceBytes = 0;
  std::chrono::milliseconds pause{ 0 }; ///< Between two writes.
};

/* An endpoint whose first connection carries an endless answer. The others carry a short one. */
struct EndlessEndpoint
{
  explicit EndlessEndpoint(EndlessAnswer aAnswer, std::uint64_t aSeed = 1)
    : answer(std::move(aAnswer))
    , random(aSeed)
    , acceptor(loop, { asio::ip::make_address("127.0.0.1"), 0 })
    , client(loop, { .onLimitExceeded = [this](const ExceededLimit& aExceeded) {
               exceeded = aExceeded;
             } })
  {
    Accept();
  }

  void Accept()
  {
    acceptor.async_accept([this](boost::system::error_code aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      sockets.push_back(std::make_unique<tcp::socket>(std::move(aSocket)));
      Read(*sockets.back(), sockets.size() == 1);
      Accept();
    });
  }

  void Read(tcp::socket& aSocket, bool aIsEndless)
  {
    auto buffer = std::make_shared<std::string>(4'096, '\0');
    aSocket.async_read_some(
      asio::buffer(*buffer),
      [this, &aSocket, aIsEndless, buffer](boost::system::error_code aError, std::size_t) {
        if (aError) {
          return;
        }
        if (aIsEndless) {
          WriteNext(aSocket);
          return;
        }
        boost::system::error_code ignored;
        asio::write(aSocket,
                    asio::buffer(std::string{ "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext" }),
                    ignored);
      });
  }

  void WriteNext(tcp::socket& aSocket)
  {
    if (pending.empty()) {
      pending = sentBytes == 0 ? answer.start + answer.unit : answer.unit;
    }
    std::size_t size = pending.size();
    if (answer.maxPieceBytes > 0) {
      std::uniform_int_distribution<std::size_t> sizes{ 1, answer.maxPieceBytes };
      size = std::min(size, sizes(random));
    }
    auto piece = std::make_shared<std::string>(pending.substr(0, size));
    pending.erase(0, size);
    sentBytes += size;
    asio::async_write(aSocket,
                      asio::buffer(*piece),
                      [this, &aSocket, piece](boost::system::error_code aError, std::size_t) {
                        if (aError) {
                          isClosed = true;
                          return;
                        }
                        timer.expires_after(answer.pause);
                        timer.async_wait([this, &aSocket](boost::system::error_code aTimerError) {
                          if (!aTimerError) {
                            WriteNext(aSocket);
                          }
                        });
                      });
  }

  CallOptions Options() const
  {
    return { .address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
             .request = { .method = "GET", .target = "/" },
             .answerTimeout = 15s,
             .maxBodyBytes = 100'000,
             .totalTimeout = 15s };
  }

  /* Makes a call. Answers with a field X-Other are skipped. */
  CallResult Call(const CallOptions& aOptions,
                  const std::function<void(http::Call&)>& aOnHead = nullptr)
  {
    std::optional<CallResult> result;
    body.clear();
    std::unique_ptr<http::Call> call;
    call = client.Start(aOptions,
                        { .onHead =
                            [&](const AnswerHead& aHead) {
                              const bool isOther = Find(aHead.fields, "X-Other").has_value();
                              if (!isOther && aOnHead) {
                                aOnHead(*call);
                              }
                              return !isOther;
                            },
                          .onBody = [&](std::string_view aBytes) { body += aBytes; },
                          .onEnd = [&](CallResult aResult) { result = aResult; } });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  }

  /* Checks that a call ends as too large, that its connection is closed, and that the next call is
   * answered on another connection. */
  void CheckEndsTooLarge(AnswerPart aPart)
  {
    CHECK(Call(Options()) == CallResult::kTooLarge);
    REQUIRE(exceeded.has_value());
    CHECK(ToString(exceeded->part) == ToString(aPart));
    CHECK(exceeded->value > exceeded->limit);
    CHECK(exceeded->target == "/");
    CHECK(body.size() <= 100'000);
    CheckClosedAndNextCall();
  }

  void CheckClosedAndNextCall()
  {
    CHECK(RunUntil(loop, [&] { return isClosed; }));
    CHECK(Call(Options()) == CallResult::kComplete);
    CHECK(body == "next");
    CHECK(sockets.size() == 2);
  }

  asio::io_context loop{ 1 };
  EndlessAnswer answer;
  std::mt19937_64 random;
  std::string pending;
  std::size_t sentBytes = 0;
  bool isClosed = false; ///< The connection of the endless answer.
  std::optional<ExceededLimit> exceeded;
  std::string body;
  asio::steady_timer timer{ loop };
  tcp::acceptor acceptor;
  std::vector<std::unique_ptr<tcp::socket>> sockets;
  Client client;
};

const std::string kChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kLong(32U << 10U, 'x');

std::vector<std::pair<EndlessAnswer, AnswerPart>> EndlessAnswers()
{
  return {
    { { .start = "HTTP/1.1 200 ", .unit = kLong }, AnswerPart::kHead },
    { { .start = "HTTP/1.1 200 OK\r\nX: ", .unit = kLong }, AnswerPart::kHead },
    { { .start = "HTTP/1.1 200 OK\r\n", .unit = "X: 1\r\n" }, AnswerPart::kHead },
    { { .start = "", .unit = "HTTP/1.1 103 Hint\r\nX: 1\r\n\r\n" }, AnswerPart::kInterimHeads },
    { { .start = "HTTP/1.1 200 OK\r\n\r\n", .unit = kLong }, AnswerPart::kBody },
    { { .start = "HTTP/1.1 200 OK\r\nContent-Length: 1125899906842624\r\n\r\n", .unit = kLong },
      AnswerPart::kBody },
    { { .start = kChunked, .unit = "4\r\nabcd\r\n" }, AnswerPart::kBody },
    { { .start = kChunked + "5;x=", .unit = kLong }, AnswerPart::kFraming },
    { { .start = kChunked + "0\r\nX: ", .unit = kLong }, AnswerPart::kFraming },
    { { .start = kChunked + "0\r\n", .unit = "X: 1\r\n" }, AnswerPart::kFraming },
    { { .start = "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 1125899906842624\r\n\r\n",
        .unit = kLong },
      AnswerPart::kOtherAnswer },
  };
}

} // namespace

TEST_CASE("an answer without end ends its call and closes its connection, whatever has no end")
{
  for (const auto& [answer, part] : EndlessAnswers()) {
    CAPTURE(answer.start);
    EndlessEndpoint endpoint(answer);
    endpoint.CheckEndsTooLarge(part);
  }
}

/* The limits must hold however the bytes arrive: the parser keeps its own place in them. */
TEST_CASE("an answer without end in pieces of random sizes ends its call")
{
  const std::uint64_t seed = std::random_device{}();
  MESSAGE("seed " << seed);
  std::mt19937_64 random{ seed };
  for (auto [answer, part] : EndlessAnswers()) {
    std::uniform_int_distribution<std::size_t> sizes{ 64, 4'096 };
    answer.maxPieceBytes = sizes(random);
    CAPTURE(answer.start);
    CAPTURE(answer.maxPieceBytes);
    EndlessEndpoint endpoint(answer, random());
    endpoint.CheckEndsTooLarge(part);
  }
}

TEST_CASE("a body that comes slowly without end is ended by the time limit of the call")
{
  EndlessEndpoint endpoint(
    { .start = "HTTP/1.1 200 OK\r\n\r\n", .unit = "x", .pause = std::chrono::milliseconds{ 10 } });
  CallOptions options = endpoint.Options();
  options.totalTimeout = 300ms;
  CHECK(endpoint.Call(options) == CallResult::kTimedOut);
  REQUIRE(endpoint.exceeded.has_value());
  CHECK(endpoint.exceeded->part == AnswerPart::kTime);
  CHECK(endpoint.exceeded->limit == 300);
  endpoint.CheckClosedAndNextCall();
}

TEST_CASE("a head that comes slowly without end is ended by the time limit of the head")
{
  EndlessEndpoint endpoint(
    { .start = "HTTP/1.1 200 OK\r\nX: ", .unit = "x", .pause = std::chrono::milliseconds{ 10 } });
  CallOptions options = endpoint.Options();
  options.answerTimeout = 300ms;
  CHECK(endpoint.Call(options) == CallResult::kTimedOut);
  endpoint.CheckClosedAndNextCall();
}

/* The caller may know from the head that it needs no more. */
TEST_CASE("the handler of the head can limit the rest of an answer or end the call")
{
  const EndlessAnswer answer{ .start = "HTTP/1.1 200 OK\r\n\r\n",
                              .unit = "x",
                              .pause = std::chrono::milliseconds{ 10 } };
  EndlessEndpoint limited(answer);
  CHECK(limited.Call(limited.Options(), [](Call& aCall) { aCall.LimitBody(100'000, 300ms); }) ==
        CallResult::kTimedOut);
  limited.CheckClosedAndNextCall();

  EndlessEndpoint shortened(answer);
  CHECK(shortened.Call(shortened.Options(), [](Call& aCall) { aCall.LimitBody(5, 10s); }) ==
        CallResult::kTooLarge);
  shortened.CheckClosedAndNextCall();

  EndlessEndpoint ended(answer);
  CHECK(ended.Call(ended.Options(), [](Call& aCall) { aCall.End(CallResult::kMalformed); }) ==
        CallResult::kMalformed);
  ended.CheckClosedAndNextCall();
}

/* Guards against limits that end what a sound endpoint may send: the limits of a stream are set to
 * 0, and its heads and pauses are within the limits. */
TEST_CASE("a call without limits receives a long body after interim answers")
{
  EndlessEndpoint endpoint(
    { .start = "HTTP/1.1 103 Hint\r\n\r\nHTTP/1.1 103 Hint\r\n\r\n" + kChunked,
      .unit = "8000\r\n" + kLong + "\r\n" });
  CallOptions options = endpoint.Options();
  options.maxBodyBytes = 0;
  options.totalTimeout = Duration::zero();
  bool hasEnded = false;
  std::size_t size = 0;
  const auto call =
    endpoint.client.Start(options,
                          { .onHead = [](const AnswerHead&) { return true; },
                            .onBody = [&](std::string_view aBytes) { size += aBytes.size(); },
                            .onEnd = [&](CallResult) { hasEnded = true; } });
  CHECK(RunUntil(endpoint.loop, [&] { return size > 20U << 20U || hasEnded; }));
  CHECK_FALSE(hasEnded);
  call->Cancel();
}

TEST_CASE("the server rejects requests whose head or chunk framing has no end")
{
  const std::vector<std::pair<std::string, std::string>> cases{
    { "GET / HTTP/1.1\r\nHost: h\r\nX: ", std::string(1'000, 'x') },
    { "GET / HTTP/1.1\r\nHost: h\r\n", "X: 1\r\n" },
    { "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
      std::string(1'000, 'x') },
    { "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: 1\r\n" },
  };
  for (const auto& [start, unit] : cases) {
    CAPTURE(start);
    asio::io_context loop{ 1 };
    Server server(loop, { .address = "127.0.0.1:0" }, [](Request, std::shared_ptr<Responder>) {});
    REQUIRE(server.Listen().empty());
    tcp::socket socket(loop);
    socket.connect({ asio::ip::make_address("127.0.0.1"), server.port() });
    asio::write(socket, asio::buffer(start));
    std::size_t sentBytes = 0;
    boost::system::error_code error;
    // Each unit is read before the next one is sent, so that the parser sees whole fields.
    while (!error && server.counts().rejected == 0 && sentBytes < 1U << 20U) {
      sentBytes += asio::write(socket, asio::buffer(unit), error);
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds{ 20 });
    }
    CHECK(server.counts().rejected == 1);
    CHECK(RunUntil(loop, [&] { return server.counts().connections == 0; }));
  }
}

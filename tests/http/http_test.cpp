/* The event-driven HTTP server and client, tested over loopback connections. */
#include "http/http_client.h"
#include "http/http_server.h"
#include "tests/http/run_until.h"

#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::http;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/* A server that stores the requests it gets and answers none by itself. */
struct ServerFixture
{
  ServerFixture()
    : server(loop,
             { .address = "127.0.0.1:0" },
             [this](Request aRequest, std::shared_ptr<Responder> aResponder) {
               aResponder->OnClosed([this] { ++disconnectCount; });
               requests.push_back(std::move(aRequest));
               responders.push_back(std::move(aResponder));
             })
  {
    REQUIRE(server.Listen().empty());
  }

  std::unique_ptr<tcp::socket> Connect()
  {
    auto socket = std::make_unique<tcp::socket>(loop);
    socket->connect({ asio::ip::make_address("127.0.0.1"), server.port() });
    return socket;
  }

  /* Sends the bytes on a new connection, waits until the server has closed it or delivered a
   * request, and returns the bytes that it sent back. */
  std::string Exchange(const std::string& aBytes)
  {
    auto socket = Connect();
    asio::write(*socket, asio::buffer(aBytes));
    std::string answer;
    bool isClosed = false;
    asio::async_read(*socket,
                     asio::dynamic_buffer(answer),
                     [&](boost::system::error_code, std::size_t) { isClosed = true; });
    RunUntil(loop, [&] { return isClosed || !requests.empty(); });
    boost::system::error_code ignored;
    socket->close(ignored);
    RunUntil(loop, [&] { return isClosed; });
    return answer;
  }

  asio::io_context loop{ 1 };
  std::vector<Request> requests;
  std::vector<std::shared_ptr<Responder>> responders;
  int disconnectCount = 0;
  Server server;
};

/* An endpoint that answers each read of a request with the next of the given texts, over all its
 * connections, and a client that calls it. */
struct ScriptedEndpoint
{
  explicit ScriptedEndpoint(std::vector<std::string> aAnswers)
    : answers(std::move(aAnswers))
    , acceptor(loop, { asio::ip::make_address("127.0.0.1"), 0 })
    , client(loop, {})
  {
    Accept();
  }

  void Accept()
  {
    acceptor.async_accept([this](boost::system::error_code aError, tcp::socket aSocket) {
      if (!aError) {
        ++connectionCount;
        sockets.push_back(std::make_unique<tcp::socket>(std::move(aSocket)));
        Read(*sockets.back());
        Accept();
      }
    });
  }

  void Read(tcp::socket& aSocket)
  {
    auto buffer = std::make_shared<std::string>(4'096, '\0');
    aSocket.async_read_some(
      asio::buffer(*buffer),
      [this, &aSocket, buffer](boost::system::error_code aError, std::size_t) {
        if (aError || nextAnswer >= answers.size()) {
          return;
        }
        std::string answer = answers[nextAnswer++];
        boost::system::error_code ignored;
        if (sendsHeadAlone) {
          const std::size_t headSize = answer.find("\r\n\r\n") + 4;
          asio::write(aSocket, asio::buffer(answer, headSize), ignored);
          answer.erase(0, headSize);
          std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
          loop.poll(); // Lets the client read the head before the body is sent.
        }
        asio::write(aSocket, asio::buffer(answer), ignored);
        if (closesAfterAnswer) {
          aSocket.close(ignored);
          return;
        }
        Read(aSocket);
      });
  }

  /* Makes a call and returns how it ended. When an id is given, answers whose X-Id field differs
   * are skipped. */
  CallResult Call(Reuse aReuse = Reuse::kAllowed, const std::string& aId = {})
  {
    std::optional<CallResult> result;
    status = 0;
    body.clear();
    const auto call =
      client.Start({ .address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                     .request = { .method = "GET", .target = "/" },
                     .reuse = aReuse,
                     .answerTimeout = 3s,
                     .mayBeSent = mayBeSent },
                   { .onHead =
                       [&](const AnswerHead& aHead) {
                         const auto id = Find(aHead.fields, "X-Id");
                         if (!aId.empty() && id && *id != aId) {
                           return false;
                         }
                         status = aHead.status;
                         return true;
                       },
                     .onBody = [&](std::string_view aBytes) { body += aBytes; },
                     .onEnd = [&](CallResult aResult) { result = aResult; } });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  }

  asio::io_context loop{ 1 };
  std::vector<std::string> answers;
  std::size_t nextAnswer = 0;
  bool closesAfterAnswer = false;
  bool sendsHeadAlone = false;
  std::function<bool()> mayBeSent; ///< Of the calls.
  int connectionCount = 0;
  unsigned status = 0;
  std::string body;
  tcp::acceptor acceptor;
  std::vector<std::unique_ptr<tcp::socket>> sockets;
  Client client;
};

std::string Answer(const std::string& aBody, const std::string& aFields = {})
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n" + aFields +
         "\r\n" + aBody;
}

} // namespace

/* Guards against request smuggling: if the server and a proxy in front of it disagree where a
 * request ends, bytes of one client's body are run as another request. */
TEST_CASE("requests with ambiguous or invalid framing are rejected and not delivered")
{
  const std::vector<std::pair<std::string, std::string>> cases{
    { "negative length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n" },
    { "signed length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello" },
    { "two lengths",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello" },
    { "length list", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5, 5\r\n\r\nhello" },
    { "length and chunks",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\n" },
    { "chunks and length",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
      "0\r\n\r\n" },
    { "unknown coding",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nGET /x HTTP/1.1\r\n\r\n" },
    { "coding after chunks",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n" },
    { "hidden coding",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" },
    { "space before the colon", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\nhello" },
    { "two hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n" },
    { "no host", "GET / HTTP/1.1\r\n\r\n" },
    { "chunks in HTTP/1.0",
      "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    { "wrong chunk size",
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n" },
    { "not HTTP", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 nonsense\r\n\r\n" },
  };
  for (const auto& [name, bytes] : cases) {
    INFO(name);
    ServerFixture fixture;
    const std::string answer = fixture.Exchange(bytes);
    CHECK(answer.starts_with("HTTP/1.1 4"));
    CHECK(fixture.requests.empty());
  }
}

TEST_CASE("a chunked body is delivered without its framing")
{
  ServerFixture fixture;
  fixture.Exchange("POST /a?b=c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n");
  REQUIRE(fixture.requests.size() == 1);
  CHECK(fixture.requests[0].body == "hello!");
  CHECK(fixture.requests[0].target == "/a?b=c");
}

TEST_CASE("requests beyond the header or body limit are rejected")
{
  ServerFixture fixture;
  fixture.server.SetLimits({ .headerBytes = 1'000, .bodyBytes = 100 });
  CHECK(fixture.Exchange("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2'000, 'x') + "\r\n\r\n")
          .starts_with("HTTP/1.1 431"));
  CHECK(fixture.Exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n")
          .starts_with("HTTP/1.1 413"));
  CHECK(fixture.requests.empty());
}

TEST_CASE("the server reports that a client has closed its connection during a request")
{
  ServerFixture fixture;
  auto socket = fixture.Connect();
  asio::write(*socket, asio::buffer(std::string{ "GET / HTTP/1.1\r\nHost: h\r\n\r\n" }));
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.requests.size() == 1; }));
  socket->close();
  CHECK(RunUntil(fixture.loop, [&] { return fixture.disconnectCount == 1; }));
}

/* The server must keep the second request, which arrives in the same bytes as the first, until the
 * first is answered. Otherwise it is lost, or its answer can overtake the first answer. */
TEST_CASE("pipelined requests are handled one after the other")
{
  ServerFixture fixture;
  auto socket = fixture.Connect();
  const std::string firstRequest = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  asio::write(*socket, asio::buffer(firstRequest + "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.requests.size() == 1; }));
  fixture.responders[0]->Send({ .status = 200, .reason = "OK" }, "first");
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.requests.size() == 2; }));
  CHECK(fixture.requests[1].target == "/2");
}

/* Guards against a body in the answer to HEAD, which the client takes for the next answer on its
 * connection. */
TEST_CASE("the answer to a HEAD request ends with its head")
{
  ServerFixture fixture;
  auto socket = fixture.Connect();
  const std::string request = " /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  asio::write(*socket, asio::buffer("HEAD" + request + "HEAD" + request + "GET" + request));
  const auto waitFor = [&](std::size_t aRequests) {
    REQUIRE(RunUntil(fixture.loop, [&] { return fixture.requests.size() == aRequests; }));
  };
  waitFor(1);
  fixture.responders[0]->Send({ .status = 404, .reason = "No" }, "refused");
  waitFor(2);
  fixture.responders[1]->SendHead({ .status = 200, .reason = "OK", .framing = Framing::kChunked });
  fixture.responders[1]->SendBody("text");
  fixture.responders[1]->Finish();
  waitFor(3);
  fixture.responders[2]->Send({ .status = 200, .reason = "OK" }, "third");
  const std::string expected = "HTTP/1.1 404 No\r\nContent-Length: 7\r\n\r\n"
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nthird";
  std::string received(expected.size(), '\0');
  bool isRead = false;
  asio::async_read(*socket,
                   asio::buffer(received),
                   [&](boost::system::error_code aError, std::size_t) { isRead = !aError; });
  CHECK(RunUntil(fixture.loop, [&] { return isRead; }));
  CHECK(received == expected);
}

/* Guards against losing an answer in progress because its client has sent the next request, with a
 * large body, in advance. */
TEST_CASE("a large pipelined request does not end the answer before it")
{
  ServerFixture fixture;
  auto socket = fixture.Connect();
  const std::string body(500'000, 'x');
  std::string requests = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const char* target : { "/2", "/3" }) {
    requests += std::string{ "POST " } + target +
                " HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n" + body;
  }
  bool isSent = false;
  asio::async_write(*socket,
                    asio::buffer(requests),
                    [&](boost::system::error_code aError, std::size_t) { isSent = !aError; });
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.requests.size() == 1; }));
  fixture.loop.run_for(std::chrono::milliseconds{ 100 }); // More arrives than the server takes.
  CHECK(fixture.disconnectCount == 0);
  for (std::size_t number = 0; number < 3; ++number) {
    REQUIRE(RunUntil(fixture.loop, [&] { return fixture.requests.size() == number + 1; }));
    fixture.responders[number]->Send({ .status = 200, .reason = "OK" }, "answer");
  }
  CHECK(isSent);
  CHECK(fixture.requests[2].target == "/3");
  CHECK(fixture.requests[2].body == body);
}

/* Guards against losing a request that has arrived before its connection is told to close. */
TEST_CASE("a draining server answers a request that it has already received")
{
  ServerFixture fixture;
  auto socket = fixture.Connect();
  const std::string firstRequest = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  asio::write(*socket, asio::buffer(firstRequest + "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.requests.size() == 1; }));
  fixture.server.Drain();
  fixture.responders[0]->Send({ .status = 200, .reason = "OK" }, "first");
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.requests.size() == 2; }));
  fixture.responders[1]->Send({ .status = 200, .reason = "OK" }, "second");
  std::string answers;
  bool isClosed = false;
  asio::async_read(*socket,
                   asio::dynamic_buffer(answers),
                   [&](boost::system::error_code, std::size_t) { isClosed = true; });
  REQUIRE(RunUntil(fixture.loop, [&] { return isClosed; }));
  const auto second = answers.rfind("HTTP/1.1");
  CHECK(answers.substr(0, second).find("Connection: close") == std::string::npos);
  CHECK(answers.find("Connection: close", second) != std::string::npos);
  CHECK(answers.ends_with("second"));
}

/* Guards against closing a connection by a limit that no longer holds, while a client that knows
 * the new one sends its next request. */
TEST_CASE("a longer idle limit holds for connections that are idle already")
{
  ServerFixture fixture;
  fixture.server.SetLimits({ .idleTimeout = 200ms });
  auto socket = fixture.Connect();
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.server.counts().connections == 1; }));
  fixture.server.SetLimits({ .idleTimeout = 1'000ms });
  fixture.loop.run_for(std::chrono::milliseconds{ 600 });
  CHECK(fixture.server.counts().connections == 1);
  CHECK(RunUntil(fixture.loop, [&] { return fixture.server.counts().connections == 0; }));
}

/* Guards against a server in which each idle connection occupies a thread or another resource that
 * a new connection needs. */
TEST_CASE("a new connection is served while many connections are idle")
{
  ServerFixture fixture;
  std::vector<std::unique_ptr<tcp::socket>> open;
  // The 800 descriptors of both ends stay below the usual limit of 1024.
  for (int number = 0; number < 400; ++number) {
    open.push_back(fixture.Connect());
  }
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.server.counts().connections == 400; }));
  auto socket = fixture.Connect();
  asio::write(*socket, asio::buffer(std::string{ "GET / HTTP/1.1\r\nHost: h\r\n\r\n" }));
  CHECK(RunUntil(fixture.loop, [&] { return fixture.requests.size() == 1; }));
}

/* A connection is not idle when the bytes of a request have reached its socket but have not been
 * read yet. Closing it would lose the request. */
TEST_CASE("closing idle connections keeps a connection on which a request has arrived")
{
  ServerFixture fixture;
  auto idle = fixture.Connect();
  auto busy = fixture.Connect();
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.server.counts().connections == 2; }));
  asio::write(*busy, asio::buffer(std::string{ "GET / HTTP/1.1\r\nHost: h\r\n\r\n" }));
  // The request arrives over loopback, but the loop does not run and reads nothing.
  std::this_thread::sleep_for(std::chrono::milliseconds{ 50 });
  fixture.server.CloseIdle();
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.requests.size() == 1; }));
  CHECK(fixture.server.counts().connections == 1);
  CHECK_FALSE(fixture.server.IsDrained());
}

/* With a final chunk, the client would take the part of the answer that it got for the whole. */
TEST_CASE("an aborted chunked answer has no final chunk")
{
  ServerFixture fixture;
  auto socket = fixture.Connect();
  asio::write(*socket, asio::buffer(std::string{ "GET / HTTP/1.1\r\nHost: h\r\n\r\n" }));
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.requests.size() == 1; }));
  fixture.responders[0]->SendHead({ .status = 200, .reason = "OK", .framing = Framing::kChunked });
  fixture.responders[0]->SendBody("part");
  fixture.responders[0]->Abort();
  std::string answer;
  bool isClosed = false;
  asio::async_read(*socket,
                   asio::dynamic_buffer(answer),
                   [&](boost::system::error_code, std::size_t) { isClosed = true; });
  REQUIRE(RunUntil(fixture.loop, [&] { return isClosed; }));
  CHECK(answer.ends_with("4\r\npart\r\n"));
}

/* An endpoint may send a second answer after the expected one. If the connection were reused, the
 * surplus bytes would be read as the answer to the next request. */
TEST_CASE("a connection is reused after a complete answer, but not after surplus bytes")
{
  ScriptedEndpoint clean({ Answer("a"), Answer("b") });
  CHECK(clean.Call() == CallResult::kComplete);
  CHECK(clean.Call() == CallResult::kComplete);
  CHECK(clean.body == "b");
  CHECK(clean.connectionCount == 1);

  ScriptedEndpoint extra({ Answer("a") + Answer("extra"), Answer("b") });
  CHECK(extra.Call() == CallResult::kComplete);
  CHECK(extra.body == "a");
  CHECK(extra.Call() == CallResult::kComplete);
  CHECK(extra.body == "b");
  CHECK(extra.connectionCount == 2);
}

TEST_CASE("a call with Reuse::kFresh opens a new connection")
{
  ScriptedEndpoint endpoint({ Answer("a"), Answer("b") });
  CHECK(endpoint.Call() == CallResult::kComplete);
  CHECK(endpoint.Call(Reuse::kFresh) == CallResult::kComplete);
  CHECK(endpoint.connectionCount == 2);
}

/* Guards against an order that a suspended host sends seconds after its lease has ended: the call
 * was started before, and the request is written after the host goes on. */
TEST_CASE("a request that may not be sent any more when its connection is ready is not sent")
{
  for (const bool isReused : { false, true }) {
    ScriptedEndpoint endpoint({ Answer("a"), Answer("b") });
    CHECK((!isReused || endpoint.Call() == CallResult::kComplete));
    bool isAllowed = true;
    endpoint.mayBeSent = [&] { return isAllowed; };
    asio::post(endpoint.loop, [&] { isAllowed = false; }); // Runs before any handler of the call.
    CHECK(endpoint.Call() == CallResult::kNotConnected);
    endpoint.mayBeSent = nullptr;
    CHECK(endpoint.Call() == CallResult::kComplete);
    CHECK(endpoint.body == (isReused ? "b" : "a"));
  }
}

/* The caller of the client recognizes an answer to another request by a header field, here X-Id.
 * The client then discards this answer and reads the next one from the same connection. */
TEST_CASE("an answer to another request is skipped")
{
  ScriptedEndpoint endpoint({ Answer("other", "X-Id: 1\r\n") + Answer("mine", "X-Id: 2\r\n") });
  CHECK(endpoint.Call(Reuse::kAllowed, "2") == CallResult::kComplete);
  CHECK(endpoint.body == "mine");
}

/* The end of the connection ends an answer correctly only if the answer states no length and is not
 * chunked. */
TEST_CASE("a truncated answer is broken, and an answer without a length ends with its connection")
{
  ScriptedEndpoint cut({ "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf" });
  cut.closesAfterAnswer = true;
  CHECK(cut.Call() == CallResult::kBroken);

  ScriptedEndpoint chunked(
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n" });
  chunked.closesAfterAnswer = true;
  CHECK(chunked.Call() == CallResult::kBroken);

  ScriptedEndpoint open({ "HTTP/1.1 200 OK\r\n\r\nwhole" });
  open.closesAfterAnswer = true;
  CHECK(open.Call() == CallResult::kComplete);
  CHECK(open.body == "whole");
}

/* The kernel reports a reset once. When the write of the request gets it, the read sees an orderly
 * end, and a part of a body without a length was taken for the whole. */
TEST_CASE("an answer without a length is whole after a close during the upload, not after a reset")
{
  for (const bool isReset : { true, false }) {
    ScriptedEndpoint endpoint({ "HTTP/1.1 200 OK\r\n\r\npart" });
    std::string body;
    std::optional<CallResult> result;
    const auto call = endpoint.client.Start(
      { .address = "127.0.0.1:" + std::to_string(endpoint.acceptor.local_endpoint().port()),
        .request = { .method = "POST", .target = "/", .body = std::string(16U << 20U, 'x') },
        .answerTimeout = 3s },
      { .onHead = [](const AnswerHead&) { return true; },
        .onBody = [&](std::string_view aBytes) { body += aBytes; },
        .onEnd = [&](CallResult aResult) { result = aResult; } });
    REQUIRE(RunUntil(endpoint.loop, [&] { return body == "part"; }));
    CHECK(call->unsentBytes() > 0);
    tcp::socket& socket = *endpoint.sockets.front();
    if (isReset) {
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
    } else {
      socket.shutdown(tcp::socket::shutdown_send);
    }
    REQUIRE(RunUntil(endpoint.loop, [&] { return result.has_value(); }));
    CHECK(*result == (isReset ? CallResult::kBroken : CallResult::kComplete));
  }
}

/* Guards against losing a call without a word: a connection that is not read has no pending read
 * that keeps it alive. */
TEST_CASE("a call that was paused goes on when it is resumed")
{
  const std::string large(1U << 20U, 'x');
  ScriptedEndpoint endpoint({ Answer(large) });
  std::optional<CallResult> result;
  std::size_t received = 0;
  std::unique_ptr<rhubarbtrail::http::Call> call;
  call = endpoint.client.Start(
    { .address = "127.0.0.1:" + std::to_string(endpoint.acceptor.local_endpoint().port()),
      .request = { .method = "GET", .target = "/" },
      .answerTimeout = 3s },
    { .onHead = [](const AnswerHead&) { return true; },
      .onBody =
        [&](std::string_view aBytes) {
          received += aBytes.size();
          call->Pause();
        },
      .onEnd = [&](CallResult aResult) { result = aResult; } });
  while (!result) {
    const std::size_t before = received;
    REQUIRE(RunUntil(endpoint.loop, [&] { return result || received > before; }));
    endpoint.loop.restart();
    endpoint.loop.run_for(std::chrono::milliseconds{ 2 });
    call->Resume();
  }
  CHECK(*result == CallResult::kComplete);
  CHECK(received == large.size());
}

/* Guards against reusing a connection that the endpoint has closed, unnoticed, since the last bytes
 * of a call came while its reading was paused. */
TEST_CASE("a connection whose last call was paused at its end is watched while it is idle")
{
  ScriptedEndpoint endpoint({ Answer("a"), Answer("b") });
  std::optional<CallResult> result;
  std::unique_ptr<rhubarbtrail::http::Call> call;
  call = endpoint.client.Start(
    { .address = "127.0.0.1:" + std::to_string(endpoint.acceptor.local_endpoint().port()),
      .request = { .method = "GET", .target = "/" } },
    { .onHead = [](const AnswerHead&) { return true; },
      .onBody = [&](std::string_view) { call->Pause(); },
      .onEnd = [&](CallResult aResult) { result = aResult; } });
  REQUIRE(RunUntil(endpoint.loop, [&] { return result.has_value(); }));
  CHECK(*result == CallResult::kComplete);
  boost::system::error_code ignored;
  endpoint.sockets.front()->close(ignored);
  endpoint.loop.restart();
  endpoint.loop.run_for(std::chrono::milliseconds{ 50 });
  CHECK(endpoint.Call() == CallResult::kComplete);
  CHECK(endpoint.body == "b");
}

/* Guards against discarding the answer of an endpoint that pauses between the head and the body. */
TEST_CASE("an answer whose body follows its head later is complete")
{
  for (const char* framing : { "Content-Length: 4\r\n\r\nbody",
                               "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" }) {
    ScriptedEndpoint endpoint({ std::string{ "HTTP/1.1 200 OK\r\n" } + framing });
    endpoint.sendsHeadAlone = true;
    CHECK(endpoint.Call() == CallResult::kComplete);
    CHECK(endpoint.body == "body");
  }
}

TEST_CASE("a malformed answer ends a call, and an interim answer does not")
{
  ScriptedEndpoint nonsense({ "nonsense\r\n\r\n" });
  CHECK(nonsense.Call() == CallResult::kMalformed);

  for (const std::string status : { "000", "099", "101", "600", "700", "999" }) {
    INFO(status);
    ScriptedEndpoint undefined({ "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nbody" });
    CHECK(undefined.Call() == CallResult::kMalformed);
    CHECK(undefined.body.empty());
  }

  for (const std::string field : { "X Y: 1",
                                   "X-Y : 1",
                                   "X\x01: 1",
                                   "X\x7f: 1",
                                   ": 1",
                                   "X-Y",
                                   "X-Y: a\x01z",
                                   "Content-Length : 2" }) {
    INFO(field);
    ScriptedEndpoint invalid({ Answer("body", field + "\r\n") });
    CHECK(invalid.Call() == CallResult::kMalformed);
    CHECK(invalid.body.empty());
  }

  ScriptedEndpoint interim({ "HTTP/1.1 103 Early Hints\r\n\r\n" + Answer("final") });
  CHECK(interim.Call() == CallResult::kComplete);
  CHECK(interim.status == 200);
  CHECK(interim.body == "final");
}

TEST_CASE("a call to an address at which nothing listens ends as not connected")
{
  ScriptedEndpoint endpoint({});
  endpoint.acceptor.close();
  asio::io_context loop{ 1 };
  Client client(loop, {});
  std::optional<CallResult> result;
  const auto call =
    client.Start({ .address = "127.0.0.1:1", .request = { .method = "GET", .target = "/" } },
                 { .onHead = [](const AnswerHead&) { return true; },
                   .onBody = [](std::string_view) {},
                   .onEnd = [&](CallResult aResult) { result = aResult; } });
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  CHECK(*result == CallResult::kNotConnected);
}

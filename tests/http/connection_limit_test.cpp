/* Which connection of the HTTP server gives way to a new one, tested over loopback connections.
 *
 * Guards against clients that begin requests, send nothing more and keep all descriptors. */
#include "http/http_server.h"
#include "tests/http/run_until.h"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::http;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr const char* kWholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* kHeadOfUpload = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n";

/* A connection and what the server has sent on it. */
struct TestClient
{
  TestClient(asio::io_context& aLoop, std::uint16_t aPort, const std::string& aBytes)
    : socket(aLoop)
  {
    socket.connect({ asio::ip::make_address("127.0.0.1"), aPort });
    asio::write(socket, asio::buffer(aBytes));
    asio::async_read(socket,
                     asio::dynamic_buffer(answer),
                     [this](boost::system::error_code, std::size_t) { isClosed = true; });
  }

  tcp::socket socket;
  std::string answer;
  bool isClosed = false;
};

/* A server with room for some connections, which answers no request by itself. */
struct LimitedServer
{
  explicit LimitedServer(std::size_t aLimit)
    : server(loop,
             { .address = "127.0.0.1:0",
               .connectionLimit = aLimit,
               .hasRoom = [this] { return hasRoom; },
               .hasRoomForRefusal = [this] { return hasRoomForRefusal; } },
             [this](const Request& /*aRequest*/, std::shared_ptr<Responder> aResponder) {
               responders.push_back(std::move(aResponder));
             })
  {
    REQUIRE(server.Listen().empty());
  }

  ~LimitedServer()
  {
    server.Close();
    for (const auto& client : clients) {
      client->socket.close();
    }
    RunFor(20ms); // The handlers refer to the clients.
  }

  /* Connects, sends the bytes and waits until the server has accepted the connection. */
  TestClient& Connect(const std::string& aBytes)
  {
    const auto accepted = server.counts().accepted;
    clients.push_back(std::make_unique<TestClient>(loop, server.port(), aBytes));
    RunUntil(loop, [&] { return server.counts().accepted > accepted; });
    return *clients.back();
  }

  void RunFor(Duration aTime)
  {
    loop.run_for(aTime);
    loop.restart();
  }

  asio::io_context loop{ 1 };
  std::vector<std::shared_ptr<Responder>> responders;
  std::vector<std::unique_ptr<TestClient>> clients;
  bool hasRoom = true;
  bool hasRoomForRefusal = true;
  Server server;
};

} // namespace

TEST_CASE("the request that has not progressed for longest gives way, and none that is answered")
{
  LimitedServer fixture(3);
  TestClient& answered = fixture.Connect(kWholeRequest);
  RunUntil(fixture.loop, [&] { return fixture.responders.size() == 1; });
  TestClient& upload = fixture.Connect(kHeadOfUpload);
  TestClient& stopped = fixture.Connect(kHeadOfUpload);
  for (int part = 0; part < 3; ++part) {
    asio::write(upload.socket, asio::buffer(std::string(2 * fleet::kProgressBytes, 'x')));
    fixture.RunFor(20ms);
  }
  fixture.Connect(kHeadOfUpload);
  RunUntil(fixture.loop, [&] { return stopped.isClosed; });
  CHECK(stopped.answer.starts_with("HTTP/1.1 503"));
  CHECK_FALSE(upload.isClosed);
  CHECK_FALSE(answered.isClosed);
  CHECK(fixture.server.counts().connections == 3);
}

TEST_CASE("an idle connection gives way before a request that arrives")
{
  LimitedServer fixture(2);
  TestClient& upload = fixture.Connect(kHeadOfUpload);
  TestClient& idle = fixture.Connect(kWholeRequest);
  RunUntil(fixture.loop, [&] { return fixture.responders.size() == 1; });
  fixture.responders.front()->Send({ .status = 200, .reason = "OK" }, "");
  fixture.RunFor(20ms);
  fixture.Connect(kHeadOfUpload);
  RunUntil(fixture.loop, [&] { return idle.isClosed; });
  CHECK(idle.answer.starts_with("HTTP/1.1 200"));
  CHECK_FALSE(upload.isClosed);
}

TEST_CASE("a new connection does not give way before a request that has stopped")
{
  LimitedServer fixture(2);
  TestClient& stopped = fixture.Connect(kHeadOfUpload);
  fixture.RunFor(20ms);
  TestClient& fresh = fixture.Connect("");
  fixture.RunFor(20ms);
  fixture.Connect(kHeadOfUpload);
  RunUntil(fixture.loop, [&] { return stopped.isClosed; });
  CHECK_FALSE(fresh.isClosed);
}

TEST_CASE("a connection without room is refused while that can be answered, and closed otherwise")
{
  LimitedServer fixture(100);
  TestClient& answered = fixture.Connect(kWholeRequest);
  RunUntil(fixture.loop, [&] { return fixture.responders.size() == 1; });
  fixture.hasRoom = false;
  TestClient& refused = fixture.Connect("");
  RunUntil(fixture.loop, [&] { return refused.isClosed; });
  CHECK(refused.answer.starts_with("HTTP/1.1 503"));
  fixture.hasRoomForRefusal = false;
  TestClient& closed = fixture.Connect("");
  RunUntil(fixture.loop, [&] { return closed.isClosed; });
  CHECK(closed.answer.empty());
  CHECK_FALSE(answered.isClosed);
  CHECK(fixture.server.counts().refusedConnections == 2);
}

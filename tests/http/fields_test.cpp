/* What header fields cost a daemon, by the bytes that a client sends for them. */
#include "http/http_type.h"
#include "platform/request_headers.h"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <string>

using namespace rhubarbtrail;

TEST_CASE("fields are returned in their order with their names and values")
{
  http::Fields fields{ { "A", "1" }, { "B", "" } };
  fields.push_back({ "a", std::string(40, 'x') });
  REQUIRE(fields.size() == 3);
  CHECK(fields[1].name == "B");
  CHECK(fields[1].value.empty());
  CHECK(fields[2].value == std::string(40, 'x'));
  CHECK(http::Find(fields, "a") == "1");
  CHECK_FALSE(http::Find(fields, "C").has_value());
  const http::Fields copy = fields;
  CHECK(std::distance(copy.begin(), copy.end()) == 3);
}

/* Guards against daemons that end for lack of memory: "a:1" took 5 bytes on the wire and 64 in each
 * open request. With four times the bytes, 1,900 requests with the longest heads take 125 MB of the
 * 260 MB of a host. */
TEST_CASE("short fields take at most four times the bytes of their lines")
{
  constexpr std::size_t kFields = 3'200;
  const std::string_view line = "a:1\r\n";
  http::Fields fields;
  for (std::size_t number = 0; number < kFields; ++number) {
    fields.push_back({ "a", "1" });
  }
  CHECK(fields.heapBytes() <= 4 * kFields * line.size());
}

TEST_CASE("fields that a Connection field lists are hop-by-hop")
{
  const http::Fields fields{ { "Connection", "close, X-One ,,x-two" },
                             { "connection", "\tX-Three" },
                             { "X-Four", "X-Four" } };
  const http::HopByHopFields hopByHop{ fields };
  for (const char* name : { "x-one", "X-TWO", "X-Three", "close", "Keep-Alive", "TE", "upgrade" }) {
    CHECK_MESSAGE(hopByHop.Has(name), name);
  }
  for (const char* name : { "X-Four", "X-On", "X-One1", "Host", "X-Request-Id" }) {
    CHECK_MESSAGE(!hopByHop.Has(name), name);
  }
}

/* Guards against a daemon that answers nobody: with thousands of names in Connection, each head
 * took 50 ms of a core. 100 clients with a request each, at a quarter of a core, may hold an
 * ordinary request up for half a second, which leaves 1.25 ms for each; the shortest of some runs
 * counts. */
TEST_CASE("a head with long lists in Connection is encoded in little time")
{
  http::Request request{
    .method = "POST", .target = "/", .fields = { { "Host", "h" } }, .body = {}
  };
  std::string list;
  for (int number = 0; number < 3'900; ++number) {
    list += "a,";
  }
  request.fields.push_back({ "Connection", list });
  for (int number = 0; number < 1'600; ++number) {
    request.fields.push_back({ "b", "1" });
  }
  std::chrono::nanoseconds shortest = std::chrono::hours{ 1 };
  for (int run = 0; run < 20; ++run) {
    const auto start = std::chrono::steady_clock::now();
    const http::Request forwarded = platform::EncodeForwardedRequest(request, {});
    shortest =
      std::min<std::chrono::nanoseconds>(shortest, std::chrono::steady_clock::now() - start);
    REQUIRE(forwarded.fields.size() > 1'600);
    REQUIRE_FALSE(http::Find(forwarded.fields, "Connection").has_value());
  }
  CHECK(shortest < std::chrono::microseconds{ 1'250 });
}

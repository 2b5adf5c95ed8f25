/* What header fields cost a daemon, by the bytes that a client sends for them. */
#include "http/http_type.h"

#include <algorithm>
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

/* Decoding the list of prompt parts. A part that is overlooked in a malformed list can crash one
 * runner after another, and the last part, which is the request's own, must not be suspected. */
#include "platform/request_headers.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace rhubarbtrail;

namespace {

std::vector<std::uint64_t> LeadingParts(std::string aList)
{
  const auto decoded = platform::DecodeClientRequest(
    { .method = "POST",
      .target = "/",
      .fields = { { "X-Model", "m0" }, { "X-Prompt-Prefix", std::move(aList) } },
      .body = {} });
  std::vector<std::uint64_t> ids;
  for (const fleet::PromptPartId part : decoded.leadingParts) {
    ids.push_back(part.value);
  }
  return ids;
}

} // namespace

TEST_CASE("the leading parts are all parts but the last, also of malformed lists")
{
  using Ids = std::vector<std::uint64_t>;
  CHECK(LeadingParts("") == Ids{});
  CHECK(LeadingParts(",:,") == Ids{});
  CHECK(LeadingParts("5c:60") == Ids{});
  CHECK(LeadingParts("5c:60,9:40") == Ids{ 0x5c });
  CHECK(LeadingParts("5c:60,9:40,a:1,") == Ids{ 0x5c, 9 });
  CHECK(LeadingParts("5c,9,a") == Ids{ 0x5c, 9 });
  CHECK(LeadingParts("5c:x,9:-1,a:1") == Ids{ 0x5c, 9 });
  CHECK(LeadingParts("5c:1,5c:1,9:1,5c:1,a:1") == Ids{ 0x5c, 9 });
  // An id that is not a number still stands for the same part in each request.
  CHECK(LeadingParts("zz:1,a:1").size() == 1);
  CHECK(LeadingParts("zz:1,a:1") == LeadingParts("zz,b"));
  CHECK(LeadingParts("zz:1,a:1") != LeadingParts("zy:1,a:1"));
  std::string list;
  for (int number = 0; number < 5'000; ++number) {
    list += std::to_string(number) + ":1,";
  }
  CHECK(LeadingParts(list).size() == 4'999);
}

/* Guards against lists that are kept at each daemon and at the dispatcher while a request waits: a
 * part of 4 bytes takes 16 in each of them. */
TEST_CASE("a request is placed by a limited number of the parts of its prompt")
{
  std::string list;
  for (int number = 0; number < 3'900; ++number) {
    list += "a:1,";
  }
  const auto decoded =
    platform::DecodeClientRequest({ .method = "POST",
                                    .target = "/",
                                    .fields = { { "X-Model", "m0" }, { "X-Prompt-Prefix", list } },
                                    .body = {} });
  REQUIRE(decoded.work.has_value());
  CHECK(decoded.work->parts.capacity() == fleet::kMaxPlacementParts);
}

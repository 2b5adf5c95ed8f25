/* Text from outside the process: a string that is not UTF-8 must not end the process. */
#include "codec/json_codec.h"
#include "core/guarded_loop.h"
#include "core/json_text.h"
#include "core/text_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <stdexcept>
#include <string>

using namespace rhubarbtrail;

TEST_CASE("a name is valid UTF-8 without control characters, and not too long")
{
  for (const char* valid : { "", "m0", "a b", "a\xc3\xb1o", "\xe6\xa8\xa1", "\xf0\x9f\x99\x82" }) {
    CAPTURE(valid);
    CHECK(IsName(valid));
  }
  for (const char* invalid : { "a\xf1o",
                               "\x80",
                               "\xc0\xaf",
                               "\xed\xa0\x80",
                               "a\xe2\x82",
                               "\xff",
                               "\xf4\x90\x80\x80",
                               "a\x01",
                               "a\x7f",
                               "a\xc2\x85" }) {
    CAPTURE(invalid);
    CHECK_FALSE(IsName(invalid));
  }
  CHECK(IsName(std::string(256, 'a')));
  CHECK_FALSE(IsName(std::string(257, 'a')));
  CHECK(IsUtf8("a\x01"));
  CHECK_FALSE(IsUtf8("a\xf1o"));
}

TEST_CASE("neither a value nor a row with invalid UTF-8 is encoded, and neither throws")
{
  CHECK(EncodeJson({ { "a", "\xc3\xb1" } }).has_value());
  CHECK_FALSE(EncodeJson({ { "a", "\xf1" } }).has_value());
  CHECK_FALSE(EncodeJson({ { "\xf1", "a" } }).has_value());
  CHECK_FALSE(DescribeJson({ { "a", "\xf1" } }).empty());
  ClaimRow claim;
  CHECK(EncodeRow(claim).has_value());
  claim.answer = "\xff\xd8";
  CHECK_FALSE(EncodeRow(claim).has_value());
}

TEST_CASE("an exception ends its handler, and the loop goes on with the others")
{
  boost::asio::io_context loop;
  std::string reason;
  bool hasRun = false;
  boost::asio::post(loop, [] { throw std::runtime_error("unforeseen"); });
  boost::asio::post(loop, [&] { hasRun = true; });
  RunGuarded(loop, [&](const char* aReason) { reason = aReason; });
  CHECK(reason == "unforeseen");
  CHECK(hasRun);
}

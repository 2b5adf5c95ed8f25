/* Splitting of server-sent event streams, for each line end and each way the bytes can arrive. */
#include "gateway/event_splitter.h"
#include "platform/request_headers.h"

#include <doctest/doctest.h>

#include <chrono>
#include <vector>

using namespace rhubarbtrail;

namespace {

struct SplitStream
{
  std::vector<std::string> events;
  std::string rest;
  bool isInsideEvent = false;
};

/* Splits a stream that arrives in two parts. */
SplitStream Split(const std::string& aStream, std::size_t aFirstSize)
{
  EventSplitter splitter;
  SplitStream result;
  for (const std::string& part : { aStream.substr(0, aFirstSize), aStream.substr(aFirstSize) }) {
    splitter.Feed(part);
    while (auto event = splitter.Next()) {
      result.events.push_back(*event);
    }
  }
  result.rest = splitter.rest();
  result.isInsideEvent = splitter.IsInsideEvent();
  return result;
}

} // namespace

/* A line end that is not recognised joins events, so that a stream is resumed after the wrong one.
 */
TEST_CASE("events are split at blank lines whatever the line end")
{
  for (const std::string end : { "\n", "\r\n", "\r" }) {
    const std::string stream =
      "id: 1" + end + "data: a" + end + end + "id: 2" + end + "data: b" + end + end;
    for (std::size_t size = 0; size <= stream.size(); ++size) {
      CAPTURE(size);
      const SplitStream split = Split(stream, size);
      REQUIRE(split.events.size() == 2);
      CHECK(platform::DecodeEventId(split.events[0]) == "1");
      CHECK(platform::DecodeEventId(split.events[1]) == "2");
      CHECK(split.events[0] + split.events[1] + split.rest == stream);
      CHECK_FALSE(split.isInsideEvent);
    }
  }
}

/* Guards against answering a stream that broke off as complete (incident inc1), and against
 * breaking off a whole one. */
TEST_CASE("a stream ends inside an event unless only comments and blank lines follow the last one")
{
  const std::vector<std::pair<std::string, bool>> cases{
    { "", false },           { "\n", false },           { "\r\n\r\n", false },
    { ": end\n", false },    { ": a\n\n: b\n", false }, { ": end", true },
    { "id: 2\ndata", true }, { "data: x\n", true },     { "data: x\r\n", true },
    { "retry: 1", true },    { "\ndata: x", true },     { "d", true },
  };
  for (const auto& [rest, isInsideEvent] : cases) {
    CAPTURE(rest);
    const std::string stream = "id: 1\ndata: a\n\n" + rest;
    for (std::size_t size = 0; size <= stream.size(); ++size) {
      CHECK(Split(stream, size).isInsideEvent == isInsideEvent);
    }
  }
}

/* Guards against a search that starts again at the front of an event with each part that arrives.
 * An event of some megabytes then occupies the event loop for seconds. */
TEST_CASE("a large event is split in a time that grows with its size only")
{
  constexpr std::size_t kEventBytes = 8U << 20U;
  std::string lines;
  while (lines.size() < 4'096) {
    lines += "data: x\n";
  }
  for (const std::string& part : { std::string(4'096, 'x'), std::string(4'096, '\n'), lines }) {
    EventSplitter splitter;
    const auto started = std::chrono::steady_clock::now();
    std::size_t fed = 0;
    for (; fed < kEventBytes; fed += part.size()) {
      splitter.Feed(part);
      while (splitter.Next()) {
      }
    }
    CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds{ 3 });
  }
}

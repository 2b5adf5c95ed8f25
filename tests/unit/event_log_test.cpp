/* The event log writes complete JSON lines, limits their number, and never waits for its reader. */
#include "core/event_log.h"

#include <doctest/doctest.h>

#include <array>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

using namespace rhubarbtrail;

namespace {

/* A pipe that is read only when the test calls ReadLines(). */
struct Pipe
{
  Pipe()
  {
    REQUIRE(pipe(descriptors.data()) == 0);
    fcntl(descriptors[0], F_SETFL, O_NONBLOCK);
  }

  ~Pipe()
  {
    close(descriptors[0]);
    close(descriptors[1]);
  }

  std::vector<nlohmann::json> ReadLines()
  {
    std::string text;
    std::array<char, 4'096> buffer{};
    for (ssize_t size = 0; (size = read(descriptors[0], buffer.data(), buffer.size())) > 0;) {
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    std::vector<nlohmann::json> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(nlohmann::json::parse(line));
    }
    return lines;
  }

  std::array<int, 2> descriptors{};
};

} // namespace

TEST_CASE(
  "a line is one JSON object, also with quotes, line breaks and invalid UTF-8 in its values")
{
  Pipe pipe;
  EventLog log({ .daemon = "d0", .descriptor = pipe.descriptors[1] });
  log.Write("event",
            { { "text", "a \"quoted\" \\ line\nwith \xff bytes" },
              { "number", -3 },
              { "share", 0.5 },
              { "flag", true },
              { "id", EndpointId{ "e0" } } });
  log.Flush();
  const auto lines = pipe.ReadLines();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["event"] == "event");
  CHECK(lines[0]["daemon"] == "d0");
  CHECK(lines[0]["number"] == -3);
  CHECK(lines[0]["flag"] == true);
  CHECK(lines[0]["id"] == "e0");
}

TEST_CASE("the number of lines is limited for each event, and lines that are left out are counted")
{
  Pipe pipe;
  EventLog log(
    { .daemon = "d0", .descriptor = pipe.descriptors[1], .linesPerSecond = 1e-6, .burst = 10.0 });
  for (int number = 0; number < 100; ++number) {
    log.Write("frequent", { { "number", number } });
  }
  log.Write("rare", {});
  log.Flush();
  CHECK(pipe.ReadLines().size() == 11);
  CHECK(log.leftOut() == 90);
}

// The log may be a pipe to another process. The daemon must not stop while that process does not
// read.
TEST_CASE("lines are left out when the reader does not read, and writing does not block")
{
  Pipe pipe;
  EventLog log({ .daemon = "d0",
                 .descriptor = pipe.descriptors[1],
                 .linesPerSecond = 1e9,
                 .burst = 1e9,
                 .bufferBytes = 10'000 });
  const std::string text(100, 'x');
  for (int number = 0; number < 10'000; ++number) { // Far more than pipe and buffer hold.
    log.Write("event", { { "text", text } });
    log.Flush();
  }
  CHECK(log.leftOut() > 0);
  CHECK_FALSE(pipe.ReadLines().empty());
}

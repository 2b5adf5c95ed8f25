/* Splits a stream of server-sent events into single events. */
#ifndef RHUBARBTRAIL_ENDPOINT_SSE_SPLITTER_H
#define RHUBARBTRAIL_ENDPOINT_SSE_SPLITTER_H

#include <optional>
#include <string>
#include <string_view>

namespace rhubarbtrail {

/* The end mark of an OpenAI-style stream. */
constexpr std::string_view kStreamEndMark = "data: [DONE]\n\n";

/* Longest event that is taken; a longer one ends the stream. */
constexpr std::size_t kEventSizeLimit = 1U << 20U;

class SseSplitter
{
public:
  /* Takes the next bytes; returns false when an event is too long. */
  bool Feed(std::string_view aBytes)
  {
    mBuffer += aBytes;
    return mBuffer.size() <= kEventSizeLimit;
  }

  /* Returns the next whole event with its closing blank line, or nothing. */
  std::optional<std::string> Next()
  {
    const auto end = mBuffer.find("\n\n");
    if (end == std::string::npos) {
      return std::nullopt;
    }
    std::string event = mBuffer.substr(0, end + 2);
    mBuffer.erase(0, end + 2);
    return event;
  }

private:
  std::string mBuffer;
};

} // namespace rhubarbtrail

#endif

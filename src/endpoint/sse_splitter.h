/* Splits a byte stream into server-sent events. */
#ifndef RHUBARBTRAIL_ENDPOINT_SSE_SPLITTER_H
#define RHUBARBTRAIL_ENDPOINT_SSE_SPLITTER_H

#include <optional>
#include <string>
#include <string_view>

namespace rhubarbtrail {

/* The last event of a stream in the OpenAI format. */
constexpr std::string_view kStreamEndMark = "data: [DONE]\n\n";

/* Largest number of buffered bytes. A longer event makes Feed() fail, which ends the attempt. */
constexpr std::size_t kEventSizeLimit = 1U << 20U;

/* Recognises "\n\n" as the end of an event, but not "\r\n\r\n". */
class SseSplitter
{
public:
  /* Appends bytes to the buffer. Returns false when it exceeds kEventSizeLimit. */
  bool Feed(std::string_view aBytes)
  {
    mBuffer += aBytes;
    return mBuffer.size() <= kEventSizeLimit;
  }

  /* Removes and returns the next complete event, including the blank line that ends it. Returns
   * nothing when the buffer holds no complete event. */
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

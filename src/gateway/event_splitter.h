/* Splits a server-sent event stream into complete events. While the stream runs, only complete
 * events are forwarded, so that a stream that breaks off can be resumed at another runner after the
 * last of them. */
#ifndef RHUBARBTRAIL_GATEWAY_EVENT_SPLITTER_H
#define RHUBARBTRAIL_GATEWAY_EVENT_SPLITTER_H

#include <optional>
#include <string>
#include <string_view>

namespace rhubarbtrail {

class EventSplitter
{
public:
  void Feed(std::string_view aBytes) { mBuffer += aBytes; }

  /* Removes and returns the next complete event, its closing blank line included. Returns nothing
   * if there is none. */
  std::optional<std::string> Next()
  {
    const auto end = FindEnd();
    if (end == std::string::npos) {
      return std::nullopt;
    }
    std::string event = mBuffer.substr(0, end);
    mBuffer.erase(0, end);
    return event;
  }

  /* Returns the bytes after the events returned so far. */
  const std::string& rest() const { return mBuffer; }
  void Clear() { mBuffer.clear(); }

private:
  /* Returns the position after the first blank line, or npos. Lines end in LF or in CR LF. */
  std::size_t FindEnd() const
  {
    const auto plain = mBuffer.find("\n\n");
    const auto withReturn = mBuffer.find("\r\n\r\n");
    if (withReturn < plain) {
      return withReturn + 4;
    }
    return plain == std::string::npos ? plain : plain + 2;
  }

  std::string mBuffer;
};

} // namespace rhubarbtrail

#endif

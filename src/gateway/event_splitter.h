/* Splits a stream into whole events, so that a stream can go on at another runner. */
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

  /* Returns the next whole event with its closing blank line, or nothing. */
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

  /* Returns the bytes after the last whole event. */
  const std::string& rest() const { return mBuffer; }
  void Clear() { mBuffer.clear(); }

private:
  /* Returns the position after the first blank line, with either form of line end. */
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

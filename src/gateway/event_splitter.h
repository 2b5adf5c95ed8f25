/* Splits a server-sent event stream into complete events. While the stream runs, only complete
 * events are forwarded, so that a stream that breaks off can be resumed at another runner after the
 * last of them. */
#ifndef RHUBARBTRAIL_GATEWAY_EVENT_SPLITTER_H
#define RHUBARBTRAIL_GATEWAY_EVENT_SPLITTER_H

#include <optional>
#include <string>
#include <string_view>

namespace rhubarbtrail {

/* Lines may end in LF, CR LF or CR. An event ends with a blank line. */
class EventSplitter
{
public:
  void Feed(std::string_view aBytes) { mBuffer += aBytes; }

  /* Removes and returns the next complete event, its closing blank line included. Returns nothing
   * if there is none. */
  std::optional<std::string> Next()
  {
    const std::size_t end = FindEnd();
    if (end == std::string::npos) {
      return std::nullopt;
    }
    std::string event = mBuffer.substr(0, end);
    mBuffer.erase(0, end);
    return event;
  }

  /* Returns the bytes after the events returned so far. */
  const std::string& rest() const { return mBuffer; }

  /* Returns whether the rest is more than blank lines and comments: a stream that ends here ends
   * inside an event or in the middle of a line. */
  bool IsInsideEvent() const
  {
    std::size_t start = 0;
    while (start < mBuffer.size()) {
      const std::size_t end = FindLineEnd(start);
      const bool isPartialLine = end == std::string::npos;
      if (isPartialLine || (!IsBlank(start) && mBuffer[start] != ':')) {
        return true;
      }
      start = end;
    }
    return false;
  }

  void Clear() { mBuffer.clear(); }

private:
  static constexpr std::string_view kLineEnds = "\r\n";

  bool IsBlank(std::size_t aLineStart) const
  {
    return kLineEnds.find(mBuffer[aLineStart]) != std::string_view::npos;
  }

  /* Returns the position after the line that starts at aStart, or npos if its end is missing. */
  std::size_t FindLineEnd(std::size_t aStart) const
  {
    const std::size_t end = mBuffer.find_first_of(kLineEnds, aStart);
    if (end == std::string::npos) {
      return end;
    }
    return mBuffer.compare(end, 2, "\r\n") == 0 ? end + 2 : end + 1;
  }

  /* Returns the position after the first blank line that follows another line, or npos. */
  std::size_t FindEnd() const
  {
    std::size_t start = 0;
    bool hasLine = false;
    while (start < mBuffer.size()) {
      const std::size_t end = FindLineEnd(start);
      if (end == std::string::npos) {
        return end;
      }
      if (hasLine && IsBlank(start)) {
        return end;
      }
      hasLine = hasLine || !IsBlank(start);
      start = end;
    }
    return std::string::npos;
  }

  std::string mBuffer;
};

} // namespace rhubarbtrail

#endif

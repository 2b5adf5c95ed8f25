/* Splits a server-sent event stream into complete events. While the stream runs, only complete
 * events are forwarded, so that a stream that breaks off can be resumed at another runner after the
 * last of them. */
#ifndef RHUBARBTRAIL_GATEWAY_EVENT_SPLITTER_H
#define RHUBARBTRAIL_GATEWAY_EVENT_SPLITTER_H

#include <algorithm>
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
    ResetSearch();
    return event;
  }

  /* Returns the bytes after the events returned so far. */
  const std::string& rest() const { return mBuffer; }

  /* Returns the memory that the bytes take. */
  std::size_t heldBytes() const { return mBuffer.capacity(); }
  /* Releases the memory that the rest does not need. */
  void ReleaseUnused() { mBuffer.shrink_to_fit(); }

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

  void Clear()
  {
    mBuffer.clear();
    ResetSearch();
  }

private:
  static constexpr std::string_view kLineEnds = "\r\n";

  bool IsBlank(std::size_t aLineStart) const
  {
    return kLineEnds.find(mBuffer[aLineStart]) != std::string_view::npos;
  }

  void ResetSearch()
  {
    mLineStart = 0;
    mSearchStart = 0;
    mHasLine = false;
  }

  /* Returns the position after the line that includes aStart, or npos if its end is missing. */
  std::size_t FindLineEnd(std::size_t aStart) const
  {
    const std::size_t end = mBuffer.find_first_of(kLineEnds, aStart);
    if (end == std::string::npos) {
      return end;
    }
    return mBuffer.compare(end, 2, "\r\n") == 0 ? end + 2 : end + 1;
  }

  /* Returns the position after the first blank line that follows another line, or npos. Searches
   * only the bytes that it has not searched before, since an event can be large. */
  std::size_t FindEnd()
  {
    while (mLineStart < mBuffer.size()) {
      const std::size_t end = FindLineEnd(std::max(mLineStart, mSearchStart));
      if (end == std::string::npos) {
        mSearchStart = mBuffer.size();
        return end;
      }
      if (mHasLine && IsBlank(mLineStart)) {
        return end;
      }
      if (end == mBuffer.size() && mBuffer.back() == '\r') {
        return std::string::npos; // The next byte may be the LF of this line end.
      }
      mHasLine = mHasLine || !IsBlank(mLineStart);
      mLineStart = end;
    }
    return std::string::npos;
  }

  std::string mBuffer;
  std::size_t mLineStart = 0;   ///< Start of the first line that was not searched to its end.
  std::size_t mSearchStart = 0; ///< No line end of that line is before this position.
  bool mHasLine = false;        ///< A line that is not blank precedes mLineStart.
};

} // namespace rhubarbtrail

#endif

/* The structured event log: one JSON object per line, limited in rate, never blocking. The plain
 * log messages are in core/log_func.h. */
#ifndef RHUBARBTRAIL_CORE_EVENT_LOG_H
#define RHUBARBTRAIL_CORE_EVENT_LOG_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace rhubarbtrail {

/* A key and its value in a log line. */
struct LogField
{
  using Value = std::variant<std::string, std::int64_t, double, bool>;

  LogField(std::string_view aName, std::string_view aValue)
    : name(aName)
    , value(std::string{ aValue })
  {
  }
  LogField(std::string_view aName, const char* aValue)
    : name(aName)
    , value(std::string{ aValue })
  {
  }
  LogField(std::string_view aName, const std::string& aValue)
    : name(aName)
    , value(aValue)
  {
  }
  template<typename Tag>
  LogField(std::string_view aName, const Id<Tag>& aValue)
    : name(aName)
    , value(aValue.str())
  {
  }
  template<typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
  LogField(std::string_view aName, Number aValue)
    : name(aName)
  {
    if constexpr (std::is_same_v<Number, bool>) {
      value = aValue;
    } else if constexpr (std::is_floating_point_v<Number>) {
      value = static_cast<double>(aValue);
    } else {
      value = static_cast<std::int64_t>(aValue);
    }
  }

  std::string_view name;
  Value value;
};

struct EventLogOptions
{
  std::string daemon;                    ///< Written to each line.
  int descriptor = 1;                    ///< File descriptor of the output; 1 is standard output.
  double linesPerSecond = 40.0;          ///< Long-term rate limit of each event name.
  double burst = 200.0;                  ///< Largest burst of lines of one event name.
  std::size_t bufferBytes = 256U << 10U; ///< Lines are left out while this much waits for output.
};

/* Buffers lines and writes them when Flush() is called, as far as the output accepts them without
 * blocking. Not thread-safe. */
class EventLog
{
public:
  explicit EventLog(EventLogOptions aOptions);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /* Adds a line for the event with this name. The line is left out if the name exceeds its rate
   * limit, or if the buffer is full. The next line with the same name then has the number of lines
   * left out as "left_out". */
  void Write(std::string_view aEvent, std::initializer_list<LogField> aFields);

  /* Writes as many buffered bytes as the output accepts without blocking. */
  void Flush();

  /* Returns the total number of lines that were left out so far, for either reason. */
  std::uint64_t leftOut() const { return mLeftOut; }

private:
  /* Token bucket of one event name: each line takes a token. */
  struct TokenBucket
  {
    double tokens = 0.0;
    TimePoint refilledAt{};    ///< When the tokens were last refilled.
    std::uint64_t leftOut = 0; ///< Lines left out since the last line with the name.
  };

  EventLogOptions mOptions;
  std::map<std::string, TokenBucket, std::less<>> mTokenBuckets;
  std::string mBuffer;
  std::uint64_t mLeftOut = 0;
};

} // namespace rhubarbtrail

#endif

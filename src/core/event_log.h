/* Structured logs: one JSON object a line, bounded in volume, never blocking. */
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

/* A named value of a log line. */
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
  std::string daemon;                    ///< Named in each line.
  int descriptor = 1;                    ///< Where the lines go; standard output.
  double linesPerSecond = 40.0;          ///< Of one kind of event, in the long run.
  double burst = 200.0;                  ///< Lines of one kind beyond that.
  std::size_t bufferBytes = 256U << 10U; ///< Waiting lines; more are dropped.
};

/* Collects lines and writes them when Flush() is called and the reader has room. */
class EventLog
{
public:
  explicit EventLog(EventLogOptions aOptions);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /* Adds a line for an event, unless its kind has used its share up. */
  void Write(std::string_view aEvent, std::initializer_list<LogField> aFields);

  /* Writes what the reader takes without blocking. */
  void Flush();

  /* Returns the lines that were left out or dropped so far. */
  std::uint64_t leftOut() const { return mLeftOut; }

private:
  struct Budget
  {
    double tokens = 0.0;
    TimePoint at{};
    std::uint64_t leftOut = 0; ///< Since the last line of the kind.
  };

  EventLogOptions mOptions;
  std::map<std::string, Budget, std::less<>> mBudgets;
  std::string mBuffer;
  std::uint64_t mLeftOut = 0;
};

} // namespace rhubarbtrail

#endif

/* Log messages on standard error, as text or JSON, each with the name of the part that writes it.
 * The structured event log is in core/event_log.h. */
#ifndef RHUBARBTRAIL_CORE_LOG_FUNC_H
#define RHUBARBTRAIL_CORE_LOG_FUNC_H

#include <spdlog/logger.h>
#include <string>
#include <string_view>

namespace rhubarbtrail {

/* The parts of the program that log. The name of the part is in every line. */
namespace log_part {
constexpr std::string_view kDaemon = "daemon";
constexpr std::string_view kConfiguration = "configuration";
constexpr std::string_view kOperator = "operator";
constexpr std::string_view kPlatform = "platform";
constexpr std::string_view kRouter = "router";
constexpr std::string_view kScheduler = "scheduler";
} // namespace log_part

struct LogOptions
{
  std::string level = "info";
  bool asJson = false; ///< JSON objects instead of lines of text.
};

/* Sets up logging to standard error. Must be called once, before the first thread starts, because
 * Log() takes no lock. */
void SetUpLogs(const LogOptions& aOptions);

/* Changes the lowest level that is logged. Returns false if the name is not debug, info, warn or
 * error. */
bool SetLogLevel(const std::string& aLevel);

/* Returns the logger of a part without taking a lock, or the default logger of spdlog before
 * SetUpLogs(). */
spdlog::logger* Log(std::string_view aPart);

} // namespace rhubarbtrail

#endif

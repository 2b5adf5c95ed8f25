/* Logs: short sentences, with a fixed prefix for each part. */
#ifndef RHUBARBTRAIL_CORE_LOG_FUNC_H
#define RHUBARBTRAIL_CORE_LOG_FUNC_H

#include <spdlog/logger.h>
#include <string>
#include <string_view>

namespace rhubarbtrail {

/* The parts that log; each has its own prefix. */
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
  bool asJson = false;
};

/* Sets up logging to standard error; to be called once, before the first thread starts. */
void SetUpLogs(const LogOptions& aOptions);

/* Changes the lowest level that is logged; false when the word is unknown. */
bool SetLogLevel(const std::string& aLevel);

/* Returns the logger of a part, without a lock. */
spdlog::logger* Log(std::string_view aPart);

} // namespace rhubarbtrail

#endif

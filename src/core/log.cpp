/* Log messages on spdlog. */
#include "core/log_func.h"

#include "core/log_json.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>

namespace rhubarbtrail {

namespace {

constexpr std::array kParts{ log_part::kDaemon,   log_part::kConfiguration, log_part::kOperator,
                             log_part::kPlatform, log_part::kRouter,        log_part::kScheduler };
constexpr const char* kTextPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l [%n] %v";

using LoggerArray = std::array<std::shared_ptr<spdlog::logger>, kParts.size()>;

/* The loggers of all parts; null until SetUpLogs() is called. */
LoggerArray& Loggers()
{
  static LoggerArray sLoggers;
  return sLoggers;
}

} // namespace

void SetUpLogs(const LogOptions& aOptions)
{
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  for (std::size_t index = 0; index < kParts.size(); ++index) {
    auto& logger = Loggers()[index];
    logger = std::make_shared<spdlog::logger>(std::string{ kParts[index] }, sink);
    spdlog::register_logger(logger);
  }
  if (aOptions.asJson) {
    spdlog::set_formatter(std::make_unique<JsonLogFormatter>());
  } else {
    spdlog::set_pattern(kTextPattern, spdlog::pattern_time_type::utc);
  }
  SetLogLevel(aOptions.level);
  spdlog::flush_on(spdlog::level::info);
}

bool SetLogLevel(const std::string& aLevel)
{
  constexpr std::array kLevels{ "debug", "info", "warn", "error" };
  if (std::find(kLevels.begin(), kLevels.end(), aLevel) == kLevels.end()) {
    return false;
  }
  spdlog::set_level(spdlog::level::from_str(aLevel));
  return true;
}

spdlog::logger* Log(std::string_view aPart)
{
  for (const auto& logger : Loggers()) {
    if (logger != nullptr && logger->name() == aPart) {
      return logger.get();
    }
  }
  return spdlog::default_logger_raw();
}

} // namespace rhubarbtrail

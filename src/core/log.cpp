/* Logs on spdlog. */
#include "core/log_func.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>

namespace rhubarbtrail {

namespace {

constexpr std::array kParts{ log_part::kDaemon,
                             log_part::kConfiguration,
                             log_part::kOperator,
                             log_part::kPlatform,
                             log_part::kScheduler };
constexpr const char* kTextPattern = "%Y-%m-%dT%H:%M:%S.%e %l [%n] %v";
constexpr const char* kJsonPattern =
  R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l","part":"%n","message":"%v"})";

} // namespace

void SetUpLogs(const LogOptions& aOptions)
{
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  for (const std::string_view part : kParts) {
    spdlog::register_logger(std::make_shared<spdlog::logger>(std::string{ part }, sink));
  }
  spdlog::set_pattern(aOptions.asJson ? kJsonPattern : kTextPattern);
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

std::shared_ptr<spdlog::logger> Log(std::string_view aPart)
{
  auto logger = spdlog::get(std::string{ aPart });
  return logger != nullptr ? logger : spdlog::default_logger();
}

} // namespace rhubarbtrail

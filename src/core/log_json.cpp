/* Formats log messages as JSON objects. */
#include "core/log_json.h"

#include <nlohmann/json.hpp>
#include <spdlog/details/log_msg.h>
#include <spdlog/fmt/chrono.h>

namespace rhubarbtrail {

void JsonLogFormatter::format(const spdlog::details::log_msg& aMessage, spdlog::memory_buf_t& aOut)
{
  using namespace std::chrono;
  const auto text = [](spdlog::string_view_t aView) {
    return std::string{ aView.data(), aView.size() };
  };
  const auto millis = duration_cast<milliseconds>(aMessage.time.time_since_epoch()).count();
  const std::time_t seconds = millis / 1'000;
  const nlohmann::ordered_json line{
    { "time", fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), millis % 1'000) },
    { "level", text(spdlog::level::to_string_view(aMessage.level)) },
    { "part", text(aMessage.logger_name) },
    { "message", text(aMessage.payload) }
  };
  // Invalid UTF-8 is replaced, so that every line is valid JSON.
  const std::string jsonLine =
    line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
  aOut.append(jsonLine.data(), jsonLine.data() + jsonLine.size());
}

std::unique_ptr<spdlog::formatter> JsonLogFormatter::clone() const
{
  return std::make_unique<JsonLogFormatter>();
}

} // namespace rhubarbtrail

/* Formats log messages as JSON objects. */
#ifndef RHUBARBTRAIL_CORE_LOG_JSON_H
#define RHUBARBTRAIL_CORE_LOG_JSON_H

#include <memory>
#include <spdlog/formatter.h>

namespace rhubarbtrail {

/* Formats each message as one line with a JSON object of time (UTC), level, part and message. */
class JsonLogFormatter : public spdlog::formatter
{
public:
  void format(const spdlog::details::log_msg& aMessage, spdlog::memory_buf_t& aOut) override;
  std::unique_ptr<spdlog::formatter> clone() const override;
};

} // namespace rhubarbtrail

#endif

/* Log lines in JSON format, and metrics in text format. */
#include "core/log_json.h"
#include "core/metrics.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <spdlog/details/log_msg.h>

#include <thread>

using namespace rhubarbtrail;

TEST_CASE(
  "A JSON log line can be parsed, also with quotes, line breaks and invalid UTF-8 in its message")
{
  JsonLogFormatter formatter;
  for (const std::string& text : { std::string{ "plain" },
                                   std::string{ "\"quoted\" \\ back" },
                                   std::string{ "two\nlines" },
                                   std::string{ "zero\0byte", 9 },
                                   std::string{ "not utf-8 \xff\xfe" } }) {
    spdlog::memory_buf_t out;
    formatter.format({ "operator", spdlog::level::warn, text }, out);
    const std::string line{ out.data(), out.size() };
    CHECK(line.find('\n') == line.size() - 1);
    const auto parsed = nlohmann::json::parse(line, nullptr, false);
    REQUIRE(parsed.is_object());
    CHECK(parsed["part"] == "operator");
    CHECK(parsed["level"] == "warning");
    CHECK((text.find('\xff') != std::string::npos || parsed["message"] == text));
  }
}

TEST_CASE("Metrics recorded by several threads are summed up in the text")
{
  Metrics metrics;
  std::vector<std::thread> threads;
  for (int number = 0; number < 8; ++number) {
    threads.emplace_back([&metrics] {
      for (int sample = 0; sample < 500; ++sample) {
        metrics.Record(
          { .code = ResultCode::kOk, .requestClass = ClassId{ "c" }, .latency = 10ms });
        metrics.Count(Counter::kRetries);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::string text = metrics.ToText({ { "open", "Open.", 3 } });
  for (const char* line :
       { "rhubarbtrail_requests_total{code=\"1000\",name=\"ok\",class=\"c\"} 4000\n",
         "rhubarbtrail_request_seconds{class=\"c\",quantile=\"0.99\"} 0.01\n",
         "rhubarbtrail_request_seconds_count{class=\"c\"} 4000\n",
         "rhubarbtrail_retries_total 4000\n",
         "rhubarbtrail_open 3\n" }) {
    INFO(text);
    CHECK(text.find(line) != std::string::npos);
  }
}

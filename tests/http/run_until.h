/* Runs an event loop until what a test waits for has happened. */
#ifndef RHUBARBTRAIL_TESTS_HTTP_RUN_UNTIL_H
#define RHUBARBTRAIL_TESTS_HTTP_RUN_UNTIL_H

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace rhubarbtrail::http {

/* A test fails when an expected event has not happened within this time. */
constexpr auto kTestTimeout = std::chrono::seconds{ 20 };

/* Runs the loop until a condition holds. Returns false when it does not hold within kTestTimeout.
 */
template<typename Condition>
bool RunUntil(boost::asio::io_context& aLoop, const Condition& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  aLoop.restart();
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    aLoop.run_one_for(std::chrono::milliseconds{ 20 });
  }
  return true;
}

} // namespace rhubarbtrail::http

#endif

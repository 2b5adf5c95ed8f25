/* The structured event log: rate limits, JSON serialization and non-blocking output. */
#include "core/event_log.h"

#include "core/boot_clock.h"
#include "core/overloaded.h"

#include <algorithm>
#include <chrono>
#include <climits>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

namespace rhubarbtrail {

namespace {

/* Returns the wall-clock time in UTC, for readers of the log only. Decisions never use it, because
 * the wall clock can jump. */
std::string WallClockTime()
{
  using namespace std::chrono;
  const auto millis = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  const std::time_t seconds = millis / 1'000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), millis % 1'000);
}

/* Appends a JSON string. Nearly all texts are printable ASCII without quotes or backslashes and
 * take the fast path without escaping. */
void AppendJsonString(std::string& aOut, const std::string& aText)
{
  const bool isPlain = std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
    return aCharacter >= 0x20 && aCharacter < 0x7f && aCharacter != '"' && aCharacter != '\\';
  });
  if (isPlain) {
    aOut.append("\"").append(aText).append("\"");
    return;
  }
  aOut += nlohmann::json(aText).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

void AppendField(std::string& aOut, const LogField& aField)
{
  aOut.append(",\"").append(aField.name).append("\":");
  std::visit(Overloaded{ [&](const std::string& aText) { AppendJsonString(aOut, aText); },
                         [&](std::int64_t aNumber) { aOut += std::to_string(aNumber); },
                         [&](double aNumber) { aOut += fmt::format("{:.3f}", aNumber); },
                         [&](bool aFlag) { aOut += aFlag ? "true" : "false"; } },
             aField.value);
}

} // namespace

EventLog::EventLog(EventLogOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

EventLog::~EventLog()
{
  Flush();
}

void EventLog::Write(std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  const TimePoint now = BootClockNow();
  auto found = mTokenBuckets.find(aEvent);
  if (found == mTokenBuckets.end()) {
    found =
      mTokenBuckets.emplace(std::string{ aEvent }, TokenBucket{ mOptions.burst, now, 0 }).first;
  }
  TokenBucket& bucket = found->second;
  const double seconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
  bucket.tokens = std::min(mOptions.burst, bucket.tokens + seconds * mOptions.linesPerSecond);
  bucket.refilledAt = now;
  if (bucket.tokens < 1.0 || mBuffer.size() >= mOptions.bufferBytes) {
    ++bucket.leftOut;
    ++mLeftOut;
    return;
  }
  bucket.tokens -= 1.0;
  mBuffer += fmt::format("{{\"time\":\"{}\",\"daemon\":\"{}\",\"event\":\"{}\"",
                         WallClockTime(),
                         mOptions.daemon,
                         aEvent);
  for (const LogField& field : aFields) {
    AppendField(mBuffer, field);
  }
  if (bucket.leftOut > 0) {
    AppendField(mBuffer, { "left_out", bucket.leftOut });
    bucket.leftOut = 0;
  }
  mBuffer += "}\n";
}

void EventLog::Flush()
{
  // A pipe that poll() reports as writable accepts at least this many bytes without blocking.
  constexpr std::size_t kWriteSize = PIPE_BUF;
  std::size_t written = 0;
  while (written < mBuffer.size()) {
    pollfd state{ .fd = mOptions.descriptor, .events = POLLOUT, .revents = 0 };
    if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size = std::min(kWriteSize, mBuffer.size() - written);
    const ssize_t result = write(mOptions.descriptor, mBuffer.data() + written, size);
    if (result <= 0) {
      break;
    }
    written += static_cast<std::size_t>(result);
  }
  mBuffer.erase(0, written);
}

} // namespace rhubarbtrail

/* One daemon's share of the retry budget of the whole fleet. */
#include "decision/fleet/retry_share.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* Part of the ratio that a request is worth, and the most that may be saved: part of what the
 * requests of a window are worth. Whatever is spent in a window was saved at its beginning or comes
 * from requests in it, so the fleet stays within 1.25 x 0.76 = 0.95 of the ratio, or of the larger
 * one if traffic has changed. */
constexpr double kUsedRatioPart = 0.76;
constexpr double kSavedPart = 0.25;
/* Part of the slack that is used. The rest is a margin, as above: whoever else checks the fleet's
 * budget counts the same requests and retries a little differently and at other times. */
constexpr double kUsedSlackPart = 0.9;

} // namespace

Duration RetryShare::SliceLength() const
{
  return std::max<Duration>(mOptions.window / kSlicesPerWindow, Duration{ 1 });
}

std::int64_t RetryShare::SliceNumber(TimePoint aNow) const
{
  return aNow.time_since_epoch() / SliceLength();
}

RetryShare::Slice& RetryShare::CurrentSlice(TimePoint aNow, Usage& aUsage) const
{
  const std::int64_t number = SliceNumber(aNow);
  Slice& slice = aUsage.slices[static_cast<std::size_t>(number) % (kSlicesPerWindow + 1)];
  if (slice.number != number) {
    slice = { .number = number };
  }
  return slice;
}

RetryShare::Slice RetryShare::CountWindow(TimePoint aNow, const Usage& aUsage) const
{
  const std::int64_t newest = SliceNumber(aNow);
  Slice total{ .number = newest };
  for (const Slice& slice : aUsage.slices) {
    if (slice.number < 0 || newest - slice.number > static_cast<std::int64_t>(kSlicesPerWindow)) {
      continue;
    }
    total.requests += slice.requests;
    total.slack += slice.slack;
  }
  return total;
}

bool RetryShare::IsPastKnown(TimePoint aNow) const
{
  return mStartedAt && aNow - *mStartedAt > mOptions.window + SliceLength();
}

/* Load pattern: endpoints refuse requests while daemons are killed or clients move to other
 * daemons. A limit on the retries in a window of each daemon would allow those of the former daemon
 * and of the next one for the same traffic. */
double RetryShare::Credit(TimePoint aNow, const Usage& aUsage) const
{
  const double worth = kUsedRatioPart * mOptions.ratio * CountWindow(aNow, aUsage).requests;
  return std::min(aUsage.credit, kSavedPart * worth);
}

/* Load pattern: all daemons are killed, several times within a window, and each dispatcher that
 * takes over counts them one by one. Each start would bring a new slack, and each daemon would use
 * more than its part. */
double RetryShare::SlackLeft(TimePoint aNow, const Usage& aUsage) const
{
  if (!IsPastKnown(aNow) || !mFleetSize->IsStated(aNow)) {
    return 0.0;
  }
  const double part = mOptions.slack / std::max<std::uint32_t>(mFleetSize->daemons(), 1);
  return std::max(kUsedSlackPart * part - CountWindow(aNow, aUsage).slack, 0.0);
}

void RetryShare::RecordRequest(TimePoint aNow, const ServiceId& aService)
{
  Usage& usage = mUsageByService[aService];
  ++CurrentSlice(aNow, usage).requests;
  usage.credit += kUsedRatioPart * mOptions.ratio;
  usage.credit = Credit(aNow, usage);
}

double RetryShare::RemainingRetries(TimePoint aNow, const ServiceId& aService) const
{
  const auto found = mUsageByService.find(aService);
  return found == mUsageByService.end()
           ? 0.0
           : Credit(aNow, found->second) + SlackLeft(aNow, found->second);
}

bool RetryShare::TakeRetry(TimePoint aNow, const ServiceId& aService)
{
  if (RemainingRetries(aNow, aService) < 1.0) {
    return false;
  }
  Usage& usage = mUsageByService[aService];
  const double fromCredit = std::min(Credit(aNow, usage), 1.0);
  usage.credit = Credit(aNow, usage) - fromCredit;
  CurrentSlice(aNow, usage).slack += 1.0 - fromCredit;
  return true;
}

} // namespace rhubarbtrail::fleet

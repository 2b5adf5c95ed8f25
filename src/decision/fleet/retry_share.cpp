/* One daemon's share of the retry budget of the whole fleet. */
#include "decision/fleet/retry_share.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* Fraction of the limit that is used. The rest is a margin: whoever else checks the fleet's budget
 * counts the same requests and retries a little differently and at other times. */
constexpr double kUsedFraction = 0.8;

} // namespace

std::int64_t RetryShare::SliceNumber(TimePoint aNow) const
{
  const Duration slice = std::max<Duration>(mOptions.window / kSlicesPerWindow, Duration{ 1 });
  return aNow.time_since_epoch() / slice;
}

RetryShare::Slice& RetryShare::CurrentSlice(TimePoint aNow, const ServiceId& aService)
{
  const std::int64_t number = SliceNumber(aNow);
  Slice& slice =
    mUsageByService[aService].slices[static_cast<std::size_t>(number) % (kSlicesPerWindow + 1)];
  if (slice.number != number) {
    slice = { .number = number };
  }
  return slice;
}

void RetryShare::RecordRequest(TimePoint aNow, const ServiceId& aService)
{
  ++CurrentSlice(aNow, aService).requests;
}

double RetryShare::RemainingRetries(TimePoint aNow, const ServiceId& aService) const
{
  const std::int64_t newest = SliceNumber(aNow);
  double requests = 0.0;
  double retries = 0.0;
  if (const auto found = mUsageByService.find(aService); found != mUsageByService.end()) {
    for (const Slice& slice : found->second.slices) {
      if (slice.number < 0 || newest - slice.number > static_cast<std::int64_t>(kSlicesPerWindow)) {
        continue;
      }
      requests += slice.requests;
      retries += slice.retries;
    }
  }
  const double slackShare = mOptions.slack / std::max<std::uint32_t>(mOptions.daemons, 1);
  return kUsedFraction * (mOptions.ratio * requests + slackShare) - retries;
}

bool RetryShare::TakeRetry(TimePoint aNow, const ServiceId& aService)
{
  if (RemainingRetries(aNow, aService) < 1.0) {
    return false;
  }
  ++CurrentSlice(aNow, aService).retries;
  return true;
}

} // namespace rhubarbtrail::fleet

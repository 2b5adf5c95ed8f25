/* One daemon's share of the retry budget of the whole fleet. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_RETRY_SHARE_H
#define RHUBARBTRAIL_DECISION_FLEET_RETRY_SHARE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <map>

namespace rhubarbtrail::fleet {

struct RetryShareOptions
{
  double ratio = 0.2;        ///< Allowed retries per request, in any window.
  double slack = 50.0;       ///< Additional retries that the whole fleet may make in any window.
  Duration window = 10s;     ///< Time over which requests and retries are counted.
  std::uint32_t daemons = 1; ///< Number of daemons that share the slack.
};

/* Counts the requests and the retries to each service and limits the retries, so that a service
 * whose endpoints all fail is not flooded with them. All daemons together stay within the fleet's
 * budget when each one stays within its share. */
class RetryShare
{
public:
  void SetOptions(const RetryShareOptions& aOptions) { mOptions = aOptions; }

  /* Records a request, which raises the limit. */
  void RecordRequest(TimePoint aNow, const ServiceId& aService);
  /* Records one retry and returns true, or returns false if the share is used up. */
  bool TakeRetry(TimePoint aNow, const ServiceId& aService);
  /* Returns the number of retries that the daemon may still make now. Negative above the limit. */
  double RemainingRetries(TimePoint aNow, const ServiceId& aService) const;

private:
  /* The window is counted in slices, with one slice more than the window has, so that the counts
   * cover at least the last window at any time. */
  static constexpr std::size_t kSlicesPerWindow = 10;
  struct Slice
  {
    std::int64_t number = -1; ///< Time since the clock's epoch, in slices. -1: not used yet.
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  struct Usage
  {
    Slice slices[kSlicesPerWindow + 1]; // NOLINT(modernize-avoid-c-arrays)
  };

  Slice& CurrentSlice(TimePoint aNow, const ServiceId& aService);
  std::int64_t SliceNumber(TimePoint aNow) const;

  RetryShareOptions mOptions;
  std::map<ServiceId, Usage> mUsageByService;
};

} // namespace rhubarbtrail::fleet

#endif

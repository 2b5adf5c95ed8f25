/* One daemon's share of the retry budget of the whole fleet. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_RETRY_SHARE_H
#define RHUBARBTRAIL_DECISION_FLEET_RETRY_SHARE_H

#include "core/id_type.h"
#include "core/unit_type.h"
#include "decision/fleet/fleet_size.h"

#include <cstdint>
#include <map>
#include <optional>

namespace rhubarbtrail::fleet {

struct RetryShareOptions
{
  double ratio = 0.2;    ///< Allowed retries per request, in any window.
  double slack = 50.0;   ///< Additional retries that the whole fleet may make in any window.
  Duration window = 10s; ///< Time over which requests and retries are counted.
};

/* Counts the requests and the retries to each service and limits the retries, so that a service
 * whose endpoints all fail is not flooded with them. All daemons together stay within the fleet's
 * budget when each one stays within its share: each request is worth a part of a retry at the
 * daemon that got it, whichever process or daemon gets the next one, and each daemon has a part of
 * the slack. */
class RetryShare
{
public:
  /* aFleetSize is the number of daemons that share the slack. It must outlive this. */
  explicit RetryShare(const FleetSize& aFleetSize)
    : mFleetSize(&aFleetSize)
  {
  }

  void SetOptions(const RetryShareOptions& aOptions) { mOptions = aOptions; }
  /* Records when this process began to count. */
  void Start(TimePoint aNow) { mStartedAt = aNow; }

  /* Records a request, which raises the limit. */
  void RecordRequest(TimePoint aNow, const ServiceId& aService);
  /* Records one retry and returns true, or returns false if the share is spent. */
  bool TakeRetry(TimePoint aNow, const ServiceId& aService);
  /* Returns the number of retries that the daemon may still make now. */
  double RemainingRetries(TimePoint aNow, const ServiceId& aService) const;
  /* Returns whether this process has counted for a whole window. Before, a former process may have
   * used this daemon's part of the slack. */
  bool IsPastKnown(TimePoint aNow) const;

private:
  /* The window is counted in slices, with one slice more than the window has, so that the counts
   * cover at least the last window at any time. */
  static constexpr std::size_t kSlicesPerWindow = 10;
  struct Slice
  {
    std::int64_t number = -1; ///< Time since the clock's epoch, in slices. -1: not used yet.
    std::uint32_t requests = 0;
    double slack = 0.0; ///< Part of the slack that was spent.
  };
  struct Usage
  {
    Slice slices[kSlicesPerWindow + 1]; // NOLINT(modernize-avoid-c-arrays)
    double credit = 0.0; ///< Retries that the requests so far are worth, without those made.
  };

  Duration SliceLength() const;
  std::int64_t SliceNumber(TimePoint aNow) const;
  Slice& CurrentSlice(TimePoint aNow, Usage& aUsage) const;
  /* Returns the counts of the last window, in `requests` and `slack`. */
  Slice CountWindow(TimePoint aNow, const Usage& aUsage) const;
  /* Returns the credit that may be spent now. */
  double Credit(TimePoint aNow, const Usage& aUsage) const;
  /* Returns how much of this daemon's part of the slack may be spent now. */
  double SlackLeft(TimePoint aNow, const Usage& aUsage) const;

  RetryShareOptions mOptions;
  std::optional<TimePoint> mStartedAt;
  const FleetSize* mFleetSize;
  std::map<ServiceId, Usage> mUsageByService;
};

} // namespace rhubarbtrail::fleet

#endif

/* One daemon's share of the retries that the whole fleet may make. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_RETRY_SHARE_H
#define RHUBARBTRAIL_DECISION_FLEET_RETRY_SHARE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <map>

namespace rhubarbtrail::fleet {

struct RetryShareOptions
{
  double ratio = 0.2;  ///< Retries for each request, in any window.
  double slack = 50.0; ///< Retries beyond these, of the whole fleet, in any window.
  Duration window = 10s;
  std::uint32_t daemons = 1; ///< Daemons that share the slack.
};

/* Counts first and repeated sends to each service. All daemons together stay within the limit when
 * each stays within its share; a service whose endpoints all fail then gets no flood of retries. */
class RetryShare
{
public:
  void SetOptions(const RetryShareOptions& aOptions) { mOptions = aOptions; }

  void NoteRequest(TimePoint aNow, const ServiceId& aService);
  /* Takes one retry; false when the share is used up. */
  bool Take(TimePoint aNow, const ServiceId& aService);
  /* Returns the retries left for a service. */
  double Left(TimePoint aNow, const ServiceId& aService) const;

private:
  /* Counts by slices of the window, so that any span of its length is covered. */
  static constexpr std::size_t kSlices = 10;
  struct Slice
  {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  struct Usage
  {
    Slice slices[kSlices + 1]; // NOLINT(modernize-avoid-c-arrays)
  };

  Slice& Current(TimePoint aNow, const ServiceId& aService);
  std::int64_t SliceNumber(TimePoint aNow) const;

  RetryShareOptions mOptions;
  std::map<ServiceId, Usage> mUsages;
};

} // namespace rhubarbtrail::fleet

#endif

/* Detects and quarantines requests that crash runners. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_CRASH_GUARD_H
#define RHUBARBTRAIL_DECISION_FLEET_CRASH_GUARD_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <compare>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace rhubarbtrail::fleet {

/* Time after the last crash until the crashes of a request that is not quarantined are forgotten.
 */
constexpr Duration kCrashCountLifetime = 60s;
/* Time after the last crash until a quarantine is forgotten. */
constexpr Duration kQuarantineLifetime = 1h;
/* Time after the last crash until the first trial of a quarantined request, and the time between
 * the first trial and the second. There are no more. */
constexpr Duration kFirstTrialPause = 60s;
constexpr Duration kSecondTrialPause = 8min;
/* Number of crashes in a row after which a request is quarantined. It is the largest number of
 * crashed runners that operators accept. One or two may be chance, when runners fail for other
 * reasons. */
constexpr std::uint32_t kQuarantineThreshold = 3;
/* Maximum number of requests whose crashes are counted. */
constexpr std::size_t kMaxSuspects = 4'096;

/* A process of an endpoint. */
struct EndpointProcess
{
  EndpointId endpoint;
  std::int64_t startedAtMs = 0; ///< Unix time of its start.

  auto operator<=>(const EndpointProcess&) const = default;
  bool operator==(const EndpointProcess&) const = default;
};

/* Counts, by the fingerprint of a request, the runners that crashed while they ran it. Daemons send
 * each other the crashes and answers that they see, because a client may repeat such a request at
 * any daemon. */
class CrashGuard
{
public:
  /* Records that a runner's process ended while it ran the request. Each process counts once: many
   * requests with the same bytes may be in flight when it ends for another reason. */
  void RecordCrash(TimePoint aNow, const FingerprintId& aRequest, const EndpointProcess& aProcess);
  /* Takes over that a request was quarantined before this process started. */
  void RecordQuarantined(TimePoint aNow, const FingerprintId& aRequest);
  /* Records that the request was answered. Returns whether it had crashes, and forgets them. */
  bool RecordAnswer(const FingerprintId& aRequest) { return mSuspects.erase(aRequest) > 0; }
  /* Returns whether the request is quarantined, that is, must not be sent to a runner. */
  bool IsQuarantined(TimePoint aNow, const FingerprintId& aRequest) const;

  /* Returns whether a quarantined request may be sent once to find out whether it is sound after
   * all, and counts that as its trial. To be asked by one daemon of the fleet alone.
   *
   * Load pattern: a client repeats a crashing request for as long as it is refused. If the
   * quarantine just ended after a time, each daemon would send the request to runners again. */
  bool StartTrial(TimePoint aNow, const FingerprintId& aRequest);

  /* Returns the quarantined requests, those with the latest crashes if there are more than aMax. */
  std::vector<FingerprintId> Quarantined(TimePoint aNow, std::size_t aMax) const;
  /* Returns the processes that crashed while they ran the request, as far as they are counted. */
  std::set<EndpointProcess> CrashedProcesses(const FingerprintId& aRequest) const
  {
    const auto found = mSuspects.find(aRequest);
    return found == mSuspects.end() ? std::set<EndpointProcess>{} : found->second.crashedProcesses;
  }

private:
  struct Suspect
  {
    bool IsQuarantined() const { return isTold || crashedProcesses.size() >= kQuarantineThreshold; }

    bool isTold = false; ///< It was quarantined before this process started.
    std::set<EndpointProcess> crashedProcesses;
    TimePoint expiresAt{};
    std::uint32_t trials = 0; ///< Begun by this daemon.
    TimePoint nextTrialAt{};
  };

  std::unordered_map<FingerprintId, Suspect> mSuspects;
};

} // namespace rhubarbtrail::fleet

#endif

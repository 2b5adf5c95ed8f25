/* Detects and quarantines requests that crash runners. */
#include "decision/fleet/crash_guard.h"

namespace rhubarbtrail::fleet {

void CrashGuard::RecordCrash(TimePoint aNow,
                             const FingerprintId& aRequest,
                             const EndpointProcess& aProcess)
{
  if (mSuspects.size() >= kMaxSuspects) {
    std::erase_if(mSuspects, [&](const auto& aItem) { return aItem.second.expiresAt < aNow; });
  }
  if (mSuspects.size() >= kMaxSuspects) {
    return; // Crashes of so many different requests must have another cause than the requests.
  }
  Suspect& suspect = mSuspects[aRequest];
  if (suspect.expiresAt < aNow) {
    suspect.crashedProcesses.clear();
  }
  suspect.crashedProcesses.insert(aProcess);
  suspect.expiresAt = aNow + kCrashCountLifetime;
}

bool CrashGuard::IsQuarantined(TimePoint aNow, const FingerprintId& aRequest) const
{
  const auto found = mSuspects.find(aRequest);
  return found != mSuspects.end() && found->second.expiresAt >= aNow &&
         found->second.crashedProcesses.size() >= kQuarantineThreshold;
}

} // namespace rhubarbtrail::fleet

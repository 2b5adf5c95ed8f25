/* Detects and quarantines requests that crash runners. */
#include "decision/fleet/crash_guard.h"

namespace rhubarbtrail::fleet {

void CrashGuard::NoteBreak(TimePoint aNow, const FingerprintId& aRequest)
{
  if (mSuspects.size() >= kSuspectLimit) {
    std::erase_if(mSuspects, [&](const auto& aItem) { return aItem.second.until < aNow; });
  }
  if (mSuspects.size() >= kSuspectLimit) {
    return; // Crashes of so many different requests must have another cause than the requests.
  }
  Suspect& suspect = mSuspects[aRequest];
  suspect.breaks = suspect.until < aNow ? 1 : suspect.breaks + 1;
  suspect.until = aNow + kSuspicionTime;
}

bool CrashGuard::IsConvicted(TimePoint aNow, const FingerprintId& aRequest) const
{
  const auto found = mSuspects.find(aRequest);
  return found != mSuspects.end() && found->second.until >= aNow &&
         found->second.breaks >= kConvictionCount;
}

} // namespace rhubarbtrail::fleet

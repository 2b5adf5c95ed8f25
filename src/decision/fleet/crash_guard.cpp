/* Detects and quarantines requests that crash runners. */
#include "decision/fleet/crash_guard.h"

#include <algorithm>
#include <functional>
#include <utility>

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
    suspect = {};
  }
  suspect.crashedProcesses.insert(aProcess);
  suspect.expiresAt = aNow + (suspect.IsQuarantined() ? kQuarantineLifetime : kCrashCountLifetime);
  suspect.nextTrialAt = std::max(suspect.nextTrialAt, aNow + kFirstTrialPause);
}

void CrashGuard::RecordQuarantined(TimePoint aNow, const FingerprintId& aRequest)
{
  if (mSuspects.size() >= kMaxSuspects) {
    return;
  }
  Suspect& suspect = mSuspects[aRequest];
  suspect.isTold = true;
  suspect.expiresAt = aNow + kQuarantineLifetime;
  suspect.nextTrialAt = std::max(suspect.nextTrialAt, aNow + kFirstTrialPause);
}

bool CrashGuard::StartTrial(TimePoint aNow, const FingerprintId& aRequest)
{
  constexpr std::uint32_t kMaxTrials = 2;
  if (!IsQuarantined(aNow, aRequest)) {
    return false;
  }
  Suspect& suspect = mSuspects[aRequest];
  if (suspect.trials >= kMaxTrials || aNow < suspect.nextTrialAt) {
    return false;
  }
  ++suspect.trials;
  suspect.nextTrialAt = aNow + kSecondTrialPause;
  return true;
}

std::vector<FingerprintId> CrashGuard::Quarantined(TimePoint aNow, std::size_t aMax) const
{
  std::vector<std::pair<TimePoint, FingerprintId>> found;
  for (const auto& [request, suspect] : mSuspects) {
    if (IsQuarantined(aNow, request)) {
      found.emplace_back(suspect.expiresAt, request);
    }
  }
  std::sort(found.begin(), found.end(), std::greater<>{});
  found.resize(std::min(found.size(), aMax));
  std::vector<FingerprintId> requests;
  requests.reserve(found.size());
  for (auto& [expiresAt, request] : found) {
    requests.push_back(std::move(request));
  }
  return requests;
}

bool CrashGuard::IsQuarantined(TimePoint aNow, const FingerprintId& aRequest) const
{
  const auto found = mSuspects.find(aRequest);
  return found != mSuspects.end() && found->second.expiresAt >= aNow &&
         found->second.IsQuarantined();
}

} // namespace rhubarbtrail::fleet

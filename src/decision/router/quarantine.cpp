/* Size limit and expiry of the sets of fingerprints. */
#include "decision/router/quarantine_base.h"

namespace rhubarbtrail {

namespace {

/* Maximum number of fingerprints in a set. At the limit, expired ones are erased. If none has
 * expired, new ones are ignored. */
constexpr std::size_t kFingerprintLimit = 16'384;

} // namespace

void FingerprintSet::Add(const FingerprintId& aFingerprint, TimePoint aUntil, TimePoint aNow)
{
  if (mExpiries.size() >= kFingerprintLimit) {
    std::erase_if(mExpiries, [aNow](const auto& aItem) { return aItem.second <= aNow; });
  }
  if (mExpiries.size() < kFingerprintLimit) {
    mExpiries[aFingerprint] = aUntil;
  }
}

bool FingerprintSet::Contains(const FingerprintId& aFingerprint, TimePoint aNow) const
{
  const auto found = mExpiries.find(aFingerprint);
  return found != mExpiries.end() && found->second > aNow;
}

} // namespace rhubarbtrail

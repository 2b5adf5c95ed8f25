/* Recognises requests that crash the runners that run them. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_CRASH_GUARD_H
#define RHUBARBTRAIL_DECISION_FLEET_CRASH_GUARD_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <unordered_map>

namespace rhubarbtrail::fleet {

/* Time for which a broken connection counts against a request. */
constexpr Duration kSuspicionTime = 60s;
/* Broken runners in a row from which a request is refused: the most that operators accept. One or
 * two may be chance, when runners fail for other reasons. */
constexpr std::uint32_t kConvictionCount = 3;
/* Requests remembered at most. */
constexpr std::size_t kSuspectLimit = 4'096;

/* Counts, for each request's bytes, the runners that broke off while they ran it. Daemons tell each
 * other, since such a request comes again at any of them. */
class CrashGuard
{
public:
  /* Notes that a runner's process ended while it ran the request. */
  void NoteBreak(TimePoint aNow, const FingerprintId& aRequest);
  /* Notes that the request was answered, which clears it; returns whether it was a suspect. */
  bool NoteAnswer(const FingerprintId& aRequest) { return mSuspects.erase(aRequest) > 0; }
  bool IsConvicted(TimePoint aNow, const FingerprintId& aRequest) const;

private:
  struct Suspect
  {
    std::uint32_t breaks = 0;
    TimePoint until{};
  };

  std::unordered_map<FingerprintId, Suspect> mSuspects;
};

} // namespace rhubarbtrail::fleet

#endif

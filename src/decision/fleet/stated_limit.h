/* The limit on requests that an endpoint's process states in its answers. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_STATED_LIMIT_H
#define RHUBARBTRAIL_DECISION_FLEET_STATED_LIMIT_H

#include "core/unit_type.h"

#include <optional>

namespace rhubarbtrail::fleet {

/* The limit of one process of an endpoint: the rate of requests that it takes from all daemons
 * together. It is in force until the process answers without stating it. */
class StatedLimit
{
public:
  /* Records an answer that states a limit. Returns whether that changes the limit. */
  bool Record(TimePoint aNow, RequestRate aRate)
  {
    mStatedAt = aNow;
    const bool isChanged = mRate != aRate;
    mRate = aRate;
    return isChanged;
  }

  /* Records an answer that states none to a request that was sent at this time. Returns whether
   * that ends the limit. Answers overtake each other, so an answer proves nothing if a limit was
   * stated after its request was sent. */
  bool RecordNone(TimePoint aRequestSentAt)
  {
    if (!mRate || aRequestSentAt <= mStatedAt) {
      return false;
    }
    mRate.reset();
    return true;
  }

  /* Returns the rate, or nothing while there is no limit. */
  const std::optional<RequestRate>& rate() const { return mRate; }

private:
  std::optional<RequestRate> mRate;
  TimePoint mStatedAt{};
};

} // namespace rhubarbtrail::fleet

#endif

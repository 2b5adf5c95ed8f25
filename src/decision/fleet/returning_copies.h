/* Copies of models on the disks of runners that crashed a short time ago, and the expected end of
 * loads from the weight store. Both tell how long callers of a model without a replica must wait.
 */
#ifndef RHUBARBTRAIL_DECISION_FLEET_RETURNING_COPIES_H
#define RHUBARBTRAIL_DECISION_FLEET_RETURNING_COPIES_H

#include "core/id_type.h"
#include "core/unit_type.h"
#include "decision/fleet/fleet_configuration_type.h"
#include "decision/fleet/runner_type.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>

namespace rhubarbtrail::fleet {

/* Time from the crash of a runner's process until its next process has registered and this daemon
 * has read the entry, at most, unless the runner does not return. Its disk keeps its copies. */
constexpr Duration kCopyReturnTime = 4s;

/* Returns whether it is worth waiting for a copy on a disk rather than loading the model from the
 * weight store at once: the wait and the load from the disk together take less than half of the
 * time. */
bool IsWorthWaitingForCopy(const Model& aModel);

/* The copies that are expected back. Load pattern: a rack of runners crashes. For some models they
 * had the only copies, and all runners are back with them seconds later, while loads from the
 * weight store take many times as long and slow each other down. */
class ReturningCopies
{
public:
  /* Records that a runner's process ended without notice, with these copies on its disk. */
  void RecordLost(TimePoint aNow, const ServiceId& aService, const std::set<ModelId>& aCopies);
  /* Returns whether a crashed runner with a copy of the model may still return. */
  bool IsExpected(TimePoint aNow, const ServiceId& aService, const ModelId& aModel) const;
  /* Returns whether a load from the weight store should wait for a copy, given whether one is
   * expected now. Waits for kCopyReturnTime from the first call at most, so that runners that crash
   * again and again do not hold up the load for good. */
  bool ShouldWait(TimePoint aNow,
                  const ServiceId& aService,
                  const ModelId& aModel,
                  bool aIsExpected);
  /* Drops what no longer matters. */
  void Expire(TimePoint aNow);

private:
  using Key = std::pair<ServiceId, ModelId>;

  std::map<Key, TimePoint> mLostAt;    ///< Of the last loss.
  std::map<Key, TimePoint> mWaitSince; ///< When a load from the store was first wanted.
};

/* Returns when a load from the weight store that runs since aStart should end. aDuration is its
 * duration at the store's full speed. The store serves some loads at full speed, an unknown number,
 * and slows all of them down in proportion when there are more. So a load that is overdue beside
 * others is expected to take a whole multiple of its duration, up to the number of loads. */
TimePoint ExpectedStoreLoadEnd(TimePoint aNow,
                               TimePoint aStart,
                               Duration aDuration,
                               std::size_t aOtherLoads);

} // namespace rhubarbtrail::fleet

#endif

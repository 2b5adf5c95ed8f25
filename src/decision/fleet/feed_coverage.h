/* Decides whether a daemon may rely on the dispatcher to be told of changes of a table. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_FEED_COVERAGE_H
#define RHUBARBTRAIL_DECISION_FLEET_FEED_COVERAGE_H

#include "core/unit_type.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace rhubarbtrail::fleet {

/* What the dispatcher states about a table with each of its heartbeats. */
struct TableNotice
{
  /* Store version of the last change that other daemons must know. */
  RowVersion version;
  /* Time since the store last told the dispatcher of all changes of the table. */
  Duration age{};
};

/* Rows of a table that the dispatcher relays at once, and their bytes, at most. */
constexpr std::size_t kMaxRelayedRows = 16;
constexpr std::size_t kMaxRelayedBytes = 128U << 10U;

/* How much would have to be sent to each daemon. */
struct RelaySize
{
  std::size_t rows = 0;
  std::size_t bytes = 0;

  bool IsRelayable() const { return rows <= kMaxRelayedRows && bytes <= kMaxRelayedBytes; }
};

/* Load pattern: all daemons or many runners restart at once, or another writer adds large rows. The
 * dispatcher would send each changed row to hundreds of daemons, and its replies to requests would
 * wait on its link for seconds. So the daemons read the table themselves then, and when this daemon
 * knows of no earlier change. aFormerChange is the version of the last change before these rows. */
inline bool ShouldRelayRows(RowVersion aFormerChange, const RelaySize& aSize)
{
  return aFormerChange != RowVersion{} && aSize.IsRelayable();
}

/* Load pattern: hundreds of daemons that each watch the same tables. Their calls to the store grow
 * with the number of daemons, although all of them are told the same. So only the dispatcher
 * watches, and sends what it learns to the others with its heartbeats. A daemon calls the store
 * itself only while it is not covered: it has no recent notice, the notice rests on an old answer
 * of the store, or the notice names a version that did not reach this daemon.
 *
 * All times must come from a clock that keeps counting while the host is suspended. */
class FeedCoverage
{
public:
  /* aMaxAge is the greatest age of the store's answer that a notice may rest on. */
  explicit FeedCoverage(Duration aMaxAge)
    : mMaxAge(aMaxAge)
  {
  }

  void OnNotice(TimePoint aNow, const TableNotice& aNotice)
  {
    mNoticedVersion = aNotice.version;
    mCoveredUntil = aNow - aNotice.age + mMaxAge;
  }

  /* The dispatcher cannot be reached any more, or this daemon has become the dispatcher. */
  void OnNoticesLost() { mCoveredUntil.reset(); }

  /* The store has told this daemon of all changes up to this version. */
  void OnAnswer(RowVersion aVersion) { mKnownVersion = std::max(mKnownVersion, aVersion); }

  /* The dispatcher has sent all changes after aFrom, up to aTo, that other daemons must know. If
   * changes before them did not arrive, these prove nothing. */
  void OnRelayedChanges(RowVersion aFrom, RowVersion aTo)
  {
    if (mKnownVersion >= aFrom) {
      mKnownVersion = std::max(mKnownVersion, aTo);
    }
  }

  /* Returns whether this daemon needs no call to the store of its own now. */
  bool IsCovered(TimePoint aNow) const
  {
    return mCoveredUntil && aNow < *mCoveredUntil && mKnownVersion >= mNoticedVersion;
  }

  /* Returns when the coverage ends unless another notice arrives, or nothing if there is none. */
  std::optional<TimePoint> coveredUntil() const { return mCoveredUntil; }
  /* Returns the version up to which this daemon knows all changes that it must know. */
  RowVersion knownVersion() const { return mKnownVersion; }

private:
  Duration mMaxAge;
  RowVersion mKnownVersion;
  RowVersion mNoticedVersion;
  std::optional<TimePoint> mCoveredUntil;
};

} // namespace rhubarbtrail::fleet

#endif

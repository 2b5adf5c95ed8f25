/* Change feed of one table in the platform's row store. */
#ifndef RHUBARBTRAIL_FLEET_TABLE_FEED_H
#define RHUBARBTRAIL_FLEET_TABLE_FEED_H

#include "core/event_log.h"
#include "decision/fleet/feed_coverage.h"
#include "fleet/store_client.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>

namespace rhubarbtrail {

struct TableFeedOptions
{
  std::string table;
  Duration watchTimeout = 2'300ms; ///< How long the store may hold a watch without changes open.
  /* Minimum time between the starts of two watches. Changes in between arrive together. */
  Duration minInterval{};
  /* Greatest age of the store's answer on which the dispatcher's notice of no change may rest. */
  Duration maxNoticeAge = 1'200ms;
};

struct TableFeedHandlers
{
  std::function<void(const platform::StoreRow&)> onRow; ///< A row is new or has changed.
  /* The row was removed. Its value is empty. */
  std::function<void(const platform::StoreRow&)> onRemoved;
  std::function<void()> onSynced;    ///< All changes in the store's last answer were delivered.
  std::function<void()> onStoreLost; ///< A call failed. Not repeated until the store has answered.
  /* The store has answered for the first time after onStoreLost. */
  std::function<void()> onStoreRecovered;
  /* All changes up to the start of a call at this time were delivered. May be empty. */
  std::function<void(TimePoint)> onConfirmed;
};

/* Reads the whole table once, then watches it for changes. When the store no longer keeps the
 * changes since the last known version, or they are too large for one answer, reads the whole table
 * again and delivers the differences.
 * Thus no removal and no latest state is missed, and a row never goes back to an older version.
 *
 * While the dispatcher's notices cover the table (see FeedCoverage), it calls the store only for
 * changes that the notices name and that did not arrive with relayed rows. */
class TableFeed
{
public:
  TableFeed(boost::asio::io_context& aContext,
            StoreClient& aStore,
            EventLog& aLog,
            TableFeedOptions aOptions,
            TableFeedHandlers aHandlers);

  void Start();
  void Stop();
  void SetMinInterval(Duration aInterval) { mOptions.minInterval = aInterval; }
  void SetWatchTimeout(Duration aTimeout) { mOptions.watchTimeout = aTimeout; }

  /* Takes what the dispatcher states about the table. */
  void OnNotice(const fleet::TableNotice& aNotice);
  /* The dispatcher is lost, or this daemon has become the dispatcher. Calls the store at once. */
  void OnNoticesLost();
  /* The store came back from an older copy: reads the whole table again. */
  void OnEra();
  /* Takes rows that the dispatcher sent: all that changed between two versions and matter here. */
  void OnRelayedRows(RowVersion aFrom,
                     RowVersion aTo,
                     const std::vector<platform::StoreRow>& aRows);

  bool isSynced() const { return mIsSynced; }
  bool isStoreLost() const { return mIsStoreLost; }
  /* Returns the version up to which all changes that the daemon must know have been delivered. */
  RowVersion version() const { return mCoverage.knownVersion(); }
  /* Returns whether notices cover the table now, or the store has answered within aMaxAge. */
  bool IsCurrent(TimePoint aNow, Duration aMaxAge) const
  {
    return mCoverage.IsCovered(aNow) || aNow - mAnsweredAt <= aMaxAge;
  }
  /* Returns when the store last answered, or the clock's epoch if it never has. */
  TimePoint answeredAt() const { return mAnsweredAt; }

private:
  void ReadPage(const std::string& aFirstKey);
  void OnPage(const StoreResult& aResult, const std::string& aFirstKey);
  void Watch();
  /* Calls the store, or waits while notices cover the table. */
  void WatchUnlessCovered();
  void RemoveRow(const platform::StoreRow& aRow);
  void ForgetOldRemovals();
  void OnChanges(const StoreResult& aResult);
  void ApplyRow(const platform::StoreRow& aRow);
  void OnFailure(const StoreResult& aResult);
  void OnStoreAnswer();
  void ReportConfirmed(TimePoint aCallStartedAt);
  void RunAfter(Duration aDelay, std::function<void()> aNext);

  boost::asio::steady_timer mTimer;
  StoreClient& mStore;
  EventLog& mLog;
  TableFeedOptions mOptions;
  TableFeedHandlers mHandlers;
  std::map<std::string, RowVersion> mRowVersions;  ///< Versions of the delivered rows, by key.
  std::map<std::string, RowVersion> mScanVersions; ///< Rows found so far by the current full read.
  /* Versions at which rows were removed, by key. A full read that was answered before a removal may
   * arrive after it, and must not bring the row back. */
  std::map<std::string, RowVersion> mRemovedVersions;
  fleet::FeedCoverage mCoverage;
  RowVersion mVersion;          ///< The store has told of all changes up to this version.
  RowVersion mScanStartVersion; ///< Store version at the first page of the current full read.
  TimePoint mWatchStartedAt{};  ///< When the last watch was started.
  TimePoint mReadStartedAt{};   ///< When the last read of the whole table was started.
  TimePoint mAnsweredAt{};      ///< When the store last answered.
  std::uint32_t mFailures = 0;  ///< Failed calls since the last answer.
  bool mIsSynced = false;
  bool mIsStoreLost = false;
  bool mIsStopped = false;
  bool mMustRead = false;  ///< The whole table must be read again.
  bool mIsCovered = false; ///< No call is in progress or due, because notices cover the table.
};

} // namespace rhubarbtrail

#endif

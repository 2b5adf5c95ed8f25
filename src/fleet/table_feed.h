/* Change feed of one table in the platform's row store. */
#ifndef RHUBARBTRAIL_FLEET_TABLE_FEED_H
#define RHUBARBTRAIL_FLEET_TABLE_FEED_H

#include "core/event_log.h"
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
};

struct TableFeedHandlers
{
  std::function<void(const platform::StoreRow&)> onRow; ///< A row is new or has changed.
  std::function<void(const std::string&)> onRemoved;    ///< The row with this key was removed.
  std::function<void()> onSynced;    ///< All changes in the store's last answer were delivered.
  std::function<void()> onStoreLost; ///< A call failed. Not repeated until the store has answered.
  /* The store has answered for the first time after onStoreLost. */
  std::function<void()> onStoreRecovered;
};

/* Reads the whole table once, then watches it for changes. When the store no longer keeps the
 * changes since the last known version, reads the whole table again and delivers the differences.
 * Thus no removal and no latest state is missed, and a row never goes back to an older version. */
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

  bool isSynced() const { return mIsSynced; }
  bool isStoreLost() const { return mIsStoreLost; }
  /* Returns the version up to which all changes have been delivered. */
  RowVersion version() const { return mVersion; }

private:
  void ReadPage(const std::string& aFirstKey);
  void OnPage(const StoreResult& aResult);
  void Watch();
  void OnChanges(const StoreResult& aResult);
  void ApplyRow(const platform::StoreRow& aRow);
  void OnFailure(const StoreResult& aResult);
  void OnStoreAnswer();
  void RunAfter(Duration aDelay, std::function<void()> aNext);

  boost::asio::steady_timer mTimer;
  StoreClient& mStore;
  EventLog& mLog;
  TableFeedOptions mOptions;
  TableFeedHandlers mHandlers;
  std::map<std::string, RowVersion> mRowVersions;  ///< Versions of the delivered rows, by key.
  std::map<std::string, RowVersion> mScanVersions; ///< Rows found so far by the current full read.
  RowVersion mVersion;          ///< All changes up to this version have been delivered.
  RowVersion mScanStartVersion; ///< Store version at the first page of the current full read.
  TimePoint mWatchStartedAt{};  ///< When the last watch was started.
  std::uint32_t mFailures = 0;  ///< Failed calls since the last answer.
  bool mIsSynced = false;
  bool mIsStoreLost = false;
  bool mIsStopped = false;
};

} // namespace rhubarbtrail

#endif

/* Follows one table of the platform's store. */
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
  Duration wait = 2'300ms; ///< How long the store may keep a call without changes.
  Duration interval{};     ///< Least time between two calls; changes meanwhile come together.
};

struct TableFeedHandlers
{
  std::function<void(const platform::StoreRow&)> onRow; ///< New or changed.
  std::function<void(const std::string&)> onRemoved;    ///< The key of a row that has gone.
  std::function<void()> onSynced;                       ///< All changes so far were handed over.
  std::function<void()> onLost;                         ///< The store does not answer.
  std::function<void()> onRegained;
};

/* Reads the table once, then waits for its changes. When the history is gone, reads it anew and
 * hands over the differences, so that nothing is missed and nothing goes back. */
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
  void SetInterval(Duration aInterval) { mOptions.interval = aInterval; }

  bool isSynced() const { return mIsSynced; }
  bool isLost() const { return mIsLost; }
  /* Returns when the store last answered. */
  RowVersion version() const { return mVersion; }

private:
  void ReadAll(const std::string& aFirstKey);
  void OnPage(const StoreResult& aResult);
  void Watch();
  void OnChanges(const StoreResult& aResult);
  void Take(const platform::StoreRow& aRow);
  void OnFailure(const StoreResult& aResult);
  void OnAnswer();
  void Later(Duration aTime, std::function<void()> aNext);

  boost::asio::steady_timer mTimer;
  StoreClient& mStore;
  EventLog& mLog;
  TableFeedOptions mOptions;
  TableFeedHandlers mHandlers;
  std::map<std::string, RowVersion> mVersions; ///< Of the rows handed over.
  std::map<std::string, RowVersion> mRead;     ///< Of the rows read so far, while reading anew.
  RowVersion mVersion;                         ///< Changes up to here are known.
  RowVersion mReadVersion;
  TimePoint mCalledAt{};
  std::uint32_t mFailures = 0;
  bool mIsSynced = false;
  bool mIsLost = false;
  bool mIsStopped = false;
};

} // namespace rhubarbtrail

#endif

/* Change feed of one table in the platform's row store. */
#include "fleet/table_feed.h"

#include "core/boot_clock.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Backoff after the first failed call, and its maximum. The maximum stays well below the 3 s within
 * which a daemon must be up to date again after the store has recovered. */
constexpr Duration kInitialBackoff = 100ms;
constexpr Duration kMaxBackoff = 500ms;

} // namespace

TableFeed::TableFeed(boost::asio::io_context& aContext,
                     StoreClient& aStore,
                     EventLog& aLog,
                     TableFeedOptions aOptions,
                     TableFeedHandlers aHandlers)
  : mTimer(aContext)
  , mStore(aStore)
  , mLog(aLog)
  , mOptions(std::move(aOptions))
  , mHandlers(std::move(aHandlers))
{
}

void TableFeed::Start()
{
  ReadPage({});
}

void TableFeed::Stop()
{
  mIsStopped = true;
  mTimer.cancel();
}

void TableFeed::RunAfter(Duration aDelay, std::function<void()> aNext)
{
  mTimer.expires_after(aDelay);
  mTimer.async_wait([this, next = std::move(aNext)](boost::system::error_code aError) {
    if (!aError && !mIsStopped) {
      next();
    }
  });
}

void TableFeed::ReadPage(const std::string& aFirstKey)
{
  if (aFirstKey.empty()) {
    mScanVersions.clear();
  }
  mStore.Read(mOptions.table, aFirstKey, [this](const StoreResult& aResult) {
    if (!mIsStopped) {
      OnPage(aResult);
    }
  });
}

void TableFeed::OnPage(const StoreResult& aResult)
{
  if (aResult.outcome != StoreOutcome::kDone) {
    OnFailure(aResult);
    return;
  }
  OnStoreAnswer();
  const auto& answer = aResult.answer;
  if (mScanVersions.empty()) {
    // The watch starts here, so it delivers the changes made while the other pages are read.
    mScanStartVersion = answer.newest;
  }
  for (const auto& row : answer.rows) {
    mScanVersions[row.key] = row.version;
    ApplyRow(row);
  }
  if (answer.isTruncated && !answer.rows.empty()) {
    // The next page starts behind the last key: at that key with a percent-encoded 0x01 appended.
    ReadPage(answer.rows.back().key + "%01");
    return;
  }
  std::vector<std::string> removed;
  for (const auto& [key, version] : mRowVersions) {
    if (!mScanVersions.contains(key)) {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed) {
    mRowVersions.erase(key);
    mHandlers.onRemoved(key);
  }
  mVersion = std::max(mVersion, mScanStartVersion);
  mScanVersions.clear();
  mIsSynced = true;
  mHandlers.onSynced();
  Watch();
}

void TableFeed::Watch()
{
  mWatchStartedAt = BootClockNow();
  mStore.Watch(mOptions.table, mVersion, mOptions.watchTimeout, [this](const StoreResult& aResult) {
    if (!mIsStopped) {
      OnChanges(aResult);
    }
  });
}

void TableFeed::OnChanges(const StoreResult& aResult)
{
  if (aResult.outcome == StoreOutcome::kHistoryGone) {
    mLog.Write("history_gone", { { "table", mOptions.table }, { "version", mVersion.value } });
    ReadPage({});
    return;
  }
  if (aResult.outcome != StoreOutcome::kDone) {
    OnFailure(aResult);
    return;
  }
  OnStoreAnswer();
  for (const auto& row : aResult.answer.rows) {
    ApplyRow(row);
    mVersion = std::max(mVersion, row.version);
  }
  mVersion = std::max(mVersion, aResult.answer.newest);
  mHandlers.onSynced();
  const Duration passed = BootClockNow() - mWatchStartedAt;
  if (passed < mOptions.minInterval) {
    RunAfter(mOptions.minInterval - passed, [this] { Watch(); });
  } else {
    Watch();
  }
}

void TableFeed::ApplyRow(const platform::StoreRow& aRow)
{
  if (aRow.isRemoved) {
    if (mRowVersions.erase(aRow.key) > 0) {
      mHandlers.onRemoved(aRow.key);
    }
    return;
  }
  RowVersion& known = mRowVersions[aRow.key];
  if (known.value != 0 && aRow.version <= known) {
    return; // This or a newer version of the row has been delivered already.
  }
  known = aRow.version;
  mHandlers.onRow(aRow);
}

void TableFeed::OnStoreAnswer()
{
  mFailures = 0;
  if (mIsStoreLost) {
    mIsStoreLost = false;
    mLog.Write("dependency_regained", { { "dependency", "store" }, { "table", mOptions.table } });
    mHandlers.onStoreRecovered();
  }
}

void TableFeed::OnFailure(const StoreResult& aResult)
{
  ++mFailures;
  if (!mIsStoreLost) {
    mIsStoreLost = true;
    mLog.Write("dependency_lost",
               { { "dependency", "store" },
                 { "table", mOptions.table },
                 { "reason", aResult.reason },
                 { "version", mVersion.value } });
    mHandlers.onStoreLost();
  }
  const auto doublings = std::min<std::uint32_t>(mFailures, 4) - 1;
  const Duration backoff = std::min(kInitialBackoff * (1 << doublings), kMaxBackoff);
  RunAfter(backoff, [this] {
    if (mIsSynced) {
      Watch();
    } else {
      ReadPage({});
    }
  });
}

} // namespace rhubarbtrail

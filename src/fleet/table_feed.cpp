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
/* Time without a call of its own after which a feed reads the whole table instead of watching from
 * its last version. The store need not keep older changes: operators state 20 s and less. */
constexpr Duration kMaxWatchGap = 12s;

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
  , mCoverage(mOptions.maxNoticeAge)
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
    mMustRead = false;
    mReadStartedAt = BootClockNow();
  }
  mStore.Read(mOptions.table, aFirstKey, [this, aFirstKey](const StoreResult& aResult) {
    if (!mIsStopped) {
      OnPage(aResult, aFirstKey);
    }
  });
}

void TableFeed::OnPage(const StoreResult& aResult, const std::string& aFirstKey)
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
    // The next page starts with the last row of this one. A key behind that one would have to be
    // longer, and the store limits the length of keys.
    const std::string& lastKey = answer.rows.back().key;
    if (lastKey == aFirstKey) {
      OnFailure({ .outcome = StoreOutcome::kUnknown,
                  .answer = {},
                  .reason = "a truncated page holds only its first row" });
    } else {
      ReadPage(lastKey);
    }
    return;
  }
  std::vector<std::string> removed;
  for (const auto& [key, version] : mRowVersions) {
    // A row that was relayed after the read is not missing.
    if (!mScanVersions.contains(key) && version <= mScanStartVersion) {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed) {
    RemoveRow({ .table = mOptions.table, .key = key, .version = mScanStartVersion });
  }
  mVersion = std::max(mVersion, mScanStartVersion);
  mCoverage.OnAnswer(mVersion);
  ForgetOldRemovals();
  mScanVersions.clear();
  mIsSynced = true;
  mHandlers.onSynced();
  ReportConfirmed(mReadStartedAt);
  WatchUnlessCovered();
}

void TableFeed::WatchUnlessCovered()
{
  const TimePoint now = BootClockNow();
  mIsCovered = !mMustRead && mCoverage.IsCovered(now);
  if (mIsCovered) {
    RunAfter(*mCoverage.coveredUntil() - now, [this] { WatchUnlessCovered(); });
  } else if (mMustRead || now - mAnsweredAt > kMaxWatchGap) {
    ReadPage({});
  } else {
    Watch();
  }
}

void TableFeed::OnNotice(const fleet::TableNotice& aNotice)
{
  mCoverage.OnNotice(BootClockNow(), aNotice);
  if (mIsCovered) {
    WatchUnlessCovered();
  }
}

void TableFeed::OnNoticesLost()
{
  mCoverage.OnNoticesLost();
  if (mIsCovered) {
    WatchUnlessCovered();
  }
}

void TableFeed::OnEra()
{
  mMustRead = true;
  mCoverage.OnNoticesLost();
  if (mIsCovered) {
    WatchUnlessCovered();
  }
}

void TableFeed::OnRelayedRows(RowVersion aFrom,
                              RowVersion aTo,
                              const std::vector<platform::StoreRow>& aRows)
{
  if (!mIsSynced) {
    return; // The full read that is in progress or due delivers these rows.
  }
  for (const auto& row : aRows) {
    ApplyRow(row);
  }
  mCoverage.OnRelayedChanges(aFrom, aTo);
  mHandlers.onSynced();
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
  if (aResult.isAnswerTooLarge) {
    // Load pattern: another writer changes many large rows. The changes after a version only grow,
    // while a read of the table comes in pages whose size the store limits.
    mLog.Write("changes_too_large", { { "table", mOptions.table }, { "version", mVersion.value } });
    mMustRead = true;
    RunAfter(kMaxBackoff, [this] { ReadPage({}); });
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
  mCoverage.OnAnswer(mVersion);
  ForgetOldRemovals();
  mHandlers.onSynced();
  if (platform::MayHaveMoreChanges(aResult.answer)) {
    // Load pattern: the dispatcher loses the store after a time in which runners changed often. A
    // runner's leaving may be behind hundreds of changes, and must not wait for the interval.
    Watch();
    return;
  }
  ReportConfirmed(mWatchStartedAt);
  const Duration passed = BootClockNow() - mWatchStartedAt;
  if (passed < mOptions.minInterval) {
    RunAfter(mOptions.minInterval - passed, [this] { WatchUnlessCovered(); });
  } else {
    WatchUnlessCovered();
  }
}

void TableFeed::ApplyRow(const platform::StoreRow& aRow)
{
  if (aRow.isRemoved) {
    RemoveRow(aRow);
    return;
  }
  const auto removed = mRemovedVersions.find(aRow.key);
  if (removed != mRemovedVersions.end() && aRow.version <= removed->second) {
    return; // The row was removed after this version of it.
  }
  RowVersion& known = mRowVersions[aRow.key];
  if (known.value != 0 && aRow.version <= known) {
    return; // This or a newer version of the row has been delivered already.
  }
  known = aRow.version;
  mHandlers.onRow(aRow);
}

void TableFeed::RemoveRow(const platform::StoreRow& aRow)
{
  const auto known = mRowVersions.find(aRow.key);
  const bool isVersionKnown = aRow.version.value != 0;
  if (known == mRowVersions.end() || (isVersionKnown && aRow.version < known->second)) {
    return;
  }
  mRowVersions.erase(known);
  mRemovedVersions[aRow.key] = aRow.version;
  platform::StoreRow row = aRow;
  row.isRemoved = true;
  mHandlers.onRemoved(row);
}

/* Calls follow one another, so no later answer can show a row before a removal that the store has
 * told of already. */
void TableFeed::ForgetOldRemovals()
{
  std::erase_if(mRemovedVersions, [this](const auto& aItem) { return aItem.second <= mVersion; });
}

void TableFeed::ReportConfirmed(TimePoint aCallStartedAt)
{
  if (mHandlers.onConfirmed) {
    mHandlers.onConfirmed(aCallStartedAt);
  }
}

void TableFeed::OnStoreAnswer()
{
  mFailures = 0;
  mAnsweredAt = BootClockNow();
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
    if (mIsSynced && !mMustRead) {
      Watch();
    } else {
      ReadPage({});
    }
  });
}

} // namespace rhubarbtrail

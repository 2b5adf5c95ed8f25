/* Client of the platform's row store. */
#ifndef RHUBARBTRAIL_FLEET_STORE_CLIENT_H
#define RHUBARBTRAIL_FLEET_STORE_CLIENT_H

#include "http/http_client.h"
#include "platform/store_codec.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rhubarbtrail {

enum class StoreOutcome : std::uint8_t
{
  kDone,
  kConflict,    ///< The row has another version than expected. Nothing was written.
  kHistoryGone, ///< The store no longer keeps the changes since the version given to Watch().
  kTooLarge,    ///< A row is larger than the store accepts. Nothing was written.
  kUnavailable, ///< Not connected, or another HTTP status. A write counts as not done.
  kUnknown,     ///< No complete or readable answer. A write may take effect, now or later.
};

std::string_view ToString(StoreOutcome aOutcome);

struct StoreResult
{
  StoreOutcome outcome = StoreOutcome::kUnavailable;
  platform::StoreAnswer answer; ///< Set with kDone and kConflict.
  std::string reason;           ///< HTTP status or error, for logs.
  /* Set with kUnknown: the answer was longer than is read. */
  bool isAnswerTooLarge = false;
};

/* Calls started, by kind, and calls that ended as kUnavailable or kUnknown. */
struct StoreCounts
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
};

/* Sends calls to the store and decodes the answers. Failed calls are not retried. */
class StoreClient
{
public:
  using Handler = std::function<void(StoreResult)>;

  /* aOnEra is called when the store's era has risen, before the answer that states it is handled.
   */
  StoreClient(http::Client& aClient, std::string aAddress, std::function<void(StoreEra)> aOnEra);

  void Write(const platform::StoreWrite& aWrite, Handler aHandler);
  void Read(const std::string& aTable, const std::string& aFirstKey, Handler aHandler);
  /* Waits for changes of a table after a version. The store answers when there are changes, or with
   * none after aWait. */
  void Watch(const std::string& aTable, RowVersion aAfter, Duration aWait, Handler aHandler);

  /* Takes an era that another daemon has learned. Answers of an earlier one count as lost. */
  void ObserveEra(StoreEra aEra);
  /* Returns the highest era known. */
  StoreEra era() const { return mEra; }
  /* Returns how many answers stated no readable era, or one before the highest known. */
  std::uint64_t undatedAnswers() const { return mUndatedAnswers; }
  std::uint64_t staleAnswers() const { return mStaleAnswers; }
  const StoreCounts& counts() const { return mCounts; }

private:
  void Start(http::Request aRequest, Duration aTimeout, Handler aHandler);

  http::Client& mClient;
  std::string mAddress;
  std::function<void(StoreEra)> mOnEra;
  StoreEra mEra;
  std::uint64_t mUndatedAnswers = 0;
  std::uint64_t mStaleAnswers = 0;
  StoreCounts mCounts;
};

} // namespace rhubarbtrail

#endif

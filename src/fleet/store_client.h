/* Calls to the platform's store of rows. */
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
  kConflict,    ///< A row has another version than expected; nothing was written.
  kHistoryGone, ///< The changes asked for are no longer known.
  kUnavailable, ///< Nothing was done.
  kUnknown,     ///< No answer: a write may take effect, now or later.
};

std::string_view ToString(StoreOutcome aOutcome);

struct StoreResult
{
  StoreOutcome outcome = StoreOutcome::kUnavailable;
  platform::StoreAnswer answer; ///< With kDone and kConflict.
  std::string reason;           ///< Of a failure, for logs.
};

struct StoreCounts
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
};

/* Makes calls and reads their answers; repeats nothing. */
class StoreClient
{
public:
  using Handler = std::function<void(StoreResult)>;

  StoreClient(http::Client& aClient, std::string aAddress);

  void Write(const platform::StoreWrite& aWrite, Handler aHandler);
  void Read(const std::string& aTable, const std::string& aFirstKey, Handler aHandler);
  /* Waits for changes of a table; the handler is called when there are some, or after aWait. */
  void Watch(const std::string& aTable, RowVersion aAfter, Duration aWait, Handler aHandler);

  const StoreCounts& counts() const { return mCounts; }

private:
  void Start(http::Request aRequest, Duration aLimit, Handler aHandler);

  http::Client& mClient;
  std::string mAddress;
  StoreCounts mCounts;
};

} // namespace rhubarbtrail

#endif

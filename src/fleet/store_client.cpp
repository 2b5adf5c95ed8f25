/* Client of the platform's row store. */
#include "fleet/store_client.h"

namespace rhubarbtrail {

namespace {

/* Time limit of a read or write: twice the time of a call while the store was at its slowest. */
constexpr Duration kCallTimeout = 900ms;
constexpr Duration kConnectTimeout = 600ms;
/* Time allowed for the answer to a watch beyond the requested waiting time. */
constexpr Duration kWatchMargin = 500ms;
/* Time limit of the body of an answer, beyond that of its head. */
constexpr Duration kBodyTimeout = 900ms;
/* Largest size of the body of an answer, in bytes: the rows of some ten thousand endpoints. */
constexpr std::uint64_t kMaxBodyBytes = 16U << 20U;

StoreOutcome OutcomeOf(unsigned aStatus)
{
  switch (aStatus) {
    case 200:
      return StoreOutcome::kDone;
    case 412:
      return StoreOutcome::kConflict;
    case 410:
      return StoreOutcome::kHistoryGone;
    case 413:
      return StoreOutcome::kTooLarge;
    default:
      return StoreOutcome::kUnavailable;
  }
}

} // namespace

std::string_view ToString(StoreOutcome aOutcome)
{
  switch (aOutcome) {
    case StoreOutcome::kDone:
      return "done";
    case StoreOutcome::kConflict:
      return "conflict";
    case StoreOutcome::kHistoryGone:
      return "history_gone";
    case StoreOutcome::kTooLarge:
      return "too_large";
    case StoreOutcome::kUnavailable:
      return "unavailable";
    case StoreOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

StoreClient::StoreClient(http::Client& aClient,
                         std::string aAddress,
                         std::function<void(StoreEra)> aOnEra)
  : mClient(aClient)
  , mAddress(std::move(aAddress))
  , mOnEra(std::move(aOnEra))
{
}

void StoreClient::ObserveEra(StoreEra aEra)
{
  if (aEra > mEra) {
    mEra = aEra;
    mOnEra(aEra);
  }
}

void StoreClient::Write(const platform::StoreWrite& aWrite, Handler aHandler)
{
  ++mCounts.writes;
  auto request = platform::EncodeWrite(aWrite);
  if (!request) {
    ++mCounts.failures;
    aHandler({ .outcome = StoreOutcome::kUnavailable, .answer = {}, .reason = request.error() });
    return;
  }
  Start(std::move(*request), kCallTimeout, std::move(aHandler));
}

void StoreClient::Read(const std::string& aTable, const std::string& aFirstKey, Handler aHandler)
{
  ++mCounts.reads;
  Start(platform::EncodeRead(aTable, aFirstKey), kCallTimeout, std::move(aHandler));
}

void StoreClient::Watch(const std::string& aTable,
                        RowVersion aAfter,
                        Duration aWait,
                        Handler aHandler)
{
  ++mCounts.watches;
  Start(platform::EncodeWatch(aTable, aAfter, aWait), aWait + kWatchMargin, std::move(aHandler));
}

void StoreClient::Start(http::Request aRequest, Duration aTimeout, Handler aHandler)
{
  struct Progress
  {
    unsigned status = 0;
    std::optional<StoreEra> era;
    std::string body;
  };
  auto progress = std::make_shared<Progress>();
  auto finish = [this, progress, handler = std::move(aHandler)](http::CallResult aResult) {
    StoreResult result;
    if (aResult != http::CallResult::kComplete) {
      ++mCounts.failures;
      result.outcome = aResult == http::CallResult::kNotConnected ? StoreOutcome::kUnavailable
                                                                  : StoreOutcome::kUnknown;
      result.reason = http::ToString(aResult);
      result.isAnswerTooLarge = aResult == http::CallResult::kTooLarge;
      handler(std::move(result));
      return;
    }
    mUndatedAnswers += progress->era ? 0 : 1;
    ObserveEra(progress->era.value_or(mEra));
    if (progress->era.value_or(mEra) < mEra) {
      // The store has lost rows since it sent this answer, so what it states need not hold.
      ++mStaleAnswers;
      ++mCounts.failures;
      result.outcome = StoreOutcome::kUnknown;
      result.reason = "answer of an earlier era";
      handler(std::move(result));
      return;
    }
    result.outcome = OutcomeOf(progress->status);
    result.reason = "status " + std::to_string(progress->status);
    if (result.outcome == StoreOutcome::kDone || result.outcome == StoreOutcome::kConflict) {
      auto answer = platform::DecodeStoreAnswer(progress->body, mEra);
      if (answer) {
        result.answer = std::move(*answer);
      } else {
        result.outcome = StoreOutcome::kUnknown;
        result.reason = answer.error();
      }
    }
    if (result.outcome == StoreOutcome::kUnavailable || result.outcome == StoreOutcome::kUnknown ||
        result.outcome == StoreOutcome::kTooLarge) {
      ++mCounts.failures;
    }
    handler(std::move(result));
  };
  mClient.Start({ .address = mAddress,
                  .request = std::move(aRequest),
                  .connectTimeout = kConnectTimeout,
                  .answerTimeout = aTimeout,
                  .bodyIdleTimeout = kCallTimeout,
                  .maxBodyBytes = kMaxBodyBytes,
                  .totalTimeout = aTimeout + kBodyTimeout },
                { .onHead =
                    [progress](const http::AnswerHead& aHead) {
                      progress->status = aHead.status;
                      progress->era = platform::DecodeStoreEra(aHead);
                      return true;
                    },
                  .onBody = [progress](std::string_view aBytes) { progress->body += aBytes; },
                  .onEnd = std::move(finish) });
}

} // namespace rhubarbtrail

/* Decides what a daemon tells the dispatcher about the slowness that runners state. */
#include "decision/fleet/slowness_reports.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtrail::fleet {

namespace {

/* Least ratio between a stated and an expected slowness, either way, that is worth a message. The
 * operators state 250 for slow hosts and 100 for the others. */
constexpr double kMaterialRatio = 1.3;
/* Age at which a statement that could not be sent is dropped. It says little about the present. */
constexpr Duration kMaxWaitingAge = 2s;
/* Age at which a report is forgotten. The dispatcher then expects the usual slowness again. */
constexpr Duration kReportRetention = 10s;

} // namespace

void SlownessReports::Record(TimePoint aNow, const SlownessStatement& aStatement, Slowness aUsual)
{
  const auto reported = mReported.find(aStatement.endpoint);
  const bool isKnown =
    reported != mReported.end() && reported->second.startedAtMs == aStatement.startedAtMs;
  const double expected = (isKnown ? reported->second.estimate.At(aNow, aUsual) : aUsual).factor;
  if (std::abs(std::log(aStatement.slowness.factor / expected)) >= std::log(kMaterialRatio)) {
    mWaiting[aStatement.endpoint] = { .statement = aStatement, .statedAt = aNow - aStatement.age };
  } else {
    mWaiting.erase(aStatement.endpoint);
  }
}

std::vector<SlownessStatement> SlownessReports::TakeDue(TimePoint aNow)
{
  std::vector<SlownessStatement> due;
  if (aNow < mNextAt || mWaiting.empty()) {
    return due;
  }
  mNextAt = aNow + kSlownessReportInterval;
  std::erase_if(mWaiting,
                [&](const auto& aItem) { return aNow - aItem.second.statedAt > kMaxWaitingAge; });
  std::erase_if(mReported, [&](const auto& aItem) {
    return aNow - aItem.second.estimate.statedAt() > kReportRetention;
  });
  while (!mWaiting.empty() && due.size() < kMaxSlownessPerMessage) {
    const Waiting waiting = mWaiting.begin()->second;
    mWaiting.erase(mWaiting.begin());
    Reported& reported = mReported[waiting.statement.endpoint];
    if (reported.startedAtMs != waiting.statement.startedAtMs) {
      reported = { .startedAtMs = waiting.statement.startedAtMs };
    }
    reported.estimate.RecordStated(waiting.statedAt, waiting.statement.slowness);
    due.push_back(waiting.statement);
    due.back().age = aNow - waiting.statedAt;
  }
  return due;
}

} // namespace rhubarbtrail::fleet

/* Joins crash reports into few messages. */
#include "fleet/report_queue.h"

#include <algorithm>

namespace rhubarbtrail {

bool ReportQueue::Add(ReportAudience aAudience, const std::string& aAddress, SuspectMessage aReport)
{
  auto found = std::find_if(mWaiting.begin(), mWaiting.end(), [&](const Waiting& aItem) {
    return aItem.batch.audience == aAudience && aItem.batch.address == aAddress;
  });
  if (found == mWaiting.end()) {
    found =
      mWaiting.insert(mWaiting.end(), { .batch = { .audience = aAudience, .address = aAddress } });
  }
  if (found->batch.reports.size() >= kMaxQueuedReports) {
    return false;
  }
  found->batch.reports.push_back(std::move(aReport));
  return true;
}

std::vector<ReportBatch> ReportQueue::TakeDue(TimePoint aNow)
{
  std::vector<ReportBatch> due;
  for (Waiting& waiting : mWaiting) {
    auto& reports = waiting.batch.reports;
    if (reports.empty() || aNow < waiting.dueAt) {
      continue;
    }
    waiting.dueAt = aNow + kReportInterval;
    const auto count = static_cast<std::ptrdiff_t>(std::min(reports.size(), kMaxReportsPerMessage));
    ReportBatch batch{ .audience = waiting.batch.audience, .address = waiting.batch.address };
    std::move(reports.begin(), reports.begin() + count, std::back_inserter(batch.reports));
    reports.erase(reports.begin(), reports.begin() + count);
    due.push_back(std::move(batch));
  }
  std::erase_if(mWaiting, [&](const Waiting& aItem) {
    return aItem.batch.reports.empty() && aNow >= aItem.dueAt;
  });
  return due;
}

} // namespace rhubarbtrail

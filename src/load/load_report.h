/* Reports of load runs: JSON documents that can be printed as a table and compared. */
#ifndef RHUBARBTRAIL_LOAD_LOAD_REPORT_H
#define RHUBARBTRAIL_LOAD_LOAD_REPORT_H

#include "load/scenario.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace rhubarbtrail {

/* The result of one request. Times count from the planned start, so they include the delay of a
 * request that was sent late. */
struct RequestOutcome
{
  std::size_t group = 0;       ///< Index in Scenario::groups.
  int status = 0;              ///< HTTP status, 0 if no complete answer was received.
  double firstByteSeconds = 0; ///< Until the first byte of the body, 0 if none was received.
  double totalSeconds = 0;     ///< Until the end of the answer.
};

/* Counts the requests of each group by status and computes latency percentiles. The percentiles
 * cover the requests with status 200 only. */
nlohmann::json MakeReport(const Scenario& aScenario, const std::vector<RequestOutcome>& aOutcomes);

/* Formats a report as a table with one row per group. */
std::string FormatReport(const nlohmann::json& aReport);

/* Formats a table that shows the latencies of two reports side by side, for the groups that both
 * contain. */
std::string CompareReports(const nlohmann::json& aFirst, const nlohmann::json& aSecond);

} // namespace rhubarbtrail

#endif

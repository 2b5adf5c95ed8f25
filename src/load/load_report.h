/* What a load run measured: one JSON document, printed as a table and compared with another. */
#ifndef RHUBARBTRAIL_LOAD_LOAD_REPORT_H
#define RHUBARBTRAIL_LOAD_LOAD_REPORT_H

#include "load/scenario.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace rhubarbtrail {

/* The outcome of one request; times count from the intended start. */
struct RequestOutcome
{
  std::size_t group = 0;
  int status = 0; ///< HTTP status, 0 when no whole answer came.
  double firstByteSeconds = 0;
  double seconds = 0;
};

nlohmann::json MakeReport(const Scenario& aScenario, const std::vector<RequestOutcome>& aOutcomes);
std::string FormatReport(const nlohmann::json& aReport);

/* Puts the groups that two reports share side by side. */
std::string CompareReports(const nlohmann::json& aFirst, const nlohmann::json& aSecond);

} // namespace rhubarbtrail

#endif

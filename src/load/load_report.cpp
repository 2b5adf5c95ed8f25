/* Computes the latency percentiles of load runs, and formats and compares reports. */
#include "load/load_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>

namespace rhubarbtrail {

namespace {

using nlohmann::json;

constexpr std::array kLatencyFields{ "first_byte_min_s",
                                     "first_byte_p99_s",
                                     "p50_s",
                                     "p95_s",
                                     "p99_s" };

/* Returns a percentile by the nearest-rank method, or 0 if there are no values. aFraction is a
 * fraction from 0, which gives the minimum, to 1. */
double Percentile(const std::vector<double>& aSorted, double aFraction)
{
  if (aSorted.empty()) {
    return 0;
  }
  const double rank = std::ceil(aFraction * static_cast<double>(aSorted.size()));
  return aSorted[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

json MakeGroupReport(const LoadGroup& aGroup, const std::vector<const RequestOutcome*>& aOutcomes)
{
  std::vector<double> totalTimes;
  std::vector<double> firstByteTimes;
  std::map<std::string, std::uint64_t> statuses;
  for (const RequestOutcome* outcome : aOutcomes) {
    ++statuses[std::to_string(outcome->status)];
    if (outcome->status == 200) {
      totalTimes.push_back(outcome->totalSeconds);
      firstByteTimes.push_back(outcome->firstByteSeconds);
    }
  }
  std::sort(totalTimes.begin(), totalTimes.end());
  std::sort(firstByteTimes.begin(), firstByteTimes.end());
  return { { "name", aGroup.name },
           { "requests", aOutcomes.size() },
           { "statuses", statuses },
           { "first_byte_min_s", Percentile(firstByteTimes, 0) },
           { "first_byte_p99_s", Percentile(firstByteTimes, 0.99) },
           { "p50_s", Percentile(totalTimes, 0.50) },
           { "p95_s", Percentile(totalTimes, 0.95) },
           { "p99_s", Percentile(totalTimes, 0.99) } };
}

/* Formats a text as printf() does. Longer texts are cut to 255 characters. */
template<typename... Values>
std::string FormatText(const char* aFormat, Values... aValues)
{
  std::array<char, 256> line{};
  const int length = std::snprintf(line.data(), line.size(), aFormat, aValues...);
  return { line.data(), static_cast<std::size_t>(std::clamp(length, 0, 255)) };
}

} // namespace

json MakeReport(const Scenario& aScenario, const std::vector<RequestOutcome>& aOutcomes)
{
  json groups = json::array();
  for (std::size_t index = 0; index < aScenario.groups.size(); ++index) {
    std::vector<const RequestOutcome*> outcomes;
    for (const RequestOutcome& outcome : aOutcomes) {
      if (outcome.group == index) {
        outcomes.push_back(&outcome);
      }
    }
    groups.push_back(MakeGroupReport(aScenario.groups[index], outcomes));
  }
  return { { "scenario", aScenario.name }, { "seed", aScenario.seed }, { "groups", groups } };
}

std::string FormatReport(const json& aReport)
{
  std::string text =
    FormatText("scenario %s, seed %llu\n",
               aReport.at("scenario").get<std::string>().c_str(),
               static_cast<unsigned long long>(aReport.at("seed").get<std::uint64_t>()));
  text += FormatText("%-16s %8s", "group", "requests");
  for (const char* field : kLatencyFields) {
    text += FormatText(" %16s", field);
  }
  text += "  statuses\n";
  for (const json& group : aReport.at("groups")) {
    text += FormatText("%-16s %8llu",
                       group.at("name").get<std::string>().c_str(),
                       static_cast<unsigned long long>(group.at("requests").get<std::uint64_t>()));
    for (const char* field : kLatencyFields) {
      text += FormatText(" %16.3f", group.at(field).get<double>());
    }
    text += "  " + group.at("statuses").dump() + "\n";
  }
  return text;
}

std::string CompareReports(const json& aFirst, const json& aSecond)
{
  std::string text =
    FormatText("%-16s %-18s %10s %10s %8s\n", "group", "figure", "A", "B", "B / A");
  for (const json& first : aFirst.at("groups")) {
    for (const json& second : aSecond.at("groups")) {
      if (first.at("name") != second.at("name")) {
        continue;
      }
      for (const char* field : kLatencyFields) {
        const double left = first.at(field).get<double>();
        const double right = second.at(field).get<double>();
        text += FormatText("%-16s %-18s %10.3f %10.3f %8.2f\n",
                           first.at("name").get<std::string>().c_str(),
                           field,
                           left,
                           right,
                           left > 0 ? right / left : 0.0);
      }
    }
  }
  return text;
}

} // namespace rhubarbtrail

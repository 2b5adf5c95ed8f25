/* Load scenarios: parsing, request plans that depend only on the seed, and reports of the outcomes.
 */
#include "load/load_report.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

using namespace rhubarbtrail;

TEST_CASE("a scenario needs a name and groups with models and a burst, or a rate with an end")
{
  struct Case
  {
    const char* text;
    bool isValid;
  };
  const std::vector<Case> cases{
    { "{name: n, groups: [{name: g, key: k, models: [m], burst: 2}]}", true },
    { "{name: n, groups: [{name: g, key: k, models: [m], rate: 2, end: 5}]}", true },
    { "{name: n, groups: [{name: g, key: k, models: [m], rate: 2}]}", false },
    { "{name: n, groups: [{name: g, key: k, models: [m]}]}", false },
    { "{name: n, groups: [{name: g, key: k, models: [], burst: 1}]}", false },
    { "{groups: []}", false },
    { "]", false },
  };
  for (const Case& item : cases) {
    CAPTURE(item.text);
    CHECK(ParseScenario(item.text).has_value() == item.isValid);
  }
}

TEST_CASE("the same seed gives the same plan, and another seed a different one")
{
  auto scenario = ParseScenario("{name: n, seed: 5, groups: ["
                                "{name: b, key: k, models: [m], burst: 3, start: 2},"
                                "{name: r, key: k, models: [m, o], rate: 20, end: 10}]}");
  REQUIRE(scenario);
  const auto plan = PlanRequests(*scenario, 4);
  const auto repeatedPlan = PlanRequests(*scenario, 4);
  REQUIRE(plan.size() == repeatedPlan.size());
  for (std::size_t i = 0; i < plan.size(); ++i) {
    CHECK(plan[i].plannedStart == repeatedPlan[i].plannedStart);
    CHECK(plan[i].model == repeatedPlan[i].model);
    CHECK((i == 0 || plan[i - 1].plannedStart <= plan[i].plannedStart));
  }
  const auto burstRequests = std::count_if(
    plan.begin(), plan.end(), [](const PlannedRequest& aRequest) { return aRequest.group == 0; });
  CHECK(burstRequests == 12);
  scenario->seed = 6;
  CHECK(PlanRequests(*scenario, 4).back().plannedStart != plan.back().plannedStart);
}

TEST_CASE("a report counts each status and takes latencies only from successful requests")
{
  const Scenario scenario{ .name = "n", .groups = { { .name = "g", .key = {}, .models = {} } } };
  const std::vector<RequestOutcome> outcomes{
    { 0, 200, 0.1, 1.0 }, { 0, 200, 0.2, 2.0 }, { 0, 503, 0.1, 9.0 }, { 0, 0, 0.0, 9.0 }
  };
  const nlohmann::json report = MakeReport(scenario, outcomes);
  const nlohmann::json& group = report.at("groups").at(0);
  CHECK(group.at("requests") == 4);
  CHECK(group.at("statuses").at("200") == 2);
  CHECK(group.at("statuses").at("503") == 1);
  CHECK(group.at("p50_s") == 1.0);
  CHECK(group.at("p99_s") == 2.0);
  CHECK(group.at("first_byte_min_s") == 0.1);
  CHECK(CompareReports(report, report).find("1.00") != std::string::npos);
}

/* Load scenarios: groups of callers and the requests that they send. */
#ifndef RHUBARBTRAIL_LOAD_SCENARIO_H
#define RHUBARBTRAIL_LOAD_SCENARIO_H

#include "core/unit_type.h"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace rhubarbtrail {

/* Callers with the same behaviour: they send a burst to each daemon, requests at a steady rate that
 * are spread over all daemons, or both. */
struct LoadGroup
{
  std::string name;
  std::string key;                 ///< API key of the customer.
  std::vector<std::string> models; ///< Chosen at random for each request.
  /* Number of requests that are sent to each daemon at the start. */
  std::uint32_t burstSize = 0;
  /* Mean rate of the requests to all daemons together, at random intervals. */
  double requestsPerSecond = 0;
  /* Start of the burst and of the steady rate, relative to the start of the run. */
  double startSeconds = 0;
  /* End of the steady rate, relative to the start of the run. */
  double endSeconds = 0;
  std::uint32_t maxTokens = 8; ///< Limit of the tokens in each answer.
  bool isStreaming = false;    ///< Answers are requested as streams of events.
};

struct Scenario
{
  std::string name;
  std::uint64_t seed = 1;
  std::vector<LoadGroup> groups;
};

/* One request of a scenario. */
struct PlannedRequest
{
  Duration plannedStart{}; ///< Relative to the start of the run.
  std::size_t group = 0;   ///< Index in Scenario::groups.
  std::size_t daemon = 0;  ///< Index of the daemon that gets the request.
  std::string model;
};

/* Parses a scenario from YAML text. The error says what is wrong with it. */
tl::expected<Scenario, std::string> ParseScenario(const std::string& aText);

/* Plans all requests for a number of daemons, ordered by start time. The same scenario and seed
 * give the same plan. */
std::vector<PlannedRequest> PlanRequests(const Scenario& aScenario, std::size_t aDaemonCount);

} // namespace rhubarbtrail

#endif

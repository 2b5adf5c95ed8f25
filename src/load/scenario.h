/* A load scenario: groups of callers, and the requests that they send at given times. */
#ifndef RHUBARBTRAIL_LOAD_SCENARIO_H
#define RHUBARBTRAIL_LOAD_SCENARIO_H

#include "core/unit_type.h"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace rhubarbtrail {

/* Callers that send alike: a burst at each daemon, or a steady rate over all daemons. */
struct LoadGroup
{
  std::string name;
  std::string key;                 ///< API key of the customer.
  std::vector<std::string> models; ///< Chosen at random for each request.
  std::uint32_t burst = 0;         ///< Requests at each daemon at the start.
  double rate = 0;                 ///< Requests a second, at random distances.
  double start = 0;                ///< Seconds from the beginning.
  double end = 0;                  ///< Of the steady rate, in seconds from the beginning.
  std::uint32_t tokens = 8;
  bool stream = false;
};

struct Scenario
{
  std::string name;
  std::uint64_t seed = 1;
  std::vector<LoadGroup> groups;
};

/* One request, at its intended time. */
struct PlannedRequest
{
  Duration at{};
  std::size_t group = 0;
  std::size_t daemon = 0;
  std::string model;
};

/* Reads a scenario from YAML text; the error says what is wrong. */
tl::expected<Scenario, std::string> ParseScenario(const std::string& aText);

/* Plans all requests in order of time; the same seed gives the same plan. */
std::vector<PlannedRequest> PlanRequests(const Scenario& aScenario, std::size_t aDaemons);

} // namespace rhubarbtrail

#endif

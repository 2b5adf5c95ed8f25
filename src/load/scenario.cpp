/* Parses scenarios from YAML and plans their requests. */
#include "load/scenario.h"

#include <algorithm>
#include <random>
#include <yaml-cpp/yaml.h>

namespace rhubarbtrail {

namespace {

LoadGroup ReadGroup(const YAML::Node& aNode)
{
  LoadGroup group;
  group.name = aNode["name"].as<std::string>();
  group.key = aNode["key"].as<std::string>();
  group.models = aNode["models"].as<std::vector<std::string>>();
  group.burstSize = aNode["burst"].as<std::uint32_t>(0);
  group.requestsPerSecond = aNode["rate"].as<double>(0.0);
  group.startSeconds = aNode["start"].as<double>(0.0);
  group.endSeconds = aNode["end"].as<double>(group.startSeconds);
  group.maxTokens = aNode["tokens"].as<std::uint32_t>(group.maxTokens);
  group.isStreaming = aNode["stream"].as<bool>(false);
  return group;
}

/* Returns what is wrong with a group, or an empty text if it is valid. */
std::string FindError(const LoadGroup& aGroup)
{
  if (aGroup.models.empty()) {
    return "group " + aGroup.name + " has no models";
  }
  if (aGroup.burstSize == 0 && aGroup.requestsPerSecond <= 0) {
    return "group " + aGroup.name + " has neither a burst nor a rate";
  }
  if (aGroup.requestsPerSecond > 0 && aGroup.endSeconds <= aGroup.startSeconds) {
    return "group " + aGroup.name + " ends before it starts";
  }
  return {};
}

Duration ToDuration(double aSeconds)
{
  return Duration{ static_cast<Duration::rep>(aSeconds * 1e6) };
}

} // namespace

tl::expected<Scenario, std::string> ParseScenario(const std::string& aText)
{
  Scenario scenario;
  try {
    const YAML::Node root = YAML::Load(aText);
    scenario.name = root["name"].as<std::string>();
    scenario.seed = root["seed"].as<std::uint64_t>(scenario.seed);
    for (const YAML::Node& node : root["groups"]) {
      scenario.groups.push_back(ReadGroup(node));
    }
  } catch (const YAML::Exception& error) {
    return tl::make_unexpected(std::string{ error.what() });
  }
  for (const LoadGroup& group : scenario.groups) {
    if (std::string error = FindError(group); !error.empty()) {
      return tl::make_unexpected(std::move(error));
    }
  }
  return scenario;
}

std::vector<PlannedRequest> PlanRequests(const Scenario& aScenario, std::size_t aDaemonCount)
{
  std::mt19937_64 random(aScenario.seed);
  std::vector<PlannedRequest> plan;
  for (std::size_t index = 0; index < aScenario.groups.size(); ++index) {
    const LoadGroup& group = aScenario.groups[index];
    const auto addRequest = [&](double aStartSeconds, std::size_t aDaemon) {
      plan.push_back({ .plannedStart = ToDuration(aStartSeconds),
                       .group = index,
                       .daemon = aDaemon,
                       .model = group.models[random() % group.models.size()] });
    };
    for (std::size_t daemon = 0; daemon < aDaemonCount; ++daemon) {
      for (std::uint32_t i = 0; i < group.burstSize; ++i) {
        addRequest(group.startSeconds, daemon);
      }
    }
    if (group.requestsPerSecond <= 0) {
      continue;
    }
    std::exponential_distribution<double> interval(group.requestsPerSecond);
    for (double startSeconds = group.startSeconds + interval(random);
         startSeconds < group.endSeconds;
         startSeconds += interval(random)) {
      addRequest(startSeconds, random() % aDaemonCount);
    }
  }
  std::stable_sort(
    plan.begin(), plan.end(), [](const PlannedRequest& aLeft, const PlannedRequest& aRight) {
      return aLeft.plannedStart < aRight.plannedStart;
    });
  return plan;
}

} // namespace rhubarbtrail

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
  group.burst = aNode["burst"].as<std::uint32_t>(0);
  group.rate = aNode["rate"].as<double>(0.0);
  group.start = aNode["start"].as<double>(0.0);
  group.end = aNode["end"].as<double>(group.start);
  group.tokens = aNode["tokens"].as<std::uint32_t>(group.tokens);
  group.stream = aNode["stream"].as<bool>(false);
  return group;
}

/* Returns what is wrong with a group, or an empty text if it is valid. */
std::string FaultOf(const LoadGroup& aGroup)
{
  if (aGroup.models.empty()) {
    return "group " + aGroup.name + " has no models";
  }
  if (aGroup.burst == 0 && aGroup.rate <= 0) {
    return "group " + aGroup.name + " has neither a burst nor a rate";
  }
  if (aGroup.rate > 0 && aGroup.end <= aGroup.start) {
    return "group " + aGroup.name + " ends before it starts";
  }
  return {};
}

Duration Seconds(double aSeconds)
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
    if (std::string fault = FaultOf(group); !fault.empty()) {
      return tl::make_unexpected(std::move(fault));
    }
  }
  return scenario;
}

std::vector<PlannedRequest> PlanRequests(const Scenario& aScenario, std::size_t aDaemons)
{
  std::mt19937_64 random(aScenario.seed);
  std::vector<PlannedRequest> plan;
  for (std::size_t index = 0; index < aScenario.groups.size(); ++index) {
    const LoadGroup& group = aScenario.groups[index];
    const auto add = [&](double aAt, std::size_t aDaemon) {
      plan.push_back({ .at = Seconds(aAt),
                       .group = index,
                       .daemon = aDaemon,
                       .model = group.models[random() % group.models.size()] });
    };
    for (std::size_t daemon = 0; daemon < aDaemons; ++daemon) {
      for (std::uint32_t i = 0; i < group.burst; ++i) {
        add(group.start, daemon);
      }
    }
    if (group.rate <= 0) {
      continue;
    }
    std::exponential_distribution<double> distance(group.rate);
    for (double at = group.start + distance(random); at < group.end; at += distance(random)) {
      add(at, random() % aDaemons);
    }
  }
  std::stable_sort(
    plan.begin(), plan.end(), [](const PlannedRequest& aLeft, const PlannedRequest& aRight) {
      return aLeft.at < aRight.at;
    });
  return plan;
}

} // namespace rhubarbtrail

/* Compares keep-alive policies of the decision library in simulations with generated arrivals and
 * virtual time. Prints a table of medians over the seeds, and writes all runs to a JSON file if one
 * is given. */
#include "bench/simulated_cell.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <numeric>
#include <thread>

namespace {

using namespace rhubarbtrail;
using namespace rhubarbtrail::bench;
using nlohmann::json;

/* A policy to compare, and whether the runners report their checkpoints. */
struct Candidate
{
  std::string name;
  KeepAlivePolicy policy;
  CheckpointReport report = CheckpointReport::kListed;
};

/* One simulation: its parameters and, once it has run, its result. */
struct Run
{
  std::string deployment;
  std::string policy;
  std::uint64_t seed = 0;
  Candidate candidate;
  RunResult result;
};

/* Returns the value at the share aShare of the sorted values, with the rank rounded down. Returns 0
 * if there are no values. */
double Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + static_cast<long>(rank), aValues.end());
  return aValues[rank];
}

json ToJson(const Run& aRun)
{
  const RunResult& result = aRun.result;
  json refusals = json::object();
  for (const auto& [code, count] : result.refusals) {
    refusals[std::to_string(static_cast<int>(code))] = count;
  }
  return { { "deployment", aRun.deployment },
           { "policy", aRun.policy },
           { "seed", aRun.seed },
           { "p50_s", Percentile(result.wakeUpWaitSeconds, 0.50) },
           { "p95_s", Percentile(result.wakeUpWaitSeconds, 0.95) },
           { "p99_s", Percentile(result.wakeUpWaitSeconds, 0.99) },
           { "idle_hours", result.idleAcceleratorHours },
           { "wake_ups", result.wakeUpWaitSeconds.size() },
           { "cold", result.coldWakeUps },
           { "requests", result.requests },
           { "loads", result.loads },
           { "store_loads", result.storeLoads },
           { "wasted", result.wastedLoads },
           { "refused",
             std::accumulate(result.refusals.begin(),
                             result.refusals.end(),
                             std::uint64_t{ 0 },
                             [](auto aSum, const auto& aItem) { return aSum + aItem.second; }) },
           { "refusals", refusals } };
}

double Median(const std::vector<json>& aRuns, const char* aField)
{
  std::vector<double> values;
  for (const json& run : aRuns) {
    values.push_back(run.at(aField).get<double>());
  }
  return Percentile(values, 0.5);
}

/* Prints a line for each deployment and policy, with the medians over the seeds. */
void PrintTable(const std::vector<json>& aRuns)
{
  std::map<std::pair<std::string, std::string>, std::vector<json>> groups;
  for (const json& run : aRuns) {
    groups[{ run.at("deployment"), run.at("policy") }].push_back(run);
  }
  std::printf("%-12s %-18s %7s %7s %7s %8s %6s %6s %7s %7s %7s %7s\n",
              "deployment",
              "policy",
              "p50 s",
              "p95 s",
              "p99 s",
              "idle h",
              "wakes",
              "cold",
              "loads",
              "wasted",
              "store",
              "refused");
  for (const auto& [key, runs] : groups) {
    std::printf("%-12s %-18s %7.2f %7.2f %7.2f %8.2f %6.0f %6.0f %7.0f %7.0f %7.0f %7.0f\n",
                key.first.c_str(),
                key.second.c_str(),
                Median(runs, "p50_s"),
                Median(runs, "p95_s"),
                Median(runs, "p99_s"),
                Median(runs, "idle_hours"),
                Median(runs, "wake_ups"),
                Median(runs, "cold"),
                Median(runs, "loads"),
                Median(runs, "wasted"),
                Median(runs, "store_loads"),
                Median(runs, "refused"));
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  CLI::App app{ "Compares keep-alive policies in simulations with generated arrivals." };
  std::vector<std::uint64_t> seeds{ 1, 2, 3 };
  double hours = 24;
  double warmUpHours = 4;
  unsigned threads = 2;
  std::vector<double> coldStartWeights{ 0.02, 0.05, 0.1, 0.2, 0.5, 1.0 };
  std::string jsonFile;
  app.add_option(
    "--seeds", seeds, "Seeds of the arrivals; one run of each policy and deployment per seed.");
  app.add_option("--hours", hours, "Simulated hours of each run, including the warm-up.");
  app.add_option(
    "--warm-up-hours", warmUpHours, "Hours at the start of each run that are not counted.");
  app.add_option("--threads", threads, "Number of runs at the same time.");
  app.add_option(
    "--weights", coldStartWeights, "Cold-start weights with which the cost-aware policy is run.");
  app.add_option("--json", jsonFile, "File to which all runs are written as JSON.");
  CLI11_PARSE(app, aArgc, aArgv);

  std::vector<Candidate> candidates{ { "baseline", FixedKeepAlive{}, CheckpointReport::kNone },
                                     { "fixed 60 s", FixedKeepAlive{} },
                                     { "histogram p90", HistogramKeepAlive{} } };
  for (const double weight : coldStartWeights) {
    char name[32];
    std::snprintf(name, sizeof name, "cost-aware %g", weight);
    candidates.push_back({ name, CostAwareKeepAlive{ weight } });
  }
  std::vector<Run> runs;
  for (const char* deployment : { "nominas", "lanna-wings" }) {
    for (const Candidate& candidate : candidates) {
      for (const std::uint64_t seed : seeds) {
        runs.push_back({ deployment, candidate.name, seed, candidate, {} });
      }
    }
  }
  const auto length =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(hours * 3'600));
  const auto warmUp =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(warmUpHours * 3'600));
  std::atomic<std::size_t> nextRun = 0;
  const auto runSimulations = [&] {
    for (std::size_t i = nextRun++; i < runs.size(); i = nextRun++) {
      Run& run = runs[i];
      const Deployment deployment = run.deployment == "nominas"
                                      ? NominasDeployment(run.candidate.policy)
                                      : LannaWingsDeployment(run.candidate.policy);
      const auto arrivals = GenerateArrivals(deployment, run.seed, length);
      run.result = SimulatedCell(deployment, warmUp, run.candidate.report).Run(arrivals, length);
    }
  };
  {
    std::vector<std::jthread> workers;
    for (unsigned i = 0; i < threads; ++i) {
      workers.emplace_back(runSimulations);
    }
  }
  std::vector<json> results;
  std::printf("seeds:");
  for (const std::uint64_t seed : seeds) {
    std::printf(" %lu", static_cast<unsigned long>(seed));
  }
  std::printf("; %g h each, the first %g h not counted; medians\n", hours, warmUpHours);
  std::transform(runs.begin(), runs.end(), std::back_inserter(results), ToJson);
  PrintTable(results);
  if (!jsonFile.empty()) {
    std::ofstream(jsonFile) << json(results).dump(1) << '\n';
  }
  return 0;
}

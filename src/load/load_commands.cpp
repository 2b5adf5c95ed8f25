/* The command-line subcommand `load`, the load generator. */
#include "load/load_commands.h"

#include "load/load_run.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace rhubarbtrail {

namespace {

constexpr int kExitBadInput = 2;

/* Reads a whole file. Returns an empty text if it cannot be opened. */
std::string ReadFile(const std::string& aFile)
{
  std::ifstream file(aFile);
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

void LoadCommands::AddTo(CLI::App& aApp)
{
  mLoadCommand = aApp.add_subcommand("load", "Send the requests of a scenario to daemons.");
  mLoadCommand->add_option("--scenario", mScenarioFile, "Scenario file (YAML).");
  mLoadCommand->add_option(
    "--daemon", mDaemonAddresses, "host:port of a daemon's caller API; repeatable.");
  mLoadCommand->add_option("--out", mReportFile, "File for the report as JSON.");
  mCompareCommand = mLoadCommand->add_subcommand("compare", "Put two reports side by side.");
  mCompareCommand->add_option("first", mFirstReport, "Report A.")->required();
  mCompareCommand->add_option("second", mSecondReport, "Report B.")->required();
}

bool LoadCommands::IsParsed() const
{
  return mLoadCommand->parsed();
}

int LoadCommands::Run() const
{
  return mCompareCommand->parsed() ? Compare() : RunLoad();
}

int LoadCommands::RunLoad() const
{
  const auto scenario = ParseScenario(ReadFile(mScenarioFile));
  if (!scenario || mDaemonAddresses.empty()) {
    const std::string reason = scenario ? "no --daemon was given" : scenario.error();
    std::fprintf(stderr, "%s: %s\n", mScenarioFile.c_str(), reason.c_str());
    return kExitBadInput;
  }
  std::fprintf(stderr, "seed %llu\n", static_cast<unsigned long long>(scenario->seed));
  const nlohmann::json report = MakeReport(*scenario, RunScenario(*scenario, mDaemonAddresses));
  std::fputs(FormatReport(report).c_str(), stdout);
  if (!mReportFile.empty()) {
    std::ofstream(mReportFile) << report.dump(1) << '\n';
  }
  return 0;
}

int LoadCommands::Compare() const
{
  const auto first = nlohmann::json::parse(ReadFile(mFirstReport), nullptr, false);
  const auto second = nlohmann::json::parse(ReadFile(mSecondReport), nullptr, false);
  if (first.is_discarded() || second.is_discarded()) {
    std::fputs("A report cannot be read.\n", stderr);
    return kExitBadInput;
  }
  std::fputs(CompareReports(first, second).c_str(), stdout);
  return 0;
}

} // namespace rhubarbtrail

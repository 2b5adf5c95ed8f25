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

void LoadCommands::Add(CLI::App& aApp)
{
  mLoad = aApp.add_subcommand("load", "Send the requests of a scenario to daemons.");
  mLoad->add_option("--scenario", mScenario, "Scenario file (YAML).");
  mLoad->add_option("--daemon", mDaemons, "host:port of a daemon's caller API; repeatable.");
  mLoad->add_option("--out", mOut, "File for the report as JSON.");
  mCompare = mLoad->add_subcommand("compare", "Put two reports side by side.");
  mCompare->add_option("first", mFirst, "Report A.")->required();
  mCompare->add_option("second", mSecond, "Report B.")->required();
}

bool LoadCommands::IsParsed() const
{
  return mLoad->parsed();
}

int LoadCommands::Run() const
{
  return mCompare->parsed() ? Compare() : RunLoad();
}

int LoadCommands::RunLoad() const
{
  const auto scenario = ParseScenario(ReadFile(mScenario));
  if (!scenario || mDaemons.empty()) {
    const std::string reason = scenario ? "no --daemon was given" : scenario.error();
    std::fprintf(stderr, "%s: %s\n", mScenario.c_str(), reason.c_str());
    return kExitBadInput;
  }
  std::fprintf(stderr, "seed %llu\n", static_cast<unsigned long long>(scenario->seed));
  const nlohmann::json report = MakeReport(*scenario, RunScenario(*scenario, mDaemons));
  std::fputs(FormatReport(report).c_str(), stdout);
  if (!mOut.empty()) {
    std::ofstream(mOut) << report.dump(1) << '\n';
  }
  return 0;
}

int LoadCommands::Compare() const
{
  const auto first = nlohmann::json::parse(ReadFile(mFirst), nullptr, false);
  const auto second = nlohmann::json::parse(ReadFile(mSecond), nullptr, false);
  if (first.is_discarded() || second.is_discarded()) {
    std::fputs("A report cannot be read.\n", stderr);
    return kExitBadInput;
  }
  std::fputs(CompareReports(first, second).c_str(), stdout);
  return 0;
}

} // namespace rhubarbtrail

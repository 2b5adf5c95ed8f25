/* The command-line subcommand `load`, the load generator. */
#ifndef RHUBARBTRAIL_LOAD_LOAD_COMMANDS_H
#define RHUBARBTRAIL_LOAD_LOAD_COMMANDS_H

#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace rhubarbtrail {

/* Declares `load` and its subcommand `load compare`, holds their options and runs them. */
class LoadCommands
{
public:
  /* Adds the subcommands to the command line. */
  void AddTo(CLI::App& aApp);

  /* Returns whether the command line contains `load`. */
  bool IsParsed() const;

  /* Runs the parsed subcommand and returns its exit code. */
  int Run() const;

private:
  int RunLoad() const;
  int Compare() const;

  CLI::App* mLoadCommand = nullptr;
  CLI::App* mCompareCommand = nullptr;
  std::string mScenarioFile;
  std::vector<std::string> mDaemonAddresses;
  std::string mReportFile;
  std::string mFirstReport;
  std::string mSecondReport;
};

} // namespace rhubarbtrail

#endif

/* The subcommand `load` of the command line. */
#ifndef RHUBARBTRAIL_LOAD_LOAD_COMMANDS_H
#define RHUBARBTRAIL_LOAD_LOAD_COMMANDS_H

#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace rhubarbtrail {

class LoadCommands
{
public:
  /* Declares the subcommands. */
  void Add(CLI::App& aApp);

  bool IsParsed() const;

  /* Runs the subcommand that was parsed; returns the exit code. */
  int Run() const;

private:
  int RunLoad() const;
  int Compare() const;

  CLI::App* mLoad = nullptr;
  CLI::App* mCompare = nullptr;
  std::string mScenario;
  std::vector<std::string> mDaemons;
  std::string mOut;
  std::string mFirst;
  std::string mSecond;
};

} // namespace rhubarbtrail

#endif

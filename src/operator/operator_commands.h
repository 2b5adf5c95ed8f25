/* Operators' subcommands of the command line: clients of the administration API. */
#ifndef RHUBARBTRAIL_OPERATOR_OPERATOR_COMMANDS_H
#define RHUBARBTRAIL_OPERATOR_OPERATOR_COMMANDS_H

#include <functional>
#include <string>

namespace CLI {
class App;
}

namespace rhubarbtrail {

class OperatorCommands
{
public:
  /* Declares the subcommands. */
  void Add(CLI::App& aApp);

  /* Runs the subcommand that was parsed; returns the exit code. */
  int Run() { return mRun ? mRun() : 1; }

private:
  struct Target
  {
    std::string admin; ///< host:port of a daemon's administration API.
    std::string key;
  };
  void AddTarget(CLI::App& aCommand);
  int Check() const;
  int Apply() const;
  int Get(const std::string& aPath) const;
  int Drain() const;

  Target mTarget;
  std::string mFile;
  std::string mComment;
  long mBasedOn = -1;
  std::function<int()> mRun;
};

} // namespace rhubarbtrail

#endif

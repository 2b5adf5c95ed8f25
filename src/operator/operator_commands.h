/* Operators' subcommands of the command line: clients of the administration API. */
#ifndef RHUBARBTRAIL_OPERATOR_OPERATOR_COMMANDS_H
#define RHUBARBTRAIL_OPERATOR_OPERATOR_COMMANDS_H

#include "core/httplib_client_func.h"

#include <cstdint>
#include <functional>
#include <optional>
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
  CLI::App& AddCommand(CLI::App& aParent,
                       const std::string& aName,
                       const std::string& aHelp,
                       std::function<int()> aRun);
  CLI::App& AddRemote(CLI::App& aParent,
                      const std::string& aName,
                      const std::string& aHelp,
                      std::function<int()> aRun);
  void AddConfig(CLI::App& aApp);
  void AddOperation(CLI::App& aApp);

  HttpAnswer Call(const std::string& aMethod,
                  const std::string& aPath,
                  std::string aBody = {},
                  std::optional<std::uint64_t> aBasedOn = std::nullopt) const;
  int Get(const std::string& aPath) const;
  int Post(const std::string& aPath, std::string aBody) const;
  int Check() const;
  int ShowDocument() const;
  int ShowDiff() const;
  int ShowHistory() const;
  int Apply() const;
  int Accept(const std::string& aPath, std::string aDocument, std::uint64_t aBasedOn) const;
  int WaitForAll(std::uint64_t aVersion) const;
  int Drain() const;
  std::optional<std::uint64_t> NewestVersion() const;

  Target mTarget;
  std::string mFile;
  std::string mComment;
  std::string mWord; ///< The single argument of a subcommand that has one.
  std::string mService;
  std::string mRunner;
  std::optional<std::uint64_t> mBasedOn;
  std::optional<std::uint64_t> mFromVersion;
  std::optional<std::uint64_t> mVersion;
  std::uint32_t mWaitSeconds = 0;
  bool mIsJson = false;
  bool mIsUndo = false;
  std::function<int()> mRun;
};

} // namespace rhubarbtrail

#endif

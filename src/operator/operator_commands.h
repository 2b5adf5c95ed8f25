/* Command-line subcommands for operators. All but `config check` call a daemon's administration
 * API. */
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

/* Declares the subcommands, holds their options and runs the one that was parsed. */
class OperatorCommands
{
public:
  /* Adds the subcommands to the command line. */
  void AddTo(CLI::App& aApp);

  /* Runs the parsed subcommand and returns its exit code. */
  int Run() { return mRun ? mRun() : 1; }

private:
  /* The daemon to call. */
  struct AdminTarget
  {
    std::string address; ///< host:port of a daemon's administration API.
    std::string key;     ///< Operator key that the call carries.
  };

  /* Adds a subcommand. Run() calls aRun if the subcommand was parsed. */
  CLI::App& AddCommand(CLI::App& aParent,
                       const std::string& aName,
                       const std::string& aHelp,
                       std::function<int()> aRun);

  /* Adds a subcommand that calls a daemon, with options for the daemon's address and the key. */
  CLI::App& AddRemoteCommand(CLI::App& aParent,
                             const std::string& aName,
                             const std::string& aHelp,
                             std::function<int()> aRun);

  void AddConfigCommands(CLI::App& aApp);
  void AddOperationCommands(CLI::App& aApp);

  /* Calls the administration API. With aBasedOn, this version and the comment are sent as headers,
   * as a change of the configuration requires. */
  HttplibAnswer Call(const std::string& aMethod,
                     const std::string& aPath,
                     std::string aBody = {},
                     std::optional<std::uint64_t> aBasedOn = std::nullopt) const;

  /* The functions below print the result, or the error of a failed call, and return the exit
   * code. */
  int Get(const std::string& aPath) const;
  int Post(const std::string& aPath, std::string aBody) const;
  int CheckDocument() const;
  int ShowDocument() const;
  int ShowDiff() const;
  int ShowHistory() const;
  int Apply() const;

  /* Sends a document to be accepted as the next version, and waits for all daemons if --wait was
   * given. */
  int SubmitDocument(const std::string& aPath, std::string aDocument, std::uint64_t aBasedOn) const;

  /* Waits until all live daemons report a configuration version, or until --wait has passed. */
  int WaitForAllDaemons(std::uint64_t aVersion) const;

  /* Drains a daemon, or with --runner, changes the drained endpoints in the configuration. */
  int Drain() const;

  /* Returns the newest configuration version, 0 if there is none yet. Prints the error and returns
   * no value if the call fails. */
  std::optional<std::uint64_t> NewestVersion() const;

  AdminTarget mTarget;
  std::string mDocumentFile;
  std::string mComment;
  std::string mArgument; ///< Log level or fingerprint.
  std::string mService;
  std::string mRunner;
  std::optional<std::uint64_t> mBasedOn;
  std::optional<std::uint64_t> mFromVersion; ///< Version whose document is accepted again.
  std::optional<std::uint64_t> mVersion;
  std::uint32_t mWaitSeconds = 0;
  bool mPrintsJson = false;
  bool mUndoesDrain = false;
  std::function<int()> mRun; ///< Runs the parsed subcommand.
};

} // namespace rhubarbtrail

#endif

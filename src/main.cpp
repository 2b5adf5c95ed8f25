/* The command line: reads the arguments and runs the command that they name. */
#include "core/exit_code_type.h"
#include "core/reload_signal_func.h"
#include "daemon/daemon.h"
#include "daemon/edge_daemon.h"
#include "load/load_commands.h"
#include "operator/operator_commands.h"
#include "settings/settings_base.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

/* Environment variable by which the users' platform passes the path of the settings file. */
constexpr const char* kSettingsFileVariable = "RHUBARBTRAIL_CONFIG";

/* The dynamic linker calls the functions of this section before all constructors. */
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kBeforeConstructors)() = rhubarbtrail::BlockReloadSignal;

struct DaemonCommandOptions
{
  rhubarbtrail::SettingsUse use = rhubarbtrail::SettingsUse::kServe;
  std::string settingsFile;
  bool isCheckOnly = false;
  bool isListOnly = false;
};

int RunDaemonCommand(const DaemonCommandOptions& aOptions)
{
  if (aOptions.isListOnly) {
    std::fputs(rhubarbtrail::DescribeSettings().c_str(), stdout);
    return rhubarbtrail::kExitOk;
  }
  std::string file = aOptions.settingsFile;
  const bool isEdge = aOptions.use == rhubarbtrail::SettingsUse::kEdge;
  if (file.empty() && isEdge) {
    const char* path = std::getenv(kSettingsFileVariable);
    file = path == nullptr ? "" : path;
  }
  if (file.empty()) {
    std::fputs(
      "--settings is required. The edge command also takes the file from RHUBARBTRAIL_CONFIG.\n",
      stderr);
    return rhubarbtrail::kExitBadInput;
  }
  const auto settings = rhubarbtrail::LoadSettings(file, aOptions.use);
  if (!settings) {
    for (const auto& error : settings.error()) {
      std::fprintf(stderr, "%s:%d: %s\n", error.file.c_str(), error.line, error.reason.c_str());
    }
    return rhubarbtrail::kExitBadInput;
  }
  if (aOptions.isCheckOnly) {
    std::puts("The settings are valid.");
    return rhubarbtrail::kExitOk;
  }
  return isEdge ? rhubarbtrail::RunEdgeDaemon(*settings, file) : rhubarbtrail::RunDaemon(*settings);
}

void AddDaemonOptions(CLI::App& aCommand, DaemonCommandOptions& aOptions)
{
  aCommand.add_option("--settings", aOptions.settingsFile, "Settings file (YAML).");
  aCommand.add_flag("--check", aOptions.isCheckOnly, "Only check the settings.");
  aCommand.add_flag("--list-settings", aOptions.isListOnly, "Print the table of settings.");
}

} // namespace

int main(int aArgc, char** aArgv)
{
  CLI::App app{ "rhubarbtrail serves rarely used models to many customers." };
  app.require_subcommand(1);
  app.footer("Exit codes: 0 done, 1 refused, 2 bad input, 3 cannot listen, 4 unreachable, "
             "5 requests left open at shutdown.");

  DaemonCommandOptions serveOptions;
  CLI::App* serve = app.add_subcommand("serve", "Run a daemon.");
  AddDaemonOptions(*serve, serveOptions);
  DaemonCommandOptions edgeOptions{ .use = rhubarbtrail::SettingsUse::kEdge };
  CLI::App* edge = app.add_subcommand("edge", "Run a daemon on the users' platform.");
  AddDaemonOptions(*edge, edgeOptions);

  rhubarbtrail::OperatorCommands commands;
  commands.AddTo(app);
  rhubarbtrail::LoadCommands load;
  load.AddTo(app);

  try {
    app.parse(aArgc, aArgv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? rhubarbtrail::kExitOk : rhubarbtrail::kExitBadInput;
  }
  if (edge->parsed()) {
    return RunDaemonCommand(edgeOptions);
  }
  rhubarbtrail::UnblockReloadSignal();
  if (serve->parsed()) {
    return RunDaemonCommand(serveOptions);
  }
  return load.IsParsed() ? load.Run() : commands.Run();
}

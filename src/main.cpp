/* The command line. */
#include "core/exit_code_type.h"
#include "daemon/daemon.h"
#include "load/load_commands.h"
#include "operator/operator_commands.h"
#include "settings/settings_base.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <string>

namespace {

struct ServeOptions
{
  std::string settingsFile;
  bool checkOnly = false;
  bool listOnly = false;
};

int Serve(const ServeOptions& aOptions)
{
  if (aOptions.listOnly) {
    std::fputs(rhubarbtrail::DescribeSettings().c_str(), stdout);
    return rhubarbtrail::kExitOk;
  }
  if (aOptions.settingsFile.empty()) {
    std::fputs("--settings is required.\n", stderr);
    return rhubarbtrail::kExitBadInput;
  }
  const auto settings = rhubarbtrail::LoadSettings(aOptions.settingsFile);
  if (!settings) {
    for (const auto& error : settings.error()) {
      std::fprintf(stderr, "%s:%d: %s\n", error.file.c_str(), error.line, error.reason.c_str());
    }
    return rhubarbtrail::kExitBadInput;
  }
  if (aOptions.checkOnly) {
    std::puts("The settings are valid.");
    return rhubarbtrail::kExitOk;
  }
  return rhubarbtrail::RunDaemon(*settings);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  CLI::App app{ "rhubarbtrail serves rarely used models to many customers." };
  app.require_subcommand(1);
  app.footer("Exit codes: 0 done, 1 refused, 2 bad input, 3 cannot listen, 4 unreachable.");

  ServeOptions options;
  CLI::App* serve = app.add_subcommand("serve", "Run a daemon.");
  serve->add_option("--settings", options.settingsFile, "Settings file (YAML).");
  serve->add_flag("--check", options.checkOnly, "Only check the settings.");
  serve->add_flag("--list-settings", options.listOnly, "Print the table of settings.");

  rhubarbtrail::OperatorCommands commands;
  commands.Add(app);
  rhubarbtrail::LoadCommands load;
  load.Add(app);

  try {
    app.parse(aArgc, aArgv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? rhubarbtrail::kExitOk : rhubarbtrail::kExitBadInput;
  }
  if (serve->parsed()) {
    return Serve(options);
  }
  return load.IsParsed() ? load.Run() : commands.Run();
}

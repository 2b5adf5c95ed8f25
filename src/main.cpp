/* The command line. */
#include "config/configuration_document.h"
#include "daemon/daemon.h"
#include "load/load_commands.h"
#include "operator/operator_commands.h"
#include "settings/settings_base.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <string>

namespace {

/* Exit code for a settings file or document with errors. */
constexpr int kExitBadInput = 2;

int Serve(const std::string& aFile, bool aCheckOnly)
{
  const auto settings = rhubarbtrail::LoadSettings(aFile);
  if (!settings) {
    for (const auto& error : settings.error()) {
      std::fprintf(stderr, "%s:%d: %s\n", error.file.c_str(), error.line, error.reason.c_str());
    }
    return kExitBadInput;
  }
  if (aCheckOnly) {
    std::puts("The settings are valid.");
    return 0;
  }
  return rhubarbtrail::RunDaemon(*settings);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  CLI::App app{ "rhubarbtrail serves rarely used models to many customers." };
  app.require_subcommand(1);

  std::string settingsFile;
  bool checkOnly = false;
  CLI::App* serve = app.add_subcommand("serve", "Run a daemon.");
  serve->add_option("--settings", settingsFile, "Settings file (YAML).")->required();
  serve->add_flag("--check", checkOnly, "Only check the settings.");

  rhubarbtrail::OperatorCommands commands;
  commands.Add(app);
  rhubarbtrail::LoadCommands load;
  load.Add(app);

  CLI11_PARSE(app, aArgc, aArgv);
  if (serve->parsed()) {
    return Serve(settingsFile, checkOnly);
  }
  if (load.IsParsed()) {
    return load.Run();
  }
  return commands.Run();
}

/* Operators' subcommands. */
#include "operator/operator_commands.h"

#include "config/configuration_document.h"
#include "core/http_client_func.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>

namespace rhubarbtrail {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;
constexpr int kExitUnreachable = 4;
constexpr Duration kTimeout = 10s;

/* Reads a file, or standard input for "-". */
std::string ReadAll(const std::string& aFile)
{
  if (aFile == "-") {
    return { std::istreambuf_iterator<char>(std::cin), {} };
  }
  std::ifstream file(aFile);
  return { std::istreambuf_iterator<char>(file), {} };
}

int Print(const HttpAnswer& aAnswer)
{
  if (aAnswer.outcome != HttpOutcome::kAnswered) {
    std::fputs("The daemon cannot be reached.\n", stderr);
    return kExitUnreachable;
  }
  const bool isOk = aAnswer.status == 200;
  std::fprintf(isOk ? stdout : stderr, "%s\n", aAnswer.body.c_str());
  return isOk ? kExitOk : kExitFailed;
}

} // namespace

void OperatorCommands::AddTarget(CLI::App& aCommand)
{
  aCommand.add_option("--admin", mTarget.admin, "host:port of a daemon's administration API.")
    ->required();
  aCommand.add_option("--key", mTarget.key, "Operator's key.")->envname("RHUBARBTRAIL_KEY");
}

void OperatorCommands::Add(CLI::App& aApp)
{
  CLI::App* config = aApp.add_subcommand("config", "Check, read and change the configuration.");
  config->require_subcommand(1);

  CLI::App* check = config->add_subcommand("check", "Check a document without a daemon.");
  check->add_option("file", mFile, "Document (YAML), or - for standard input.")->required();
  check->callback([this] { mRun = [this] { return Check(); }; });

  CLI::App* show = config->add_subcommand("show", "Print the newest document.");
  AddTarget(*show);
  show->callback([this] { mRun = [this] { return Get("/configuration"); }; });

  CLI::App* history = config->add_subcommand("history", "List who changed what, and when.");
  AddTarget(*history);
  history->callback([this] { mRun = [this] { return Get("/configuration/history"); }; });

  CLI::App* apply = config->add_subcommand("apply", "Accept a document as the next version.");
  AddTarget(*apply);
  apply->add_option("file", mFile, "Document (YAML), or - for standard input.")->required();
  apply->add_option("--based-on", mBasedOn, "Version that the change is based on.")->required();
  apply->add_option("--comment", mComment, "Why the change is made.");
  apply->callback([this] { mRun = [this] { return Apply(); }; });

  CLI::App* dump = aApp.add_subcommand("dump", "Print the whole state of a daemon.");
  AddTarget(*dump);
  dump->callback([this] { mRun = [this] { return Get("/dump?format=text"); }; });

  CLI::App* drain = aApp.add_subcommand("drain", "Let a daemon finish its requests and end.");
  AddTarget(*drain);
  drain->callback([this] { mRun = [this] { return Drain(); }; });
}

int OperatorCommands::Check() const
{
  const auto parsed = ParseConfiguration(ReadAll(mFile), {});
  if (parsed) {
    std::puts("The document is valid.");
    return kExitOk;
  }
  for (const DocumentError& error : parsed.error()) {
    std::fprintf(stderr,
                 "%s:%d: %s: %s\n",
                 mFile.c_str(),
                 error.line,
                 error.path.c_str(),
                 error.reason.c_str());
  }
  return kExitBadInput;
}

int OperatorCommands::Get(const std::string& aPath) const
{
  return Print(CallHttp({ .address = mTarget.admin,
                          .path = aPath,
                          .body = {},
                          .headers = { { "Authorization", "Bearer " + mTarget.key } },
                          .timeout = kTimeout }));
}

int OperatorCommands::Apply() const
{
  return Print(CallHttp({ .address = mTarget.admin,
                          .method = "POST",
                          .path = "/configuration",
                          .body = ReadAll(mFile),
                          .contentType = "application/yaml",
                          .headers = { { "Authorization", "Bearer " + mTarget.key },
                                       { "If-Match", std::to_string(mBasedOn) },
                                       { "X-Comment", mComment } },
                          .timeout = kTimeout }));
}

int OperatorCommands::Drain() const
{
  return Print(CallHttp({ .address = mTarget.admin,
                          .method = "POST",
                          .path = "/drain",
                          .body = "{}",
                          .headers = { { "Authorization", "Bearer " + mTarget.key } },
                          .timeout = kTimeout }));
}

} // namespace rhubarbtrail

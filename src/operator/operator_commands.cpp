/* Command-line subcommands for operators. */
#include "operator/operator_commands.h"

#include "config/configuration_diff.h"
#include "config/configuration_document.h"
#include "core/exit_code_type.h"
#include "operator/drained_runner.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

namespace rhubarbtrail {

namespace {

using nlohmann::json;

constexpr Duration kCallTimeout = 10s;
/* Time between two reads of the daemons' configuration versions. */
constexpr Duration kPollInterval = 200ms;

/* Reads a file, or standard input for "-". Prints an error and returns no value if the file cannot
 * be opened. */
std::optional<std::string> ReadDocument(const std::string& aFile)
{
  if (aFile == "-") {
    return std::string{ std::istreambuf_iterator<char>(std::cin), {} };
  }
  std::ifstream file(aFile);
  if (!file) {
    std::fprintf(stderr, "%s cannot be read.\n", aFile.c_str());
    return std::nullopt;
  }
  return std::string{ std::istreambuf_iterator<char>(file), {} };
}

/* Prints why a call failed, with the error that the daemon answered, and returns the exit code. */
int PrintError(const HttplibAnswer& aAnswer)
{
  if (aAnswer.outcome != HttplibOutcome::kAnswered) {
    std::fputs("The daemon cannot be reached.\n", stderr);
    return kExitUnreachable;
  }
  const json body = json::parse(aAnswer.body, nullptr, false);
  if (!body.is_object()) {
    std::fprintf(stderr, "%s\n", aAnswer.body.c_str());
    return kExitRefused;
  }
  std::fprintf(stderr, "Refused: %s.\n", body.value("error", "no reason").c_str());
  for (const json& error : body.value("errors", json::array())) {
    std::fprintf(stderr,
                 "%d: %s: %s\n",
                 error.value("line", 0),
                 error.value("path", "").c_str(),
                 error.value("reason", "").c_str());
  }
  if (body.contains("current")) {
    const json& current = body["current"];
    std::fprintf(stderr,
                 "Version %s was accepted by %s. Your document would change in it:\n",
                 current["version"].dump().c_str(),
                 current.value("author", "?").c_str());
    for (const json& change : body.value("changes", json::array())) {
      std::fprintf(stderr, "  %s\n", change.value("text", "").c_str());
    }
  }
  return body.contains("errors") ? kExitBadInput : kExitRefused;
}

bool IsSuccess(const HttplibAnswer& aAnswer)
{
  return aAnswer.outcome == HttplibOutcome::kAnswered && aAnswer.status == 200;
}

/* Prints the body of a successful answer or the error of a failed call. Returns the exit code. */
int PrintAnswer(const HttplibAnswer& aAnswer)
{
  if (!IsSuccess(aAnswer)) {
    return PrintError(aAnswer);
  }
  std::fputs(aAnswer.body.c_str(), stdout);
  if (!aAnswer.body.ends_with('\n')) {
    std::fputs("\n", stdout);
  }
  return kExitOk;
}

/* Sets a value from an environment variable if the value is empty and the variable is set. */
void SetFromEnvironment(std::string& aValue, const char* aName)
{
  const char* value = std::getenv(aName);
  if (aValue.empty() && value != nullptr) {
    aValue = value;
  }
}

/* Formats a time as ISO 8601 in UTC, with seconds. */
std::string FormatTime(std::int64_t aUnixMs)
{
  const std::time_t seconds = aUnixMs / 1'000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32] = {};
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

} // namespace

CLI::App& OperatorCommands::AddCommand(CLI::App& aParent,
                                       const std::string& aName,
                                       const std::string& aHelp,
                                       std::function<int()> aRun)
{
  CLI::App* command = aParent.add_subcommand(aName, aHelp);
  command->callback([this, run = std::move(aRun)] { mRun = run; });
  return *command;
}

CLI::App& OperatorCommands::AddRemoteCommand(CLI::App& aParent,
                                             const std::string& aName,
                                             const std::string& aHelp,
                                             std::function<int()> aRun)
{
  // CLI11 would apply an option's environment variable for subcommands that were not called as
  // well, and all subcommands share one target. The variables are therefore read here, and only for
  // options that were not given.
  const auto runWithTarget = [this, run = std::move(aRun)] {
    SetFromEnvironment(mTarget.address, "RHUBARBTRAIL_ADMIN");
    SetFromEnvironment(mTarget.key, "RHUBARBTRAIL_KEY");
    if (mTarget.address.empty()) {
      std::fputs("--admin or RHUBARBTRAIL_ADMIN is required.\n", stderr);
      return static_cast<int>(kExitBadInput);
    }
    return run();
  };
  CLI::App& command = AddCommand(aParent, aName, aHelp, runWithTarget);
  command.add_option("--admin",
                     mTarget.address,
                     "host:port of a daemon's administration API; default $RHUBARBTRAIL_ADMIN.");
  command.add_option("--key", mTarget.key, "Operator's key; default $RHUBARBTRAIL_KEY.");
  return command;
}

void OperatorCommands::AddTo(CLI::App& aApp)
{
  AddConfigCommands(aApp);
  AddOperationCommands(aApp);
}

void OperatorCommands::AddConfigCommands(CLI::App& aApp)
{
  CLI::App* config = aApp.add_subcommand("config", "Check, read and change the configuration.");
  config->require_subcommand(1);
  const char* fileHelp = "Document (YAML), or - for standard input.";

  CLI::App& check = AddCommand(
    *config, "check", "Check a document without a daemon.", [this] { return CheckDocument(); });
  check.add_option("file", mDocumentFile, fileHelp)->required();

  CLI::App& show =
    AddRemoteCommand(*config, "show", "Print a document.", [this] { return ShowDocument(); });
  show.add_option("--version", mVersion, "Version to print; the newest by default.");

  CLI::App& diff = AddRemoteCommand(*config,
                                    "diff",
                                    "Print what a document would change in the newest version.",
                                    [this] { return ShowDiff(); });
  diff.add_option("file", mDocumentFile, fileHelp)->required();

  AddRemoteCommand(
    *config, "history", "List who changed what, and when.", [this] { return ShowHistory(); });

  CLI::App& apply = AddRemoteCommand(
    *config, "apply", "Accept a document as the next version.", [this] { return Apply(); });
  auto* file = apply.add_option("file", mDocumentFile, fileHelp);
  apply.add_option("--from-version", mFromVersion, "Accept an earlier version's document again.")
    ->excludes(file);
  apply.add_option("--based-on", mBasedOn, "Version that the change is based on.");
  apply.add_option("--comment", mComment, "Why the change is made.");
  apply.add_option(
    "--wait", mWaitSeconds, "Seconds to wait until all live daemons report the version.");
}

void OperatorCommands::AddOperationCommands(CLI::App& aApp)
{
  CLI::App& status =
    AddRemoteCommand(aApp, "status", "Print daemons, cells, runners and models.", [this] {
      return Get(mPrintsJson ? "/status" : "/status?format=text");
    });
  status.add_flag("--json", mPrintsJson, "Print JSON.");

  CLI::App& dump = AddRemoteCommand(aApp, "dump", "Print the whole state of a daemon.", [this] {
    return Get(mPrintsJson ? "/dump" : "/dump?format=text");
  });
  dump.add_flag("--json", mPrintsJson, "Print JSON.");

  CLI::App& drain = AddRemoteCommand(aApp,
                                     "drain",
                                     "Let a daemon finish and end, or give a runner no new work.",
                                     [this] { return Drain(); });
  auto* runner = drain.add_option("--runner", mRunner, "Runner to drain in the configuration.");
  runner->needs(drain.add_option("--service", mService, "Service of the runner."));
  drain.add_flag("--undo", mUndoesDrain, "Give the runner work again.")->needs(runner);

  CLI::App& level = AddRemoteCommand(aApp, "log-level", "Change what a daemon logs.", [this] {
    return Post("/log-level", mArgument);
  });
  level.add_option("level", mArgument, "debug, info, warn or error.")->required();

  CLI::App* quarantine =
    aApp.add_subcommand("quarantine", "Requests that are refused since they crashed endpoints.");
  quarantine->require_subcommand(1);
  AddRemoteCommand(*quarantine, "list", "List them.", [this] { return Get("/quarantine"); });
  CLI::App& release = AddRemoteCommand(*quarantine, "release", "Let one run again.", [this] {
    return Post("/quarantine/release", mArgument);
  });
  release.add_option("fingerprint", mArgument, "Fingerprint, as listed.")->required();
}

HttplibAnswer OperatorCommands::Call(const std::string& aMethod,
                                     const std::string& aPath,
                                     std::string aBody,
                                     std::optional<std::uint64_t> aBasedOn) const
{
  HttplibCall call{ .address = mTarget.address,
                    .method = aMethod,
                    .path = aPath,
                    .body = std::move(aBody),
                    .contentType = "application/yaml",
                    .headers = { { "Authorization", "Bearer " + mTarget.key } },
                    .timeout = kCallTimeout };
  if (aBasedOn) {
    call.headers.emplace_back("If-Match", std::to_string(*aBasedOn));
    call.headers.emplace_back("X-Comment", mComment);
  }
  return SendHttplibCall(call);
}

int OperatorCommands::Get(const std::string& aPath) const
{
  return PrintAnswer(Call("GET", aPath));
}

int OperatorCommands::Post(const std::string& aPath, std::string aBody) const
{
  const HttplibAnswer answer = Call("POST", aPath, std::move(aBody));
  if (!IsSuccess(answer)) {
    return PrintError(answer);
  }
  std::puts("Done.");
  return kExitOk;
}

int OperatorCommands::CheckDocument() const
{
  const auto document = ReadDocument(mDocumentFile);
  if (!document) {
    return kExitBadInput;
  }
  const auto parsed = ParseConfiguration(*document, {});
  if (parsed) {
    std::puts("The document is valid.");
    return kExitOk;
  }
  for (const DocumentError& error : parsed.error()) {
    std::fprintf(stderr,
                 "%s:%d: %s: %s\n",
                 mDocumentFile.c_str(),
                 error.line,
                 error.path.c_str(),
                 error.reason.c_str());
  }
  return kExitBadInput;
}

int OperatorCommands::ShowDocument() const
{
  return Get(mVersion ? "/configuration?version=" + std::to_string(*mVersion) : "/configuration");
}

int OperatorCommands::ShowDiff() const
{
  const auto document = ReadDocument(mDocumentFile);
  if (!document) {
    return kExitBadInput;
  }
  const HttplibAnswer answer = Call("POST", "/configuration/diff", *document);
  if (!IsSuccess(answer)) {
    return PrintError(answer);
  }
  const json body = json::parse(answer.body);
  std::printf("Based on version %s:\n", body["based_on"].dump().c_str());
  for (const json& change : body["changes"]) {
    std::printf("  %s\n", change["text"].get<std::string>().c_str());
  }
  if (body["changes"].empty()) {
    std::puts("  nothing changes");
  }
  return kExitOk;
}

int OperatorCommands::ShowHistory() const
{
  const HttplibAnswer answer = Call("GET", "/configuration/history");
  if (!IsSuccess(answer)) {
    return PrintError(answer);
  }
  for (const json& entry : json::parse(answer.body)) {
    std::printf("%6s  %s  %-16s  %3s changes  %s\n",
                entry["version"].dump().c_str(),
                FormatTime(entry["accepted_at_unix_ms"]).c_str(),
                entry["author"].get<std::string>().c_str(),
                entry["changes"].dump().c_str(),
                entry["comment"].get<std::string>().c_str());
  }
  return kExitOk;
}

std::optional<std::uint64_t> OperatorCommands::NewestVersion() const
{
  const HttplibAnswer answer = Call("GET", "/configuration/history?limit=1");
  if (!IsSuccess(answer)) {
    PrintError(answer);
    return std::nullopt;
  }
  const json list = json::parse(answer.body);
  return list.empty() ? 0 : list[0]["version"].get<std::uint64_t>();
}

int OperatorCommands::Apply() const
{
  if (mFromVersion) {
    // The daemon takes the document from the history and ignores the body.
    const auto newest = mBasedOn ? mBasedOn : NewestVersion();
    return newest ? SubmitDocument("/configuration?from_version=" + std::to_string(*mFromVersion),
                                   "from_version",
                                   *newest)
                  : kExitRefused;
  }
  if (mDocumentFile.empty() || !mBasedOn) {
    std::fputs("A file and --based-on, or --from-version, are required.\n", stderr);
    return kExitBadInput;
  }
  const auto document = ReadDocument(mDocumentFile);
  return document ? SubmitDocument("/configuration", *document, *mBasedOn) : kExitBadInput;
}

int OperatorCommands::SubmitDocument(const std::string& aPath,
                                     std::string aDocument,
                                     std::uint64_t aBasedOn) const
{
  const HttplibAnswer answer = Call("POST", aPath, std::move(aDocument), aBasedOn);
  if (!IsSuccess(answer)) {
    return PrintError(answer);
  }
  const auto version = json::parse(answer.body)["version"].get<std::uint64_t>();
  std::printf("Version %llu was accepted.\n", static_cast<unsigned long long>(version));
  return mWaitSeconds > 0 ? WaitForAllDaemons(version) : kExitOk;
}

int OperatorCommands::WaitForAllDaemons(std::uint64_t aVersion) const
{
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{ mWaitSeconds };
  std::vector<std::string> outdatedDaemons;
  do {
    const HttplibAnswer answer = Call("GET", "/status");
    if (!IsSuccess(answer)) {
      return PrintError(answer);
    }
    const json status = json::parse(answer.body);
    outdatedDaemons.clear();
    if (status["configuration"].get<std::uint64_t>() < aVersion) {
      outdatedDaemons.push_back(status.value("daemon", "?"));
    }
    for (const auto& [id, daemon] : status["daemons"].items()) {
      if (daemon.value("configuration", std::uint64_t{ 0 }) < aVersion) {
        outdatedDaemons.push_back(id);
      }
    }
    if (outdatedDaemons.empty()) {
      std::puts("All live daemons report it.");
      return kExitOk;
    }
    std::this_thread::sleep_for(kPollInterval);
  } while (std::chrono::steady_clock::now() < deadline);
  for (const std::string& daemon : outdatedDaemons) {
    std::fprintf(stderr, "%s does not report it.\n", daemon.c_str());
  }
  return kExitRefused;
}

int OperatorCommands::Drain() const
{
  if (mRunner.empty()) {
    // The daemon ignores the body.
    return Post("/drain", "drain");
  }
  const auto newest = NewestVersion();
  if (!newest) {
    return kExitRefused;
  }
  const HttplibAnswer answer = Call("GET", "/configuration?version=" + std::to_string(*newest));
  if (!IsSuccess(answer)) {
    return PrintError(answer);
  }
  const auto document = SetRunnerDrained(answer.body,
                                         ServiceId{ mService },
                                         EndpointId{ mRunner },
                                         mUndoesDrain ? Drained::kNo : Drained::kYes);
  if (!document) {
    std::fprintf(stderr, "%s.\n", document.error().c_str());
    return kExitBadInput;
  }
  return SubmitDocument("/configuration", *document, *newest);
}

} // namespace rhubarbtrail

/* Builds the status document from the state dump and formats it as text. */
#include "operator/daemon_status.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace rhubarbtrail {

namespace {

using nlohmann::json;

/* Parts of the dotted paths in a state dump. */
constexpr std::string_view kMembersPrefix = "view.members.";
constexpr std::string_view kEndpointsPrefix = "view.endpoints.";
constexpr std::string_view kCellsPrefix = "cells.";
constexpr std::string_view kRunnersSeparator = ".runners.";
constexpr std::string_view kQuarantinedPrefix = "router.quarantined.";
constexpr std::string_view kMemoryField = "memory_mb";

/* Splits "ID.field" at the last dot, since ids may contain dots. Without a dot, the field is
 * empty. */
std::pair<std::string, std::string> SplitField(const std::string& aText)
{
  const auto dot = aText.rfind('.');
  if (dot == std::string::npos) {
    return { aText, {} };
  }
  return { aText.substr(0, dot), aText.substr(dot + 1) };
}

/* Returns the id of the endpoint at the start of a path. Ids may contain dots, so the longest
 * matching id of a known endpoint is returned. If none matches, the id is assumed to end at the
 * last dot. */
std::string FindEndpointId(const std::string& aPath, const json& aEndpoints)
{
  std::string longestId;
  for (const auto& [id, state] : aEndpoints.items()) {
    if (aPath.starts_with(id + ".") && id.size() > longestId.size()) {
      longestId = id;
    }
  }
  return longestId.empty() ? SplitField(aPath).first : longestId;
}

/* Adds the dump entry of a cell, or of one of its runners, to the status. The path starts with the
 * id of the cell. */
void AddCellEntry(const std::string& aPath, const std::string& aValue, json& aStatus)
{
  const auto runnersAt = aPath.find(kRunnersSeparator);
  if (runnersAt == std::string::npos) {
    const auto [cell, field] = SplitField(aPath);
    aStatus["cells"][cell][field] = aValue;
    return;
  }
  const std::string runnerPath = aPath.substr(runnersAt + kRunnersSeparator.size());
  const std::string runner = FindEndpointId(runnerPath, aStatus["endpoints"]);
  const std::string field = runnerPath.substr(std::min(runner.size() + 1, runnerPath.size()));
  json& entry = aStatus["cells"][aPath.substr(0, runnersAt)]["runners"][runner];
  if (field == kMemoryField) {
    entry[kMemoryField.data()] = aValue;
  } else {
    entry["models"][field] = aValue;
  }
}

/* Formats rows as text. Each column but the last is two characters wider than its widest text. */
std::string FormatTable(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::ostringstream text;
  for (const auto& row : aRows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      const bool isLast = column + 1 == row.size();
      text << std::left << std::setw(isLast ? 0 : static_cast<int>(widths[column]) + 2)
           << row[column];
    }
    text << "\n";
  }
  return text.str();
}

} // namespace

std::string_view ToString(Readiness aReadiness)
{
  switch (aReadiness) {
    case Readiness::kStarting:
      return "starting";
    case Readiness::kReady:
      return "ready";
    case Readiness::kStale:
      return "stale";
    case Readiness::kStopping:
      return "stopping";
  }
  return "unknown";
}

json MakeStatus(const Snapshot& aSnapshot, const std::vector<DumpEntry>& aDump)
{
  json status{ { "readiness", ToString(aSnapshot.readiness) },
               { "configuration", aSnapshot.configuration->version.value },
               { "daemons", json::object() },
               { "endpoints", json::object() },
               { "cells", json::object() },
               { "quarantine", json::array() } };
  for (const DumpEntry& entry : aDump) {
    if (entry.path == "daemon" || entry.path == "incarnation") {
      status[entry.path] = entry.value;
    } else if (entry.path.starts_with(kMembersPrefix)) {
      const auto [daemon, field] = SplitField(entry.path.substr(kMembersPrefix.size()));
      status["daemons"][daemon][field] = std::atoll(entry.value.c_str());
    } else if (entry.path.starts_with(kEndpointsPrefix)) {
      status["endpoints"][entry.path.substr(kEndpointsPrefix.size())] = entry.value;
    } else if (entry.path.starts_with(kQuarantinedPrefix)) {
      status["quarantine"].push_back(
        { { "fingerprint", entry.path.substr(kQuarantinedPrefix.size()) },
          { "expires_in_ms", std::atoll(entry.value.c_str()) } });
    }
  }
  for (const DumpEntry& entry : aDump) {
    if (entry.path.starts_with(kCellsPrefix)) {
      AddCellEntry(entry.path.substr(kCellsPrefix.size()), entry.value, status);
    }
  }
  return status;
}

std::string StatusToText(const json& aStatus)
{
  std::ostringstream text;
  text << "daemon " << aStatus.value("daemon", "?") << " is "
       << aStatus["readiness"].get<std::string>() << ", configuration " << aStatus["configuration"]
       << "\n\n";
  std::vector<std::vector<std::string>> rows{ { "OTHER DAEMON", "HEARD", "CONFIGURATION" } };
  for (const auto& [id, daemon] : aStatus["daemons"].items()) {
    const std::int64_t heardMsAgo = daemon.value("heard_ms_ago", std::int64_t{ -1 });
    rows.push_back({ id,
                     heardMsAgo < 0 ? "never" : std::to_string(heardMsAgo) + " ms ago",
                     daemon.value("configuration", json(0)).dump() });
  }
  text << FormatTable(rows) << "\n";
  rows = { { "CELL", "HOLDER", "FENCE", "DEMANDS" } };
  std::vector<std::vector<std::string>> runners{ { "RUNNER", "MEMORY MB", "MODEL", "STATE" } };
  for (const auto& [id, cell] : aStatus["cells"].items()) {
    const bool isHeld = cell.value("held", "") == "yes";
    rows.push_back({ id,
                     cell.value("holder", "") + (isHeld ? " (this daemon)" : ""),
                     cell.value("fence", ""),
                     cell.value("demands", "") });
    const json cellRunners = cell.value("runners", json::object());
    for (const auto& [runner, entry] : cellRunners.items()) {
      const std::string memory = entry.value("memory_mb", "?");
      const json models = entry.value("models", json::object());
      if (models.empty()) {
        runners.push_back({ runner, memory, "-", "empty" });
      }
      for (const auto& [model, state] : models.items()) {
        runners.push_back({ runner, memory, model, state.get<std::string>() });
      }
    }
  }
  text << FormatTable(rows) << "\n";
  if (runners.size() > 1) {
    text << FormatTable(runners) << "\n";
  }
  rows = { { "ENDPOINT", "STATE" } };
  for (const auto& [id, state] : aStatus["endpoints"].items()) {
    rows.push_back({ id, state.get<std::string>() });
  }
  text << FormatTable(rows);
  for (const json& entry : aStatus["quarantine"]) {
    text << "\nquarantined " << entry["fingerprint"].get<std::string>() << ", "
         << entry["expires_in_ms"] << " ms left";
  }
  text << "\n";
  return text.str();
}

} // namespace rhubarbtrail

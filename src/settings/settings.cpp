/* The table that describes the settings, and the reader of their YAML file. */
#include "settings/settings_base.h"

#include "core/number_func.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>

namespace rhubarbtrail {

namespace {

using SetResult = tl::expected<void, std::string>;

template<typename Field>
std::string ShowNumber(Field aValue)
{
  if constexpr (std::is_floating_point_v<Field>) {
    std::string text = std::to_string(aValue);
    text.erase(text.find_last_not_of('0') + 1);
    return text.back() == '.' ? text + "0" : text;
  } else {
    return std::to_string(aValue);
  }
}

template<typename Access>
SettingInfo Text(std::string_view aName, Access aAccess, std::string_view aDescription)
{
  return { aName,
           "text",
           "any",
           aDescription,
           [aAccess](const Settings& aSettings) {
             Settings copy = aSettings;
             return aAccess(copy);
           },
           [aAccess](Settings& aSettings, const std::string& aText) -> SetResult {
             aAccess(aSettings) = aText;
             return {};
           } };
}

template<typename Access, typename Number>
SettingInfo Numeric(std::string_view aName,
                    std::string_view aUnit,
                    std::string_view aRange,
                    Access aAccess,
                    Number aLow,
                    Number aHigh,
                    std::string_view aDescription)
{
  return { aName,
           aUnit,
           aRange,
           aDescription,
           [aAccess](const Settings& aSettings) {
             Settings copy = aSettings;
             return ShowNumber(aAccess(copy));
           },
           [=](Settings& aSettings, const std::string& aText) -> SetResult {
             const auto value = ParseNumber<Number>(aText, aLow, aHigh);
             if (!value) {
               return tl::make_unexpected(value.error());
             }
             using Field = std::remove_reference_t<decltype(aAccess(aSettings))>;
             aAccess(aSettings) = static_cast<Field>(*value);
             return {};
           } };
}

template<typename Access>
SettingInfo Milliseconds(std::string_view aName,
                         std::string_view aRange,
                         Access aAccess,
                         std::int64_t aLow,
                         std::int64_t aHigh,
                         std::string_view aDescription)
{
  using std::chrono::milliseconds;
  return { aName,
           "ms",
           aRange,
           aDescription,
           [aAccess](const Settings& aSettings) {
             Settings copy = aSettings;
             return std::to_string(std::chrono::duration_cast<milliseconds>(aAccess(copy)).count());
           },
           [=](Settings& aSettings, const std::string& aText) -> SetResult {
             const auto value = ParseNumber<std::int64_t>(aText, aLow, aHigh);
             if (!value) {
               return tl::make_unexpected(value.error());
             }
             aAccess(aSettings) = milliseconds{ *value };
             return {};
           } };
}

/* Describes a duration that the file gives in seconds, with decimals. */
template<typename Access>
SettingInfo Seconds(std::string_view aName,
                    std::string_view aRange,
                    Access aAccess,
                    double aLow,
                    double aHigh,
                    std::string_view aDescription)
{
  return { aName,
           "s",
           aRange,
           aDescription,
           [aAccess](const Settings& aSettings) {
             Settings copy = aSettings;
             return ShowNumber(std::chrono::duration<double>(aAccess(copy)).count());
           },
           [=](Settings& aSettings, const std::string& aText) -> SetResult {
             const auto value = ParseNumber<double>(aText, aLow, aHigh);
             if (!value) {
               return tl::make_unexpected(value.error());
             }
             aAccess(aSettings) =
               std::chrono::duration_cast<Duration>(std::chrono::duration<double>{ *value });
             return {};
           } };
}

SettingInfo Choice(std::string_view aName,
                   std::string_view aRange,
                   std::vector<std::string> aWords,
                   std::function<std::string(const Settings&)> aShow,
                   std::function<void(Settings&, const std::string&)> aSet,
                   std::string_view aDescription)
{
  return { aName,
           "word",
           aRange,
           aDescription,
           std::move(aShow),
           [words = std::move(aWords),
            set = std::move(aSet)](Settings& aSettings, const std::string& aText) -> SetResult {
             if (std::find(words.begin(), words.end(), aText) == words.end()) {
               return tl::make_unexpected("'" + aText + "' is not one of the words allowed");
             }
             set(aSettings, aText);
             return {};
           } };
}

#define FIELD(Member)                                                                              \
  [](Settings & aSettings) -> auto&                                                                \
  {                                                                                                \
    return aSettings.Member;                                                                       \
  }

std::vector<SettingInfo> MakeTable()
{
  constexpr std::int64_t kHourMs = 3'600'000;
  return {
    Text("daemon_id", FIELD(daemonId), "Name of this daemon, unique among all."),
    Text("zone", FIELD(zone), "Availability zone of this host."),
    Text("listen_address", FIELD(listenAddress), "IP number to listen on."),
    Numeric("caller_port",
            "port",
            "0..65535",
            FIELD(callerPort),
            0,
            65'535,
            "Port for callers; 0 lets the kernel choose."),
    Numeric("admin_port",
            "port",
            "0..65535",
            FIELD(adminPort),
            0,
            65'535,
            "Port of the administration API; 0 lets the kernel choose."),
    Numeric("peer_port",
            "port",
            "0..65535",
            FIELD(peerPort),
            0,
            65'535,
            "Port for other daemons; 0 lets the kernel choose."),
    Text("address_file", FIELD(addressFile), "File that receives the ports in use."),
    Text("table", FIELD(table), "host:port of the platform's table service."),
    Text("host_list", FIELD(hostList), "host:port of the platform's host list."),
    Text("operator_keys", FIELD(operatorKeys), "YAML file with hashes of operators' keys."),
    Choice(
      "log_level",
      "debug|info|warn|error",
      { "debug", "info", "warn", "error" },
      [](const Settings& aSettings) { return aSettings.logLevel; },
      [](Settings& aSettings, const std::string& aText) { aSettings.logLevel = aText; },
      "Lowest level that is logged; it can be changed at run time."),
    Choice(
      "log_format",
      "text|json",
      { "text", "json" },
      [](const Settings& aSettings) {
        return std::string{ aSettings.logFormat == LogFormat::kJson ? "json" : "text" };
      },
      [](Settings& aSettings, const std::string& aText) {
        aSettings.logFormat = aText == "json" ? LogFormat::kJson : LogFormat::kText;
      },
      "Log as text or as one JSON object a line."),
    Numeric("caller_threads",
            "threads",
            "4..4096",
            FIELD(callerThreads),
            4,
            4'096,
            "Not used any more; accepted so that older files load."),
    Numeric("caller_connections",
            "connections",
            "16..65536",
            FIELD(callerConnections),
            16,
            65'536,
            "Open caller connections; beyond it those without a request are closed."),
    Numeric("attempt_threads",
            "threads",
            "4..4096",
            FIELD(attemptThreads),
            4,
            4'096,
            "Requests in flight at endpoints at a time."),
    Numeric("order_threads",
            "threads",
            "1..256",
            FIELD(orderThreads),
            1,
            256,
            "Orders to runners under way at a time."),
    Numeric("body_limit",
            "bytes",
            "1024..67108864",
            FIELD(bodyLimit),
            std::int64_t{ 1'024 },
            std::int64_t{ 67'108'864 },
            "Largest request body."),
    Milliseconds("host_list_interval",
                 "50..60000",
                 FIELD(hostListInterval),
                 50,
                 60'000,
                 "Time between reads of the host list."),
    Milliseconds("call_timeout",
                 "50..60000",
                 FIELD(callTimeout),
                 50,
                 60'000,
                 "Limit of one call to the platform or of one order."),
    Milliseconds("shutdown_limit",
                 "0..86400000",
                 FIELD(shutdownLimit),
                 0,
                 24 * kHourMs,
                 "Time for open requests to end at shutdown."),
    Milliseconds("lease_length",
                 "200..3600000",
                 FIELD(decision.leaseLength),
                 200,
                 kHourMs,
                 "Silence after which a cell's lease may be taken over."),
    Milliseconds("lease_renewal",
                 "50..3600000",
                 FIELD(decision.leaseRenewal),
                 50,
                 kHourMs,
                 "Time between renewals of a lease."),
    Milliseconds("order_flight",
                 "50..60000",
                 FIELD(decision.orderFlight),
                 50,
                 60'000,
                 "Longest time that an order can be under way."),
    Milliseconds("heartbeat_interval",
                 "50..60000",
                 FIELD(decision.heartbeatInterval),
                 50,
                 60'000,
                 "Time between heartbeats to another daemon."),
    Milliseconds("freshness_limit",
                 "200..60000",
                 FIELD(decision.freshnessLimit),
                 200,
                 60'000,
                 "Age at which the configuration counts as stale."),
    Milliseconds("configuration_poll",
                 "50..60000",
                 FIELD(decision.configurationPoll),
                 50,
                 60'000,
                 "Time between reads of the newest configuration."),
    Milliseconds("member_timeout",
                 "200..60000",
                 FIELD(decision.memberTimeout),
                 200,
                 60'000,
                 "Silence after which a daemon counts as unreachable."),
    Milliseconds("replica_lifetime",
                 "500..600000",
                 FIELD(decision.replicaLifetime),
                 500,
                 600'000,
                 "Time for which a router may use a replica unasked."),
    Milliseconds("progress_limit",
                 "50..600000",
                 FIELD(decision.progressLimit),
                 50,
                 600'000,
                 "Longest silence of an endpoint that is answering."),
    Milliseconds("quarantine_length",
                 "1000..86400000",
                 FIELD(decision.quarantineLength),
                 1'000,
                 24 * kHourMs,
                 "Time for which a request that crashed endpoints is refused."),
    Numeric("candidate_runners",
            "runners",
            "1..64",
            FIELD(decision.candidateRunners),
            1,
            64,
            "Runners that a model may be loaded on while the table is down."),
    Numeric("attempt_limit",
            "attempts",
            "1..10",
            FIELD(decision.attemptLimit),
            1,
            10,
            "Attempts of one request."),
    Numeric("queue_limit",
            "requests",
            "1..1000000",
            FIELD(decision.queueLimit),
            1,
            1'000'000,
            "Requests that a daemon holds at a time."),
    Numeric("claim_batch",
            "claims",
            "1..1000",
            FIELD(decision.claimBatch),
            1,
            1'000,
            "Claims written in one transaction."),
    Numeric("retry_budget_ratio",
            "retries per request",
            "0..1",
            FIELD(decision.retryBudgetRatio),
            0.0,
            1.0,
            "Retries earned by each first attempt."),
    Numeric("retry_budget_burst",
            "retries",
            "0..1000",
            FIELD(decision.retryBudgetBurst),
            0.0,
            1'000.0,
            "Retries that can be saved up."),
    Text("front_address", FIELD(edge.frontAddress), "host:port for clients (`edge`)."),
    Text("ready_address", FIELD(edge.readyAddress), "host:port for the balancer (`edge`)."),
    Text("link_address", FIELD(edge.linkAddress), "host:port for other daemons (`edge`)."),
    Text("metrics_address",
         FIELD(edge.metricsAddress),
         "host:port of the metrics and the state dump (`edge`)."),
    Text("store_address", FIELD(edge.storeAddress), "host:port of the platform's store (`edge`)."),
    Numeric("cpu_share",
            "cores",
            "0.01..1024",
            FIELD(edge.cpuShare),
            0.01,
            1'024.0,
            "Processor that the host has; the best equipped host gives the orders (`edge`)."),
    Numeric("descriptor_limit",
            "descriptors",
            "256..1000000",
            FIELD(edge.descriptorLimit),
            256,
            1'000'000,
            "Files and sockets that may be open (`edge`)."),
    Seconds("shutdown_grace",
            "0.5..3600",
            FIELD(edge.shutdownGrace),
            0.5,
            3'600.0,
            "Time from SIGTERM until the process is killed (`edge`)."),
    Milliseconds("drain_limit",
                 "200..60000",
                 FIELD(edge.drainLimit),
                 200,
                 60'000,
                 "Time in which a leaving runner must get no more requests (`edge`)."),
    Milliseconds("lease_spacing",
                 "100..60000",
                 FIELD(edge.leaseSpacing),
                 100,
                 60'000,
                 "Least time between orders of two holders (`edge`)."),
    Seconds("retry_window",
            "1..3600",
            FIELD(edge.retryWindow),
            1.0,
            3'600.0,
            "Time over which retries are counted (`edge`)."),
    Numeric("retry_slack",
            "retries",
            "0..100000",
            FIELD(edge.retrySlack),
            0.0,
            100'000.0,
            "Retries in a window beyond the ratio, of the whole fleet (`edge`)."),
    Seconds("load_window",
            "0.1..3600",
            FIELD(edge.loadWindow),
            0.1,
            3'600.0,
            "Time over which loads from the weight store are counted (`edge`)."),
    Numeric("load_overage",
            "times",
            "0.1..100",
            FIELD(edge.loadOverage),
            0.1,
            100.0,
            "Loads allowed in the window, in times of the stated rate (`edge`)."),
  };
}

#undef FIELD

/* The line of each setting in the file, by name. Settings not in the file are absent. */
using SettingLines = std::map<std::string, int>;

/* Adds errors for required settings that are missing, at line 1, and for pairs of settings that
 * contradict each other, at the later line of the two. */
void CheckPairs(const Settings& aSettings,
                SettingsUse aUse,
                const std::string& aFile,
                const SettingLines& aLines,
                std::vector<SettingError>& aErrors)
{
  const auto lineOf = [&](const char* aName) {
    const auto found = aLines.find(aName);
    return found == aLines.end() ? 1 : found->second;
  };
  const std::vector<const char*> required =
    aUse == SettingsUse::kServe
      ? std::vector<const char*>{ "daemon_id", "table", "host_list" }
      : std::vector<const char*>{ "daemon_id",     "zone",         "front_address",
                                  "ready_address", "link_address", "store_address" };
  for (const char* name : required) {
    if (!aLines.contains(name)) {
      aErrors.push_back({ aFile, 1, std::string{ name } + " is missing" });
    }
  }
  const auto require =
    [&](bool aHolds, const char* aLeft, const char* aRelation, const char* aRight) {
      if (!aHolds) {
        aErrors.push_back({ aFile,
                            std::max(lineOf(aLeft), lineOf(aRight)),
                            std::string{ aLeft } + aRelation + aRight });
      }
    };
  constexpr const char* kAtMostHalf = " must be at most half of ";
  const DecisionSettings& decision = aSettings.decision;
  require(2 * decision.leaseRenewal <= decision.leaseLength,
          "lease_renewal",
          kAtMostHalf,
          "lease_length");
  require(decision.orderFlight < decision.leaseLength,
          "order_flight",
          " must be less than ",
          "lease_length");
  require(2 * decision.configurationPoll <= decision.freshnessLimit,
          "configuration_poll",
          kAtMostHalf,
          "freshness_limit");
  require(2 * decision.heartbeatInterval <= decision.memberTimeout,
          "heartbeat_interval",
          kAtMostHalf,
          "member_timeout");
}

void ReadEntries(const YAML::Node& aRoot,
                 const std::string& aFile,
                 Settings& aSettings,
                 SettingLines& aLines,
                 std::vector<SettingError>& aErrors)
{
  for (const auto& item : aRoot) {
    const std::string name = item.first.IsScalar() ? item.first.Scalar() : std::string{};
    const int line = item.first.Mark().line + 1;
    const auto table = SettingTable();
    const auto info = std::find_if(
      table.begin(), table.end(), [&](const SettingInfo& aInfo) { return aInfo.name == name; });
    if (info == table.end()) {
      aErrors.push_back({ aFile, line, "unknown setting '" + name + "'" });
      continue;
    }
    if (!aLines.emplace(name, line).second) {
      aErrors.push_back({ aFile, line, "'" + name + "' is set twice" });
      continue;
    }
    if (!item.second.IsScalar()) {
      aErrors.push_back({ aFile, line, "'" + name + "' must be a single value" });
      continue;
    }
    if (const auto result = info->set(aSettings, item.second.Scalar()); !result) {
      aErrors.push_back({ aFile,
                          line,
                          name + ": " + result.error() + " (" + std::string{ info->unit } + ", " +
                            std::string{ info->range } + ")" });
    }
  }
}

} // namespace

std::span<const SettingInfo> SettingTable()
{
  static const std::vector<SettingInfo> sTable = MakeTable();
  return sTable;
}

std::string DescribeSettings()
{
  std::ostringstream text;
  text << "| Setting | Unit | Range | Default | Meaning |\n| --- | --- | --- | --- | --- |\n";
  for (const SettingInfo& info : SettingTable()) {
    const std::string standard = info.show(Settings{});
    std::string range{ info.range };
    std::replace(range.begin(), range.end(), '|', '/'); // A bar would end the table cell.
    text << "| `" << info.name << "` | " << info.unit << " | " << range << " | "
         << (standard.empty() ? "none" : standard) << " | " << info.description << " |\n";
  }
  return text.str();
}

tl::expected<Settings, std::vector<SettingError>> ParseSettings(const std::string& aText,
                                                                const std::string& aFile,
                                                                SettingsUse aUse)
{
  Settings settings;
  std::vector<SettingError> errors;
  SettingLines lines;
  try {
    const YAML::Node root = YAML::Load(aText);
    if (root.IsMap()) {
      ReadEntries(root, aFile, settings, lines, errors);
      CheckPairs(settings, aUse, aFile, lines, errors);
    } else {
      errors.push_back({ aFile, 1, "the file must be a mapping of settings" });
    }
  } catch (const YAML::Exception& error) {
    errors.push_back({ aFile, error.mark.line + 1, error.msg });
  }
  std::stable_sort(errors.begin(), errors.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.line < aRight.line;
  });
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return settings;
}

tl::expected<Settings, std::vector<SettingError>> LoadSettings(const std::string& aFile,
                                                               SettingsUse aUse)
{
  std::ifstream file(aFile);
  if (!file) {
    return tl::make_unexpected(
      std::vector<SettingError>{ { aFile, 1, "the file cannot be read" } });
  }
  return ParseSettings(std::string{ std::istreambuf_iterator<char>(file), {} }, aFile, aUse);
}

} // namespace rhubarbtrail

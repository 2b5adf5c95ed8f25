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
std::string FormatNumber(Field aValue)
{
  if constexpr (std::is_floating_point_v<Field>) {
    std::string text = std::to_string(aValue);
    text.erase(text.find_last_not_of('0') + 1);
    return text.back() == '.' ? text + "0" : text;
  } else {
    return std::to_string(aValue);
  }
}

/* Each function below describes settings of one type. aAccess returns a reference to the member of
 * Settings. Because it needs Settings that are not const, the value is formatted from a copy. */

template<typename Access>
SettingInfo TextSetting(std::string_view aName, Access aAccess, std::string_view aDescription)
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
SettingInfo NumericSetting(std::string_view aName,
                           std::string_view aUnit,
                           std::string_view aRange,
                           Access aAccess,
                           Number aMinimum,
                           Number aMaximum,
                           std::string_view aDescription)
{
  return { aName,
           aUnit,
           aRange,
           aDescription,
           [aAccess](const Settings& aSettings) {
             Settings copy = aSettings;
             return FormatNumber(aAccess(copy));
           },
           [=](Settings& aSettings, const std::string& aText) -> SetResult {
             const auto value = ParseNumber<Number>(aText, aMinimum, aMaximum);
             if (!value) {
               return tl::make_unexpected(value.error());
             }
             using Field = std::remove_reference_t<decltype(aAccess(aSettings))>;
             aAccess(aSettings) = static_cast<Field>(*value);
             return {};
           } };
}

/* Describes a whole number that the platform may state with a fraction, which is dropped. */
template<typename Access>
SettingInfo WholeNumberSetting(std::string_view aName,
                               std::string_view aUnit,
                               std::string_view aRange,
                               Access aAccess,
                               std::uint32_t aMinimum,
                               std::uint32_t aMaximum,
                               std::string_view aDescription)
{
  SettingInfo info =
    NumericSetting(aName, aUnit, aRange, aAccess, aMinimum, aMaximum, aDescription);
  info.set = [=](Settings& aSettings, const std::string& aText) -> SetResult {
    const auto value = ParseDecimal(aText, aMinimum, aMaximum);
    if (!value) {
      return tl::make_unexpected(value.error());
    }
    aAccess(aSettings) = static_cast<std::uint32_t>(*value);
    return {};
  };
  return info;
}

template<typename Access>
SettingInfo MillisecondsSetting(std::string_view aName,
                                std::string_view aRange,
                                Access aAccess,
                                std::int64_t aMinimum,
                                std::int64_t aMaximum,
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
             const auto value =
               ParseDecimal(aText, static_cast<double>(aMinimum), static_cast<double>(aMaximum));
             if (!value) {
               return tl::make_unexpected(value.error());
             }
             aAccess(aSettings) = std::chrono::duration_cast<Duration>(
               std::chrono::duration<double, std::milli>{ *value });
             return {};
           } };
}

/* Describes a duration that the file gives in seconds, with decimals. */
template<typename Access>
SettingInfo SecondsSetting(std::string_view aName,
                           std::string_view aRange,
                           Access aAccess,
                           double aMinimum,
                           double aMaximum,
                           std::string_view aDescription)
{
  return { aName,
           "s",
           aRange,
           aDescription,
           [aAccess](const Settings& aSettings) {
             Settings copy = aSettings;
             return FormatNumber(std::chrono::duration<double>(aAccess(copy)).count());
           },
           [=](Settings& aSettings, const std::string& aText) -> SetResult {
             const auto value = ParseNumber<double>(aText, aMinimum, aMaximum);
             if (!value) {
               return tl::make_unexpected(value.error());
             }
             aAccess(aSettings) =
               std::chrono::duration_cast<Duration>(std::chrono::duration<double>{ *value });
             return {};
           } };
}

SettingInfo ChoiceSetting(std::string_view aName,
                          std::string_view aRange,
                          std::vector<std::string> aChoices,
                          std::function<std::string(const Settings&)> aFormat,
                          std::function<void(Settings&, const std::string&)> aSet,
                          std::string_view aDescription)
{
  return { aName,
           "word",
           aRange,
           aDescription,
           std::move(aFormat),
           [choices = std::move(aChoices),
            set = std::move(aSet)](Settings& aSettings, const std::string& aText) -> SetResult {
             if (std::find(choices.begin(), choices.end(), aText) == choices.end()) {
               return tl::make_unexpected("'" + aText + "' is not one of the words allowed");
             }
             set(aSettings, aText);
             return {};
           } };
}

/* A function that returns a reference to a member of Settings. */
#define FIELD(Member)                                                                              \
  [](Settings & aSettings) -> auto&                                                                \
  {                                                                                                \
    return aSettings.Member;                                                                       \
  }

std::vector<SettingInfo> MakeSettingTable()
{
  constexpr std::int64_t kHourMs = 3'600'000;
  return {
    TextSetting("daemon_id", FIELD(daemonId), "Name of this daemon, unique among all."),
    TextSetting("zone", FIELD(zone), "Availability zone of this host."),
    TextSetting("listen_address", FIELD(listenAddress), "IP number to listen on."),
    NumericSetting("caller_port",
                   "port",
                   "0..65535",
                   FIELD(callerPort),
                   0,
                   65'535,
                   "Port for callers; 0 lets the kernel choose."),
    NumericSetting("admin_port",
                   "port",
                   "0..65535",
                   FIELD(adminPort),
                   0,
                   65'535,
                   "Port of the administration API; 0 lets the kernel choose."),
    NumericSetting("peer_port",
                   "port",
                   "0..65535",
                   FIELD(peerPort),
                   0,
                   65'535,
                   "Port for other daemons; 0 lets the kernel choose."),
    TextSetting("address_file", FIELD(addressFile), "File that receives the ports in use."),
    TextSetting("table", FIELD(table), "host:port of the platform's table service."),
    TextSetting("host_list", FIELD(hostList), "host:port of the platform's host list."),
    TextSetting("operator_keys", FIELD(operatorKeys), "YAML file with hashes of operators' keys."),
    ChoiceSetting(
      "log_level",
      "debug|info|warn|error",
      { "debug", "info", "warn", "error" },
      [](const Settings& aSettings) { return aSettings.logLevel; },
      [](Settings& aSettings, const std::string& aText) { aSettings.logLevel = aText; },
      "Lowest level that is logged; it can be changed at run time."),
    ChoiceSetting(
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
    NumericSetting("caller_threads",
                   "threads",
                   "4..4096",
                   FIELD(callerThreads),
                   4,
                   4'096,
                   "Not used any more; accepted so that older files load."),
    NumericSetting("caller_connections",
                   "connections",
                   "16..65536",
                   FIELD(callerConnections),
                   16,
                   65'536,
                   "Open caller connections; beyond it those without a request are closed."),
    NumericSetting("attempt_threads",
                   "threads",
                   "4..4096",
                   FIELD(attemptThreads),
                   4,
                   4'096,
                   "Requests in flight at endpoints at a time."),
    NumericSetting("order_threads",
                   "threads",
                   "1..256",
                   FIELD(orderThreads),
                   1,
                   256,
                   "Orders to runners under way at a time."),
    NumericSetting("body_limit",
                   "bytes",
                   "1024..67108864",
                   FIELD(bodyLimit),
                   std::int64_t{ 1'024 },
                   std::int64_t{ 67'108'864 },
                   "Largest request body."),
    MillisecondsSetting("host_list_interval",
                        "50..60000",
                        FIELD(hostListInterval),
                        50,
                        60'000,
                        "Time between reads of the host list."),
    MillisecondsSetting("call_timeout",
                        "50..60000",
                        FIELD(callTimeout),
                        50,
                        60'000,
                        "Limit of one call to the platform or of one order."),
    MillisecondsSetting("shutdown_limit",
                        "0..86400000",
                        FIELD(shutdownLimit),
                        0,
                        24 * kHourMs,
                        "Time for open requests to end at shutdown."),
    MillisecondsSetting("lease_length",
                        "200..3600000",
                        FIELD(decision.leaseLength),
                        200,
                        kHourMs,
                        "Silence after which a cell's lease may be taken over."),
    MillisecondsSetting("lease_renewal",
                        "50..3600000",
                        FIELD(decision.leaseRenewal),
                        50,
                        kHourMs,
                        "Time between renewals of a lease."),
    MillisecondsSetting("order_flight",
                        "50..60000",
                        FIELD(decision.orderFlight),
                        50,
                        60'000,
                        "Longest time that an order can be under way."),
    MillisecondsSetting("heartbeat_interval",
                        "50..60000",
                        FIELD(decision.heartbeatInterval),
                        50,
                        60'000,
                        "Time between heartbeats to another daemon."),
    MillisecondsSetting("freshness_limit",
                        "200..60000",
                        FIELD(decision.freshnessLimit),
                        200,
                        60'000,
                        "Age at which the configuration counts as stale."),
    MillisecondsSetting("configuration_poll",
                        "50..60000",
                        FIELD(decision.configurationPoll),
                        50,
                        60'000,
                        "Time between reads of the newest configuration."),
    MillisecondsSetting("member_timeout",
                        "200..60000",
                        FIELD(decision.memberTimeout),
                        200,
                        60'000,
                        "Silence after which a daemon counts as unreachable."),
    MillisecondsSetting("replica_lifetime",
                        "500..600000",
                        FIELD(decision.replicaLifetime),
                        500,
                        600'000,
                        "Time for which a router may use a replica unasked."),
    MillisecondsSetting("progress_limit",
                        "50..600000",
                        FIELD(decision.progressLimit),
                        50,
                        600'000,
                        "Longest silence of an endpoint that is answering."),
    MillisecondsSetting("quarantine_length",
                        "1000..86400000",
                        FIELD(decision.quarantineLength),
                        1'000,
                        24 * kHourMs,
                        "Time for which a request that crashed endpoints is refused."),
    NumericSetting("candidate_runners",
                   "runners",
                   "1..64",
                   FIELD(decision.candidateRunners),
                   1,
                   64,
                   "Runners that a model may be loaded on while the table is down."),
    NumericSetting("attempt_limit",
                   "attempts",
                   "1..10",
                   FIELD(decision.attemptLimit),
                   1,
                   10,
                   "Attempts of one request."),
    NumericSetting("queue_limit",
                   "requests",
                   "1..1000000",
                   FIELD(decision.queueLimit),
                   1,
                   1'000'000,
                   "Requests that a daemon holds at a time."),
    NumericSetting("claim_batch",
                   "claims",
                   "1..1000",
                   FIELD(decision.claimBatch),
                   1,
                   1'000,
                   "Claims written in one transaction."),
    NumericSetting("retry_budget_ratio",
                   "retries per request",
                   "0..1",
                   FIELD(decision.retryBudgetRatio),
                   0.0,
                   1.0,
                   "Retries earned by each first attempt."),
    NumericSetting("retry_budget_burst",
                   "retries",
                   "0..1000",
                   FIELD(decision.retryBudgetBurst),
                   0.0,
                   1'000.0,
                   "Retries that can be saved up."),
    TextSetting("front_address", FIELD(edge.frontAddress), "host:port for clients (`edge`)."),
    TextSetting("ready_address", FIELD(edge.readyAddress), "host:port for the balancer (`edge`)."),
    TextSetting("link_address", FIELD(edge.linkAddress), "host:port for other daemons (`edge`)."),
    TextSetting("metrics_address",
                FIELD(edge.metricsAddress),
                "host:port of the metrics and the state dump (`edge`)."),
    TextSetting(
      "store_address", FIELD(edge.storeAddress), "host:port of the platform's store (`edge`)."),
    NumericSetting(
      "cpu_share",
      "cores",
      "0.01..1024",
      FIELD(edge.cpuShare),
      0.01,
      1'024.0,
      "Processor that the host has; the best equipped host gives the orders (`edge`)."),
    WholeNumberSetting("descriptor_limit",
                       "descriptors",
                       "256..1000000",
                       FIELD(edge.descriptorLimit),
                       256,
                       1'000'000,
                       "Files and sockets that may be open, an eighth of them kept for own calls "
                       "(`edge`)."),
    WholeNumberSetting(
      "memory_limit",
      "MB",
      "0..1000000",
      FIELD(edge.memoryLimitMb),
      0,
      1'000'000,
      "Memory of the host, 40 % of which may be buffered for slow readers and for requests that "
      "arrive; 0: no limit (`edge`)."),
    SecondsSetting("shutdown_grace",
                   "0.5..3600",
                   FIELD(edge.shutdownGrace),
                   0.5,
                   3'600.0,
                   "Time from SIGTERM until the process is killed (`edge`)."),
    MillisecondsSetting("drain_limit",
                        "200..3600000",
                        FIELD(edge.drainLimit),
                        200,
                        kHourMs,
                        "Time in which a leaving runner must get no more requests (`edge`)."),
    MillisecondsSetting("lease_spacing",
                        "100..3600000",
                        FIELD(edge.leaseSpacing),
                        100,
                        kHourMs,
                        "Least time between orders of two holders (`edge`)."),
    SecondsSetting("retry_window",
                   "1..3600",
                   FIELD(edge.retryWindow),
                   1.0,
                   3'600.0,
                   "Time over which retries are counted (`edge`)."),
    NumericSetting("retry_slack",
                   "retries",
                   "0..100000",
                   FIELD(edge.retrySlack),
                   0.0,
                   100'000.0,
                   "Retries in a window beyond the ratio, of the whole fleet (`edge`)."),
    SecondsSetting("load_window",
                   "0.1..3600",
                   FIELD(edge.loadWindow),
                   0.1,
                   3'600.0,
                   "Time over which loads from the weight store are counted (`edge`)."),
    NumericSetting("load_overage",
                   "times",
                   "0.1..100",
                   FIELD(edge.loadOverage),
                   0.1,
                   100.0,
                   "Loads allowed in the window, in times of the stated rate (`edge`)."),
    ChoiceSetting(
      "fail_closed",
      "false|true",
      { "false", "true" },
      [](const Settings& aSettings) {
        return std::string{ aSettings.edge.failClosed ? "true" : "false" };
      },
      [](Settings& aSettings, const std::string& aText) {
        aSettings.edge.failClosed = aText == "true";
      },
      "Refuse requests that need a key while the configuration is unconfirmed (`edge`)."),
    MillisecondsSetting("revoke_limit",
                        "1..3600000",
                        FIELD(edge.revokeLimit),
                        1,
                        3'600'000,
                        "Time without a confirmation after which it is unconfirmed (`edge`)."),
    SecondsSetting("quota_window",
                   "1..3600",
                   FIELD(edge.quotaWindow),
                   1.0,
                   3'600.0,
                   "Time over which the quotas of accounts are checked (`edge`)."),
    NumericSetting("quota_overage",
                   "times",
                   "0..100",
                   FIELD(edge.quotaOverage),
                   0.0,
                   100.0,
                   "Traffic allowed beyond a quota in the window, in times of it (`edge`)."),
    NumericSetting("quota_slack",
                   "units",
                   "0..1000000000",
                   FIELD(edge.quotaSlack),
                   0.0,
                   1'000'000'000.0,
                   "The same in addition, in the unit of the quota (`edge`)."),
    ChoiceSetting(
      "endpoint_pace",
      "off|on",
      { "off", "on" },
      [](const Settings& aSettings) {
        return std::string{ aSettings.edge.isPaced ? "on" : "off" };
      },
      [](Settings& aSettings, const std::string& aText) { aSettings.edge.isPaced = aText == "on"; },
      "Whether endpoints get requests at a limited pace after a start or a recovery (`edge`)."),
  };
}

#undef FIELD

/* The line of each setting in the file, by name. Settings not in the file are absent. */
using SettingLines = std::map<std::string, int>;

/* Adds errors for required settings that are missing, at line 1, and for pairs of settings that
 * contradict each other, at the later line of the two. */
void CheckConsistency(const Settings& aSettings,
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
    [&](bool aIsValid, const char* aLeft, const char* aRelation, const char* aRight) {
      if (!aIsValid) {
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

void ReadSettings(const YAML::Node& aRoot,
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
  static const std::vector<SettingInfo> sSettingTable = MakeSettingTable();
  return sSettingTable;
}

std::string DescribeSettings()
{
  std::ostringstream text;
  text << "| Setting | Unit | Range | Default | Meaning |\n| --- | --- | --- | --- | --- |\n";
  for (const SettingInfo& info : SettingTable()) {
    const std::string defaultValue = info.format(Settings{});
    std::string range{ info.range };
    std::replace(range.begin(), range.end(), '|', '/'); // A bar would end the table cell.
    text << "| `" << info.name << "` | " << info.unit << " | " << range << " | "
         << (defaultValue.empty() ? "none" : defaultValue) << " | " << info.description << " |\n";
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
      ReadSettings(root, aFile, settings, lines, errors);
      CheckConsistency(settings, aUse, aFile, lines, errors);
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

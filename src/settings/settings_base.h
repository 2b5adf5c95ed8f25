/* The settings of a daemon, the table that describes them and the reader of their YAML file. */
#ifndef RHUBARBTRAIL_SETTINGS_SETTINGS_BASE_H
#define RHUBARBTRAIL_SETTINGS_SETTINGS_BASE_H

#include "decision/decision_settings_type.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace rhubarbtrail {

/* Format of the log lines: readable text, or one JSON object per line. */
enum class LogFormat : std::uint8_t
{
  kText,
  kJson,
};

/* Settings of the `edge` command, a daemon on the users' platform. */
struct EdgeSettings
{
  std::string frontAddress;              ///< host:port for clients.
  std::string readyAddress;              ///< host:port for the balancer's readiness checks.
  std::string linkAddress;               ///< host:port for other daemons.
  std::string metricsAddress;            ///< host:port of metrics and the state dump. Empty: none.
  std::string storeAddress;              ///< host:port of the platform's store.
  double cpuShare = 1.0;                 ///< Processor cores of the host, such as 0.25.
  std::uint32_t descriptorLimit = 1'024; ///< Files and sockets that may be open.
  /* Memory of the host in megabytes; 0 for none known, which sets no limit on what is buffered. */
  std::uint32_t memoryLimitMb = 0;
  Duration shutdownGrace = 8s; ///< Time from SIGTERM to SIGKILL.
  /* Time after which a runner that starts to drain must get no more requests. */
  Duration drainLimit = 2s;
  /* Minimum time between orders to one runner from two successive holders of the order lease. */
  Duration leaseSpacing = 3s;
  Duration retryWindow = 10s; ///< Time over which retries are counted.
  /* Retries per window that the whole fleet may make in addition to those that
   * DecisionSettings::retryBudgetRatio allows. */
  double retrySlack = 50.0;
  Duration loadWindow = 5s; ///< Time over which loads from the weight store are counted.
  /* Load rate that the weight store allows over the window, as a multiple of the load rate that is
   * configured for the service. */
  double loadOverage = 1.0;
  /* Without a confirmation of its configuration for longer than revokeLimit, a daemon refuses the
   * requests that need a key. Otherwise it goes on with the configuration that it has. */
  bool failClosed = false;
  Duration revokeLimit = 5s;
  Duration quotaWindow = 8s;    ///< Time over which the quotas of accounts are checked.
  double quotaOverage = 0.1;    ///< Traffic allowed beyond a quota in the window, in times of it.
  double quotaSlack = 11'000.0; ///< The same in addition, in the unit of the quota.
  bool isPaced = false; ///< Endpoints get requests at a limited pace after a start or a recovery.
};

/* All settings of a daemon, with their default values. */
struct Settings
{
  std::string daemonId;
  std::string zone;
  std::string listenAddress = "127.0.0.1";
  std::uint16_t callerPort = 0; ///< 0 lets the kernel choose.
  std::uint16_t adminPort = 0;
  std::uint16_t peerPort = 0;
  std::string addressFile;  ///< File to which the addresses in use are written. Empty: none.
  std::string table;        ///< host:port of the table service.
  std::string hostList;     ///< host:port of the host list.
  std::string operatorKeys; ///< YAML file with the hashes of operators' keys.
  std::string logLevel = "info";
  LogFormat logFormat = LogFormat::kText;
  std::uint32_t callerThreads = 256; ///< Has no effect. Kept so that older settings files load.
  std::uint32_t callerConnections = 4'096;
  std::uint32_t attemptThreads = 256;
  std::uint32_t orderThreads = 16;
  std::uint64_t bodyLimit = 1U << 20U; ///< Bytes.
  Duration hostListInterval = 500ms;
  Duration callTimeout = 2s; ///< For one call to the platform or to a runner's order interface.
  /* Time for open requests to end at shutdown. After it the process exits, also if requests are
   * open, whose deadlines can be up to 24 h away. */
  Duration shutdownLimit = 900s;
  DecisionSettings decision;
  EdgeSettings edge;
};

/* The command that the settings are for. It determines which settings are required. */
enum class SettingsUse : std::uint8_t
{
  kServe, ///< `serve`, with the project's own interfaces.
  kEdge,  ///< `edge`, on the users' platform.
};

/* The description of one setting. */
struct SettingInfo
{
  std::string_view name;
  std::string_view unit;
  std::string_view range;
  std::string_view description;
  /* Returns the value as text. */
  std::function<std::string(const Settings&)> format;
  /* Sets the value from text, or returns an error message. */
  std::function<tl::expected<void, std::string>(Settings&, const std::string&)> set;
};

/* Returns the descriptions of all settings, in the order of the documentation. */
std::span<const SettingInfo> SettingTable();

/* Returns a Markdown table of all settings with their default values. */
std::string DescribeSettings();

/* An error in a settings file. Lines count from 1. */
struct SettingError
{
  std::string file;
  int line = 0;
  std::string reason;
};

/* Parses and checks the text of a settings file. aFile only appears in the errors. Returns all
 * errors that were found, ordered by line. */
tl::expected<Settings, std::vector<SettingError>> ParseSettings(
  const std::string& aText,
  const std::string& aFile,
  SettingsUse aUse = SettingsUse::kServe);

/* Reads, parses and checks a settings file. Returns all errors that were found, ordered by line. */
tl::expected<Settings, std::vector<SettingError>> LoadSettings(
  const std::string& aFile,
  SettingsUse aUse = SettingsUse::kServe);

} // namespace rhubarbtrail

#endif

/* Settings of a daemon: one declared table, read from a YAML file. */
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

enum class LogFormat : std::uint8_t
{
  kText,
  kJson,
};

/* Settings of a daemon on the users' platform. */
struct EdgeSettings
{
  std::string frontAddress;   ///< host:port for clients.
  std::string readyAddress;   ///< host:port for the balancer's questions.
  std::string linkAddress;    ///< host:port for other daemons.
  std::string metricsAddress; ///< host:port of metrics and the state dump; empty: none.
  std::string storeAddress;   ///< host:port of the platform's store.
  double cpuShare = 1.0;      ///< Part of a core that the host has.
  std::uint32_t descriptorLimit = 1'024;
  Duration shutdownGrace = 8s; ///< From SIGTERM to SIGKILL.
  Duration drainLimit = 2s;    ///< Time in which a leaving runner must get no more requests.
  Duration leaseSpacing = 3s;  ///< Least time between orders of two holders to one runner.
  Duration retryWindow = 10s;  ///< Time over which retries are counted.
  double retrySlack = 50.0;    ///< Retries in a window beyond the ratio, of the whole fleet.
  Duration loadWindow = 5s;    ///< Time over which loads from the weight store are counted.
  double loadOverage = 1.0;    ///< Loads allowed in the window, in times of the stated rate.
};

struct Settings
{
  std::string daemonId;
  std::string zone;
  std::string listenAddress = "127.0.0.1";
  std::uint16_t callerPort = 0; ///< 0 lets the kernel choose.
  std::uint16_t adminPort = 0;
  std::uint16_t peerPort = 0;
  std::string addressFile;  ///< Where the chosen ports are written; empty means nowhere.
  std::string table;        ///< host:port of the table service.
  std::string hostList;     ///< host:port of the host list.
  std::string operatorKeys; ///< YAML file with the hashes of operators' keys.
  std::string logLevel = "info";
  LogFormat logFormat = LogFormat::kText;
  std::uint32_t callerThreads = 256; ///< Not used any more.
  std::uint32_t callerConnections = 4'096;
  std::uint32_t attemptThreads = 256;
  std::uint32_t orderThreads = 16;
  std::uint64_t bodyLimit = 1U << 20U; ///< Bytes.
  Duration hostListInterval = 500ms;
  Duration callTimeout = 2s;     ///< Of one call to the platform or a runner's order interface.
  Duration shutdownLimit = 900s; ///< Longer than any deadline.
  DecisionSettings decision;
  EdgeSettings edge;
};

/* Which daemon the settings are for; it decides what must be set. */
enum class SettingsUse : std::uint8_t
{
  kServe, ///< The product's own interface.
  kEdge,  ///< The users' platform.
};

/* One row of the settings table. */
struct SettingInfo
{
  std::string_view name;
  std::string_view unit;
  std::string_view range;
  std::string_view description;
  std::function<std::string(const Settings&)> show;
  std::function<tl::expected<void, std::string>(Settings&, const std::string&)> set;
};

/* Returns the declared settings, ordered as the documentation lists them. */
std::span<const SettingInfo> SettingTable();

/* Returns the declared settings as a Markdown table with their defaults. */
std::string DescribeSettings();

/* A fault in a settings file: where, and why. */
struct SettingError
{
  std::string file;
  int line = 0;
  std::string reason;
};

/* Reads and checks settings; the errors name the file. */
tl::expected<Settings, std::vector<SettingError>> ParseSettings(
  const std::string& aText,
  const std::string& aFile,
  SettingsUse aUse = SettingsUse::kServe);

/* Reads and checks a settings file; all errors at once. */
tl::expected<Settings, std::vector<SettingError>> LoadSettings(
  const std::string& aFile,
  SettingsUse aUse = SettingsUse::kServe);

} // namespace rhubarbtrail

#endif

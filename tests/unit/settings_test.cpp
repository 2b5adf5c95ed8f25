/* Invalid settings files and the error that each of them gets. */
#include "core/digest_func.h"
#include "settings/settings_base.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

using namespace rhubarbtrail;

namespace {

const std::string kRequiredSettings = "daemon_id: a\ntable: 127.0.0.1:1\nhost_list: 127.0.0.1:1\n";

struct InvalidSettings
{
  std::string text; ///< Follows the required settings, from line 4.
  int line = 0;
  std::string reason;
};

tl::expected<Settings, std::vector<SettingError>> LoadText(const std::string& aText)
{
  const std::string file = "settings-" + RandomHex() + ".yaml";
  std::ofstream(file) << aText;
  auto result = LoadSettings(file);
  std::remove(file.c_str());
  return result;
}

const std::vector<InvalidSettings> kInvalidSettings{
  { "daemonid: x", 4, "unknown setting 'daemonid'" },
  { "[a]: x", 4, "unknown setting" },
  { "zone: a\nzone: b", 5, "'zone' is set twice" },
  { "zone: [a]", 4, "must be a single value" },
  { "caller_port: http", 4, "'http' is not a number" },
  { "caller_port: 65536", 4, "out of range" },
  { "caller_port: -1", 4, "out of range" },
  { "caller_threads: -1", 4, "out of range" },
  { "caller_threads: 8.5", 4, "'8.5' is not a number" },
  { "call_timeout: 2s", 4, "'2s' is not a number" },
  { "call_timeout: 1e3", 4, "'1e3' is not a number" },
  { "body_limit: 99999999999999999999", 4, "out of range" },
  { "retry_budget_ratio: 1.5", 4, "out of range" },
  { "retry_budget_ratio: nan", 4, "out of range" },
  { "log_level: loud", 4, "not one of the words" },
  { "lease_length: 3000\n\nlease_renewal: 2000", 6, "at most half of lease_length" },
  { "lease_renewal: 4000", 4, "at most half of lease_length" },
  { "order_flight: 7000\nlease_length: 6000", 5, "order_flight must be less than lease_length" },
  { "freshness_limit: 1000\nconfiguration_poll: 600", 5, "at most half of freshness_limit" },
  { "heartbeat_interval: 3000", 4, "at most half of member_timeout" },
  { "zone: [open", 4, "" },
};

} // namespace

TEST_CASE("Each invalid settings file gets its error, with line and reason")
{
  REQUIRE(LoadText(kRequiredSettings).has_value());
  for (const InvalidSettings& invalid : kInvalidSettings) {
    const auto result = LoadText(kRequiredSettings + invalid.text + "\n");
    INFO(invalid.text);
    REQUIRE_FALSE(result.has_value());
    const auto& errors = result.error();
    INFO(errors[0].line << ": " << errors[0].reason);
    CHECK(std::any_of(errors.begin(), errors.end(), [&](const SettingError& aError) {
      return aError.line >= invalid.line &&
             aError.line <= invalid.line + (invalid.reason.empty() ? 2 : 0) &&
             aError.reason.find(invalid.reason) != std::string::npos;
    }));
  }
}

// The platform states limits and bounds as whole numbers or fractions. A daemon that takes only one
// of both ends at each start.
TEST_CASE("figures of the platform may have a fraction")
{
  const std::string required = "daemon_id: a\nzone: a\nfront_address: a:1\nready_address: a:2\n"
                               "link_address: a:3\nstore_address: a:4\n";
  const auto settings = ParseSettings(required + "descriptor_limit: 4100.0\nmemory_limit: 260.5\n"
                                                 "drain_limit: 2000.5\nlease_spacing: 3000.0\n"
                                                 "revoke_limit: 2500.25\nshutdown_grace: 8.0\n",
                                      "test",
                                      SettingsUse::kEdge);
  REQUIRE(settings.has_value());
  CHECK(settings->edge.descriptorLimit == 4'100);
  CHECK(settings->edge.memoryLimitMb == 260);
  CHECK(settings->edge.drainLimit == 2'000'500us);
  CHECK(settings->edge.leaseSpacing == 3s);
  CHECK(settings->edge.revokeLimit == 2'500'250us);
  for (const char* invalid :
       { "drain_limit: 1e3", "memory_limit: 1e2", "memory_limit: x", "descriptor_limit: ''" }) {
    CHECK_FALSE(ParseSettings(required + invalid, "test", SettingsUse::kEdge).has_value());
  }
}

TEST_CASE("All errors of a settings file are reported together")
{
  const auto result = LoadText("zone: a\nunknown: 1\ncaller_port: x\nlease_renewal: 5000\n");
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().size() == 6);
  CHECK_FALSE(LoadText("- a list").has_value());
  CHECK_FALSE(LoadSettings("no-such-file.yaml").has_value());
}

TEST_CASE("docs/OPERATING.md contains the current table of settings")
{
  std::ifstream file(std::string{ SOURCE_DIR } + "/docs/OPERATING.md");
  std::stringstream page;
  page << file.rdbuf();
  CHECK(page.str().find(DescribeSettings()) != std::string::npos);
}

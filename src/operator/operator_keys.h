/* Keys of operators for the administration API, and the roles that the keys grant. */
#ifndef RHUBARBTRAIL_OPERATOR_OPERATOR_KEYS_H
#define RHUBARBTRAIL_OPERATOR_OPERATOR_KEYS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace rhubarbtrail {

/* What an operator may do. Each role includes the permissions of the roles before it. */
enum class OperatorRole : std::uint8_t
{
  kView,      ///< Read the state, the metrics and the configuration.
  kOperate,   ///< Drain the daemon, change its log level, and release requests from quarantine.
  kConfigure, ///< Change the configuration.
};

struct OperatorKey
{
  std::string name;
  std::string hash; ///< SHA-256 of the key, in lower-case hex.
  OperatorRole role = OperatorRole::kView;
};

/* Reads a YAML list of keys from a file. The error names the file, the line if it is
 * known, and the reason. */
tl::expected<std::vector<OperatorKey>, std::string> LoadOperatorKeys(const std::string& aFile);

/* Returns the key whose hash matches the presented key. Always compares all hashes, each in
 * constant time, so that the duration does not reveal which key matches. */
std::optional<OperatorKey> FindOperatorKey(const std::vector<OperatorKey>& aKeys,
                                           std::string_view aPresented);

} // namespace rhubarbtrail

#endif

/* Operators' keys and what they allow. */
#ifndef RHUBARBTRAIL_OPERATOR_OPERATOR_KEYS_H
#define RHUBARBTRAIL_OPERATOR_OPERATOR_KEYS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace rhubarbtrail {

/* Each role includes the ones before it. */
enum class OperatorRole : std::uint8_t
{
  kView,
  kOperate,
  kConfigure,
};

struct OperatorKey
{
  std::string name;
  std::string hash; ///< SHA-256 of the key, in lower-case hex.
  OperatorRole role = OperatorRole::kView;
};

/* Reads a YAML list of keys; the error says what is wrong with the file. */
tl::expected<std::vector<OperatorKey>, std::string> LoadOperatorKeys(const std::string& aFile);

/* Finds the key that a request carries; the time taken does not depend on which one fits. */
std::optional<OperatorKey> FindOperatorKey(const std::vector<OperatorKey>& aKeys,
                                           std::string_view aPresented);

} // namespace rhubarbtrail

#endif

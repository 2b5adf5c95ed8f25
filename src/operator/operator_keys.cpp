/* Operators' keys. */
#include "operator/operator_keys.h"

#include "core/digest_func.h"

#include <map>
#include <yaml-cpp/yaml.h>

namespace rhubarbtrail {

tl::expected<std::vector<OperatorKey>, std::string> LoadOperatorKeys(const std::string& aFile)
{
  const std::map<std::string, OperatorRole> roles{ { "view", OperatorRole::kView },
                                                   { "operate", OperatorRole::kOperate },
                                                   { "configure", OperatorRole::kConfigure } };
  try {
    std::vector<OperatorKey> keys;
    for (const auto& item : YAML::LoadFile(aFile)) {
      const auto role = roles.find(item["role"].as<std::string>());
      if (role == roles.end()) {
        return tl::make_unexpected(aFile + ":" + std::to_string(item.Mark().line + 1) +
                                   ": role must be view, operate or configure");
      }
      keys.push_back({ .name = item["name"].as<std::string>(),
                       .hash = item["hash"].as<std::string>(),
                       .role = role->second });
    }
    return keys;
  } catch (const YAML::Exception& error) {
    return tl::make_unexpected(aFile + ": " + error.what());
  }
}

std::optional<OperatorKey> FindOperatorKey(const std::vector<OperatorKey>& aKeys,
                                           std::string_view aPresented)
{
  const std::string hash = Sha256Hex(aPresented);
  std::optional<OperatorKey> found;
  for (const OperatorKey& key : aKeys) {
    if (EqualsInConstantTime(key.hash, hash)) {
      found = key;
    }
  }
  return found;
}

} // namespace rhubarbtrail

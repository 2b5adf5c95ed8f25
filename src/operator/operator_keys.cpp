/* Reads the file of operator keys and finds the key that a request presents. */
#include "operator/operator_keys.h"

#include "core/digest_func.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <yaml-cpp/yaml.h>

namespace rhubarbtrail {

namespace {

constexpr std::size_t kHashDigits = 64;

/* Returns the text of a required field. If it is missing or not a scalar, sets the error and
 * returns an empty text. */
std::string ReadRequiredField(const YAML::Node& aItem, const char* aName, std::string& aError)
{
  const YAML::Node value = aItem[aName];
  if (!value || !value.IsScalar()) {
    aError = std::string{ aName } + " is missing";
    return {};
  }
  return value.Scalar();
}

/* Reads one item of the list. The error says what is wrong with it. */
tl::expected<OperatorKey, std::string> ReadKey(const YAML::Node& aItem)
{
  static const std::map<std::string, OperatorRole> sRoles{ { "view", OperatorRole::kView },
                                                           { "operate", OperatorRole::kOperate },
                                                           { "configure",
                                                             OperatorRole::kConfigure } };
  if (!aItem.IsMap()) {
    return tl::make_unexpected("must be a mapping of name, hash and role");
  }
  for (const auto& member : aItem) {
    const std::string name = member.first.IsScalar() ? member.first.Scalar() : std::string{};
    if (name != "name" && name != "hash" && name != "role") {
      return tl::make_unexpected("unknown key '" + name + "'");
    }
  }
  std::string fieldError;
  OperatorKey key;
  key.name = ReadRequiredField(aItem, "name", fieldError);
  key.hash = ReadRequiredField(aItem, "hash", fieldError);
  const auto role = sRoles.find(ReadRequiredField(aItem, "role", fieldError));
  if (!fieldError.empty()) {
    return tl::make_unexpected(fieldError);
  }
  if (role == sRoles.end()) {
    return tl::make_unexpected("role must be view, operate or configure");
  }
  key.role = role->second;
  const bool isValidHash = key.hash.size() == kHashDigits &&
                           key.hash.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!isValidHash) {
    return tl::make_unexpected("hash must be a SHA-256 in 64 lower-case hex digits");
  }
  const bool isValidName =
    !key.name.empty() && std::all_of(key.name.begin(), key.name.end(), [](unsigned char aChar) {
      return std::isgraph(aChar) != 0;
    });
  if (!isValidName) {
    return tl::make_unexpected("name must be a word");
  }
  return key;
}

} // namespace

tl::expected<std::vector<OperatorKey>, std::string> LoadOperatorKeys(const std::string& aFile)
{
  try {
    const YAML::Node root = YAML::LoadFile(aFile);
    if (!root.IsSequence()) {
      return tl::make_unexpected(aFile + ":1: must be a list of keys");
    }
    std::vector<OperatorKey> keys;
    for (const auto& item : root) {
      const std::string location = aFile + ":" + std::to_string(item.Mark().line + 1) + ": ";
      auto key = ReadKey(item);
      if (!key) {
        return tl::make_unexpected(location + key.error());
      }
      for (const OperatorKey& other : keys) {
        if (other.hash == key->hash || other.name == key->name) {
          return tl::make_unexpected(location + "the key of '" + other.name + "' appears again");
        }
      }
      keys.push_back(std::move(*key));
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

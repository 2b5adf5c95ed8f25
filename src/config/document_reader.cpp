/* Converts YAML nodes into typed values and collects the errors. */
#include "config/document_reader.h"

#include <algorithm>
#include <sstream>

namespace rhubarbtrail {

namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxTextBytes = 1'024;
constexpr std::int64_t kMaxDurationMs = 86'400'000;
constexpr std::int64_t kMaxMemoryMb = 10'000'000;

/* Returns the line of a node, counted from 1. A node without a position has line 1. */
int LineOf(const YAML::Node& aNode)
{
  return std::max(aNode.Mark().line + 1, 1);
}

bool IsName(const std::string& aText)
{
  constexpr std::string_view kAllowed =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         aText.find_first_not_of(kAllowed) == std::string::npos;
}

bool IsPlainText(const std::string& aText)
{
  constexpr char kDelete = 0x7f;
  return !aText.empty() && aText.size() <= kMaxTextBytes &&
         std::none_of(aText.begin(), aText.end(), [](char aChar) {
           return (aChar >= 0 && aChar < ' ') || aChar == kDelete;
         });
}

/* Returns the text of a mapping's key, which is empty if the key is not a scalar. */
std::string KeyText(const YAML::Node& aKey)
{
  return aKey.IsScalar() ? aKey.Scalar() : std::string{};
}

} // namespace

void DocumentReader::AddError(const YAML::Node& aNode,
                              const std::string& aPath,
                              std::string aReason)
{
  if (aNode.IsNull() && HasPath(aPath)) {
    // A missing value has no line, so the line of its key is used.
    AddErrorAt(aPath, std::move(aReason));
    return;
  }
  mErrors.push_back({ LineOf(aNode), aPath, std::move(aReason) });
}

void DocumentReader::AddErrorAt(const std::string& aPath, std::string aReason)
{
  std::string nearestPath = aPath;
  while (!nearestPath.empty() && !mLineByPath.contains(nearestPath)) {
    const auto separator = nearestPath.find_last_of(".[");
    nearestPath.resize(separator == std::string::npos ? 0 : separator);
  }
  const int line = nearestPath.empty() ? 1 : mLineByPath.at(nearestPath);
  mErrors.push_back({ line, aPath, std::move(aReason) });
}

void DocumentReader::RecordLine(const YAML::Node& aNode, const std::string& aPath)
{
  mLineByPath.emplace(aPath, LineOf(aNode));
}

void DocumentReader::ReadMembers(const YAML::Node& aNode,
                                 const std::string& aPath,
                                 const std::map<std::string, ValueHandler>& aHandlers)
{
  if (!aNode.IsMap()) {
    AddError(aNode, aPath, "must be a mapping");
    return;
  }
  std::set<std::string> seen;
  for (const auto& item : aNode) {
    const std::string name = KeyText(item.first);
    const std::string path = aPath.empty() ? name : aPath + "." + name;
    const auto handler = aHandlers.find(name);
    if (handler == aHandlers.end()) {
      AddError(item.first, path, "unknown key");
      continue;
    }
    if (!seen.insert(name).second) {
      AddError(item.first, path, "appears twice");
      continue;
    }
    RecordLine(item.first, path);
    handler->second(item.second, path);
  }
}

void DocumentReader::ReadEntries(const YAML::Node& aNode,
                                 const std::string& aPath,
                                 const EntryHandler& aHandler)
{
  if (!aNode.IsMap()) {
    AddError(aNode, aPath, "must be a mapping from names to values");
    return;
  }
  std::set<std::string> seen;
  for (const auto& item : aNode) {
    const std::string name = KeyText(item.first);
    const std::string path = aPath + "." + name;
    if (!IsName(name)) {
      AddError(item.first, path, "names have 1 to 128 letters, digits, dots, hyphens, underscores");
      continue;
    }
    if (!seen.insert(name).second) {
      AddError(item.first, path, "appears twice");
      continue;
    }
    RecordLine(item.first, path);
    aHandler(name, item.second, path);
  }
}

void DocumentReader::ReadItems(const YAML::Node& aNode,
                               const std::string& aPath,
                               const ValueHandler& aHandler)
{
  if (!aNode.IsSequence()) {
    AddError(aNode, aPath, "must be a list");
    return;
  }
  std::size_t index = 0;
  for (const auto& item : aNode) {
    const std::string path = aPath + "[" + std::to_string(index++) + "]";
    RecordLine(item, path);
    aHandler(item, path);
  }
}

void DocumentReader::ReadMilliseconds(const YAML::Node& aNode,
                                      const std::string& aPath,
                                      Duration& aOut)
{
  std::int64_t value = 0;
  ReadNumber<std::int64_t>(aNode, aPath, 1, kMaxDurationMs, value);
  if (value != 0) {
    aOut = std::chrono::milliseconds{ value };
  }
}

void DocumentReader::ReadMemory(const YAML::Node& aNode, const std::string& aPath, MemoryMb& aOut)
{
  ReadNumber<std::int64_t>(aNode, aPath, 1, kMaxMemoryMb, aOut.value);
}

void DocumentReader::ReadText(const YAML::Node& aNode, const std::string& aPath, std::string& aOut)
{
  if (!aNode.IsScalar() || !IsPlainText(aNode.Scalar())) {
    AddError(aNode, aPath, "must be a text of 1 to 1024 characters on one line");
    return;
  }
  aOut = aNode.Scalar();
}

std::vector<DocumentError> DocumentReader::TakeErrors()
{
  std::stable_sort(mErrors.begin(), mErrors.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.line < aRight.line;
  });
  return std::move(mErrors);
}

std::string DocumentReader::FormatNumber(double aNumber)
{
  std::ostringstream text;
  text << aNumber;
  return text.str();
}

} // namespace rhubarbtrail

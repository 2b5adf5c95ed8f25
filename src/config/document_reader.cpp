/* Converts YAML nodes into typed values and collects the errors. */
#include "config/document_reader.h"

#include <algorithm>
#include <sstream>

namespace rhubarbtrail {

namespace {

constexpr std::size_t kNameLimit = 128;
constexpr std::size_t kTextLimit = 1'024;
constexpr std::int64_t kDayMs = 86'400'000;
constexpr std::int64_t kMemoryLimitMb = 10'000'000;

/* Returns the line of a node, counted from 1. A node without a position has line 1. */
int LineOf(const YAML::Node& aNode)
{
  return std::max(aNode.Mark().line + 1, 1);
}

bool IsName(const std::string& aText)
{
  constexpr std::string_view kAllowed =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return !aText.empty() && aText.size() <= kNameLimit &&
         aText.find_first_not_of(kAllowed) == std::string::npos;
}

bool IsPlainText(const std::string& aText)
{
  constexpr char kDelete = 0x7f;
  return !aText.empty() && aText.size() <= kTextLimit &&
         std::none_of(aText.begin(), aText.end(), [](char aChar) {
           return (aChar >= 0 && aChar < ' ') || aChar == kDelete;
         });
}

/* Returns the text of a mapping's key, which is empty if the key is not a scalar. */
std::string KeyOf(const YAML::Node& aKey)
{
  return aKey.IsScalar() ? aKey.Scalar() : std::string{};
}

} // namespace

void DocumentReader::Fail(const YAML::Node& aNode, const std::string& aPath, std::string aReason)
{
  if (aNode.IsNull() && Has(aPath)) {
    FailAt(aPath, std::move(aReason)); // A missing value has no line, so that of its key is used.
    return;
  }
  mErrors.push_back({ LineOf(aNode), aPath, std::move(aReason) });
}

void DocumentReader::FailAt(const std::string& aPath, std::string aReason)
{
  std::string known = aPath;
  while (!known.empty() && !mLines.contains(known)) {
    const auto cut = known.find_last_of(".[");
    known.resize(cut == std::string::npos ? 0 : cut);
  }
  const int line = known.empty() ? 1 : mLines.at(known);
  mErrors.push_back({ line, aPath, std::move(aReason) });
}

void DocumentReader::Note(const YAML::Node& aNode, const std::string& aPath)
{
  mLines.emplace(aPath, LineOf(aNode));
}

void DocumentReader::Members(const YAML::Node& aNode,
                             const std::string& aPath,
                             const std::map<std::string, Handler>& aHandlers)
{
  if (!aNode.IsMap()) {
    Fail(aNode, aPath, "must be a mapping");
    return;
  }
  std::set<std::string> seen;
  for (const auto& item : aNode) {
    const std::string name = KeyOf(item.first);
    const std::string path = aPath.empty() ? name : aPath + "." + name;
    const auto handler = aHandlers.find(name);
    if (handler == aHandlers.end()) {
      Fail(item.first, path, "unknown key");
      continue;
    }
    if (!seen.insert(name).second) {
      Fail(item.first, path, "appears twice");
      continue;
    }
    Note(item.first, path);
    handler->second(item.second, path);
  }
}

void DocumentReader::Entries(const YAML::Node& aNode,
                             const std::string& aPath,
                             const EntryHandler& aHandler)
{
  if (!aNode.IsMap()) {
    Fail(aNode, aPath, "must be a mapping from names to values");
    return;
  }
  std::set<std::string> seen;
  for (const auto& item : aNode) {
    const std::string name = KeyOf(item.first);
    const std::string path = aPath + "." + name;
    if (!IsName(name)) {
      Fail(item.first, path, "names have 1 to 128 letters, digits, dots, hyphens, underscores");
      continue;
    }
    if (!seen.insert(name).second) {
      Fail(item.first, path, "appears twice");
      continue;
    }
    Note(item.first, path);
    aHandler(name, item.second, path);
  }
}

void DocumentReader::Items(const YAML::Node& aNode,
                           const std::string& aPath,
                           const Handler& aHandler)
{
  if (!aNode.IsSequence()) {
    Fail(aNode, aPath, "must be a list");
    return;
  }
  std::size_t index = 0;
  for (const auto& item : aNode) {
    const std::string path = aPath + "[" + std::to_string(index++) + "]";
    Note(item, path);
    aHandler(item, path);
  }
}

void DocumentReader::ReadMilliseconds(const YAML::Node& aNode,
                                      const std::string& aPath,
                                      Duration& aOut)
{
  std::int64_t value = 0;
  ReadNumber<std::int64_t>(aNode, aPath, 1, kDayMs, value);
  if (value != 0) {
    aOut = std::chrono::milliseconds{ value };
  }
}

void DocumentReader::ReadMemory(const YAML::Node& aNode, const std::string& aPath, MemoryMb& aOut)
{
  ReadNumber<std::int64_t>(aNode, aPath, 1, kMemoryLimitMb, aOut.value);
}

void DocumentReader::ReadText(const YAML::Node& aNode, const std::string& aPath, std::string& aOut)
{
  if (!aNode.IsScalar() || !IsPlainText(aNode.Scalar())) {
    Fail(aNode, aPath, "must be a text of 1 to 1024 characters on one line");
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

std::string DocumentReader::Show(double aNumber)
{
  std::ostringstream text;
  text << aNumber;
  return text.str();
}

} // namespace rhubarbtrail

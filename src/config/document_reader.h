/* Reads YAML nodes into typed values and collects every fault on the way. */
#ifndef RHUBARBTRAIL_CONFIG_DOCUMENT_READER_H
#define RHUBARBTRAIL_CONFIG_DOCUMENT_READER_H

#include "config/configuration_document.h"
#include "core/number_func.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace rhubarbtrail {

/* Collects faults while a document is read, and remembers the line of each path. */
class DocumentReader
{
public:
  using Handler = std::function<void(const YAML::Node&, const std::string&)>;
  using EntryHandler =
    std::function<void(const std::string&, const YAML::Node&, const std::string&)>;

  /* Notes a fault at a node. */
  void Fail(const YAML::Node& aNode, const std::string& aPath, std::string aReason);

  /* Notes a fault at a path; its line is that of the nearest part that was read. */
  void FailAt(const std::string& aPath, std::string aReason);

  /* Returns whether the document holds something at a path. */
  bool Has(const std::string& aPath) const { return mLines.contains(aPath); }

  /* Visits the members of a mapping; a member without a handler is a fault. */
  void Members(const YAML::Node& aNode,
               const std::string& aPath,
               const std::map<std::string, Handler>& aHandlers);

  /* Visits the entries of a mapping from names to values. */
  void Entries(const YAML::Node& aNode, const std::string& aPath, const EntryHandler& aHandler);

  /* Visits the items of a list. */
  void Items(const YAML::Node& aNode, const std::string& aPath, const Handler& aHandler);

  template<typename Number>
  void ReadNumber(const YAML::Node& aNode,
                  const std::string& aPath,
                  Number aLow,
                  Number aHigh,
                  Number& aOut)
  {
    if (!aNode.IsScalar() || IsQuoted(aNode)) {
      Fail(aNode, aPath, "must be a number");
      return;
    }
    const auto value = ParseNumber<Number>(aNode.Scalar(), aLow, aHigh);
    if (!value) {
      Fail(aNode, aPath, value.error() + " (" + Show(aLow) + " to " + Show(aHigh) + ")");
      return;
    }
    aOut = *value;
  }

  void ReadMilliseconds(const YAML::Node& aNode, const std::string& aPath, Duration& aOut);
  void ReadMemory(const YAML::Node& aNode, const std::string& aPath, MemoryMb& aOut);
  void ReadText(const YAML::Node& aNode, const std::string& aPath, std::string& aOut);

  template<typename Enum>
  void ReadWord(const YAML::Node& aNode,
                const std::string& aPath,
                const std::map<std::string, Enum>& aWords,
                Enum& aOut)
  {
    const auto found = aNode.IsScalar() ? aWords.find(aNode.Scalar()) : aWords.end();
    if (found != aWords.end()) {
      aOut = found->second;
      return;
    }
    std::string words;
    for (const auto& [word, value] : aWords) {
      words += (words.empty() ? "" : ", ") + word;
    }
    Fail(aNode, aPath, "must be one of: " + words);
  }

  /* Reads a list of texts, each of them once. */
  template<typename Item>
  void ReadList(const YAML::Node& aNode,
                const std::string& aPath,
                const std::function<void(Item, const std::string&)>& aAdd)
  {
    std::set<std::string> seen;
    Items(aNode, aPath, [&](const YAML::Node& aItem, const std::string& aAt) {
      std::string text;
      ReadText(aItem, aAt, text);
      if (text.empty()) {
        return;
      }
      if (!seen.insert(text).second) {
        Fail(aItem, aAt, "appears twice");
        return;
      }
      aAdd(Item{ text }, aAt);
    });
  }

  /* Returns the faults ordered by line. */
  std::vector<DocumentError> TakeErrors();

private:
  static bool IsQuoted(const YAML::Node& aNode) { return aNode.Tag() == "!"; }
  static std::string Show(double aNumber);
  template<typename Number>
  static std::string Show(Number aNumber)
  {
    return std::to_string(aNumber);
  }
  void Note(const YAML::Node& aNode, const std::string& aPath);

  std::vector<DocumentError> mErrors;
  std::map<std::string, int> mLines;
};

} // namespace rhubarbtrail

#endif

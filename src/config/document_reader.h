/* Converts YAML nodes into typed values and collects the errors. */
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

/* Reads the parts of a document. Collects all errors instead of stopping at the first one, and
 * records the line of each path that it reads, so that later checks can report the line, too.
 *
 * The functions that read a value leave aOut unchanged if the value is invalid. */
class DocumentReader
{
public:
  /* Gets a value and its path. */
  using Handler = std::function<void(const YAML::Node&, const std::string&)>;
  /* Gets a name, its value and the value's path. */
  using EntryHandler =
    std::function<void(const std::string&, const YAML::Node&, const std::string&)>;

  /* Adds an error with the line of a node. */
  void Fail(const YAML::Node& aNode, const std::string& aPath, std::string aReason);

  /* Adds an error with the line of a path. If the path was not read, the line of the nearest parent
   * that was read is used, or line 1 if there is none. */
  void FailAt(const std::string& aPath, std::string aReason);

  /* Returns whether a known key, a name or a list item was read at a path. */
  bool Has(const std::string& aPath) const { return mLines.contains(aPath); }

  /* Calls the handler of each key of a mapping. A key without a handler and a repeated key are
   * errors. */
  void Members(const YAML::Node& aNode,
               const std::string& aPath,
               const std::map<std::string, Handler>& aHandlers);

  /* Calls the handler for each entry of a mapping from names to values. An invalid name and a
   * repeated name are errors. */
  void Entries(const YAML::Node& aNode, const std::string& aPath, const EntryHandler& aHandler);

  /* Calls the handler for each item of a list. */
  void Items(const YAML::Node& aNode, const std::string& aPath, const Handler& aHandler);

  /* Reads a number from aLow to aHigh. A number in quotes is an error. */
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

  /* Reads a duration of 1 ms to one day. */
  void ReadMilliseconds(const YAML::Node& aNode, const std::string& aPath, Duration& aOut);

  /* Reads a memory size of 1 to 10,000,000 MB. */
  void ReadMemory(const YAML::Node& aNode, const std::string& aPath, MemoryMb& aOut);

  /* Reads a text of 1 to 1024 bytes without control characters. */
  void ReadText(const YAML::Node& aNode, const std::string& aPath, std::string& aOut);

  /* Reads one of the given words and sets aOut to the value that belongs to it. */
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

  /* Reads a list of texts. A repeated text is an error. aAdd gets each valid text and its path. */
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

  /* Moves out the errors, ordered by line. */
  std::vector<DocumentError> TakeErrors();

private:
  /* Returns whether a scalar is in quotes. yaml-cpp gives those the tag "!". */
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

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
  using ValueHandler = std::function<void(const YAML::Node&, const std::string&)>;
  /* Gets a name, its value and the value's path. */
  using EntryHandler =
    std::function<void(const std::string&, const YAML::Node&, const std::string&)>;

  /* Adds an error with the line of a node. */
  void AddError(const YAML::Node& aNode, const std::string& aPath, std::string aReason);

  /* Adds an error with the line of a path. If the path was not read, the line of the nearest parent
   * that was read is used, or line 1 if there is none. */
  void AddErrorAt(const std::string& aPath, std::string aReason);

  /* Returns whether a known key, a name or a list item was read at a path. */
  bool HasPath(const std::string& aPath) const { return mLineByPath.contains(aPath); }

  /* Calls the handler of each key of a mapping. A key without a handler and a repeated key are
   * errors. */
  void ReadMembers(const YAML::Node& aNode,
                   const std::string& aPath,
                   const std::map<std::string, ValueHandler>& aHandlers);

  /* Calls the handler for each entry of a mapping from names to values. An invalid name and a
   * repeated name are errors. */
  void ReadEntries(const YAML::Node& aNode, const std::string& aPath, const EntryHandler& aHandler);

  /* Calls the handler for each item of a list. */
  void ReadItems(const YAML::Node& aNode, const std::string& aPath, const ValueHandler& aHandler);

  /* Reads a number from aLow to aHigh. A number in quotes is an error. */
  template<typename Number>
  void ReadNumber(const YAML::Node& aNode,
                  const std::string& aPath,
                  Number aLow,
                  Number aHigh,
                  Number& aOut)
  {
    if (!aNode.IsScalar() || IsQuoted(aNode)) {
      AddError(aNode, aPath, "must be a number");
      return;
    }
    const auto value = ParseNumber<Number>(aNode.Scalar(), aLow, aHigh);
    if (!value) {
      AddError(aNode,
               aPath,
               value.error() + " (" + FormatNumber(aLow) + " to " + FormatNumber(aHigh) + ")");
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
  template<typename Value>
  void ReadChoice(const YAML::Node& aNode,
                  const std::string& aPath,
                  const std::map<std::string, Value>& aChoices,
                  Value& aOut)
  {
    const auto found = aNode.IsScalar() ? aChoices.find(aNode.Scalar()) : aChoices.end();
    if (found != aChoices.end()) {
      aOut = found->second;
      return;
    }
    std::string choices;
    for (const auto& [choice, value] : aChoices) {
      choices += (choices.empty() ? "" : ", ") + choice;
    }
    AddError(aNode, aPath, "must be one of: " + choices);
  }

  /* Reads a list of texts. A repeated text is an error. aAdd gets each valid text and its path. */
  template<typename Item>
  void ReadList(const YAML::Node& aNode,
                const std::string& aPath,
                const std::function<void(Item, const std::string&)>& aAdd)
  {
    std::set<std::string> seen;
    ReadItems(aNode, aPath, [&](const YAML::Node& aItem, const std::string& aItemPath) {
      std::string text;
      ReadText(aItem, aItemPath, text);
      if (text.empty()) {
        return;
      }
      if (!seen.insert(text).second) {
        AddError(aItem, aItemPath, "appears twice");
        return;
      }
      aAdd(Item{ text }, aItemPath);
    });
  }

  /* Moves out the errors, ordered by line. */
  std::vector<DocumentError> TakeErrors();

private:
  /* Returns whether a scalar is in quotes. yaml-cpp gives those the tag "!". */
  static bool IsQuoted(const YAML::Node& aNode) { return aNode.Tag() == "!"; }
  static std::string FormatNumber(double aNumber);
  template<typename Number>
  static std::string FormatNumber(Number aNumber)
  {
    return std::to_string(aNumber);
  }
  void RecordLine(const YAML::Node& aNode, const std::string& aPath);

  std::vector<DocumentError> mErrors;
  std::map<std::string, int> mLineByPath;
};

} // namespace rhubarbtrail

#endif

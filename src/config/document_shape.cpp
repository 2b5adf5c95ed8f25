/* Checks the shape of a YAML document: its size, depth, aliases and number of documents. */
#include "config/document_shape.h"

#include <algorithm>
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace rhubarbtrail {

namespace {

constexpr std::size_t kDocumentLimitBytes = 4U << 20U;
/* Deepest nesting of mappings and lists. A valid document needs 5 levels at most, for example for
 * models/NAME/adapters/NAME/memory_mb. */
constexpr int kDepthLimit = 16;

/* Checks the events of the YAML parser. Keeps only the first error of each kind. */
class ShapeHandler : public YAML::EventHandler
{
public:
  void OnDocumentStart(const YAML::Mark& aMark) override { mLastLine = aMark.line + 1; }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& /*aMark*/, YAML::anchor_t /*aAnchor*/) override {}
  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override
  {
    AddError(aMark, "aliases are not supported; write the value out");
  }
  void OnScalar(const YAML::Mark& /*aMark*/,
                const std::string& /*aTag*/,
                YAML::anchor_t /*aAnchor*/,
                const std::string& /*aValue*/) override
  {
  }
  void OnSequenceStart(const YAML::Mark& aMark,
                       const std::string& /*aTag*/,
                       YAML::anchor_t /*aAnchor*/,
                       YAML::EmitterStyle::value /*aStyle*/) override
  {
    EnterCollection(aMark);
  }
  void OnSequenceEnd() override { --mDepth; }
  void OnMapStart(const YAML::Mark& aMark,
                  const std::string& /*aTag*/,
                  YAML::anchor_t /*aAnchor*/,
                  YAML::EmitterStyle::value /*aStyle*/) override
  {
    EnterCollection(aMark);
  }
  void OnMapEnd() override { --mDepth; }

  int lastLine() const { return mLastLine; }
  std::vector<DocumentError>& errors() { return mErrors; }

private:
  void EnterCollection(const YAML::Mark& aMark)
  {
    if (++mDepth > kDepthLimit) {
      AddError(aMark, "is nested too deeply");
    }
  }
  void AddError(const YAML::Mark& aMark, const std::string& aReason)
  {
    const bool isReported = std::any_of(
      mErrors.begin(), mErrors.end(), [&](const auto& aError) { return aError.reason == aReason; });
    if (!isReported) {
      mErrors.push_back({ aMark.line + 1, "", aReason });
    }
  }

  int mDepth = 0;
  int mLastLine = 1;
  std::vector<DocumentError> mErrors;
};

/* Returns whether brackets and braces are nested deeper than allowed. Those in quoted texts and
 * comments are counted as well. Nesting by indentation is not counted. */
bool HasDeepBrackets(const std::string& aDocument)
{
  int depth = 0;
  for (const char character : aDocument) {
    depth += character == '[' || character == '{' ? 1 : 0;
    depth -= character == ']' || character == '}' ? 1 : 0;
    if (depth > kDepthLimit) {
      return true;
    }
  }
  return false;
}

/* Returns whether a search of the text finds no document markers, no aliases and no deeply nested
 * brackets, so that the pass over the parser events can be skipped. That pass takes as long as
 * loading the document, and most documents do not need it. */
bool CanSkipEventPass(const std::string& aDocument)
{
  const bool hasMarkersOrAliases = aDocument.find("---") != std::string::npos ||
                                   aDocument.find("...") != std::string::npos ||
                                   aDocument.find('*') != std::string::npos;
  const bool hasText = aDocument.find_first_not_of(" \t\r\n") != std::string::npos;
  return hasText && !hasMarkersOrAliases && !HasDeepBrackets(aDocument);
}

} // namespace

std::vector<DocumentError> CheckShape(const std::string& aDocument)
{
  if (aDocument.size() > kDocumentLimitBytes) {
    return { { 1, "", "is larger than 4 MiB" } };
  }
  if (CanSkipEventPass(aDocument)) {
    return {};
  }
  std::istringstream stream(aDocument);
  YAML::Parser parser(stream);
  ShapeHandler handler;
  if (!parser.HandleNextDocument(handler)) {
    return { { 1, "", "the document is empty" } };
  }
  if (handler.errors().empty() && parser.HandleNextDocument(handler)) {
    handler.errors().push_back({ handler.lastLine(), "", "holds more than one document" });
  }
  return std::move(handler.errors());
}

} // namespace rhubarbtrail

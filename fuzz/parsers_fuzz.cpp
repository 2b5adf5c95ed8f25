/* Fuzzes the parsers of configuration documents, settings, messages, table rows and event streams.
 * The first byte of the input selects the parser. A crash, a memory leak or a timeout is a fault.
 */
#include "codec/json_codec.h"
#include "config/configuration_document.h"
#include "endpoint/sse_splitter.h"
#include "settings/settings_base.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace rhubarbtrail;

namespace {

/* Aborts if a document is accepted with a model whose service does not exist, or is rejected
 * without an error. */
void CheckDocument(const std::string& aText)
{
  const auto result = ParseConfiguration(aText, { 1 });
  if (!result) {
    if (result.error().empty()) {
      std::abort();
    }
    return;
  }
  for (const auto& [id, model] : result->models) {
    if (!result->services.contains(model.service)) {
      std::abort();
    }
  }
}

/* Aborts if a stream that arrives in pieces of 3 bytes gives other events than the whole stream. */
void CheckEventSplitting(const std::string& aText)
{
  constexpr std::size_t kPieceSize = 3;
  SseSplitter whole;
  SseSplitter pieces;
  bool isAccepted = true;
  for (std::size_t offset = 0; offset < aText.size() && isAccepted; offset += kPieceSize) {
    isAccepted = pieces.Feed(std::string_view{ aText }.substr(offset, kPieceSize));
  }
  if (!whole.Feed(aText) || !isAccepted) {
    return;
  }
  while (const auto event = whole.Next()) {
    if (pieces.Next() != event) {
      std::abort();
    }
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  constexpr std::uint8_t kParserCount = 5;
  const std::string text(aData + 1, aData + aSize);
  switch (aData[0] % kParserCount) {
    case 0:
      CheckDocument(text);
      break;
    case 1:
      static_cast<void>(ParseSettings(text, "settings"));
      break;
    case 2:
      static_cast<void>(DecodeEnvelope(text));
      break;
    case 3:
      static_cast<void>(DecodeRow(text));
      break;
    default:
      CheckEventSplitting(text);
  }
  return 0;
}

/* Feeds arbitrary bytes to everything that reads text from outside. The first byte picks the
 * reader; a crash, a leak or a time-out is a fault. */
#include "codec/json_codec.h"
#include "config/configuration_document.h"
#include "endpoint/sse_splitter.h"
#include "settings/settings_base.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace rhubarbtrail;

namespace {

/* What has no errors must be usable: its parts refer to each other. */
void ReadDocument(const std::string& aText)
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

/* Pieces of any size give the same events as the whole. */
void SplitEvents(const std::string& aText)
{
  constexpr std::size_t kPiece = 3;
  SseSplitter whole;
  SseSplitter pieces;
  bool isAccepted = true;
  for (std::size_t at = 0; at < aText.size() && isAccepted; at += kPiece) {
    isAccepted = pieces.Feed(std::string_view{ aText }.substr(at, kPiece));
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
  constexpr std::uint8_t kReaders = 5;
  const std::string text(aData + 1, aData + aSize);
  switch (aData[0] % kReaders) {
    case 0:
      ReadDocument(text);
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
      SplitEvents(text);
  }
  return 0;
}

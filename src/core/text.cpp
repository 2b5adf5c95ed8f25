/* Checks and encoding of strings that come from outside the process. */
#include "core/text_func.h"

#include <boost/locale/utf.hpp>

#include <cstddef>
#include <spdlog/fmt/fmt.h>

namespace rhubarbtrail {

namespace {

using CodePoint = boost::locale::utf::code_point;

constexpr std::size_t kMaxNameBytes = 256;

bool IsControl(CodePoint aPoint)
{
  constexpr CodePoint kSpace = 0x20;
  constexpr CodePoint kDelete = 0x7f;
  constexpr CodePoint kFirstAfterControls = 0xa0; // Of the Latin-1 supplement.
  return aPoint < kSpace || (aPoint >= kDelete && aPoint < kFirstAfterControls);
}

/* Returns whether a text is valid UTF-8 and a predicate holds for each of its characters. */
template<typename Predicate>
bool AllOf(std::string_view aText, Predicate aPredicate)
{
  for (const auto* position = aText.begin(); position != aText.end();) {
    const CodePoint point = boost::locale::utf::utf_traits<char>::decode(position, aText.end());
    if (!boost::locale::utf::is_valid_codepoint(point) || !aPredicate(point)) {
      return false;
    }
  }
  return true;
}

} // namespace

bool IsUtf8(std::string_view aText)
{
  return AllOf(aText, [](CodePoint) { return true; });
}

bool IsName(std::string_view aText)
{
  return aText.size() <= kMaxNameBytes &&
         AllOf(aText, [](CodePoint aPoint) { return !IsControl(aPoint); });
}

std::string PercentEncode(std::string_view aText)
{
  constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  std::string encoded;
  for (const char character : aText) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
  }
  return encoded;
}

} // namespace rhubarbtrail

/* Parsing of MessagePack that comes from outside the process. */
#include "core/message_pack_func.h"

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace rhubarbtrail {

namespace {

/* The head of a value: how many bytes follow it, and how many values an array or a map holds. */
struct ValueHead
{
  std::uint64_t bytes = 0;
  std::uint64_t values = 0;
};

/* Reads the heads of the values of a text one after the other, as the MessagePack specification
 * defines them. What is missing at the end counts as 0, since the parser rejects the text anyway.
 */
class HeadReader
{
public:
  explicit HeadReader(std::string_view aBytes)
    : mBytes(aBytes)
  {
  }

  bool isAtEnd() const { return mBytes.empty(); }

  /* Reads a head and skips the bytes that follow it. */
  ValueHead Next()
  {
    const ValueHead head = Read(static_cast<std::uint8_t>(ReadNumber(1)));
    mBytes.remove_prefix(std::min<std::uint64_t>(head.bytes, mBytes.size()));
    return head;
  }

private:
  ValueHead Read(std::uint8_t aType)
  {
    constexpr std::uint64_t kExtensionType = 1;
    if (aType < 0x80 || aType >= 0xe0) {
      return {}; // A small integer.
    }
    if (aType < 0x90) {
      return { .values = 2 * std::uint64_t{ aType & 0x0fU } };
    }
    if (aType < 0xa0) {
      return { .values = aType & 0x0fU };
    }
    if (aType < 0xc0) {
      return { .bytes = aType & 0x1fU };
    }
    switch (aType) {
      case 0xc4: // Bytes.
      case 0xd9: // Text.
        return { .bytes = ReadNumber(1) };
      case 0xc5:
      case 0xda:
        return { .bytes = ReadNumber(2) };
      case 0xc6:
      case 0xdb:
        return { .bytes = ReadNumber(4) };
      case 0xc7: // An extension.
        return { .bytes = ReadNumber(1) + kExtensionType };
      case 0xc8:
        return { .bytes = ReadNumber(2) + kExtensionType };
      case 0xc9:
        return { .bytes = ReadNumber(4) + kExtensionType };
      case 0xca: // A number.
      case 0xce:
      case 0xd2:
        return { .bytes = 4 };
      case 0xcb:
      case 0xcf:
      case 0xd3:
        return { .bytes = 8 };
      case 0xcc:
      case 0xd0:
        return { .bytes = 1 };
      case 0xcd:
      case 0xd1:
        return { .bytes = 2 };
      case 0xd4: // An extension of fixed size.
      case 0xd5:
      case 0xd6:
      case 0xd7:
      case 0xd8:
        return { .bytes = (std::uint64_t{ 1 } << (aType - 0xd4U)) + kExtensionType };
      case 0xdc: // An array.
        return { .values = ReadNumber(2) };
      case 0xdd:
        return { .values = ReadNumber(4) };
      case 0xde: // A map.
        return { .values = 2 * ReadNumber(2) };
      case 0xdf:
        return { .values = 2 * ReadNumber(4) };
      default:
        return {};
    }
  }

  std::uint64_t ReadNumber(std::size_t aSize)
  {
    std::uint64_t number = 0;
    for (const char byte : mBytes.substr(0, aSize)) {
      number = number << 8U | static_cast<std::uint8_t>(byte);
    }
    mBytes.remove_prefix(std::min(aSize, mBytes.size()));
    return number;
  }

  std::string_view mBytes;
};

bool IsNestedTooDeep(std::string_view aBytes)
{
  HeadReader reader{ aBytes };
  std::vector<std::uint64_t> openValues; ///< Values to come of each array or map that is open.
  do {
    const ValueHead head = reader.Next();
    if (head.values > 0) {
      openValues.push_back(head.values);
      if (openValues.size() > kMaxMessageDepth) {
        return true;
      }
      continue;
    }
    while (!openValues.empty() && --openValues.back() == 0) {
      openValues.pop_back();
    }
  } while (!openValues.empty() && !reader.isAtEnd());
  return false;
}

} // namespace

nlohmann::json ParseMessagePack(std::string_view aBytes)
{
  if (IsNestedTooDeep(aBytes)) {
    throw std::runtime_error("nested deeper than " + std::to_string(kMaxMessageDepth));
  }
  return nlohmann::json::from_msgpack(aBytes);
}

} // namespace rhubarbtrail

/* Parsing of MessagePack that comes from outside the process. */
#ifndef RHUBARBTRAIL_CORE_MESSAGE_PACK_FUNC_H
#define RHUBARBTRAIL_CORE_MESSAGE_PACK_FUNC_H

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace rhubarbtrail {

/* Deepest nesting of arrays and maps in a message between daemons. */
constexpr std::size_t kMaxMessageDepth = 32;

/* Returns the value that MessagePack encodes. Throws std::runtime_error if it is nested deeper than
 * kMaxMessageDepth: the library parses it by recursion, which would overflow the stack. Throws
 * nlohmann::json::exception if it is not valid. */
nlohmann::json ParseMessagePack(std::string_view aBytes);

} // namespace rhubarbtrail

#endif

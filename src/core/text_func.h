/* Checks and encoding of strings that come from outside the process. */
#ifndef RHUBARBTRAIL_CORE_TEXT_FUNC_H
#define RHUBARBTRAIL_CORE_TEXT_FUNC_H

#include <string>
#include <string_view>

namespace rhubarbtrail {

/* Returns whether a text is valid UTF-8. */
bool IsUtf8(std::string_view aText);

/* Returns whether a text can be the name of something: valid UTF-8 without control characters, and
 * of at most 256 bytes. An empty text can. */
bool IsName(std::string_view aText);

/* Percent-encodes all bytes of a text that are not unreserved in URLs (RFC 3986), so that it can be
 * a value in the query of a target. */
std::string PercentEncode(std::string_view aText);

} // namespace rhubarbtrail

#endif

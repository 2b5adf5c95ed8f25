/* Checks of strings that come from outside the process. */
#ifndef RHUBARBTRAIL_CORE_TEXT_FUNC_H
#define RHUBARBTRAIL_CORE_TEXT_FUNC_H

#include <string_view>

namespace rhubarbtrail {

/* Returns whether a text is valid UTF-8. */
bool IsUtf8(std::string_view aText);

/* Returns whether a text can be the name of something: valid UTF-8 without control characters, and
 * of at most 256 bytes. An empty text can. */
bool IsName(std::string_view aText);

} // namespace rhubarbtrail

#endif

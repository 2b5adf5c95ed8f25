/* Digests of keys and requests, and random identifiers. */
#ifndef RHUBARBTRAIL_CORE_DIGEST_FUNC_H
#define RHUBARBTRAIL_CORE_DIGEST_FUNC_H

#include <string>
#include <string_view>

namespace rhubarbtrail {

/* Returns the SHA-256 of a text in lower-case hex. */
std::string Sha256Hex(std::string_view aText);

/* Compares two texts in a time that depends on their lengths only, so that the time does not reveal
 * how much of a secret was right. */
bool EqualsInConstantTime(std::string_view aLeft, std::string_view aRight);

/* Returns 64 random bits as 16 hex digits. */
std::string RandomHex();

} // namespace rhubarbtrail

#endif

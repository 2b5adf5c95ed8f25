/* HTTP/1.1 messages as plain data, so that few files include the library's headers. */
#ifndef RHUBARBTRAIL_HTTP_HTTP_TYPE_H
#define RHUBARBTRAIL_HTTP_HTTP_TYPE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbtrail::http {

struct Field
{
  std::string name;
  std::string value;
};

using Fields = std::vector<Field>;

/* Compares names of header fields, without regard to ASCII case. */
bool IsSameName(std::string_view aLeft, std::string_view aRight);

/* Returns the value of the first field with a name, or nothing. */
std::optional<std::string_view> Find(const Fields& aFields, std::string_view aName);

/* Returns whether a field concerns one connection only and must not be passed on. Fields that the
 * Connection field names are such too. */
bool IsConnectionField(const Fields& aFields, std::string_view aName);

struct Request
{
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
};

/* How the end of a body is told. */
enum class Framing : std::uint8_t
{
  kNone, ///< No body.
  kLength,
  kChunked,
  kUntilClose,
};

struct AnswerHead
{
  unsigned status = 0;
  std::string reason;
  Fields fields;
  Framing framing = Framing::kNone;
  std::uint64_t length = 0; ///< With Framing::kLength.
};

/* Returns an answer's start line and fields, with the closing blank line. */
std::string Serialize(const AnswerHead& aHead, bool aKeepsConnection);

/* Returns a request with its body. */
std::string Serialize(const Request& aRequest, std::string_view aHost);

/* Returns one chunk of a chunked body. */
std::string Chunk(std::string_view aBytes);

/* The chunk that ends a chunked body. */
constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace rhubarbtrail::http

#endif

/* Header fields, and serialization of HTTP/1.1 messages. */
#include "http/http_type.h"

#include <algorithm>
#include <array>
#include <spdlog/fmt/fmt.h>

namespace rhubarbtrail::http {

namespace {

char LowerCase(char aCharacter)
{
  return aCharacter >= 'A' && aCharacter <= 'Z' ? static_cast<char>(aCharacter - 'A' + 'a')
                                                : aCharacter;
}

/* Removes leading and trailing spaces and tabs. */
std::string_view Trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

/* Orders two texts, ignoring ASCII case. */
bool IsLessIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::lexicographical_compare(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aFirst, char aSecond) {
      return LowerCase(aFirst) < LowerCase(aSecond);
    });
}

void AppendField(std::string& aOut, std::string_view aName, std::string_view aValue)
{
  aOut.append(aName).append(": ").append(aValue).append("\r\n");
}

} // namespace

std::string_view ToString(Framing aFraming)
{
  switch (aFraming) {
    case Framing::kNone:
      return "none";
    case Framing::kLength:
      return "length";
    case Framing::kChunked:
      return "chunked";
    case Framing::kUntilClose:
      return "until_close";
  }
  return "unknown";
}

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aFirst, char aSecond) {
      return LowerCase(aFirst) == LowerCase(aSecond);
    });
}

bool IsFieldName(std::string_view aText)
{
  constexpr std::string_view kTokenCharacters =
    "!#$%&'*+-.^_`|~0123456789"
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
  return !aText.empty() && aText.find_first_not_of(kTokenCharacters) == std::string_view::npos;
}

std::optional<std::string_view> Find(const Fields& aFields, std::string_view aName)
{
  for (const Field field : aFields) {
    if (EqualsIgnoringCase(field.name, aName)) {
      return field.value;
    }
  }
  return std::nullopt;
}

/* Load pattern: heads with thousands of names in Connection and as many fields. A list that is read
 * anew for each field takes 50 ms of a core for such a head. */
HopByHopFields::HopByHopFields(const Fields& aFields)
{
  for (const Field field : aFields) {
    if (!EqualsIgnoringCase(field.name, "Connection")) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      mListed.push_back(Trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    }
  }
  std::sort(mListed.begin(), mListed.end(), IsLessIgnoringCase);
}

bool HopByHopFields::Has(std::string_view aName) const
{
  constexpr std::array<std::string_view, 10> kNames{ "Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Connection",
                                                     "Proxy-Authenticate",
                                                     "Proxy-Authorization",
                                                     "TE",
                                                     "Trailer",
                                                     "Transfer-Encoding",
                                                     "Upgrade",
                                                     "Expect" };
  return std::any_of(kNames.begin(),
                     kNames.end(),
                     [&](std::string_view aKnown) { return EqualsIgnoringCase(aKnown, aName); }) ||
         std::binary_search(mListed.begin(), mListed.end(), aName, IsLessIgnoringCase);
}

std::string Serialize(const AnswerHead& aHead, bool aKeepsConnection)
{
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", aHead.status, aHead.reason);
  for (const Field field : aHead.fields) {
    AppendField(text, field.name, field.value);
  }
  switch (aHead.framing) {
    case Framing::kLength:
      AppendField(text, "Content-Length", std::to_string(aHead.length));
      break;
    case Framing::kChunked:
      AppendField(text, "Transfer-Encoding", "chunked");
      break;
    case Framing::kNone:
    case Framing::kUntilClose:
      break;
  }
  if (!aKeepsConnection) {
    AppendField(text, "Connection", "close");
  }
  return text.append("\r\n");
}

std::string Serialize(const Request& aRequest, std::string_view aHost)
{
  std::string text = aRequest.method + " " + aRequest.target + " HTTP/1.1\r\n";
  if (!Find(aRequest.fields, "Host")) {
    AppendField(text, "Host", aHost);
  }
  for (const Field field : aRequest.fields) {
    AppendField(text, field.name, field.value);
  }
  const bool hasBodyByMethod = aRequest.method != "GET" && aRequest.method != "HEAD" &&
                               aRequest.method != "DELETE" && aRequest.method != "OPTIONS";
  if (!aRequest.body.empty() || hasBodyByMethod) {
    AppendField(text, "Content-Length", std::to_string(aRequest.body.size()));
  }
  return text.append("\r\n").append(aRequest.body);
}

std::string EncodeChunk(std::string_view aBytes)
{
  return fmt::format("{:x}\r\n{}\r\n", aBytes.size(), aBytes);
}

} // namespace rhubarbtrail::http

/* Encodes calls to the platform's row store and decodes its answers. */
#include "platform/store_codec.h"

#include "core/json_text.h"
#include "core/text_func.h"
#include "platform/json_reader.h"
#include "platform/wire_names.h"

#include <charconv>
#include <openssl/evp.h>
#include <spdlog/fmt/fmt.h>

namespace rhubarbtrail::platform {

namespace {

constexpr std::size_t kMaxRowsPerAnswer = 500;
/* Half of the store's limit, since the values are counted here without their encoding. */
constexpr std::size_t kMaxBytesPerAnswer = 500'000;

std::string ToBase64(const std::string& aBytes)
{
  std::string text(4 * ((aBytes.size() + 2) / 3) + 1, '\0'); // Plus a terminating zero.
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(aBytes.data()),
                                     static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

/* Decodes base64. Returns nothing if the text is invalid. */
std::optional<std::string> FromBase64(const std::string& aText)
{
  if (aText.empty()) {
    return std::string{};
  }
  std::string bytes(3 * (aText.size() / 4 + 1), '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                     reinterpret_cast<const unsigned char*>(aText.data()),
                                     static_cast<int>(aText.size()));
  if (length < 0 || aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::size_t padding = 0;
  while (padding < 2 && padding < aText.size() && aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

/* Decodes a row. A value that is not base64 is left empty, which no reader of a table accepts: it
 * must not hide the other rows of the answer. */
StoreRow DecodeRow(const Json& aRow, StoreEra aEra)
{
  StoreRow row{ .table = StringMember(aRow, "table"),
                .key = StringMember(aRow, "key"),
                .value = {},
                .version = { UnsignedMemberOr(aRow, "ver", 0), aEra },
                .isRemoved = BoolMemberOr(aRow, "removed", false) };
  if (!row.isRemoved && aRow.contains("value") && aRow["value"].is_string()) {
    row.value = FromBase64(aRow["value"].get_ref<const std::string&>()).value_or("");
  }
  return row;
}

} // namespace

std::optional<StoreEra> DecodeStoreEra(const http::AnswerHead& aHead)
{
  const auto text = http::Find(aHead.fields, field::kStoreEra);
  if (!text) {
    return std::nullopt;
  }
  StoreEra era;
  const char* end = text->data() + text->size();
  const auto [rest, error] = std::from_chars(text->data(), end, era.value);
  return error == std::errc{} && rest == end ? std::optional{ era } : std::nullopt;
}

tl::expected<http::Request, std::string> EncodeWrite(const StoreWrite& aWrite)
{
  const Json key{ { "table", aWrite.table }, { "part", "" }, { "key", aWrite.key } };
  Json condition = key;
  condition["ver"] = aWrite.expectedVersion.value;
  // Despite its name, this member is the list of the row versions that the write requires.
  Json body{ { "expectedRev", Json::array({ condition }) },
             { "setKeys", Json::array() },
             { "remove", Json::array() } };
  if (aWrite.value) {
    Json row = key;
    row["value"] = ToBase64(*aWrite.value);
    body["setKeys"].push_back(std::move(row));
  } else {
    body["remove"].push_back(key);
  }
  return EncodeJson(body).map([](std::string aText) {
    return http::Request{ .method = "POST",
                          .target = std::string{ path::kTransaction },
                          .fields = { { "Content-Type", "application/json" } },
                          .body = std::move(aText) };
  });
}

http::Request EncodeRead(const std::string& aTable, const std::string& aFirstKey)
{
  std::string target = fmt::format("{}?table={}&part=", path::kRows, PercentEncode(aTable));
  if (!aFirstKey.empty()) {
    target += "&from=" + PercentEncode(aFirstKey);
  }
  return { .method = "GET", .target = std::move(target), .fields = {}, .body = {} };
}

http::Request EncodeWatch(const std::string& aTable, RowVersion aAfter, Duration aWait)
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  return { .method = "GET",
           .target = fmt::format("{}?table={}&after={}&waitMs={}",
                                 path::kChanges,
                                 PercentEncode(aTable),
                                 aAfter.value,
                                 duration_cast<milliseconds>(aWait).count()),
           .fields = {},
           .body = {} };
}

tl::expected<StoreAnswer, std::string> DecodeStoreAnswer(const std::string& aBody, StoreEra aEra)
{
  try {
    const Json body = ParseJson(aBody);
    StoreAnswer answer;
    answer.newest = { UnsignedMember(body, "ver"), aEra };
    answer.isTruncated = BoolMemberOr(body, "truncated", false);
    if (body.contains("rows")) {
      for (const Json& row : ArrayMember(body, "rows")) {
        answer.rows.push_back(DecodeRow(row, aEra));
      }
    }
    return answer;
  } catch (const DecodeError& error) {
    return tl::make_unexpected(std::string{ error.what() });
  } catch (const Json::exception& error) {
    return tl::make_unexpected(std::string{ error.what() });
  }
}

bool MayHaveMoreChanges(const StoreAnswer& aAnswer)
{
  std::size_t bytes = 0;
  for (const StoreRow& row : aAnswer.rows) {
    bytes += row.value.size();
  }
  return aAnswer.isTruncated || aAnswer.rows.size() >= kMaxRowsPerAnswer ||
         bytes >= kMaxBytesPerAnswer;
}

} // namespace rhubarbtrail::platform

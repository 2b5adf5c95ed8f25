/* Encodes calls to the platform's store of rows, and decodes its answers. */
#ifndef RHUBARBTRAIL_PLATFORM_STORE_CODEC_H
#define RHUBARBTRAIL_PLATFORM_STORE_CODEC_H

#include "core/unit_type.h"
#include "http/http_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace rhubarbtrail::platform {

/* A row with its value decoded. */
struct StoreRow
{
  std::string table;
  std::string key;
  std::string value;
  RowVersion version; ///< 0: absent.
  bool isRemoved = false;
};

/* Writes one row, or removes it when there is no value, if it still has a version. */
struct StoreWrite
{
  std::string table;
  std::string key;
  std::optional<std::string> value;
  RowVersion expected; ///< 0: the row must be absent.
};

/* What the store answers about rows. */
struct StoreAnswer
{
  std::vector<StoreRow> rows;
  RowVersion newest; ///< Of the whole store at the time of the answer.
  bool isTruncated = false;
};

http::Request EncodeWrite(const StoreWrite& aWrite);
http::Request EncodeRead(const std::string& aTable, const std::string& aFirstKey);
http::Request EncodeWatch(const std::string& aTable, RowVersion aAfter, Duration aWait);
tl::expected<StoreAnswer, std::string> DecodeStoreAnswer(const std::string& aBody);

} // namespace rhubarbtrail::platform

#endif

/* Encodes calls to the platform's row store and decodes its answers. */
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

/* A row of the store. The value is decoded from base64. */
struct StoreRow
{
  std::string table;
  std::string key;
  std::string value;
  RowVersion version; ///< 0: the row does not exist, or the store gave no version.
  bool isRemoved = false;
};

/* A conditional write of one row. Without a value it removes the row. */
struct StoreWrite
{
  std::string table;
  std::string key;
  std::optional<std::string> value;
  RowVersion expectedVersion; ///< Version that the row must have. 0: it must not exist.
};

/* An answer of the store to a read, a watch or a write. */
struct StoreAnswer
{
  std::vector<StoreRow> rows;
  RowVersion newest;        ///< Newest version in the whole store at the time of the answer.
  bool isTruncated = false; ///< The table has more rows after the last one.
};

/* Returns the era that the store states in the header of an answer, or nothing if it states none or
 * one that is not a number. */
std::optional<StoreEra> DecodeStoreEra(const http::AnswerHead& aHead);

/* Returns the HTTP request that writes a row, or what is wrong with its names. */
tl::expected<http::Request, std::string> EncodeWrite(const StoreWrite& aWrite);
/* Reads the rows of a table from a key on, that one included, or all rows if the key is empty. */
http::Request EncodeRead(const std::string& aTable, const std::string& aFirstKey);
/* Requests the changes of a table after a version. If there are none, the store waits for up to
 * aWait before it answers. */
http::Request EncodeWatch(const std::string& aTable, RowVersion aAfter, Duration aWait);
/* Returns the answer, whose versions are all of this era, or a description of the error. */
tl::expected<StoreAnswer, std::string> DecodeStoreAnswer(const std::string& aBody, StoreEra aEra);

/* Returns whether the answer to a watch may end before the newest change: the store limits its
 * answers by rows and bytes, and does not say so in those to a watch. */
bool MayHaveMoreChanges(const StoreAnswer& aAnswer);

} // namespace rhubarbtrail::platform

#endif

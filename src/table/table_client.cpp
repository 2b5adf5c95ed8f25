/* Calls the table service over HTTP and JSON. docs/INTERFACES.md describes the protocol. */
#include "table/table_client.h"

#include "codec/json_codec.h"
#include "core/httplib_client_func.h"
#include "core/json_text.h"
#include "core/log_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace rhubarbtrail {

namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

std::vector<Row> ParseRows(const json& aRows)
{
  std::vector<Row> rows;
  for (const json& item : aRows) {
    Row row{ .key = RowKey{ item.at("key").get<std::string>() },
             .version = RowVersion{ item.at("version").get<std::uint64_t>() },
             .value = std::nullopt };
    if (item.contains("value") && item["value"].is_string()) {
      const auto value = DecodeRow(item["value"].get<std::string>());
      if (!value) {
        throw std::invalid_argument(value.error());
      }
      row.value = *value;
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

/* Returns whether a transaction has a condition on a row or writes it. */
bool ConcernsRow(const TableTransaction& aTransaction, const RowKey& aKey)
{
  const auto isKey = [&aKey](const auto& aItem) { return aItem.key == aKey; };
  return std::any_of(aTransaction.conditions.begin(), aTransaction.conditions.end(), isKey) ||
         std::any_of(aTransaction.writes.begin(), aTransaction.writes.end(), isKey);
}

} // namespace

TableClient::TableClient(TableClientOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

TransactionResult TableClient::Commit(const TableTransaction& aTransaction) const
{
  json body{ { "change", aTransaction.change.str() },
             { "conditions", json::array() },
             { "writes", json::array() } };
  for (const RowCondition& condition : aTransaction.conditions) {
    body["conditions"].push_back(
      { { "key", condition.key.str() }, { "version", condition.version.value } });
  }
  for (const RowWrite& write : aTransaction.writes) {
    json item{ { "key", write.key.str() } };
    if (write.value) {
      auto value = EncodeRow(*write.value);
      if (!value) {
        Log(log_part::kPlatform)->error("A row is not written: {}.", value.error());
        return { .change = aTransaction.change,
                 .outcome = TransactionOutcome::kUnknown,
                 .rows = {} };
      }
      item["value"] = std::move(*value);
    }
    body["writes"].push_back(std::move(item));
  }
  TransactionResult result{ .change = aTransaction.change,
                            .outcome = TransactionOutcome::kUnknown,
                            .rows = {} };
  const auto text = EncodeJson(body);
  if (!text) {
    Log(log_part::kPlatform)->error("A transaction is not sent: {}.", text.error());
    return result;
  }
  const HttplibAnswer answer = SendHttplibCall({ .address = mOptions.address,
                                                 .method = "POST",
                                                 .path = "/table/transaction",
                                                 .body = *text,
                                                 .timeout = mOptions.timeout });
  const bool hasOutcome = answer.outcome == HttplibOutcome::kAnswered &&
                          (answer.status == kHttpOk || answer.status == kHttpConflict);
  if (!hasOutcome) {
    return result;
  }
  try {
    result.rows = ParseRows(json::parse(answer.body).at("rows"));
    const bool isForThisTransaction =
      std::all_of(result.rows.begin(), result.rows.end(), [&](const Row& aRow) {
        return ConcernsRow(aTransaction, aRow.key);
      });
    if (!isForThisTransaction) {
      throw std::invalid_argument("the answer has a row that is not in the transaction");
    }
    result.outcome =
      answer.status == kHttpOk ? TransactionOutcome::kCommitted : TransactionOutcome::kConflict;
  } catch (const std::exception&) {
    result.rows.clear();
  }
  return result;
}

ReadResult TableClient::Read(const TableRead& aRead) const
{
  json body{ { "keys", json::array() } };
  for (const RowKey& key : aRead.keys) {
    body["keys"].push_back(key.str());
  }
  ReadResult result{ .read = aRead.read, .hasSucceeded = false, .rows = {} };
  const auto text = EncodeJson(body);
  if (!text) {
    Log(log_part::kPlatform)->error("A read is not sent: {}.", text.error());
    return result;
  }
  const HttplibAnswer answer = SendHttplibCall({ .address = mOptions.address,
                                                 .method = "POST",
                                                 .path = "/table/read",
                                                 .body = *text,
                                                 .timeout = mOptions.timeout });
  if (answer.outcome != HttplibOutcome::kAnswered || answer.status != kHttpOk) {
    return result;
  }
  try {
    result.rows = ParseRows(json::parse(answer.body).at("rows"));
    result.hasSucceeded =
      std::equal(result.rows.begin(),
                 result.rows.end(),
                 aRead.keys.begin(),
                 aRead.keys.end(),
                 [](const Row& aRow, const RowKey& aKey) { return aRow.key == aKey; });
  } catch (const std::exception&) {
    result.rows.clear();
  }
  return result;
}

} // namespace rhubarbtrail

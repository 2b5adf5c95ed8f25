/* Results of the table client and the host list client for correct and faulty answers. */
#include "tests/unit/fake_server.h"

#include "table/host_list_client.h"
#include "table/table_client.h"

#include <doctest/doctest.h>

#include <vector>

namespace rhubarbtrail {

namespace {

constexpr Duration kTimeLimit = 200ms;
constexpr const char* kAbsentRow = R"({"rows":[{"key":"k","version":0}]})";

struct Case
{
  std::string name;
  FakeAnswer answer;
  bool isAccepted;
};

/* Returns the faulty answers that any interface of the platform can give, and a correct one. */
std::vector<Case> CommonCases(const std::string& aCorrectBody)
{
  return { { "correct", { .body = aCorrectBody }, true },
           { "empty", { .body = "" }, false },
           { "not JSON", { .body = "{" }, false },
           { "wrong member types", { .body = R"({"rows":7,"hosts":7})" }, false },
           { "error", { .status = 500, .body = aCorrectBody }, false },
           { "unavailable", { .status = 503, .body = aCorrectBody }, false },
           { "truncated", { .body = aCorrectBody, .fault = AnswerFault::kTruncated }, false },
           { "late", { .body = aCorrectBody, .fault = AnswerFault::kLate }, false } };
}

TableTransaction MakeTransaction()
{
  return { .change = ChangeId{ "c" },
           .conditions = { { RowKey{ "k" }, RowVersion{ 0 } } },
           .writes = { { RowKey{ "k" }, std::nullopt } } };
}

TransactionOutcome Commit(const std::string& aAddress)
{
  const TableClient client({ .address = aAddress, .timeout = kTimeLimit });
  return client.Commit(MakeTransaction()).outcome;
}

} // namespace

// A transaction with a faulty answer may have taken effect. It must count as unknown, and the
// client must not send it again by itself: each server gets one call.
TEST_CASE("a transaction is committed or in conflict only with a complete answer for its rows")
{
  std::vector<Case> cases = CommonCases(kAbsentRow);
  cases.push_back(
    { "unreadable row", { .body = R"({"rows":[{"key":"k","version":1,"value":"?"}]})" }, false });
  cases.push_back({ "another row", { .body = R"({"rows":[{"key":"x","version":1}]})" }, false });
  for (const Case& item : cases) {
    CAPTURE(item.name);
    const FakeServer server(item.answer);
    CHECK(Commit(server.address()) ==
          (item.isAccepted ? TransactionOutcome::kCommitted : TransactionOutcome::kUnknown));
    CHECK(server.callCount() == 1);
  }
  const FakeServer conflict({ .status = 409, .body = kAbsentRow });
  CHECK(Commit(conflict.address()) == TransactionOutcome::kConflict);
  CHECK(Commit(ClosedAddress()) == TransactionOutcome::kUnknown);
}

TEST_CASE("a read succeeds only when the answer holds all requested rows")
{
  std::vector<Case> cases = CommonCases(kAbsentRow);
  cases.push_back({ "another row", { .body = R"({"rows":[{"key":"x","version":0}]})" }, false });
  cases.push_back({ "no row", { .body = R"({"rows":[]})" }, false });
  for (const Case& item : cases) {
    CAPTURE(item.name);
    const FakeServer server(item.answer);
    const TableClient client({ .address = server.address(), .timeout = kTimeLimit });
    CHECK(client.Read({ ChangeId{ "r" }, { RowKey{ "k" } } }).hasSucceeded == item.isAccepted);
  }
}

TEST_CASE("a host list is accepted only when it is complete and valid")
{
  std::vector<Case> cases =
    CommonCases(R"({"hosts":[{"kind":"endpoint","id":"r","address":"127.0.0.1:1"}]})");
  cases.push_back({ "no address", { .body = R"({"hosts":[{"kind":"daemon","id":"d"}]})" }, false });
  for (const Case& item : cases) {
    CAPTURE(item.name);
    const FakeServer server(item.answer);
    CHECK(ReadHostList({ .address = server.address(), .timeout = kTimeLimit }).has_value() ==
          item.isAccepted);
  }
}

} // namespace rhubarbtrail

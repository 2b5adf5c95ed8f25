/* Stores each configuration version with one conditional transaction. */
#include "operator/configuration_store.h"

#include "core/digest_func.h"

#include <chrono>

namespace rhubarbtrail {

namespace {

/* Number of reads that try to find out whether a transaction was committed, after an answer that
 * was lost or reported a conflict. */
constexpr int kReadBackAttempts = 5;

std::int64_t UnixMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

tl::unexpected<ProposalError> MakeError(ProposalErrorCode aErrorCode,
                                        std::optional<ConfigurationRow> aCurrent = std::nullopt)
{
  return tl::make_unexpected(
    ProposalError{ .errorCode = aErrorCode, .errors = {}, .current = std::move(aCurrent) });
}

} // namespace

std::optional<ConfigurationStore::Head> ConfigurationStore::ReadHead() const
{
  const ReadResult result = mTable.Read({ ChangeId{ "head" }, { ConfigurationHeadKey() } });
  if (!result.hasSucceeded) {
    return std::nullopt;
  }
  Head head{ result.rows[0].version, {} };
  if (result.rows[0].value) {
    if (const auto* row = std::get_if<ConfigurationRow>(&*result.rows[0].value)) {
      head.row = *row;
    }
  }
  return head;
}

std::optional<ConfigurationRow> ConfigurationStore::ReadNewest() const
{
  const auto head = ReadHead();
  return head ? std::optional{ head->row } : std::nullopt;
}

std::optional<ConfigurationRow> ConfigurationStore::ReadVersion(ConfigVersion aVersion) const
{
  const ReadResult result =
    mTable.Read({ ChangeId{ "history" }, { ConfigurationHistoryKey(aVersion) } });
  if (!result.hasSucceeded || !result.rows[0].value) {
    return std::nullopt;
  }
  const auto* row = std::get_if<ConfigurationRow>(&*result.rows[0].value);
  return row == nullptr ? std::nullopt : std::optional{ *row };
}

tl::expected<ConfigurationRow, ProposalError> ConfigurationStore::Accept(
  const ConfigurationProposal& aProposal) const
{
  const ConfigVersion version{ aProposal.basedOn.value + 1 };
  if (auto parsed = ParseConfiguration(aProposal.document, version); !parsed) {
    return tl::make_unexpected(ProposalError{ .errorCode = ProposalErrorCode::kInvalid,
                                              .errors = parsed.error(),
                                              .current = std::nullopt });
  }
  const auto head = ReadHead();
  if (!head) {
    return MakeError(ProposalErrorCode::kUnavailable);
  }
  if (head->row.version != aProposal.basedOn) {
    return MakeError(ProposalErrorCode::kConflict, head->row);
  }
  const ConfigurationRow row{ .version = version,
                              .document = aProposal.document,
                              .author = aProposal.author,
                              .comment = aProposal.comment,
                              .acceptedAtUnixMs = UnixMs(),
                              .change = ChangeId{ RandomHex() } };
  const TableTransaction transaction{ .change = row.change,
                                      .conditions = { { ConfigurationHeadKey(), head->rowVersion },
                                                      { ConfigurationHistoryKey(version), {} } },
                                      .writes = {
                                        { ConfigurationHeadKey(), RowValue{ row } },
                                        { ConfigurationHistoryKey(version), RowValue{ row } } } };
  const TransactionResult result = mTable.Commit(transaction);
  if (result.outcome == TransactionOutcome::kCommitted) {
    return row;
  }
  // The answer may have been lost, and a reported conflict may be with this very write if the
  // transaction reached the table twice. The change id of the stored row tells whether it was
  // committed.
  for (int attempt = 0; attempt < kReadBackAttempts; ++attempt) {
    const auto newHead = ReadHead();
    if (!newHead) {
      continue;
    }
    const auto written = newHead->row.version == version ? newHead->row : ReadVersion(version);
    if (written && written->change == row.change) {
      return row;
    }
    if (newHead->row.version >= version) {
      return MakeError(ProposalErrorCode::kConflict, newHead->row);
    }
  }
  return MakeError(ProposalErrorCode::kUnknown);
}

} // namespace rhubarbtrail

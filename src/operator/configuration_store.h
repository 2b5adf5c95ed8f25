/* Stores the accepted configuration versions in the platform's table service. */
#ifndef RHUBARBTRAIL_OPERATOR_CONFIGURATION_STORE_H
#define RHUBARBTRAIL_OPERATOR_CONFIGURATION_STORE_H

#include "config/configuration_document.h"
#include "table/table_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace rhubarbtrail {

/* A document that an operator wants to make the next configuration version. */
struct ConfigurationProposal
{
  std::string document;
  std::string author;
  std::string comment;
  ConfigVersion basedOn; ///< Newest version that the operator knows.
};

enum class ProposalErrorCode : std::uint8_t
{
  kInvalid,     ///< The document has errors, which ProposalError::errors lists.
  kConflict,    ///< The proposal is not based on the newest version.
  kUnknown,     ///< It is not known whether the write succeeded. The document may be accepted.
  kUnavailable, ///< The table cannot be read. Nothing was changed.
};

struct ProposalError
{
  ProposalErrorCode errorCode = ProposalErrorCode::kInvalid;
  std::vector<DocumentError> errors;
  std::optional<ConfigurationRow> current; ///< Newest version, set only with kConflict.
};

/* Reads and writes the configuration versions: the newest one in the head row, and each one in a
 * history row of its own. */
class ConfigurationStore
{
public:
  explicit ConfigurationStore(const TableClient& aTable)
    : mTable(aTable)
  {
  }

  /* Returns the newest version. The row has version 0 if no configuration was accepted yet. Has no
   * value if the table cannot be read. */
  std::optional<ConfigurationRow> ReadNewest() const;

  /* Returns a version from the history. Has no value if the version does not exist or the table
   * cannot be read. */
  std::optional<ConfigurationRow> ReadVersion(ConfigVersion aVersion) const;

  /* Validates a document and stores it as the next version. Fails with kConflict if the proposal is
   * not based on the newest version, also if another version is accepted at the same time. */
  tl::expected<ConfigurationRow, ProposalError> Accept(
    const ConfigurationProposal& aProposal) const;

private:
  /* The newest version, and the table's version of the row that holds it. */
  struct Head
  {
    RowVersion rowVersion;
    ConfigurationRow row;
  };
  std::optional<Head> ReadHead() const;

  const TableClient& mTable;
};

} // namespace rhubarbtrail

#endif

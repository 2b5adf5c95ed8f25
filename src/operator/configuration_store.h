/* The chain of accepted configurations in the table. */
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

/* A new version to be accepted. */
struct Proposal
{
  std::string document;
  std::string author;
  std::string comment;
  ConfigVersion basedOn; ///< The version that the operator saw.
};

enum class ProposalFault : std::uint8_t
{
  kInvalid,     ///< The document has errors.
  kConflict,    ///< Another version was accepted in between.
  kUnknown,     ///< The table did not answer; it may have been accepted.
  kUnavailable, ///< The table cannot be read; nothing was changed.
};

struct ProposalError
{
  ProposalFault fault = ProposalFault::kInvalid;
  std::vector<DocumentError> errors;
  std::optional<ConfigurationRow> current; ///< With kConflict.
};

class ConfigurationStore
{
public:
  explicit ConfigurationStore(const TableClient& aTable)
    : mTable(aTable)
  {
  }

  /* Returns the newest version; version 0 when there is none yet, nothing when the table
   * does not answer. */
  std::optional<ConfigurationRow> Newest() const;

  /* Returns one earlier version. */
  std::optional<ConfigurationRow> Version(ConfigVersion aVersion) const;

  /* Checks a document and accepts it as the next version, if nobody else was faster. */
  tl::expected<ConfigurationRow, ProposalError> Accept(const Proposal& aProposal) const;

private:
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

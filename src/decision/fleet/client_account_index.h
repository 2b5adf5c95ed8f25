/* Finds the client account of a request by the digest of its API key. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_CLIENT_ACCOUNT_INDEX_H
#define RHUBARBTRAIL_DECISION_FLEET_CLIENT_ACCOUNT_INDEX_H

#include "decision/fleet/client_account_type.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace rhubarbtrail::fleet {

/* An account with the digests of its keys. */
struct ListedAccount
{
  ClientAccount account;
  std::vector<KeyDigest> keys;
};

/* Returns the accounts by their names and keys, or why there can be no such accounts: a name that
 * is empty, unfit for a header field or given twice, or one key of two accounts. */
tl::expected<ClientAccounts, std::string> IndexAccounts(std::vector<ListedAccount> aAccounts);

struct NoKey
{};
/* The request states more than one key, or none in the defined form. */
struct UnreadableKey
{};
/* What a request states about its key. */
using ClientCredential = std::variant<NoKey, UnreadableKey, KeyDigest>;

enum class KeyRefusal : std::uint8_t
{
  kMissing,
  kUnreadable,
  kUnknown, ///< No account has the key.
};

std::string_view ToString(KeyRefusal aRefusal);

/* The account of a request, or null for a request without a known key on a public route. */
using AccountDecision = tl::expected<const ClientAccount*, KeyRefusal>;

AccountDecision DecideAccount(const ClientAccounts& aAccounts,
                              bool aIsRoutePublic,
                              const ClientCredential& aCredential);

} // namespace rhubarbtrail::fleet

#endif

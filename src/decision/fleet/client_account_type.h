/* Client accounts: who may send requests, how urgent they are, and how much they may send. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_CLIENT_ACCOUNT_TYPE_H
#define RHUBARBTRAIL_DECISION_FLEET_CLIENT_ACCOUNT_TYPE_H

#include "core/id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace rhubarbtrail::fleet {

/* What a quota counts. */
enum class QuotaUnit : std::uint8_t
{
  kRequests,
  kTokens, ///< Prompt tokens and output tokens that a request asks for.
};

/* What an account may send to all daemons together. */
struct AccountQuota
{
  QuotaUnit unit = QuotaUnit::kRequests;
  double perSecond = 0.0;   ///< In the unit. 0 for no limit.
  double burst = 0.0;       ///< In the unit, in addition.
  double plainTokens = 0.0; ///< Tokens that a request without a token count counts as.

  bool operator==(const AccountQuota&) const = default;
  bool IsLimited() const { return perSecond > 0.0; }
};

struct ClientAccount
{
  ClientAccountId id;
  std::optional<std::uint32_t> priority; ///< Goes before the route's. 0 is the most urgent.
  AccountQuota quota;
};

/* A digest of an API key. Keys themselves are not kept. */
using KeyDigest = std::string;

/* The accounts of a deployment, by the digests of their keys. */
struct ClientAccounts
{
  std::unordered_map<ClientAccountId, ClientAccount> byId;
  std::unordered_map<KeyDigest, ClientAccountId> byKey;

  /* Returns the account, or null if there is none of this name. */
  const ClientAccount* Find(const ClientAccountId& aAccount) const
  {
    const auto found = byId.find(aAccount);
    return found == byId.end() ? nullptr : &found->second;
  }
  /* Returns the account that holds the key with this digest, or null. */
  const ClientAccount* FindByKey(const KeyDigest& aKey) const
  {
    const auto found = byKey.find(aKey);
    return found == byKey.end() ? nullptr : Find(found->second);
  }
};

} // namespace rhubarbtrail::fleet

#endif

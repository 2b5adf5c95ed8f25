/* Finds the client account of a request by the digest of its API key. */
#include "decision/fleet/client_account_index.h"

#include "core/overloaded.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* Returns whether a name reaches an endpoint unchanged as the value of a header field: it has no
 * control characters and neither begins nor ends with a space. */
bool IsFieldValue(std::string_view aName)
{
  const bool hasControl = std::any_of(aName.begin(), aName.end(), [](char aCharacter) {
    const auto byte = static_cast<unsigned char>(aCharacter);
    return byte < 0x20U || byte == 0x7fU;
  });
  return !aName.empty() && !hasControl && aName.front() != ' ' && aName.back() != ' ';
}

} // namespace

tl::expected<ClientAccounts, std::string> IndexAccounts(std::vector<ListedAccount> aAccounts)
{
  ClientAccounts accounts;
  for (ListedAccount& listed : aAccounts) {
    const ClientAccountId id = listed.account.id;
    if (id.empty()) {
      return tl::make_unexpected(std::string{ "an account has an empty name" });
    }
    if (!IsFieldValue(id.str())) {
      return tl::make_unexpected(std::string{ "the name of an account has a control character, or "
                                              "a space at its begin or end" });
    }
    if (!accounts.byId.emplace(id, std::move(listed.account)).second) {
      return tl::make_unexpected("two accounts have the name " + id.str());
    }
    for (KeyDigest& key : listed.keys) {
      const auto [item, isNew] = accounts.byKey.emplace(std::move(key), id);
      if (!isNew && item->second != id) {
        return tl::make_unexpected("the accounts " + item->second.str() + " and " + id.str() +
                                   " have one key");
      }
    }
  }
  return accounts;
}

std::string_view ToString(KeyRefusal aRefusal)
{
  switch (aRefusal) {
    case KeyRefusal::kMissing:
      return "key_missing";
    case KeyRefusal::kUnreadable:
      return "key_unreadable";
    case KeyRefusal::kUnknown:
      return "key_unknown";
  }
  return "unknown";
}

AccountDecision DecideAccount(const ClientAccounts& aAccounts,
                              bool aIsRoutePublic,
                              const ClientCredential& aCredential)
{
  const AccountDecision found =
    std::visit(Overloaded{ [](const NoKey&) -> AccountDecision {
                            return tl::make_unexpected(KeyRefusal::kMissing);
                          },
                           [](const UnreadableKey&) -> AccountDecision {
                             return tl::make_unexpected(KeyRefusal::kUnreadable);
                           },
                           [&](const KeyDigest& aKey) -> AccountDecision {
                             const ClientAccount* account = aAccounts.FindByKey(aKey);
                             return account != nullptr ? AccountDecision{ account }
                                                       : tl::make_unexpected(KeyRefusal::kUnknown);
                           } },
               aCredential);
  return !found && aIsRoutePublic ? AccountDecision{ nullptr } : found;
}

} // namespace rhubarbtrail::fleet

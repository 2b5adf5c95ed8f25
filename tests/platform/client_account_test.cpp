/* Client accounts: their decoding, the form of keys, and which requests they admit. */
#include "core/digest_func.h"
#include "decision/fleet/client_account_index.h"
#include "platform/configuration_decoder.h"
#include "platform/request_headers.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::platform;
using fleet::KeyRefusal;

namespace {

/* Returns a configuration with these accounts, as JSON texts. */
tl::expected<fleet::FleetConfiguration, std::string> Decode(const std::string& aAccounts)
{
  return DecodeConfiguration(R"({"version":1,"services":[],"routes":[)"
                             R"({"name":"r","host":"h","prefix":"/","kind":"idempotent",)"
                             R"("backend":"s","public":true}],"tenants":)" +
                             aAccounts + "}");
}

fleet::ClientCredential Credential(const std::vector<std::string>& aValues)
{
  http::Fields fields{ { "Host", "h" } };
  for (const std::string& value : aValues) {
    fields.push_back({ "authorization", value });
  }
  return DecodeCredential(fields);
}

} // namespace

TEST_CASE("client accounts are decoded with their quotas")
{
  const auto configuration =
    Decode(R"([{"name":"a","apiKeys":["k1","k2"],"priority":3,"unit":"token_count",)"
           R"("plainTokens":20,"ratePerS":1.5,"burst":7},{"name":"b","apiKeys":["k3"],)"
           R"("unit":"calls","ratePerS":2},{"name":"c","apiKeys":[]}])");
  REQUIRE(configuration.has_value());
  CHECK(configuration->Match("h", "/")->isPublic);
  const fleet::ClientAccounts& accounts = *configuration->accounts;
  const fleet::ClientAccount* a = accounts.FindByKey(Sha256Hex("k2"));
  REQUIRE(a != nullptr);
  CHECK(a->id == ClientAccountId{ "a" });
  CHECK(a->priority == 3U);
  CHECK(a->quota ==
        fleet::AccountQuota{
          .unit = fleet::QuotaUnit::kTokens, .perSecond = 1.5, .burst = 7.0, .plainTokens = 20.0 });
  const fleet::ClientAccount* b = accounts.FindByKey(Sha256Hex("k3"));
  CHECK(b->quota.unit == fleet::QuotaUnit::kRequests);
  CHECK_FALSE(b->priority.has_value());
  CHECK_FALSE(accounts.Find(ClientAccountId{ "c" })->quota.IsLimited());
  CHECK(accounts.FindByKey(Sha256Hex("k4")) == nullptr);
  CHECK(accounts.byKey.contains("k1") == false);
}

// With an ambiguous document in force, a request could run under another account's name.
TEST_CASE("invalid client accounts are rejected with the reason and without a key")
{
  const std::vector<std::pair<std::string, std::string>> cases{
    { R"([{"name":"a","apiKeys":["secret"]},{"name":"b","apiKeys":["secret"]}])", "have one key" },
    { R"([{"name":"a","apiKeys":["secret"]},{"name":"a","apiKeys":["k"]}])", "have the name a" },
    { R"([{"name":"","apiKeys":["secret"]}])", "empty name" },
    { R"([{"name":"a\r\nb","apiKeys":["secret"]}])", "control character" },
    { R"([{"name":"a ","apiKeys":["secret"]}])", "control character" },
    { R"([{"name":"a","apiKeys":["secret",""]}])", "a has a key that is empty" },
    { R"([{"name":"a","apiKeys":["secret",1]}])", "a has a key that is empty" },
    { R"([{"name":"a"}])", "apiKeys is missing" },
    { R"([{"name":"a","apiKeys":"secret"}])", "apiKeys is not an array" },
    { R"([{"apiKeys":["secret"]}])", "name is missing" },
    { R"([{"name":"a","apiKeys":["secret"],"priority":-1}])", "priority" },
    { R"([{"name":"a","apiKeys":["secret"],"ratePerS":-1}])", "ratePerS" },
    { R"({})", "tenants is not an array" },
    { "null", "tenants is not an array" },
  };
  for (const auto& [accounts, reason] : cases) {
    INFO(accounts);
    const auto decoded = Decode(accounts);
    REQUIRE_FALSE(decoded.has_value());
    CHECK(decoded.error().find(reason) != std::string::npos);
    CHECK(decoded.error().find("secret") == std::string::npos);
  }
  CHECK(Decode(R"([{"name":"a","apiKeys":["k","k"]}])").has_value());
  CHECK(Decode("[]")->accounts->byId.empty());
}

TEST_CASE("100,000 keys and keys of 8 KB are accepted")
{
  nlohmann::json keys = nlohmann::json::array();
  for (int number = 0; number < 100'000; ++number) {
    keys.push_back("key-" + std::to_string(number));
  }
  const std::string longKey(8U << 10U, 'k');
  keys.push_back(longKey);
  const auto decoded = Decode(nlohmann::json{ { { "name", "a" }, { "apiKeys", keys } } }.dump());
  REQUIRE(decoded.has_value());
  CHECK(decoded->accounts->byKey.size() == 100'001);
  CHECK(fleet::DecideAccount(*decoded->accounts, false, Credential({ "Token " + longKey }))
          .has_value());
}

// A guess at a key that is not in the defined form could admit a request without one.
TEST_CASE("only one key in the defined form admits a request, and a public route needs none")
{
  const auto configuration = Decode(R"([{"name":"a","apiKeys":["k"]}])");
  struct Case
  {
    std::vector<std::string> values;
    std::optional<KeyRefusal> refusal;
  };
  const std::vector<Case> cases{
    { { "Token k" }, std::nullopt },
    { {}, KeyRefusal::kMissing },
    { { "Token k2" }, KeyRefusal::kUnknown },
    { { "Token K" }, KeyRefusal::kUnknown },
    { { "Token  k" }, KeyRefusal::kUnknown },
    { { "Token k, Token k" }, KeyRefusal::kUnknown },
    { { "Token k", "Token k" }, KeyRefusal::kUnreadable },
    { { "Token k", "" }, KeyRefusal::kUnreadable },
    { { "token k" }, KeyRefusal::kUnreadable },
    { { "Bearer k" }, KeyRefusal::kUnreadable },
    { { "Token\tk" }, KeyRefusal::kUnreadable },
    { { "Tokenk" }, KeyRefusal::kUnreadable },
    { { "Token" }, KeyRefusal::kUnreadable },
    { { "k" }, KeyRefusal::kUnreadable },
    { { "" }, KeyRefusal::kUnreadable },
  };
  for (const Case& item : cases) {
    INFO(item.values.size(), item.values.empty() ? "" : item.values.front());
    const auto decide = [&](bool aIsPublic) {
      return fleet::DecideAccount(*configuration->accounts, aIsPublic, Credential(item.values));
    };
    const auto decision = decide(false);
    CHECK((decision ? std::nullopt : std::optional{ decision.error() }) == item.refusal);
    CHECK((decide(true).value() == nullptr) == item.refusal.has_value());
  }
}

// An endpoint must neither see a key nor believe a client's statement of its account.
TEST_CASE("with accounts, the client's key and account fields are replaced by the account")
{
  const http::Request request{ .method = "GET",
                               .target = "/",
                               .fields = { { "authorization", "Token k" },
                                           { "x-tenant", "b" },
                                           { "X-Tenant", "c" },
                                           { "X-Custom", "kept" } } };
  const auto without = EncodeForwardedRequest(request, {});
  CHECK(http::Find(without.fields, "Authorization") == "Token k");
  CHECK(http::Find(without.fields, "X-Tenant") == "b");
  for (const std::string account : { "a", "" }) {
    const auto forwarded =
      EncodeForwardedRequest(request, { .account = ClientAccountId{ account } });
    std::vector<std::string> stated;
    for (const http::Field item : forwarded.fields) {
      if (http::EqualsIgnoringCase(item.name, "X-Tenant")) {
        stated.emplace_back(item.value);
      }
    }
    CHECK(stated == (account.empty() ? std::vector<std::string>{} : std::vector{ account }));
    CHECK_FALSE(http::Find(forwarded.fields, "Authorization").has_value());
    CHECK(http::Find(forwarded.fields, "X-Custom") == "kept");
  }
}

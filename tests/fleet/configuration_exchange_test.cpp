/* The exchange of the configuration between daemons. */
#include "decision/fleet/configuration_exchange.h"

#include <doctest/doctest.h>

#include <string>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

/* Sends a query to a daemon, and its replies back, until a document has arrived. */
std::string Fetch(ConfigurationExchange& aAsker, ConfigurationExchange& aOther, TimePoint aNow)
{
  auto query = aAsker.Tick(aNow, { "other" });
  while (query) {
    const auto reply = aOther.Answer(aNow, query->query);
    if (!reply) {
      return {};
    }
    auto outcome = aAsker.OnReply(aNow, *reply);
    if (outcome.document) {
      return *outcome.document;
    }
    query = std::move(outcome.next);
  }
  return {};
}

} // namespace

// A daemon that the store does not answer would otherwise accept a revoked key for good.
TEST_CASE("a newer configuration that was heard of is fetched in parts")
{
  const std::string document(3 * kMaxPartBytes + 7, 'x');
  ConfigurationExchange old{ kStart, "old", 0 };
  ConfigurationExchange other{ kStart, "other", 0 };
  old.OnApplied({ 1 }, "former", false);
  other.OnApplied({ 2 }, document, true);
  CHECK_FALSE(old.Tick(kStart + 10s, { "other" }));
  old.OnStatement(kStart + 10s, other.Statement(kStart + 10s));
  CHECK_FALSE(old.Tick(kStart + 10s, { "other" })); // The store may still deliver it.
  CHECK(Fetch(old, other, kStart + 11s) == document);
  // A version whose document is invalid here is not fetched again, and a later one is.
  old.OnRejected({ 2 });
  old.OnStatement(kStart + 12s, { .version = { 2 } });
  CHECK_FALSE(old.Tick(kStart + 20s, { "other" }));
  other.OnApplied({ 3 }, "third", true);
  old.OnStatement(kStart + 20s, { .version = { 3 } });
  CHECK(Fetch(old, other, kStart + 21s) == "third");
  // An older version is never sent.
  CHECK(Fetch(other, old, kStart + 30s).empty());
}

TEST_CASE("a part of another document does not continue the one that is being received")
{
  ConfigurationExchange asker{ kStart, "asker", 0 };
  asker.OnStatement(kStart, { .version = { 5 } });
  const auto query = asker.Tick(kStart + 1s, { "a" });
  REQUIRE(query.has_value());
  ConfigurationReply reply{ .number = query->query.number,
                            .statement = { .version = { 5 } },
                            .part = ConfigurationPart{ .digest = 1, .size = 6, .bytes = "abc" } };
  const auto next = asker.OnReply(kStart + 1s, reply).next;
  REQUIRE(next.has_value());
  CHECK(next->query.offset == 3);
  reply = { .number = next->query.number,
            .statement = { .version = { 5 } },
            .part = ConfigurationPart{ .digest = 2, .size = 6, .offset = 3, .bytes = "def" } };
  const auto outcome = asker.OnReply(kStart + 1s, reply);
  CHECK_FALSE(outcome.document);
  CHECK_FALSE(outcome.next);
  CHECK(asker.Tick(kStart + 2s, { "a" })->query.offset == 0);
}

// A statement that arrived during a suspension, or that rests on another daemon's statement, would
// make an old configuration look confirmed.
TEST_CASE("only recent knowledge of the store confirms a configuration")
{
  ConfigurationExchange daemon{ kStart, "d", 0 };
  daemon.OnApplied({ 4 }, "document", true);
  CHECK_FALSE(daemon.IsConfirmed(kStart, 5s));
  daemon.OnStoreAnswer(kStart + 1s);
  CHECK(daemon.IsConfirmed(kStart + 6s, 5s));
  CHECK_FALSE(daemon.IsConfirmed(kStart + 7s, 5s));
  daemon.OnStatement(kStart + 8s, { .version = { 4 }, .age = 1s });
  CHECK(daemon.IsConfirmed(kStart + 12s, 5s));
  CHECK(daemon.Statement(kStart + 8s).age == 7s);
  daemon.OnStatement(kStart + 13s, { .version = { 4 } });
  CHECK_FALSE(daemon.IsConfirmed(kStart + 13s, 5s));

  daemon.OnResumed(kStart + 20s);
  daemon.OnStoreAnswer(kStart + 19s);
  daemon.OnStatement(kStart + 20s, { .version = { 4 }, .age = 0s });
  CHECK_FALSE(daemon.IsConfirmed(kStart + 20s, 5s));
  CHECK_FALSE(daemon.Statement(kStart + 20s).age.has_value());
  // The reply to a query that was sent afterwards does confirm.
  const auto query = daemon.Tick(kStart + 21s, { "a" });
  REQUIRE(query.has_value());
  daemon.OnReply(kStart + 21s,
                 { .number = query->query.number, .statement = { { 4 }, Duration{ 100ms } } });
  CHECK(daemon.IsConfirmed(kStart + 21s, 5s));
}

TEST_CASE("a daemon without word asks all that it knows in turn, and replies are bounded")
{
  ConfigurationExchange daemon{ kStart, "d", 0 };
  daemon.OnApplied({ 4 }, std::string(kMaxPartBytes, 'x'), true);
  daemon.OnStoreAnswer(kStart);
  daemon.OnPeers({ "p", "d", "p" });
  CHECK_FALSE(daemon.Tick(kStart + 3s, { "a" }));
  CHECK(daemon.Tick(kStart + 4s, { "a" })->address == "a");
  CHECK_FALSE(daemon.Tick(kStart + 4'500ms, { "a" }));
  CHECK(daemon.Tick(kStart + 5s, { "a" })->address == "p");
  CHECK(daemon.Tick(kStart + 6s, { "a" })->address == "a");
  std::size_t bytes = 0;
  for (int number = 0; number < 1'000; ++number) {
    const auto reply = daemon.Answer(kStart + 7s, { .address = "a" });
    bytes += reply ? reply->part->bytes.size() : 0;
  }
  CHECK(bytes > 0);
  CHECK(static_cast<double>(bytes) <= kReplyBytesPerSecond + kMaxPartBytes);
  CHECK(daemon.Answer(kStart + 9s, { .address = "a" }).has_value());
}

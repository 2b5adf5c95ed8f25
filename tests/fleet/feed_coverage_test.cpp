/* When a daemon relies on the dispatcher's notices instead of calls to the store. If it relied on
 * them too long, it would miss the removal of a runner or a configuration. If it did not rely on
 * them, the calls of hundreds of daemons would exceed what the store serves. */
#include "decision/fleet/feed_coverage.h"

#include <doctest/doctest.h>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

constexpr Duration kMaxAge = 1'200ms;
constexpr TimePoint kStart{ 100s };

/* A daemon that the store has told of all changes up to version 5, with a fresh notice of 5. */
FeedCoverage CoveredDaemon()
{
  FeedCoverage coverage(kMaxAge);
  coverage.OnAnswer({ 5 });
  coverage.OnNotice(kStart, { .version = { 5 }, .age = 200ms });
  return coverage;
}

} // namespace

TEST_CASE("a daemon without notices is not covered")
{
  FeedCoverage coverage(kMaxAge);
  coverage.OnAnswer({ 5 });
  CHECK_FALSE(coverage.IsCovered(kStart));
}

TEST_CASE("coverage ends when the answer of the store behind the notice is too old")
{
  const FeedCoverage coverage = CoveredDaemon();
  CHECK(coverage.IsCovered(kStart));
  CHECK(coverage.IsCovered(kStart + 999ms));
  CHECK_FALSE(coverage.IsCovered(kStart + 1s));
}

// The dispatcher is cut off from the store and goes on sending heartbeats.
TEST_CASE("notices that rest on an ever older answer do not extend the coverage")
{
  FeedCoverage coverage = CoveredDaemon();
  for (Duration passed = 0ms; passed < 3s; passed += 400ms) {
    coverage.OnNotice(kStart + passed, { .version = { 5 }, .age = 200ms + passed });
  }
  CHECK_FALSE(coverage.IsCovered(kStart + 1s));
}

TEST_CASE("a notice of a change that has not arrived ends the coverage until it is known")
{
  FeedCoverage coverage = CoveredDaemon();
  coverage.OnNotice(kStart, { .version = { 8 }, .age = 0ms });
  CHECK_FALSE(coverage.IsCovered(kStart));
  SUBCASE("from the store")
  {
    coverage.OnAnswer({ 9 });
    CHECK(coverage.IsCovered(kStart));
  }
  SUBCASE("from the dispatcher")
  {
    coverage.OnRelayedChanges({ 5 }, { 8 });
    CHECK(coverage.IsCovered(kStart));
  }
  SUBCASE("from the dispatcher, but earlier changes were lost with a connection")
  {
    coverage.OnRelayedChanges({ 7 }, { 8 });
    CHECK_FALSE(coverage.IsCovered(kStart));
  }
}

TEST_CASE("coverage ends when the dispatcher is lost")
{
  FeedCoverage coverage = CoveredDaemon();
  coverage.OnNoticesLost();
  CHECK_FALSE(coverage.IsCovered(kStart));
}

// After all daemons were killed, the first dispatcher relayed the whole table to each of the
// others, and served nothing for seconds.
TEST_CASE("few changed rows are relayed, but neither a whole table nor the rows of many runners")
{
  CHECK(ShouldRelayRows({ 5 }, { .rows = 1 }));
  CHECK(ShouldRelayRows({ 5 }, { .rows = kMaxRelayedRows, .bytes = kMaxRelayedBytes }));
  CHECK_FALSE(ShouldRelayRows({ 5 }, { .rows = kMaxRelayedRows + 1 }));
  CHECK_FALSE(ShouldRelayRows({ 5 }, { .rows = 1, .bytes = kMaxRelayedBytes + 1 }));
  CHECK_FALSE(ShouldRelayRows({}, { .rows = 1 }));
}

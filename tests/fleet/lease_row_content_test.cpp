/* Tests of what the lease row keeps if it has no room for everything. */
#include "decision/fleet/lease_row_content.h"
#include "fleet/fleet_message.h"

#include <doctest/doctest.h>

#include <spdlog/fmt/fmt.h>

namespace rhubarbtrail {

namespace {

using namespace fleet;

constexpr std::size_t kRowBytes = 36U << 10U;

VersionsByService ManyVersions(const std::string& aService, std::size_t aCount)
{
  VersionsByService versions;
  for (std::size_t number = 0; number < aCount; ++number) {
    versions[ServiceId{ aService }].insert(
      SoftwareVersion{ std::string(120, 'v') + std::to_string(number) });
  }
  return versions;
}

/* Returns as many quarantined parts with as long identifiers as there can be, and as many requests.
 */
LeaseRowContent MostParts()
{
  LeaseRowContent content;
  for (std::size_t group = 0; group < kMaxQuarantinedGroups; ++group) {
    content.quarantinedParts.emplace_back(kMaxGroupParts,
                                          PromptPartId{ 0xffff'ffff'ffff'ff00ULL + group });
    content.partTrials.push_back({ .count = kMaxPartTrials, .timeUntilNext = 3'600s });
    content.quarantinedRequests.emplace_back(fmt::format("{:016x}", group));
  }
  return content;
}

std::size_t EncodedBytes(const LeaseRowContent& aContent)
{
  return EncodeLeaseRow({ .lease = {}, .content = aContent })->size() -
         EncodeLeaseRow({ .lease = {}, .content = {} })->size();
}

} // namespace

TEST_CASE("a lease row with room for everything is not cut")
{
  LeaseRowContent content = MostParts();
  content.versions = ManyVersions("a", 50);
  content.versions.merge(ManyVersions("b", 25));
  CHECK(FitLeaseRow(content, {}, kRowBytes) == content);
  content.quarantinedParts.resize(20);
  content.partTrials.resize(20);
  content.versions = ManyVersions("a", 100);
  content.versions.merge(ManyVersions("b", 50));
  CHECK(FitLeaseRow(content, {}, kRowBytes) == content);
}

/* Guards against a row that the store refuses: three entries with versions of 24 KB left the fleet
 * without a dispatcher, since no daemon could renew or take the lease. */
TEST_CASE("a lease row never takes more than its room")
{
  LeaseRowContent content = MostParts();
  content.versions = ManyVersions("a", 3'000);
  content.versions[ServiceId{ "b" }].insert(SoftwareVersion{ std::string(60'000, 'x') });
  content.versions[ServiceId{ "c" }].insert(SoftwareVersion{ std::string(6'000, '\x01') });
  content.versions[ServiceId{ std::string(24'000, '"') }].insert(SoftwareVersion{ "1" });
  for (std::size_t bytes = kRowBytes; bytes > 100; bytes /= 2) {
    INFO("row of " << bytes);
    CHECK(EncodedBytes(FitLeaseRow(content, {}, bytes)) <= bytes);
  }
  CHECK(FitLeaseRow(content, {}, 0).versions == kUnknownVersions);
}

/* Guards against streams that are resumed at another version: after a restart of all daemons, a
 * version without an endpoint is known from the row alone. */
TEST_CASE("a lease row keeps the versions that it named and tells that others are missing")
{
  RecordedVersions recorded;
  recorded.Set({ { ServiceId{ "a" }, { SoftwareVersion{ "z-first" } } },
                 { ServiceId{ "b" }, { SoftwareVersion{ "z-second" } } } });
  LeaseRowContent content = MostParts();
  content.versions = ManyVersions("a", 3'000);
  content.versions[ServiceId{ "a" }].insert(SoftwareVersion{ "z-first" });
  content.versions[ServiceId{ "b" }] = { SoftwareVersion{ "other" },
                                         SoftwareVersion{ "z-second" } };
  const LeaseRowContent fitted = FitLeaseRow(content, recorded, kRowBytes);
  CHECK(fitted.versions.at(ServiceId{ "a" }).contains(SoftwareVersion{ "z-first" }));
  CHECK(fitted.versions.at(ServiceId{ "b" }) == content.versions.at(ServiceId{ "b" }));
  CHECK(fitted.versions.at(ServiceId{ "a" }).size() > 100);
  CHECK(fitted.versions.contains(kUnknownVersions.begin()->first));
  CHECK(fitted.quarantinedParts.size() >= 20);
  CHECK(fitted.quarantinedParts.size() == fitted.partTrials.size());
}

} // namespace rhubarbtrail

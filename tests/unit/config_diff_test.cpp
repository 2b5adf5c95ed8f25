/* Differences between two configurations, and draining a runner in a document. */
#include "config/configuration_diff.h"
#include "config/configuration_document.h"
#include "operator/drained_runner.h"

#include <doctest/doctest.h>

using namespace rhubarbtrail;

namespace {

const std::string kBefore = R"(services:
  language: {kind: models}
models:
  a: {service: language, memory_mb: 8000, adapters: {tone: {memory_mb: 200}}}
  b: {service: language, memory_mb: 8000}
classes:
  default: {deadline_ms: 30000}
customers: {}
)";

const std::string kAfter = R"(# Another order, other layout, a default written out.
classes: {default: {deadline_ms: 20000, priority: 1}}
models:
  c: {memory_mb: 9000, service: language}
  a: {memory_mb: 8500, service: language, adapters: {dialect: {memory_mb: 200}}}
services:
  language:
    kind: models
    keep_alive: {policy: histogram}
)";

std::vector<std::string> ChangesAsText(const std::string& aBefore, const std::string& aAfter)
{
  const auto before = ParseConfiguration(aBefore, { 1 });
  const auto after = ParseConfiguration(aAfter, { 2 });
  REQUIRE(before.has_value());
  REQUIRE(after.has_value());
  std::vector<std::string> texts;
  for (const ConfigurationChange& change : DiffConfigurations(*before, *after)) {
    texts.push_back(ToText(change));
  }
  return texts;
}

} // namespace

TEST_CASE("A difference lists changed items and fields, independent of the layout of the documents")
{
  const std::vector<std::string> expected{
    "changed classes.default.deadline_ms: 30000 -> 20000",
    "removed models.a.adapters.tone",
    "added models.a.adapters.dialect",
    "changed models.a.memory_mb: 8000 -> 8500",
    "removed models.b",
    "added models.c",
    "changed services.language.keep_alive.idle_limit_ms: 60000 -> none",
    "changed services.language.keep_alive.maximum_ms: none -> 600000",
    "changed services.language.keep_alive.minimum_ms: none -> 5000",
    "changed services.language.keep_alive.percentile: none -> 90",
    "changed services.language.keep_alive.policy: fixed -> histogram",
  };
  auto texts = ChangesAsText(kBefore, kAfter);
  auto sorted = expected;
  std::sort(texts.begin(), texts.end());
  std::sort(sorted.begin(), sorted.end());
  CHECK(texts == sorted);
  CHECK(ChangesAsText(kBefore, kBefore).empty());
}

TEST_CASE("Draining a runner changes one field, and undoing it restores an equal configuration")
{
  const ServiceId service{ "language" };
  const EndpointId runner{ "runner-3" };
  const auto drained = SetRunnerDrained(kBefore, service, runner, Drained::kYes);
  REQUIRE(drained.has_value());
  CHECK(ChangesAsText(kBefore, *drained) ==
        std::vector<std::string>{ "changed services.language.drained: [] -> [runner-3]" });
  CHECK(SetRunnerDrained(*drained, service, runner, Drained::kYes) == drained);
  const auto restored = SetRunnerDrained(*drained, service, runner, Drained::kNo);
  REQUIRE(restored.has_value());
  CHECK(ChangesAsText(kBefore, *restored).empty());
  CHECK_FALSE(SetRunnerDrained(kBefore, ServiceId{ "x" }, runner, Drained::kYes).has_value());
}

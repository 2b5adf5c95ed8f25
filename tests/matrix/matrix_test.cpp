/* The fault matrix: simulated daemons under every single fault at every step, then under two or
 * more faults chosen by seeds, which are printed. A scenario fails when the simulation records a
 * violated invariant. World::RecordViolation() in world.h lists the invariants. */
#include "tests/matrix/world.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace rhubarbtrail::matrix {

namespace {

/* Runs scenarios and adds up their results. */
struct Tally
{
  std::uint64_t scenarioCount = 0;
  std::uint64_t eventCount = 0;
  std::uint64_t answeredCount = 0;
  std::uint64_t refusedCount = 0;
  std::map<std::string, std::uint32_t> violations; ///< Number by invariant.

  void Add(const Scenario& aScenario)
  {
    const ScenarioResult result = RunScenario(aScenario);
    ++scenarioCount;
    eventCount += result.eventCount;
    answeredCount += result.answeredCount;
    refusedCount += result.refusedCount;
    for (const std::string& violation : result.violations) {
      const std::string invariant = violation.substr(0, violation.find(':'));
      if (++violations[invariant] <= 3) {
        MESSAGE(DescribeScenario(aScenario), ": ", violation);
      }
    }
  }

  void Print(const char* aName) const
  {
    std::string text;
    for (const auto& [invariant, count] : violations) {
      text += " " + invariant + "=" + std::to_string(count);
    }
    MESSAGE(std::string{ aName },
            ": ",
            scenarioCount,
            " scenarios, ",
            eventCount,
            " events, ",
            answeredCount,
            " answered, ",
            refusedCount,
            " refused, violations:",
            text.empty() ? " none" : text);
  }
};

std::uint64_t EnvironmentNumber(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName); // NOLINT(concurrency-mt-unsafe)
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

/* Returns every step with every fault, for runners that check fencing tokens and for those that do
 * not. */
std::vector<Scenario> SingleFaultScenarios(std::uint64_t aSeed)
{
  std::vector<Scenario> scenarios;
  for (std::size_t step = 0; step < static_cast<std::size_t>(Step::kCount); ++step) {
    for (std::size_t fault = 0; fault < static_cast<std::size_t>(Fault::kCount); ++fault) {
      for (const OrderCheck check : { OrderCheck::kChecked, OrderCheck::kUnchecked }) {
        scenarios.push_back({ .seed = aSeed + step * 101 + fault,
                              .step = static_cast<Step>(step),
                              .faults = { static_cast<Fault>(fault) },
                              .check = check });
      }
    }
  }
  return scenarios;
}

/* Returns a step with two or three faults chosen by the seed. Every eighth seed adds a runner that
 * cannot be reached. */
Scenario RandomScenario(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  Scenario scenario{ .seed = aSeed };
  scenario.step = static_cast<Step>(random() % static_cast<std::uint64_t>(Step::kCount));
  const std::uint64_t count = 2 + random() % 2;
  for (std::uint64_t index = 0; index < count; ++index) {
    const std::uint64_t faults = static_cast<std::uint64_t>(Fault::kRunnerPartition) - 1;
    scenario.faults.push_back(static_cast<Fault>(1 + random() % faults));
  }
  if (aSeed % 8 == 7) {
    scenario.faults.push_back(Fault::kRunnerPartition);
  }
  scenario.check = random() % 2 == 0 ? OrderCheck::kChecked : OrderCheck::kUnchecked;
  return scenario;
}

} // namespace

TEST_CASE("matrix: every fault at every step")
{
  Tally tally;
  const std::uint64_t seed = EnvironmentNumber("MATRIX_SEED", 1);
  for (std::uint64_t round = 0; round < EnvironmentNumber("MATRIX_ROUNDS", 2); ++round) {
    for (const Scenario& scenario : SingleFaultScenarios(seed * 1'000'003 + round * 1'009)) {
      tally.Add(scenario);
    }
  }
  tally.Print("single faults");
  CHECK(tally.violations.empty());
}

TEST_CASE("matrix: pairs and repeats of faults")
{
  Tally tally;
  const std::uint64_t first = EnvironmentNumber("MATRIX_SEED", 1) * 7'919;
  MESSAGE("seeds from ", first);
  for (const DrawOrder order : { DrawOrder::kLastFirst, DrawOrder::kFirstFirst }) {
    for (std::uint64_t seed = first; seed < first + EnvironmentNumber("MATRIX_PAIRS", 500);
         ++seed) {
      Scenario scenario = RandomScenario(seed);
      scenario.drawOrder = order;
      tally.Add(scenario);
    }
  }
  tally.Print("pairs of faults");
  CHECK(tally.violations.empty());
}

/* Seeds that once violated an invariant. Each failed until its cause was fixed. The causes are
 * listed below, but not which seed found which. */
TEST_CASE("matrix: seeds that failed before")
{
  Tally tally;
  // - A failed inventory caused a stream to be cut.
  // - A replica was lost after a takeover.
  // - A claim was released after its request had been quarantined.
  // - A request that had run was reported as not run.
  // - A placement was not written again after the answer to its first write had been lost.
  // - An inventory older than an order was used.
  // - The notice that an endpoint was leaving was lost.
  // - A host list arrived that was older than the one that had listed an endpoint as leaving.
  // - The simulation froze a host after the faults had ended.
  // - A router counted the time without an answer from the holder also while it sent no placement
  //   requests.
  for (const std::uint64_t seed : { 9101,
                                    8437,
                                    8538,
                                    8589,
                                    9025,
                                    10276,
                                    9509,
                                    609883,
                                    610724,
                                    611112,
                                    611560,
                                    611946,
                                    611450,
                                    610644 }) {
    tally.Add(RandomScenario(seed));
  }
  // A daemon that was frozen and then asked to stop admitted requests with an outdated
  // configuration.
  Scenario stale = RandomScenario(8112);
  stale.drawOrder = DrawOrder::kFirstFirst;
  tally.Add(stale);
  CHECK(tally.violations.empty());
}

TEST_CASE("matrix: a seed is the same scenario on every machine")
{
  TraceDigest trace;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    trace.Add(RunScenario(RandomScenario(seed)).trace.value());
  }
  CHECK(trace.value() == 0x99f2'0ce2'76b2'090e);
}

/* Random scenarios for a given time: make soak SEED=... MINUTES=... */
TEST_CASE("matrix: soak" * doctest::skip())
{
  Tally tally;
  std::uint64_t seed = EnvironmentNumber("SEED", 1) * 1'000'000;
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::minutes(EnvironmentNumber("MINUTES", 1));
  MESSAGE("seeds from ", seed);
  while (std::chrono::steady_clock::now() < end) {
    tally.Add(RandomScenario(seed++));
  }
  tally.Print("soak");
  CHECK(tally.violations.empty());
}

/* A mechanism, and the invariant that must be violated when the mechanism is disabled. */
struct Mutation
{
  Mechanism mechanism;
  const char* name;
  const char* invariant;
  std::vector<Fault> faults = {}; ///< Empty: chosen by the seed, as in RandomScenario().
  OrderCheck check = OrderCheck::kChecked;
  std::uint64_t firstSeed = 1; ///< Seed from which the search starts.
};

const Mutation kMutations[]{
  { Mechanism::kInventoryBeforeUse,
    "inventory before use",
    "replicas",
    { Fault::kTableDown, Fault::kTableDown, Fault::kDaemonCrash, Fault::kRunnerPartition },
    OrderCheck::kChecked,
    1'589 },
  { Mechanism::kPossibleReplicas,
    "possible replicas",
    "replicas",
    { Fault::kTableDown, Fault::kTableDown, Fault::kDaemonCrash, Fault::kRunnerPartition } },
  { Mechanism::kFormerOrderReservation,
    "former order reservation",
    "written order",
    { Fault::kDaemonFreeze, Fault::kEndpointCrash, Fault::kEndpointCrash, Fault::kEndpointCrash },
    OrderCheck::kUnchecked,
    1'225 },
  { Mechanism::kPlacementBeforeOrder, "placement before order", "written order" },
  { Mechanism::kMemoryReservation, "memory reservation", "memory" },
  { Mechanism::kDrainBeforeUnload, "drain before unload", "cut stream" },
  { Mechanism::kDemandMerging, "demand merging", "replicas" },
  { Mechanism::kClaimBeforeSend, "claim before send", "at most once" },
  { Mechanism::kFinalOutcomeUnknown, "final outcome unknown", "at most once" },
  { Mechanism::kDeadlineRefusal, "deadline refusal", "in time" },
  { Mechanism::kLeavingNotice, "leaving notice", "leaving" },
  { Mechanism::kFreshnessLimit, "freshness limit", "configuration", {}, OrderCheck::kChecked, 290 },
  { Mechanism::kVersionMonotonic,
    "version monotonic",
    "configuration",
    {},
    OrderCheck::kChecked,
    130 },
  { Mechanism::kShutdownDrain, "shutdown drain", "shutdown" },
};

/* Searches for a scenario that violates the invariant when the mechanism is disabled. The same
 * scenario must violate nothing when the mechanism is enabled. */
void CheckMutationDetected(const Mutation& aMutation)
{
  constexpr std::uint64_t kMaxScenarios = 1'500;
  std::string found;
  std::uint64_t seed = aMutation.firstSeed;
  for (; found.empty() && seed < aMutation.firstSeed + kMaxScenarios; ++seed) {
    Scenario scenario = RandomScenario(seed);
    if (!aMutation.faults.empty()) {
      scenario = { .seed = seed, .faults = aMutation.faults, .check = aMutation.check };
      scenario.faultStartWindow = 9s;
    }
    scenario.disabled.set(static_cast<std::size_t>(aMutation.mechanism));
    for (const std::string& violation : RunScenario(scenario).violations) {
      if (violation.starts_with(aMutation.invariant)) {
        found = DescribeScenario(scenario) + ": " + violation;
        scenario.disabled.reset();
        CHECK(RunScenario(scenario).violations.empty());
        break;
      }
    }
  }
  MESSAGE(std::string{ aMutation.name },
          " disabled, scenarios tried: ",
          seed - aMutation.firstSeed,
          ": ",
          found.empty() ? "NO VIOLATION FOUND" : found);
  CHECK_FALSE(found.empty());
}

/* Load pattern: the first requests for a model come while the table is down, so the holder has it
 * loaded before the placement row records it, and crashes. Its successor finds a row without the
 * replica while the runner that holds it cannot be reached, and callers still wait for the model.
 */
Scenario UnrecordedLoadScenario(std::uint64_t aSeed)
{
  return { .seed = aSeed,
           .step = Step::kRequest,
           .directedFaults = { { .at = -100ms, .fault = Fault::kTableDown, .length = 3s },
                               { .at = 1'500ms, .fault = Fault::kDaemonCrash, .length = 5s },
                               { .at = 1'510ms, .fault = Fault::kRunnerPartition, .length = 9s } },
           .hasBackgroundTraffic = false };
}

/* Unlike the search below, these scenarios reach their case by construction. */
TEST_CASE("matrix: a successor does not load a model again that it has no record of")
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    CHECK(RunScenario(UnrecordedLoadScenario(seed)).violations.empty());
    for (const Mechanism mechanism :
         { Mechanism::kInventoryBeforeUse, Mechanism::kPossibleReplicas }) {
      CAPTURE(static_cast<int>(mechanism));
      Scenario scenario = UnrecordedLoadScenario(seed);
      scenario.disabled.set(static_cast<std::size_t>(mechanism));
      const std::vector<std::string> violations = RunScenario(scenario).violations;
      REQUIRE_FALSE(violations.empty());
      CHECK(violations.front().starts_with("replicas"));
    }
  }
}

/* Guards against invariant checks that detect nothing: without the mechanism, one of the scenarios
 * must violate the invariant, or the matrix would also pass if the mechanism were broken. */
TEST_CASE("matrix: disabling a mechanism violates its invariant")
{
  for (const Mutation& mutation : kMutations) {
    CheckMutationDetected(mutation);
  }
}

} // namespace rhubarbtrail::matrix

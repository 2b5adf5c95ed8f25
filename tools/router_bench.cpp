/* Measures the router in virtual time: table writes for claims, retries at failing endpoints, and
 * fairness between customers. */
#include "tests/unit/router_world.h"

#include <cmath>
#include <cstdio>
#include <random>

using namespace rhubarbtrail;
using namespace rhubarbtrail::test;

namespace {

constexpr std::uint64_t kSeed = 20'261;

/* Returns the latencies of the completed requests, sorted. */
std::vector<Duration> LatenciesOf(const World& aWorld,
                                  const std::map<RequestId, TimePoint>& aArrivalTimes)
{
  std::vector<Duration> latencies;
  for (const auto& [request, at] : aArrivalTimes) {
    if (aWorld.CodeOf(request) == 1000) {
      latencies.push_back(aWorld.finished.at(request).at - at);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies;
}

/* Returns a percentile in milliseconds. */
double Percentile(const std::vector<Duration>& aSorted, double aShare)
{
  const auto index = static_cast<std::size_t>(aShare * static_cast<double>(aSorted.size() - 1));
  return aSorted.empty() ? 0.0 : std::chrono::duration<double, std::milli>(aSorted[index]).count();
}

/* Measures how many table transactions and rows the claim of a request costs, at several request
 * rates. Queued claims share a transaction. */
void MeasureClaims()
{
  std::printf("claims/s  transactions/claim  rows/claim  p50 ms  p99 ms\n");
  for (const int rate : { 10, 100, 1'000 }) {
    World world({ .runners = 4, .configure = [](Configuration& aConfiguration, DecisionSettings&) {
                   aConfiguration.customers.at(CustomerId{ "big" }).queueLimit = 4'096;
                 } });
    std::mt19937_64 random(kSeed);
    std::exponential_distribution<double> interarrivalSeconds(rate);
    std::map<RequestId, TimePoint> arrivalTimes;
    const int count = rate * 10;
    for (int index = 0; index < count; ++index) {
      world.Run(Duration{ static_cast<std::int64_t>(interarrivalSeconds(random) * 1e6) });
      const TimePoint at = world.now;
      arrivalTimes[world.SendRequest({ .service = ServiceId{ "plain" },
                                       .key = IdempotencyKey{ "k" + std::to_string(index) } })] =
        at;
    }
    world.Run(10s);
    const auto latencies = LatenciesOf(world, arrivalTimes);
    std::printf("%8d  %18.2f  %10.2f  %6.1f  %6.1f  (%zu of %d answered)\n",
                rate,
                static_cast<double>(world.claimTransactions) / count,
                static_cast<double>(world.claimRowsWritten) / count,
                Percentile(latencies, 0.5),
                Percentile(latencies, 0.99),
                latencies.size(),
                count);
  }
}

/* Measures the attempts per request when endpoints fail, with and without retry budgets. */
void MeasureRetries()
{
  std::printf("failing  budget  attempts/request  answered\n");
  for (const bool hasBudget : { true, false }) {
    for (const int percent : { 0, 10, 50, 100 }) {
      MechanismSet disabled;
      disabled.set(static_cast<std::size_t>(Mechanism::kRetryBudget), !hasBudget);
      World world({ .runners = 4, .disabled = disabled });
      std::mt19937_64 random(kSeed);
      std::uniform_int_distribution<int> percentDistribution(0, 99);
      world.endOfAttempt = [&](const StartedAttempt&) {
        const bool isCut = percentDistribution(random) < percent;
        return std::optional{ SimulatedEnd{ isCut ? AttemptOutcome::kIncomplete
                                                  : AttemptOutcome::kCompleted } };
      };
      constexpr int kRequests = 2'000;
      std::map<RequestId, TimePoint> arrivalTimes;
      for (int index = 0; index < kRequests; ++index) {
        const TimePoint at = world.now;
        arrivalTimes[world.SendRequest({ .service = ServiceId{ "plain" } })] = at;
        world.Run(10ms);
      }
      world.Run(40s);
      std::printf("%6d%%  %6s  %16.3f  %7.1f%%\n",
                  percent,
                  hasBudget ? "on" : "off",
                  static_cast<double>(world.started.size()) / kRequests,
                  100.0 * static_cast<double>(LatenciesOf(world, arrivalTimes).size()) / kRequests);
    }
  }
}

/* Measures the latencies of a small customer with 8 requests per second, alone and beside a large
 * one with 1600. One model on one runner with 16 slots and 100 ms per request on average serves 160
 * requests per second, so that the large customer sends 10 times the capacity. */
void MeasureFairness()
{
  std::printf("large customer  small p50 ms  small p99 ms  small refused  large answered\n");
  for (const bool hasLargeCustomer : { false, true }) {
    World world({ .configure = [](Configuration& aConfiguration, DecisionSettings& aSettings) {
      aConfiguration.customers.at(CustomerId{ "big" }).queueLimit = 100'000;
      aSettings.queueLimit = 1'000;
    } });
    std::mt19937_64 random(kSeed);
    std::mt19937_64 serviceRandom(kSeed + 1);
    std::gamma_distribution<double> serviceMicroseconds(4.0, 25'000.0);
    world.endOfAttempt = [&](const StartedAttempt&) {
      return std::optional{ SimulatedEnd{
        AttemptOutcome::kCompleted,
        Duration{ static_cast<std::int64_t>(serviceMicroseconds(serviceRandom)) } } };
    };
    std::exponential_distribution<double> interarrivalSeconds(8.0 +
                                                              (hasLargeCustomer ? 1'600.0 : 0.0));
    std::uniform_real_distribution<double> customerChoice(0.0,
                                                          8.0 + (hasLargeCustomer ? 1'600.0 : 0.0));
    std::map<RequestId, TimePoint> smallArrivalTimes;
    std::map<RequestId, TimePoint> largeArrivalTimes;
    const TimePoint arrivalsEnd = world.now + 120s;
    while (world.now < arrivalsEnd) {
      world.Run(Duration{ static_cast<std::int64_t>(interarrivalSeconds(random) * 1e6) });
      const bool isSmall = customerChoice(random) < 8.0;
      const TimePoint at = world.now;
      const RequestId request =
        world.SendRequest({ .customer = CustomerId{ isSmall ? "small" : "big" } });
      (isSmall ? smallArrivalTimes : largeArrivalTimes)[request] = at;
    }
    world.Run(60s);
    const auto latencies = LatenciesOf(world, smallArrivalTimes);
    std::printf("%14s  %12.1f  %12.1f  %6zu of %zu  %8zu of %zu\n",
                hasLargeCustomer ? "10x" : "none",
                Percentile(latencies, 0.5),
                Percentile(latencies, 0.99),
                smallArrivalTimes.size() - latencies.size(),
                smallArrivalTimes.size(),
                LatenciesOf(world, largeArrivalTimes).size(),
                largeArrivalTimes.size());
  }
}

} // namespace

int main()
{
  std::printf("seed %llu\n", static_cast<unsigned long long>(kSeed));
  MeasureClaims();
  MeasureRetries();
  MeasureFairness();
}

/* Generates sessions of requests. A few models are popular, a few are used periodically, and the
 * others have idle times with a heavy-tailed distribution. */
#include "bench/arrivals.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace rhubarbtrail::bench {

namespace {

constexpr std::uint32_t kModels = 50;
constexpr std::uint32_t kPopularModels = 5;
constexpr std::uint32_t kPeriodicModels = 10;
/* Speed at which weights get from the weight store to an accelerator. It sets the expected load
 * times in the configuration. */
constexpr std::int64_t kStoreMbPerSecond = 2'000;
constexpr double kPopularIdleSeconds = 90;
constexpr double kMeanRequestSeconds = 2;
constexpr double kMeanRequestsInSession = 6;

Deployment MakeDeployment(const std::string& aName, std::uint32_t aAdapters, double aLoadsPerSecond)
{
  Deployment deployment{ .name = aName, .configuration = {} };
  Configuration& configuration = deployment.configuration;
  configuration.version = { 1 };
  ServiceSpec service{ .id = ServiceId{ "models" }, .routes = {} };
  service.store.loadsPerSecond = aLoadsPerSecond;
  configuration.services[service.id] = service;
  ClassSpec requestClass{ .id = ClassId{ "default" } };
  requestClass.deadline = 120s;
  configuration.classes[requestClass.id] = requestClass;
  CustomerSpec customer{ .id = CustomerId{ "c" }, .keyHashes = {}, .models = {}, .services = {} };
  customer.allModels = true;
  customer.queueLimit = 4'096;
  configuration.customers[customer.id] = customer;
  for (std::uint32_t i = 0; i < kModels; ++i) {
    ModelSpec model{ .id = ModelId{ "m" + std::to_string(i) }, .service = service.id };
    model.memory = { 8'000 + 1'000 * (i % 8) + (i % 10 == 9 ? 20'000 : 0) };
    model.expectedLoad =
      std::chrono::milliseconds{ model.memory.value * 1'000 / kStoreMbPerSecond };
    const std::uint32_t adapters = 1 + (i < aAdapters - kModels ? 1 : 0);
    for (std::uint32_t a = 0; a < adapters; ++a) {
      const AdapterId id{ "a" + std::to_string(a) };
      model.adapters[id] = { .id = id, .memory = { 200 } };
    }
    configuration.models[model.id] = model;
  }
  return deployment;
}

/* Returns the number by which idle times are divided: 0.4 at midnight and 1.6 at noon. Time 0 is
 * midnight. */
double DailyLoadFactor(double aSeconds)
{
  constexpr double kDay = 86'400;
  return 1.0 - 0.6 * std::cos(2 * std::numbers::pi * aSeconds / kDay);
}

} // namespace

Deployment NominasDeployment(const KeepAlivePolicy& aPolicy)
{
  Deployment deployment = MakeDeployment("nominas", 56, 4.0);
  deployment.medianIdleSeconds = 1'800;
  deployment.configuration.services.begin()->second.keepAlive = aPolicy;
  return deployment;
}

Deployment LannaWingsDeployment(const KeepAlivePolicy& aPolicy)
{
  Deployment deployment = MakeDeployment("lanna-wings", 58, 2.0);
  deployment.medianIdleSeconds = 900;
  deployment.configuration.services.begin()->second.keepAlive = aPolicy;
  return deployment;
}

std::vector<Arrival> GenerateArrivals(const Deployment& aDeployment,
                                      std::uint64_t aSeed,
                                      Duration aLength)
{
  std::mt19937_64 random(aSeed);
  std::vector<Arrival> arrivals;
  const double length = std::chrono::duration<double>(aLength).count();
  std::lognormal_distribution<double> idleFactor(0, aDeployment.idleSigma);
  std::normal_distribution<double> periodJitter(1.0, 0.05);
  std::exponential_distribution<double> serviceSeconds(1.0 / kMeanRequestSeconds);
  std::geometric_distribution<int> extraRequests(1.0 / kMeanRequestsInSession);
  std::exponential_distribution<double> requestGap(1.0 / 3.0);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::uint32_t nextIndex = 0;
  for (const auto& [id, model] : aDeployment.configuration.models) {
    const std::uint32_t index = nextIndex++;
    const bool isPopular = index < kPopularModels;
    const bool isPeriodic = index >= kPopularModels && index < kPopularModels + kPeriodicModels;
    // The median idle time of a model is between a quarter and four times the common value.
    const double medianSeconds = (isPopular ? kPopularIdleSeconds : aDeployment.medianIdleSeconds) *
                                 std::exp2(4 * uniform(random) - 2);
    for (double sessionStart = medianSeconds * uniform(random); sessionStart < length;) {
      const int requestCount = 1 + extraRequests(random);
      double requestTime = sessionStart;
      const bool usesAdapter = uniform(random) < 0.5;
      for (int i = 0; i < requestCount; ++i) {
        arrivals.push_back(
          { .at = TimePoint{ Duration{ static_cast<Duration::rep>(requestTime * 1e6) } },
            .artifact = { id, usesAdapter ? model.adapters.begin()->first : AdapterId{} },
            .serviceTime =
              Duration{ static_cast<Duration::rep>(serviceSeconds(random) * 1e6) } + 50ms,
            .isWakeUp = i == 0 });
        requestTime += requestGap(random);
      }
      const double idleSeconds =
        isPeriodic ? medianSeconds * std::max(0.5, periodJitter(random))
                   : medianSeconds * idleFactor(random) / DailyLoadFactor(requestTime);
      sessionStart = requestTime + std::max(15.0, idleSeconds);
    }
  }
  std::sort(arrivals.begin(), arrivals.end(), [](const Arrival& aLeft, const Arrival& aRight) {
    return aLeft.at < aRight.at;
  });
  return arrivals;
}

} // namespace rhubarbtrail::bench

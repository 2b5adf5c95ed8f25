/* Generates random request arrivals for deployments whose models are mostly used rarely. */
#ifndef RHUBARBTRAIL_BENCH_ARRIVALS_H
#define RHUBARBTRAIL_BENCH_ARRIVALS_H

#include "decision/decision.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbtrail::bench {

/* A deployment: its configuration, and how long its models stay idle between sessions. A session is
 * a series of requests for one model. */
struct Deployment
{
  std::string name;
  Configuration configuration;
  /* Median idle time between two sessions of a model that is not popular. The median of a single
   * model is up to four times shorter or longer. */
  double medianIdleSeconds = 900;
  /* Standard deviation of the logarithm of the idle times, which follow a log-normal distribution.
   * A larger value makes long idle times more frequent. */
  double idleSigma = 1.2;
};

/* One request of the list. */
struct Arrival
{
  TimePoint at{};
  Artifact artifact;
  Duration serviceTime{}; ///< Time for which a replica runs the request.
  bool isWakeUp = false;  ///< Whether the request is the first one of its session.
};

constexpr std::uint32_t kRunners = 9; ///< Runners of each deployment.

/* Return the two deployments of the benchmark, with the given keep-alive policy. Both have 50
 * models. Nominas has 56 adapters, Lanna Wings 58. */
Deployment NominasDeployment(const KeepAlivePolicy& aPolicy);
Deployment LannaWingsDeployment(const KeepAlivePolicy& aPolicy);

/* Returns the arrivals of sessions that start within aLength, ordered by time. The same seed gives
 * the same list. */
std::vector<Arrival> GenerateArrivals(const Deployment& aDeployment,
                                      std::uint64_t aSeed,
                                      Duration aLength);

} // namespace rhubarbtrail::bench

#endif

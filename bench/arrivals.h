/* Generates a day of requests for rarely used models, from a seed. */
#ifndef RHUBARBTRAIL_BENCH_ARRIVALS_H
#define RHUBARBTRAIL_BENCH_ARRIVALS_H

#include "decision/decision.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbtrail::bench {

/* A deployment: its configuration, and how its models are used. */
struct Deployment
{
  std::string name;
  Configuration configuration;
  double medianIdleSeconds = 900; ///< Of a model that is neither popular nor periodic.
  double idleSigma = 1.2;         ///< Of the logarithm of the idle times: the heavy tail.
};

/* One request; the first one after an idle time wakes its model up. */
struct Arrival
{
  TimePoint at{};
  Artifact artifact;
  Duration service{}; ///< Time on a replica.
  bool isWakeUp = false;
};

constexpr std::uint32_t kRunners = 9;

/* The deployments at today's sizes; the keep-alive policy is the given one. */
Deployment NominasDeployment(const KeepAlivePolicy& aPolicy);
Deployment LannaWingsDeployment(const KeepAlivePolicy& aPolicy);

/* Returns the arrivals in order of time. The same seed gives the same list. */
std::vector<Arrival> GenerateArrivals(const Deployment& aDeployment,
                                      std::uint64_t aSeed,
                                      Duration aLength);

} // namespace rhubarbtrail::bench

#endif

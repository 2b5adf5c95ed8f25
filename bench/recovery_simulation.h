/* Endpoints that are back after a crash, a flap or a pause, in simulated time: which policy opens
 * their windows, and what it costs in late or refused requests. */
#ifndef RHUBARBTRAIL_BENCH_RECOVERY_SIMULATION_H
#define RHUBARBTRAIL_BENCH_RECOVERY_SIMULATION_H

#include "decision/fleet/endpoint_window.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace rhubarbtrail::bench {

using fleet::EndpointWindow;
using fleet::PaceSignal;

constexpr std::uint32_t kSlots = 12;
constexpr std::uint32_t kMaxQueue = 24; ///< Requests at an endpoint beyond which it refuses more.
constexpr double kServiceS = 0.1;
constexpr double kObjectiveS = 0.5;
constexpr double kWatchedS = 10.0; ///< After the recovery.

/* A policy that is compared: whether one more request is within the window, and its signals. */
struct Policy
{
  std::function<bool(double aNow, std::uint32_t aInFlight)> hasRoom;
  std::function<void(double aNow, double aTime, PaceSignal)> record;
};

inline TimePoint ToTime(double aSeconds)
{
  return TimePoint{ 100s } + Duration{ static_cast<Duration::rep>(aSeconds * 1e6) };
}

/* The policies by name. Vegas and gradient limit by the time of answers against the least one. */
inline Policy MakePolicy(const std::string& aName)
{
  if (aName == "off") {
    return { [](double, std::uint32_t) { return true; }, [](double, double, PaceSignal) {} };
  }
  if (aName == "slow start") {
    return { [](double aNow, std::uint32_t aInFlight) {
              return aInFlight + 1.0 <= 2.0 * std::exp2(aNow / 0.5);
            },
             [](double, double, PaceSignal) {} };
  }
  if (aName == "aimd") {
    auto window = std::make_shared<EndpointWindow>();
    window->Start(ToTime(0.0), { .first = 2.0, .full = kSlots });
    return { [window](double aNow, std::uint32_t aInFlight) {
              return window->HasRoom(ToTime(aNow), aInFlight, 0.0);
            },
             [window](double aNow, double, PaceSignal aSignal) {
               window->Record(ToTime(aNow), aSignal);
             } };
  }
  struct Limit
  {
    double size = 2.0;
    double least = 1e9;
  };
  auto limit = std::make_shared<Limit>();
  return { [limit](double, std::uint32_t aInFlight) { return aInFlight + 1.0 <= limit->size; },
           [limit, aName](double, double aTime, PaceSignal aSignal) {
             if (aSignal == PaceSignal::kRefused) {
               limit->size = std::max(limit->size / 2.0, 1.0);
               return;
             }
             limit->least = std::min(limit->least, aTime);
             if (aName == "vegas") {
               const double queued = limit->size * (1.0 - limit->least / aTime);
               limit->size += queued < 2.0   ? 1.0 / limit->size
                              : queued > 4.0 ? -1.0 / limit->size
                                             : 0;
             } else {
               const double gradient = std::clamp(limit->least / aTime, 0.5, 1.0);
               limit->size =
                 0.9 * limit->size + 0.1 * (limit->size * gradient + std::sqrt(limit->size));
             }
             limit->size = std::clamp(limit->size, 1.0, kMaxQueue * 1.0);
           } };
}

struct Scenario
{
  const char* name = "";
  std::size_t endpoints = 2;
  std::size_t back = 1;           ///< Endpoints that are back at the start of the run.
  double use = 0.7;               ///< Requests, as a share of what all endpoints can answer.
  std::uint32_t coldAnswers = 60; ///< Answers of an endpoint that is back until its cache is warm.
  double coldFactor = 5.0;        ///< Times longer that they take.
  double failureShare = 0.0;      ///< Of the requests at endpoints that are back, at once.
};

/* Returns the share in percent of requests that were late, failed or refused. */
inline double ShareLateOrRefused(const Scenario& aScenario,
                                 const std::string& aPolicy,
                                 std::uint32_t aSeed)
{
  struct Endpoint
  {
    std::vector<double> slotFreeAt = std::vector<double>(kSlots, 0.0);
    std::uint32_t inFlight = 0;
    std::uint32_t cold = 0;
    bool fails = false;
    Policy policy = MakePolicy("off");
  };
  struct Done
  {
    double at = 0.0;
    std::size_t endpoint = 0;
    double time = 0.0;
    PaceSignal signal = PaceSignal::kInTime;
    bool operator<(const Done& aOther) const { return at > aOther.at; }
  };
  std::mt19937 random(aSeed);
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  std::vector<Endpoint> endpoints(aScenario.endpoints);
  for (std::size_t index = 0; index < aScenario.back; ++index) {
    endpoints[index].cold = aScenario.coldAnswers;
    endpoints[index].fails = true;
    endpoints[index].policy = MakePolicy(aPolicy);
  }
  std::priority_queue<Done> done;
  const double rate = aScenario.use * static_cast<double>(aScenario.endpoints) * kSlots / kServiceS;
  std::size_t requests = 0;
  std::size_t bad = 0;
  for (double now = 0.0; now < kWatchedS; now -= std::log(1.0 - draw(random)) / rate) {
    while (!done.empty() && done.top().at <= now) {
      const Done item = done.top();
      done.pop();
      --endpoints[item.endpoint].inFlight;
      endpoints[item.endpoint].policy.record(item.at, item.time, item.signal);
      bad += item.signal == PaceSignal::kInTime ? 0 : 1;
    }
    ++requests;
    // Within the windows first; if all others are full, the windows do not count.
    const auto rank = [&](Endpoint& aEndpoint) {
      const bool isBeyond =
        aEndpoint.inFlight < kSlots && !aEndpoint.policy.hasRoom(now, aEndpoint.inFlight);
      return aEndpoint.inFlight + (isBeyond ? kSlots : 0U);
    };
    const auto best =
      std::min_element(endpoints.begin(), endpoints.end(), [&](Endpoint& aLeft, Endpoint& aRight) {
        return rank(aLeft) < rank(aRight);
      });
    const auto index = static_cast<std::size_t>(best - endpoints.begin());
    ++best->inFlight;
    const bool isRefused = best->inFlight > kMaxQueue;
    if (isRefused || (best->fails && draw(random) < aScenario.failureShare)) {
      done.push({ now + 0.01, index, 0.01, PaceSignal::kRefused });
      continue;
    }
    const auto slot = std::min_element(best->slotFreeAt.begin(), best->slotFreeAt.end());
    const double work =
      kServiceS * (0.5 + draw(random)) * (best->cold > 0 ? aScenario.coldFactor : 1.0);
    best->cold -= std::min(best->cold, 1U);
    *slot = std::max(*slot, now) + work;
    const double time = *slot - now;
    done.push({ *slot, index, time, time > kObjectiveS ? PaceSignal::kLate : PaceSignal::kInTime });
  }
  return 100.0 * static_cast<double>(bad) / static_cast<double>(requests);
}

/* Returns the mean over some seeds. */
inline double MeanShareLateOrRefused(const Scenario& aScenario, const std::string& aPolicy)
{
  constexpr std::uint32_t kSeeds = 20;
  double share = 0.0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    share += ShareLateOrRefused(aScenario, aPolicy, seed) / kSeeds;
  }
  return share;
}

inline std::vector<Scenario> RecoveryScenarios()
{
  return { { .name = "crowd at a cold cache, 1 of 4", .endpoints = 4, .back = 1 },
           { .name = "ten of twenty back at once", .endpoints = 20, .back = 10, .use = 0.45 },
           { .name = "one of four answers fast and fails", .endpoints = 4, .failureShare = 0.6 },
           { .name = "alone, with a cold cache", .endpoints = 1, .use = 0.5 } };
}

} // namespace rhubarbtrail::bench

#endif

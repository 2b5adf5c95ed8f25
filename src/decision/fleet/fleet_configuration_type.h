/* The configuration of a fleet: which request goes to which service, and what its models need. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_FLEET_CONFIGURATION_TYPE_H
#define RHUBARBTRAIL_DECISION_FLEET_FLEET_CONFIGURATION_TYPE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbtrail::fleet {

/* What may be done with a request after it was sent to an endpoint. */
enum class RouteKind : std::uint8_t
{
  kIdempotent,
  kNonIdempotent,
  kStream,
};

/* One of the services that a route's requests are divided between. */
struct ServiceShare
{
  ServiceId service;
  std::uint32_t weight = 1;
};

struct Route
{
  std::string name;
  std::string host;
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  bool isResumable = false;      ///< A stream may go on at another endpoint.
  Duration timeout{};            ///< Longest time from arrival to the end of the answer; 0: none.
  Duration objective{};          ///< Time to the answer, or to the first event, for full credit.
  Duration pauseObjective{};     ///< Longest pause between events for full credit.
  std::uint32_t priority = 0;    ///< 0 is the most urgent.
  std::uint32_t maxAttempts = 1; ///< Endpoints that may run one request.
  std::vector<ServiceShare> services;

  /* Returns whether a request that may have run can be sent again from its beginning. */
  bool MayRepeat() const { return kind == RouteKind::kIdempotent; }
  /* Returns whether a request that may have run can be sent again in any form. */
  bool MayRepeatOrResume() const { return MayRepeat() || isResumable; }
};

struct Model
{
  ModelId id;
  MemoryMb weights;
  MemoryMb adapterWeights;
  std::uint32_t adapters = 0;
  Duration storeLoad{};  ///< Load time from the weight store, at full speed.
  Duration memoryLoad{}; ///< Load time from the runner's host memory.
  Duration diskLoad{};   ///< Load time from the runner's own disk.
};

/* What the runners of a service that loads models can hold. */
struct Engine
{
  std::uint32_t slots = 0;
  std::uint64_t cacheTokens = 0; ///< Tokens that running requests and kept prompts share.
  MemoryMb weights;              ///< For models and adapters together.
  std::uint32_t adapterSlots = 0;
  double loadsPerSecond = 0.0; ///< Loads from the weight store, over all runners.
  std::map<ModelId, Model> models;

  /* Returns a model, or null when the configuration does not name it. */
  const Model* Find(const ModelId& aModel) const;
};

struct Service
{
  ServiceId id;
  std::optional<Engine> engine; ///< Absent for plain services.
};

/* What clients may send, and how long they may take. */
struct ClientLimits
{
  std::uint32_t headerBytes = 16'384;
  std::uint64_t bodyBytes = 4U << 20U;
  Duration headerTime = 3s;
  Duration idleTime = 15s;
};

struct FleetConfiguration
{
  ConfigVersion version;
  std::map<std::string, std::vector<Route>, std::less<>> routesByHost; ///< Longest prefix first.
  std::map<ServiceId, Service> services;
  ClientLimits limits;

  /* Returns the route with the longest prefix that the path begins with, or null. */
  const Route* Match(std::string_view aHost, std::string_view aPath) const;
  const Service* Find(const ServiceId& aService) const;
  std::size_t routeCount() const;
};

} // namespace rhubarbtrail::fleet

#endif

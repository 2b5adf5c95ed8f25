/* The configuration of a fleet: the routes from requests to services, and the sizes and load times
 * of the services' models. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_FLEET_CONFIGURATION_TYPE_H
#define RHUBARBTRAIL_DECISION_FLEET_FLEET_CONFIGURATION_TYPE_H

#include "core/id_type.h"
#include "core/unit_type.h"
#include "decision/fleet/client_account_type.h"
#include "decision/fleet/runner_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbtrail::fleet {

/* Tells whether and how a request can be repeated after it was sent to an endpoint. */
enum class RouteKind : std::uint8_t
{
  kIdempotent,    ///< The request can be sent again from its beginning.
  kNonIdempotent, ///< The request must not be sent again once it may have run.
  kStream, ///< The answer is a stream of events, which can be resumed if the route is resumable.
};

/* A service that gets a share of a route's requests, in proportion to its weight. */
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
  bool isResumable = false; ///< Another endpoint can continue a stream that broke off.
  Duration timeout{};       ///< Longest time from arrival to the end of the answer. 0 for no limit.
  Duration latencyObjective{}; ///< Latency goal for the answer, or for the first event of a stream.
  Duration eventGapObjective{};  ///< Goal for the longest gap between two events of a stream.
  std::uint32_t priority = 0;    ///< 0 is the most urgent.
  bool isPublic = false;         ///< Needs no key where there are accounts.
  std::uint32_t maxAttempts = 1; ///< Maximum number of attempts of one request that may run.
  std::vector<ServiceShare> services;

  /* Returns whether a request that may have run can be sent again from its beginning. */
  bool MayRepeat() const { return kind == RouteKind::kIdempotent; }
  /* Returns whether a request that may have run can be sent again from its beginning, or its stream
   * continued at another endpoint. */
  bool MayRepeatOrResume() const { return MayRepeat() || isResumable; }
};

struct Model
{
  ModelId id;
  MemoryMb weights;           ///< Memory for the model without adapters.
  MemoryMb adapterWeights;    ///< Memory for one adapter.
  std::uint32_t adapters = 0; ///< Number of adapters that the model has.
  std::string adapterPrefix;  ///< An adapter's name is this and its number, from 1.
  Duration storeLoadTime{};   ///< Load time from the weight store at its full speed.
  Duration memoryLoadTime{};  ///< Load time from the runner's host memory.
  Duration diskLoadTime{};    ///< Load time from the runner's own disk.

  /* Returns whether the model has an adapter. An empty id stands for none, which each model has. */
  bool HasAdapter(const AdapterId& aAdapter) const;
};

/* The capacity of each runner of a service that loads models. */
struct Engine
{
  std::uint32_t slots = 0;        ///< Requests that run at the same time.
  std::uint64_t cacheTokens = 0;  ///< Token capacity shared by running requests and cached prompts.
  MemoryMb weights;               ///< Weight memory, for models and adapters together.
  std::uint32_t adapterSlots = 0; ///< Loaded adapters, at most.
  double loadsPerSecond = 0.0; ///< Limit on loads from the weight store, for all runners together.
  std::map<ModelId, Model> models;

  /* Returns the model, or null if the configuration does not name it. */
  const Model* Find(const ModelId& aModel) const;
  /* Returns whether the configuration names a model with one of its adapters. */
  bool Has(const ModelRef& aModel) const;
};

struct Service
{
  ServiceId id;
  std::optional<Engine> engine; ///< Absent for services that load no models.
};

/* Limits on the size of clients' requests and on the time that clients take to send them. */
struct ClientLimits
{
  std::uint32_t headerBytes = 16'384;
  std::uint64_t bodyBytes = 4U << 20U;
  Duration headerTimeout = 3s; ///< From the first byte of a request to the end of its header.
  Duration idleTimeout = 15s;  ///< Between two requests on a connection.
};

struct FleetConfiguration
{
  ConfigVersion version;
  std::map<std::string, std::vector<Route>, std::less<>> routesByHost; ///< Longest prefix first.
  std::map<ServiceId, Service> services;
  ClientLimits limits;
  /* Null in deployments whose clients carry no keys. */
  std::shared_ptr<const ClientAccounts> accounts;

  /* Returns the route with the longest prefix that the path begins with, or null. */
  const Route* Match(std::string_view aHost, std::string_view aPath) const;
  const Service* Find(const ServiceId& aService) const;
  std::size_t routeCount() const;
};

} // namespace rhubarbtrail::fleet

#endif

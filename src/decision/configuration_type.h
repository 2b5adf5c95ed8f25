/* The parsed configuration of the operators. */
#ifndef RHUBARBTRAIL_DECISION_CONFIGURATION_TYPE_H
#define RHUBARBTRAIL_DECISION_CONFIGURATION_TYPE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbtrail {

enum class ServiceKind : std::uint8_t
{
  kModels, ///< Its endpoints are runners, which load and unload models when ordered to.
  kPlain,  ///< Its endpoints answer HTTP calls and take no orders.
};

/* Whether the runners of a service reject orders with an outdated fencing token. */
enum class OrderCheck : std::uint8_t
{
  kChecked,
  kUnchecked,
};

/* Whether a request may be sent to an endpoint more than once. */
enum class Repeatability : std::uint8_t
{
  kIdempotent, ///< May be sent again, even if an earlier attempt may have run.
  kAtMostOnce, ///< Must not be sent again after an attempt that may have run.
};

/* Unloads a replica after a fixed idle time. */
struct FixedKeepAlive
{
  Duration idleLimit = 60s;
};

/* Unloads a replica after an idle time that is a percentile of its model's recorded idle times. If
 * the percentile exceeds the maximum, only the minimum applies, because a replica cannot be kept
 * long enough to be reused. */
struct HistogramKeepAlive
{
  std::uint32_t percentile = 90; ///< In percent.
  Duration minimum = 5s;         ///< Idle time for which a replica is always kept.
  Duration maximum = 600s;       ///< Longest idle time for which a replica may be kept.
};

/* Unloads a replica when its expected cost exceeds the expected saving. The saving is the
 * probability of reuse x the load time x coldStartWeight. The cost is the fraction of the runner's
 * memory that the replica takes x the idle time until its reuse. */
struct CostAwareKeepAlive
{
  double coldStartWeight = 1.0; ///< Higher values keep replicas longer.
};

using KeepAlivePolicy = std::variant<FixedKeepAlive, HistogramKeepAlive, CostAwareKeepAlive>;

/* Limits for loads from the weight store by the runners of a service. */
struct StoreLimits
{
  std::uint32_t concurrentLoads = 4; ///< Model loads at a time. Also the burst of the rate limit.
  double loadsPerSecond = 4.0;       ///< Rate limit for model loads.
  std::uint32_t adaptersInTransit = 32; ///< Adapter loads at a time.
};

/* Assigns a request class to the calls of a plain service. */
struct RouteSpec
{
  std::string method;     ///< HTTP method in upper case; empty matches any.
  std::string pathPrefix; ///< Starts with a slash.
  ClassId requestClass;
};

struct ServiceSpec
{
  ServiceId id;
  ServiceKind kind = ServiceKind::kModels;
  OrderCheck orderCheck = OrderCheck::kChecked;
  std::uint32_t endpointConcurrency = 16; ///< Requests that one endpoint runs at a time.
  /* Nominal memory of a runner, for configuration checks and preload decisions. Replicas are placed
   * by the memory that a runner reports. */
  MemoryMb runnerMemory{ 80'000 };
  MemoryMb kvCacheReserve{ 16'000 }; ///< Memory of each runner that is kept free of weights.
  StoreLimits store;
  KeepAlivePolicy keepAlive;
  std::vector<RouteSpec> routes; ///< Routes of a plain service. The first that matches applies.
  std::set<EndpointId> drained;  ///< Endpoints that get no new work.
};

struct AdapterSpec
{
  AdapterId id;
  MemoryMb memory;
};

struct ModelSpec
{
  ModelId id;
  ServiceId service;
  std::string version = "1";
  MemoryMb memory;            ///< Memory of the weights without adapters.
  Duration expectedLoad = 5s; ///< Expected duration of a load.
  std::uint32_t maxReplicas = 1;
  std::map<AdapterId, AdapterSpec> adapters;
};

/* A class of requests, which share a priority, a default deadline and their repeatability. */
struct ClassSpec
{
  ClassId id;
  std::uint32_t priority = 1; ///< 0 is the highest priority.
  Duration deadline = 30s;    ///< Deadline of requests that set none.
  Repeatability repeatability = Repeatability::kIdempotent;
};

struct CustomerSpec
{
  CustomerId id;
  std::vector<std::string> keyHashes; ///< SHA-256 of each API key, in lower-case hex.
  std::set<ModelId> models;           ///< Allowed models, unless allModels is set.
  std::set<ServiceId> services;       ///< Allowed plain services.
  bool allModels = false;
  std::uint32_t weight = 1;       ///< Share in fair queueing, relative to other customers.
  std::uint32_t queueLimit = 256; ///< Unanswered requests that one daemon accepts.
};

struct Configuration
{
  ConfigVersion version;
  std::map<ServiceId, ServiceSpec> services;
  std::map<ModelId, ModelSpec> models;
  std::map<ClassId, ClassSpec> classes;
  std::map<CustomerId, CustomerSpec> customers;
};

} // namespace rhubarbtrail

#endif

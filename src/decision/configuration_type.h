/* The accepted configuration as plain data: what the decisions need of it. */
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
  kModels, ///< Runners that load models on order.
  kPlain,  ///< Endpoints that answer HTTP calls and take no orders.
};

/* Whether the runners of a service refuse an order with an old fencing number. */
enum class OrderCheck : std::uint8_t
{
  kChecked,
  kUnchecked,
};

/* Whether a request may be sent to an endpoint more than once. */
enum class Repeatability : std::uint8_t
{
  kIdempotent,
  kAtMostOnce,
};

/* Unloads a replica that was idle for a fixed time. */
struct FixedKeepAlive
{
  Duration idleLimit = 60s;
};

/* Unloads a replica after the percentile of the idle times seen for its model. */
struct HistogramKeepAlive
{
  std::uint32_t percentile = 90;
  Duration minimum = 5s;
  Duration maximum = 600s;
};

/* Unloads a replica when holding it costs more than the expected cold start:
 * reuse probability x load time x weight against memory share x idle time. */
struct CostAwareKeepAlive
{
  double coldStartWeight = 1.0;
};

using KeepAlivePolicy = std::variant<FixedKeepAlive, HistogramKeepAlive, CostAwareKeepAlive>;

/* Limits of a service's weight store. */
struct StoreLimits
{
  std::uint32_t concurrentLoads = 4;
  double loadsPerSecond = 4.0;
  std::uint32_t adaptersInTransit = 32;
};

/* Assigns a request class to the calls of a plain service. */
struct RouteSpec
{
  std::string method;     ///< HTTP method in capitals; empty means any.
  std::string pathPrefix; ///< Starts with a slash.
  ClassId requestClass;
};

struct ServiceSpec
{
  ServiceId id;
  ServiceKind kind = ServiceKind::kModels;
  OrderCheck orderCheck = OrderCheck::kChecked;
  std::uint32_t endpointConcurrency = 16; ///< Requests that one endpoint runs at a time.
  MemoryMb runnerMemory{ 80'000 };
  MemoryMb kvCacheReserve{ 16'000 }; ///< Memory of each runner that weights never use.
  StoreLimits store;
  KeepAlivePolicy keepAlive;
  std::vector<RouteSpec> routes; ///< Of a plain service; the first match counts.
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
  MemoryMb memory;
  Duration expectedLoad = 5s;
  std::uint32_t maxReplicas = 1;
  std::map<AdapterId, AdapterSpec> adapters;
};

struct ClassSpec
{
  ClassId id;
  std::uint32_t priority = 1; ///< 0 goes first.
  Duration deadline = 30s;
  Repeatability repeatability = Repeatability::kIdempotent;
};

struct CustomerSpec
{
  CustomerId id;
  std::vector<std::string> keyHashes; ///< SHA-256 of each API key, in lower-case hex.
  std::set<ModelId> models;           ///< Allowed models; empty with allModels means all.
  std::set<ServiceId> services;       ///< Allowed plain services.
  bool allModels = false;
  std::uint32_t weight = 1;
  std::uint32_t queueLimit = 256;
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

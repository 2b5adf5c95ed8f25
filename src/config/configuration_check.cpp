/* Checks the parts of a configuration against each other. */
#include "config/configuration_check.h"

#include "decision/configuration_func.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Class of requests that do not name a class. */
const ClassId kDefaultClass{ "default" };

void CheckModel(DocumentReader& aReader,
                const Configuration& aConfiguration,
                const ModelSpec& aModel)
{
  const std::string path = "models." + aModel.id.str();
  if (aModel.service.empty()) {
    return; // The reader has already reported the missing or invalid service.
  }
  const auto found = aConfiguration.services.find(aModel.service);
  if (found == aConfiguration.services.end()) {
    aReader.AddErrorAt(path + ".service",
                       "names the unknown service '" + aModel.service.str() + "'");
    return;
  }
  const ServiceSpec& service = found->second;
  if (service.kind != ServiceKind::kModels) {
    aReader.AddErrorAt(path + ".service", "names the plain service '" + service.id.str() + "'");
    return;
  }
  const MemoryMb requiredMemory = ReservedMemory(aModel);
  const MemoryMb availableMemory = service.runnerMemory - service.kvCacheReserve;
  if (service.kvCacheReserve < service.runnerMemory && requiredMemory > availableMemory) {
    aReader.AddErrorAt(path + ".memory_mb",
                       "needs " + std::to_string(requiredMemory.value) +
                         " MB with its adapters; a runner has " +
                         std::to_string(availableMemory.value) + " MB for weights");
  }
  Duration longestDeadline{};
  for (const auto& [id, requestClass] : aConfiguration.classes) {
    longestDeadline = std::max(longestDeadline, requestClass.deadline);
  }
  if (longestDeadline.count() > 0 && aModel.expectedLoad >= longestDeadline) {
    aReader.AddErrorAt(
      path + ".expected_load_ms",
      "is not shorter than any class's deadline, so no cold request can be answered");
  }
}

/* Returns whether the earlier route matches every request that the later one matches. */
bool IsShadowed(const RouteSpec& aEarlier, const RouteSpec& aLater)
{
  const bool coversMethod = aEarlier.method.empty() || aEarlier.method == aLater.method;
  return coversMethod && aLater.pathPrefix.starts_with(aEarlier.pathPrefix);
}

void CheckRoutes(DocumentReader& aReader,
                 const Configuration& aConfiguration,
                 const ServiceSpec& aService,
                 const std::string& aPath)
{
  for (std::size_t index = 0; index < aService.routes.size(); ++index) {
    const RouteSpec& route = aService.routes[index];
    const std::string path = aPath + ".routes[" + std::to_string(index) + "]";
    if (!route.requestClass.empty() && !aConfiguration.classes.contains(route.requestClass)) {
      aReader.AddErrorAt(path + ".class",
                         "names the unknown class '" + route.requestClass.str() + "'");
    }
    for (std::size_t earlier = 0; earlier < index; ++earlier) {
      if (!route.pathPrefix.empty() && !aService.routes[earlier].pathPrefix.empty() &&
          IsShadowed(aService.routes[earlier], route)) {
        aReader.AddErrorAt(path,
                           "is never reached: routes[" + std::to_string(earlier) + "] comes first");
        break;
      }
    }
  }
}

void CheckService(DocumentReader& aReader,
                  const Configuration& aConfiguration,
                  const ServiceSpec& aService)
{
  const std::string path = "services." + aService.id.str();
  if (aService.kind == ServiceKind::kPlain) {
    for (const char* key :
         { "orders", "runner_memory_mb", "kv_cache_reserve_mb", "store", "keep_alive" }) {
      if (aReader.HasPath(path + "." + key)) {
        aReader.AddErrorAt(path + "." + key, "is for services of the kind models");
      }
    }
    if (aService.routes.empty()) {
      aReader.AddErrorAt(path + ".routes", "a plain service needs at least one route");
    }
    CheckRoutes(aReader, aConfiguration, aService, path);
    return;
  }
  if (aReader.HasPath(path + ".routes")) {
    aReader.AddErrorAt(path + ".routes", "is for services of the kind plain");
  }
  if (aService.kvCacheReserve >= aService.runnerMemory) {
    aReader.AddErrorAt(path + ".kv_cache_reserve_mb", "leaves no memory for weights");
  }
}

/* Checks the models and services that a customer may call. */
void CheckGrants(DocumentReader& aReader,
                 const Configuration& aConfiguration,
                 const CustomerSpec& aCustomer,
                 const std::string& aPath)
{
  for (const ModelId& model : aCustomer.models) {
    if (!aConfiguration.models.contains(model)) {
      aReader.AddErrorAt(aPath + ".models", "names the unknown model '" + model.str() + "'");
    }
  }
  for (const ServiceId& service : aCustomer.services) {
    const auto found = aConfiguration.services.find(service);
    if (found == aConfiguration.services.end()) {
      aReader.AddErrorAt(aPath + ".services", "names the unknown service '" + service.str() + "'");
    } else if (found->second.kind != ServiceKind::kPlain) {
      aReader.AddErrorAt(aPath + ".services",
                         "'" + service.str() + "' serves models; list them under models");
    }
  }
  const bool hasGrants = aCustomer.allModels || aReader.HasPath(aPath + ".models[0]") ||
                         aReader.HasPath(aPath + ".services[0]");
  if (!hasGrants) {
    aReader.AddErrorAt(aPath, "may call nothing: neither models nor services are listed");
  }
}

void CheckCustomers(DocumentReader& aReader, const Configuration& aConfiguration)
{
  std::map<std::string, CustomerId> ownerByKeyHash;
  for (const auto& [id, customer] : aConfiguration.customers) {
    const std::string path = "customers." + id.str();
    CheckGrants(aReader, aConfiguration, customer, path);
    if (!aReader.HasPath(path + ".key_hashes[0]")) {
      aReader.AddErrorAt(path + ".key_hashes", "needs at least one key hash");
    }
    for (const std::string& hash : customer.keyHashes) {
      const auto [owner, isNew] = ownerByKeyHash.emplace(hash, id);
      if (!isNew) {
        aReader.AddErrorAt(path + ".key_hashes",
                           "shares a key with customer '" + owner->second.str() + "'");
      }
    }
  }
}

} // namespace

void CheckConfiguration(DocumentReader& aReader, const Configuration& aConfiguration)
{
  if (aConfiguration.classes.empty()) {
    aReader.AddErrorAt("classes", "at least one request class is needed");
  } else if (!aConfiguration.models.empty() && !aConfiguration.classes.contains(kDefaultClass)) {
    aReader.AddErrorAt("classes", "the class 'default' is needed for requests that name none");
  }
  for (const auto& [id, service] : aConfiguration.services) {
    CheckService(aReader, aConfiguration, service);
  }
  for (const auto& [id, model] : aConfiguration.models) {
    CheckModel(aReader, aConfiguration, model);
  }
  CheckCustomers(aReader, aConfiguration);
}

} // namespace rhubarbtrail

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
    aReader.FailAt(path + ".service", "names the unknown service '" + aModel.service.str() + "'");
    return;
  }
  const ServiceSpec& service = found->second;
  if (service.kind != ServiceKind::kModels) {
    aReader.FailAt(path + ".service", "names the plain service '" + service.id.str() + "'");
    return;
  }
  const MemoryMb needed = ReservedMemory(aModel);
  const MemoryMb available = service.runnerMemory - service.kvCacheReserve;
  if (service.kvCacheReserve < service.runnerMemory && needed > available) {
    aReader.FailAt(path + ".memory_mb",
                   "needs " + std::to_string(needed.value) +
                     " MB with its adapters; a runner has " + std::to_string(available.value) +
                     " MB for weights");
  }
  Duration longest{};
  for (const auto& [id, requestClass] : aConfiguration.classes) {
    longest = std::max(longest, requestClass.deadline);
  }
  if (longest.count() > 0 && aModel.expectedLoad >= longest) {
    aReader.FailAt(path + ".expected_load_ms",
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
      aReader.FailAt(path + ".class", "names the unknown class '" + route.requestClass.str() + "'");
    }
    for (std::size_t earlier = 0; earlier < index; ++earlier) {
      if (!route.pathPrefix.empty() && !aService.routes[earlier].pathPrefix.empty() &&
          IsShadowed(aService.routes[earlier], route)) {
        aReader.FailAt(path,
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
      if (aReader.Has(path + "." + key)) {
        aReader.FailAt(path + "." + key, "is for services of the kind models");
      }
    }
    if (aService.routes.empty()) {
      aReader.FailAt(path + ".routes", "a plain service needs at least one route");
    }
    CheckRoutes(aReader, aConfiguration, aService, path);
    return;
  }
  if (aReader.Has(path + ".routes")) {
    aReader.FailAt(path + ".routes", "is for services of the kind plain");
  }
  if (aService.kvCacheReserve >= aService.runnerMemory) {
    aReader.FailAt(path + ".kv_cache_reserve_mb", "leaves no memory for weights");
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
      aReader.FailAt(aPath + ".models", "names the unknown model '" + model.str() + "'");
    }
  }
  for (const ServiceId& service : aCustomer.services) {
    const auto found = aConfiguration.services.find(service);
    if (found == aConfiguration.services.end()) {
      aReader.FailAt(aPath + ".services", "names the unknown service '" + service.str() + "'");
    } else if (found->second.kind != ServiceKind::kPlain) {
      aReader.FailAt(aPath + ".services",
                     "'" + service.str() + "' serves models; list them under models");
    }
  }
  const bool mayCall =
    aCustomer.allModels || aReader.Has(aPath + ".models[0]") || aReader.Has(aPath + ".services[0]");
  if (!mayCall) {
    aReader.FailAt(aPath, "may call nothing: neither models nor services are listed");
  }
}

void CheckCustomers(DocumentReader& aReader, const Configuration& aConfiguration)
{
  std::map<std::string, CustomerId> owners;
  for (const auto& [id, customer] : aConfiguration.customers) {
    const std::string path = "customers." + id.str();
    CheckGrants(aReader, aConfiguration, customer, path);
    if (!aReader.Has(path + ".key_hashes[0]")) {
      aReader.FailAt(path + ".key_hashes", "needs at least one key hash");
    }
    for (const std::string& hash : customer.keyHashes) {
      const auto [owner, isNew] = owners.emplace(hash, id);
      if (!isNew) {
        aReader.FailAt(path + ".key_hashes",
                       "shares a key with customer '" + owner->second.str() + "'");
      }
    }
  }
}

} // namespace

void CheckConfiguration(DocumentReader& aReader, const Configuration& aConfiguration)
{
  if (aConfiguration.classes.empty()) {
    aReader.FailAt("classes", "at least one request class is needed");
  } else if (!aConfiguration.models.empty() && !aConfiguration.classes.contains(kDefaultClass)) {
    aReader.FailAt("classes", "the class 'default' is needed for requests that name none");
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

/* Lookups of routes, services and models in the configuration of a fleet. */
#include "decision/fleet/fleet_configuration_type.h"

#include "core/number_func.h"

namespace rhubarbtrail::fleet {

const Route* FleetConfiguration::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto routes = routesByHost.find(aHost);
  if (routes == routesByHost.end()) {
    return nullptr;
  }
  for (const Route& route : routes->second) {
    if (aPath.starts_with(route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

bool Model::HasAdapter(const AdapterId& aAdapter) const
{
  if (aAdapter.empty()) {
    return true;
  }
  const std::string_view name = aAdapter.str();
  if (!name.starts_with(adapterPrefix)) {
    return false;
  }
  const std::string_view digits = name.substr(adapterPrefix.size());
  const auto number = ParseNumber<std::uint32_t>(digits, 1, adapters);
  return number && !digits.starts_with('0');
}

bool Engine::Has(const ModelRef& aModel) const
{
  const Model* model = Find(aModel.model);
  return model != nullptr && model->HasAdapter(aModel.adapter);
}

const Model* Engine::Find(const ModelId& aModel) const
{
  const auto found = models.find(aModel);
  return found == models.end() ? nullptr : &found->second;
}

const Service* FleetConfiguration::Find(const ServiceId& aService) const
{
  const auto found = services.find(aService);
  return found == services.end() ? nullptr : &found->second;
}

std::size_t FleetConfiguration::routeCount() const
{
  std::size_t count = 0;
  for (const auto& [host, routes] : routesByHost) {
    count += routes.size();
  }
  return count;
}

} // namespace rhubarbtrail::fleet

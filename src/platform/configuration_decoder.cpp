/* Decodes the operators' configuration document, which is JSON. */
#include "platform/configuration_decoder.h"

#include "platform/json_reader.h"

#include <algorithm>

namespace rhubarbtrail::platform {

namespace {

fleet::RouteKind DecodeKind(const std::string& aWord)
{
  if (aWord == "idempotent") {
    return fleet::RouteKind::kIdempotent;
  }
  if (aWord == "streaming") {
    return fleet::RouteKind::kStream;
  }
  // Any other kind, also one that this version does not know, is treated as the strictest one.
  return fleet::RouteKind::kNonIdempotent;
}

fleet::Route DecodeRoute(const Json& aRoute)
{
  fleet::Route route;
  route.name = Text(aRoute, "name");
  route.host = Text(aRoute, "host");
  route.prefix = Text(aRoute, "prefix");
  route.kind = DecodeKind(Text(aRoute, "kind"));
  route.isResumable = route.kind == fleet::RouteKind::kStream && FlagOr(aRoute, "resumable", false);
  route.timeout = MillisecondsOf(NumberOr(aRoute, "timeoutMs", 0.0));
  route.latencyObjective = MillisecondsOf(NumberOr(aRoute, "targetLatencyMs", 0.0));
  route.eventGapObjective = MillisecondsOf(NumberOr(aRoute, "gapAimMs", 0.0));
  route.priority = static_cast<std::uint32_t>(WholeOr(aRoute, "priority", 0));
  route.maxAttempts =
    std::max<std::uint32_t>(1, static_cast<std::uint32_t>(WholeOr(aRoute, "maxAttempts", 1)));
  // A route names either one service or several services with weights.
  if (aRoute.contains("weightedBackends")) {
    for (const Json& share : List(aRoute, "weightedBackends")) {
      route.services.push_back({ .service = ServiceId{ Text(share, "backend") },
                                 .weight = static_cast<std::uint32_t>(Whole(share, "weight")) });
    }
  } else {
    route.services.push_back({ .service = ServiceId{ Text(aRoute, "backend") }, .weight = 1 });
  }
  return route;
}

fleet::Model DecodeModel(const Json& aModel)
{
  const double storeLoadS = NumberOr(aModel, "loadTimeS", 0.0);
  return {
    .id = ModelId{ Text(aModel, "name") },
    .weights = { static_cast<std::int64_t>(std::ceil(Number(aModel, "weightsMb"))) },
    .adapterWeights = { static_cast<std::int64_t>(std::ceil(NumberOr(aModel, "adapterMb", 0.0))) },
    .adapters = static_cast<std::uint32_t>(WholeOr(aModel, "adapters", 0)), // A count, not a list.
    .storeLoadTime = SecondsOf(storeLoadS),
    .memoryLoadTime = SecondsOf(NumberOr(aModel, "warmS", storeLoadS)),
    .diskLoadTime = SecondsOf(NumberOr(aModel, "diskS", storeLoadS)),
  };
}

fleet::Engine DecodeEngine(const Json& aEngine)
{
  fleet::Engine engine{
    .slots = static_cast<std::uint32_t>(WholeOr(aEngine, "slots", 1)),
    .cacheTokens = WholeOr(aEngine, "kvTokens", 0),
    .weights = { static_cast<std::int64_t>(NumberOr(aEngine, "weightsMb", 0.0)) },
    .adapterSlots = static_cast<std::uint32_t>(WholeOr(aEngine, "adapterSlots", 0)),
    .loadsPerSecond = NumberOr(aEngine, "loadsPerS", 0.0),
    .models = {},
  };
  for (const Json& item : List(aEngine, "models")) {
    fleet::Model model = DecodeModel(item);
    const ModelId id = model.id;
    engine.models.emplace(id, std::move(model));
  }
  return engine;
}

fleet::Service DecodeService(const Json& aService)
{
  fleet::Service service;
  service.id = ServiceId{ Text(aService, "name") };
  if (const auto engine = aService.find("engine");
      engine != aService.end() && engine->is_object() && engine->contains("models")) {
    service.engine = DecodeEngine(*engine);
  }
  return service;
}

fleet::ClientLimits DecodeLimits(const Json& aLimits)
{
  const fleet::ClientLimits standard;
  return {
    .headerBytes =
      static_cast<std::uint32_t>(WholeOr(aLimits, "maxHeaderBytes", standard.headerBytes)),
    .bodyBytes = WholeOr(aLimits, "maxBodyBytes", standard.bodyBytes),
    .headerTime = MillisecondsOf(
      NumberOr(aLimits, "headerTimeoutMs", static_cast<double>(standard.headerTime.count()) / 1e3)),
    .idleTime = MillisecondsOf(
      NumberOr(aLimits, "idleTimeoutMs", static_cast<double>(standard.idleTime.count()) / 1e3)),
  };
}

} // namespace

tl::expected<fleet::FleetConfiguration, std::string> DecodeConfiguration(
  const std::string& aDocument)
{
  try {
    const Json document = ParseJson(aDocument);
    fleet::FleetConfiguration configuration;
    configuration.version = { Whole(document, "version") };
    for (const Json& item : List(document, "services")) {
      fleet::Service service = DecodeService(item);
      const ServiceId id = service.id;
      configuration.services.emplace(id, std::move(service));
    }
    for (const Json& item : List(document, "routes")) {
      fleet::Route route = DecodeRoute(item);
      const std::string host = route.host;
      configuration.routesByHost[host].push_back(std::move(route));
    }
    for (auto& [host, routes] : configuration.routesByHost) {
      std::stable_sort(routes.begin(), routes.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.prefix.size() > aRight.prefix.size();
      });
    }
    if (document.contains("limits")) {
      configuration.limits = DecodeLimits(document["limits"]);
    }
    return configuration;
  } catch (const DecodeError& error) {
    return tl::make_unexpected(std::string{ error.what() });
  } catch (const Json::exception& error) {
    return tl::make_unexpected(std::string{ error.what() });
  }
}

} // namespace rhubarbtrail::platform

/* Decodes the operators' configuration document, which is JSON. */
#include "platform/configuration_decoder.h"

#include "core/digest_func.h"
#include "decision/fleet/client_account_index.h"
#include "platform/json_reader.h"
#include "platform/wire_names.h"

#include <algorithm>
#include <limits>

namespace rhubarbtrail::platform {

namespace {

fleet::RouteKind DecodeKind(const std::string& aText)
{
  if (aText == "idempotent") {
    return fleet::RouteKind::kIdempotent;
  }
  if (aText == "streaming") {
    return fleet::RouteKind::kStream;
  }
  // Any other kind, also one that this version does not know, is treated as the strictest one.
  return fleet::RouteKind::kNonIdempotent;
}

fleet::Route DecodeRoute(const Json& aRoute)
{
  fleet::Route route;
  route.name = StringMember(aRoute, "name");
  route.host = StringMember(aRoute, "host");
  route.prefix = StringMember(aRoute, "prefix");
  route.kind = DecodeKind(StringMember(aRoute, "kind"));
  route.isResumable =
    route.kind == fleet::RouteKind::kStream && BoolMemberOr(aRoute, "resumable", false);
  route.timeout = FromMilliseconds(NumberMemberOr(aRoute, "timeoutMs", 0.0));
  route.latencyObjective = FromMilliseconds(NumberMemberOr(aRoute, "targetLatencyMs", 0.0));
  route.eventGapObjective = FromMilliseconds(NumberMemberOr(aRoute, "gapAimMs", 0.0));
  route.priority = static_cast<std::uint32_t>(UnsignedMemberOr(aRoute, "priority", 0));
  route.isPublic = BoolMemberOr(aRoute, "public", false);
  route.maxAttempts = std::max<std::uint32_t>(
    1, static_cast<std::uint32_t>(UnsignedMemberOr(aRoute, "maxAttempts", 1)));
  // A route names either one service or several services with weights.
  if (aRoute.contains("weightedBackends")) {
    for (const Json& share : ArrayMember(aRoute, "weightedBackends")) {
      route.services.push_back(
        { .service = ServiceId{ StringMember(share, "backend") },
          .weight = static_cast<std::uint32_t>(UnsignedMember(share, "weight")) });
    }
  } else {
    route.services.push_back(
      { .service = ServiceId{ StringMember(aRoute, "backend") }, .weight = 1 });
  }
  return route;
}

fleet::Model DecodeModel(const Json& aModel)
{
  const double storeLoadSeconds = NumberMemberOr(aModel, "loadTimeS", 0.0);
  return {
    .id = ModelId{ StringMember(aModel, "name") },
    .weights = { static_cast<std::int64_t>(std::ceil(NumberMember(aModel, "weightsMb"))) },
    .adapterWeights = { static_cast<std::int64_t>(
      std::ceil(NumberMemberOr(aModel, "adapterMb", 0.0))) },
    .adapters =
      static_cast<std::uint32_t>(UnsignedMemberOr(aModel, "adapters", 0)), // A count, not a list.
    .adapterPrefix = std::string{ kAdapterPrefix },
    .storeLoadTime = FromSeconds(storeLoadSeconds),
    .memoryLoadTime = FromSeconds(NumberMemberOr(aModel, "warmS", storeLoadSeconds)),
    .diskLoadTime = FromSeconds(NumberMemberOr(aModel, "diskS", storeLoadSeconds)),
  };
}

fleet::Engine DecodeEngine(const Json& aEngine)
{
  fleet::Engine engine{
    .slots = static_cast<std::uint32_t>(UnsignedMemberOr(aEngine, "slots", 1)),
    .cacheTokens = UnsignedMemberOr(aEngine, "kvTokens", 0),
    .weights = { static_cast<std::int64_t>(NumberMemberOr(aEngine, "weightsMb", 0.0)) },
    .adapterSlots = static_cast<std::uint32_t>(UnsignedMemberOr(aEngine, "adapterSlots", 0)),
    .loadsPerSecond = NumberMemberOr(aEngine, "loadsPerS", 0.0),
    .models = {},
  };
  for (const Json& item : ArrayMember(aEngine, "models")) {
    fleet::Model model = DecodeModel(item);
    const ModelId id = model.id;
    engine.models.emplace(id, std::move(model));
  }
  return engine;
}

fleet::Service DecodeService(const Json& aService)
{
  fleet::Service service;
  service.id = ServiceId{ StringMember(aService, "name") };
  if (const auto engine = aService.find("engine");
      engine != aService.end() && engine->is_object() && engine->contains("models")) {
    service.engine = DecodeEngine(*engine);
  }
  return service;
}

/* Any other unit, and none, counts requests. */
fleet::QuotaUnit DecodeUnit(const Json& aAccount)
{
  const auto unit = aAccount.find("unit");
  return unit != aAccount.end() && *unit == "token_count" ? fleet::QuotaUnit::kTokens
                                                          : fleet::QuotaUnit::kRequests;
}

fleet::ListedAccount DecodeAccount(const Json& aAccount)
{
  constexpr std::uint64_t kMaxPriority = std::numeric_limits<std::uint32_t>::max();
  fleet::ListedAccount listed;
  listed.account.id = ClientAccountId{ StringMember(aAccount, "name") };
  if (aAccount.contains("priority")) {
    listed.account.priority =
      static_cast<std::uint32_t>(std::min(UnsignedMember(aAccount, "priority"), kMaxPriority));
  }
  listed.account.quota = { .unit = DecodeUnit(aAccount),
                           .perSecond = NumberMemberOr(aAccount, "ratePerS", 0.0),
                           .burst = NumberMemberOr(aAccount, "burst", 0.0),
                           .plainTokens = NumberMemberOr(aAccount, "plainTokens", 0.0) };
  for (const Json& key : ArrayMember(aAccount, "apiKeys")) {
    if (!key.is_string() || key.get_ref<const std::string&>().empty()) {
      throw DecodeError("account " + listed.account.id.str() +
                        " has a key that is empty or not a string");
    }
    listed.keys.push_back(Sha256Hex(key.get_ref<const std::string&>()));
  }
  return listed;
}

std::shared_ptr<const fleet::ClientAccounts> DecodeAccounts(const Json& aDocument)
{
  std::vector<fleet::ListedAccount> listed;
  for (const Json& item : ArrayMember(aDocument, "tenants")) {
    listed.push_back(DecodeAccount(item));
  }
  auto accounts = fleet::IndexAccounts(std::move(listed));
  if (!accounts) {
    throw DecodeError(accounts.error());
  }
  return std::make_shared<const fleet::ClientAccounts>(std::move(*accounts));
}

fleet::ClientLimits DecodeLimits(const Json& aLimits)
{
  const fleet::ClientLimits defaults;
  return {
    .headerBytes =
      static_cast<std::uint32_t>(UnsignedMemberOr(aLimits, "maxHeaderBytes", defaults.headerBytes)),
    .bodyBytes = UnsignedMemberOr(aLimits, "maxBodyBytes", defaults.bodyBytes),
    .headerTimeout = FromMilliseconds(NumberMemberOr(
      aLimits, "headerTimeoutMs", static_cast<double>(defaults.headerTimeout.count()) / 1e3)),
    .idleTimeout = FromMilliseconds(NumberMemberOr(
      aLimits, "idleTimeoutMs", static_cast<double>(defaults.idleTimeout.count()) / 1e3)),
  };
}

} // namespace

tl::expected<fleet::FleetConfiguration, std::string> DecodeConfiguration(
  const std::string& aDocument)
{
  try {
    const Json document = ParseJson(aDocument);
    fleet::FleetConfiguration configuration;
    configuration.version = { UnsignedMember(document, "version") };
    for (const Json& item : ArrayMember(document, "services")) {
      fleet::Service service = DecodeService(item);
      const ServiceId id = service.id;
      configuration.services.emplace(id, std::move(service));
    }
    for (const Json& item : ArrayMember(document, "routes")) {
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
    if (document.contains("tenants")) {
      configuration.accounts = DecodeAccounts(document);
    }
    return configuration;
  } catch (const DecodeError& error) {
    return tl::make_unexpected(std::string{ error.what() });
  } catch (const Json::exception& error) {
    return tl::make_unexpected(std::string{ error.what() });
  }
}

} // namespace rhubarbtrail::platform

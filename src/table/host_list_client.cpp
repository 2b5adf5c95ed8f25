/* Reads the platform's host list over HTTP and JSON. */
#include "table/host_list_client.h"

#include "core/httplib_client_func.h"

#include <nlohmann/json.hpp>

namespace rhubarbtrail {

std::optional<HostListReceived> ReadHostList(const HostListClientOptions& aOptions)
{
  const HttplibAnswer answer = SendHttplibCall(
    { .address = aOptions.address, .path = "/hosts", .body = {}, .timeout = aOptions.timeout });
  if (answer.outcome != HttplibOutcome::kAnswered || answer.status != 200) {
    return std::nullopt;
  }
  try {
    HostListReceived list;
    const auto body = nlohmann::json::parse(answer.body);
    for (const auto& item : body.at("hosts")) {
      const bool isDaemon = item.at("kind") == "daemon";
      const bool isLeaving = item.value("state", "live") == "leaving";
      list.hosts.push_back({ .kind = isDaemon ? HostKind::kDaemon : HostKind::kEndpoint,
                             .id = item.at("id"),
                             .bootId = item.value("boot", ""),
                             .service = ServiceId{ item.value("service", "") },
                             .zone = ZoneId{ item.value("zone", "") },
                             .address = item.at("address"),
                             .state = isLeaving ? HostState::kLeaving : HostState::kLive });
    }
    return list;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace rhubarbtrail

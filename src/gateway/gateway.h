/* Takes clients' requests to endpoints and their answers back. */
#ifndef RHUBARBTRAIL_GATEWAY_GATEWAY_H
#define RHUBARBTRAIL_GATEWAY_GATEWAY_H

#include "core/event_log.h"
#include "core/metrics.h"
#include "decision/fleet/crash_guard.h"
#include "decision/fleet/fleet_configuration_type.h"
#include "decision/fleet/retry_share.h"
#include "decision/fleet/runner_registry.h"
#include "gateway/placement_client.h"
#include "http/http_client.h"
#include "http/http_server.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>

namespace rhubarbtrail {

class RequestFlow;

/* What all requests of a daemon share. Used by one thread. */
struct GatewayContext
{
  boost::asio::io_context& loop;
  http::Client& client;
  EventLog& log;
  Metrics& metrics;
  fleet::RunnerRegistry& runners;
  PlacementClient& placement;
  DaemonId self;
  ZoneId zone;
  /* Tells the other daemons that a runner's process ended while it ran a request. */
  std::function<void(const FingerprintId&)> onSuspect;
  /* Tells the other daemons that a suspect was answered. */
  std::function<void(const FingerprintId&)> onCleared;

  std::shared_ptr<const fleet::FleetConfiguration> configuration; ///< Null until one is known.
  fleet::RetryShare retries;
  fleet::CrashGuard crashes;
  std::uint64_t nextAsk = 1;
  std::set<RequestFlow*> openRequests;
  bool isLeaving = false; ///< The daemon stops soon and takes no more requests.
};

/* Ends the requests that wait for a place, so that their clients come back elsewhere in time. */
void EndWaitingRequests(GatewayContext& aContext);

/* Serves one request from a client; ends by itself. */
void ServeRequest(GatewayContext& aContext,
                  http::Request aRequest,
                  std::shared_ptr<http::Responder> aResponder);

} // namespace rhubarbtrail

#endif

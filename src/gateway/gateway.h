/* Forwards clients' requests to endpoints, and the answers to the clients. */
#ifndef RHUBARBTRAIL_GATEWAY_GATEWAY_H
#define RHUBARBTRAIL_GATEWAY_GATEWAY_H

#include "core/byte_account.h"
#include "core/event_log.h"
#include "core/metrics.h"
#include "decision/fleet/client_account_index.h"
#include "decision/fleet/crash_guard.h"
#include "decision/fleet/descriptor_budget.h"
#include "decision/fleet/fleet_configuration_type.h"
#include "decision/fleet/prompt_part_guard.h"
#include "decision/fleet/reader_budget.h"
#include "decision/fleet/request_intake.h"
#include "decision/fleet/retry_share.h"
#include "decision/fleet/runner_registry.h"
#include "gateway/placement_client.h"
#include "gateway/quota_client.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "platform/request_headers.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <unordered_map>

namespace rhubarbtrail {

class RequestFlow;

/* Where an answer came from. */
struct AnswerSource
{
  EndpointId endpoint;
  std::int64_t startedAtMs = 0; ///< Unix time of the start of the endpoint's process.
  /* When the client's request was sent that this answers in full. Not set for interim answers,
   * answers to other requests, and the endpoint's answers to orders and calls for reports. */
  std::optional<TimePoint> requestSentAt;
};

/* Results of the check of requests' keys, since the start. */
struct KeyCheckCounts
{
  /* By account, of those in the configuration. */
  std::unordered_map<ClientAccountId, std::uint64_t> accepted;
  std::uint64_t anonymous = 0; ///< Requests without a known key on public routes.
  std::uint64_t missing = 0;
  std::uint64_t unreadable = 0;
  std::uint64_t unknown = 0;
  std::uint64_t unconfirmed = 0; ///< Requests refused because the configuration is unconfirmed.
  std::uint64_t former = 0;      ///< Requests accepted under the former configuration only.

  void CountRefusal(fleet::KeyRefusal aRefusal);
};

/* State that all requests of a daemon share. Only one thread uses it. */
struct GatewayContext
{
  boost::asio::io_context& loop;
  http::Client& client;
  EventLog& log;
  Metrics& metrics;
  fleet::RunnerRegistry& runners;
  const fleet::StreamOrigins& streamOrigins;
  const fleet::RecordedVersions& recordedVersions;
  PlacementClient& placement;
  SocketCount& sockets; ///< All that the daemon has open.
  ByteAccount& bytes;   ///< What the daemon buffers for clients and endpoints.
  DaemonId self;
  ZoneId zone;
  /* Takes that a runner's process ended while it ran a request. The suspect has no parts if the
   * request had events of that process. */
  std::function<void(const fleet::EndpointProcess&, const fleet::CrashSuspect&)> onCrash;
  /* Takes that a connection broke under a request at an endpoint that must not be called to find
   * out why. It was a crash if another process of the endpoint follows soon. */
  std::function<void(const fleet::EndpointProcess&, const fleet::CrashSuspect&)> onPossibleCrash;
  /* Takes that a request with these parts was answered by an endpoint of a version. */
  std::function<
    void(const ClientAccountId&, std::span<const fleet::PromptPartId>, const SoftwareVersion&)>
    onSoundAnswer;
  /* Returns whether a request with these quarantined parts may be sent as their trial, if the
   * dispatcher permits it. */
  std::function<bool(std::span<const fleet::PromptPartId>)> isTrialOffered;
  /* Returns whether this daemon may send a quarantined request as a trial: only the dispatcher, or
   * each daemon while there is none. */
  std::function<bool()> mayTryQuarantined;
  /* Notifies the other daemons that a request suspected of crashing runners was answered, and
   * whether it was quarantined. */
  std::function<void(const FingerprintId&, bool)> onCleared;
  /* Takes what an endpoint states in the head of an answer. */
  std::function<void(const AnswerSource&, const platform::EndpointAnswer&)> onEndpointAnswer;
  /* Records a stream before its first event is sent to the client. */
  std::function<void(const fleet::BegunStream&)> onStreamBegun;
  /* Returns whether this process has not run for some time, so that permissions may have expired.
   */
  std::function<bool()> wasDelayed;
  /* Returns whether no change of the runners is missing here, as far as can be known. */
  std::function<bool()> areRunnersCurrent;
  /* Returns whether this daemon is the dispatcher or gets its heartbeats. */
  std::function<bool()> hasDispatcher;
  /* Returns whether requests may be admitted by the keys of the configuration. */
  std::function<bool()> mayUseKeys;
  /* Called when a request pauses the reading of its answer, if there is a reader budget. */
  std::function<void()> onReadingPaused;

  std::shared_ptr<const fleet::FleetConfiguration> configuration; ///< Null until the first is read.
  /* The one before it, for requests that arrived before the present one was applied. */
  std::shared_ptr<const fleet::FleetConfiguration> formerConfiguration;
  TimePoint configurationAppliedAt{};
  KeyCheckCounts keyChecks;
  QuotaClient quotas;
  fleet::ReaderBudget readerBudget;
  fleet::DescriptorBudget descriptors;
  fleet::RequestIntake intake; ///< The requests of clients that are arriving.
  fleet::FleetSize fleetSize;
  fleet::RetryShare retries{ fleetSize };
  fleet::CrashGuard crashes;
  fleet::PromptPartGuard promptParts;
  /* Fields of requests that were ignored, by route, so that each is logged once. */
  std::set<std::pair<std::string, std::string_view>> loggedFields;
  std::uint64_t nextPlacementNumber = 1;
  std::set<RequestFlow*> openRequests;
  bool isLeaving = false; ///< The daemon is about to stop and refuses new requests.
};

/* Ends all requests that are not in flight at an endpoint when the daemon stops, so that their
 * clients can send them to another daemon before the deadline. */
void EndWaitingRequests(GatewayContext& aContext);

/* Ends all requests with quarantined parts, except those that have events of their attempt. */
void EndQuarantinedRequests(GatewayContext& aContext);

/* Serves one request of a client. The request keeps itself alive until it has ended. */
void ServeRequest(GatewayContext& aContext,
                  http::Request aRequest,
                  std::shared_ptr<http::Responder> aResponder);

} // namespace rhubarbtrail

#endif

/* Refuses placement requests that cannot be served in time, and says when to come back. */
#include "decision/fleet/dispatch_estimate.h"
#include "decision/fleet/dispatcher.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* Time between two forecasts for one request. A forecast looks at all replicas of its model. */
constexpr Duration kForecastInterval = 100ms;
/* Time between the retries of two clients that were refused because their model has no replica. A
 * runner processes a prompt of average length in about this time. */
constexpr Duration kRetryInterval = 50ms;

} // namespace

/* Requests for other models of the same runners are ahead, too, as far as these runners serve them.
 * Only requests of the same round are counted, so a forecast between full rounds may be too short,
 * but not too long. */
std::optional<SlotForecast> Dispatcher::ForecastFor(TimePoint aNow,
                                                    const WaitingRequest& aWaiting) const
{
  const PlacementRequest& request = aWaiting.request;
  const ModelId& model = request.work.target.model;
  std::vector<FullRunner> runners;
  std::map<ModelId, double> sharedRunners; // Of the other models.
  for (const ManagedRunner* runner : RunnersWithModel(model)) {
    if (runner->entry.service != request.service || !IsUsable(*runner) ||
        runner->models.at(model).isLeaving) {
      continue;
    }
    if (!IsFull(*runner, request) || runner->limitedTraffic ||
        PauseEnd(aNow, aWaiting, runner->entry.id)) {
      return std::nullopt;
    }
    runners.push_back({ .slots = runner->entry.slots,
                        .inFlight = runner->inFlight,
                        .holdTime = runner->holdTime.Average() });
    for (const auto& [other, held] : runner->models) {
      if (other != model && !held.isLeaving) {
        sharedRunners[other] += 1.0;
      }
    }
  }
  const std::size_t ownAhead = mWaitingCounts.Tried(model, request.priority, request.account);
  auto ahead =
    static_cast<double>(mWaitingCounts.Ahead(model, request.priority, request.account, ownAhead));
  for (const auto& [other, shared] : sharedRunners) {
    const auto otherAhead =
      static_cast<double>(mWaitingCounts.Ahead(other, request.priority, request.account, ownAhead));
    const std::uint32_t replicas = CountReplicas(request.service, other);
    ahead += otherAhead * shared / std::max<double>(replicas, shared);
  }
  return ForecastSlot(runners, ahead);
}

/* Load pattern: demand for loaded models above what their runners can serve. A request that gets no
 * slot in time is refused on arrival instead of at its deadline, so that its caller can act. */
bool Dispatcher::RefuseWithoutSlot(TimePoint aNow, WaitingRequest& aWaiting)
{
  if (!mAssignmentOrder.IsEnabled() || !mOverloadDecisions.refusesWithoutSlot ||
      (aWaiting.nextForecastAt && aNow < *aWaiting.nextForecastAt)) {
    return false;
  }
  const bool wasAdmitted = aWaiting.nextForecastAt.has_value();
  aWaiting.nextForecastAt = aNow + kForecastInterval;
  const auto forecast = ForecastFor(aNow, aWaiting);
  const PlacementRequest& request = aWaiting.request;
  const ModelId& model = request.work.target.model;
  const Duration timeLeft = aWaiting.deadline - aNow;
  if (!forecast || !IsTooLongToWait(*forecast, timeLeft, wasAdmitted)) {
    return false;
  }
  const auto replica = TimeUntilReplica(aNow, request.service, model);
  if (replica && *replica + kMinServiceTime <= timeLeft) {
    return false; // Another replica may have room in time.
  }
  ++mRefusedWithoutSlot;
  Refuse(aNow,
         aWaiting,
         ResultCode::kReplicaUnavailable,
         mOverloadDecisions.spreadsRetries
           ? mRetryPacing.Next(aNow, model, forecast->wait, forecast->interval)
           : forecast->wait,
         "no_slot_in_time");
  return true;
}

/* Load pattern: more models requested than can be swapped in, or some without a copy on any
 * runner's disk. A request that cannot be served in time is refused as soon as this is known, so
 * that its caller can act, and with the time at which a replica is expected. */
bool Dispatcher::RefuseWithoutReplica(TimePoint aNow,
                                      const WaitingRequest& aWaiting,
                                      const Model& aModel)
{
  const PlacementRequest& request = aWaiting.request;
  const bool mayOrderLater = mOrderPermission.allowedFrom && *mOrderPermission.allowedFrom > aNow;
  if ((!mOrderPermission.mayOrder && !mayOrderLater) ||
      CountReplicas(request.service, aModel.id) > 0) {
    return false;
  }
  const auto refuse = [&](Duration aRetryAfter, std::string_view aWhy) {
    mRefusedModels[{ request.service, aModel.id }] = aNow;
    const Duration retryAfter = mAssignmentOrder.IsEnabled() && mOverloadDecisions.spreadsRetries
                                  ? mRetryPacing.Next(aNow, aModel.id, aRetryAfter, kRetryInterval)
                                  : aRetryAfter;
    Refuse(aNow, aWaiting, ResultCode::kReplicaUnavailable, retryAfter, aWhy);
    return true;
  };
  if (const auto ready = TimeUntilReplica(aNow, request.service, aModel.id)) {
    return aNow + *ready + kMinServiceTime > aWaiting.deadline &&
           refuse(*ready, "replica_too_late");
  }
  const Duration fastest = HadLocalCopy(aNow, request.service, aModel.id)
                             ? std::min(aModel.diskLoadTime, aModel.storeLoadTime)
                             : aModel.storeLoadTime;
  if (mayOrderLater) {
    const Duration ready = *mOrderPermission.allowedFrom - aNow + fastest;
    return aNow + ready + kMinServiceTime > aWaiting.deadline && refuse(ready, "no_orders_in_time");
  }
  if (aNow + fastest + kMinServiceTime > aWaiting.deadline) {
    return refuse(fastest, "no_copy_in_time");
  }
  const Duration maxWait = std::max(request.latencyObjective * 3 / 2, kMinWaitForModel);
  return aNow - aWaiting.receivedAt > maxWait && refuse(kRetryAfterRefusal, "no_replica_in_time");
}

void Dispatcher::Refuse(TimePoint aNow,
                        const WaitingRequest& aWaiting,
                        ResultCode aCode,
                        Duration aRetryAfter,
                        std::string_view aWhy)
{
  LogDecision({ .event = "place_refused",
                .request = aWaiting.request.requestId,
                .runner = {},
                .model = aWaiting.request.work.target,
                .why = aWhy,
                .account = aWaiting.request.account,
                .accountUse = mAssignmentOrder.RelativeUse(aNow, aWaiting.request.account),
                .time = aNow - aWaiting.receivedAt,
                .count = mWaitingRequests.size() });
  mActions.emplace_back(
    PlacementReply{ .id = aWaiting.request.id,
                    .answer = PlacementRefused{ .code = aCode, .retryAfter = aRetryAfter } });
}

} // namespace rhubarbtrail::fleet

/* Decides where streams are resumed: only at runners of the version that began them. */
#include "decision/fleet/dispatch_estimate.h"
#include "decision/fleet/dispatcher.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* How long a request waits for the origin of its stream. The daemon that served the stream states
 * it with the first event, but its message may be slower than the client. */
constexpr Duration kOriginWait = 250ms;
/* Time within which the other daemons send the origins that they know to a new dispatcher. */
constexpr Duration kOriginsArrivalTime = 1'500ms;

} // namespace

bool Dispatcher::ResolveOrigin(TimePoint aNow, WaitingRequest& aWaiting) const
{
  PlacementRequest& request = aWaiting.request;
  if (request.resumedStream && !request.origin) {
    request.origin = mStreamOrigins->Find(aNow, *request.resumedStream);
  }
  return !request.resumedStream || request.origin;
}

bool Dispatcher::RefuseUnknownOrigin(TimePoint aNow, const WaitingRequest& aWaiting)
{
  const TimePoint end = std::max(aWaiting.receivedAt + kOriginWait,
                                 mActiveSince.value_or(TimePoint{}) + kOriginsArrivalTime);
  if (aNow < end) {
    ScheduleTick(end);
    return false;
  }
  Refuse(aNow, aWaiting, ResultCode::kStreamOriginUnknown, Duration::zero(), "origin_unknown");
  return true;
}

bool Dispatcher::HasVersion(const ManagedRunner& aRunner, const SoftwareVersion& aVersion)
{
  return aVersion.empty() || aRunner.entry.softwareVersion == aVersion;
}

bool Dispatcher::MayBeginAt(const PlacementRequest& aRequest, const ManagedRunner& aRunner) const
{
  const bool beginsResumableStream = aRequest.isResumable && !aRequest.origin;
  return !beginsResumableStream ||
         mRecordedVersions->Has(aRequest.service, aRunner.entry.softwareVersion);
}

SoftwareVersion Dispatcher::RequiredVersion(const PlacementRequest& aRequest) const
{
  if (!aRequest.origin) {
    return {};
  }
  bool hasUsable = false;
  for (const auto& [id, runner] : mRunners) {
    if (runner.entry.service != aRequest.service || !IsUsable(runner)) {
      continue;
    }
    hasUsable = true;
    if (runner.entry.softwareVersion != aRequest.origin->version) {
      return aRequest.origin->version;
    }
  }
  return hasUsable ? SoftwareVersion{} : aRequest.origin->version;
}

std::optional<TimePoint> Dispatcher::ReplicaReadyAt(TimePoint aNow,
                                                    const MissingModel& aModel) const
{
  std::optional<TimePoint> first;
  for (const auto& [id, runner] : mRunners) {
    if (runner.entry.service != aModel.service || !IsUsable(runner) ||
        !HasVersion(runner, aModel.version)) {
      continue;
    }
    const Swap* swap = PlannedSwap(id);
    const bool isLoading = runner.order && runner.order->order.kind == OrderKind::kLoad &&
                           runner.order->order.subject.model == aModel.model &&
                           !runner.order->isPresumedDone;
    std::optional<TimePoint> readyAt;
    if (swap != nullptr && swap->model == aModel.model) {
      readyAt = SwapDoneAt(aNow, *swap);
    } else if (isLoading) {
      readyAt = std::max(runner.order->expectedDoneAt, aNow);
    }
    if (readyAt && (!first || *readyAt < *first)) {
      first = readyAt;
    }
  }
  return first;
}

bool Dispatcher::HasIncomingReplica(TimePoint aNow, const MissingModel& aModel) const
{
  return aModel.version.empty() ? IncomingReplicas(aModel.service, aModel.model) > 0
                                : ReplicaReadyAt(aNow, aModel).has_value();
}

/* Load pattern: a release replaces runners one after the other while streams run, and runners or
 * daemons fail beside it. A stream whose version has no runner left is refused at once; otherwise
 * its model is loaded at a runner of the version if there is time. */
bool Dispatcher::RefuseResumed(TimePoint aNow, const WaitingRequest& aWaiting)
{
  const PlacementRequest& request = aWaiting.request;
  const MissingModel missing{ .service = request.service,
                              .model = request.work.target.model,
                              .version = request.origin->version };
  const auto refuse = [&](ResultCode aCode, Duration aRetryAfter, std::string_view aWhy) {
    Refuse(aNow, aWaiting, aCode, aRetryAfter, aWhy);
    return true;
  };
  const bool hasRunner = request.origin->service == request.service &&
                         std::any_of(mRunners.begin(), mRunners.end(), [&](const auto& aItem) {
                           const ManagedRunner& runner = aItem.second;
                           return runner.entry.service == missing.service && IsUsable(runner) &&
                                  HasVersion(runner, missing.version);
                         });
  if (!hasRunner) {
    return refuse(ResultCode::kStreamVersionGone, Duration::zero(), "version_gone");
  }
  if (CountReplicas(missing.service, missing.model, missing.version) > 0) {
    return false; // It waits for a place at a runner that holds the model.
  }
  const bool mayOrderLater = mOrderPermission.allowedFrom && *mOrderPermission.allowedFrom > aNow;
  if (!mOrderPermission.mayOrder && !mayOrderLater) {
    return refuse(ResultCode::kReplicaUnavailable, kRetryAfterRefusal, "no_orders_possible");
  }
  if (const auto readyAt = ReplicaReadyAt(aNow, missing)) {
    return *readyAt + kMinServiceTime > aWaiting.deadline &&
           refuse(ResultCode::kReplicaUnavailable, *readyAt - aNow, "replica_too_late");
  }
  const Duration maxWait = std::max(request.latencyObjective * 3 / 2, kMinWaitForModel);
  return aNow - aWaiting.receivedAt > maxWait &&
         refuse(ResultCode::kReplicaUnavailable, kRetryAfterRefusal, "no_replica_in_time");
}

} // namespace rhubarbtrail::fleet

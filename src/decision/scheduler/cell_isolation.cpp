/* Reserves one runner of the cell for a request that is suspected of crashing runners. */
#include "decision/scheduler/cell_base.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Maximum number of suspects that wait for a runner. Further ones are refused at once. */
constexpr std::size_t kIsolationQueueLimit = 64;
/* Time after which a waiting suspect is dropped unless its router repeats the request. */
constexpr Duration kIsolationRequestLifetime = 3s;
/* Maximum time for which a runner is granted to one suspect. */
constexpr Duration kIsolationGrantLimit = 60s;
/* Interval at which a drain message is repeated to a router that has not answered it. */
constexpr Duration kIsolationDrainRepeatInterval = 1s;

} // namespace

bool Cell::IsIsolated(const EndpointId& aRunner) const
{
  return mIsolation && mIsolation->runner == aRunner;
}

void Cell::SendIsolationGrant(Context& aContext,
                              const View& aView,
                              const IsolationRequest& aIsolationRequest,
                              IsolationStatus aStatus) const
{
  IsolationGrantMessage grant{ .cell = mId,
                               .request = aIsolationRequest.request,
                               .ask = aIsolationRequest.number,
                               .status = aStatus };
  if (aStatus == IsolationStatus::kGranted) {
    grant.runner = mIsolation->runner;
    grant.validFor = mIsolation->until - aContext.now();
  } else if (aStatus == IsolationStatus::kNotHolder && mHolder != aContext.self()) {
    grant.holder = mHolder.daemon;
  }
  if (aIsolationRequest.owner.daemon == aContext.self().daemon) {
    aContext.Emit(SendMessage{ aIsolationRequest.owner.daemon, {}, std::move(grant) });
  } else {
    aView.SendTo(aContext, aIsolationRequest.owner.daemon, std::move(grant));
  }
}

void Cell::OnIsolationRequest(Context& aContext,
                              const View& aView,
                              const Incarnation& aFrom,
                              const IsolationRequestMessage& aRequest)
{
  const IsolationRequest isolationRequest{ .request = aRequest.request,
                                           .owner = aFrom,
                                           .artifact = aRequest.artifact,
                                           .number = aRequest.ask,
                                           .deadline = aContext.now() + aRequest.timeLeft,
                                           .expiresAt =
                                             aContext.now() + kIsolationRequestLifetime };
  if (mPhase != LeasePhase::kHeld) {
    SendIsolationGrant(aContext, aView, isolationRequest, IsolationStatus::kNotHolder);
    return;
  }
  const auto isSameRequest = [&](const IsolationRequest& aIsolationRequest) {
    return aIsolationRequest.request == isolationRequest.request;
  };
  const auto queued =
    std::find_if(mQueuedIsolations.begin(), mQueuedIsolations.end(), isSameRequest);
  if (mIsolation && isSameRequest(mIsolation->isolationRequest)) {
    mIsolation->isolationRequest = isolationRequest;
  } else if (queued != mQueuedIsolations.end()) {
    *queued = isolationRequest;
  } else if (mQueuedIsolations.size() >= kIsolationQueueLimit) {
    SendIsolationGrant(aContext, aView, isolationRequest, IsolationStatus::kRefused);
    return;
  } else {
    mQueuedIsolations.push_back(isolationRequest);
  }
  if (!IsArtifactLoaded(isolationRequest.artifact)) {
    PendingDemand& demand = mDemands[isolationRequest.artifact];
    demand.waitingRouters.insert(aFrom.daemon);
    demand.deadline = isolationRequest.deadline;
    demand.expiresAt = isolationRequest.expiresAt;
  }
  ServeIsolation(aContext, aView);
  const bool isGranted =
    mIsolation && isSameRequest(mIsolation->isolationRequest) && mIsolation->isGranted;
  SendIsolationGrant(aContext,
                     aView,
                     isolationRequest,
                     isGranted ? IsolationStatus::kGranted : IsolationStatus::kWaiting);
}

void Cell::OnIsolationRelease(Context& aContext,
                              const View& aView,
                              const IsolationReleaseMessage& aRelease)
{
  std::erase_if(mQueuedIsolations, [&](const IsolationRequest& aIsolationRequest) {
    return aIsolationRequest.request == aRelease.request;
  });
  if (mIsolation && mIsolation->isolationRequest.request == aRelease.request) {
    mIsolation.reset();
    ServeIsolation(aContext, aView);
  }
}

void Cell::ExpireIsolation(const Context& aContext, const View& aView)
{
  const auto isOwnerDead = [&](const IsolationRequest& aIsolationRequest) {
    return aIsolationRequest.owner != aContext.self() &&
           aView.IsProvenDead(aContext, aIsolationRequest.owner);
  };
  std::erase_if(mQueuedIsolations, [&](const IsolationRequest& aIsolationRequest) {
    return isOwnerDead(aIsolationRequest) || aIsolationRequest.expiresAt <= aContext.now();
  });
  if (!mIsolation) {
    return;
  }
  const TimePoint until =
    mIsolation->isGranted ? mIsolation->until : mIsolation->isolationRequest.expiresAt;
  if (isOwnerDead(mIsolation->isolationRequest) || until <= aContext.now() ||
      !mRunners.contains(mIsolation->runner)) {
    mIsolation.reset();
  }
}

void Cell::StartIsolation(const Context& aContext, const View& aView)
{
  for (auto isolationRequest = mQueuedIsolations.begin();
       isolationRequest != mQueuedIsolations.end();
       ++isolationRequest) {
    for (const auto& [id, runner] : mRunners) {
      const auto found = runner.replicas.find(isolationRequest->artifact.model);
      if (found == runner.replicas.end() || !aView.IsUsable(id, aContext.now())) {
        continue;
      }
      const std::set<AdapterId>& adapters = found->second.adapters;
      const bool hasAdapter = isolationRequest->artifact.adapter.empty() ||
                              adapters.contains(isolationRequest->artifact.adapter);
      // A former holder may have sent the location of a replica to routers that are unknown here.
      // They may use it until unloadableFrom.
      const bool areAllRoutersKnown =
        std::all_of(runner.replicas.begin(), runner.replicas.end(), [&](const auto& aItem) {
          return aItem.second.unloadableFrom <= aContext.now();
        });
      if (found->second.phase == ReplicaPhase::kLoaded && hasAdapter && areAllRoutersKnown) {
        mIsolation = Isolation{ .isolationRequest = *isolationRequest, .runner = id };
        mQueuedIsolations.erase(isolationRequest);
        return;
      }
    }
  }
}

void Cell::DrainIsolatedRunner(Context& aContext, const View& aView)
{
  const bool isDrainDue = mIsolation->nextDrainAt <= aContext.now();
  bool isDrained = true;
  for (auto& [model, replica] : mRunners.at(mIsolation->runner).replicas) {
    replica.lastUsed = aContext.now(); // Prevents an eviction for another model.
    std::erase_if(replica.permittedRouters, [&](const auto& aRouterPermission) {
      return aRouterPermission.second <= aContext.now();
    });
    isDrained = isDrained && replica.permittedRouters.empty();
    for (const auto& [router, until] : replica.permittedRouters) {
      const DrainMessage drain{ mId, mIsolation->runner, model, mFence };
      if (isDrainDue && router == aContext.self().daemon) {
        aContext.Emit(SendMessage{ router, {}, drain });
      } else if (isDrainDue) {
        aView.SendTo(aContext, router, drain);
      }
    }
  }
  if (isDrainDue) {
    mIsolation->nextDrainAt = aContext.now() + kIsolationDrainRepeatInterval;
  }
  aContext.WakeBy(mIsolation->nextDrainAt);
  if (isDrained && !mIsolation->isGranted) {
    mIsolation->isGranted = true;
    mIsolation->until =
      std::min(mIsolation->isolationRequest.deadline, aContext.now() + kIsolationGrantLimit);
    SendIsolationGrant(aContext, aView, mIsolation->isolationRequest, IsolationStatus::kGranted);
  }
}

void Cell::ServeIsolation(Context& aContext, const View& aView)
{
  ExpireIsolation(aContext, aView);
  if (!mIsolation) {
    StartIsolation(aContext, aView);
  }
  if (mIsolation) {
    DrainIsolatedRunner(aContext, aView);
  }
}

} // namespace rhubarbtrail

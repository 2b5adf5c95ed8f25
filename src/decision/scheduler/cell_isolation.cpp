/* Reserves one runner of the cell for a request that is suspected of crashing runners. */
#include "decision/scheduler/cell_base.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Maximum number of suspects that wait for a runner. Further ones are refused at once. */
constexpr std::size_t kIsolationWaitLimit = 64;
/* Time after which a waiting suspect is dropped unless its router repeats the request. */
constexpr Duration kIsolationWaitLifetime = 3s;
/* Maximum time for which a runner is granted to one suspect. */
constexpr Duration kIsolationLimit = 60s;
/* Interval at which a drain message is repeated to a router that has not answered it. */
constexpr Duration kIsolationDrainRepeat = 1s;

} // namespace

bool Cell::IsIsolated(const EndpointId& aRunner) const
{
  return mIsolation && mIsolation->runner == aRunner;
}

void Cell::SendIsolationGrant(Context& aContext,
                              const View& aView,
                              const IsolationWait& aWait,
                              IsolationStatus aStatus) const
{
  IsolationGrantMessage grant{
    .cell = mId, .request = aWait.request, .ask = aWait.ask, .status = aStatus
  };
  if (aStatus == IsolationStatus::kGranted) {
    grant.runner = mIsolation->runner;
    grant.validFor = mIsolation->until - aContext.now();
  } else if (aStatus == IsolationStatus::kNotHolder && mHolder != aContext.self()) {
    grant.holder = mHolder.daemon;
  }
  if (aWait.owner.daemon == aContext.self().daemon) {
    aContext.Emit(SendMessage{ aWait.owner.daemon, {}, std::move(grant) });
  } else {
    aView.SendTo(aContext, aWait.owner.daemon, std::move(grant));
  }
}

void Cell::OnIsolationRequest(Context& aContext,
                              const View& aView,
                              const Incarnation& aFrom,
                              const IsolationRequestMessage& aRequest)
{
  const IsolationWait wait{ .request = aRequest.request,
                            .owner = aFrom,
                            .artifact = aRequest.artifact,
                            .ask = aRequest.ask,
                            .deadline = aContext.now() + aRequest.timeLeft,
                            .expiresAt = aContext.now() + kIsolationWaitLifetime };
  if (mPhase != LeasePhase::kHeld) {
    SendIsolationGrant(aContext, aView, wait, IsolationStatus::kNotHolder);
    return;
  }
  const auto isSame = [&](const IsolationWait& aWait) { return aWait.request == wait.request; };
  const auto known = std::find_if(mIsolationWaits.begin(), mIsolationWaits.end(), isSame);
  if (mIsolation && isSame(mIsolation->wait)) {
    mIsolation->wait = wait;
  } else if (known != mIsolationWaits.end()) {
    *known = wait;
  } else if (mIsolationWaits.size() >= kIsolationWaitLimit) {
    SendIsolationGrant(aContext, aView, wait, IsolationStatus::kRefused);
    return;
  } else {
    mIsolationWaits.push_back(wait);
  }
  if (!IsReady(wait.artifact)) {
    PendingDemand& demand = mDemands[wait.artifact];
    demand.waiters.insert(aFrom.daemon);
    demand.deadline = wait.deadline;
    demand.expiresAt = wait.expiresAt;
  }
  ServeIsolation(aContext, aView);
  const bool isGranted = mIsolation && isSame(mIsolation->wait) && mIsolation->isGranted;
  SendIsolationGrant(
    aContext, aView, wait, isGranted ? IsolationStatus::kGranted : IsolationStatus::kWaiting);
}

void Cell::OnIsolationRelease(Context& aContext,
                              const View& aView,
                              const IsolationReleaseMessage& aRelease)
{
  std::erase_if(mIsolationWaits,
                [&](const IsolationWait& aWait) { return aWait.request == aRelease.request; });
  if (mIsolation && mIsolation->wait.request == aRelease.request) {
    mIsolation.reset();
    ServeIsolation(aContext, aView);
  }
}

void Cell::ExpireIsolation(const Context& aContext, const View& aView)
{
  const auto isOver = [&](const IsolationWait& aWait) {
    return aWait.owner != aContext.self() && aView.IsProvenDead(aContext, aWait.owner);
  };
  std::erase_if(mIsolationWaits, [&](const IsolationWait& aWait) {
    return isOver(aWait) || aWait.expiresAt <= aContext.now();
  });
  if (!mIsolation) {
    return;
  }
  const TimePoint until = mIsolation->isGranted ? mIsolation->until : mIsolation->wait.expiresAt;
  if (isOver(mIsolation->wait) || until <= aContext.now() ||
      !mRunners.contains(mIsolation->runner)) {
    mIsolation.reset();
  }
}

void Cell::StartIsolation(const Context& aContext, const View& aView)
{
  for (auto wait = mIsolationWaits.begin(); wait != mIsolationWaits.end(); ++wait) {
    for (const auto& [id, runner] : mRunners) {
      const auto found = runner.replicas.find(wait->artifact.model);
      if (found == runner.replicas.end() || !aView.IsUsable(id, aContext.now())) {
        continue;
      }
      const std::set<AdapterId>& adapters = found->second.adapters;
      const bool hasAdapter =
        wait->artifact.adapter.empty() || adapters.contains(wait->artifact.adapter);
      // A former holder may have sent the location of a replica to routers that are unknown here.
      // They may use it until unloadableFrom.
      const bool isKnown =
        std::all_of(runner.replicas.begin(), runner.replicas.end(), [&](const auto& aItem) {
          return aItem.second.unloadableFrom <= aContext.now();
        });
      if (found->second.phase == ReplicaPhase::kLoaded && hasAdapter && isKnown) {
        mIsolation = Isolation{ .wait = *wait, .runner = id };
        mIsolationWaits.erase(wait);
        return;
      }
    }
  }
}

void Cell::DrainIsolated(Context& aContext, const View& aView)
{
  const bool isDrainDue = mIsolation->nextDrain <= aContext.now();
  bool isFree = true;
  for (auto& [model, replica] : mRunners.at(mIsolation->runner).replicas) {
    replica.lastUsed = aContext.now(); // Prevents an unload during the isolation.
    std::erase_if(replica.users, [&](const auto& aUser) { return aUser.second <= aContext.now(); });
    isFree = isFree && replica.users.empty();
    for (const auto& [user, until] : replica.users) {
      const DrainMessage drain{ mId, mIsolation->runner, model, mFence };
      if (isDrainDue && user == aContext.self().daemon) {
        aContext.Emit(SendMessage{ user, {}, drain });
      } else if (isDrainDue) {
        aView.SendTo(aContext, user, drain);
      }
    }
  }
  if (isDrainDue) {
    mIsolation->nextDrain = aContext.now() + kIsolationDrainRepeat;
  }
  aContext.WakeBy(mIsolation->nextDrain);
  if (isFree && !mIsolation->isGranted) {
    mIsolation->isGranted = true;
    mIsolation->until = std::min(mIsolation->wait.deadline, aContext.now() + kIsolationLimit);
    SendIsolationGrant(aContext, aView, mIsolation->wait, IsolationStatus::kGranted);
  }
}

void Cell::ServeIsolation(Context& aContext, const View& aView)
{
  ExpireIsolation(aContext, aView);
  if (!mIsolation) {
    StartIsolation(aContext, aView);
  }
  if (mIsolation) {
    DrainIsolated(aContext, aView);
  }
}

} // namespace rhubarbtrail

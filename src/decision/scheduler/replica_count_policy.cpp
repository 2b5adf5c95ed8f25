/* The target number of replicas of a model, and the steps by which a cell reaches it. */
#include "decision/scheduler/cell_base.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Time for which requests must exceed the capacity of the replicas before one is added. */
constexpr Duration kScaleUpDelay = 2s;
/* Time for which one replica fewer must be sufficient before one is removed. */
constexpr Duration kScaleDownDelay = 60s;
/* A replica is removed only while the requests stay below this share of the concurrency of the
 * remaining ones. */
constexpr double kScaleDownUtilisation = 0.5;
/* Interval between updates of the target numbers. */
constexpr Duration kCountUpdateInterval = 1s;

/* Returns whether a condition has held for aDuration. Keeps the start of that time in aSince. */
bool HasHeldFor(std::optional<TimePoint>& aSince, bool aHolds, TimePoint aNow, Duration aDuration)
{
  if (!aHolds) {
    aSince.reset();
    return false;
  }
  if (!aSince) {
    aSince = aNow;
  }
  return aNow - *aSince >= aDuration;
}

} // namespace

void ReplicaCountPolicy::RecordRequests(const DaemonId& aRouter,
                                        const AdapterId& aAdapter,
                                        std::uint32_t aRequestCount,
                                        TimePoint aExpiresAt)
{
  mRouterRequests[{ aRouter, aAdapter }] = { aRequestCount, aExpiresAt };
}

void ReplicaCountPolicy::RaiseTarget(std::uint32_t aReplicas)
{
  mTarget = std::max(mTarget, aReplicas);
}

std::uint32_t ReplicaCountPolicy::UpdateTarget(TimePoint aNow, const ReplicaCountLimits& aLimits)
{
  std::erase_if(mRouterRequests, [&](const auto& aItem) { return aItem.second.expiresAt <= aNow; });
  std::uint64_t requests = 0;
  for (const auto& [router, routerRequests] : mRouterRequests) {
    requests += routerRequests.requests;
  }
  const std::uint64_t capacity = std::uint64_t{ aLimits.concurrency } * mTarget;
  const double scaleDownThreshold = kScaleDownUtilisation * aLimits.concurrency * (mTarget - 1);
  const bool hasShortage = requests > capacity && mTarget < aLimits.maximum;
  const bool hasSurplus = mTarget > 1 && static_cast<double>(requests) < scaleDownThreshold;
  if (mTarget > aLimits.maximum) {
    --mTarget; // The configured maximum was lowered.
  } else if (HasHeldFor(mShortageSince, hasShortage, aNow, kScaleUpDelay)) {
    ++mTarget;
    mShortageSince.reset();
  } else if (HasHeldFor(mSurplusSince, hasSurplus, aNow, kScaleDownDelay)) {
    --mTarget;
    mSurplusSince.reset();
  }
  mTarget = std::max(1U, mTarget);
  return mTarget;
}

std::uint32_t Cell::TargetReplicas(const ModelId& aModel) const
{
  const auto found = mReplicaCountPolicies.find(aModel);
  return found == mReplicaCountPolicies.end() ? 1 : found->second.target();
}

bool Cell::AreAllReplicasLoaded(const ModelId& aModel) const
{
  return std::all_of(mRunners.begin(), mRunners.end(), [&](const auto& aItem) {
    const auto found = aItem.second.replicas.find(aModel);
    return found == aItem.second.replicas.end() || found->second.phase == ReplicaPhase::kLoaded;
  });
}

void Cell::UpdateReplicaCounts(Context& aContext, const View& aView)
{
  const ServiceSpec* service = FindServiceSpec(aView);
  if (service == nullptr || mReplicaCountPolicies.empty()) {
    return;
  }
  if (mNextCountUpdate > aContext.now()) {
    aContext.WakeBy(mNextCountUpdate);
    return;
  }
  mNextCountUpdate = aContext.now() + kCountUpdateInterval;
  aContext.WakeBy(mNextCountUpdate);
  for (auto& [model, policy] : mReplicaCountPolicies) {
    const auto spec = aView.configuration().models.find(model);
    // While a replica is being loaded or unloaded, the demand does not show how many replicas are
    // needed.
    if (spec == aView.configuration().models.end() || !AreAllReplicasLoaded(model)) {
      continue;
    }
    const std::uint32_t currentReplicas = CountReplicas(aContext, aView, model);
    policy.RaiseTarget(std::min(currentReplicas, spec->second.maxReplicas));
    const std::uint32_t target = policy.UpdateTarget(
      aContext.now(), { spec->second.maxReplicas, service->endpointConcurrency });
    ReplicateAdapters(aContext, aView, model);
    if (currentReplicas > target) {
      DrainSurplusReplica(aContext, aView, model);
    } else if (currentReplicas > 0 && currentReplicas < target) {
      AddReplica(aContext, aView, spec->second);
    }
  }
}

void Cell::ReplicateAdapters(Context& aContext, const View& aView, const ModelId& aModel)
{
  std::set<AdapterId> adapters;
  for (const auto& [id, runner] : mRunners) {
    const auto found = runner.replicas.find(aModel);
    if (found != runner.replicas.end()) {
      adapters.insert(found->second.adapters.begin(), found->second.adapters.end());
    }
  }
  for (const AdapterId& adapter : adapters) {
    LoadAdapter(aContext, aView, { aModel, adapter });
  }
}

void Cell::AddReplica(Context& aContext, const View& aView, const ModelSpec& aModel)
{
  const ServiceSpec* service = FindServiceSpec(aView);
  // OnWake() serves the demands first, so the first replicas of other models get load slots and
  // tokens before an additional replica of this model.
  const bool hasFreeLoadSlot = LoadsInFlight() < service->store.concurrentLoads;
  if (hasFreeLoadSlot && TakeLoadToken(aContext, *service) &&
      !TryPlaceReplica(aContext, aView, aModel)) {
    mLoadTokens += 1.0;
  }
}

void Cell::DrainSurplusReplica(Context& aContext, const View& aView, const ModelId& aModel)
{
  Runner* busiest = nullptr;
  for (auto& [id, runner] : mRunners) {
    const auto found = runner.replicas.find(aModel);
    if (found == runner.replicas.end()) {
      continue;
    }
    const bool mayBeUnloaded =
      !found->second.isReservedForFormerOrder && found->second.unloadableFrom <= aContext.now();
    if (mayBeUnloaded && (busiest == nullptr || runner.reportedLoad > busiest->reportedLoad)) {
      busiest = &runner;
    }
  }
  if (busiest != nullptr) {
    StartDrain(aContext, aView, *busiest, busiest->replicas.at(aModel));
  }
}

} // namespace rhubarbtrail

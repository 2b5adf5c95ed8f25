/* The target number of replicas of a model, and the steps by which a cell reaches it. */
#include "decision/scheduler/cell_base.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Time for which requests must exceed the capacity of the replicas before one is added. */
constexpr Duration kGrowAfter = 2s;
/* Time for which one replica fewer must be sufficient before one is removed. */
constexpr Duration kShrinkAfter = 60s;
/* A replica is removed only while the requests stay below this share of the concurrency of the
 * remaining ones. */
constexpr double kShrinkUtilisation = 0.5;
/* Interval between updates of the target numbers. */
constexpr Duration kUpdateInterval = 1s;

/* Returns whether a condition has held for aTime, and keeps the start of that time in aSince. */
bool HasHeld(std::optional<TimePoint>& aSince, bool aHolds, TimePoint aNow, Duration aTime)
{
  if (!aHolds) {
    aSince.reset();
    return false;
  }
  if (!aSince) {
    aSince = aNow;
  }
  return aNow - *aSince >= aTime;
}

} // namespace

void ReplicaCount::Report(const DaemonId& aRouter,
                          const AdapterId& aAdapter,
                          std::uint32_t aRequests,
                          TimePoint aExpires)
{
  mUses[{ aRouter, aAdapter }] = { aRequests, aExpires };
}

void ReplicaCount::Adopt(std::uint32_t aReplicas)
{
  mDecided = std::max(mDecided, aReplicas);
}

std::uint32_t ReplicaCount::Update(TimePoint aNow, const ReplicaCountLimits& aLimits)
{
  std::erase_if(mUses, [&](const auto& aItem) { return aItem.second.expires <= aNow; });
  std::uint64_t requests = 0;
  for (const auto& [router, use] : mUses) {
    requests += use.requests;
  }
  const std::uint64_t capacity = std::uint64_t{ aLimits.concurrency } * mDecided;
  const double spare = kShrinkUtilisation * aLimits.concurrency * (mDecided - 1);
  const bool isShort = requests > capacity && mDecided < aLimits.maximum;
  const bool isSpare = mDecided > 1 && static_cast<double>(requests) < spare;
  if (mDecided > aLimits.maximum) {
    --mDecided; // The configured maximum was lowered.
  } else if (HasHeld(mShortSince, isShort, aNow, kGrowAfter)) {
    ++mDecided;
    mShortSince.reset();
  } else if (HasHeld(mSpareSince, isSpare, aNow, kShrinkAfter)) {
    --mDecided;
    mSpareSince.reset();
  }
  mDecided = std::max(1U, mDecided);
  return mDecided;
}

std::uint32_t Cell::DecidedReplicas(const ModelId& aModel) const
{
  const auto found = mCounts.find(aModel);
  return found == mCounts.end() ? 1 : found->second.decided();
}

bool Cell::AreAllLoaded(const ModelId& aModel) const
{
  return std::all_of(mRunners.begin(), mRunners.end(), [&](const auto& aItem) {
    const auto found = aItem.second.replicas.find(aModel);
    return found == aItem.second.replicas.end() || found->second.phase == ReplicaPhase::kLoaded;
  });
}

void Cell::UpdateReplicaCounts(Context& aContext, const View& aView)
{
  const ServiceSpec* service = Service(aView);
  if (service == nullptr || mCounts.empty()) {
    return;
  }
  if (mNextCountUpdate > aContext.now()) {
    aContext.WakeBy(mNextCountUpdate);
    return;
  }
  mNextCountUpdate = aContext.now() + kUpdateInterval;
  aContext.WakeBy(mNextCountUpdate);
  for (auto& [model, count] : mCounts) {
    const auto spec = aView.configuration().models.find(model);
    // While a replica is being loaded or unloaded, the demand does not show how many replicas are
    // needed.
    if (spec == aView.configuration().models.end() || !AreAllLoaded(model)) {
      continue;
    }
    const std::uint32_t present = CountReplicas(aContext, aView, model);
    count.Adopt(std::min(present, spec->second.maxReplicas));
    const std::uint32_t decided =
      count.Update(aContext.now(), { spec->second.maxReplicas, service->endpointConcurrency });
    LoadSharedAdapters(aContext, aView, model);
    if (present > decided) {
      GiveUpReplica(aContext, aView, model);
    } else if (present > 0 && present < decided) {
      AddReplica(aContext, aView, spec->second);
    }
  }
}

void Cell::LoadSharedAdapters(Context& aContext, const View& aView, const ModelId& aModel)
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
  const ServiceSpec* service = Service(aView);
  // OnWake() serves the demands first, so the first replicas of other models get load slots and
  // tokens before an additional replica of this model.
  const bool isStoreFree = LoadsInFlight() < service->store.concurrentLoads;
  if (isStoreFree && TakeLoadToken(aContext, *service) && !TryPlace(aContext, aView, aModel)) {
    mLoadTokens += 1.0;
  }
}

void Cell::GiveUpReplica(Context& aContext, const View& aView, const ModelId& aModel)
{
  Runner* busiest = nullptr;
  for (auto& [id, runner] : mRunners) {
    const auto found = runner.replicas.find(aModel);
    if (found == runner.replicas.end()) {
      continue;
    }
    const bool isUnloadable =
      !found->second.isReserved && found->second.unloadableFrom <= aContext.now();
    if (isUnloadable && (busiest == nullptr || runner.reportedLoad > busiest->reportedLoad)) {
      busiest = &runner;
    }
  }
  if (busiest != nullptr) {
    StartDrain(aContext, aView, *busiest, busiest->replicas.at(aModel));
  }
}

} // namespace rhubarbtrail

/* The number of replicas: the policy, and how a cell carries it out. */
#include "decision/scheduler/cell_base.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Demand must exceed the replicas for this time before another one is decided. */
constexpr Duration kGrowAfter = 2s;
/* One replica less must do for this time before one is given up. */
constexpr Duration kShrinkAfter = 60s;
/* Share of its concurrency up to which a replica is filled when replicas are given up. */
constexpr double kShrinkUtilisation = 0.5;
/* Time between updates of the decided numbers. */
constexpr Duration kUpdateInterval = 1s;

/* Returns whether a condition has held for a time, and notes since when. */
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
    --mDecided; // The configuration allows fewer now.
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
    // While a replica comes or goes, demand says little of the number that is needed.
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
  // The first replica of another model goes before a further one of this.
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

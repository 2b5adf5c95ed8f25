/* Loads models into free memory shortly before their predicted next use. */
#include "decision/scheduler/cell_base.h"

namespace rhubarbtrail {

namespace {

/* Interval between checks for models to preload. */
constexpr Duration kPreloadCheckInterval = 2s;

} // namespace

void Cell::PreloadPredictedModels(Context& aContext, const View& aView)
{
  const ServiceSpec* service = FindServiceSpec(aView);
  if (service == nullptr || !std::holds_alternative<CostAwareKeepAlive>(service->keepAlive)) {
    return;
  }
  if (mNextPreloadCheck > aContext.now()) {
    aContext.WakeBy(mNextPreloadCheck);
    return;
  }
  mNextPreloadCheck = aContext.now() + kPreloadCheckInterval;
  aContext.WakeBy(mNextPreloadCheck);
  for (auto& [model, usage] : mModelUsage) {
    const auto spec = aView.configuration().models.find(model);
    const bool hasUsage =
      usage.isUsed && !usage.isPreloaded && spec != aView.configuration().models.end();
    if (!hasUsage || CountReplicas(aContext, aView, model) > 0) {
      continue;
    }
    const double memoryShare = static_cast<double>(spec->second.memory.value) /
                               static_cast<double>(service->runnerMemory.value);
    const Duration idleWhenLoaded = aContext.now() - usage.lastUsed + spec->second.expectedLoad;
    const KeepAliveInput input{ usage, mCellIdleTimes, spec->second.expectedLoad, memoryShare };
    if (!ShouldPreload(service->keepAlive, input, idleWhenLoaded)) {
      continue;
    }
    // Demands take precedence. A preload leaves a load slot free, and TryPlaceReplica() does not
    // use memory that is being freed for another model.
    const bool hasFreeLoadSlot = LoadsInFlight() + 1 < service->store.concurrentLoads;
    if (!mDemands.empty() || !hasFreeLoadSlot || !TakeLoadToken(aContext, *service)) {
      return;
    }
    if (!TryPlaceReplica(aContext, aView, spec->second)) {
      mLoadTokens += 1.0;
      continue;
    }
    usage.isPreloaded = true;
  }
}

} // namespace rhubarbtrail

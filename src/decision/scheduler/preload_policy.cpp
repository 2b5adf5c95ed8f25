/* Loads models into free memory shortly before their predicted next use. */
#include "decision/scheduler/cell_base.h"

namespace rhubarbtrail {

namespace {

/* Interval between checks for models to preload. */
constexpr Duration kPreloadInterval = 2s;

} // namespace

void Cell::PreloadExpected(Context& aContext, const View& aView)
{
  const ServiceSpec* service = Service(aView);
  if (service == nullptr || !std::holds_alternative<CostAwareKeepAlive>(service->keepAlive)) {
    return;
  }
  if (mNextPreload > aContext.now()) {
    aContext.WakeBy(mNextPreload);
    return;
  }
  mNextPreload = aContext.now() + kPreloadInterval;
  aContext.WakeBy(mNextPreload);
  for (auto& [model, usage] : mUsage) {
    const auto spec = aView.configuration().models.find(model);
    const bool isKnown =
      usage.isUsed && !usage.isPreloaded && spec != aView.configuration().models.end();
    if (!isKnown || CountReplicas(aContext, aView, model) > 0) {
      continue;
    }
    const double share = static_cast<double>(spec->second.memory.value) /
                         static_cast<double>(service->runnerMemory.value);
    const Duration idleWhenLoaded = aContext.now() - usage.lastUsed + spec->second.expectedLoad;
    const KeepAliveInput input{ usage, mCellIdleTimes, spec->second.expectedLoad, share };
    if (!IsWorthPreloading(service->keepAlive, input, idleWhenLoaded)) {
      continue;
    }
    // Demands take precedence. A preload leaves a load slot free, and TryPlace() does not use
    // memory that is being freed for another model.
    const bool isStoreFree = LoadsInFlight() + 1 < service->store.concurrentLoads;
    if (!mDemands.empty() || !isStoreFree || !TakeLoadToken(aContext, *service)) {
      return;
    }
    if (!TryPlace(aContext, aView, spec->second)) {
      mLoadTokens += 1.0;
      continue;
    }
    usage.isPreloaded = true;
  }
}

} // namespace rhubarbtrail

/* Weighs what a planned replica is expected to win against what it costs other callers. */
#include "decision/fleet/dispatch_estimate.h"
#include "decision/fleet/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtrail::fleet {

namespace {

/* Time after a load during which later requests for the model count as won by it, in seconds. A
 * copy on a runner's disk lasts longer than a place in its memory. */
constexpr double kDiskLoadHorizonS = 8.0;
constexpr double kStoreLoadHorizonS = 20.0;
/* Value of serving a later request from memory instead of after a load from a disk. Without a copy
 * on any disk, a later request would be lost, so it counts in full. */
constexpr double kHitValue = 0.5;
/* Chance that a model which a runner cannot swap in, because it is loading from the weight store,
 * has no copy at another runner that can. */
constexpr double kBlockedSwapLoss = 0.5;
/* Least gain of a load from the weight store, in requests for each second that it takes. The rates
 * of rarely used models are uncertain, and the store serves few loads at full speed. */
constexpr double kStoreLoadPricePerS = 0.08;

} // namespace

TimePoint Dispatcher::SwapDoneAt(TimePoint aNow, const Swap& aSwap) const
{
  const auto runner = mRunners.find(aSwap.runner);
  TimePoint start = aNow;
  if (runner != mRunners.end() && runner->second.order) {
    const PendingOrder& pending = *runner->second.order;
    const bool isOwnLoad =
      pending.order.kind == OrderKind::kLoad && pending.order.subject.model == aSwap.model;
    start = std::max(start, isOwnLoad ? pending.sentAt : pending.expectedDoneAt);
  }
  return std::max(start + aSwap.loadTime, aNow);
}

std::optional<Duration> Dispatcher::TimeUntilReplica(TimePoint aNow,
                                                     const ServiceId& aService,
                                                     const ModelId& aModel) const
{
  const auto found = mIncomingReplicas.find({ aService, aModel });
  if (found == mIncomingReplicas.end()) {
    return std::nullopt;
  }
  return std::max(found->second.firstReadyAt - aNow, Duration::zero());
}

double Dispatcher::ExpectedGain(TimePoint aNow,
                                const Swap& aSwap,
                                const Model& aModel,
                                const std::vector<const WaitingRequest*>& aWaiting) const
{
  const TimePoint readyAt = SwapDoneAt(aNow, aSwap);
  double gain = 0.0;
  for (const WaitingRequest* waiting : aWaiting) {
    if (readyAt + kMinServiceTime > waiting->deadline) {
      continue;
    }
    // The client of a resumed stream has its first events, and loses them if it cannot go on.
    const bool isInTime =
      waiting->request.origin || readyAt <= waiting->receivedAt + waiting->request.latencyObjective;
    gain += isInTime ? 1.0 : kLateAnswerValue;
  }
  const double rate = mDemand.SustainedRequestRate(aNow, aModel.id);
  return gain +
         (aSwap.isFromStore ? rate * kStoreLoadHorizonS : rate * kDiskLoadHorizonS * kHitValue);
}

double Dispatcher::ExpectedLoss(TimePoint aNow, const Swap& aSwap) const
{
  const ManagedRunner& runner = mRunners.at(aSwap.runner);
  const double loadTime = ToSeconds(aSwap.loadTime);
  double loss = 0.0;
  for (const ModelId& victim : aSwap.victims) {
    const Model* model = runner.engine->Find(victim);
    if (model == nullptr) {
      continue; // The model is no longer configured, so no request can be for it.
    }
    const double rate = mDemand.RequestRate(aNow, victim);
    const double needed =
      std::max(1.0, std::ceil(mDemand.BusyRunners(aNow, victim) / kMaxWorkPerReplica));
    const double replicas = std::max<double>(CountReplicas(aSwap.service, victim), 1.0);
    // The victim can be loaded again only after the new model, as a runner carries out one order at
    // a time. Its copies stay on the runner.
    const double missingTime =
      loadTime + ToSeconds(std::min(model->diskLoadTime, model->storeLoadTime));
    loss += rate / replicas * missingTime * (replicas > needed ? kSurplusReplicaFactor : 1.0);
  }
  if (aSwap.isFromStore) {
    const auto runners =
      static_cast<double>(std::count_if(mRunners.begin(), mRunners.end(), [&](const auto& aItem) {
        return aItem.second.entry.service == aSwap.service && IsUsable(aItem.second);
      }));
    const double swapsPerRunner = mSwapRate.ValueAt(aNow) / std::max(runners, 1.0);
    loss += swapsPerRunner * loadTime * kBlockedSwapLoss + loadTime * kStoreLoadPricePerS;
  }
  return loss;
}

} // namespace rhubarbtrail::fleet

/* Assigns waiting placement requests to runners that hold their models. */
#include "decision/fleet/dispatch_estimate.h"
#include "decision/fleet/dispatcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rhubarbtrail::fleet {

namespace {

/* Share of a runner's token cache that assignments may fill. When the cache is full, the runner
 * preempts running requests and processes their prompts again, which wastes its time. */
constexpr double kMaxCacheFill = 0.92;
/* Extra delay of a request whose adapter cannot be ordered at once. */
constexpr Duration kDeferredAdapterDelay = 300ms;
/* Delay that is added for a runner that states a limit on requests, so that others are preferred
 * unless they are much busier. */
constexpr Duration kLimitedRunnerDelay = 200ms;
/* How long a request waits for a runner while this daemon may not send orders. The order lease
 * passes to another holder within some seconds. */
constexpr Duration kMaxWaitWithoutOrders = 6s;
/* Waiting requests up to which all are tried in each tick, and the interval in which all are tried
 * when there are more. */
constexpr std::size_t kShortQueue = 48;
constexpr Duration kAssignmentInterval = 20ms;

/* How a runner ranks: it has failed the request, it is avoided, and the time to the first event. */
using RunnerRank = std::tuple<bool, bool, Duration>;

/* Returns whether a runner that ranks second is as sound as the first, and in time for a request
 * that arrived at the dispatcher this long ago. */
bool IsAsGood(const RunnerRank& aFirst,
              const RunnerRank& aSecond,
              Duration aObjective,
              Duration aWaited)
{
  return std::get<0>(aFirst) == std::get<0>(aSecond) &&
         std::get<1>(aFirst) == std::get<1>(aSecond) &&
         aWaited + std::get<Duration>(aSecond) <= aObjective;
}

} // namespace

/* Load pattern: hundreds of requests wait, as after a crash of runners, and each message about one
 * of them calls for a tick. Trying all of them each time would take all of the processor's time,
 * and heartbeats and replies would be late. So new requests are tried at once, and the others at
 * intervals. */
void Dispatcher::AssignWaitingRequests(TimePoint aNow)
{
  const bool areAllDue = mWaitingRequests.size() <= kShortQueue || aNow >= mNextAssignmentAt;
  if (areAllDue) {
    mNextAssignmentAt = aNow + kAssignmentInterval;
  }
  mIsFullRound = areAllDue;
  if (areAllDue && !mLimitedRunners.empty()) {
    PrepareLimitedRound(aNow);
  }
  if (mAssignmentOrder.IsEnabled()) {
    AssignInFairOrder(aNow, areAllDue);
  } else {
    std::erase_if(mWaitingRequests, [&](WaitingRequest& aWaiting) {
      const bool wasTried = std::exchange(aWaiting.wasTried, true);
      return (areAllDue || !wasTried) && TryToAssign(aNow, aWaiting);
    });
  }
  if (mWaitingRequests.size() > kShortQueue) {
    ScheduleTick(mNextAssignmentAt);
  }
}

/* Load pattern: demand above capacity, so that a slot is free only for a moment. Between full
 * rounds, a new request for a model would take each slot before those that have waited for it, also
 * a request that a client repeats after a refusal. So all requests for the models concerned are
 * tried together. */
void Dispatcher::AssignInFairOrder(TimePoint aNow, bool aAreAllDue)
{
  std::unordered_set<ModelId> dueModels = std::exchange(mFreedModels, {});
  for (const WaitingRequest& waiting : mWaitingRequests) {
    if (!waiting.wasTried) {
      dueModels.insert(waiting.request.work.target.model);
    }
  }
  if (!aAreAllDue && dueModels.empty()) {
    return;
  }
  mWaitingCounts = {};
  const bool isFair = mOverloadDecisions.isOrderFair;
  std::vector<WaitingTurn> turns;
  for (std::size_t position = 0; position < mWaitingRequests.size(); ++position) {
    WaitingRequest& waiting = mWaitingRequests[position];
    const bool isDue =
      isFair ? dueModels.contains(waiting.request.work.target.model) : !waiting.wasTried;
    if (!aAreAllDue && !isDue) {
      continue;
    }
    waiting.wasTried = true;
    mWaitingCounts.AddWaiting(
      waiting.request.work.target.model, waiting.request.priority, waiting.request.account);
    turns.push_back({ .position = position,
                      .priority = waiting.request.priority,
                      .account = isFair ? waiting.request.account : ClientAccountId{} });
  }
  AssignmentRound round{ mAssignmentOrder, aNow, turns };
  std::vector<bool> isAnswered(mWaitingRequests.size(), false);
  while (const auto position = round.Next()) {
    WaitingRequest& waiting = mWaitingRequests[*position];
    const PlacementRequest& request = waiting.request;
    isAnswered[*position] = TryToAssign(aNow, waiting);
    if (isAnswered[*position]) {
      mWaitingCounts.RemoveWaiting(request.work.target.model, request.priority, request.account);
    } else {
      mWaitingCounts.AddTried(request.work.target.model, request.priority, request.account);
    }
  }
  std::size_t position = 0;
  std::erase_if(mWaitingRequests, [&](const WaitingRequest&) { return isAnswered[position++]; });
}

bool Dispatcher::IsUsable(const ManagedRunner& aRunner) const
{
  return !aRunner.isGone && !aRunner.saysLeaving && aRunner.entry.state == RunnerState::kReady;
}

bool Dispatcher::IsFull(const ManagedRunner& aRunner, const PlacementRequest& aRequest)
{
  const std::uint64_t tokens = aRequest.work.promptTokens + aRequest.work.outputTokens;
  return aRunner.inFlight >= aRunner.entry.slots ||
         (aRunner.inFlight > 0 &&
          static_cast<double>(aRunner.tokens + tokens) >
            kMaxCacheFill * static_cast<double>(aRunner.engine->cacheTokens));
}

std::optional<Duration> Dispatcher::EstimateTimeToFirstEvent(TimePoint aNow,
                                                             const ManagedRunner& aRunner,
                                                             const WaitingRequest& aWaiting) const
{
  const PlacementRequest& request = aWaiting.request;
  const auto held = aRunner.models.find(request.work.target.model);
  if (held == aRunner.models.end() || held->second.isLeaving) {
    return std::nullopt;
  }
  if (IsFull(aRunner, request)) {
    return std::nullopt;
  }
  const std::uint32_t cachedTokens =
    std::min(aRunner.cache.CachedTokens(request.work), request.work.promptTokens);
  Duration time = std::max(aRunner.promptsDoneAt - aNow, Duration::zero()) +
                  ScaleDuration(PromptProcessingTime(request.work.promptTokens - cachedTokens),
                                mServiceTimes.Factor(request.work.target.model)) +
                  aRunner.inFlight * kDelayPerRunningRequest;
  if (const auto slowness = SlownessOf(aNow, aRunner)) {
    time = ScaleDuration(time, slowness->factor);
  }
  if (aRunner.entry.zone != aWaiting.zone) {
    time += kCrossZonePenalty;
  }
  if (aRunner.limitedTraffic) {
    time += kLimitedRunnerDelay;
  }
  if (!request.work.target.adapter.empty()) {
    const auto adapter = held->second.adapters.find(request.work.target.adapter);
    if (adapter != held->second.adapters.end()) {
      time += adapter->second.isOrdered
                ? kAdapterLoadTime
                : std::max(adapter->second.readyAt - aNow, Duration::zero());
    } else if (MayReceiveAdapterOrder(aNow, aRunner)) {
      time += kAdapterLoadTime;
    } else if (mOrderPermission.mayOrder && !HasControlAllowance(aNow, aRunner)) {
      time += aRunner.limitedTraffic->control.TimeUntil(aNow, 1) + kAdapterLoadTime;
    } else if (mOrderPermission.mayOrder) {
      time += kDeferredAdapterDelay;
    } else {
      return std::nullopt;
    }
  }
  return time;
}

bool Dispatcher::TryToAssign(TimePoint aNow, WaitingRequest& aWaiting)
{
  const PlacementRequest& request = aWaiting.request;
  if (!request.UsesModel()) {
    return TryToAssignPlain(aNow, aWaiting);
  }
  const Engine* engine = EngineOf(request.service);
  if (engine == nullptr || !engine->Has(request.work.target)) {
    // The requesting daemon has another configuration, which may contain the model. It chooses a
    // runner itself. An order for an adapter that does not exist would stop all other orders to
    // its runner for a time.
    mActions.emplace_back(PlacementReply{ .id = request.id, .answer = PlacementUndecided{} });
    return true;
  }
  if (aWaiting.deadline - aNow < kMinServiceTime) {
    // It may also wait for an adapter that its runner has no free slot for.
    Refuse(aNow,
           aWaiting,
           ResultCode::kDeadlineUnreachable,
           Duration::zero(),
           "no_place_before_deadline");
    return true;
  }
  if (!ResolveOrigin(aNow, aWaiting)) {
    return RefuseUnknownOrigin(aNow, aWaiting);
  }
  if (request.origin && request.origin->service != request.service) {
    return RefuseResumed(aNow, aWaiting);
  }
  const SoftwareVersion version = RequiredVersion(request);
  // The first of the runners that are paused or have no allowance left, and when it can be used.
  std::optional<std::pair<TimePoint, ManagedRunner*>> firstAllowed;
  const auto recordWait = [&](TimePoint aTime, ManagedRunner& aRunner) {
    if (!firstAllowed || aTime < firstAllowed->first) {
      firstAllowed = { aTime, &aRunner };
    }
  };
  bool mustAllWait = true;
  ManagedRunner* best = nullptr;
  RunnerRank bestRank;
  // The best one within its windows. A request goes beyond them only if this one would be late.
  ManagedRunner* bestWithin = nullptr;
  RunnerRank bestWithinRank;
  for (ManagedRunner* runner : RunnersWithModel(request.work.target.model)) {
    if (runner->entry.service != request.service || !IsUsable(*runner) ||
        runner->unreachableSince || !HasVersion(*runner, version) ||
        !MayBeginAt(request, *runner)) {
      continue;
    }
    if (const auto pauseEnd = PauseEnd(aNow, aWaiting, runner->entry.id)) {
      recordWait(*pauseEnd, *runner);
      continue;
    }
    if (!HasRequestAllowance(aNow, *runner)) {
      recordWait(AllowedAt(aNow, aWaiting, *runner), *runner);
      continue;
    }
    mustAllWait = false;
    const auto time = EstimateTimeToFirstEvent(aNow, *runner, aWaiting);
    if (!time) {
      continue;
    }
    const bool hasFailed =
      std::find(request.failedRunners.begin(), request.failedRunners.end(), runner->entry.id) !=
      request.failedRunners.end();
    const std::tuple rank{ hasFailed, runner->health.IsAvoided(aNow), *time };
    if (best == nullptr || rank < bestRank) {
      best = runner;
      bestRank = rank;
    }
    if (HasRoom(aNow, *runner, request.work.target.model) &&
        (bestWithin == nullptr || rank < bestWithinRank)) {
      bestWithin = runner;
      bestWithinRank = rank;
    }
  }
  if (best != bestWithin && bestWithin != nullptr &&
      IsAsGood(bestRank, bestWithinRank, request.latencyObjective, aNow - aWaiting.receivedAt)) {
    best = bestWithin;
    bestRank = bestWithinRank;
    ++mPacedRequests;
  }
  if (best != nullptr || !mustAllWait) {
    aWaiting.awaitedRunner = {};
  }
  if (best == nullptr && firstAllowed && mustAllWait) {
    return RefuseOrWaitForAllowance(aNow, aWaiting, *firstAllowed->second, firstAllowed->first);
  }
  if (best == nullptr && !version.empty()) {
    return RefuseResumed(aNow, aWaiting);
  }
  if (best == nullptr) {
    if (!mOrderPermission.mayOrder && !mOrderPermission.allowedFrom &&
        aNow - aWaiting.receivedAt > kMaxWaitWithoutOrders) {
      Refuse(
        aNow, aWaiting, ResultCode::kReplicaUnavailable, kRetryAfterRefusal, "no_orders_possible");
      return true;
    }
    if (RefuseWithoutSlot(aNow, aWaiting)) {
      return true;
    }
    return RefuseWithoutReplica(aNow, aWaiting, engine->models.at(request.work.target.model));
  }
  const ModelRef& target = request.work.target;
  if (!target.adapter.empty()) {
    HeldModel& held = best->models[target.model];
    const auto adapter = held.adapters.find(target.adapter);
    if (adapter == held.adapters.end()) {
      if (RefuseWithoutOrder(aNow, aWaiting, *best)) {
        return true;
      }
      OrderAdapter(aNow, target, *best);
      return false;
    }
    if (adapter->second.isOrdered) {
      return false;
    }
    if (adapter->second.readyAt > aNow) {
      ScheduleTick(adapter->second.readyAt);
      return false;
    }
  }
  Assign(aNow, aWaiting, *best, std::get<Duration>(bestRank));
  return true;
}

std::optional<TimePoint> Dispatcher::PauseEnd(TimePoint aNow,
                                              const WaitingRequest& aWaiting,
                                              const EndpointId& aRunner)
{
  for (const PausedRunner& paused : aWaiting.request.pausedRunners) {
    const TimePoint end = aWaiting.receivedAt + paused.timeLeft;
    if (paused.runner == aRunner && aNow < end) {
      return end;
    }
  }
  return std::nullopt;
}

void Dispatcher::Assign(TimePoint aNow,
                        const WaitingRequest& aWaiting,
                        ManagedRunner& aRunner,
                        Duration aTimeToFirstEvent)
{
  LogDecision({ .event = "place_granted",
                .request = aWaiting.request.requestId,
                .runner = aRunner.entry.id,
                .model = aWaiting.request.work.target,
                .why = aNow - aWaiting.receivedAt > kAdapterLoadTime ? "waited" : "at_once",
                .account = aWaiting.request.account,
                .accountUse = mAssignmentOrder.RelativeUse(aNow, aWaiting.request.account),
                .time = aTimeToFirstEvent,
                .count = aRunner.inFlight });
  AddAssignment(aNow, aWaiting.request, aRunner, aTimeToFirstEvent);
  UseRequestAllowance(aNow, aWaiting.request.account, aRunner);
  mAssignments[aWaiting.request.id].usesAllowance = aRunner.limitedTraffic.has_value();
  mActions.emplace_back(
    PlacementReply{ .id = aWaiting.request.id,
                    .answer = RunnerAssigned{ .runner = aRunner.entry.id,
                                              .version = aRunner.entry.softwareVersion } });
}

} // namespace rhubarbtrail::fleet

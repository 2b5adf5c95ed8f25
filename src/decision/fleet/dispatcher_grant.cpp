/* Assigns waiting placement requests to runners that hold their models. */
#include "decision/fleet/dispatch_estimate.h"
#include "decision/fleet/dispatcher.h"

#include <algorithm>
#include <tuple>

namespace rhubarbtrail::fleet {

namespace {

/* Share of a runner's token cache that assignments may fill. When the cache is full, the runner
 * preempts running requests and processes their prompts again, which wastes its time. */
constexpr double kUsableMemory = 0.92;
/* Extra delay of a request whose adapter cannot be ordered at once. */
constexpr Duration kAdapterWait = 300ms;
/* Least time until the deadline with which an answer can still be complete. */
constexpr Duration kLeastServiceTime = 250ms;
/* How long a request waits for a runner while this daemon may not send orders. The order lease
 * passes to another holder within some seconds. */
constexpr Duration kPatienceWithoutOrders = 6s;
/* Least time that a request waits for its model before it is refused because no load is planned. */
constexpr Duration kLeastPatience = 1s;
/* Retry-after time of refusals for lack of a replica. */
constexpr Duration kRetryWithoutOrders = 1'500ms;

} // namespace

void Dispatcher::ServeWaiting(TimePoint aNow)
{
  std::erase_if(mWaiting, [&](const Waiting& aWaiting) { return Serve(aNow, aWaiting); });
}

bool Dispatcher::IsUsable(const ManagedRunner& aRunner) const
{
  return !aRunner.isGone && aRunner.entry.state == RunnerState::kReady;
}

std::optional<Duration> Dispatcher::EstimateStart(TimePoint aNow,
                                                  const ManagedRunner& aRunner,
                                                  const Waiting& aWaiting) const
{
  const PlacementAsk& ask = aWaiting.ask;
  const auto held = aRunner.models.find(ask.work.target.model);
  if (held == aRunner.models.end() || held->second.isLeaving) {
    return std::nullopt;
  }
  const Engine* engine = aRunner.engine;
  const std::uint64_t tokens = ask.work.promptTokens + ask.work.outputTokens;
  const bool isFull =
    aRunner.inFlight >= aRunner.entry.slots ||
    (aRunner.inFlight > 0 && static_cast<double>(aRunner.tokens + tokens) >
                               kUsableMemory * static_cast<double>(engine->cacheTokens));
  if (isFull) {
    return std::nullopt;
  }
  const std::uint32_t kept = std::min(aRunner.cache.KeptTokens(ask.work), ask.work.promptTokens);
  Duration time =
    std::max(aRunner.readingUntil - aNow, Duration::zero()) +
    ScaleBy(ReadingTime(ask.work.promptTokens - kept), mPaces.Factor(ask.work.target.model)) +
    aRunner.inFlight * kBatchDelay;
  if (aRunner.entry.zone != aWaiting.zone) {
    time += kZoneDelay;
  }
  if (!ask.work.target.adapter.empty()) {
    const auto adapter = held->second.adapters.find(ask.work.target.adapter);
    if (adapter != held->second.adapters.end()) {
      time += adapter->second.isOrdered
                ? kAdapterLoadTime
                : std::max(adapter->second.readyAt - aNow, Duration::zero());
    } else if (MayOrderTo(aNow, aRunner)) {
      time += kAdapterLoadTime;
    } else if (mRight.mayOrder) {
      time += kAdapterWait;
    } else {
      return std::nullopt;
    }
  }
  return time;
}

bool Dispatcher::Serve(TimePoint aNow, const Waiting& aWaiting)
{
  const PlacementAsk& ask = aWaiting.ask;
  const Engine* engine = EngineOf(ask.service);
  if (engine == nullptr || !engine->models.contains(ask.work.target.model)) {
    // The requesting daemon has another configuration, which may contain the model. It chooses a
    // runner itself.
    mActions.emplace_back(PlacementReply{ .id = ask.id, .answer = PlaceUnknown{} });
    return true;
  }
  ManagedRunner* best = nullptr;
  std::tuple<bool, bool, Duration> bestRank;
  for (ManagedRunner* runner : Holders(ask.work.target.model)) {
    if (runner->entry.service != ask.service || !IsUsable(*runner)) {
      continue;
    }
    const auto time = EstimateStart(aNow, *runner, aWaiting);
    if (!time) {
      continue;
    }
    const bool hasFailed =
      std::find(ask.excluded.begin(), ask.excluded.end(), runner->entry.id) != ask.excluded.end();
    const std::tuple rank{ hasFailed, runner->health.IsDoubted(aNow), *time };
    if (best == nullptr || rank < bestRank) {
      best = runner;
      bestRank = rank;
    }
  }
  if (best == nullptr) {
    if (aWaiting.deadline - aNow < kLeastServiceTime) {
      Refuse(aNow, aWaiting, ResultCode::kDeadlineUnreachable, "no_place_before_deadline");
      return true;
    }
    // Load pattern: more models requested than can be swapped in. A request that will not be served
    // in time is refused early enough for a retry to help.
    const Duration patience = std::max(ask.objective * 3 / 2, kLeastPatience);
    if (mRight.mayOrder && aNow - aWaiting.askedAt > patience &&
        Holders(ask.work.target.model).empty() && Coming(ask.service, ask.work.target.model) == 0) {
      Refuse(aNow, aWaiting, ResultCode::kReplicaUnavailable, "no_replica_in_time");
      return true;
    }
    if (!mRight.mayOrder && aNow - aWaiting.askedAt > kPatienceWithoutOrders) {
      Refuse(aNow, aWaiting, ResultCode::kReplicaUnavailable, "no_orders_possible");
      return true;
    }
    return false;
  }
  const ModelRef& target = ask.work.target;
  if (!target.adapter.empty()) {
    HeldModel& held = best->models[target.model];
    const auto adapter = held.adapters.find(target.adapter);
    if (adapter == held.adapters.end()) {
      PlanAdapter(aNow, target, *best);
      return false;
    }
    if (adapter->second.isOrdered) {
      return false;
    }
    if (adapter->second.readyAt > aNow) {
      Wake(adapter->second.readyAt);
      return false;
    }
  }
  Grant(aNow, aWaiting, *best, std::get<Duration>(bestRank));
  return true;
}

void Dispatcher::Grant(TimePoint aNow,
                       const Waiting& aWaiting,
                       ManagedRunner& aRunner,
                       Duration aExpected)
{
  Note({ .event = "place_granted",
         .request = aWaiting.ask.requestId,
         .runner = aRunner.entry.id,
         .model = aWaiting.ask.work.target,
         .why = aNow - aWaiting.askedAt > kAdapterLoadTime ? "waited" : "at_once",
         .time = aExpected,
         .count = aRunner.inFlight });
  Occupy(aNow, aWaiting.ask, aRunner, aExpected);
  mActions.emplace_back(
    PlacementReply{ .id = aWaiting.ask.id, .answer = PlaceGranted{ aRunner.entry.id } });
}

void Dispatcher::Refuse(TimePoint aNow,
                        const Waiting& aWaiting,
                        ResultCode aCode,
                        std::string_view aWhy)
{
  Note({ .event = "place_refused",
         .request = aWaiting.ask.requestId,
         .runner = {},
         .model = aWaiting.ask.work.target,
         .why = aWhy,
         .time = aNow - aWaiting.askedAt,
         .count = mWaiting.size() });
  const bool isEarly = aCode == ResultCode::kReplicaUnavailable;
  mActions.emplace_back(PlacementReply{
    .id = aWaiting.ask.id,
    .answer = PlaceRefused{ .code = aCode,
                            .retryAfter = isEarly ? kRetryWithoutOrders : Duration::zero() } });
}

} // namespace rhubarbtrail::fleet

/* Sends orders to runners, one at a time to each, and finds out from answers and reports whether
 * they were carried out. */
#include "decision/fleet/dispatch_estimate.h"
#include "decision/fleet/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtrail::fleet {

namespace {

/* Pause before the next order after a conflict, and after a rejection or a fenced order. The first
 * is also the delay until an adapter load that the runner cannot get yet is tried again. */
constexpr Duration kConflictPause = 50ms;
constexpr Duration kRejectionPause = 1s;
/* Time that a runner needs to unload a model that no request uses. It refuses orders meanwhile. */
constexpr Duration kUnloadTime = 60ms;
/* Pause between reports while a change is awaited. Reports are some hundred milliseconds old. Also
 * the pause after an order that could not be sent. */
constexpr Duration kReportInterval = 110ms;
/* Age of an order from which a report reliably shows whether the order was accepted. */
constexpr Duration kReportLag = 400ms;
/* Time past the expected end of an order after which it counts as finished even if the report does
 * not show its effect. The reported holdings then replace the assumed ones. */
constexpr Duration kOrderTimeout = 20s;
/* Limit of adapter loads in progress at one runner. Runners allow four, and one load may take
 * longer than expected. */
constexpr std::size_t kMaxAdapterLoadsPerRunner = 3;
/* Limit of adapter loads in progress at all runners together: what the weight store serves at full
 * speed at the sites whose operators allow the fewest. */
constexpr std::size_t kMaxAdapterLoads = 8;
/* Time past the expected end of an adapter load during which the load still counts as in progress.
 * Each load takes longer while many run at once, and a runner limits the number in progress. */
constexpr Duration kAdapterLoadMargin = 130ms;
/* Margin added to the duration of a load before it counts as done without a report. The runner
 * starts the load before its answer arrives here, so the margin only covers its rounding. */
constexpr Duration kPresumedDoneMargin = 20ms;
/* A weight store load counts as slowed when it takes longer than this factor times the sum of its
 * expected duration and the report lag. The estimated number of concurrent loads at full speed
 * grows by the step when a load was not slowed although at least that number ran, up to the
 * maximum. */
constexpr double kSlowLoadFactor = 1.3;
constexpr double kStoreConcurrencyStep = 0.25;
constexpr double kMaxStoreConcurrency = 16.0;
/* Share of the allowed load rate that is used. The weight store counts loads at slightly different
 * times than the dispatcher. */
constexpr double kUsedLoadRateShare = 0.9;

bool IsLoading(TimePoint aNow, const HeldAdapter& aAdapter)
{
  return aAdapter.isOrdered || aNow < aAdapter.readyAt + kAdapterLoadMargin;
}

} // namespace

/* Returns whether a runner can be sent orders, regardless of an order that may be pending. */
bool Dispatcher::MayReceiveOrders(TimePoint aNow, const ManagedRunner& aRunner) const
{
  return mOrderPermission.mayOrder && aRunner.areHoldingsConfirmed &&
         aNow >= aRunner.ordersPausedUntil && IsUsable(aRunner) &&
         HasControlAllowance(aNow, aRunner);
}

bool Dispatcher::MayReceiveNewOrder(TimePoint aNow, const ManagedRunner& aRunner) const
{
  return !aRunner.order && !aRunner.adapterOrder && MayReceiveOrders(aNow, aRunner);
}

/* Load pattern: requests for adapters of a model that was just loaded. A runner refuses orders
 * about adapters while it loads a model, but a load that is presumed done need not be confirmed by
 * a report first. */
bool Dispatcher::MayReceiveAdapterOrder(TimePoint aNow, const ManagedRunner& aRunner) const
{
  return !aRunner.adapterOrder && (!aRunner.order || aRunner.order->isPresumedDone) &&
         MayReceiveOrders(aNow, aRunner);
}

/* Returns whether a load may be sent after the runner accepted a model unload but before a report
 * shows that it is done. Waiting for the report would take too long, since reports lag, and the
 * runner refuses the load if the unload is still in progress. */
bool Dispatcher::MayLoadAfterUnload(TimePoint aNow, const ManagedRunner& aRunner) const
{
  return MayReceiveOrders(aNow, aRunner) && aRunner.order &&
         aNow >= aRunner.lastOrderAt + kUnloadTime &&
         aRunner.order->phase == PendingOrder::Phase::kAccepted &&
         aRunner.order->order.kind == OrderKind::kUnload && !aRunner.adapterOrder;
}

/* Returns whether an adapter load of the model is in progress. Such a model must not be unloaded:
 * the adapter would keep using a slot until it is loaded, and the dispatcher would no longer track
 * it. */
bool Dispatcher::HasAdapterLoad(TimePoint aNow, const HeldModel& aModel)
{
  return std::any_of(aModel.adapters.begin(), aModel.adapters.end(), [&](const auto& aItem) {
    return IsLoading(aNow, aItem.second);
  });
}

void Dispatcher::OrderAdapter(TimePoint aNow, const ModelRef& aAdapter, ManagedRunner& aRunner)
{
  const Engine* engine = aRunner.engine;
  if (!MayReceiveAdapterOrder(aNow, aRunner) || engine == nullptr) {
    ScheduleTick(aNow + kConflictPause);
    return;
  }
  std::size_t held = aRunner.furtherAdapters;
  std::size_t loading = 0;
  std::optional<std::pair<TimePoint, ModelRef>> idle;
  for (const auto& [modelId, model] : aRunner.models) {
    for (const auto& [adapterId, adapter] : model.adapters) {
      ++held;
      const bool isLoading = IsLoading(aNow, adapter);
      loading += isLoading ? 1 : 0;
      const bool isIdle = adapter.inFlight == 0 && !isLoading;
      if (isIdle && (!idle || adapter.lastUsed < idle->first)) {
        idle = { adapter.lastUsed, { .model = modelId, .adapter = adapterId } };
      }
    }
  }
  if (loading >= kMaxAdapterLoadsPerRunner || CountAdapterLoads(aNow) >= kMaxAdapterLoads) {
    ScheduleTick(aNow + kAdapterLoadTime / 2);
    return;
  }
  if (held >= engine->adapterSlots) {
    if (idle) {
      SendOrder(
        aNow,
        aRunner,
        OrderKind::kUnload,
        idle->second,
        { .expectedDuration = Duration::zero(), .isFromStore = false, .why = "makes_room" });
    }
    return;
  }
  SendOrder(aNow,
            aRunner,
            OrderKind::kLoad,
            aAdapter,
            { .expectedDuration = kAdapterLoadTime, .isFromStore = false, .why = "asked_for" });
}

/* Returns the number of adapter loads in progress at all runners. Load pattern: requests for many
 * adapters at once. Each of them needs this number, so it is kept instead of counted at the
 * runners, and a load counts only until its expected end, which is much shorter than the margin
 * that one runner's limit needs. */
std::size_t Dispatcher::CountAdapterLoads(TimePoint aNow)
{
  std::erase_if(mAdapterLoadEnds, [aNow](TimePoint aEnd) { return aEnd <= aNow; });
  return mAdapterLoadEnds.size();
}

void Dispatcher::SendOrder(TimePoint aNow,
                           ManagedRunner& aRunner,
                           OrderKind aKind,
                           const ModelRef& aSubject,
                           const OrderDetails& aDetails)
{
  UseControlAllowance(aNow, aRunner);
  const RunnerOrder order{ .runner = aRunner.entry.id,
                           .address = aRunner.entry.address,
                           .kind = aKind,
                           .subject = aSubject,
                           .expectedOrderCount = aRunner.orderCount,
                           .holder = mOrderPermission.holder,
                           .fence = mOrderPermission.fence };
  PendingOrder pending{ .order = order,
                        .phase = PendingOrder::Phase::kSent,
                        .sentAt = aNow,
                        .expectedDoneAt = aNow + aDetails.expectedDuration,
                        .expectedDuration = aDetails.expectedDuration,
                        .durationWithoutMemoryCopy = aDetails.durationWithoutMemoryCopy,
                        .isFromStore = aDetails.isFromStore,
                        .otherStoreLoads = std::max<std::size_t>(CountStoreLoads(), 1) - 1 };
  if (aSubject.adapter.empty()) {
    if (aRunner.order) {
      pending.precedingUnload = aRunner.order->order.subject.model;
    }
    aRunner.order = std::move(pending);
  } else {
    aRunner.adapterOrder = std::move(pending);
  }
  if (aKind == OrderKind::kLoad && !aSubject.adapter.empty()) {
    mAdapterLoadEnds.push_back(aNow + kAdapterLoadTime);
    aRunner.models[aSubject.model].adapters[aSubject.adapter] = { .isOrdered = true,
                                                                  .lastUsed = aNow };
  }
  LogDecision({ .event = aKind == OrderKind::kLoad ? "load_ordered" : "unload_ordered",
                .request = {},
                .runner = aRunner.entry.id,
                .model = aSubject,
                .why = aDetails.why,
                .time = aDetails.expectedDuration,
                .count = aRunner.orderCount });
  mActions.emplace_back(order);
}

void Dispatcher::DropAdapterOrder(ManagedRunner& aRunner)
{
  const PendingOrder pending = *std::exchange(aRunner.adapterOrder, std::nullopt);
  const ModelRef subject = pending.order.subject;
  const auto held = aRunner.models.find(subject.model);
  if (held == aRunner.models.end()) {
    return;
  }
  const auto adapter = held->second.adapters.find(subject.adapter);
  if (adapter != held->second.adapters.end() && adapter->second.isOrdered) {
    held->second.adapters.erase(adapter); // Was added when the order was sent.
  }
}

void Dispatcher::OnOrderResult(TimePoint aNow, const RunnerOrder& aOrder, OrderOutcome aOutcome)
{
  const auto found = mRunners.find(aOrder.runner);
  if (found == mRunners.end()) {
    return;
  }
  ManagedRunner& runner = found->second;
  const bool isAdapter = !aOrder.subject.adapter.empty();
  auto& pending = isAdapter ? runner.adapterOrder : runner.order;
  if (!pending || pending->phase != PendingOrder::Phase::kSent || pending->order != aOrder) {
    return; // The runner restarted, or this daemon lost the order lease, since the order was sent.
  }
  const auto onNotAccepted = [&](Duration aPause) {
    if (isAdapter) {
      DropAdapterOrder(runner);
    } else {
      OnOrderNotAccepted(runner);
    }
    runner.ordersPausedUntil = aNow + aPause;
    ScheduleReport(aNow, runner);
  };
  switch (aOutcome) {
    case OrderOutcome::kAccepted:
      if (isAdapter) {
        OnAdapterOrderAccepted(aNow, runner);
      } else {
        OnAccepted(aNow, runner);
      }
      break;
    case OrderOutcome::kAlreadyDone:
      if (isAdapter) {
        OnAdapterOrderAlreadyDone(aNow, runner);
      } else {
        FinishOrder(aNow, runner);
        ScheduleReport(aNow + kReportInterval, runner);
      }
      break;
    case OrderOutcome::kConflict:
      onNotAccepted(kConflictPause);
      break;
    case OrderOutcome::kNotSent:
      onNotAccepted(kReportInterval);
      break;
    case OrderOutcome::kFenced:
    case OrderOutcome::kRejected:
      onNotAccepted(kRejectionPause);
      break;
    case OrderOutcome::kUnknown:
      runner.lastOrderAt = aNow;
      pending->phase = PendingOrder::Phase::kUnanswered;
      ScheduleReport(aNow, runner);
      break;
  }
}

/* The model order did not take effect: it conflicted with another order, was fenced or rejected, or
 * could not be sent. */
void Dispatcher::OnOrderNotAccepted(ManagedRunner& aRunner)
{
  const PendingOrder pending = *std::exchange(aRunner.order, std::nullopt);
  if (!pending.precedingUnload) {
    return;
  }
  // The preceding unload may still be in progress: make it the pending order again.
  PendingOrder unload{ .order = pending.order,
                       .phase = PendingOrder::Phase::kAccepted,
                       .sentAt = pending.sentAt,
                       .expectedDoneAt = pending.sentAt };
  unload.order.kind = OrderKind::kUnload;
  unload.order.subject = { .model = *pending.precedingUnload, .adapter = {} };
  unload.order.expectedOrderCount = pending.order.expectedOrderCount - 1;
  aRunner.order = std::move(unload);
}

void Dispatcher::OnAccepted(TimePoint aNow, ManagedRunner& aRunner)
{
  PendingOrder& pending = *aRunner.order;
  ++aRunner.orderCount;
  aRunner.lastOrderAt = aNow;
  mIsModelIndexStale = true;
  if (pending.precedingUnload) {
    aRunner.models.erase(*pending.precedingUnload);
    aRunner.cache.RemoveModel(*pending.precedingUnload);
    pending.precedingUnload.reset();
  }
  if (pending.isFromStore) {
    mStoreLoadStarts.push_back(aNow);
  }
  pending.phase = PendingOrder::Phase::kAccepted;
  pending.expectedDoneAt = aNow + (pending.expectedDoneAt - pending.sentAt);
  if (pending.order.kind == OrderKind::kLoad && !pending.isFromStore) {
    pending.presumedDoneAt = aNow + pending.durationWithoutMemoryCopy + kPresumedDoneMargin;
    ScheduleTick(*pending.presumedDoneAt);
  }
  if (pending.order.kind == OrderKind::kUnload) {
    ScheduleTick(aNow + kUnloadTime);
  }
  ScheduleReport(std::max(pending.expectedDoneAt, aNow + kReportInterval), aRunner);
}

void Dispatcher::OnAdapterOrderAccepted(TimePoint aNow, ManagedRunner& aRunner)
{
  const RunnerOrder order = std::exchange(aRunner.adapterOrder, std::nullopt)->order;
  ++aRunner.orderCount;
  aRunner.lastOrderAt = aNow;
  const auto held = aRunner.models.find(order.subject.model);
  if (held == aRunner.models.end()) {
    RequireReport(aNow, aRunner); // The runner holds a model that is not assumed.
    return;
  }
  HeldAdapter& adapter = held->second.adapters[order.subject.adapter];
  if (order.kind == OrderKind::kLoad) {
    adapter = { .readyAt = aNow + kAdapterLoadTime, .lastUsed = aNow };
    return;
  }
  // The runner accepted the unload instead of finishing it at once, so requests unknown to the
  // dispatcher still use the adapter. Its slot counts as taken until a report shows it gone.
  adapter.isOrdered = true;
  ScheduleReport(aNow + kReportLag, aRunner);
}

/* The runner answered that the ordered state of an adapter already holds. */
void Dispatcher::OnAdapterOrderAlreadyDone(TimePoint aNow, ManagedRunner& aRunner)
{
  const RunnerOrder order = aRunner.adapterOrder->order;
  if (const auto held = aRunner.models.find(order.subject.model); held != aRunner.models.end()) {
    if (order.kind == OrderKind::kLoad) {
      held->second.adapters[order.subject.adapter] = { .readyAt = aNow, .lastUsed = aNow };
      RequireReport(aNow, aRunner); // It was not assumed, so others may be missing too.
    } else {
      held->second.adapters.erase(order.subject.adapter);
      ++aRunner.orderCount; // The runner also counts an unload that it finishes at once.
      aRunner.lastOrderAt = aNow;
    }
  }
  DropAdapterOrder(aRunner);
}

/* Treats the pending model order as carried out: removes it and updates the assumed holdings. */
void Dispatcher::FinishOrder(TimePoint aNow, ManagedRunner& aRunner)
{
  const PendingOrder pending = *std::exchange(aRunner.order, std::nullopt);
  const ModelId model = pending.order.subject.model;
  mIsModelIndexStale = true;
  if (pending.order.kind == OrderKind::kLoad) {
    AdjustStoreConcurrency(pending, aNow - pending.sentAt);
    const bool isNew = !aRunner.models.contains(model);
    aRunner.models[model].lastUsed = aNow;
    if (isNew) {
      StartWindow(aNow, aRunner, model, aRunner.models[model].window, "model_loaded");
    }
    aRunner.inHostMemory.insert(model);
    aRunner.onDisk.insert(model);
  } else {
    aRunner.models.erase(model);
    aRunner.cache.RemoveModel(model);
  }
  LogDecision({ .event = "order_finished",
                .request = {},
                .runner = aRunner.entry.id,
                .model = pending.order.subject,
                .why = pending.order.kind == OrderKind::kLoad ? "loaded" : "unloaded",
                .time = aNow - pending.sentAt,
                .count = aRunner.orderCount });
}

/* Treats model loads from a runner's disk or host memory as done once the load time from disk has
 * passed. Load pattern: many models swapped in from the runners' disks. Such loads take as long as
 * configured, and reports are some hundred milliseconds old, so waiting for a report would delay
 * callers. */
void Dispatcher::PresumeLoads(TimePoint aNow)
{
  for (auto& [id, runner] : mRunners) {
    if (!runner.order || !runner.order->presumedDoneAt || runner.order->isPresumedDone) {
      continue;
    }
    PendingOrder& pending = *runner.order;
    if (*pending.presumedDoneAt > aNow) {
      ScheduleTick(*pending.presumedDoneAt);
      continue;
    }
    pending.isPresumedDone = true;
    mIsModelIndexStale = true;
    HeldModel& held = runner.models[pending.order.subject.model];
    held.lastUsed = aNow;
    StartWindow(aNow, runner, pending.order.subject.model, held.window, "model_loaded");
    LogDecision({ .event = "load_presumed",
                  .request = {},
                  .runner = id,
                  .model = pending.order.subject,
                  .why = "time_passed",
                  .time = aNow - pending.sentAt,
                  .count = runner.orderCount });
  }
}

/* Called when a runner refuses a request. A load of the model that was presumed done counts as in
 * progress again, unless the runner has accepted adapters of the model: those keep their slots, and
 * the refusal has another reason. */
void Dispatcher::RevokePresumedLoad(ManagedRunner& aRunner, const ModelId& aModel)
{
  if (!aRunner.order || !aRunner.order->isPresumedDone ||
      aRunner.order->order.subject.model != aModel) {
    return;
  }
  const auto held = aRunner.models.find(aModel);
  if (held != aRunner.models.end() && !held->second.adapters.empty()) {
    return;
  }
  aRunner.order->presumedDoneAt.reset();
  aRunner.order->isPresumedDone = false;
  aRunner.models.erase(aModel);
  mIsModelIndexStale = true;
}

void Dispatcher::ScheduleReport(TimePoint aAt, ManagedRunner& aRunner)
{
  aRunner.nextReportAt = aRunner.nextReportAt ? std::min(*aRunner.nextReportAt, aAt) : aAt;
  ScheduleTick(aAt);
}

/* Stops orders to the runner until a report has been adopted. */
void Dispatcher::RequireReport(TimePoint aNow, ManagedRunner& aRunner)
{
  aRunner.areHoldingsConfirmed = false;
  ScheduleReport(aNow, aRunner);
}

void Dispatcher::RequestDueReports(TimePoint aNow)
{
  for (auto& [id, runner] : mRunners) {
    if (runner.isGone || runner.engine == nullptr || runner.isReportRequested) {
      continue;
    }
    if (!runner.areHoldingsConfirmed && !runner.nextReportAt) {
      ScheduleReport(aNow, runner);
    }
    if (!runner.nextReportAt) {
      continue;
    }
    if (*runner.nextReportAt > aNow) {
      ScheduleTick(*runner.nextReportAt);
      continue;
    }
    if (!HasControlAllowance(aNow, runner)) {
      ScheduleTick(aNow + runner.limitedTraffic->control.TimeUntil(aNow, 1));
      continue;
    }
    if (runner.limitedTraffic) {
      UseControlAllowance(aNow, runner);
      LogDecision({ .event = "report_requested",
                    .request = {},
                    .runner = id,
                    .model = {},
                    .why = "runner_is_limited",
                    .time = aNow - runner.lastOrderAt,
                    .count = runner.orderCount });
    }
    runner.nextReportAt.reset();
    runner.isReportRequested = true;
    runner.reportRequestedAt = aNow;
    mActions.emplace_back(ReportRequest{ .runner = id, .address = runner.entry.address });
  }
}

void Dispatcher::OnReport(TimePoint aNow, const EndpointId& aRunner, const RunnerReport* aReport)
{
  const auto found = mRunners.find(aRunner);
  if (found == mRunners.end()) {
    return;
  }
  ManagedRunner& runner = found->second;
  runner.isReportRequested = false;
  if (aReport == nullptr) {
    // A report that fell due during the call must not follow at once: the host may be lost.
    runner.nextReportAt.reset();
    ScheduleReport(aNow + kReportLag, runner);
    return;
  }
  if (aReport->startedAtMs < runner.entry.startedAtMs) {
    ScheduleReport(aNow + kReportLag,
                   runner); // The report is from before the runner's last restart.
    return;
  }
  runner.unreachableSince.reset();
  runner.lastReportAt = aNow;
  if (aReport->startedAtMs > runner.entry.startedAtMs) {
    RunnerEntry entry = runner.entry; // The runner restarted and its entry is still the old one.
    entry.startedAtMs = aReport->startedAtMs;
    entry.softwareVersion = {}; // The new process may have another version.
    entry.holdings = aReport->holdings;
    ResetRunner(aNow, runner, entry);
  }
  LogDecision({ .event = "report_read",
                .request = {},
                .runner = aRunner,
                .model = {},
                .why = aReport->isBusy ? "busy" : "idle",
                .time = aNow - runner.lastOrderAt,
                .count = aReport->orderCount });
  if (aReport->isBusy && !runner.order) {
    // The runner may carry out a load of a former holder, or one of this daemon whose answer was
    // lost. The report does not list that model yet, so there may be less free memory than it
    // shows.
    runner.areHoldingsConfirmed = false;
  }
  if (runner.adapterOrder) {
    ResolveAdapterOrderByReport(aNow, runner, *aReport);
    if (runner.adapterOrder) {
      if (runner.order || !runner.areHoldingsConfirmed) {
        ScheduleReport(aNow + kReportInterval, runner);
      }
      return;
    }
  }
  if (runner.order) {
    ResolveOrderByReport(aNow, runner, *aReport);
    return;
  }
  AdoptReport(aNow, runner, *aReport);
}

/* Returns whether a report may be from before the last accepted order. One that was requested long
 * enough after that order is not: the runner has accepted fewer orders than assumed. */
bool Dispatcher::IsOutdated(const ManagedRunner& aRunner, const RunnerReport& aReport)
{
  return aReport.orderCount < aRunner.orderCount &&
         aRunner.reportRequestedAt - aRunner.lastOrderAt < kReportLag;
}

/* Replaces what is assumed of a runner by a report, or requests another one if this one is
 * outdated. Holdings and order count are only replaced together: the runner refuses orders with
 * another count, so it never carries out an order that was decided by the holdings of another
 * moment.
 *
 * Load pattern: a runner states once that it holds far more than fits. No unload makes room then,
 * so no order follows whose answer would correct it. */
void Dispatcher::AdoptReport(TimePoint aNow, ManagedRunner& aRunner, const RunnerReport& aReport)
{
  const bool isOutdated = IsOutdated(aRunner, aReport);
  if (!isOutdated) {
    aRunner.orderCount = aReport.orderCount;
    AdoptHoldings(aNow, aRunner, aReport.holdings);
    aRunner.areHoldingsConfirmed = !aReport.isBusy;
    aRunner.isReported = true;
  }
  std::size_t adapters = 0;
  for (const auto& [id, model] : aRunner.models) {
    adapters += model.adapters.size();
  }
  LogDecision({ .event = isOutdated ? "report_outdated" : "holdings_adopted",
                .request = {},
                .runner = aRunner.entry.id,
                .model = {},
                .why = aRunner.areHoldingsConfirmed ? "confirmed" : "unconfirmed",
                .time = aNow - aRunner.reportRequestedAt,
                .count = adapters });
  if (isOutdated || aReport.isBusy) {
    ScheduleReport(aNow + kReportInterval, aRunner);
  } else if (HoldsMoreThanFits(aRunner)) {
    ScheduleReport(aNow + aRunner.doubtfulReportPause, aRunner);
    aRunner.doubtfulReportPause =
      std::min(2 * aRunner.doubtfulReportPause, kMaxDoubtfulReportPause);
  } else {
    aRunner.doubtfulReportPause = kMinDoubtfulReportPause;
  }
}

/* Finds out whether an adapter order without an answer was accepted. */
void Dispatcher::ResolveAdapterOrderByReport(TimePoint aNow,
                                             ManagedRunner& aRunner,
                                             const RunnerReport& aReport)
{
  const PendingOrder& pending = *aRunner.adapterOrder;
  if (pending.phase == PendingOrder::Phase::kSent) {
    return;
  }
  if (aReport.orderCount > pending.order.expectedOrderCount) {
    // The runner has accepted this order or another one that was late. The report tells which.
    aRunner.adapterOrder.reset();
    return;
  }
  if (aRunner.reportRequestedAt - pending.sentAt < kReportLag) {
    ScheduleReport(pending.sentAt + kReportLag, aRunner);
    return;
  }
  // If the order still reaches the runner after the next one was accepted, its expected order count
  // is out of date and the runner refuses it.
  LogUnanswered(aNow, pending, aReport, "not_accepted");
  DropAdapterOrder(aRunner);
}

void Dispatcher::ResolveOrderByReport(TimePoint aNow,
                                      ManagedRunner& aRunner,
                                      const RunnerReport& aReport)
{
  const PendingOrder& pending = *aRunner.order;
  if (pending.phase == PendingOrder::Phase::kSent) {
    return;
  }
  const bool isUnanswered = pending.phase == PendingOrder::Phase::kUnanswered;
  const bool hasOrderCountIncreased = aReport.orderCount > pending.order.expectedOrderCount;
  if (isUnanswered && !hasOrderCountIncreased &&
      aRunner.reportRequestedAt - pending.sentAt < kReportLag) {
    ScheduleReport(pending.sentAt + kReportLag, aRunner);
    return;
  }
  if (isUnanswered && !hasOrderCountIncreased) {
    // If the order still reaches the runner after the next one was accepted, its expected order
    // count is out of date and the runner refuses it.
    AbandonOrder(aNow, aRunner, aReport, "not_accepted");
    return;
  }
  const bool isHeld = aReport.holdings.models.contains(pending.order.subject.model);
  const bool hasEffect = isHeld == (pending.order.kind == OrderKind::kLoad);
  if (isUnanswered && !aReport.isBusy && !hasEffect) {
    // An earlier unanswered order was carried out late and increased the count. The runner will
    // refuse this one, whose expected order count is out of date.
    AbandonOrder(aNow, aRunner, aReport, "overtaken");
    return;
  }
  const bool isDone = !aReport.isBusy && hasOrderCountIncreased && hasEffect;
  if (!isDone && aNow - pending.expectedDoneAt <= kOrderTimeout) {
    if (!isUnanswered && aReport.orderCount >= aRunner.orderCount) {
      const bool isOwnOrderLast = aReport.orderCount == aRunner.orderCount;
      AdoptReport(aNow, aRunner, aReport);
      aRunner.areHoldingsConfirmed = isOwnOrderLast || !aReport.isBusy;
    }
    ScheduleReport(aNow + kReportInterval, aRunner);
    return;
  }
  FinishOrder(aNow, aRunner);
  AdoptReport(aNow, aRunner, aReport); // Outdated if an adapter order was accepted since.
}

/* Drops an unanswered model order that was not carried out and adopts the reported state. */
void Dispatcher::AbandonOrder(TimePoint aNow,
                              ManagedRunner& aRunner,
                              const RunnerReport& aReport,
                              std::string_view aWhy)
{
  LogUnanswered(aNow, *aRunner.order, aReport, aWhy);
  aRunner.order.reset();
  AdoptReport(aNow, aRunner, aReport);
}

void Dispatcher::LogUnanswered(TimePoint aNow,
                               const PendingOrder& aPending,
                               const RunnerReport& aReport,
                               std::string_view aWhy)
{
  LogDecision({ .event = "order_unanswered",
                .request = {},
                .runner = aPending.order.runner,
                .model = aPending.order.subject,
                .why = aWhy,
                .time = aNow - aPending.sentAt,
                .count = aReport.orderCount });
}

/* Returns the number of runners that load a model from the weight store or have such a load
 * planned. */
std::size_t Dispatcher::CountStoreLoads() const
{
  return static_cast<std::size_t>(
    std::count_if(mRunners.begin(), mRunners.end(), [this](const auto& aItem) {
      const Swap* swap = PlannedSwap(aItem.first);
      return (aItem.second.order && aItem.second.order->isFromStore) ||
             (swap != nullptr && swap->isFromStore);
    }));
}

/* Adjusts the estimated number of concurrent weight store loads at full speed by how long a load
 * took. Load pattern: many cold models at once. Beyond that number, each load takes proportionally
 * longer, so that further loads only delay all of them. */
void Dispatcher::AdjustStoreConcurrency(const PendingOrder& aLoad, Duration aTook)
{
  if (!aLoad.isFromStore || aLoad.expectedDuration <= Duration::zero()) {
    return;
  }
  const double slowdown = static_cast<double>(aTook.count()) /
                          static_cast<double>((aLoad.expectedDuration + kReportLag).count());
  const double loads = static_cast<double>(aLoad.otherStoreLoads) + 1.0;
  if (slowdown > kSlowLoadFactor) {
    mStoreConcurrency = std::max(1.0, std::min(mStoreConcurrency, loads / slowdown));
  } else if (loads >= std::floor(mStoreConcurrency)) {
    mStoreConcurrency = std::min(mStoreConcurrency + kStoreConcurrencyStep, kMaxStoreConcurrency);
  }
}

/* Returns whether one more load from the weight store stays within the estimated number of
 * concurrent loads at full speed and within the configured load rate. */
bool Dispatcher::MayLoadFromStore(TimePoint aNow, const Engine& aEngine) const
{
  const auto loadCount = static_cast<double>(CountStoreLoads());
  const auto recent = static_cast<double>(
    std::count_if(mStoreLoadStarts.begin(), mStoreLoadStarts.end(), [&](TimePoint aTime) {
      return aNow - aTime < mStoreLimits.window;
    }));
  const double seconds = std::chrono::duration<double>(mStoreLimits.window).count();
  const double limit = kUsedLoadRateShare * mStoreLimits.overage * aEngine.loadsPerSecond * seconds;
  return loadCount + 1.0 <= std::max(mStoreConcurrency, 1.0) &&
         recent + 1.0 <= std::max(limit, 1.0);
}

} // namespace rhubarbtrail::fleet

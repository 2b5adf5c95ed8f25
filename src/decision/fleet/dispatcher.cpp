/* The dispatcher's state: runners, waiting placement requests and assignments. */
#include "decision/fleet/dispatcher.h"

#include "decision/fleet/dispatch_estimate.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* Longest time between two ticks while requests wait or swaps are planned, and otherwise. */
constexpr Duration kWatchInterval = 100ms;
constexpr Duration kIdleInterval = 500ms;
/* Delay of the report request after a runner refused a request. Reports lag behind the runner's
 * state. One requested after this time shows the state at the refusal or later. */
constexpr Duration kDoubtTime = 150ms;

EndpointSign SignOf(PlaceEnd aEnd)
{
  switch (aEnd) {
    case PlaceEnd::kDone:
      return EndpointSign::kGood;
    case PlaceEnd::kRefused:
      return EndpointSign::kRefused;
    case PlaceEnd::kFailed:
    case PlaceEnd::kLost:
      return EndpointSign::kFailed;
    case PlaceEnd::kWithdrawn:
      return EndpointSign::kCancelled;
  }
  return EndpointSign::kCancelled;
}

} // namespace

void Dispatcher::SetConfiguration(std::shared_ptr<const FleetConfiguration> aConfiguration)
{
  mConfiguration = std::move(aConfiguration);
  mRooms.clear();
  for (const auto& [id, service] : mConfiguration->services) {
    if (service.engine) {
      mRooms.emplace(id, RoomOf(*service.engine));
    }
  }
  for (auto& [id, runner] : mRunners) {
    SetEngine(runner);
  }
}

/* Called once per service and configuration, since planning needs the result for every runner. */
EngineRoom Dispatcher::RoomOf(const Engine& aEngine)
{
  EngineRoom room{ .smallest = aEngine.weights };
  MemoryMb largestAdapter;
  for (const auto& [id, model] : aEngine.models) {
    room.largest = std::max(room.largest, model.weights);
    room.smallest = std::min(room.smallest, model.weights);
    if (model.adapters > 0) {
      largestAdapter = std::max(largestAdapter, model.adapterWeights);
    }
  }
  // Memory for a full set of the largest adapters is reserved, so that loading an adapter never
  // overcommits the runner.
  room.models = aEngine.weights -
                MemoryMb{ largestAdapter.value * static_cast<std::int64_t>(aEngine.adapterSlots) };
  return room;
}

void Dispatcher::SetEngine(ManagedRunner& aRunner) const
{
  aRunner.engine = EngineOf(aRunner.entry.service);
  const auto room = mRooms.find(aRunner.entry.service);
  aRunner.room = room == mRooms.end() ? EngineRoom{} : room->second;
  aRunner.cache.SetCapacity(aRunner.engine == nullptr ? 0 : aRunner.engine->cacheTokens);
}

void Dispatcher::SetOrderRight(const OrderRight& aRight)
{
  if (aRight.fence != mRight.fence) {
    // Another daemon may have sent orders since this daemon last held the lease.
    for (auto& [id, runner] : mRunners) {
      runner.isVerified = false;
      runner.order.reset();
    }
    ForgetSwaps();
  }
  mRight = aRight;
}

void Dispatcher::ForgetSwaps()
{
  mSwaps.clear();
  for (auto& [id, runner] : mRunners) {
    for (auto& [model, held] : runner.models) {
      held.isLeaving = false;
    }
  }
}

const Engine* Dispatcher::EngineOf(const ServiceId& aService) const
{
  const Service* service = mConfiguration ? mConfiguration->Find(aService) : nullptr;
  return service != nullptr && service->engine ? &*service->engine : nullptr;
}

void Dispatcher::Wake(TimePoint aTime)
{
  mNextWake = std::min(mNextWake, aTime);
}

void Dispatcher::Reset(TimePoint aNow, ManagedRunner& aRunner, const RunnerEntry& aEntry)
{
  aRunner = {};
  aRunner.entry = aEntry;
  SetEngine(aRunner);
  std::erase_if(mPlaces, [&](const auto& aItem) { return aItem.second.runner == aEntry.id; });
  mSwaps.erase(aEntry.id);
  AdoptHoldings(aNow, aRunner, aEntry.holdings);
}

void Dispatcher::OnRunner(TimePoint aNow, const RunnerEntry& aEntry)
{
  ManagedRunner& runner = mRunners[aEntry.id];
  const bool isOther = runner.entry.id.empty() || runner.entry.address != aEntry.address ||
                       runner.entry.startedAtMs != aEntry.startedAtMs ||
                       runner.entry.service != aEntry.service;
  if (isOther) {
    Reset(aNow, runner, aEntry);
    return;
  }
  runner.entry = aEntry;
  runner.isGone = false;
  // An entry does not tell which orders it already reflects, so it does not replace holdings that a
  // report has confirmed. A new report is requested instead.
  if (!runner.isVerified) {
    AdoptHoldings(aNow, runner, aEntry.holdings);
  } else {
    WantReport(aNow, runner);
  }
}

void Dispatcher::OnRunnerGone(const EndpointId& aRunner)
{
  if (const auto found = mRunners.find(aRunner); found != mRunners.end()) {
    found->second.isGone = true;
    mSwaps.erase(aRunner);
    if (found->second.inFlight == 0) {
      mIsIndexStale = true;
      mRunners.erase(found);
    }
  }
}

void Dispatcher::AdoptHoldings(TimePoint aNow,
                               ManagedRunner& aRunner,
                               const RunnerHoldings& aHoldings)
{
  mIsIndexStale = true;
  std::erase_if(aRunner.models, [&](const auto& aItem) {
    const bool isHeld = aHoldings.models.contains(aItem.first);
    if (!isHeld) {
      aRunner.cache.Drop(aItem.first);
    }
    return !isHeld;
  });
  for (const auto& item : aHoldings.models) {
    const ModelId& model = item.first;
    const std::set<AdapterId>& adapters = item.second;
    HeldModel& held = aRunner.models[model];
    std::erase_if(held.adapters, [&](const auto& aItem) {
      return !adapters.contains(aItem.first) &&
             !aHoldings.arriving.contains({ .model = model, .adapter = aItem.first });
    });
    for (const AdapterId& adapter : adapters) {
      HeldAdapter& known = held.adapters[adapter];
      known.isOrdered = false;
      known.readyAt = std::min(known.readyAt, aNow);
    }
  }
  for (const ModelRef& arriving : aHoldings.arriving) {
    if (const auto held = aRunner.models.find(arriving.model); held != aRunner.models.end()) {
      held->second.adapters.try_emplace(arriving.adapter,
                                        HeldAdapter{ .readyAt = aNow + kAdapterLoadTime });
    }
  }
  aRunner.inHostMemory = aHoldings.inHostMemory;
  aRunner.onDisk = aHoldings.onDisk;
}

void Dispatcher::OnAsk(TimePoint aNow, const PlacementAsk& aAsk, const ZoneId& aZone)
{
  if (const auto known = mPlaces.find(aAsk.id); known != mPlaces.end()) {
    // A repeated request is already assigned: the first reply was lost with a connection.
    mActions.emplace_back(
      PlacementReply{ .id = aAsk.id, .answer = PlaceGranted{ known->second.runner } });
    return;
  }
  const bool isKnown = std::any_of(mWaiting.begin(), mWaiting.end(), [&](const Waiting& aItem) {
    return aItem.ask.id == aAsk.id;
  });
  if (isKnown) {
    return;
  }
  const ModelId& model = aAsk.work.target.model;
  const double factor = mPaces.Factor(model);
  mDemand.Note(aNow, model, ScaleBy(EstimateWork(aAsk.work), factor));
  // Load pattern: bursts at several hosts at once. The most urgent requests of all hosts go first.
  const auto place = std::upper_bound(
    mWaiting.begin(),
    mWaiting.end(),
    aAsk.priority,
    [](std::uint32_t aPriority, const Waiting& aItem) { return aPriority < aItem.ask.priority; });
  mWaiting.insert(
    place, { .ask = aAsk, .zone = aZone, .askedAt = aNow, .deadline = aNow + aAsk.timeLeft });
}

void Dispatcher::OnReleased(TimePoint aNow, const PlaceReleased& aReleased)
{
  std::erase_if(mWaiting, [&](const Waiting& aItem) { return aItem.ask.id == aReleased.id; });
  const auto place = mPlaces.find(aReleased.id);
  if (place == mPlaces.end()) {
    return;
  }
  if (place->second.model.adapter.empty() && place->second.expected > Duration::zero()) {
    mPaces.Note(place->second.model.model, place->second.expected, aReleased.firstEvent);
  }
  const auto runner = mRunners.find(place->second.runner);
  if (runner != mRunners.end()) {
    runner->second.health.Note(aNow, SignOf(aReleased.end));
    if (aReleased.end == PlaceEnd::kRefused) {
      // The runner may not hold what is assumed. It gets no orders until a report confirms its
      // state.
      const ModelRef target = place->second.model;
      DoubtLoad(runner->second, target.model);
      const auto held = runner->second.models.find(target.model);
      if (held != runner->second.models.end() && held->second.adapters.contains(target.adapter)) {
        HeldAdapter& adapter = held->second.adapters[target.adapter];
        adapter.readyAt = std::max(adapter.readyAt, aNow + kDoubtTime);
      }
      runner->second.isVerified = false;
      WantReport(aNow + kDoubtTime, runner->second);
    }
  }
  Free(aNow, aReleased.id);
}

void Dispatcher::OnPlaceInUse(TimePoint aNow, const PlaceInUse& aPlace)
{
  const auto runner = mRunners.find(aPlace.runner);
  if (runner != mRunners.end() && !mPlaces.contains(aPlace.ask.id)) {
    Occupy(aNow, aPlace.ask, runner->second, Duration::zero());
  }
}

void Dispatcher::OnDaemonLost(const DaemonId& aDaemon)
{
  std::erase_if(mWaiting, [&](const Waiting& aItem) { return aItem.ask.id.daemon == aDaemon; });
  FreePlacesOf(aDaemon);
}

void Dispatcher::FreePlacesOf(const std::optional<DaemonId>& aDaemon)
{
  std::vector<AskId> places;
  for (const auto& [id, place] : mPlaces) {
    if (!aDaemon || id.daemon == *aDaemon) {
      places.push_back(id);
    }
  }
  for (const AskId& id : places) {
    Free({}, id);
  }
}

void Dispatcher::Clear()
{
  mWaiting.clear();
  ForgetSwaps();
  FreePlacesOf(std::nullopt);
  for (auto& [id, runner] : mRunners) {
    runner.order.reset();
    runner.isVerified = false;
    runner.reportAt.reset();
  }
}

void Dispatcher::Occupy(TimePoint aNow,
                        const PlacementAsk& aAsk,
                        ManagedRunner& aRunner,
                        Duration aExpected)
{
  const ModelRef& target = aAsk.work.target;
  const Place place{ .runner = aRunner.entry.id,
                     .model = target,
                     .tokens = aAsk.work.promptTokens + aAsk.work.outputTokens,
                     .expected = aExpected };
  mPlaces.insert_or_assign(aAsk.id, place);
  ++aRunner.inFlight;
  aRunner.tokens += place.tokens;
  const std::uint32_t kept = aRunner.cache.KeptTokens(aAsk.work);
  const Duration reading =
    ReadingTime(aAsk.work.promptTokens - std::min(kept, aAsk.work.promptTokens));
  aRunner.readingUntil =
    std::max(aRunner.readingUntil, aNow) + ScaleBy(reading, mPaces.Factor(target.model));
  aRunner.cache.Note(aAsk.work);
  if (const auto held = aRunner.models.find(target.model); held != aRunner.models.end()) {
    ++held->second.inFlight;
    held->second.lastUsed = aNow;
    if (const auto adapter = held->second.adapters.find(target.adapter);
        adapter != held->second.adapters.end()) {
      ++adapter->second.inFlight;
      adapter->second.lastUsed = aNow;
    }
  }
}

void Dispatcher::Free(TimePoint aNow, const AskId& aAsk)
{
  const auto found = mPlaces.find(aAsk);
  if (found == mPlaces.end()) {
    return;
  }
  const Place place = found->second;
  mPlaces.erase(found);
  const auto runner = mRunners.find(place.runner);
  if (runner == mRunners.end()) {
    return;
  }
  const auto decrement = [](auto& aCount, auto aBy) { aCount -= std::min(aCount, aBy); };
  decrement(runner->second.inFlight, 1U);
  decrement(runner->second.tokens, place.tokens);
  const auto held = runner->second.models.find(place.model.model);
  if (held != runner->second.models.end()) {
    decrement(held->second.inFlight, 1U);
    held->second.lastUsed = std::max(held->second.lastUsed, aNow);
    if (const auto adapter = held->second.adapters.find(place.model.adapter);
        adapter != held->second.adapters.end()) {
      decrement(adapter->second.inFlight, 1U);
    }
  }
  if (runner->second.isGone && runner->second.inFlight == 0) {
    mIsIndexStale = true;
    mRunners.erase(runner);
  }
}

std::vector<DispatchAction> Dispatcher::Tick(TimePoint aNow)
{
  NoteComing();
  mNextWake = aNow + (mWaiting.empty() && mSwaps.empty() ? kIdleInterval : kWatchInterval);
  while (!mStoreLoads.empty() && aNow - mStoreLoads.front() > mStoreLimits.window) {
    mStoreLoads.pop_front();
  }
  PresumeLoads(aNow);
  ServeWaiting(aNow);
  if (mRight.mayOrder) {
    PlanModels(aNow);
    FollowSwaps(aNow);
    FollowReports(aNow);
  }
  return std::exchange(mActions, {});
}

} // namespace rhubarbtrail::fleet

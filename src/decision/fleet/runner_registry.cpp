/* The endpoints that a daemon knows, with their last known state. */
#include "decision/fleet/runner_registry.h"

#include "decision/fleet/endpoint_choice.h"
#include "decision/rendezvous_func.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace rhubarbtrail::fleet {

namespace {

/* Age at which a load that an endpoint reported is no longer used. */
constexpr Duration kMaxReportedLoadAge = 400ms;
/* Time constant with which a reported load loses its weight in the choice by slowness. */
constexpr Duration kReportedLoadLifetime = 400ms;
/* Time for which an endpoint without an entry is kept, so that answers still in flight find it. */
constexpr Duration kRemovedRunnerRetention = 60s;

bool HasLoaded(const RunnerEntry& aEntry, const ModelRef& aModel)
{
  const LoadedModels& models = aEntry.holdings.models;
  return aModel.adapter.empty() ? models.contains(aModel.model)
                                : models.contains(aModel.model, aModel.adapter);
}

} // namespace

RunnerRegistry::Change RunnerRegistry::Apply(TimePoint aNow, RunnerEntry aEntry)
{
  const EndpointId id = aEntry.id;
  const auto found = mRunners.find(id);
  if (found == mRunners.end()) {
    const auto added =
      mRunners.emplace(id, KnownRunner{ .entry = std::move(aEntry), .changedAt = aNow }).first;
    StartWindow(aNow, added->second);
    return Change::kJoined;
  }
  KnownRunner& runner = found->second;
  const bool isRestarted = aEntry.startedAtMs != runner.entry.startedAtMs ||
                           aEntry.address != runner.entry.address ||
                           aEntry.service != runner.entry.service;
  const bool isLeaving =
    aEntry.state == RunnerState::kDraining && runner.entry.state != RunnerState::kDraining;
  RunnerEntry former = std::exchange(runner.entry, std::move(aEntry));
  former.holdings = runner.entry.holdings;
  former.writeNumber = runner.entry.writeNumber;
  const bool isOnlyHoldings = former == runner.entry && !runner.missingSince;
  runner.changedAt = aNow;
  if (runner.missingSince || isRestarted) {
    StartWindow(aNow, runner);
  }
  runner.missingSince.reset();
  if (isRestarted) {
    mFormerVersions[former.service][former.softwareVersion] = aNow;
    runner.load = {};
    runner.loadReportedAt = {};
    runner.slowness = {};
    runner.health.Reset();
    runner.saysLeaving = false;
    runner.limit = {};
    runner.ownShare.reset();
    runner.pausedUntil = {};
    return Change::kRestarted;
  }
  if (isLeaving) {
    return Change::kLeaving;
  }
  return isOnlyHoldings ? Change::kHoldings : Change::kUpdated;
}

/* Load pattern: the store answers no heartbeat of a leaving endpoint and performs one seconds
 * later, over the entry with its leaving. Every host would send it requests until it stops. */
bool RunnerRegistry::IsSuperseded(TimePoint aNow, const RunnerEntry& aEntry) const
{
  const auto found = mRunners.find(aEntry.id);
  if (found == mRunners.end()) {
    return false;
  }
  const RunnerEntry& known = found->second.entry;
  const auto order = [](const RunnerEntry& aItem) {
    return std::tuple{ aItem.startedAtMs, aItem.writeNumber };
  };
  if (order(aEntry) != order(known)) {
    return order(aEntry) < order(known);
  }
  const bool isRestored = mStoreRestoredAt && aNow - *mStoreRestoredAt < kExpiredEntryGracePeriod;
  return isRestored && known.state == RunnerState::kDraining && aEntry.state == RunnerState::kReady;
}

void RunnerRegistry::Remove(TimePoint aNow, const EndpointId& aRunner)
{
  const auto found = mRunners.find(aRunner);
  if (found != mRunners.end() && !found->second.missingSince) {
    found->second.missingSince = aNow;
    found->second.mayReturn = !IsStoreStable(aNow);
    const RunnerEntry& entry = found->second.entry;
    mFormerVersions[entry.service][entry.softwareVersion] = aNow;
  }
}

void RunnerRegistry::OnStoreUnreachable(TimePoint aNow)
{
  // An outage makes only those entries doubtful that expire from now on.
  for (auto& [id, runner] : mRunners) {
    runner.mayReturn = runner.mayReturn && !IsGone(aNow, runner);
  }
  mStoreReachableSince.reset();
}

void RunnerRegistry::ForgetGone(TimePoint aNow)
{
  for (auto& [id, runner] : mRunners) {
    if (IsGone(aNow, runner)) {
      runner.entry.holdings = {};
    }
  }
  std::erase_if(mRunners, [&](const auto& aItem) {
    const KnownRunner& runner = aItem.second;
    return runner.missingSince && runner.inFlight == 0 &&
           aNow - *runner.missingSince > kRemovedRunnerRetention;
  });
  for (auto& [service, versions] : mFormerVersions) {
    std::erase_if(versions,
                  [&](const auto& aItem) { return aNow - aItem.second > kStreamRetention; });
  }
  std::erase_if(mFormerVersions, [](const auto& aItem) { return aItem.second.empty(); });
}

std::size_t RunnerRegistry::holdingsBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [id, runner] : mRunners) {
    bytes += runner.entry.holdings.heapBytes();
  }
  return bytes;
}

void RunnerRegistry::RecordRequestStart(const EndpointId& aRunner, std::size_t aBytes)
{
  if (const auto found = mRunners.find(aRunner); found != mRunners.end()) {
    ++found->second.inFlight;
    found->second.bytesInFlight += aBytes;
    mBytesInFlight += aBytes;
  }
}

std::vector<EndpointId> RunnerRegistry::FullRunners(const ServiceId& aService,
                                                    std::size_t aBytes) const
{
  std::vector<EndpointId> full;
  if (mBytesLimit == 0 || mBytesInFlight + aBytes <= mBytesLimit) {
    return full; // Spares each request a look at all runners of a large deployment.
  }
  for (const auto& [id, runner] : mRunners) {
    if (runner.entry.service == aService && !HasRoomFor(runner, aBytes)) {
      full.push_back(id);
    }
  }
  return full;
}

void RunnerRegistry::RecordRequestEnd(TimePoint aNow,
                                      const EndpointId& aRunner,
                                      EndpointOutcome aOutcome,
                                      std::size_t aBytes,
                                      PaceSignal aPaceIfSucceeded)
{
  const auto found = mRunners.find(aRunner);
  if (found == mRunners.end()) {
    return;
  }
  KnownRunner& runner = found->second;
  runner.inFlight -= std::min<std::uint32_t>(runner.inFlight, 1);
  const std::size_t ended = std::min(runner.bytesInFlight, aBytes);
  runner.bytesInFlight -= ended;
  mBytesInFlight -= ended;
  runner.health.Record(aNow, aOutcome);
  if (aOutcome == EndpointOutcome::kFailed && runner.health.IsAvoided(aNow)) {
    StartWindow(runner.health.avoidedUntil(), runner);
  } else if (aOutcome == EndpointOutcome::kFailed || aOutcome == EndpointOutcome::kRefused) {
    runner.window.Record(aNow, PaceSignal::kRefused);
  } else if (aOutcome == EndpointOutcome::kSucceeded) {
    runner.window.Record(aNow, aPaceIfSucceeded);
  }
}

/* Load pattern: each of hundreds of daemons sends a request to an endpoint that has just started.
 * At first their windows are together as large as the endpoint's slots. */
void RunnerRegistry::StartWindow(TimePoint aAt, KnownRunner& aRunner) const
{
  if (mIsPaced) {
    const double slots = aRunner.entry.slots;
    aRunner.window.Start(aAt,
                         { .first = slots / static_cast<double>(std::max<std::size_t>(mDaemons, 1)),
                           .full = std::max(slots, 2.0) });
  }
}

bool RunnerRegistry::HasRoom(TimePoint aNow,
                             const KnownRunner& aRunner,
                             const EndpointQuery& aQuery) const
{
  if (!mIsPaced || !aRunner.window.IsOpening(aNow)) {
    return true;
  }
  const std::uint64_t weight =
    RendezvousWeight(std::to_string(aQuery.affinity ^ mSampleSeed), aRunner.entry.address);
  return aRunner.window.HasRoom(
    aNow, aRunner.inFlight, static_cast<double>(weight >> 11U) * 0x1p-53);
}

bool RunnerRegistry::RecordLeaving(const EndpointId& aRunner, std::int64_t aStartedAtMs)
{
  const auto found = mRunners.find(aRunner);
  return found != mRunners.end() && found->second.entry.startedAtMs == aStartedAtMs &&
         !std::exchange(found->second.saysLeaving, true);
}

bool RunnerRegistry::RecordPause(TimePoint aNow,
                                 const EndpointId& aRunner,
                                 std::int64_t aStartedAtMs,
                                 Duration aPause)
{
  const auto found = mRunners.find(aRunner);
  if (found == mRunners.end() || found->second.entry.startedAtMs != aStartedAtMs ||
      found->second.pausedUntil >= aNow + aPause) {
    return false;
  }
  found->second.pausedUntil = aNow + aPause;
  mLastPauseEnd = std::max(mLastPauseEnd, aNow + aPause);
  StartWindow(found->second.pausedUntil, found->second);
  return true;
}

KnownRunner* RunnerRegistry::FindProcess(const EndpointId& aRunner, std::int64_t aStartedAtMs)
{
  const auto found = mRunners.find(aRunner);
  return found != mRunners.end() && found->second.entry.startedAtMs == aStartedAtMs ? &found->second
                                                                                    : nullptr;
}

bool RunnerRegistry::RecordLimit(TimePoint aNow, const LimitStatement& aStatement)
{
  KnownRunner* runner = FindProcess(aStatement.endpoint, aStatement.startedAtMs);
  if (runner == nullptr) {
    return false;
  }
  const bool isChanged = aStatement.limit ? runner->limit.Record(aNow, *aStatement.limit)
                                          : runner->limit.RecordNone(aNow - aStatement.age);
  if (isChanged) {
    UpdateOwnShare(aNow, *runner);
  }
  return isChanged;
}

void RunnerRegistry::UpdateOwnShare(TimePoint aNow, KnownRunner& aRunner) const
{
  const auto options =
    aRunner.limit.rate() ? OwnShareOf(*aRunner.limit.rate(), mDaemons) : std::nullopt;
  if (!options) {
    aRunner.ownShare.reset();
  } else if (aRunner.ownShare) {
    aRunner.ownShare->SetOptions(aNow, *options);
  } else {
    aRunner.ownShare.emplace(aNow, *options);
  }
}

void RunnerRegistry::SetDaemonCount(TimePoint aNow, std::size_t aDaemons)
{
  mDaemons = aDaemons;
  for (auto& [id, runner] : mRunners) {
    if (runner.limit.rate()) {
      UpdateOwnShare(aNow, runner);
    }
  }
}

bool RunnerRegistry::TakeOwnShare(TimePoint aNow, const EndpointId& aRunner)
{
  const auto found = mRunners.find(aRunner);
  if (found == mRunners.end() || !found->second.limit.rate()) {
    return true;
  }
  return found->second.ownShare && found->second.ownShare->Take(aNow);
}

bool RunnerRegistry::IsLimited(const EndpointId& aRunner) const
{
  const KnownRunner* runner = Find(aRunner);
  return runner != nullptr && runner->limit.rate();
}

std::vector<LimitStatement> RunnerRegistry::Limits() const
{
  std::vector<LimitStatement> limits;
  for (const auto& [id, runner] : mRunners) {
    if (runner.limit.rate()) {
      limits.push_back(
        { .endpoint = id, .startedAtMs = runner.entry.startedAtMs, .limit = runner.limit.rate() });
    }
  }
  return limits;
}

std::vector<PausedRunner> RunnerRegistry::PausedRunners(TimePoint aNow,
                                                        const ServiceId& aService) const
{
  std::vector<PausedRunner> paused;
  if (aNow >= mLastPauseEnd) {
    return paused; // Spares each request a look at all runners of a large deployment.
  }
  for (const auto& [id, runner] : mRunners) {
    if (runner.entry.service == aService && aNow < runner.pausedUntil) {
      paused.push_back({ .runner = id, .timeLeft = runner.pausedUntil - aNow });
    }
  }
  return paused;
}

void RunnerRegistry::RecordLoad(TimePoint aNow,
                                const EndpointId& aRunner,
                                const EndpointLoad& aLoad)
{
  if (const auto found = mRunners.find(aRunner); found != mRunners.end()) {
    found->second.load = aLoad;
    found->second.loadReportedAt = aNow;
  }
}

bool RunnerRegistry::RecordSlowness(TimePoint aNow, const SlownessStatement& aStatement)
{
  KnownRunner* runner = FindProcess(aStatement.endpoint, aStatement.startedAtMs);
  if (runner == nullptr) {
    return false;
  }
  runner->slowness.RecordStated(aNow - aStatement.age, aStatement.slowness);
  ServiceSlowness& service = mSlowness[runner->entry.service];
  const bool isFirst = !service.isStated();
  service.RecordStated(aStatement.slowness);
  return isFirst;
}

/* The queue at the endpoint and its stated slowness are part of the choice already, so they are
 * taken out of the time. */
void RunnerRegistry::RecordAnswerTime(TimePoint aNow, const AnswerTime& aAnswer)
{
  const auto found = mRunners.find(aAnswer.endpoint);
  if (found == mRunners.end()) {
    return;
  }
  const auto service = mSlowness.find(found->second.entry.service);
  if (service == mSlowness.end()) {
    return;
  }
  const double slots = std::max<std::uint32_t>(found->second.entry.slots, 1);
  const double queue = std::max(1.0, (aAnswer.load.running + aAnswer.load.waiting) / slots);
  const double stated = aAnswer.load.slowness.value_or(service->second.usual()).factor;
  const Duration time{ static_cast<Duration::rep>(static_cast<double>(aAnswer.time.count()) /
                                                  (queue * stated)) };
  found->second.slowness.RecordMeasured(aNow, service->second.RecordTime(aAnswer.kind, time));
}

const ServiceSlowness* RunnerRegistry::FindSlowness(const ServiceId& aService) const
{
  const auto found = mSlowness.find(aService);
  return found == mSlowness.end() ? nullptr : &found->second;
}

std::optional<Slowness> RunnerRegistry::SlownessOf(TimePoint aNow, const KnownRunner& aRunner) const
{
  const ServiceSlowness* service = FindSlowness(aRunner.entry.service);
  return service == nullptr ? std::nullopt
                            : std::optional{ aRunner.slowness.At(aNow, service->usual()) };
}

bool RunnerRegistry::IsGone(TimePoint aNow, const KnownRunner& aRunner) const
{
  return aRunner.missingSince && (!aRunner.mayReturn || IsStoreStable(aNow));
}

Exclusion RunnerRegistry::Check(TimePoint aNow, const KnownRunner& aRunner) const
{
  if (IsGone(aNow, aRunner)) {
    return Exclusion::kGone;
  }
  if (aRunner.entry.state == RunnerState::kDraining || aRunner.saysLeaving) {
    return Exclusion::kLeaving;
  }
  if (aNow < aRunner.pausedUntil) {
    return Exclusion::kPaused;
  }
  return aRunner.health.IsAvoided(aNow) ? Exclusion::kAvoided : Exclusion::kNone;
}

bool RunnerRegistry::Matches(const KnownRunner& aRunner, const EndpointQuery& aQuery)
{
  return aRunner.entry.service == aQuery.service &&
         (aQuery.model == nullptr || HasLoaded(aRunner.entry, *aQuery.model)) &&
         (aQuery.softwareVersion == nullptr ||
          aRunner.entry.softwareVersion == *aQuery.softwareVersion) &&
         (aQuery.recordedVersions == nullptr ||
          aQuery.recordedVersions->Has(aQuery.service, aRunner.entry.softwareVersion));
}

std::optional<TimePoint> RunnerRegistry::EarliestPauseEnd(TimePoint aNow,
                                                          const EndpointQuery& aQuery) const
{
  std::optional<TimePoint> earliest;
  for (const auto& [id, runner] : mRunners) {
    const Exclusion exclusion = Check(aNow, runner);
    if (!Matches(runner, aQuery) || exclusion == Exclusion::kGone ||
        exclusion == Exclusion::kLeaving) {
      continue;
    }
    if (exclusion != Exclusion::kPaused) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(runner.pausedUntil), runner.pausedUntil);
  }
  return earliest;
}

std::optional<Exclusion> RunnerRegistry::CheckChoice(TimePoint aNow,
                                                     const KnownRunner& aRunner,
                                                     const EndpointQuery& aQuery) const
{
  const bool isExcluded = aQuery.excluded != nullptr && aQuery.excluded->contains(aRunner.entry.id);
  if (!Matches(aRunner, aQuery) || isExcluded || !HasRoomFor(aRunner, aQuery.requestBytes)) {
    return std::nullopt;
  }
  const Exclusion exclusion = Check(aNow, aRunner);
  if (exclusion != Exclusion::kNone && exclusion != Exclusion::kAvoided) {
    return std::nullopt;
  }
  const bool isBeyondShare = aRunner.limit.rate() &&
                             aQuery.limited == LimitedEndpoints::kWithinOwnShare &&
                             (!aRunner.ownShare || !aRunner.ownShare->Has(aNow));
  return isBeyondShare ? std::nullopt : std::optional{ exclusion };
}

std::optional<EndpointId> RunnerRegistry::ChooseBySlowness(TimePoint aNow,
                                                           const EndpointQuery& aQuery) const
{
  std::vector<EndpointCandidate> candidates;
  for (const auto& [id, runner] : mRunners) {
    const auto exclusion = CheckChoice(aNow, runner, aQuery);
    if (!exclusion) {
      continue;
    }
    const double age = std::chrono::duration<double>(aNow - runner.loadReportedAt) /
                       std::chrono::duration<double>(kReportedLoadLifetime);
    const double reported = (runner.load.running + runner.load.waiting) * std::exp(-age);
    candidates.push_back({ .id = id,
                           .requestsAhead = std::max<double>(reported, runner.inFlight),
                           .slots = runner.entry.slots,
                           .slowness = SlownessOf(aNow, runner).value_or(Slowness{}),
                           .isAvoided = *exclusion == Exclusion::kAvoided,
                           .isLimited = runner.limit.rate().has_value(),
                           .isInOtherZone = runner.entry.zone != aQuery.zone,
                           .isBeyondWindow = !HasRoom(aNow, runner, aQuery) });
  }
  const EndpointCandidate* chosen = ChooseFromSample(candidates, aQuery.affinity ^ mSampleSeed);
  return chosen == nullptr ? std::nullopt : std::optional{ chosen->id };
}

std::optional<EndpointId> RunnerRegistry::Choose(TimePoint aNow, const EndpointQuery& aQuery) const
{
  if (aQuery.model == nullptr && FindSlowness(aQuery.service) != nullptr) {
    return ChooseBySlowness(aNow, aQuery);
  }
  // Endpoints rank by: not avoided, least load, same zone. The last member breaks ties by a hash of
  // the affinity and the endpoint. Otherwise many daemons that see the same idle endpoint would all
  // send their requests there at the same time.
  using Rank = std::tuple<bool, std::uint32_t, bool, std::uint64_t>;
  std::optional<Rank> best;
  std::optional<EndpointId> chosen;
  for (const auto& [id, runner] : mRunners) {
    const auto exclusion = CheckChoice(aNow, runner, aQuery);
    if (!exclusion) {
      continue;
    }
    const bool isLimited = runner.limit.rate().has_value();
    const bool isLoadFresh = aNow - runner.loadReportedAt < kMaxReportedLoadAge;
    const std::uint32_t reportedLoad = isLoadFresh ? runner.load.running + runner.load.waiting : 0;
    const std::uint32_t limitedLoad = isLimited || !HasRoom(aNow, runner, aQuery)
                                        ? runner.entry.slots
                                        : 0; // Ranks as if it was full.
    const std::uint32_t load = std::max(reportedLoad, runner.inFlight) + limitedLoad;
    const std::uint64_t tieBreaker = ~RendezvousWeight(std::to_string(aQuery.affinity), id.str());
    const Rank rank{
      *exclusion == Exclusion::kAvoided, load, runner.entry.zone != aQuery.zone, tieBreaker
    };
    if (!best || rank < *best) {
      best = rank;
      chosen = id;
    }
  }
  return chosen;
}

bool RunnerRegistry::HasUsable(TimePoint aNow, const StreamOrigin& aOrigin) const
{
  return std::any_of(mRunners.begin(), mRunners.end(), [&](const auto& aItem) {
    const KnownRunner& runner = aItem.second;
    const Exclusion exclusion = Check(aNow, runner);
    return runner.entry.service == aOrigin.service &&
           runner.entry.softwareVersion == aOrigin.version && exclusion != Exclusion::kGone &&
           exclusion != Exclusion::kLeaving;
  });
}

VersionsByService RunnerRegistry::RecentVersions(TimePoint aNow) const
{
  VersionsByService versions;
  for (const auto& [id, runner] : mRunners) {
    if (!runner.missingSince) {
      versions[runner.entry.service].insert(runner.entry.softwareVersion);
    }
  }
  for (const auto& [service, formerVersions] : mFormerVersions) {
    for (const auto& [version, lastSeenAt] : formerVersions) {
      if (aNow - lastSeenAt <= kStreamRetention) {
        versions[service].insert(version);
      }
    }
  }
  return versions;
}

void RunnerRegistry::RecordVersions(TimePoint aNow, const VersionsByService& aVersions)
{
  for (const auto& [service, versions] : aVersions) {
    for (const SoftwareVersion& version : versions) {
      mFormerVersions[service][version] = aNow;
    }
  }
}

std::optional<SoftwareVersion> RunnerRegistry::OnlyVersion(TimePoint aNow,
                                                           const ServiceId& aService) const
{
  std::optional<SoftwareVersion> only;
  /* Returns whether there is another version than the ones before. */
  const auto isFurther = [&](const SoftwareVersion& aVersion) {
    if (only && *only != aVersion) {
      return true;
    }
    only = aVersion;
    return false;
  };
  for (const auto& [id, runner] : mRunners) {
    if (!runner.missingSince && runner.entry.service == aService &&
        isFurther(runner.entry.softwareVersion)) {
      return std::nullopt;
    }
  }
  for (const auto& [service, versions] : mFormerVersions) {
    const bool isUnknown = service == kUnknownVersions.begin()->first;
    for (const auto& [version, lastSeenAt] : versions) {
      if (aNow - lastSeenAt <= kStreamRetention &&
          (isUnknown || (service == aService && isFurther(version)))) {
        return std::nullopt;
      }
    }
  }
  return only;
}

const KnownRunner* RunnerRegistry::Find(const EndpointId& aRunner) const
{
  const auto found = mRunners.find(aRunner);
  return found == mRunners.end() ? nullptr : &found->second;
}

} // namespace rhubarbtrail::fleet

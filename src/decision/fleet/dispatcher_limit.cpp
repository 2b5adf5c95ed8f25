/* Runners that state a limit on requests: what each may get, who gets it, and who is refused. */
#include "decision/fleet/dispatch_estimate.h"
#include "decision/fleet/dispatcher.h"

#include <algorithm>
#include <tuple>

namespace rhubarbtrail::fleet {

namespace {

/* Limit of the statements that are kept for processes without an entry. */
constexpr std::size_t kMaxEarlyLimits = 1'000;
/* Time constant of an account's use of limited runners, in seconds. */
constexpr double kUseTimeConstantS = 10.0;
/* Number of accounts above which those with little use are forgotten, and that use per second. */
constexpr std::size_t kMaxTrackedAccounts = 1'000;
constexpr double kForgottenUse = 1e-3;
/* Added to the expected wait of a new request, so that an error of the estimate does not refuse it
 * after it has waited. */
constexpr Duration kAdmissionMargin = 100ms;
/* Orders and reports that a swap takes: an unload, a load and a report after each. */
constexpr double kCallsPerSwap = 4.0;

} // namespace

bool Dispatcher::OnLimitStatement(TimePoint aNow, const LimitStatement& aStatement)
{
  const auto found = mRunners.find(aStatement.endpoint);
  if (found == mRunners.end() || found->second.entry.startedAtMs < aStatement.startedAtMs) {
    if (aStatement.limit && mEarlyLimits.size() < kMaxEarlyLimits) {
      mEarlyLimits[aStatement.endpoint] = aStatement;
    } else {
      mEarlyLimits.erase(aStatement.endpoint);
    }
    return false;
  }
  ManagedRunner& runner = found->second;
  if (runner.entry.startedAtMs != aStatement.startedAtMs) {
    return false;
  }
  const bool isChanged = aStatement.limit ? runner.limit.Record(aNow, *aStatement.limit)
                                          : runner.limit.RecordNone(aNow - aStatement.age);
  if (isChanged) {
    UpdateLimitedTraffic(aNow, runner);
  }
  return isChanged;
}

void Dispatcher::UpdateLimitedTraffic(TimePoint aNow, ManagedRunner& aRunner)
{
  const auto& limit = aRunner.limit.rate();
  mLimitedRunners.insert(aRunner.entry.id);
  if (!limit) {
    aRunner.limitedTraffic.reset();
  } else if (aRunner.limitedTraffic) {
    aRunner.limitedTraffic->requests.SetOptions(aNow, RequestAllowanceOf(*limit));
    aRunner.limitedTraffic->control.SetOptions(aNow, ControlAllowanceOf(*limit));
  } else {
    aRunner.limitedTraffic.emplace(
      LimitedTraffic{ .requests = RequestAllowance{ aNow, RequestAllowanceOf(*limit) },
                      .control = RequestAllowance{ aNow, ControlAllowanceOf(*limit) } });
  }
  ScheduleTick(aNow);
}

void Dispatcher::RestartLimitedTraffic(TimePoint aNow)
{
  for (auto& [id, runner] : mRunners) {
    runner.limitedTraffic.reset();
    if (runner.limit.rate()) {
      UpdateLimitedTraffic(aNow, runner);
    }
  }
}

/* Load pattern: one client account sends most of the requests for a runner with a limit. The
 * account that has used the runners with limits least comes first. */
void Dispatcher::PrepareLimitedRound(TimePoint aNow)
{
  std::erase_if(mLimitedRunners, [&](const EndpointId& aId) {
    const auto found = mRunners.find(aId);
    const bool isLimited = found != mRunners.end() && found->second.limitedTraffic;
    if (isLimited) {
      found->second.limitedTraffic->waiting = 0;
    }
    return !isLimited;
  });
  std::stable_sort(mWaitingRequests.begin(),
                   mWaitingRequests.end(),
                   [&](const WaitingRequest& aLeft, const WaitingRequest& aRight) {
                     const auto rank = [&](const PlacementRequest& aRequest) {
                       return std::pair{ aRequest.priority, LimitedUse(aNow, aRequest.account) };
                     };
                     return rank(aLeft.request) < rank(aRight.request);
                   });
}

double Dispatcher::LimitedUse(TimePoint aNow, const ClientAccountId& aAccount) const
{
  const auto found = mLimitedUse.find(aAccount);
  return found == mLimitedUse.end() ? 0.0 : found->second.ValueAt(aNow);
}

bool Dispatcher::HasRequestAllowance(TimePoint aNow, const ManagedRunner& aRunner)
{
  return !aRunner.limitedTraffic || aRunner.limitedTraffic->requests.Has(aNow);
}

bool Dispatcher::HasControlAllowance(TimePoint aNow, const ManagedRunner& aRunner)
{
  return !aRunner.limitedTraffic || aRunner.limitedTraffic->control.Has(aNow);
}

void Dispatcher::UseControlAllowance(TimePoint aNow, ManagedRunner& aRunner)
{
  if (aRunner.limitedTraffic) {
    aRunner.limitedTraffic->control.Take(aNow);
  }
}

void Dispatcher::UseRequestAllowance(TimePoint aNow,
                                     const ClientAccountId& aAccount,
                                     ManagedRunner& aRunner)
{
  if (!aRunner.limitedTraffic) {
    return;
  }
  aRunner.limitedTraffic->requests.Take(aNow);
  mLimitedUse.try_emplace(aAccount, kUseTimeConstantS).first->second.Add(aNow, 1.0);
  if (mLimitedUse.size() > kMaxTrackedAccounts) {
    std::erase_if(mLimitedUse,
                  [&](const auto& aItem) { return aItem.second.ValueAt(aNow) < kForgottenUse; });
  }
}

void Dispatcher::GiveBackRequestAllowance(TimePoint aNow, const Assignment& aAssignment)
{
  const auto runner = mRunners.find(aAssignment.runner);
  if (aAssignment.usesAllowance && runner != mRunners.end() && runner->second.limitedTraffic) {
    runner->second.limitedTraffic->requests.GiveBack(aNow);
  }
}

/* In a full round, the requests that come first have been counted. In other rounds only new
 * requests are tried, so those that wait are looked through for each. */
TimePoint Dispatcher::AllowedAt(TimePoint aNow,
                                const WaitingRequest& aWaiting,
                                const ManagedRunner& aRunner) const
{
  const LimitedTraffic& traffic = *aRunner.limitedTraffic;
  std::size_t before = traffic.waiting;
  if (!mIsFullRound) {
    const std::pair rank{ aWaiting.request.priority, LimitedUse(aNow, aWaiting.request.account) };
    before = static_cast<std::size_t>(std::count_if(
      mWaitingRequests.begin(), mWaitingRequests.end(), [&](const WaitingRequest& aItem) {
        return aItem.awaitedRunner == aRunner.entry.id &&
               std::pair{ aItem.request.priority, LimitedUse(aNow, aItem.request.account) } <= rank;
      }));
  }
  return aNow + traffic.requests.TimeUntil(aNow, before + 1);
}

/* Load pattern: all runners that hold a model are overloaded, and ask a daemon to pause or all
 * daemons to send less. */
bool Dispatcher::RefuseOrWaitForAllowance(TimePoint aNow,
                                          WaitingRequest& aWaiting,
                                          ManagedRunner& aRunner,
                                          TimePoint aAllowedAt)
{
  const PlacementRequest& request = aWaiting.request;
  const auto replica = request.UsesModel()
                         ? TimeUntilReplica(aNow, request.service, request.work.target.model)
                         : std::nullopt;
  const TimePoint servedAt = replica ? std::min(aAllowedAt, aNow + *replica) : aAllowedAt;
  const bool isPaused = PauseEnd(aNow, aWaiting, aRunner.entry.id).has_value();
  const bool wasAdmitted = !aWaiting.awaitedRunner.empty();
  const TimePoint latest =
    wasAdmitted ? aWaiting.deadline : aWaiting.deadline - kMinServiceTime - kAdmissionMargin;
  if (servedAt > latest) {
    if (request.UsesModel() && !isPaused) {
      mRefusedModels[{ request.service, request.work.target.model }] = aNow;
    }
    Refuse(aNow,
           aWaiting,
           ResultCode::kEndpointUnavailable,
           servedAt - aNow,
           isPaused ? "all_runners_paused" : "request_limit_of_runner");
    return true;
  }
  if (isPaused) {
    ScheduleTick(aAllowedAt);
  } else {
    aWaiting.awaitedRunner = aRunner.entry.id;
    ++aRunner.limitedTraffic->waiting;
    ScheduleTick(aNow + aRunner.limitedTraffic->requests.TimeUntil(aNow, 1));
  }
  return false;
}

bool Dispatcher::RefuseWithoutOrder(TimePoint aNow,
                                    const WaitingRequest& aWaiting,
                                    const ManagedRunner& aRunner)
{
  if (HasControlAllowance(aNow, aRunner)) {
    return false;
  }
  const Duration time = aRunner.limitedTraffic->control.TimeUntil(aNow, 1) + kAdapterLoadTime;
  if (aNow + time < aWaiting.deadline) {
    return false;
  }
  Refuse(aNow, aWaiting, ResultCode::kEndpointUnavailable, time, "request_limit_of_runner");
  return true;
}

bool Dispatcher::TryToAssignPlain(TimePoint aNow, WaitingRequest& aWaiting)
{
  const PlacementRequest& request = aWaiting.request;
  if (aWaiting.deadline <= aNow) {
    Refuse(aNow,
           aWaiting,
           ResultCode::kDeadlineUnreachable,
           Duration::zero(),
           "no_place_before_deadline");
    return true;
  }
  ManagedRunner* best = nullptr;
  std::tuple<bool, bool, bool, std::uint32_t, bool> bestRank;
  std::optional<std::pair<TimePoint, ManagedRunner*>> firstAllowed;
  for (auto& [id, runner] : mRunners) {
    if (runner.entry.service != request.service || !IsUsable(runner) ||
        (request.origin && !HasVersion(runner, request.origin->version))) {
      continue;
    }
    const auto pauseEnd = PauseEnd(aNow, aWaiting, id);
    if (pauseEnd || !HasRequestAllowance(aNow, runner)) {
      const TimePoint allowedAt = pauseEnd ? *pauseEnd : AllowedAt(aNow, aWaiting, runner);
      if (!firstAllowed || allowedAt < firstAllowed->first) {
        firstAllowed = { allowedAt, &runner };
      }
      continue;
    }
    const bool hasFailed =
      std::find(request.failedRunners.begin(), request.failedRunners.end(), id) !=
      request.failedRunners.end();
    const std::tuple rank{ hasFailed,
                           runner.health.IsAvoided(aNow),
                           runner.inFlight >= runner.entry.slots,
                           runner.inFlight,
                           runner.entry.zone != aWaiting.zone };
    if (best == nullptr || rank < bestRank) {
      best = &runner;
      bestRank = rank;
    }
  }
  if (best != nullptr) {
    Assign(aNow, aWaiting, *best, Duration::zero());
    return true;
  }
  if (firstAllowed) {
    return RefuseOrWaitForAllowance(aNow, aWaiting, *firstAllowed->second, firstAllowed->first);
  }
  mActions.emplace_back(PlacementReply{ .id = request.id, .answer = PlacementUndecided{} });
  return true;
}

double Dispatcher::EffectiveReplicas(TimePoint aNow,
                                     const ServiceId& aService,
                                     const ModelId& aModel,
                                     const SoftwareVersion& aVersion) const
{
  double replicas = CountReplicas(aService, aModel, aVersion);
  if (mLimitedRunners.empty()) {
    return replicas;
  }
  const double rate = mDemand.RequestRate(aNow, aModel);
  for (const ManagedRunner* runner : RunnersWithModel(aModel)) {
    const bool isCounted = runner->entry.service == aService && IsUsable(*runner) &&
                           !runner->unreachableSince && HasVersion(*runner, aVersion) &&
                           !runner->models.at(aModel).isLeaving;
    if (isCounted && runner->limit.rate() && runner->limit.rate()->perSecond < rate) {
      replicas -= 1.0 - runner->limit.rate()->perSecond / rate;
    }
  }
  return replicas;
}

double Dispatcher::LimitedSwapDelay(const ManagedRunner& aRunner)
{
  return aRunner.limit.rate() ? kCallsPerSwap / ControlAllowanceOf(*aRunner.limit.rate()).perSecond
                              : 0.0;
}

} // namespace rhubarbtrail::fleet

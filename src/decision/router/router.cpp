/* A request's way through the router. */
#include "decision/router/router_base.h"

#include "decision/rendezvous_func.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Time to come back after a refusal when nothing better is known. */
constexpr Duration kDefaultRetryAfter = 1s;
/* Demands without an answer after which the next candidate daemon is asked. */
constexpr std::uint32_t kMissesBeforeNextHolder = 2;

bool IsPlain(const Artifact& aArtifact)
{
  return aArtifact.model.empty();
}

} // namespace

std::optional<ResultCode> Router::CheckAdmission(const Context& aContext,
                                                 const View& aView,
                                                 const RequestArrived& aArrived) const
{
  if (aView.readiness() == Readiness::kStopping && aContext.IsEnabled(Mechanism::kShutdownDrain)) {
    // Requests on connections that were open already are still served.
  } else if (aView.readiness() != Readiness::kReady) {
    return ResultCode::kConfigurationStale;
  }
  const Configuration& configuration = aView.configuration();
  const auto customer = configuration.customers.find(aArrived.customer);
  if (customer == configuration.customers.end()) {
    return ResultCode::kKeyWrong;
  }
  const auto requestClass = configuration.classes.find(aArrived.requestClass);
  if (requestClass == configuration.classes.end()) {
    return ResultCode::kRequestMalformed;
  }
  if (aContext.IsEnabled(Mechanism::kQuarantine) &&
      mQuarantine.convicted.Contains(aArrived.fingerprint, aContext.now())) {
    return ResultCode::kQuarantined;
  }
  if (requestClass->second.repeatability == Repeatability::kAtMostOnce && aArrived.key.empty()) {
    return ResultCode::kIdempotencyKeyRequired;
  }
  const auto queued = mQueuedByCustomer.find(aArrived.customer);
  const bool isCustomerFull =
    queued != mQueuedByCustomer.end() && queued->second >= customer->second.queueLimit;
  if (isCustomerFull || mRequests.size() >= aContext.settings().queueLimit) {
    return ResultCode::kQueueFull;
  }
  return std::nullopt;
}

void Router::OnRequest(Context& aContext, View& aView, const RequestArrived& aArrived)
{
  if (const auto refusal = CheckAdmission(aContext, aView, aArrived)) {
    const bool canComeBack = Describe(*refusal).httpStatus >= 429;
    aContext.Emit(FinishRequest{ .request = aArrived.request,
                                 .code = *refusal,
                                 .retryAfter = canComeBack ? kDefaultRetryAfter : Duration{} });
    return;
  }
  const Configuration& configuration = aView.configuration();
  const ClassSpec& requestClass = configuration.classes.at(aArrived.requestClass);
  const CustomerSpec& customer = configuration.customers.at(aArrived.customer);
  const Duration timeLeft =
    aArrived.timeLeft.count() > 0 ? aArrived.timeLeft : requestClass.deadline;

  Request request;
  request.arrived = aArrived;
  request.repeatability = requestClass.repeatability;
  request.deadline = aContext.now() + timeLeft;
  request.suspect = mQuarantine.suspects.Contains(aArrived.fingerprint, aContext.now());
  request.queued = { .request = aArrived.request,
                     .customer = aArrived.customer,
                     .weight = customer.weight,
                     .priority = requestClass.priority,
                     .deadline = request.deadline };
  mDeadlines.emplace(request.deadline, aArrived.request);
  aContext.WakeBy(request.deadline);
  ++mQueuedByCustomer[aArrived.customer];
  Request& stored = mRequests[aArrived.request] = std::move(request);

  const bool needsClaim = stored.repeatability == Repeatability::kAtMostOnce;
  if (needsClaim && aContext.IsEnabled(Mechanism::kClaimBeforeSend)) {
    stored.state = RequestState::kClaiming;
    mClaims.Ask(aContext, aArrived);
    return;
  }
  Enqueue(aContext, aView, stored);
}

Target* Router::FindTarget(const Request& aRequest)
{
  const auto found = mTargets.find({ aRequest.arrived.service, aRequest.arrived.artifact });
  return found == mTargets.end() ? nullptr : &found->second;
}

void Router::Enqueue(Context& aContext, View& aView, Request& aRequest)
{
  aRequest.state = RequestState::kQueued;
  Target& target = mTargets[{ aRequest.arrived.service, aRequest.arrived.artifact }];
  target.artifact = aRequest.arrived.artifact;
  target.service = aRequest.arrived.service;
  target.queue.Push(aRequest.queued);
  DispatchTarget(aContext, aView, target);
}

void Router::RefreshPlainReplicas(const Context& aContext, const View& aView, Target& aTarget) const
{
  const auto service = aView.configuration().services.find(aTarget.service);
  if (service == aView.configuration().services.end()) {
    return;
  }
  aTarget.replicas.clear();
  for (const auto& [id, info] : aView.endpoints()) {
    if (info.service == aTarget.service && aView.IsUsable(id, aContext.now())) {
      aTarget.replicas.push_back({ id, service->second.endpointConcurrency, 0 });
    }
  }
}

bool Router::HasRoom(const Target& aTarget, const ReplicaLocation& aReplica) const
{
  const auto inFlight = mInFlight.find(aReplica.runner);
  if (mDraining.contains({ aReplica.runner, aTarget.artifact.model })) {
    return false;
  }
  if (inFlight == mInFlight.end()) {
    return true;
  }
  for (const RequestId& other : inFlight->second) {
    const auto found = mRequests.find(other);
    if (found != mRequests.end() && found->second.suspect) {
      return false;
    }
  }
  return inFlight->second.size() < std::max(1U, aReplica.concurrency);
}

std::optional<EndpointId> Router::ChooseEndpoint(const Context& aContext,
                                                 const View& aView,
                                                 const Target& aTarget,
                                                 const Request& aRequest) const
{
  std::optional<EndpointId> best;
  // The holder may have unloaded a replica whose location was not renewed.
  if (!IsPlain(aTarget.artifact) && aTarget.knownUntil <= aContext.now()) {
    return best;
  }
  std::pair<double, std::uint64_t> bestCost{};
  for (const ReplicaLocation& replica : aTarget.replicas) {
    if (!aView.IsUsable(replica.runner, aContext.now()) || !HasRoom(aTarget, replica)) {
      continue;
    }
    const auto inFlight = mInFlight.find(replica.runner);
    const std::size_t sent = inFlight == mInFlight.end() ? 0 : inFlight->second.size();
    if (aRequest.suspect && sent > 0) {
      continue;
    }
    const bool hasFailed = aRequest.failed.contains(replica.runner);
    const EndpointInfo* info = aView.FindEndpoint(replica.runner);
    const double zoneCost = info->zone == aContext.options().zone ? 0.0 : 0.5;
    const double load = static_cast<double>(sent + replica.reportedLoad);
    const double cost = load + zoneCost + (hasFailed ? 1'000.0 : 0.0);
    const std::uint64_t affinity =
      ~RendezvousWeight(std::to_string(aRequest.arrived.prefixHash), replica.runner.str());
    const std::pair candidate{ cost, affinity };
    if (!best || candidate < bestCost) {
      best = replica.runner;
      bestCost = candidate;
    }
  }
  return best;
}

void Router::DispatchTarget(Context& aContext, View& aView, Target& aTarget)
{
  if (IsPlain(aTarget.artifact)) {
    RefreshPlainReplicas(aContext, aView, aTarget);
  }
  while (const auto next = aTarget.queue.Peek(mClock)) {
    Request& request = mRequests.at(*next);
    const auto endpoint = ChooseEndpoint(aContext, aView, aTarget, request);
    if (!endpoint) {
      break;
    }
    Start(aContext, aView, aTarget, request, *endpoint);
  }
  if (aTarget.queue.empty()) {
    return;
  }
  if (IsPlain(aTarget.artifact)) {
    aContext.WakeBy(aContext.now() + aContext.settings().demandInterval);
    return;
  }
  Demand(aContext, aView, aTarget);
}

void Router::DispatchEndpoint(Context& aContext, View& aView, const EndpointId& aEndpoint)
{
  std::vector<std::pair<std::pair<std::uint32_t, double>, Target*>> waiting;
  for (auto& [key, target] : mTargets) {
    if (target.queue.empty()) {
      continue;
    }
    const bool isThere =
      IsPlain(target.artifact) ||
      std::any_of(target.replicas.begin(),
                  target.replicas.end(),
                  [&](const ReplicaLocation& aReplica) { return aReplica.runner == aEndpoint; });
    const auto rank = target.queue.BestRank(mClock);
    if (isThere && rank) {
      waiting.emplace_back(*rank, &target);
    }
  }
  std::sort(waiting.begin(), waiting.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  for (auto& [rank, target] : waiting) {
    DispatchTarget(aContext, aView, *target);
  }
}

void Router::Start(Context& aContext,
                   View& aView,
                   Target& aTarget,
                   Request& aRequest,
                   const EndpointId& aEndpoint)
{
  aTarget.queue.Remove(aRequest.queued);
  mClock.Charge(aRequest.arrived.customer, aRequest.queued.weight);
  ++aTarget.startedSince;
  if (aRequest.attempt.value == 0) {
    mBudget.NoteFirstAttempt(
      aRequest.arrived.customer,
      aRequest.arrived.service,
      { aContext.settings().retryBudgetRatio, aContext.settings().retryBudgetBurst });
  }
  ++aRequest.attempt.value;
  aRequest.endpoint = aEndpoint;
  aRequest.state = RequestState::kInFlight;
  mInFlight[aEndpoint].insert(aRequest.arrived.request);
  const bool isOnce = aRequest.repeatability == Repeatability::kAtMostOnce;
  const bool resumes = aContext.IsEnabled(Mechanism::kResumeOffset);
  aContext.Emit(StartAttempt{ .request = aRequest.arrived.request,
                              .attempt = aRequest.attempt,
                              .endpoint = aEndpoint,
                              .address = aView.FindEndpoint(aEndpoint)->address,
                              .resumeOffset = resumes ? aRequest.delivered : 0,
                              .priority = aRequest.queued.priority,
                              .reuse = isOnce ? ConnectionReuse::kFresh : ConnectionReuse::kAllowed,
                              .progressLimit = aContext.settings().progressLimit,
                              .timeLeft = aRequest.deadline - aContext.now() });
}

void Router::Demand(Context& aContext, View& aView, Target& aTarget)
{
  if (aTarget.nextDemand > aContext.now()) {
    aContext.WakeBy(aTarget.nextDemand);
    return;
  }
  aTarget.isRedirected = false;
  aTarget.nextDemand = aContext.now() + aContext.settings().demandInterval;
  aContext.WakeBy(aTarget.nextDemand);
  const CellId cell{ aTarget.service.str() };
  const auto ranked = aView.RankDaemons(aContext, cell.str());
  if (aTarget.holder.empty() || aTarget.holderMisses >= kMissesBeforeNextHolder) {
    aTarget.holder = ranked[(aTarget.holderMisses / kMissesBeforeNextHolder) % ranked.size()];
  }
  ++aTarget.holderMisses;
  std::uint32_t inFlight = 0;
  for (const ReplicaLocation& replica : aTarget.replicas) {
    const auto found = mInFlight.find(replica.runner);
    inFlight += found == mInFlight.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
  }
  const TimePoint earliest = aTarget.queue.EarliestDeadline();
  const DemandMessage demand{ .cell = cell,
                              .artifact = aTarget.artifact,
                              .timeLeft = earliest == TimePoint::max() ? Duration{}
                                                                       : earliest - aContext.now(),
                              .waiting = static_cast<std::uint32_t>(aTarget.queue.size()),
                              .inFlight = inFlight,
                              .startedSince = aTarget.startedSince };
  aTarget.startedSince = 0;
  if (aTarget.holder == aContext.self().daemon) {
    aContext.Emit(SendMessage{ aTarget.holder, {}, demand });
    return;
  }
  aView.SendTo(aContext, aTarget.holder, demand);
}

void Router::OnDemandReply(Context& aContext,
                           View& aView,
                           const DaemonId& aFrom,
                           const DemandReplyMessage& aReply)
{
  const auto found = mTargets.find({ ServiceId{ aReply.cell.str() }, aReply.artifact });
  if (found == mTargets.end()) {
    return;
  }
  Target& target = found->second;
  if (aReply.status == DemandStatus::kNotHolder) {
    if (!aReply.holder.empty() && aReply.holder != target.holder) {
      target.holder = aReply.holder;
      // Daemons that name each other must not be asked in a circle: one hop for each demand.
      if (!target.isRedirected) {
        target.nextDemand = aContext.now();
        Demand(aContext, aView, target);
        target.isRedirected = true;
      }
    }
    return;
  }
  target.holder = aFrom;
  target.holderMisses = 0;
  target.expectedWait = aReply.expectedWait;
  if (aReply.status == DemandStatus::kRefused) {
    while (const auto next = target.queue.Peek(mClock)) {
      Request& request = mRequests.at(*next);
      target.queue.Remove(request.queued);
      Finish(aContext, request, aReply.refusal, aReply.expectedWait);
    }
    return;
  }
  if (aReply.status == DemandStatus::kReady) {
    target.replicas = aReply.replicas;
    target.knownUntil = aContext.now() + aContext.settings().replicaLifetime;
    for (const ReplicaLocation& replica : target.replicas) {
      mDraining.erase({ replica.runner, target.artifact.model });
    }
    DispatchTarget(aContext, aView, target);
  }
}

void Router::OnDrain(Context& aContext,
                     View& aView,
                     const DaemonId& aFrom,
                     const DrainMessage& aDrain)
{
  ForgetReplica(aDrain.runner, aDrain.model);
  mDraining[{ aDrain.runner, aDrain.model }] = { aFrom, aDrain };
  ReportDrained(aContext, aView, aDrain.runner);
}

void Router::ReportDrained(Context& aContext, View& aView, const EndpointId& aEndpoint)
{
  for (auto drain = mDraining.begin(); drain != mDraining.end();) {
    const auto& [endpoint, model] = drain->first;
    bool isBusy = endpoint != aEndpoint;
    for (const RequestId& id : mInFlight[aEndpoint]) {
      isBusy = isBusy || mRequests.at(id).arrived.artifact.model == model;
    }
    if (isBusy) {
      ++drain;
      continue;
    }
    const auto& [holder, message] = drain->second;
    const DrainedMessage drained{ message.cell, endpoint, model, message.fence };
    if (holder == aContext.self().daemon) {
      aContext.Emit(SendMessage{ holder, {}, drained });
    } else {
      aView.SendTo(aContext, holder, drained);
    }
    drain = mDraining.erase(drain);
  }
}

void Router::ForgetReplica(const EndpointId& aEndpoint, const ModelId& aModel)
{
  for (auto& [key, target] : mTargets) {
    if (target.artifact.model != aModel) {
      continue;
    }
    std::erase_if(target.replicas,
                  [&](const ReplicaLocation& aReplica) { return aReplica.runner == aEndpoint; });
  }
}

void Router::OnAttemptEnded(Context& aContext, View& aView, const AttemptEnded& aEnded)
{
  const auto found = mRequests.find(aEnded.request);
  if (found == mRequests.end() || found->second.attempt != aEnded.attempt ||
      found->second.state != RequestState::kInFlight) {
    return;
  }
  Request& request = found->second;
  const EndpointId endpoint = request.endpoint;
  const bool wasAlone = mInFlight[endpoint].size() == 1;
  mInFlight[endpoint].erase(aEnded.request);
  request.delivered = std::max(request.delivered, aEnded.delivered);
  if (aEnded.outcome == AttemptOutcome::kCompleted) {
    OnCompleted(aContext, request, aEnded);
  } else if (aEnded.outcome == AttemptOutcome::kCrashed && request.suspect && wasAlone &&
             aContext.IsEnabled(Mechanism::kQuarantine)) {
    const Duration length = aContext.settings().quarantineLength;
    const FingerprintId fingerprint = request.arrived.fingerprint;
    mQuarantine.convicted.Add(fingerprint, aContext.now() + length, aContext.now());
    for (const auto& [id, member] : aView.members()) {
      aView.SendTo(aContext, id, ConvictedMessage{ fingerprint, length });
    }
    request.mayHaveRun = true;
    Finish(aContext, request, ResultCode::kCrashedEndpoints);
  } else {
    OnFailed(aContext, aView, request, aEnded);
  }
  ReportDrained(aContext, aView, endpoint);
  DispatchEndpoint(aContext, aView, endpoint);
}

void Router::OnCompleted(Context& aContext, Request& aRequest, const AttemptEnded& aEnded)
{
  if (aRequest.repeatability == Repeatability::kAtMostOnce) {
    mClaims.Record(aContext, aEnded.request, ClaimState::kDone, aEnded);
  }
  aContext.Emit(FinishRequest{ .request = aEnded.request, .code = ResultCode::kOk });
  Erase(aEnded.request);
}

void Router::OnFailed(Context& aContext, View& aView, Request& aRequest, const AttemptEnded& aEnded)
{
  aRequest.failed.insert(aRequest.endpoint);
  switch (aEnded.outcome) {
    case AttemptOutcome::kNotConnected:
      aView.NoteRefused(aContext, aRequest.endpoint);
      break;
    case AttemptOutcome::kLeaving:
      aView.NoteLeaving(aContext, aRequest.endpoint);
      break;
    case AttemptOutcome::kNotRun:
      if (Target* target = FindTarget(aRequest)) {
        ForgetReplica(aRequest.endpoint, aRequest.arrived.artifact.model);
        target->nextDemand = aContext.now();
      }
      break;
    case AttemptOutcome::kCrashed:
      aRequest.mayHaveRun = true;
      aView.NoteRefused(aContext, aRequest.endpoint);
      OnCrashed(aContext, aView, aRequest, aRequest.endpoint);
      break;
    case AttemptOutcome::kCut:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kMismatched:
      aRequest.mayHaveRun = true;
      break;
    case AttemptOutcome::kRejected:
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kCompleted:
      aRequest.mayHaveRun = true;
      Finish(aContext, aRequest, ResultCode::kAttemptsExhausted);
      return;
  }
  Retry(aContext, aView, aRequest, aEnded);
}

void Router::OnCrashed(Context& aContext,
                       View& aView,
                       Request& aRequest,
                       const EndpointId& aEndpoint)
{
  if (!aContext.IsEnabled(Mechanism::kQuarantine)) {
    return;
  }
  const EndpointInfo* info = aView.FindEndpoint(aEndpoint);
  SuspectsMessage suspects{ aEndpoint, info != nullptr ? info->bootId : std::string{}, {} };
  suspects.fingerprints.push_back(aRequest.arrived.fingerprint);
  aRequest.suspect = true;
  for (const RequestId& other : mInFlight[aEndpoint]) {
    Request& request = mRequests.at(other);
    request.suspect = true;
    suspects.fingerprints.push_back(request.arrived.fingerprint);
  }
  OnSuspects(aContext, suspects);
  for (const auto& [id, member] : aView.members()) {
    aView.SendTo(aContext, id, suspects);
  }
}

void Router::Retry(Context& aContext, View& aView, Request& aRequest, const AttemptEnded& aEnded)
{
  const bool isOnce = aRequest.repeatability == Repeatability::kAtMostOnce;
  const bool isFinal =
    isOnce && aRequest.mayHaveRun && aContext.IsEnabled(Mechanism::kFinalOutcomeUnknown);
  if (isFinal) {
    mClaims.Record(aContext, aRequest.arrived.request, ClaimState::kUnknown, aEnded);
    aContext.Emit(
      FinishRequest{ .request = aRequest.arrived.request, .code = ResultCode::kOutcomeUnknown });
    Erase(aRequest.arrived.request);
    return;
  }
  if (aRequest.deadline <= aContext.now()) {
    Finish(aContext,
           aRequest,
           aRequest.mayHaveRun ? ResultCode::kAttemptsExhausted : ResultCode::kDeadlinePassed);
    return;
  }
  if (aRequest.attempt.value >= aContext.settings().attemptLimit) {
    Finish(aContext,
           aRequest,
           aRequest.mayHaveRun ? ResultCode::kAttemptsExhausted : ResultCode::kEndpointUnavailable,
           kDefaultRetryAfter);
    return;
  }
  const RetryBudgetOptions budget{ aContext.settings().retryBudgetRatio,
                                   aContext.settings().retryBudgetBurst };
  const bool isAllowed =
    !aContext.IsEnabled(Mechanism::kRetryBudget) ||
    mBudget.TakeRetry(aRequest.arrived.customer, aRequest.arrived.service, budget);
  if (!isAllowed) {
    Finish(aContext,
           aRequest,
           aRequest.mayHaveRun ? ResultCode::kRetryBudgetSpent : ResultCode::kEndpointUnavailable,
           kDefaultRetryAfter);
    return;
  }
  Enqueue(aContext, aView, aRequest);
}

void Router::Finish(Context& aContext, Request& aRequest, ResultCode aCode, Duration aRetryAfter)
{
  const bool isOnce = aRequest.repeatability == Repeatability::kAtMostOnce;
  if (aRequest.mayHaveRun && Describe(aCode).execution == Execution::kNotRun) {
    aCode = isOnce ? ResultCode::kOutcomeUnknown : ResultCode::kAttemptsExhausted;
  }
  if (isOnce) {
    if (aRequest.mayHaveRun) {
      mClaims.Record(aContext, aRequest.arrived.request, ClaimState::kUnknown, {});
    } else {
      mClaims.Release(aContext, aRequest.arrived.request);
    }
  }
  aContext.Emit(
    FinishRequest{ .request = aRequest.arrived.request, .code = aCode, .retryAfter = aRetryAfter });
  Erase(aRequest.arrived.request);
}

void Router::Erase(const RequestId& aRequest)
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  Request& request = found->second;
  mDeadlines.erase({ request.deadline, aRequest });
  const auto queued = mQueuedByCustomer.find(request.arrived.customer);
  if (--queued->second == 0) {
    mQueuedByCustomer.erase(queued);
  }
  mRequests.erase(found);
}

void Router::OnTransactionResult(Context& aContext, View& aView, const TransactionResult& aResult)
{
  auto verdicts = mClaims.OnResult(aContext, aResult);
  const auto late = mClaims.OnWake(aContext);
  verdicts.insert(verdicts.end(), late.begin(), late.end());
  for (const ClaimVerdict& verdict : verdicts) {
    const auto found = mRequests.find(verdict.request);
    if (found == mRequests.end()) {
      mClaims.Release(aContext, verdict.request);
      continue;
    }
    Request& request = found->second;
    switch (verdict.outcome) {
      case ClaimOutcome::kGranted:
        Enqueue(aContext, aView, request);
        break;
      case ClaimOutcome::kHeld:
        if (aView.IsProvenDead(verdict.row.owner)) {
          Finish(aContext, request, ResultCode::kEarlierOutcomeUnknown);
        } else {
          Finish(aContext, request, ResultCode::kIdempotencyKeyInProgress, kDefaultRetryAfter);
        }
        break;
      case ClaimOutcome::kDone:
        aContext.Emit(FinishRequest{ .request = verdict.request,
                                     .code = ResultCode::kOk,
                                     .httpStatus = verdict.row.httpStatus,
                                     .contentType = verdict.row.contentType,
                                     .storedAnswer = verdict.row.answer });
        Erase(verdict.request);
        break;
      case ClaimOutcome::kUnknown:
        Finish(aContext, request, ResultCode::kEarlierOutcomeUnknown);
        break;
      case ClaimOutcome::kReused:
        Finish(aContext, request, ResultCode::kIdempotencyKeyReused);
        break;
      case ClaimOutcome::kUnavailable:
        Finish(aContext, request, ResultCode::kClaimUnavailable, kDefaultRetryAfter);
        break;
    }
  }
}

void Router::OnCancelled(Context& aContext, View& aView, const RequestCancelled& aCancelled)
{
  const auto found = mRequests.find(aCancelled.request);
  if (found == mRequests.end()) {
    return;
  }
  Request& request = found->second;
  const bool isOnce = request.repeatability == Repeatability::kAtMostOnce;
  if (request.state == RequestState::kInFlight) {
    if (isOnce) {
      // It runs to its end, so that its outcome can be recorded.
      request.cancelled = true;
      return;
    }
    const EndpointId endpoint = request.endpoint;
    mInFlight[endpoint].erase(aCancelled.request);
    aContext.Emit(StopAttempt{ aCancelled.request, request.attempt });
    Erase(aCancelled.request);
    ReportDrained(aContext, aView, endpoint);
    DispatchEndpoint(aContext, aView, endpoint);
    return;
  }
  if (Target* target = FindTarget(request)) {
    target->queue.Remove(request.queued);
  }
  if (isOnce) {
    mClaims.Release(aContext, aCancelled.request);
  }
  Erase(aCancelled.request);
}

void Router::OnSuspects(Context& aContext, const SuspectsMessage& aSuspects)
{
  for (const FingerprintId& fingerprint : aSuspects.fingerprints) {
    mQuarantine.suspects.Add(
      fingerprint, aContext.now() + aContext.settings().quarantineLength, aContext.now());
  }
}

void Router::OnConvicted(Context& aContext, const ConvictedMessage& aConvicted)
{
  if (!aContext.IsEnabled(Mechanism::kQuarantine)) {
    return;
  }
  mQuarantine.convicted.Add(
    aConvicted.fingerprint, aContext.now() + aConvicted.expiresIn, aContext.now());
}

void Router::ExpireDeadlines(Context& aContext)
{
  while (!mDeadlines.empty() && aContext.IsEnabled(Mechanism::kDeadlineRefusal)) {
    const auto [deadline, id] = *mDeadlines.begin();
    if (deadline > aContext.now()) {
      aContext.WakeBy(deadline);
      return;
    }
    Request& request = mRequests.at(id);
    if (request.state == RequestState::kInFlight) {
      aContext.Emit(StopAttempt{ id, request.attempt });
      mInFlight[request.endpoint].erase(id);
      request.mayHaveRun = true;
    } else if (Target* target = FindTarget(request)) {
      target->queue.Remove(request.queued);
    }
    const bool isOnce = request.repeatability == Repeatability::kAtMostOnce;
    ResultCode code = ResultCode::kDeadlinePassed;
    if (request.mayHaveRun) {
      code = isOnce ? ResultCode::kOutcomeUnknown : ResultCode::kAttemptsExhausted;
    }
    Finish(aContext, request, code, kDefaultRetryAfter);
  }
}

bool Router::IsInUse(const Target& aTarget) const
{
  return std::any_of(
    aTarget.replicas.begin(), aTarget.replicas.end(), [&](const ReplicaLocation& aReplica) {
      const auto found = mInFlight.find(aReplica.runner);
      return found != mInFlight.end() &&
             std::any_of(found->second.begin(), found->second.end(), [&](const RequestId& aId) {
               return mRequests.at(aId).arrived.artifact == aTarget.artifact;
             });
    });
}

void Router::OnWake(Context& aContext, View& aView)
{
  ExpireDeadlines(aContext);
  OnTransactionResult(aContext, aView, {});
  for (auto& [key, target] : mTargets) {
    if (!target.queue.empty()) {
      DispatchTarget(aContext, aView, target);
      continue;
    }
    if (IsPlain(target.artifact) || target.replicas.empty()) {
      continue;
    }
    // Locations in use are refreshed before they run out; unused ones are forgotten.
    const TimePoint refresh = target.knownUntil - aContext.settings().replicaLifetime / 2;
    if (refresh > aContext.now()) {
      aContext.WakeBy(refresh);
    } else if (target.startedSince > 0 || IsInUse(target)) {
      Demand(aContext, aView, target);
    } else if (target.knownUntil <= aContext.now()) {
      target.replicas.clear();
    } else {
      aContext.WakeBy(target.knownUntil);
    }
  }
}

void Router::OnViewChanged(Context& aContext, View& aView)
{
  for (auto& [key, target] : mTargets) {
    if (!target.queue.empty()) {
      DispatchTarget(aContext, aView, target);
    }
  }
}

void Router::Dump(std::vector<DumpEntry>& aOut) const
{
  aOut.push_back({ "router.requests", std::to_string(mRequests.size()) });
  aOut.push_back({ "router.suspects", std::to_string(mQuarantine.suspects.size()) });
  aOut.push_back({ "router.convicted", std::to_string(mQuarantine.convicted.size()) });
  for (const auto& [key, target] : mTargets) {
    const std::string path = "router.targets." + key.first.str() + "." + key.second.model.str() +
                             (key.second.adapter.empty() ? "" : "+" + key.second.adapter.str());
    aOut.push_back({ path + ".waiting", std::to_string(target.queue.size()) });
    for (const ReplicaLocation& replica : target.replicas) {
      aOut.push_back({ path + ".replica", replica.runner.str() });
    }
  }
}

} // namespace rhubarbtrail

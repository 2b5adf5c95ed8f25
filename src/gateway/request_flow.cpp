/* Attempts of RequestFlow: selects endpoints, sends the request and acts on the result. */
#include "gateway/request_flow.h"

#include "core/boot_clock.h"
#include "core/overloaded.h"
#include "decision/rendezvous_func.h"
#include "platform/runner_decoder.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>
#include <xxhash.h>

namespace rhubarbtrail {

namespace {

using fleet::AttemptEnd;
using fleet::NextStep;
using fleet::RouteKind;

/* Time limit of a request that states no deadline. */
constexpr Duration kDefaultTimeLeft = 30s;
/* Time between two tries to select an endpoint while none is available. */
constexpr Duration kSelectionInterval = 40ms;
/* A request waits for an available endpoint for this fraction (1 / kEndpointWaitDivisor) of the
 * time between its arrival, or its last event, and its deadline, and of twice the time after which
 * the client of a stream without events gives up. Each attempt may be followed by such a wait. */
constexpr int kEndpointWaitDivisor = 3;
/* Retry time sent to clients when no better estimate is available. */
constexpr Duration kDefaultRetryAfter = 500ms;
/* Retry time sent to clients when this daemon stops: other daemons can take the request now. */
constexpr Duration kShutdownRetryAfter = 50ms;
/* Time limit for connecting to an endpoint. Connecting normally takes a few milliseconds. */
constexpr Duration kConnectTimeout = 250ms;
/* Time limit of a probe after a broken connection. */
constexpr Duration kProbeTimeout = 500ms;
/* Clients give up a stream when nothing arrives for two seconds, four times the latency objective
 * or eight times the event gap objective, whichever is longest. */
constexpr Duration kMinClientTimeout = 2s;
constexpr int kClientTimeoutObjectives = 4;
constexpr int kClientTimeoutGaps = 8;
/* Time from a stream's first event after which further events show that no part of its prompt
 * crashes the runner, which happens when it begins to answer. */
constexpr Duration kSoundStreamTime = 500ms;
/* Added to the time limit of a call, so that the request's own deadline ends it. */
constexpr Duration kDeadlineMargin = 1s;
/* Time over which requests that waited for the end of an endpoint's pause are spread. */
constexpr Duration kPauseSpread = 300ms;
/* Maximum body size, in bytes, of an answer that is buffered before it is forwarded. */
constexpr std::uint64_t kBufferedAnswerLimit = 8U << 20U;
/* Limits of the body of a refusal. It is read only so that the connection can be used again. */
constexpr std::uint64_t kMaxRefusalBytes = 64U << 10U;
constexpr Duration kRefusalBodyTimeout = 250ms;
/* Largest size of an event, in bytes, and of comments and blank lines before it. */
constexpr std::size_t kMaxEventBytes = 8U << 20U;

constexpr unsigned kFirstServerError = 500;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirection = 300;
/* Why an endpoint was selected, in log lines. */
constexpr std::string_view kSelectedByLoad = "by_load";
/* Reason of a refusal or failure, in log lines. */
constexpr std::string_view kPartQuarantinedReason = "prompt_part_quarantined";

bool IsSuccess(unsigned aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirection;
}

std::string_view HostWithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.rfind(':'));
}

std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

/* Returns a digest of the account, the method, the target, the model and the body. A client that
 * repeats a request sends the same bytes, so a request that crashes runners is recognised by its
 * digest. Those of other accounts prove nothing about it: an endpoint may treat them otherwise. */
FingerprintId Fingerprint(const http::Request& aRequest,
                          const platform::ClientRequest& aClient,
                          const ClientAccountId& aAccount)
{
  std::uint64_t hash = XXH3_64bits(aRequest.body.data(), aRequest.body.size());
  const std::string rest = aRequest.method + " " + aRequest.target + " " +
                           (aClient.work ? aClient.work->target.model.str() : std::string{}) +
                           "\n" + aAccount.str();
  hash = XXH3_64bits_withSeed(rest.data(), rest.size(), hash);
  return FingerprintId{ fmt::format("{:016x}", hash) };
}

/* Returns the bytes of a request, body and fields. */
std::size_t SizeOf(const http::Request& aRequest)
{
  return aRequest.target.size() + aRequest.body.size() + aRequest.fields.textBytes();
}

/* Returns the bytes that a request takes on the heap without its body. */
std::size_t FieldBytesOf(const http::Request& aRequest)
{
  return aRequest.target.capacity() + aRequest.fields.heapBytes();
}

/* Returns the bytes that the parts of a prompt take. They are kept once more in the request for a
 * place. */
std::size_t PartBytesOf(const platform::ClientRequest& aClient)
{
  const std::size_t placed = aClient.work ? aClient.work->parts.capacity() : 0;
  return 2 * placed * sizeof(fleet::PromptPart) +
         aClient.leadingParts.capacity() * sizeof(fleet::PromptPartId);
}

/* Returns the affinity key of a request: the id of its last prompt part, or a hash of the request
 * id if it has none. It decides between runners that are otherwise equal, so that requests with the
 * same key go to the same one. */
std::uint64_t AffinityOf(const platform::ClientRequest& aClient)
{
  if (aClient.work && !aClient.work->parts.empty()) {
    return aClient.work->parts.back().id;
  }
  return XXH3_64bits(aClient.requestId.data(), aClient.requestId.size());
}

/* Returns whether a report is of another process of the endpoint than this one. */
bool IsOfOtherProcess(const std::string& aReport, const fleet::EndpointProcess& aProcess)
{
  const auto report = platform::DecodeRunnerReport(aReport);
  return report && aProcess.startedAtMs > 0 && report->startedAtMs > aProcess.startedAtMs;
}

/* Returns the retry time of a request that is refused when it arrives. */
Duration RetryAfterOf(ResultCode aCode)
{
  if (aCode == ResultCode::kPromptPartQuarantined) {
    return Duration::zero(); // It would be refused again.
  }
  return aCode == ResultCode::kShuttingDown ? kShutdownRetryAfter : kDefaultRetryAfter;
}

fleet::AssignmentEnd AssignmentEndOf(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kAnswered:
    case AttemptEnd::kErrorAnswer:
      return fleet::AssignmentEnd::kDone;
    case AttemptEnd::kNotRun:
      return fleet::AssignmentEnd::kRefused;
    case AttemptEnd::kNotSent:
      return fleet::AssignmentEnd::kLost;
    case AttemptEnd::kLost:
    case AttemptEnd::kBrokenOff:
      return fleet::AssignmentEnd::kFailed;
  }
  return fleet::AssignmentEnd::kFailed;
}

} // namespace

RequestFlow::RequestFlow(GatewayContext& aContext,
                         http::Request aRequest,
                         std::shared_ptr<http::Responder> aResponder)
  : mContext(aContext)
  , mRequest(std::move(aRequest))
  , mResponder(std::move(aResponder))
  , mArrivedAt(BootClockNow() - mRequest.age)
  , mLastProgressAt(mArrivedAt)
  , mDeadlineTimer(aContext.loop)
  , mWaitTimer(aContext.loop)
  , mSilenceTimer(aContext.loop)
  , mHeld(&aContext.bytes)
  , mRequestSize(SizeOf(mRequest))
  , mFieldBytes(FieldBytesOf(mRequest))
{
  mContext.openRequests.insert(this);
  UpdateHeld();
}

RequestFlow::~RequestFlow()
{
  mContext.openRequests.erase(this);
}

void RequestFlow::Start()
{
  mClient = platform::DecodeClientRequest(mRequest);
  mFieldBytes += PartBytesOf(mClient);
  UpdateHeld();
  mResponder->SetLabel(mClient.requestId);
  mConfiguration = mContext.configuration;
  const auto rejection = AdmitRequest();
  if (!rejection) {
    OnRouted();
    return;
  }
  const ResultCodeInfo& info = Describe(rejection->code);
  if (info.execution == Execution::kNotRun && info.httpStatus == 503) {
    Refuse(rejection->code, RetryAfterOf(rejection->code), rejection->reason);
  } else {
    Fail(rejection->code, rejection->reason);
  }
}

std::optional<RequestFlow::Rejection> RequestFlow::AdmitRequest()
{
  if (mContext.isLeaving) {
    return Rejection{ .code = ResultCode::kShuttingDown, .reason = "the daemon stops" };
  }
  if (!mConfiguration) {
    return Rejection{ .code = ResultCode::kConfigurationStale,
                      .reason = "no configuration is known yet" };
  }
  if (const auto rejection = FindRouteAndAccount()) {
    return rejection;
  }
  if (!mClient.invalidField.empty()) {
    return Rejection{ .code = ResultCode::kRequestMalformed, .reason = "a name is not valid text" };
  }
  if (mClient.requestId.empty()) {
    return Rejection{ .code = ResultCode::kRequestMalformed, .reason = "the request has no id" };
  }
  mFingerprint = Fingerprint(mRequest, mClient, mAccount);
  if (mContext.crashes.IsQuarantined(mArrivedAt, mFingerprint) && !StartCrashTrial()) {
    return Rejection{ .code = ResultCode::kEndpointUnavailable,
                      .reason = "it crashed the endpoints that ran it" };
  }
  mIsPartTrial = IsPartQuarantined() && mContext.isTrialOffered(mClient.leadingParts);
  if (IsPartQuarantined()) {
    return Rejection{ .code = ResultCode::kPromptPartQuarantined,
                      .reason = kPartQuarantinedReason };
  }
  return std::nullopt;
}

bool RequestFlow::StartCrashTrial()
{
  if (!mContext.mayTryQuarantined() || !mContext.crashes.StartTrial(mArrivedAt, mFingerprint)) {
    return false;
  }
  mContext.log.Write("request_trial", { { "id", mClient.requestId }, { "bytes", mFingerprint } });
  return true;
}

std::optional<RequestFlow::Rejection> RequestFlow::FindRouteAndAccount()
{
  auto rejection = ApplyConfiguration(mContext.configuration);
  const bool mayUseFormer =
    mContext.formerConfiguration != nullptr && mArrivedAt < mContext.configurationAppliedAt;
  if (rejection && mayUseFormer) {
    if (!ApplyConfiguration(mContext.formerConfiguration)) {
      rejection.reset();
      ++mContext.keyChecks.former;
    } else {
      rejection = ApplyConfiguration(mContext.configuration);
    }
  }
  CountKeyCheck(rejection);
  return rejection;
}

std::optional<RequestFlow::Rejection> RequestFlow::ApplyConfiguration(
  std::shared_ptr<const fleet::FleetConfiguration> aConfiguration)
{
  const auto host = HostWithoutPort(http::Find(mRequest.fields, "Host").value_or(""));
  mConfiguration = std::move(aConfiguration);
  mRoute = mConfiguration->Match(host, PathOf(mRequest.target));
  mAccount = ClientAccountId{ std::string{ host } };
  mClientAccount = nullptr;
  if (mRoute == nullptr) {
    return Rejection{ .code = ResultCode::kServiceUnknown, .reason = "no route matches" };
  }
  if (!mConfiguration->accounts) {
    return std::nullopt;
  }
  if (!mRoute->isPublic && !mContext.mayUseKeys()) {
    return Rejection{ .code = ResultCode::kConfigurationStale,
                      .reason = "the configuration is unconfirmed" };
  }
  const auto account = fleet::DecideAccount(
    *mConfiguration->accounts, mRoute->isPublic, platform::DecodeCredential(mRequest.fields));
  if (!account) {
    return Rejection{ .code = ResultCode::kKeyNotAccepted,
                      .reason = fleet::ToString(account.error()),
                      .keyRefusal = account.error() };
  }
  mClientAccount = *account;
  mAccount = mClientAccount != nullptr ? mClientAccount->id : ClientAccountId{};
  return std::nullopt;
}

void RequestFlow::CountKeyCheck(const std::optional<Rejection>& aRejection)
{
  KeyCheckCounts& counts = mContext.keyChecks;
  if (aRejection && aRejection->code == ResultCode::kConfigurationStale) {
    ++counts.unconfirmed;
  } else if (aRejection && aRejection->keyRefusal) {
    counts.CountRefusal(*aRejection->keyRefusal);
  } else if (!aRejection && mClientAccount != nullptr) {
    ++counts.accepted[mAccount];
  } else if (!aRejection && mConfiguration->accounts) {
    ++counts.anonymous;
  }
}

void RequestFlow::OnRouted()
{
  ChooseService();
  FindOrigin();
  Duration timeLeft = mClient.timeLeft.value_or(kDefaultTimeLeft);
  if (mRoute->timeout > Duration::zero()) {
    timeLeft = std::min(timeLeft, mRoute->timeout);
  }
  mDeadline = mArrivedAt + timeLeft;
  mAttemptState = { .maxAttempts = mRoute->maxAttempts,
                    .kind = mRoute->kind,
                    .isResumable = mRoute->kind == RouteKind::kStream && mRoute->isResumable };
  mContext.retries.RecordRequest(BootClockNow(), mService);
  mResponder->OnClosed([self = shared_from_this()] { self->OnClientGone(); });
  mDeadlineTimer.expires_after(TimeLeft());
  mDeadlineTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError) {
      self->OnDeadline();
    }
  });
  mContext.log.Write("request_accepted",
                     { { "id", mClient.requestId },
                       { "route", mRoute->name },
                       { "account", AccountName() },
                       { "service", mService },
                       { "model", UsesModels() ? mClient.work->target.model.str() : "" },
                       { "adapter", UsesModels() ? mClient.work->target.adapter.str() : "" },
                       { "client_last_event", mClient.lastEventId },
                       { "resumes", mClient.resumedRequestId },
                       { "time_left_ms", ToMilliseconds(timeLeft) },
                       { "config_version", mConfiguration->version.value } });
  for (const std::string_view name : mClient.ignoredFields) {
    if (mContext.loggedFields.emplace(mRoute->name, name).second) {
      mContext.log.Write("request_field_ignored", { { "route", mRoute->name }, { "field", name } });
    }
  }
  if (TimeLeft() <= Duration::zero()) {
    OnDeadline(); // It was sent ahead, and the answer before it took too long.
  } else if (!RefuseUnknownModel() && !RefuseImpossibleResume()) {
    CheckQuota();
  }
}

void RequestFlow::CheckQuota()
{
  if (mClientAccount != nullptr) {
    mQuotaCost = mContext.quotas.share().Cost(
      mAccount, mClient.tokens.value_or(0), mClient.tokens.has_value());
  }
  if (mQuotaCost <= 0.0 || UsesModels()) {
    SelectEndpoint(); // The dispatcher counts requests for models.
    return;
  }
  const auto id = mContext.quotas.Take(
    BootClockNow(),
    mAccount,
    mQuotaCost,
    [weak = weak_from_this()](const fleet::QuotaDecision& aDecision) {
      if (const auto self = weak.lock(); self && !self->mIsEnded) {
        self->mQuotaWaitId.reset();
        self->OnQuotaDecision(
          aDecision, self->mContext.quotas.share().hasDispatcher() ? "grant" : "own_share");
      }
    });
  if (!mQuotaTakenAt && !mIsEnded) {
    mQuotaWaitId = id;
  }
}

void RequestFlow::OnQuotaDecision(const fleet::QuotaDecision& aDecision,
                                  std::string_view aDecidedBy)
{
  if (const auto* exceeded = std::get_if<fleet::QuotaExceeded>(&aDecision)) {
    RefuseOverQuota(exceeded->retryAfter, aDecidedBy);
    return;
  }
  mQuotaTakenAt = BootClockNow();
  SelectEndpoint();
}

void RequestFlow::RefuseOverQuota(Duration aRetryAfter, std::string_view aDecidedBy)
{
  const fleet::AccountQuota& quota = mClientAccount->quota;
  mContext.log.Write("quota_exceeded",
                     { { "id", mClient.requestId },
                       { "account", mAccount },
                       { "decided_by", aDecidedBy },
                       { "cost", mQuotaCost },
                       { "per_second", quota.perSecond },
                       { "burst", quota.burst },
                       { "config_version", mConfiguration->version.value },
                       { "statement_age_ms",
                         ToMilliseconds(BootClockNow() - mContext.quotas.share().statedAt()) } });
  Refuse(ResultCode::kQuotaExceeded, aRetryAfter, "over_quota");
}

/* Selects a service of the route by weight and a hash of the request id, so that a repeated request
 * and a stream that is resumed go to the same service. */
void RequestFlow::ChooseService()
{
  const std::string& id =
    mClient.resumedRequestId.empty() ? mClient.requestId : mClient.resumedRequestId;
  std::uint64_t total = 0;
  for (const auto& share : mRoute->services) {
    total += share.weight;
  }
  std::uint64_t point = total == 0 ? 0 : XXH3_64bits(id.data(), id.size()) % total;
  for (const auto& share : mRoute->services) {
    if (point < share.weight || total == 0) {
      mService = share.service;
      return;
    }
    point -= share.weight;
  }
}

void RequestFlow::FindOrigin()
{
  if (!IsResumedByClient()) {
    return;
  }
  if (mClient.resumedRequestId.empty()) {
    mOrigin = OnlyOrigin();
  } else {
    mOrigin = mContext.streamOrigins.Find(mArrivedAt, fleet::StreamKeyOf(mClient.resumedRequestId));
  }
  if (mOrigin) {
    mService = mOrigin->service;
  }
}

bool RequestFlow::RefuseUnknownModel()
{
  const fleet::Service* service = mConfiguration->Find(mService);
  if (!UsesModels() || service == nullptr || !service->engine ||
      service->engine->Has(mClient.work->target)) {
    return false;
  }
  // Not 404: a configuration that has it may be on its way.
  Refuse(ResultCode::kEndpointUnavailable, kDefaultRetryAfter, "model_not_configured");
  return true;
}

bool RequestFlow::RefuseImpossibleResume()
{
  if (!IsResumedByClient()) {
    return false;
  }
  const bool mayAskDispatcher = UsesModels() && !mClient.resumedRequestId.empty();
  if (!mOrigin && !mayAskDispatcher) {
    RefuseUnknownOrigin(Duration::zero());
    return true;
  }
  const bool isRouted = std::any_of(mRoute->services.begin(),
                                    mRoute->services.end(),
                                    [&](const auto& aShare) { return aShare.service == mService; });
  if (!isRouted) {
    Refuse(ResultCode::kStreamVersionGone, Duration::zero(), "service_of_stream_not_routed");
  }
  return !isRouted;
}

std::optional<fleet::StreamOrigin> RequestFlow::OnlyOrigin() const
{
  const auto version = mContext.runners.OnlyVersion(BootClockNow(), mService);
  // The stream may have begun at a version that this daemon has not heard of. A client that names
  // no request cannot be checked otherwise, and during an outage of the store only the dispatcher
  // vouches for the versions: streams begin only at those that it has recorded.
  const bool mayRely =
    mContext.areRunnersCurrent() || (mClient.resumedRequestId.empty() && mContext.hasDispatcher());
  if (!version || !mayRely) {
    return std::nullopt;
  }
  return fleet::StreamOrigin{ .service = mService, .version = *version };
}

void RequestFlow::RefuseUnknownOrigin(Duration aRetryAfter)
{
  Refuse(ResultCode::kStreamOriginUnknown, aRetryAfter, "origin_unknown");
}

Duration RequestFlow::TimeLeft() const
{
  return std::max(mDeadline - BootClockNow(), Duration::zero());
}

/* Returns the time after its arrival or its last event at which a client gives up a stream. */
Duration RequestFlow::ClientTimeout() const
{
  return std::max({ kMinClientTimeout,
                    mRoute->latencyObjective * kClientTimeoutObjectives,
                    mRoute->eventGapObjective * kClientTimeoutGaps });
}

void RequestFlow::SelectEndpoint()
{
  if (EndIfPartQuarantined()) {
    return;
  }
  if (UsesModels()) {
    SelectByDispatcher();
  } else {
    SelectLocally(kSelectedByLoad);
  }
}

fleet::PlacementRequest RequestFlow::MakePlacementRequest()
{
  const TimePoint now = BootClockNow();
  fleet::PlacementRequest placementRequest{
    .id = { .daemon = mContext.self, .number = mContext.nextPlacementNumber++ },
    .requestId = mClient.requestId,
    .route = mRoute->name,
    .service = mService,
    .account = mAccount,
    // Retries of a request that may have run, or that this daemon has counted, are not counted
    // again.
    .quotaCost = mQuotaTakenAt || mAttemptState.runs > 0 ? 0.0 : mQuotaCost,
    .work = mClient.work.value_or(fleet::ModelWork{}),
    .priority = Priority(),
    .latencyObjective = std::max(mRoute->latencyObjective - (now - mArrivedAt), Duration::zero()),
    .timeLeft = std::min(TimeLeft(), ClientTimeout() - (now - mLastProgressAt)),
    .isResumable = mAttemptState.isResumable,
    .failedRunners = { mFailedEndpoints.begin(), mFailedEndpoints.end() },
    .pausedRunners = mContext.runners.PausedRunners(now, mService),
    .origin = mOrigin,
  };
  for (fleet::PausedRunner& paused : placementRequest.pausedRunners) {
    paused.timeLeft += PauseSpread();
  }
  for (const EndpointId& full : mContext.runners.FullRunners(mService, mRequestSize)) {
    placementRequest.pausedRunners.push_back({ .runner = full, .timeLeft = kSelectionInterval });
  }
  if (mIsPartTrial) {
    placementRequest.trialParts = mClient.leadingParts;
  }
  if (IsResumedByClient() && !mOrigin) {
    placementRequest.resumedStream = fleet::StreamKeyOf(mClient.resumedRequestId);
  }
  return placementRequest;
}

void RequestFlow::SelectByDispatcher()
{
  const fleet::PlacementRequest placementRequest = MakePlacementRequest();
  mAssignedVersion.reset();
  mPlacementId = placementRequest.id;
  const bool isRequested = mContext.placement.RequestAssignment(
    placementRequest, [weak = weak_from_this()](const fleet::PlacementReply& aReply) {
      if (const auto self = weak.lock()) {
        self->OnPlacementReply(aReply);
      }
    });
  if (!isRequested) {
    mPlacementId.reset();
    SelectLocally("no_dispatcher");
  }
}

void RequestFlow::OnPlacementReply(const fleet::PlacementReply& aReply)
{
  if (mIsEnded) {
    return;
  }
  std::visit(
    Overloaded{ [&](const fleet::RunnerAssigned& aAssigned) { OnRunnerAssigned(aAssigned); },
                [&](const fleet::PlacementRefused& aRefused) {
                  mPlacementId.reset();
                  if (aRefused.code == ResultCode::kQuotaExceeded && mClientAccount != nullptr) {
                    mContext.quotas.RecordRefused();
                    RefuseOverQuota(aRefused.retryAfter, "dispatcher");
                  } else if (aRefused.code == ResultCode::kStreamOriginUnknown) {
                    SelectLocally("origin_unknown");
                  } else if (mAttemptState.runs == 0) {
                    Refuse(aRefused.code, aRefused.retryAfter, "refused_by_dispatcher");
                  } else {
                    Fail(ResultCode::kAttemptsExhausted, "no_place_for_next_attempt");
                  }
                },
                [&](const fleet::PlacementUndecided&) {
                  mPlacementId.reset();
                  SelectLocally("dispatcher_lost");
                } },
    aReply.answer);
}

void RequestFlow::OnRunnerAssigned(const fleet::RunnerAssigned& aAssigned)
{
  mAssignedVersion = aAssigned.version;
  if (mQuotaCost > 0.0 && !mQuotaTakenAt && !std::exchange(mIsQuotaCharged, true)) {
    mContext.quotas.RecordCharged(BootClockNow(), mAccount, mQuotaCost);
  }
  if (IsResumedByClient() && !mOrigin) {
    if (!aAssigned.version || aAssigned.version->empty()) {
      // The dispatcher is of a release that does not look at versions.
      ReleaseAssignment(fleet::AssignmentEnd::kWithdrawn);
      SelectLocally("origin_unknown");
      return;
    }
    mOrigin = { .service = mService, .version = *aAssigned.version };
  }
  if (mContext.runners.IsLimited(aAssigned.runner) && mContext.wasDelayed()) {
    // The dispatcher counted the request against the endpoint's limit at an earlier time.
    mContext.log.Write("assignment_expired",
                       { { "id", mClient.requestId }, { "endpoint", aAssigned.runner } });
    ReleaseAssignment(fleet::AssignmentEnd::kWithdrawn);
    WaitForEndpoint();
    return;
  }
  SendToEndpoint(aAssigned.runner, "dispatched");
}

void RequestFlow::SelectLocally(std::string_view aSelectionReason)
{
  const TimePoint now = BootClockNow();
  mAssignedVersion.reset();
  mIsPartTrial = false; // Only the dispatcher can permit a trial.
  if (EndIfPartQuarantined()) {
    return;
  }
  if (IsResumedByClient() && !mOrigin) {
    mOrigin = OnlyOrigin();
    if (!mOrigin) {
      // Another daemon, or this one after it has found the dispatcher again, may know the origin.
      RefuseUnknownOrigin(mContext.areRunnersCurrent() ? Duration::zero() : kDefaultRetryAfter);
      return;
    }
  }
  if (mOrigin && !mContext.runners.HasUsable(now, *mOrigin)) {
    if (mAttemptState.runs == 0) {
      Refuse(ResultCode::kStreamVersionGone, Duration::zero(), "version_gone");
    } else {
      Fail(ResultCode::kAttemptsExhausted, "version_gone");
    }
    return;
  }
  if (UsesModels() && mQuotaCost > 0.0 && !mQuotaTakenAt && mAttemptState.runs == 0) {
    const auto decision = mContext.quotas.TakeAlone(now, mAccount, mQuotaCost);
    if (const auto* exceeded = std::get_if<fleet::QuotaExceeded>(&decision)) {
      RefuseOverQuota(exceeded->retryAfter, "own_share");
      return;
    }
    mQuotaTakenAt = now;
  }
  auto query = OwnQuery();
  const bool mayAskDispatcher = !UsesModels() && aSelectionReason == kSelectedByLoad;
  if (mayAskDispatcher) {
    query.limited = fleet::LimitedEndpoints::kIfOthersAreFull;
  }
  if (const auto chosen = mContext.runners.Choose(now, query)) {
    if (mayAskDispatcher && mContext.runners.IsLimited(*chosen)) {
      SelectByDispatcher();
      return;
    }
    LogChoice(*chosen);
    SendToEndpoint(*chosen, aSelectionReason);
  } else if (const auto pauseEnd = mContext.runners.EarliestPauseEnd(now, query)) {
    WaitForPauseEnd(*pauseEnd);
  } else {
    WaitForEndpoint();
  }
}

void RequestFlow::LogChoice(const EndpointId& aEndpoint) const
{
  const TimePoint now = BootClockNow();
  const fleet::KnownRunner& runner = *mContext.runners.Find(aEndpoint);
  const auto slowness = mContext.runners.SlownessOf(now, runner);
  const auto& stated = runner.slowness.stated();
  if (slowness && stated) {
    mContext.log.Write("endpoint_chosen",
                       { { "id", mClient.requestId },
                         { "endpoint", aEndpoint },
                         { "slowness", slowness->factor },
                         { "slowness_stated", stated->factor },
                         { "slowness_age_ms", ToMilliseconds(now - runner.slowness.statedAt()) },
                         { "slowness_measured", runner.slowness.MeasuredAt(now).factor },
                         { "in_flight_here", runner.inFlight } });
  }
}

fleet::RunnerRegistry::EndpointQuery RequestFlow::OwnQuery() const
{
  return { .service = mService,
           .zone = mContext.zone,
           .model = UsesModels() ? &mClient.work->target : nullptr,
           .softwareVersion = mOrigin ? &mOrigin->version : nullptr,
           .recordedVersions =
             mAttemptState.isResumable && !mOrigin ? &mContext.recordedVersions : nullptr,
           .affinity = AffinityOf(mClient),
           .requestBytes = mRequestSize,
           .excluded = &mFailedEndpoints };
}

Duration RequestFlow::PauseSpread() const
{
  const std::uint64_t hash = XXH3_64bits(mClient.requestId.data(), mClient.requestId.size());
  return Duration{ static_cast<Duration::rep>(hash % kPauseSpread.count()) };
}

TimePoint RequestFlow::PatienceEnd() const
{
  return mRoute->kind == RouteKind::kStream ? std::min(mDeadline, mLastProgressAt + ClientTimeout())
                                            : mDeadline;
}

void RequestFlow::WaitForPauseEnd(TimePoint aEnd)
{
  const TimePoint now = BootClockNow();
  const TimePoint patienceEnd = PatienceEnd();
  if (aEnd >= patienceEnd) {
    if (mAttemptState.runs == 0) {
      Refuse(ResultCode::kEndpointUnavailable, aEnd - now, "all_endpoints_paused");
    } else {
      Fail(ResultCode::kAttemptsExhausted, "all_endpoints_paused");
    }
    return;
  }
  mFailedEndpoints.clear();
  mWaitTimer.expires_after(aEnd + std::min(PauseSpread(), (patienceEnd - aEnd) / 2) - now);
  mWaitTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError && !self->mIsEnded) {
      self->SelectEndpoint();
    }
  });
}

void RequestFlow::WaitForEndpoint()
{
  const TimePoint now = BootClockNow();
  // A stream's client gives up before its deadline when no event arrives.
  const Duration patience = mRoute->kind == RouteKind::kStream
                              ? std::min(mDeadline - mLastProgressAt, ClientTimeout() * 2)
                              : mDeadline - mLastProgressAt;
  const TimePoint waitStart = mWaitStartedAt.value_or(now);
  mWaitStartedAt = waitStart;
  if (now - waitStart >= patience / kEndpointWaitDivisor) {
    if (mAttemptState.runs == 0) {
      Refuse(ResultCode::kEndpointUnavailable, kDefaultRetryAfter, "no_endpoint");
    } else {
      Fail(ResultCode::kAttemptsExhausted, "no_endpoint_for_next_attempt");
    }
    return;
  }
  // An endpoint that failed this request may be the only one left, so it may be chosen again.
  if (mAttemptState.refusals > 0 || mAttemptState.runs > 0) {
    mFailedEndpoints.clear();
  }
  mWaitTimer.expires_after(kSelectionInterval);
  mWaitTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError && !self->mIsEnded) {
      self->SelectEndpoint();
    }
  });
}

std::optional<fleet::AssignmentEnd> RequestFlow::ObstacleAt(
  const EndpointId& aEndpoint,
  const std::optional<SoftwareVersion>& aAssignedVersion) const
{
  const fleet::KnownRunner* runner = mContext.runners.Find(aEndpoint);
  const fleet::Exclusion exclusion =
    runner == nullptr ? fleet::Exclusion::kGone : mContext.runners.Check(BootClockNow(), *runner);
  if (exclusion == fleet::Exclusion::kGone || exclusion == fleet::Exclusion::kLeaving) {
    return fleet::AssignmentEnd::kLost;
  }
  const SoftwareVersion& version = runner->entry.softwareVersion;
  const bool isOtherOrigin =
    mOrigin && (runner->entry.service != mOrigin->service || version != mOrigin->version ||
                (aAssignedVersion && *aAssignedVersion != version));
  if (exclusion == fleet::Exclusion::kPaused || isOtherOrigin ||
      !mContext.runners.HasRoomFor(*runner, mRequestSize)) {
    return fleet::AssignmentEnd::kWithdrawn;
  }
  return std::nullopt;
}

void RequestFlow::SendToEndpoint(const EndpointId& aEndpoint, std::string_view aSelectionReason)
{
  if (EndIfPartQuarantined()) {
    return;
  }
  const TimePoint now = BootClockNow();
  if (const auto obstacle = ObstacleAt(aEndpoint, mAssignedVersion)) {
    ReleaseAssignment(*obstacle);
    WaitForEndpoint();
    return;
  }
  if (!mContext.descriptors.HasRoomForRequest(mContext.sockets.open())) {
    ReleaseAssignment(fleet::AssignmentEnd::kWithdrawn);
    WaitForEndpoint();
    return;
  }
  if (!mPlacementId && !mContext.runners.TakeOwnShare(now, aEndpoint)) {
    WaitForEndpoint();
    return;
  }
  const bool isRepeat = mAttemptState.runs + mAttemptState.refusals > 0;
  if (isRepeat && !mContext.retries.TakeRetry(now, mService)) {
    ReleaseAssignment(fleet::AssignmentEnd::kWithdrawn);
    if (mAttemptState.runs == 0) {
      Refuse(ResultCode::kEndpointUnavailable, kDefaultRetryAfter, "retry_share_spent");
    } else if (mIsHeadSent) {
      BreakOffAnswer("retry_share_spent");
    } else {
      Fail(ResultCode::kAttemptsExhausted, "retry_share_spent");
    }
    return;
  }
  const fleet::KnownRunner& runner = *mContext.runners.Find(aEndpoint);
  mWaitStartedAt.reset();
  mAttempt = BeginAttempt(runner, mAssignedVersion, aSelectionReason);
  // A connection that this endpoint has used to refuse the request may bring that refusal once
  // more.
  const bool mayReuse = mRoute->MayRepeatOrResume() && !mRefusedBy.contains(aEndpoint);
  StartCall(mAttempt, runner, mayReuse ? http::Reuse::kAllowed : http::Reuse::kFresh);
  if (const Duration limit = SilenceLimit(); limit > Duration::zero()) {
    WatchForSilence(limit);
  }
}

RequestFlow::Attempt RequestFlow::BeginAttempt(
  const fleet::KnownRunner& aRunner,
  const std::optional<SoftwareVersion>& aAssignedVersion,
  std::string_view aSelectionReason)
{
  const TimePoint now = BootClockNow();
  const SoftwareVersion& version = aRunner.entry.softwareVersion;
  const bool isVersionCertain = !aAssignedVersion || *aAssignedVersion == version;
  Attempt attempt;
  attempt.number = ++mAttemptCount;
  attempt.endpoint = aRunner.entry.id;
  attempt.endpointStartedAtMs = aRunner.entry.startedAtMs;
  attempt.version = isVersionCertain ? version : SoftwareVersion{};
  attempt.startedAt = now;
  attempt.lastBytesAt = now;
  attempt.requestBytes = mRequestSize;
  mContext.runners.RecordRequestStart(attempt.endpoint, attempt.requestBytes);
  mContext.metrics.Count(attempt.number > 1 ? Counter::kRetries : Counter::kAttempts);
  mContext.log.Write("request_sent",
                     { { "id", mClient.requestId },
                       { "endpoint", attempt.endpoint },
                       { "software", attempt.version },
                       { "why", aSelectionReason },
                       { "attempt", attempt.number },
                       { "waited_ms", ToMilliseconds(now - mArrivedAt) },
                       { "entry_age_ms", ToMilliseconds(now - aRunner.changedAt) },
                       { "last_event", mLastEventId } });
  return attempt;
}

void RequestFlow::StartCall(Attempt& aAttempt,
                            const fleet::KnownRunner& aRunner,
                            http::Reuse aReuse)
{
  const Duration timeLeft = TimeLeft();
  const http::CallOptions options{
    .address = aRunner.entry.address,
    .request = platform::EncodeForwardedRequest(mRequest,
                                                { .endpoint = aAttempt.endpoint,
                                                  .timeLeft = timeLeft,
                                                  .priority = Priority(),
                                                  .hasPriority = UsesModels(),
                                                  .lastEventId = mLastEventId,
                                                  .account = ForwardedAccount() }),
    .reuse = aReuse,
    .connectTimeout = kConnectTimeout,
    .answerTimeout = timeLeft + kDeadlineMargin,
    .maxBodyBytes = 0,
    .totalTimeout = Duration::zero(), // The deadline of the request ends the call.
  };
  const auto weak = weak_from_this();
  const std::uint64_t number = aAttempt.number;
  aAttempt.call = mContext.client.Start(
    options,
    { .onHead =
        [weak, number](const http::AnswerHead& aHead) {
          const auto self = weak.lock();
          return self && self->OnHead(number, aHead);
        },
      .onInterimHead =
        [weak, number](const http::AnswerHead& aHead) {
          if (const auto self = weak.lock()) {
            self->ReportAnswer(number, platform::DecodeEndpointAnswer(aHead));
          }
        },
      .onBody =
        [weak, number](std::string_view aBytes) {
          if (const auto self = weak.lock()) {
            self->OnBody(number, aBytes);
          }
        },
      .onEnd = [self = shared_from_this(),
                number](http::CallResult aResult) { self->OnEnd(number, aResult); } });
}

void RequestFlow::ReportAnswer(std::uint64_t aAttemptNumber,
                               const platform::EndpointAnswer& aAnswer)
{
  const Attempt& attempt = IsReplacement(aAttemptNumber) ? mReplacement->attempt : mAttempt;
  const bool isOwnAnswer = aAnswer.hasSignature && aAnswer.requestId == mClient.requestId;
  mContext.onEndpointAnswer(
    { .endpoint = attempt.endpoint,
      .startedAtMs = attempt.endpointStartedAtMs,
      .requestSentAt = isOwnAnswer ? std::optional{ attempt.startedAt } : std::nullopt },
    aAnswer);
}

bool RequestFlow::OnHead(std::uint64_t aAttemptNumber, const http::AnswerHead& aHead)
{
  const bool isReplacement = IsReplacement(aAttemptNumber);
  const EndpointId endpoint = isReplacement ? mReplacement->attempt.endpoint : mAttempt.endpoint;
  auto decodedHead = platform::DecodeEndpointAnswer(aHead);
  ReportAnswer(aAttemptNumber, decodedHead); // Also if the answer belongs to another request.
  if (!decodedHead.requestId.empty() && decodedHead.requestId != mClient.requestId) {
    mContext.log.Write("foreign_answer_skipped",
                       { { "id", mClient.requestId },
                         { "endpoint", endpoint },
                         { "answer_id", decodedHead.requestId } });
    return false;
  }
  if (decodedHead.isNotRun && decodedHead.requestId.empty() && IsConnectionReused(isReplacement)) {
    // It may be the refusal of an earlier request, written once more.
    mContext.log.Write(
      "refusal_without_id",
      { { "id", mClient.requestId }, { "endpoint", endpoint }, { "status", aHead.status } });
    decodedHead.isNotRun = false;
    decodedHead.hasSignature = false;
  }
  if (decodedHead.load) {
    mContext.runners.RecordLoad(BootClockNow(), endpoint, *decodedHead.load);
  }
  if (isReplacement) {
    const bool isUsable = !decodedHead.isNotRun && decodedHead.hasSignature &&
                          !decodedHead.isEncoded && aHead.status < kFirstServerError;
    if (!isUsable) {
      mReplacement->attempt.head = aHead;
      mReplacement->attempt.isInvalid = !decodedHead.isNotRun;
      mReplacement->attempt.decodedHead = std::move(decodedHead);
      LimitAnswer(mReplacement->attempt);
      return true;
    }
    PromoteReplacement();
  }
  RecordBytes();
  const bool isSuccess = aHead.status >= 200 && aHead.status < 300;
  mAttempt.isInvalid =
    !decodedHead.isNotRun && (!decodedHead.hasSignature || decodedHead.isEncoded);
  if (isSuccess && mIsHeadSent && !ContinuesStream(aHead)) {
    mAttempt.isInvalid = true;
  }
  mAttempt.isStream = isSuccess && !mAttempt.isInvalid && mRoute->kind == RouteKind::kStream;
  mAttempt.head = aHead;
  mAttempt.decodedHead = std::move(decodedHead);
  if (const Duration limit = SilenceLimit(); limit > Duration::zero()) {
    WatchForSilence(limit); // It may be shorter than the one before the head.
  }
  LimitAnswer(mAttempt);
  return true;
}

bool RequestFlow::IsConnectionReused(bool aIsReplacement) const
{
  const Attempt& attempt = aIsReplacement ? mReplacement->attempt : mAttempt;
  return attempt.call && attempt.call->isConnectionReused();
}

/* Limits the rest of an answer whose head has arrived. The body of a stream has no limit. */
void RequestFlow::LimitAnswer(const Attempt& aAttempt)
{
  if (!aAttempt.call) {
    return;
  }
  if (aAttempt.isInvalid) {
    aAttempt.call->End(http::CallResult::kMalformed);
  } else if (aAttempt.decodedHead.isNotRun) {
    aAttempt.call->LimitBody(kMaxRefusalBytes, kRefusalBodyTimeout);
  } else if (!aAttempt.isStream) {
    aAttempt.call->LimitBody(kBufferedAnswerLimit, Duration::zero());
  }
}

bool RequestFlow::ContinuesStream(const http::AnswerHead& aHead) const
{
  const auto contentType = [](const http::AnswerHead& aItem) {
    return http::Find(aItem.fields, "Content-Type").value_or("");
  };
  return aHead.status == mStreamHead.status &&
         http::EqualsIgnoringCase(contentType(aHead), contentType(mStreamHead));
}

void RequestFlow::OnBody(std::uint64_t aAttemptNumber, std::string_view aBytes)
{
  if (mIsEnded || IsReplacement(aAttemptNumber) || mAttempt.isInvalid ||
      mAttempt.decodedHead.isNotRun) {
    return;
  }
  RecordBytes();
  if (!mAttempt.isStream) {
    mAttempt.body += aBytes;
    UpdateHeld();
    return;
  }
  mEventSplitter.Feed(aBytes);
  ForwardEvents();
  if (mEventSplitter.rest().size() > kMaxEventBytes) {
    EndTooLargeEvent();
    return;
  }
  PauseIfBehind();
  UpdateHeld();
}

/* Ends an attempt with an event that exceeds kMaxEventBytes. */
void RequestFlow::EndTooLargeEvent()
{
  mContext.log.Write("answer_limit_exceeded",
                     { { "id", mClient.requestId },
                       { "address", mAttempt.endpoint },
                       { "target", mRequest.target },
                       { "part", "event" },
                       { "value", mEventSplitter.rest().size() },
                       { "limit", kMaxEventBytes },
                       { "action", "connection_closed" } });
  mAttempt.isInvalid = true;
  if (mAttempt.call) {
    mAttempt.call->End(http::CallResult::kTooLarge);
  }
}

/* Forwards all events that have arrived completely. */
void RequestFlow::ForwardEvents()
{
  std::string forwarded;
  while (auto event = mEventSplitter.Next()) {
    std::string id = platform::DecodeEventId(*event);
    if (!id.empty()) {
      mLastEventId = std::move(id);
    }
    ++mEventsForwarded;
    forwarded += *event;
  }
  if (forwarded.empty()) {
    return;
  }
  const Duration runTime = BootClockNow() - mAttempt.startedAt;
  if (mAttempt.timeToFirstEvent == Duration::zero()) {
    mAttempt.timeToFirstEvent = runTime;
  } else if (runTime - mAttempt.timeToFirstEvent >= kSoundStreamTime) {
    RecordSoundParts();
  }
  if (!mIsHeadSent) {
    RecordOrigin();
  }
  SendHeadOnce();
  mResponder->SendBody(forwarded);
  mLastProgressAt = BootClockNow();
}

void RequestFlow::RecordSoundParts()
{
  if (!std::exchange(mAttempt.isProvenSound, true)) {
    mContext.onSoundAnswer(mAccount, mClient.leadingParts, mAttempt.version);
  }
}

void RequestFlow::RecordOrigin()
{
  if (!mOrigin && mAttempt.version.empty()) {
    mAttemptState.isResumable = false; // No version is known to fit this stream.
    return;
  }
  if (!mOrigin) {
    mOrigin = { .service = mService, .version = mAttempt.version };
  }
  if (mRoute->isResumable) {
    const std::string& id =
      mClient.resumedRequestId.empty() ? mClient.requestId : mClient.resumedRequestId;
    mContext.onStreamBegun({ .key = fleet::StreamKeyOf(id), .origin = *mOrigin });
  }
}

void RequestFlow::SendHeadOnce()
{
  if (mIsHeadSent) {
    return;
  }
  mIsHeadSent = true;
  mFirstByteAt = BootClockNow();
  mStreamHead = platform::EncodeForwardedAnswer(*mAttempt.head);
  mStreamHead.framing = http::Framing::kChunked;
  mResponder->SendHead(mStreamHead);
}

AttemptEnd RequestFlow::ClassifyAttempt(http::CallResult aResult) const
{
  if (aResult == http::CallResult::kNotConnected) {
    return AttemptEnd::kNotSent;
  }
  if (mAttempt.head && mAttempt.decodedHead.isNotRun) {
    // The head states that the request has not run, which is true even if the body was lost.
    return AttemptEnd::kNotRun;
  }
  if (aResult != http::CallResult::kComplete || !mAttempt.head || mAttempt.isInvalid) {
    return mIsHeadSent ? AttemptEnd::kBrokenOff : AttemptEnd::kLost;
  }
  const bool isServerError = mAttempt.head->status >= kFirstServerError;
  if (mIsHeadSent && !mAttempt.isStream) {
    // The client has a part of a stream, and the endpoint that was to resume it answered otherwise.
    return AttemptEnd::kBrokenOff;
  }
  return isServerError ? AttemptEnd::kErrorAnswer : AttemptEnd::kAnswered;
}

/* Returns whether the events of a stream show that it broke off, although its framing or the end of
 * its connection marks the answer as complete. */
bool RequestFlow::IsStreamUnfinished() const
{
  if (!mAttempt.isStream) {
    return false;
  }
  const bool hasNoEvent = mAttempt.timeToFirstEvent == Duration::zero();
  return mEventSplitter.IsInsideEvent() ||
         (hasNoEvent && mAttempt.head->framing == http::Framing::kUntilClose);
}

fleet::PaceSignal RequestFlow::PaceSignalOf(const Attempt& aAttempt) const
{
  const Duration time = aAttempt.timeToFirstEvent > Duration::zero()
                          ? aAttempt.timeToFirstEvent
                          : BootClockNow() - aAttempt.startedAt;
  const Duration objective = mRoute->latencyObjective;
  return objective > Duration::zero() && time > objective ? fleet::PaceSignal::kLate
                                                          : fleet::PaceSignal::kInTime;
}

void RequestFlow::OnEnd(std::uint64_t aAttemptNumber, http::CallResult aResult)
{
  if (IsReplacement(aAttemptNumber)) {
    OnReplacementEnd(aResult);
    return;
  }
  mAttempt.call.reset();
  if (mIsEnded) {
    return;
  }
  const bool isUnfinished = aResult == http::CallResult::kComplete && IsStreamUnfinished();
  if (isUnfinished) {
    aResult = http::CallResult::kBroken;
  }
  const AttemptEnd end = ClassifyAttempt(aResult);
  const bool wasLeftUnread = aResult == http::CallResult::kBroken && WasLeftUnread();
  const TimePoint now = BootClockNow();
  switch (end) {
    case AttemptEnd::kAnswered:
      RecordEnd(mAttempt, fleet::EndpointOutcome::kSucceeded);
      if (const bool wasQuarantined = mContext.crashes.IsQuarantined(now, mFingerprint);
          mContext.crashes.RecordAnswer(mFingerprint)) {
        mContext.onCleared(mFingerprint, wasQuarantined);
      }
      if (HasAnswerBegun(mAttempt) && IsSuccess(mAttempt.head->status)) {
        RecordSoundParts();
      }
      // The time of a stream depends on its length, and an error may be answered at once.
      if (!UsesModels() && !mAttempt.isStream && IsSuccess(mAttempt.head->status)) {
        mContext.runners.RecordAnswerTime(
          now,
          { .endpoint = mAttempt.endpoint,
            .kind = mRoute->name,
            .time = now - mAttempt.startedAt,
            .load = mAttempt.decodedHead.load.value_or(fleet::EndpointLoad{}) });
      }
      break;
    case AttemptEnd::kErrorAnswer:
    case AttemptEnd::kLost:
    case AttemptEnd::kBrokenOff:
      RecordEnd(mAttempt,
                wasLeftUnread ? fleet::EndpointOutcome::kCancelled
                              : fleet::EndpointOutcome::kFailed);
      if (aResult == http::CallResult::kBroken && !wasLeftUnread) {
        ProbeEndpoint(mAttempt);
      }
      break;
    case AttemptEnd::kNotSent:
      RecordEnd(mAttempt, fleet::EndpointOutcome::kFailed);
      break;
    case AttemptEnd::kNotRun:
      RecordEnd(mAttempt,
                mAttempt.head->status == 421 && !UsesModels()
                  ? fleet::EndpointOutcome::kWrongEndpoint
                  : fleet::EndpointOutcome::kRefused);
      break;
  }
  ReleaseAssignment(wasLeftUnread ? fleet::AssignmentEnd::kDone : AssignmentEndOf(end));
  const std::string_view result = isUnfinished    ? "unfinished_stream"
                                  : wasLeftUnread ? "left_unread"
                                                  : http::ToString(aResult);
  if (end != AttemptEnd::kAnswered && mReplacement) {
    RecordAttempt(end, result);
    AdoptReplacement();
    return;
  }
  WithdrawReplacement();
  OnAttemptEnded(end, result);
}

void RequestFlow::ProbeEndpoint(const Attempt& aAttempt)
{
  const fleet::KnownRunner* runner = mContext.runners.Find(aAttempt.endpoint);
  if (runner == nullptr ||
      mContext.runners.Check(BootClockNow(), *runner) == fleet::Exclusion::kPaused) {
    return;
  }
  // Connections break for many reasons, but a new one fails only if the process is gone. Anything
  // else does not make the request a suspect. The parts of one whose stream has gone on for a while
  // did not crash the runner when it began to answer.
  const fleet::CrashSuspect suspect{ .request = mFingerprint,
                                     .account = mAccount,
                                     .parts = aAttempt.isProvenSound
                                                ? std::vector<fleet::PromptPartId>{}
                                                : mClient.leadingParts,
                                     .version = aAttempt.version,
                                     .hasHead = aAttempt.head && IsSuccess(aAttempt.head->status) };
  const fleet::EndpointProcess process{ .endpoint = aAttempt.endpoint,
                                        .startedAtMs = aAttempt.endpointStartedAtMs };
  if (!mContext.runners.TakeOwnShare(BootClockNow(), aAttempt.endpoint)) {
    mContext.onPossibleCrash(process, suspect); // The endpoint's limit allows no call.
    return;
  }
  auto report = std::make_shared<std::string>();
  mContext.client.Start(
    { .address = runner->entry.address,
      .request = platform::EncodeReportRequest(aAttempt.endpoint),
      .reuse = http::Reuse::kFresh,
      .connectTimeout = kConnectTimeout,
      .answerTimeout = kConnectTimeout,
      .totalTimeout = kProbeTimeout },
    { .onHead =
        [&context = mContext,
         endpoint = aAttempt.endpoint,
         startedAtMs = aAttempt.endpointStartedAtMs](const http::AnswerHead& aHead) {
          context.onEndpointAnswer({ .endpoint = endpoint, .startedAtMs = startedAtMs },
                                   platform::DecodeEndpointAnswer(aHead));
          return true;
        },
      .onBody = [report](std::string_view aBytes) { *report += aBytes; },
      .onEnd =
        [&context = mContext, suspect, report, id = mClient.requestId, process](
          http::CallResult aResult) {
          if (aResult != http::CallResult::kNotConnected && !IsOfOtherProcess(*report, process)) {
            return;
          }
          context.log.Write(
            "request_suspected",
            { { "id", id }, { "endpoint", process.endpoint }, { "bytes", suspect.request } });
          context.onCrash(process, suspect);
        } });
}

void RequestFlow::UpdateAttemptState()
{
  mAttemptState.timeLeft = TimeLeft();
  mAttemptState.isQuarantined =
    mContext.crashes.IsQuarantined(BootClockNow(), mFingerprint) || IsPartQuarantined();
}

void RequestFlow::RecordAttempt(AttemptEnd aEnd, std::string_view aResult)
{
  const bool hasRun = aEnd != AttemptEnd::kNotSent && aEnd != AttemptEnd::kNotRun;
  mAttemptState.runs += hasRun ? 1 : 0;
  mAttemptState.refusals += hasRun ? 0 : 1;
  mIsPartTrial = false;
  UpdateAttemptState();
  if (aEnd == AttemptEnd::kAnswered) {
    return;
  }
  mFailedEndpoints.insert(mAttempt.endpoint);
  if (aEnd == AttemptEnd::kNotRun) {
    mRefusedBy.insert(mAttempt.endpoint);
  }
  mContext.log.Write("attempt_failed",
                     { { "id", mClient.requestId },
                       { "endpoint", mAttempt.endpoint },
                       { "end", fleet::ToString(aEnd) },
                       { "result", aResult },
                       { "status", mAttempt.head ? mAttempt.head->status : 0U },
                       { "signed", mAttempt.decodedHead.hasSignature },
                       { "framing", FramingName() },
                       { "unfinished_bytes", mEventSplitter.rest().size() },
                       { "took_ms", ToMilliseconds(BootClockNow() - mAttempt.startedAt) },
                       { "runs", mAttemptState.runs },
                       { "refusals", mAttemptState.refusals },
                       { "events_passed", mEventsForwarded },
                       { "time_left_ms", ToMilliseconds(mAttemptState.timeLeft) } });
}

void RequestFlow::OnAttemptEnded(AttemptEnd aEnd, std::string_view aResult)
{
  RecordAttempt(aEnd, aResult);
  if (mRequest.method == "HEAD" && aEnd == AttemptEnd::kAnswered) {
    mAttempt.body.clear();
  }
  NextStep step = DecideNextStep(mAttemptState, aEnd);
  // If the retry budget allows no other attempt, the client gets the endpoint's own 5xx answer.
  if (step == NextStep::kRetry && aEnd == AttemptEnd::kErrorAnswer &&
      mContext.retries.RemainingRetries(BootClockNow(), mService) < 1.0) {
    step = NextStep::kForwardAnswer;
  }
  switch (step) {
    case NextStep::kRetry:
      mEventSplitter.Clear();
      SelectEndpoint();
      break;
    case NextStep::kForwardAnswer:
      ForwardAnswer();
      break;
    case NextStep::kRefuse: {
      const TimePoint now = BootClockNow();
      const auto pauseEnd = mContext.runners.EarliestPauseEnd(now, OwnQuery());
      Refuse(ResultCode::kEndpointUnavailable,
             pauseEnd ? *pauseEnd - now : kDefaultRetryAfter,
             "endpoints_refused");
      break;
    }
    case NextStep::kFail:
      Fail(ResultCode::kAttemptsExhausted, fleet::ToString(aEnd));
      break;
    case NextStep::kBreakOffAnswer:
      BreakOffAnswer(fleet::ToString(aEnd));
      break;
  }
}

void RequestFlow::ReleaseAssignment(fleet::AssignmentEnd aEnd)
{
  if (mPlacementId) {
    mContext.placement.Release({ .id = *std::exchange(mPlacementId, std::nullopt),
                                 .end = aEnd,
                                 .timeToFirstEvent = mAttempt.timeToFirstEvent });
  }
}

void RequestFlow::StopAttempt()
{
  StopAttempt(IsSilent() ? fleet::EndpointOutcome::kFailed : fleet::EndpointOutcome::kCancelled);
}

void RequestFlow::StopAttempt(fleet::EndpointOutcome aOutcome)
{
  WithdrawReplacement();
  if (!mAttempt.call) {
    ReleaseAssignment(fleet::AssignmentEnd::kWithdrawn);
    return;
  }
  mAttempt.call->Cancel();
  mAttempt.call.reset();
  RecordEnd(mAttempt, aOutcome);
  ReleaseAssignment(fleet::AssignmentEnd::kDone);
}

void RequestFlow::EndIfWaiting()
{
  if (mIsEnded || mAttempt.call) {
    return;
  }
  StopAttempt();
  if (mAttemptState.runs == 0) {
    Refuse(ResultCode::kShuttingDown, kShutdownRetryAfter, "the daemon stops");
  } else {
    Fail(ResultCode::kAttemptsExhausted, "the daemon stops");
  }
}

bool RequestFlow::EndIfPartQuarantined()
{
  if (mIsEnded || mRoute == nullptr || !IsPartQuarantined()) {
    return false;
  }
  const bool isInFlight = mAttempt.call != nullptr;
  if (isInFlight && HasAnswerBegun(mAttempt)) {
    WithdrawReplacement();
    return false;
  }
  mAttemptState.runs += isInFlight ? 1 : 0;
  StopAttempt();
  if (mAttemptState.runs == 0) {
    Refuse(ResultCode::kPromptPartQuarantined, Duration::zero(), kPartQuarantinedReason);
  } else {
    Fail(ResultCode::kAttemptsExhausted, kPartQuarantinedReason);
  }
  return true;
}

void RequestFlow::OnClientGone()
{
  if (mIsEnded) {
    return;
  }
  StopAttempt();
  End("client_gone", ResultCode::kOk, 0);
}

void RequestFlow::OnDeadline()
{
  if (mIsEnded) {
    return;
  }
  const bool isSent = mAttempt.call != nullptr || mAttemptState.runs > 0;
  StopAttempt();
  if (isSent) {
    mAttemptState.runs = std::max<std::uint32_t>(mAttemptState.runs, 1);
    Fail(ResultCode::kAttemptsExhausted, "deadline");
  } else {
    Fail(ResultCode::kDeadlinePassed, "deadline");
  }
}

namespace {

/* Returns the open requests. A request that ends is no longer in the context's set. */
std::vector<std::shared_ptr<RequestFlow>> OpenRequests(const GatewayContext& aContext)
{
  std::vector<std::shared_ptr<RequestFlow>> flows;
  for (RequestFlow* flow : aContext.openRequests) {
    flows.push_back(flow->shared_from_this());
  }
  return flows;
}

} // namespace

void KeyCheckCounts::CountRefusal(fleet::KeyRefusal aRefusal)
{
  switch (aRefusal) {
    case fleet::KeyRefusal::kMissing:
      ++missing;
      break;
    case fleet::KeyRefusal::kUnreadable:
      ++unreadable;
      break;
    case fleet::KeyRefusal::kUnknown:
      ++unknown;
      break;
  }
}

void EndWaitingRequests(GatewayContext& aContext)
{
  for (const auto& flow : OpenRequests(aContext)) {
    flow->EndIfWaiting();
  }
}

void EndQuarantinedRequests(GatewayContext& aContext)
{
  for (const auto& flow : OpenRequests(aContext)) {
    flow->EndIfPartQuarantined();
  }
}

void ServeRequest(GatewayContext& aContext,
                  http::Request aRequest,
                  std::shared_ptr<http::Responder> aResponder)
{
  std::make_shared<RequestFlow>(aContext, std::move(aRequest), std::move(aResponder))->Start();
}

} // namespace rhubarbtrail

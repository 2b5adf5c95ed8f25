/* The router: takes a request from arrival to its one final answer. */
#ifndef RHUBARBTRAIL_DECISION_ROUTER_ROUTER_BASE_H
#define RHUBARBTRAIL_DECISION_ROUTER_ROUTER_BASE_H

#include "decision/context_type.h"
#include "decision/router/claim_base.h"
#include "decision/router/fair_queue_base.h"
#include "decision/router/quarantine_base.h"
#include "decision/router/retry_budget_base.h"
#include "decision/view/view_base.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarbtrail {

/* Time to come back after a refusal when nothing better is known. */
constexpr Duration kDefaultRetryAfter = 1s;

/* Returns whether the artifact is empty: the calls of a plain service. */
inline bool IsPlain(const Artifact& aArtifact)
{
  return aArtifact.model.empty();
}

enum class RequestState : std::uint8_t
{
  kClaiming,
  kQueued,
  kIsolating, ///< A suspect that waits for a runner of its own.
  kInFlight,
  kAbandoned, ///< The caller has its last word or has gone; the attempt has not ended yet.
};

/* One request between arrival and final answer. */
struct Request
{
  RequestArrived arrived;
  QueuedRequest queued;
  Repeatability repeatability = Repeatability::kIdempotent;
  RequestState state = RequestState::kQueued;
  TimePoint deadline{};
  AttemptNumber attempt;
  EndpointId endpoint; ///< Of the attempt in flight.
  TimePoint startedAt{};
  std::set<EndpointId> failed;
  std::uint32_t sentAttempts = 0;    ///< Attempts that may have run.
  std::uint32_t refusedAttempts = 0; ///< Attempts that certainly did not run.
  std::uint32_t delivered = 0;       ///< Stream events that the caller has.
  bool mayHaveRun = false;
  bool suspect = false;
  std::uint64_t isolationAsk = 0; ///< Of the last request for a runner of its own.
  TimePoint isolationAskedAt{};
  DaemonId isolatedBy;    ///< The holder that keeps the runner free for this attempt.
  TimePoint aloneUntil{}; ///< The runner is kept free until then.
};

/* The router's knowledge of the replicas of one artifact. */
struct Target
{
  Artifact artifact;
  ServiceId service;
  FairQueue queue;
  std::vector<ReplicaLocation> replicas;
  TimePoint knownUntil{};
  TimePoint nextDemand{};
  TimePoint readyAt{};    ///< When the holder expects a replica.
  bool hasAsked = false;  ///< A demand for waiting requests is unanswered.
  Duration serviceTime{}; ///< Exponentially weighted mean of completed attempts; 0 means unknown.
  std::uint32_t startedSince = 0;
  std::uint32_t inFlight = 0; ///< Attempts that have not ended yet.
};

/* Whom the router takes for the holder of a cell, and how long it has been silent. */
struct HolderContact
{
  DaemonId holder;                  ///< Who answered last, or was named as the holder.
  Fence fence;                      ///< The newest holder's; answers of former ones are ignored.
  std::uint32_t candidate = 0;      ///< Rank of the daemon that is being tried.
  bool hasFollowed = false;         ///< This candidate's hint was followed.
  std::optional<TimePoint> askedAt; ///< The first question it has not answered.
  std::optional<TimePoint> silentSince; ///< The first demand that nobody has answered.
  std::optional<TimePoint> wantedAt;    ///< The last demand for waiting requests.
  bool isProvenSilent = false;          ///< Requests were refused because nobody answered.
};

/* A pause after refused attempts; it grows with each refusal in a row. */
struct Backoff
{
  std::uint32_t refusals = 0;
  TimePoint until{};
};

/* What the router has under way at an endpoint; kept while there is anything. */
struct EndpointUse
{
  std::set<RequestId> inFlight;
  std::map<ModelId, Backoff> backoffs;
};

/* State is bounded: requests and attempts by settings().queueLimit, targets and endpoints by what
 * these requests use or have used within settings().replicaLifetime, holders by the services,
 * claims and fingerprints by the limits of their classes. */
class Router
{
public:
  void OnRequest(Context& aContext, View& aView, const RequestArrived& aArrived);
  void OnCancelled(Context& aContext, View& aView, const RequestCancelled& aCancelled);
  void OnAttemptEnded(Context& aContext, View& aView, const AttemptEnded& aEnded);
  void OnTransactionResult(Context& aContext, View& aView, const TransactionResult& aResult);
  void OnDemandReply(Context& aContext,
                     View& aView,
                     const DaemonId& aFrom,
                     const DemandReplyMessage& aReply);
  void OnDrain(Context& aContext, View& aView, const DaemonId& aFrom, const DrainMessage& aDrain);
  void OnSuspects(Context& aContext, View& aView, const SuspectsMessage& aSuspects);
  void OnCleared(const ClearedMessage& aCleared);
  void OnIsolationGrant(Context& aContext,
                        View& aView,
                        const DaemonId& aFrom,
                        const IsolationGrantMessage& aGrant);
  void OnConvicted(Context& aContext, const ConvictedMessage& aConvicted);
  void OnQuarantineReleased(Context& aContext,
                            const View& aView,
                            const QuarantineReleased& aReleased);
  void OnWake(Context& aContext, View& aView);
  void OnViewChanged(Context& aContext, View& aView);

  /* Returns whether nothing is left to finish. */
  bool IsIdle() const { return mRequests.empty() && mClaims.IsIdle(); }

  void Dump(std::vector<DumpEntry>& aOut, TimePoint aNow) const;

private:
  using TargetKey = std::pair<ServiceId, Artifact>;

  std::optional<ResultCode> CheckAdmission(const Context& aContext,
                                           const View& aView,
                                           const RequestArrived& aArrived) const;
  void Admit(Context& aContext, View& aView, Request& aRequest);
  /* Returns the time until the request's answer as far as it is queued for; 0 when it starts at
   * once. */
  Duration EstimateTime(const Context& aContext, const Request& aRequest) const;
  bool MakeRoom(Context& aContext, const CustomerId& aFor);
  static void Refuse(Context& aContext,
                     const RequestId& aRequest,
                     ResultCode aCode,
                     Duration aRetryAfter = {});
  void Enqueue(Context& aContext, View& aView, Request& aRequest);
  void DispatchTarget(Context& aContext, View& aView, Target& aTarget);
  void DispatchEndpoint(Context& aContext, View& aView, const EndpointId& aEndpoint);
  std::optional<EndpointId> ChooseEndpoint(const Context& aContext,
                                           const View& aView,
                                           const Target& aTarget,
                                           const Request& aRequest) const;
  bool HasRoom(const Context& aContext,
               const View& aView,
               const Target& aTarget,
               const ReplicaLocation& aReplica) const;
  void Start(Context& aContext,
             View& aView,
             Target& aTarget,
             Request& aRequest,
             const EndpointId& aEndpoint);
  void Demand(Context& aContext, View& aView, Target& aTarget);
  DaemonId ChooseHolder(Context& aContext, const View& aView, const ServiceId& aService);
  void Send(Context& aContext, const View& aView, const DaemonId& aTo, Message aMessage) const;
  void OnNotHolder(Context& aContext,
                   View& aView,
                   Target& aTarget,
                   const DemandReplyMessage& aReply);
  /* Refuses the waiting requests whose deadlines are before a time. */
  void RefuseWaiting(Context& aContext,
                     Target& aTarget,
                     ResultCode aCode,
                     Duration aRetryAfter,
                     TimePoint aDueBefore);
  bool IsSilent(const Context& aContext, const ServiceId& aService) const;
  bool MayUse(const Context& aContext, const Target& aTarget, const Request& aRequest) const;
  void ReleaseUse(Request& aRequest);
  std::size_t InFlight(const EndpointId& aEndpoint) const;
  void Tidy(Context& aContext, View& aView);
  void RefreshPlainReplicas(const Context& aContext, const View& aView, Target& aTarget) const;

  void OnCompleted(Context& aContext, Request& aRequest, const AttemptEnded& aEnded);
  void OnAbandonedEnded(Context& aContext, Request& aRequest, const AttemptEnded& aEnded);
  void NoteOutcome(Context& aContext, View& aView, Request& aRequest, AttemptOutcome aOutcome);
  void Abandon(Context& aContext, Request& aRequest);
  void OnCrashed(Context& aContext, View& aView, const EndpointId& aEndpoint);
  bool IsAloneSuspect(const Context& aContext, const Request& aRequest) const;
  bool MustIsolate(const Context& aContext, const Request& aRequest) const;
  void Isolate(Context& aContext, View& aView, Request& aRequest);
  void AskIsolation(Context& aContext, View& aView, Request& aRequest);
  void EndIsolation(Context& aContext, View& aView, Request& aRequest);
  void ServeIsolated(Context& aContext, View& aView);
  void Clear(Context& aContext, View& aView, const FingerprintId& aFingerprint);
  void Broadcast(Context& aContext, const View& aView, const Message& aMessage) const;
  bool Convict(Context& aContext, View& aView, const Request& aRequest);
  void Retry(Context& aContext, View& aView, Request& aRequest);
  static ResultCode FailureCode(const Request& aRequest, ResultCode aNotRun);
  void Finish(Context& aContext, Request& aRequest, ResultCode aCode, Duration aRetryAfter = {});
  void Erase(const RequestId& aRequest);
  void LeaveQueue(Request& aRequest);
  void ForgetReplica(const EndpointId& aEndpoint, const ModelId& aModel);
  void ReportDrained(Context& aContext, View& aView, const EndpointId& aEndpoint);
  void ExpireDeadlines(Context& aContext);
  void Decide(Context& aContext, View& aView, const ClaimVerdict& aVerdict);
  Target* FindTarget(const Request& aRequest);

  std::unordered_map<RequestId, Request> mRequests;
  std::set<std::pair<TimePoint, RequestId>> mDeadlines;
  std::map<TargetKey, Target> mTargets;
  std::map<EndpointId, EndpointUse> mEndpoints;
  std::map<ServiceId, HolderContact> mHolders;
  std::map<std::pair<EndpointId, ModelId>, std::pair<DaemonId, DrainMessage>> mDraining;
  std::map<CustomerId, std::uint32_t> mQueuedByCustomer;
  FairClock mClock;
  ClaimBook mClaims;
  Quarantine mQuarantine;
  std::set<RequestId> mIsolated; ///< Requests that have or wait for a runner of their own.
  RetryBudget mBudget;
};

} // namespace rhubarbtrail

#endif

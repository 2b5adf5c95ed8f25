/* The router admits, queues, dispatches and retries requests. Each gets one final answer. */
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

/* Retry-after time that a refusal names when no better estimate exists. */
constexpr Duration kDefaultRetryAfter = 1s;

/* Returns whether the artifact names no model. Requests to a plain service, whose endpoints load no
 * models, have such an artifact. */
inline bool IsPlainService(const Artifact& aArtifact)
{
  return aArtifact.model.empty();
}

enum class RequestState : std::uint8_t
{
  kClaiming,
  kQueued,
  kIsolating, ///< A suspect that waits until the holder reserves a runner for it.
  kInFlight,
  kAbandoned, ///< Answered or cancelled, but its attempt has not ended yet.
};

/* One request from its arrival until its final answer or the end of its attempt, if later. */
struct Request
{
  RequestArrived arrived;
  QueuedRequest queued;
  Repeatability repeatability = Repeatability::kIdempotent;
  RequestState state = RequestState::kQueued;
  TimePoint deadline{};
  AttemptNumber attempt;
  EndpointId endpoint; ///< Endpoint of the attempt in flight, else empty.
  TimePoint startedAt{};
  std::set<EndpointId> failedEndpoints; ///< Endpoints that may have run an attempt of this request.
  std::uint32_t sentAttempts = 0;       ///< Attempts that may have run.
  std::uint32_t refusedAttempts = 0;    ///< Attempts that are known not to have run.
  std::uint32_t delivered = 0;          ///< Stream events already delivered to the caller.
  bool mayHaveRun = false;
  bool isSuspect = false; ///< A request with its fingerprint was on an endpoint that crashed.
  std::uint64_t isolationRequestNumber = 0; ///< Number of the last isolation request sent.
  TimePoint isolationRequestedAt{};
  DaemonId isolationHolder;  ///< Holder that reserves the runner for this attempt, else empty.
  TimePoint reservedUntil{}; ///< End of the runner's reservation.
};

/* The queue and the known replicas of one artifact or of one plain service. */
struct Target
{
  Artifact artifact;
  ServiceId service;
  FairQueue queue;
  std::vector<ReplicaLocation> replicas;
  TimePoint replicasValidUntil{};  ///< Until then the replicas may be used without another reply.
  TimePoint nextDemandAt{};        ///< Earliest time of the next demand message.
  TimePoint expectedReadyAt{};     ///< When the holder expects a replica to be ready.
  bool isDemandUnanswered = false; ///< The last demand was for waiting requests, without an answer.
  Duration serviceTime{}; ///< Exponentially weighted mean over completed attempts; 0 if unknown.
  std::uint32_t startedSince = 0; ///< Attempts started since the last demand message.
  std::uint32_t inFlight = 0;     ///< Attempts that have not ended yet.
};

/* The daemon that the router assumes to hold a cell, and the times of unanswered requests to it. */
struct HolderContact
{
  DaemonId holder; ///< Daemon that requests go to: the last that answered, was named or was tried.
  FencingToken fence; ///< Highest fencing token seen. Demand replies with a lower one are ignored.
  std::uint32_t candidateRank = 0; ///< Rank of the daemon being tried; see View::RankDaemons().
  bool hasFollowedHint = false;    ///< A holder hint was followed since this candidate was chosen.
  std::optional<TimePoint> holderUnansweredSince; ///< Time of its first unanswered request.
  std::optional<TimePoint> demandUnansweredSince; ///< Time of the first demand no daemon answered.
  std::optional<TimePoint> lastWaitingDemandAt;   ///< Time of the last demand for waiting requests.
  bool isUnreachable = false; ///< Requests were refused because no daemon answered.
};

/* A pause after an endpoint refused an attempt. Refusals during a pause leave it unchanged. The
 * next refusal after it starts a pause of twice the length, up to a limit. A completed attempt
 * resets it. */
struct Backoff
{
  std::uint32_t refusals = 0;
  TimePoint until{};
};

/* Attempts in flight and backoffs of one endpoint, erased when there are none. */
struct EndpointUse
{
  std::set<RequestId> inFlight;
  std::map<ModelId, Backoff> backoffs;
};

/* Decides which requests are admitted, where and when they run, and how they are answered.
 *
 * All state is bounded. Requests and their attempts are limited by settings().queueLimit. Targets
 * and endpoints exist only while such requests use them, for settings().replicaLifetime after that,
 * and while the holder of the target's cell does not answer. Holder contacts exist for configured
 * services only. Claims, fingerprints, virtual times and retry budgets have limits of their own,
 * see their classes. */
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

  /* Returns whether no request is left and the claims allow shutdown. */
  bool IsIdle() const { return mRequests.empty() && mClaims.IsIdle(); }

  void Dump(std::vector<DumpEntry>& aOut, TimePoint aNow) const;

private:
  using TargetKey = std::pair<ServiceId, Artifact>;

  /* Returns the code with which the request is refused on arrival, or nothing. */
  std::optional<ResultCode> CheckAdmission(const Context& aContext,
                                           const View& aView,
                                           const RequestArrived& aArrived) const;
  /* Queues the request, or refuses it if EstimateTime() exceeds the time to its deadline. */
  void Admit(Context& aContext, View& aView, Request& aRequest);
  /* Estimates the time until the request is answered. Returns 0 if nothing is known of its target
   * or a slot is free, and only the time until a replica is ready if no replica is known. */
  Duration EstimateTime(const Context& aContext, const Request& aRequest) const;
  /* Refuses one queued request of the customer with the most unanswered requests, so that a request
   * of aCustomer can be admitted. Returns false if that customer has at most one more of them than
   * aCustomer, or if none of its requests is queued. */
  bool FreeQueueSlotFor(Context& aContext, const CustomerId& aCustomer);
  /* Answers with a refusal. Adds a retry-after time if the same request may succeed later. */
  static void Refuse(Context& aContext,
                     const RequestId& aRequest,
                     ResultCode aCode,
                     Duration aRetryAfter = {});
  /* Queues the request and dispatches its target. A suspect is isolated instead. */
  void Enqueue(Context& aContext, View& aView, Request& aRequest);
  /* Starts waiting requests while endpoints are free. Sends a demand for those that remain, unless
   * the service is plain. */
  void DispatchTarget(Context& aContext, View& aView, Target& aTarget);
  /* Dispatches the targets that the endpoint serves, after it has become free. */
  void DispatchEndpoint(Context& aContext, View& aView, const EndpointId& aEndpoint);
  std::optional<EndpointId> ChooseEndpoint(const Context& aContext,
                                           const View& aView,
                                           const Target& aTarget,
                                           const Request& aRequest) const;
  /* Returns whether the replica can take one more request of this daemon now. */
  bool CanAcceptRequest(const Context& aContext,
                        const View& aView,
                        const Target& aTarget,
                        const ReplicaLocation& aReplica) const;
  void StartNextAttempt(Context& aContext,
                        View& aView,
                        Target& aTarget,
                        Request& aRequest,
                        const EndpointId& aEndpoint);
  /* Sends a demand to the holder, or sets a timer if nextDemandAt is later. Refuses the waiting
   * requests if no daemon has answered for too long. */
  void SendDemand(Context& aContext, View& aView, Target& aTarget);
  /* Returns the daemon to send the next request for the cell to. Moves on to the next daemon in
   * rank if the current one has not answered. */
  DaemonId ChooseHolder(Context& aContext, const View& aView, const ServiceId& aService);
  void Send(Context& aContext, const View& aView, const DaemonId& aTo, Message aMessage) const;
  /* Follows the hint of a daemon that does not hold the cell. */
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
  /* Returns whether demands to the service's cell have gone unanswered for a whole lease length. */
  bool IsHolderUnresponsive(const Context& aContext, const ServiceId& aService) const;
  /* Returns whether the target's known replicas are current enough for the request. */
  bool MayUseReplicas(const Context& aContext,
                      const Target& aTarget,
                      const Request& aRequest) const;
  /* Removes an attempt that has ended from its endpoint and its target. */
  void ReleaseEndpoint(Request& aRequest);
  std::size_t CountInFlight(const EndpointId& aEndpoint) const;
  /* Erases targets, backoffs and contacts that are no longer in use. */
  void EraseUnused(Context& aContext, View& aView);
  /* Sets the replicas of a plain service to its usable endpoints. */
  void RefreshPlainReplicas(const Context& aContext, const View& aView, Target& aTarget) const;

  void OnCompleted(Context& aContext, Request& aRequest, const AttemptEnded& aEnded);
  /* Records the final end of the claim, or releases it, after the attempt of an abandoned request
   * has ended. */
  void OnAbandonedEnded(Context& aContext, Request& aRequest, const AttemptEnded& aEnded);
  /* Updates the counters of the request, the view, the suspects and the backoff by the outcome of
   * an attempt. */
  void RecordOutcome(Context& aContext, View& aView, Request& aRequest, AttemptOutcome aOutcome);
  /* Marks an answered or cancelled request as abandoned while its attempt is in flight. The attempt
   * of an at-most-once request runs on, any other is stopped. */
  void Abandon(Context& aContext, Request& aRequest);
  /* Marks requests in flight on a crashed endpoint as suspects and notifies the other daemons. */
  void OnCrashed(Context& aContext, View& aView, const EndpointId& aEndpoint);
  /* Returns whether a suspect in flight runs alone, so that only it can have caused a crash. On a
   * plain service this covers the requests of this daemon only. */
  bool IsIsolatedSuspect(const Context& aContext, const Request& aRequest) const;
  /* Returns whether the request's fingerprint is a suspect or quarantined, and its endpoints are
   * runners. */
  bool MustIsolate(const Context& aContext, const Request& aRequest) const;
  /* Requests a runner on which the suspect runs alone. Refuses the suspect if it is quarantined or
   * if too many requests of this daemon are isolated. */
  void Isolate(Context& aContext, View& aView, Request& aRequest);
  /* Sends the holder an isolation request. Each has a new number. */
  void RequestIsolation(Context& aContext, View& aView, Request& aRequest);
  /* Releases the runner that is reserved for the request, if any. */
  void EndIsolation(Context& aContext, View& aView, Request& aRequest);
  /* Repeats isolation requests, queues requests that are no longer suspects, and abandons attempts
   * whose reservation has ended. */
  void UpdateIsolatedRequests(Context& aContext, View& aView);
  void ClearSuspect(Context& aContext, View& aView, const FingerprintId& aFingerprint);
  void Broadcast(Context& aContext, const View& aView, const Message& aMessage) const;
  /* Quarantines the request's fingerprint on all daemons. Returns false if that is disabled. */
  bool QuarantineFingerprint(Context& aContext, View& aView, const Request& aRequest);
  /* Queues the request again, or ends it with an error if no further attempt is allowed. */
  void Retry(Context& aContext, View& aView, Request& aRequest);
  static ResultCode FailureCode(const Request& aRequest, ResultCode aCodeIfNotRun);
  /* Answers with the code, records the claim as unknown or releases it, and erases the request. */
  void Finish(Context& aContext, Request& aRequest, ResultCode aCode, Duration aRetryAfter = {});
  void Erase(const RequestId& aRequest);
  /* Removes the request from the deadlines, from its customer's count and from the queue or the
   * isolated requests if it waits there. Does nothing if it is abandoned, as Abandon() did so. */
  void RemoveFromQueues(Request& aRequest);
  /* Removes the model's replica on the endpoint from the replicas of all targets. */
  void RemoveReplica(const EndpointId& aEndpoint, const ModelId& aModel);
  /* Confirms pending drains of the endpoint's models that have no attempt in flight there. */
  void ReportDrained(Context& aContext, View& aView, const EndpointId& aEndpoint);
  /* Answers requests whose deadlines have passed, and abandons their attempts. */
  void ExpireDeadlines(Context& aContext);
  void ApplyClaimResult(Context& aContext, View& aView, const ClaimResult& aClaimResult);
  Target* FindTarget(const Request& aRequest);

  std::unordered_map<RequestId, Request> mRequests;
  std::set<std::pair<TimePoint, RequestId>> mDeadlines;
  std::map<TargetKey, Target> mTargets;
  std::map<EndpointId, EndpointUse> mEndpoints;
  std::map<ServiceId, HolderContact> mHolders;
  std::map<std::pair<EndpointId, ModelId>, std::pair<DaemonId, DrainMessage>> mDraining;
  /* Number of unanswered requests of each customer. */
  std::map<CustomerId, std::uint32_t> mUnansweredByCustomer;
  FairClock mFairClock;
  ClaimWriter mClaims;
  FingerprintSets mFingerprints;
  std::set<RequestId> mIsolatedRequests; ///< Requests that wait for a reserved runner or use one.
  RetryBudget mRetryBudget;
};

} // namespace rhubarbtrail

#endif

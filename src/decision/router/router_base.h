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
  kInFlight,
  kRecording, ///< Answered; the claim is still to be marked.
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
  std::set<EndpointId> failed;
  std::uint32_t delivered = 0; ///< Stream events that the caller has.
  bool mayHaveRun = false;
  bool suspect = false;
  bool cancelled = false;
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
  Duration expectedWait{};
  std::uint32_t startedSince = 0;
  DaemonId holder;                ///< Who answered last, or was named as the holder.
  std::uint32_t holderMisses = 0; ///< Demands without an answer.
  bool isRedirected = false;      ///< The last demand followed another daemon's word.
};

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
  void OnSuspects(Context& aContext, const SuspectsMessage& aSuspects);
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
  void Enqueue(Context& aContext, View& aView, Request& aRequest);
  void DispatchTarget(Context& aContext, View& aView, Target& aTarget);
  void DispatchEndpoint(Context& aContext, View& aView, const EndpointId& aEndpoint);
  std::optional<EndpointId> ChooseEndpoint(const Context& aContext,
                                           const View& aView,
                                           const Target& aTarget,
                                           const Request& aRequest) const;
  bool HasRoom(const Target& aTarget, const ReplicaLocation& aReplica) const;
  void Start(Context& aContext,
             View& aView,
             Target& aTarget,
             Request& aRequest,
             const EndpointId& aEndpoint);
  void Demand(Context& aContext, View& aView, Target& aTarget);
  void RefreshPlainReplicas(const Context& aContext, const View& aView, Target& aTarget) const;

  void OnCompleted(Context& aContext, Request& aRequest, const AttemptEnded& aEnded);
  void OnFailed(Context& aContext, View& aView, Request& aRequest, const AttemptEnded& aEnded);
  void OnCrashed(Context& aContext, View& aView, Request& aRequest, const EndpointId& aEndpoint);
  void Retry(Context& aContext, View& aView, Request& aRequest, const AttemptEnded& aEnded);
  void Finish(Context& aContext, Request& aRequest, ResultCode aCode, Duration aRetryAfter = {});
  void Erase(const RequestId& aRequest);
  void ForgetReplica(const EndpointId& aEndpoint, const ModelId& aModel);
  void ReportDrained(Context& aContext, View& aView, const EndpointId& aEndpoint);
  void ExpireDeadlines(Context& aContext);
  Target* FindTarget(const Request& aRequest);
  /* Returns whether a request of the target is in flight. */
  bool IsInUse(const Target& aTarget) const;

  std::unordered_map<RequestId, Request> mRequests;
  std::set<std::pair<TimePoint, RequestId>> mDeadlines;
  std::map<TargetKey, Target> mTargets;
  std::map<EndpointId, std::set<RequestId>> mInFlight;
  std::map<std::pair<EndpointId, ModelId>, std::pair<DaemonId, DrainMessage>> mDraining;
  std::map<CustomerId, std::uint32_t> mQueuedByCustomer;
  FairClock mClock;
  ClaimBook mClaims;
  Quarantine mQuarantine;
  RetryBudget mBudget;
  std::map<CellId, DaemonId> mHolders; ///< Who answered last for a cell.
};

} // namespace rhubarbtrail

#endif

/* The scheduler of one cell. Whichever daemon holds the cell's lease in the table decides which
 * runners load which models. */
#ifndef RHUBARBTRAIL_DECISION_SCHEDULER_CELL_BASE_H
#define RHUBARBTRAIL_DECISION_SCHEDULER_CELL_BASE_H

#include "decision/context_type.h"
#include "decision/scheduler/keep_alive_base.h"
#include "decision/scheduler/replica_count_policy_base.h"
#include "decision/view/view_base.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarbtrail {

/* The stages of a replica, in the order in which it passes through them. */
enum class ReplicaPhase : std::uint8_t
{
  kLoadDecided, ///< Memory is reserved. The load order waits for the placement row to be written.
  kLoading,     ///< The load order was sent.
  kLoaded,
  kDraining,      ///< Drain messages ask routers to stop using it.
  kUnloadDecided, ///< Drained. The unload order waits for the placement row to be written.
  kUnloading,     ///< The unload order was sent.
};

/* A model on a runner, from the decision to load it until it is known to be gone. */
struct Replica
{
  ModelId model;
  std::string version;
  MemoryMb memory; ///< Reserved for the weights and all adapters of the model.
  ReplicaPhase phase = ReplicaPhase::kLoadDecided;
  OrderId order;               ///< The load order, replaced by the unload order in kUnloadDecided.
  Incarnation issuer;          ///< The daemon process that decided on the order.
  bool isOrderWritten = false; ///< The placement row has the order, or none has to be sent.
  /* An order of a former holder may still reach the runner, so the memory stays reserved. */
  bool isReservedForFormerOrder = false;
  bool isOrderConfirmed = false;     ///< Confirmed by an answer of the runner or by an inventory.
  bool mayHaveReachedRunner = false; ///< An order for the replica may have reached the runner.
  TimePoint orderConfirmedAt{};
  TimePoint nextSendAt{}; ///< Earliest time to send the order or to repeat the drain messages.
  TimePoint lastUsed{};
  /* Until this time, routers that got the location from a former holder may use the replica. */
  TimePoint unloadableFrom{};
  std::set<AdapterId> adapters;
  /* Adapters with an unfinished load order, and the time to repeat it. That is TimePoint::max()
   * while the result of the order is open. */
  std::map<AdapterId, TimePoint> adapterRetryAt;
  std::map<DaemonId, TimePoint> permittedRouters; ///< Router to the end of its permission.
  /* An inventory was requested that must show no request before the unload order is sent. */
  bool isFinalInventoryRequested = false;
  std::uint32_t running = 0; ///< Requests that run on it, by the last inventory that listed it.
  /* Only an inventory that was requested at or after this time can show that no request is left. */
  TimePoint idleCheckFrom{};
};

/* Whether a runner answers, by the result of its last inventory order or by a later load order that
 * could not connect. */
enum class RunnerReachability : std::uint8_t
{
  kUnknown, ///< No inventory order has ended in this lease term.
  kReachable,
  kUnreachable,
};

/* A runner as the holder of the lease knows it. */
struct Runner
{
  EndpointId id;
  std::string bootId; ///< Empty until the first inventory of the lease term.
  RunnerReachability reachability = RunnerReachability::kUnknown;
  MemoryMb memory;
  std::map<ModelId, Replica> replicas;
  std::set<ModelId> checkpoints; ///< Models whose checkpoints are cached on the host of the runner.
  std::uint32_t reportedLoad = 0; ///< Running and queued requests in the last inventory.
  OrderId inventoryOrder;         ///< The inventory order in flight, or empty.
  TimePoint inventoryRequestedAt{};
  TimePoint nextInventoryAt{};
};

/* The demand of all routers for one artifact, merged so that it leads to one load. */
struct PendingDemand
{
  std::set<DaemonId> waitingRouters; ///< They get a reply when the artifact is loaded or refused.
  TimePoint deadline{}; ///< Deadline of a waiting request. The demand with the earliest goes first.
  TimePoint expiresAt{};     ///< Dropped at this time unless a router repeats its demand.
  std::uint32_t waiting = 0; ///< Largest number of waiting requests that one message has stated.
};

/* A router's request for a runner on which a suspect runs alone. A suspect is a request that may
 * have crashed a runner. */
struct IsolationRequest
{
  RequestId request;
  Incarnation owner;
  Artifact artifact;
  std::uint64_t number = 0; ///< Number of the router's last isolation request, echoed in the grant.
  TimePoint deadline{};
  TimePoint expiresAt{}; ///< Dropped at this time unless the router repeats it.
};

/* A runner that is drained and then granted to one suspect. */
struct Isolation
{
  IsolationRequest isolationRequest;
  EndpointId runner;
  bool isGranted = false;  ///< The runner is drained, and the suspect may be sent there.
  TimePoint until{};       ///< End of the grant, set when the runner is granted.
  TimePoint nextDrainAt{}; ///< When drain messages to the remaining routers are due.
};

/* The state of a cell's lease as seen by this daemon. */
enum class LeasePhase : std::uint8_t
{
  kNotHeld,   ///< This daemon does not act as holder.
  kAcquiring, ///< The transaction that acquires it is in flight.
  kHeld,
};

/* One cell in one daemon. Only the holder of the lease keeps runners, replicas and isolation. */
class Cell
{
public:
  explicit Cell(CellId aId);

  void OnWake(Context& aContext, const View& aView);
  void OnReadResult(Context& aContext, const View& aView, const ReadResult& aResult);
  void OnTransactionResult(Context& aContext, const View& aView, const TransactionResult& aResult);
  void OnOrderResult(Context& aContext, const View& aView, const OrderResult& aResult);
  void OnDemand(Context& aContext,
                const View& aView,
                const DaemonId& aFrom,
                const DemandMessage& aDemand);
  void OnDrained(Context& aContext,
                 const View& aView,
                 const DaemonId& aFrom,
                 const DrainedMessage& aDrained);
  void OnOrderWithdrawn(Context& aContext,
                        const View& aView,
                        const OrderWithdrawnMessage& aWithdrawn);
  void OnIsolationRequest(Context& aContext,
                          const View& aView,
                          const Incarnation& aFrom,
                          const IsolationRequestMessage& aRequest);
  void OnIsolationRelease(Context& aContext,
                          const View& aView,
                          const IsolationReleaseMessage& aRelease);
  /* Steps down if the order belongs to a replica of this cell, as a newer holder has adopted it. */
  void OnWithdrawOrder(Context& aContext, const OrderId& aOrder);
  /* Removes the holder from the lease row and tells waiting routers that this daemon is not the
   * holder. Does nothing while the lease is not held or a lease transaction is in flight. */
  void ReleaseLease(Context& aContext, const View& aView);

  bool HoldsLease() const { return mPhase == LeasePhase::kHeld; }
  /* Returns whether the lease is neither held nor being acquired. */
  bool IsIdle() const { return mPhase == LeasePhase::kNotHeld && mLeaseChange.empty(); }
  void Dump(std::vector<DumpEntry>& aOut) const;

private:
  // cell_lease.cpp
  /* Reads the lease row at intervals if this daemon may take the lease over or has a pending demand
   * for the cell. */
  void WatchLease(Context& aContext, const View& aView);
  /* Applies the rows of a read. Steps down if another daemon has taken the lease over. While the
   * lease is not held, acquires it if it has no holder, or if its row has not changed for a quarter
   * longer than the lease length. */
  void OnRowsRead(Context& aContext, const View& aView, const Row& aLease, const Row& aPlacement);
  void AcquireLease(Context& aContext);
  void RenewLease(Context& aContext);
  /* Starts as holder, with the replicas that the placement row lists. */
  void BeginLeaseTerm(Context& aContext, const View& aView, const PlacementRow& aPlacement);
  /* Discards the runners, replicas and isolation, and returns to watching the lease. */
  void StepDown(Context& aContext);
  void ReadLeaseAndPlacement(Context& aContext);
  /* Returns whether the lease lasts longer than an order sent now can take to arrive. */
  bool LeaseCoversOrderDelivery(const Context& aContext) const;

  // cell_placement.cpp
  /* Returns whether the runners of the cell accept orders without checking the fencing token. */
  bool AreOrdersUnchecked(const View& aView) const;
  /* Returns whether the runner is among the few that may load the model while the table is down. */
  bool IsCandidate(const Context& aContext,
                   const View& aView,
                   const ModelId& aModel,
                   const EndpointId& aRunner) const;
  /* Counts replicas of any phase, and candidate runners that may hold an unwritten replica. */
  std::uint32_t CountReplicas(const Context& aContext,
                              const View& aView,
                              const ModelId& aModel) const;
  /* Returns the memory left for aPlacedModel beside the replicas and the plans for other models. */
  MemoryMb FreeMemory(const Context& aContext,
                      const View& aView,
                      const Runner& aRunner,
                      const ModelId& aPlacedModel) const;
  /* Decides to load the model on the best runner with enough free memory. Returns false if none. */
  bool TryPlaceReplica(Context& aContext, const View& aView, const ModelSpec& aModel);
  /* Starts draining idle replicas of one runner to free memory for the model. Returns whether a
   * runner is or was already chosen. */
  bool TryFreeMemory(Context& aContext, const View& aView, const ModelSpec& aModel);
  void StartDrain(Context& aContext, const View& aView, Runner& aRunner, Replica& aReplica);
  /* Makes an inventory due, and disregards older ones as evidence that the replica is idle. */
  static void RequestIdleCheck(const Context& aContext, Runner& aRunner, Replica& aReplica);
  /* Repeats drain messages, and decides on the unload of replicas that have no request left. */
  void ContinueDrains(Context& aContext, const View& aView);
  /* Drains replicas that the keep-alive policy no longer retains, and those of models that are no
   * longer configured. */
  void DrainIdleReplicas(Context& aContext, const View& aView);

  // preload_policy.cpp
  /* Loads models that are likely to be used soon, if the service has the cost-aware policy. */
  void PreloadPredictedModels(Context& aContext, const View& aView);

  // cell_demand.cpp
  /* Records the time of the use, and the idle time before it if that was long enough to be sure. */
  void RecordUse(const Context& aContext, const DemandMessage& aDemand);

  // replica_count_policy.cpp
  /* Returns the target number of replicas. */
  std::uint32_t TargetReplicas(const ModelId& aModel) const;
  /* Returns whether no replica of the model is loading, draining or unloading. */
  bool AreAllReplicasLoaded(const ModelId& aModel) const;
  /* Updates the target number of replicas of each model that may have several, and adds or drains
   * one replica where the number differs. */
  void UpdateReplicaCounts(Context& aContext, const View& aView);
  /* Loads each adapter that one replica of the model has on the others, with one order in
   * flight for each adapter. */
  void ReplicateAdapters(Context& aContext, const View& aView, const ModelId& aModel);
  /* Places one more replica if a load slot, a load token and enough memory are free. */
  void AddReplica(Context& aContext, const View& aView, const ModelSpec& aModel);
  /* Drains the unloadable replica of the model whose runner reports the highest load. */
  void DrainSurplusReplica(Context& aContext, const View& aView, const ModelId& aModel);

  // cell_placement.cpp
  /* Writes the placement row if it has changed and no write or read of it is in flight. */
  void WritePlacement(Context& aContext);
  PlacementRow MakePlacementRow(Context& aContext) const;
  /* Returns how long a router may use a location, as measured by this daemon's clock. It exceeds
   * the replica lifetime by a quarter, because the router's clock may run slower. */
  static Duration LocationValidity(const Context& aContext);
  void RemoveReplica(Runner& aRunner, const ModelId& aModel);

  // cell_order.cpp
  /* Requests the inventories that are due, and drops runners that the host list no longer has. */
  void SyncRunners(Context& aContext, const View& aView);
  /* Sends the load and unload orders that are due and may be sent. */
  void SendOrders(Context& aContext, const View& aView);
  /* Returns whether the replica's order may be sent, given the lease and the written placement. */
  bool MaySendOrder(const Context& aContext,
                    const View& aView,
                    const Runner& aRunner,
                    const Replica& aReplica) const;
  /* Returns whether the last inventory shows no request on the replica and is recent enough. */
  static bool InventoryShowsIdle(const Runner& aRunner, const Replica& aReplica);
  /* Requests a final inventory on the first call. Later calls return whether it shows no
   * request. */
  static bool ConfirmIdle(Context& aContext, Runner& aRunner, Replica& aReplica);
  /* Updates the replicas of a runner from its inventory. */
  void Reconcile(Context& aContext,
                 const View& aView,
                 Runner& aRunner,
                 const Inventory& aInventory);
  void OnLoadResult(Context& aContext,
                    const View& aView,
                    Runner& aRunner,
                    Replica& aReplica,
                    const OrderResult& aResult);
  void OnUnloadResult(Context& aContext,
                      Runner& aRunner,
                      Replica& aReplica,
                      const OrderResult& aResult);
  /* Ends reservations whose issuer is dead, and asks the other issuers to withdraw their orders. */
  void ReleaseFormerOrderReservations(Context& aContext, const View& aView);

  // cell_demand.cpp
  /* Serves the pending demands by ascending deadline: replies if the artifact is loaded, else
   * starts its load or frees memory for it. Refuses a demand if no runner has or gets enough memory
   * and the deadline is too near for a load, or if the table is down and the runners do not check
   * the fencing token. */
  void ServeDemands(Context& aContext, const View& aView);
  /* Takes a token from the bucket that limits loads from the weight store. Returns false if the
   * bucket is empty. */
  bool TakeLoadToken(const Context& aContext, const ServiceSpec& aService);
  std::uint32_t LoadsInFlight() const;
  /* Counts adapter loads that are in flight or wait for a retry. */
  std::uint32_t AdapterLoadsInFlight() const;
  /* Orders the adapter on the first replica of its model that lacks it. */
  void LoadAdapter(Context& aContext, const View& aView, const Artifact& aArtifact);
  /* Permits the router to use the loaded replicas that have the artifact, except on isolated or
   * unusable runners, and returns their locations. */
  std::vector<ReplicaLocation> GrantLocations(Context& aContext,
                                              const View& aView,
                                              const Artifact& aArtifact,
                                              const DaemonId& aRouter);
  /* Sends the locations to all routers that wait for the artifact, once it is loaded. */
  void SendReadyReplies(Context& aContext, const View& aView, const Artifact& aArtifact);
  void SendDemandReply(Context& aContext,
                       const View& aView,
                       const DaemonId& aTo,
                       DemandReplyMessage aReply) const;
  /* Returns whether a loaded replica of the model has the adapter, if any is named. */
  bool IsArtifactLoaded(const Artifact& aArtifact) const;
  /* Returns the service of this cell, or nullptr when it is not in the configuration. */
  const ServiceSpec* FindServiceSpec(const View& aView) const;

  // cell_isolation.cpp
  /* Ends an expired isolation, starts the next one and drains its runner. */
  void ServeIsolation(Context& aContext, const View& aView);
  /* Drops isolation requests and the isolation if they have expired or their router's process is
   * proven dead. */
  void ExpireIsolation(const Context& aContext, const View& aView);
  /* Chooses a runner for the first queued suspect that a loaded replica can serve. */
  void StartIsolation(const Context& aContext, const View& aView);
  /* Sends drain messages to the routers that may use the runner. Grants it when none is left. */
  void DrainIsolatedRunner(Context& aContext, const View& aView);
  /* Answers an isolation request with any status. */
  void SendIsolationGrant(Context& aContext,
                          const View& aView,
                          const IsolationRequest& aIsolationRequest,
                          IsolationStatus aStatus) const;
  bool IsIsolated(const EndpointId& aRunner) const;

  CellId mId;
  LeasePhase mPhase = LeasePhase::kNotHeld;
  Incarnation mHolder; ///< As last read, or this daemon. Empty when unknown or none.
  FencingToken mFence;
  std::uint64_t mRenewals = 0;
  RowVersion mLeaseVersion;
  RowVersion mPlacementVersion;
  PlacementRow mLastReadPlacement; ///< As last read while the lease was not held.
  TimePoint mLeaseVersionReadAt{}; ///< When this version of the lease row was first read.
  TimePoint mLeaseValidUntil{};    ///< This daemon certainly holds the lease before this time.
  TimePoint mLeaseChangeSentAt{};  ///< When the last acquisition or renewal was sent.
  ChangeId mLeaseChange;           ///< The lease transaction in flight, or empty.
  ChangeId mPlacementChange;       ///< The placement transaction in flight, or empty.
  ChangeId mReadInFlight;          ///< The read in flight, or empty.
  bool mIsReleasingLease = false;  ///< The lease transaction in flight releases the lease.
  bool mIsLeaseRead = false;       ///< The lease row was read since this daemon last stepped down.
  bool mIsPlacementDirty = false;  ///< The placement row has to be written.
  bool mIsTableReachable = true;   ///< The last table call of this cell got an answer.
  std::set<OrderId> mOrdersBeingWritten; ///< Orders in the placement transaction in flight.
  TimePoint mNextLeaseAction{};
  TimePoint mNextPlacementWrite{};
  TimePoint mNextKeepAliveCheck{};
  TimePoint mNextPreloadCheck{};
  TimePoint mNextCountUpdate{};
  std::map<EndpointId, Runner> mRunners;
  std::map<Artifact, PendingDemand> mDemands;
  std::map<ModelId, EndpointId> mPlannedRunners; ///< Where memory is being freed for a model.
  std::map<ModelId, ModelUsage> mModelUsage;
  std::deque<IsolationRequest> mQueuedIsolations;
  std::optional<Isolation> mIsolation;
  /* Only for models that may have several replicas. */
  std::map<ModelId, ReplicaCountPolicy> mReplicaCountPolicies;
  IdleHistogram mCellIdleTimes; ///< Idle times of all models of the cell.
  double mLoadTokens = 1.0;     ///< Tokens left in the bucket that limits loads.
  TimePoint mLoadTokensUpdatedAt{};
};

} // namespace rhubarbtrail

#endif

/* The scheduler of one cell: a lease in the table, and the placement decided under it. */
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

enum class ReplicaPhase : std::uint8_t
{
  kLoadDecided, ///< Counted and reserved; the order waits for its intent to be written.
  kLoading,     ///< The order was sent.
  kLoaded,
  kDraining,      ///< Routers are giving it up.
  kUnloadDecided, ///< Drained; the order waits for its intent to be written.
  kUnloading,     ///< The order was sent.
};

struct Replica
{
  ModelId model;
  std::string version;
  MemoryMb memory; ///< Weights and all adapters of the model.
  ReplicaPhase phase = ReplicaPhase::kLoadDecided;
  OrderId order; ///< The load order, or the unload order from kDraining on.
  Incarnation issuer;
  bool isWritten = false;
  bool isReserved = false; ///< A former holder's order may still reach the runner.
  bool isAnswered = false; ///< The runner has answered the order.
  bool mayBeKnown = false; ///< The order may have reached the runner.
  TimePoint answeredAt{};
  TimePoint nextOrder{};
  TimePoint lastUsed{};
  TimePoint unloadableFrom{};
  std::set<AdapterId> adapters;
  std::map<AdapterId, TimePoint> adaptersLoading; ///< With the time to repeat the order.
  std::map<DaemonId, TimePoint> users;            ///< Routers that may use it, and until when.
  bool isLastLook = false;   ///< The runner is asked what runs on it before the unload is ordered.
  std::uint32_t running = 0; ///< Requests that the runner reports on it.
  TimePoint drainedFrom{};   ///< When it was last known to be in use.
};

enum class RunnerReach : std::uint8_t
{
  kUnknown,
  kReached,
  kUnreachable,
};

struct Runner
{
  EndpointId id;
  std::string bootId;
  RunnerReach reach = RunnerReach::kUnknown;
  MemoryMb memory;
  std::map<ModelId, Replica> replicas;
  std::set<ModelId> checkpoints; ///< Kept by its host.
  std::uint32_t reportedLoad = 0;
  OrderId inventory; ///< The inventory order under way; empty when none.
  TimePoint inventoryAskedAt{};
  TimePoint nextInventory{};
};

/* What routers ask for, merged over all of them. */
struct PendingDemand
{
  std::set<DaemonId> waiters;
  TimePoint deadline{};
  TimePoint expiresAt{}; ///< Forgotten unless a router repeats it.
  std::uint32_t waiting = 0;
};

/* A suspect request that is to run alone on a runner. */
struct IsolationWait
{
  RequestId request;
  Incarnation owner;
  Artifact artifact;
  std::uint64_t ask = 0;
  TimePoint deadline{};
  TimePoint expiresAt{}; ///< Forgotten unless its router repeats it.
};

/* The runner that is kept free of all requests but one. */
struct Isolation
{
  IsolationWait wait;
  EndpointId runner;
  bool isGranted = false;
  TimePoint until{}; ///< Taken back at this time.
  TimePoint nextDrain{};
};

enum class LeasePhase : std::uint8_t
{
  kWatching,
  kAcquiring,
  kHeld,
};

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
  /* Drops an order that a newer holder has taken over. */
  void OnWithdraw(Context& aContext, const OrderId& aOrder);
  void HandOver(Context& aContext, const View& aView);

  bool IsHeld() const { return mPhase == LeasePhase::kHeld; }
  /* Returns whether the lease is neither held nor being taken. */
  bool IsIdle() const { return mPhase == LeasePhase::kWatching && mLeaseChange.empty(); }
  void Dump(std::vector<DumpEntry>& aOut) const;

private:
  // cell_lease.cpp
  void Watch(Context& aContext, const View& aView);
  void OnRows(Context& aContext, const View& aView, const Row& aLease, const Row& aPlacement);
  void Acquire(Context& aContext);
  void Renew(Context& aContext);
  void BeginTenure(Context& aContext, const View& aView, const PlacementRow& aPlacement);
  void StepDown(Context& aContext);
  void ReadRows(Context& aContext);
  bool IsLeaseSafe(const Context& aContext) const;

  // cell_placement.cpp
  bool IsUnchecked(const View& aView) const;
  bool IsCandidate(const Context& aContext,
                   const View& aView,
                   const ModelId& aModel,
                   const EndpointId& aRunner) const;
  std::uint32_t CountReplicas(const Context& aContext,
                              const View& aView,
                              const ModelId& aModel) const;
  MemoryMb FreeMemory(const Context& aContext,
                      const View& aView,
                      const Runner& aRunner,
                      const ModelId& aFor) const;
  bool TryPlace(Context& aContext, const View& aView, const ModelSpec& aModel);
  bool TryEvict(Context& aContext, const View& aView, const ModelSpec& aModel);
  void StartDrain(Context& aContext, const View& aView, Runner& aRunner, Replica& aReplica);
  /* Has the runner asked once more what runs there, now that no router is known to use it. */
  static void NoteUnused(const Context& aContext, Runner& aRunner, Replica& aReplica);
  void ContinueDrains(Context& aContext, const View& aView);
  void UnloadIdle(Context& aContext, const View& aView);
  void PreloadExpected(Context& aContext, const View& aView);
  void NoteUse(const Context& aContext, const DemandMessage& aDemand);

  // replica_count_policy.cpp
  std::uint32_t DecidedReplicas(const ModelId& aModel) const;
  bool AreAllLoaded(const ModelId& aModel) const;
  void UpdateReplicaCounts(Context& aContext, const View& aView);
  void LoadSharedAdapters(Context& aContext, const View& aView, const ModelId& aModel);
  void AddReplica(Context& aContext, const View& aView, const ModelSpec& aModel);
  void GiveUpReplica(Context& aContext, const View& aView, const ModelId& aModel);
  void WritePlacement(Context& aContext);
  PlacementRow MakePlacementRow(Context& aContext) const;
  /* Time for which a router may use a location, by its own clock, which may run slower. */
  static Duration UseLimit(const Context& aContext);
  void Remove(Runner& aRunner, const ModelId& aModel);

  // cell_order.cpp
  void SyncRunners(Context& aContext, const View& aView);
  void SendOrders(Context& aContext, const View& aView);
  bool MaySend(const Context& aContext,
               const View& aView,
               const Runner& aRunner,
               const Replica& aReplica) const;
  /* Returns whether an answered inventory shows that nothing runs there since its last use. */
  static bool IsSeenQuiet(const Runner& aRunner, const Replica& aReplica);
  /* Returns whether the runner itself has just said that nothing runs on the replica. */
  static bool IsQuiet(Context& aContext, Runner& aRunner, Replica& aReplica);
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
  void ReleaseReserved(Context& aContext, const View& aView);

  // cell_demand.cpp
  void ServeDemands(Context& aContext, const View& aView);
  bool TakeLoadToken(const Context& aContext, const ServiceSpec& aService);
  std::uint32_t LoadsInFlight() const;
  std::uint32_t AdaptersInFlight() const;
  void LoadAdapter(Context& aContext, const View& aView, const Artifact& aArtifact);
  std::vector<ReplicaLocation> Grant(Context& aContext,
                                     const View& aView,
                                     const Artifact& aArtifact,
                                     const DaemonId& aRouter);
  void ReplyReady(Context& aContext, const View& aView, const Artifact& aArtifact);
  void Reply(Context& aContext,
             const View& aView,
             const DaemonId& aTo,
             DemandReplyMessage aReply) const;
  bool IsReady(const Artifact& aArtifact) const;
  const ServiceSpec* Service(const View& aView) const;

  // cell_isolation.cpp
  void ServeIsolation(Context& aContext, const View& aView);
  void ExpireIsolation(const Context& aContext, const View& aView);
  void StartIsolation(const Context& aContext, const View& aView);
  void DrainIsolated(Context& aContext, const View& aView);
  void SendIsolationGrant(Context& aContext,
                          const View& aView,
                          const IsolationWait& aWait,
                          IsolationStatus aStatus) const;
  bool IsIsolated(const EndpointId& aRunner) const;

  CellId mId;
  LeasePhase mPhase = LeasePhase::kWatching;
  Incarnation mHolder;
  Fence mFence;
  std::uint64_t mRenewals = 0;
  RowVersion mLeaseVersion;
  RowVersion mPlacementVersion;
  PlacementRow mSeenPlacement;
  TimePoint mSeenSince{};   ///< When this version of the lease was first seen.
  TimePoint mLeaseUntil{};  ///< The lease is certainly held before this time.
  TimePoint mLeaseSentAt{}; ///< When the lease transaction under way was sent.
  ChangeId mLeaseChange;
  ChangeId mPlacementChange;
  ChangeId mRead;
  bool mIsReleasing = false;
  bool mIsSeen = false;
  bool mIsDirty = false; ///< The placement differs from the written one.
  bool mIsTableUp = true;
  std::set<OrderId> mWriting; ///< Orders covered by the placement write under way.
  TimePoint mNextLeaseAction{};
  TimePoint mNextPlacementWrite{};
  TimePoint mNextKeepAlive{};
  TimePoint mNextPreload{};
  TimePoint mNextCountUpdate{};
  std::map<EndpointId, Runner> mRunners;
  std::map<Artifact, PendingDemand> mDemands;
  std::map<ModelId, EndpointId> mPlanned; ///< Where room is being made for a model.
  std::map<ModelId, ModelUsage> mUsage;
  std::deque<IsolationWait> mIsolationWaits;
  std::optional<Isolation> mIsolation;
  std::map<ModelId, ReplicaCount> mCounts; ///< Of models that may have more than one replica.
  IdleHistogram mCellIdleTimes;            ///< Of all models.
  double mLoadTokens = 1.0;
  TimePoint mLoadTokensAt{};
};

} // namespace rhubarbtrail

#endif

/* Simulates the runners, the weight store and the table for one node, in virtual time. */
#ifndef RHUBARBTRAIL_BENCH_SIMULATED_CELL_H
#define RHUBARBTRAIL_BENCH_SIMULATED_CELL_H

#include "bench/arrivals.h"

#include <functional>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace rhubarbtrail::bench {

/* Counts and times of a run, without its warm-up. */
struct RunResult
{
  /* Wait of the first request of each session until a runner starts it. A refused one counts with
   * its whole deadline. */
  std::vector<double> wakeUpWaitSeconds;
  /* Sum over all loaded or loading models without a running request: the model's share of a
   * runner's memory, multiplied by the hours in this state. */
  double idleAcceleratorHours = 0;
  std::map<ResultCode, std::uint64_t> refusals;
  std::uint64_t requests = 0;
  std::uint64_t coldWakeUps = 0; ///< First requests of a session that found no ready replica.
  std::uint64_t loads = 0;
  std::uint64_t wastedLoads = 0; ///< Replicas that were unloaded without having served a request.
  std::uint64_t storeLoads = 0;  ///< Loads from the weight store, not from a host's memory.
};

/* Whether the inventories of the runners list the checkpoints that their hosts keep in memory. */
enum class CheckpointReport : std::uint8_t
{
  kNone,
  kListed,
};

/* One cell with one node, which is both the router and the lease holder. */
class SimulatedCell
{
public:
  /* Nothing that happens within aWarmUp is counted. */
  SimulatedCell(const Deployment& aDeployment,
                Duration aWarmUp,
                CheckpointReport aCheckpointReport);
  /* Simulates the arrivals until aLength. Call it only once. */
  RunResult Run(const std::vector<Arrival>& aArrivals, Duration aLength);

private:
  struct SimulatedReplica
  {
    MemoryMb memory;
    bool ready = false; ///< Whether the load has ended.
    std::set<AdapterId> adapters;
    std::uint32_t inFlight = 0;
    std::uint64_t startedRequests = 0;
  };
  struct SimulatedRunner
  {
    std::map<ModelId, SimulatedReplica> models;
    std::list<ModelId> checkpoints; ///< Kept in host memory; the one unloaded last is the first.
  };
  struct PendingRequest
  {
    Arrival arrival;
    EndpointId runner;
    bool isStarted = false;
  };

  void Schedule(TimePoint aTime, std::function<void()> aCallback);
  void Apply(const Event& aEvent);
  void Handle(const StartAttempt& aAction);
  void Handle(const FinishRequest& aAction);
  void Handle(const TableTransaction& aAction);
  void Handle(const TableRead& aAction);
  void Handle(const SendOrder& aAction);
  void Handle(const SendMessage& aAction);
  void Handle(const WakeAt& aAction);
  template<typename T>
  void Handle(const T& /*aAction*/)
  {
  }
  void StartLoad(const SendOrder& aOrder);
  void SendOrderResult(const SendOrder& aOrder, OrderOutcome aOutcome);
  Inventory InventoryOf(const SimulatedRunner& aRunner) const;
  void AddIdleMemory();
  bool IsWarmUpOver() const { return mNow >= mWarmUpEnd; }
  /* Whether any runner has the model ready. The adapter is not checked. */
  bool IsModelReady(const Artifact& aArtifact) const;

  Configuration mConfiguration;
  CheckpointReport mCheckpointReport;
  Node mNode;
  TimePoint mNow{};
  TimePoint mWarmUpEnd{};
  TimePoint mIdleMemoryAddedUntil{};
  std::multimap<TimePoint, std::function<void()>> mCallbacks;
  TimePoint mNextWakeAt = TimePoint::max();
  std::map<RowKey, Row> mTable;
  std::map<EndpointId, SimulatedRunner> mRunners;
  std::unordered_map<RequestId, PendingRequest> mPendingRequests;
  std::uint32_t mStoreLoadsInProgress = 0;
  std::uint64_t mLastRequestNumber = 0;
  RunResult mResult;
};

} // namespace rhubarbtrail::bench

#endif

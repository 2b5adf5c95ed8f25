/* Small fakes around one node: runners, weight store and table, with given time. */
#ifndef RHUBARBTRAIL_BENCH_CELL_WORLD_H
#define RHUBARBTRAIL_BENCH_CELL_WORLD_H

#include "bench/arrivals.h"

#include <functional>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace rhubarbtrail::bench {

/* What came of a run. */
struct Outcome
{
  std::vector<double> wakeUpSeconds; ///< Wait of the first request of each wake-up.
  double idleAcceleratorHours = 0;
  std::map<ResultCode, std::uint64_t> refusals;
  std::uint64_t requests = 0;
  std::uint64_t coldWakeUps = 0; ///< Wake-ups that found no ready replica.
  std::uint64_t loads = 0;
  std::uint64_t wastedLoads = 0; ///< Unloaded without having served a request.
  std::uint64_t storeLoads = 0;  ///< Loads that the weight store served.
};

/* Whether the runners say which checkpoints their hosts keep. */
enum class CheckpointReport : std::uint8_t
{
  kNone,
  kListed,
};

/* One cell, driven by one node that is both its router and its holder. */
class CellWorld
{
public:
  CellWorld(const Deployment& aDeployment, Duration aWarmUp, CheckpointReport aReport);
  Outcome Run(const std::vector<Arrival>& aArrivals, Duration aLength);

private:
  struct Loaded
  {
    MemoryMb memory;
    bool ready = false;
    std::set<AdapterId> adapters;
    std::uint32_t inFlight = 0;
    std::uint64_t served = 0;
  };
  struct FakeRunner
  {
    std::map<ModelId, Loaded> models;
    std::list<ModelId> checkpoints; ///< In host memory, the latest used first.
  };
  struct Pending
  {
    Arrival arrival;
    EndpointId runner;
    bool isStarted = false;
  };

  void At(TimePoint aTime, std::function<void()> aStep);
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
  void Load(const SendOrder& aOrder);
  void Answer(const SendOrder& aOrder, OrderOutcome aOutcome);
  Inventory InventoryOf(const FakeRunner& aRunner) const;
  void Account();
  bool IsMeasured() const { return mNow >= mMeasureFrom; }
  bool IsReady(const Artifact& aArtifact) const;

  Configuration mConfiguration;
  CheckpointReport mReport;
  Node mNode;
  TimePoint mNow{};
  TimePoint mMeasureFrom{};
  TimePoint mAccountedTo{};
  std::multimap<TimePoint, std::function<void()>> mSteps;
  TimePoint mWake = TimePoint::max();
  std::map<RowKey, Row> mTable;
  std::map<EndpointId, FakeRunner> mRunners;
  std::unordered_map<RequestId, Pending> mPending;
  std::uint32_t mStoreLoads = 0; ///< Under way.
  std::uint64_t mNextRequest = 0;
  Outcome mOutcome;
};

} // namespace rhubarbtrail::bench

#endif

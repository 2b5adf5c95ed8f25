/* A fleet in simulated time: a dispatcher, and runners that carry out its orders and run requests.
 * An accepted order that exceeds a runner's memory, adapter slots or concurrent adapter loads is
 * recorded as a violation, and so is, after each step, a runner that may hold more than the
 * dispatcher assumes while its orders would be accepted. */
#ifndef RHUBARBTRAIL_TESTS_FLEET_FLEET_WORLD_H
#define RHUBARBTRAIL_TESTS_FLEET_FLEET_WORLD_H

#include "decision/fleet/dispatcher.h"
#include "tests/support/trace_digest.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace rhubarbtrail::fleet::test {

struct WorldOptions
{
  std::uint32_t runners = 3;
  std::uint32_t models = 9;          ///< Named m0, m1, ...
  std::uint32_t modelsPerRunner = 3; ///< Models that fit into the weight memory of a runner.
  std::uint32_t adapters = 0;        ///< Adapters of each model, named a1, a2, ...
  std::uint32_t adapterSlots = 8;    ///< Adapters that a runner can hold or load.
  /* Concurrent adapter loads that the store serves at full speed. With more, all take longer. */
  std::size_t fullSpeedAdapterLoads = 8;
  std::uint32_t slots = 64; ///< Requests that a runner can run at the same time.
  Duration storeLoadTime = 6s;
  Duration adapterLoadTime = 15ms;
  Duration diskLoadTime = 1s;
  Duration unloadTime{};      ///< Time that a runner needs to unload a model.
  Duration reportLag = 100ms; ///< Age of the state that a runner's report shows.
  bool areAllModelsOnDisk = true;
  std::uint32_t seed = 1;
  std::vector<ClientAccount> accounts; ///< Empty for a deployment without accounts.
};

/* The actual state of a runner. The dispatcher only knows it from entries and reports. */
struct SimRunner
{
  struct Order
  {
    OrderKind kind = OrderKind::kLoad;
    ModelRef subject;
    TimePoint doneAt{};
    bool isFromStore = false;
    double remainingFraction = 0.0; ///< Of a load from the store, from 1 to 0.
  };
  struct RunningRequest
  {
    ModelRef model;
    TimePoint endsAt{};
  };

  std::string id;
  std::string version = "v1"; ///< Of its software.
  std::int64_t startedAtMs = 1;
  std::uint64_t orderCount = 0;
  std::map<ModelId, std::set<AdapterId>> models;
  std::set<ModelRef> loadingAdapters;  ///< Adapters that are being loaded.
  std::set<ModelRef> adaptersToUnload; ///< Adapters to unload when no request uses them any more.
  std::set<ModelId> onDisk;
  std::optional<Order> order;
  std::optional<RequestRate> limit; ///< That its answers state.
  std::vector<TimePoint> calls;     ///< When requests, orders and calls for reports arrived.
  /* By the number of the placement request. */
  std::map<std::uint64_t, RunningRequest> runningRequests;
  /* Reports of the last 200 steps, for reports that lag. */
  std::deque<std::pair<TimePoint, RunnerReport>> pastReports;
};

/* The state of a placement request. */
struct SimOutcome
{
  std::string model;
  TimePoint requestedAt{};
  int lostAttempts = 0; ///< At unreachable runners.
  std::optional<TimePoint> startedAt;
  std::optional<Duration> retryAfter; ///< Of a refusal by the dispatcher.
  TimePoint endedAt{};                ///< When the request was assigned, refused or withdrawn.
  bool isRefused = false; ///< The dispatcher refused the request, or Withdraw() withdrew it.
  std::optional<ResultCode> refusalCode; ///< Set if the dispatcher refused the request.
};

class FleetWorld
{
public:
  explicit FleetWorld(WorldOptions aOptions);

  /* Sends a placement request for a model or one of its adapters and returns its number. */
  std::uint64_t SendRequest(const std::string& aModel,
                            const std::string& aAdapter = {},
                            std::uint32_t aPriority = 1,
                            Duration aTimeLeft = 20s,
                            const std::function<void(PlacementRequest&)>& aChange = nullptr);
  /* Sends a placement request for a stream that is resumed. Its origin is stated, or looked up by
   * the dispatcher in streamOrigins. Records a violation if it starts at another version than
   * aVersion.
   */
  std::uint64_t SendResumed(const std::string& aModel,
                            const std::string& aVersion,
                            std::optional<StreamKey> aStream = std::nullopt,
                            Duration aTimeLeft = 20s);
  /* Advances the time in steps of 10 ms. */
  void Run(Duration aTime);
  /* Replaces the dispatcher by a new one, which knows the runners' entries and the requests that
   * are still waiting. It may send orders after 3.2 s. */
  void ReplaceDispatcher();
  void SetOrderPermission(bool aMayOrder);
  /* Restarts a runner, which then holds nothing in memory. */
  void Restart(std::size_t aRunner);
  /* Sends the current entry of a runner to the dispatcher. */
  void SendEntry(std::size_t aRunner);
  /* Sends the present entry of a runner after some time. */
  void SendEntryLater(std::size_t aRunner, Duration aTime);
  /* Sends an entry that shows the runner as draining. */
  void Drain(std::size_t aRunner);
  /* Withdraws a request that was not assigned yet. */
  void Withdraw(std::uint64_t aNumber);
  /* Returns that the answer to an order was lost, and delivers the order to the runner after some
   * time, unless the runner has restarted by then. */
  OrderOutcome DeliverOrderLate(const RunnerOrder& aOrder, Duration aTime);

  std::size_t CountServed() const;
  std::size_t CountRefused() const;
  std::size_t CountWaiting() const;
  std::size_t CountStoreLoads() const;
  /* Returns the longest time that an assigned request waited for its assignment. */
  Duration LongestWait() const;
  /* Adds what became of the requests, and when calls reached the runners. */
  void AddTo(TraceDigest& aTrace) const;
  /* Returns the number of runners that hold a model. */
  std::uint32_t CountReplicas(const std::string& aModel) const;

  WorldOptions options;
  TimePoint now{ 1'000s };
  StreamOrigins streamOrigins;
  RecordedVersions recordedVersions; ///< All versions of the runners.
  Dispatcher dispatcher{ streamOrigins, recordedVersions };
  std::vector<SimRunner> runners;
  std::map<std::uint64_t, SimOutcome> outcomes;
  std::vector<std::string> violations;
  std::uint64_t sentOrders = 0;        ///< Orders that the dispatcher sent.
  std::uint64_t refusedOrders = 0;     ///< Orders that a runner refused because of a conflict.
  std::uint64_t startedStoreLoads = 0; ///< Model loads from the store that were started.
  /* Concurrent model loads that the store serves at full speed. With more, all take longer. */
  std::uint32_t fullSpeedStoreLoads = 100;
  Duration extraDiskLoadTime{};     ///< Time that loads from disk take beyond the configured time.
  std::uint64_t runnerRefusals = 0; ///< Requests assigned to a runner that did not hold the model.
  Duration requestDuration = 1'500ms; ///< Time for which each request runs.
  std::mt19937 random;
  /* Returns the outcome of an order in place of the runner, or nothing if the order is to be
   * delivered to the runner at once. */
  std::function<std::optional<OrderOutcome>(const RunnerOrder&)> orderOverride;
  /* Returns whether a runner refuses an assigned request although it holds the model. The caller
   * gives up. */
  std::function<bool()> isBusy;
  std::function<Duration()> reportDelay; ///< Extra time until a runner answers with its report.
  /* Runners at which no connection can be opened. Their entries stay. */
  std::set<std::string> unreachableRunners;
  /* Returns what arrives in place of a runner's report, or nothing if the call for it fails. */
  std::function<std::optional<RunnerReport>(const RunnerReport&)> reportOverride;

private:
  struct Pending
  {
    TimePoint at{};
    std::function<void()> action;
    /* The action is an answer to the current dispatcher and is dropped if that is replaced. */
    bool isForCurrentDispatcher = false;
  };

  /* The dispatcher learns from an answer of a runner what it states about its limit. */
  void StateLimit(const SimRunner& aRunner, TimePoint aRequestSentAt);
  SimRunner& Find(const EndpointId& aRunner);
  /* Withdraws an assignment to an unreachable runner. The caller asks again, up to four times. */
  void OnUnreachable(const PlacementRequestId& aRequest);
  RunnerEntry EntryOf(const SimRunner& aRunner) const;
  RunnerReport ReportOf(const SimRunner& aRunner) const;
  OrderOutcome DeliverOrder(const RunnerOrder& aOrder);
  void SubmitRequest(std::uint64_t aNumber);
  static bool IsAdapterInUse(const SimRunner& aRunner, const ModelRef& aAdapter);
  void Step();
  void CheckAssumedHoldings();
  void Execute(const DispatchAction& aAction);
  void Schedule(Duration aTime,
                std::function<void()> aAction,
                bool aIsForCurrentDispatcher = false);

  std::shared_ptr<FleetConfiguration> mConfiguration;
  std::deque<Pending> mPending;
  std::map<std::uint64_t, PlacementRequest> mRequests;
  std::map<std::uint64_t, std::string> mRequiredVersions; ///< Of streams that are resumed.
  std::uint64_t mNextRequestNumber = 1;
  std::uint64_t mFence = 1;
};

} // namespace rhubarbtrail::fleet::test

#endif

/* Deterministic simulation of several daemons. It has one thread, one queue of tasks ordered by
 * time and one seeded random generator. It carries out the actions of the daemons' Nodes on
 * simulated versions of the table service, the runners and a plain service, injects faults, and
 * records every violated invariant. */
#ifndef RHUBARBTRAIL_TESTS_MATRIX_WORLD_H
#define RHUBARBTRAIL_TESTS_MATRIX_WORLD_H

#include "decision/decision.h"
#include "tests/support/trace_digest.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace rhubarbtrail::matrix {

/* Operation of the daemons during which the faults are injected. */
enum class Step : std::uint8_t
{
  kLoad,          ///< Nine requests for random models, so that models are loaded.
  kRequest,       ///< Nine requests for one model.
  kClaim,         ///< Requests with eight idempotency keys, each key sent twice.
  kConfiguration, ///< Concurrent changes of the configuration, twice.
  kTakeover,      ///< The holder of the cell lease is killed or frozen.
  kShutdown,      ///< A daemon is asked to shut down, shortly after it got a request.
  kCount,
};

enum class Fault : std::uint8_t
{
  kNone,
  kDaemonCrash,         ///< A daemon process is killed and started again later.
  kDaemonFreeze,        ///< A daemon process is paused, at once or when it sends its next order.
  kDaemonPartition,     ///< A daemon cannot reach peers, table or endpoints, or several of these.
  kLossyNetwork,        ///< Half of the runs return no bytes, and 30 % of the messages are lost.
  kTableDown,           ///< The table service does not answer.
  kTableSlow,           ///< The table service answers up to 1.4 s late. Calls time out after 1 s.
  kTableAnswerLost,     ///< Half of the answers to table transactions are lost.
  kSlowLoads,           ///< Loading a model takes six times as long.
  kEndpointCrash,       ///< An endpoint loses its process and starts again.
  kEndpointLeaving,     ///< An endpoint announces that it is leaving, and ends 7 s later.
  kStaleHostList,       ///< An endpoint leaves while the daemons get host lists that are 8 s old.
  kConcurrentOperators, ///< Two operators change the configuration at the same time.
  kLateOrders,          ///< Orders arrive up to 990 ms late. They time out after 900 ms.
  kRunnerPartition,     ///< A runner keeps running but cannot be reached.
  kCount,
};

/* Order in which two random numbers for one call are drawn. C++ leaves the order of evaluation of
 * arguments open, so seeds that were found on one kind of machine need its order to be replayed. */
enum class DrawOrder : std::uint8_t
{
  kLastFirst,  ///< As GCC evaluates arguments on x86-64.
  kFirstFirst, ///< As GCC evaluates arguments on arm64.
};

const char* NameOf(Step aStep);
const char* NameOf(Fault aFault);

/* A fault at a given time after the start of the step. Its target is found when it begins: of the
 * faults of daemons the holder of the lease, of those of runners one that holds a model. */
struct DirectedFault
{
  Duration at{};
  Fault fault = Fault::kNone; ///< kDaemonCrash, kTableDown or kRunnerPartition.
  Duration length{};
};

struct Scenario
{
  std::uint64_t seed = 1;
  Step step = Step::kLoad;
  std::vector<Fault> faults;
  OrderCheck check = OrderCheck::kChecked; ///< Whether the runners check fencing tokens.
  MechanismSet disabled;
  /* Faults begin at random times from 100 ms before the start of the step to this time after it. */
  Duration faultStartWindow = 1500ms;
  DrawOrder drawOrder = DrawOrder::kLastFirst;
  std::vector<DirectedFault> directedFaults;
  bool hasBackgroundTraffic = true; ///< Besides the requests of the step.
};

/* Result of the run of one scenario. */
struct ScenarioResult
{
  std::vector<std::string> violations; ///< "invariant: what was observed at which time".
  std::uint64_t eventCount = 0;        ///< Tasks that the simulation ran.
  std::uint32_t answeredCount = 0;     ///< Requests that ended with the result code kOk.
  std::uint32_t refusedCount = 0;      ///< Requests that ended with any other result code.
  /* Of the events that the daemons got and the actions that they took, with their times. */
  TraceDigest trace;
};

/* Runs a scenario from start to end. */
ScenarioResult RunScenario(const Scenario& aScenario);

/* Returns the step, faults, order check and seed of a scenario, as text for a report. */
std::string DescribeScenario(const Scenario& aScenario);

using SimulatedTime = Duration; ///< Simulated time since the start of the run.

/* A host that runs one daemon process. The host remains while the process is dead. */
struct DaemonHost
{
  DaemonId id;
  std::unique_ptr<Node> node;   ///< Null while the process is dead.
  std::uint32_t generation = 0; ///< Number of starts of the process.
  double clockRate = 1.0;       ///< Speed of its clock relative to simulated time.
  Duration clockOffset{};       ///< What its clock shows at the start of the simulation.
  bool isFrozen = false;
  bool isStopping = false;
  bool isCutFromPeers = false;
  bool isCutFromTable = false;
  bool isCutFromRunners = false;
  SimulatedTime resumedAt{}; ///< End of the last freeze.
  SimulatedTime startedAt{};
  /* What the frozen process will do when it is resumed. */
  std::vector<std::function<void()>> deferredTasks;
  std::uint64_t lastWakeNumber = 0; ///< Only the newest wake-up request is delivered.
  ConfigVersion configurationVersion;
  Readiness readiness = Readiness::kStarting;
};

struct FakeModel
{
  std::string version;
  MemoryMb memory;
  bool ready = false;
  std::set<AdapterId> adapters;
};

/* A simulated endpoint: a runner of the models, or an endpoint of the plain service. */
struct FakeEndpoint
{
  EndpointId id;
  ServiceId service;
  std::uint32_t bootNumber = 1; ///< Increases with each crash.
  bool isAlive = true;
  bool isUnreachable = false;
  bool isListed = true;
  std::optional<SimulatedTime> leavingSince;
  /* Earliest time at which a daemon can know that the endpoint is leaving. */
  std::optional<SimulatedTime> knownLeavingAt;
  FencingToken highestFence; ///< Highest fencing token of the orders that it got.
  std::map<ModelId, FakeModel> models;
  /* Outcomes of the orders to load or unload a model. A repeated order gets the same outcome. */
  std::map<OrderId, OrderOutcome> orderOutcomes;
  /* Index of the sending host, and model, of the requests that run on it. */
  std::map<RequestId, std::pair<std::size_t, ModelId>> running;
};

/* A request from the caller's point of view. */
struct ClientRequest
{
  std::size_t host = 0;
  std::uint32_t generation = 0;
  Artifact artifact;
  IdempotencyKey key;
  Duration runTime{};        ///< Time that a run takes on the endpoint.
  SimulatedTime answerDue{}; ///< When the daemon must have answered. Zero until it has the request.
  std::uint32_t answerCount = 0;  ///< A refused connection counts as an answer.
  std::uint32_t runCount = 0;     ///< Runs that an endpoint began.
  bool wasReportedNotRun = false; ///< The caller was told that the request did not run.
  bool mustSucceed = false;       ///< Sent to check the recovery from the faults.
  std::uint32_t resendCount = 0;
};

class World
{
public:
  explicit World(const Scenario& aScenario);
  ScenarioResult Run();

private:
  struct ScheduledTask
  {
    SimulatedTime time;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const ScheduledTask& aOther) const
    {
      return std::tie(time, number) > std::tie(aOther.time, aOther.number);
    }
  };

  // world.cpp: simulated time, processes and actions
  void Schedule(Duration aDelay, std::function<void()> aTask);
  /* Records a violation of one of these invariants:
   * - "one answer": a request is answered at most once.
   * - "not run": a request that an endpoint began is not reported as not run, and no
   *   endpoint begins a request after such a report.
   * - "at most once": a request with an idempotency key runs at most once.
   * - "in time": a daemon that is neither dead nor frozen answers each request by its
   *   deadline, with a margin of 10 % and 100 ms.
   * - "leaving": an endpoint gets no request more than 3 s after its leaving could be known, except
   *   from a daemon that is cut from its peers.
   * - "configuration": a daemon admits no request more than 5 s after a newer configuration was
   *   accepted and never replaces a configuration by an older one. Only one of two
   *   concurrent changes is committed.
   * - "shutdown": a stopping daemon ends within 25 s, and not before it has answered its requests.
   * - "recovery": 26 s after the start, a request to each daemon succeeds. Daemons
   *   that are stopping, or were started or resumed less than 4 s ago, are left out.
   * - "replicas": a model is loaded on at most one runner.
   * - "memory": the loaded models fit in the weight memory of their runner.
   * - "written order": a runner that does not check fencing tokens gets orders to load or unload a
   *   model only while the placement row has an entry for the model on this runner.
   * - "cut stream": a model is not unloaded while a request of a live daemon runs on it.
   * - "busy loop": a run has no more than kMaxEvents events. */
  void RecordViolation(const std::string& aInvariant, const std::string& aDetail);
  Duration RandomDuration(Duration aMinimum, Duration aMaximum);
  bool RandomBool(double aProbability)
  {
    return std::uniform_real_distribution<>(0, 1)(mRandom) < aProbability;
  }
  std::size_t RandomIndex(std::size_t aCount) { return mRandom() % aCount; }
  /* Calls both functions, which draw random numbers, in the scenario's order of draws. */
  template<typename First, typename Second>
  auto DrawBoth(First aFirst, Second aSecond)
  {
    if (mScenario.drawOrder == DrawOrder::kFirstFirst) {
      auto first = aFirst();
      auto second = aSecond();
      return std::pair{ std::move(first), std::move(second) };
    }
    auto second = aSecond();
    auto first = aFirst();
    return std::pair{ std::move(first), std::move(second) };
  }
  void StartDaemon(std::size_t aHost);
  void KillDaemon(std::size_t aHost);
  void FreezeDaemon(std::size_t aHost, Duration aLength);
  void DeliverEvent(std::size_t aHost, std::uint32_t aGeneration, Event aEvent, Duration aDelay);
  void ApplyEvent(std::size_t aHost, const Event& aEvent);
  /* Schedules something that the host's process sends. It is dropped when the process has died in
   * the meantime, and deferred while the process is frozen. */
  void ScheduleSend(std::size_t aHost, std::function<void()> aTask);
  void PublishHosts();
  std::size_t LeaseHolderOr(std::size_t aDefault) const;

  void CarryOut(std::size_t aHost, const StartAttempt& aAction);
  void CarryOut(std::size_t aHost, const StopAttempt& aAction);
  void CarryOut(std::size_t aHost, const FinishRequest& aAction);
  void CarryOut(std::size_t aHost, const TableTransaction& aAction);
  void CarryOut(std::size_t aHost, const TableRead& aAction);
  void CarryOut(std::size_t aHost, const SendOrder& aAction);
  void CarryOut(std::size_t aHost, const SendMessage& aAction);
  void CarryOut(std::size_t aHost, const WakeAt& aAction);
  void CarryOut(std::size_t aHost, const PublishConfiguration& aAction);
  void CarryOut(std::size_t aHost, const PublishReadiness& aAction);
  void CarryOut(std::size_t aHost, const ShutdownComplete& aAction);

  // world_platform.cpp: table service, endpoints and host list
  TransactionResult CommitTransaction(const TableTransaction& aTransaction);
  OrderResult ExecuteOrder(std::size_t aHost, const SendOrder& aOrder);
  void CheckPlacementWritten(const SendOrder& aOrder);
  void CheckLoadedModels();
  Inventory MakeInventory(const FakeEndpoint& aEndpoint) const;
  void CrashEndpoint(std::size_t aEndpoint, Duration aDowntime);
  void StartLeaving(std::size_t aEndpoint);
  void AcceptConfiguration(bool aIsConcurrent);
  FakeEndpoint* FindEndpoint(const EndpointId& aEndpoint);

  // world_scenario.cpp: steps, faults and client requests
  RequestId SendRequest(std::size_t aHost,
                        const Artifact& aArtifact,
                        IdempotencyKey aKey,
                        Duration aTimeLimit);
  void CheckAnswered(const RequestId& aRequest);
  void ResendRequest(const RequestId& aRequest);
  void StartStep(Step aStep);
  void InjectFault(Fault aFault);
  void InjectDirectedFault(const DirectedFault& aFault);
  void SendBackgroundTraffic();

  Scenario mScenario;
  std::mt19937_64 mRandom;
  ScenarioResult mResult;
  SimulatedTime mNow{};
  std::uint64_t mLastNumber = 0;
  std::priority_queue<ScheduledTask> mQueue;
  std::vector<DaemonHost> mHosts;
  std::vector<FakeEndpoint> mEndpoints;
  std::map<RowKey, Row> mRows;
  std::map<std::uint64_t, std::shared_ptr<const Configuration>> mConfigurations;
  std::map<std::uint64_t, SimulatedTime> mConfigurationAcceptedAt;
  std::map<RequestId, ClientRequest> mRequests;
  std::map<IdempotencyKey, std::uint32_t> mRunCountByKey;
  std::set<std::pair<RequestId, std::uint32_t>> mStoppedAttempts;
  std::vector<std::pair<SimulatedTime, std::vector<HostEntry>>> mHostLists;
  /* This host is frozen when it has decided on its next order, before the order is sent. */
  std::optional<std::size_t> mFreezeOnNextOrder;
  Duration mHostListAge = 300ms; ///< Age of the host lists that the daemons get.
  Duration mMaxOrderDelay{};     ///< Upper limit of the delay added to each order.
  bool mIsTableDown = false;
  Duration mMaxTableDelay{};              ///< Upper limit of the delay added in each direction.
  double mLostTableAnswerProbability = 0; ///< Probability that the answer to a transaction is lost.
  double mSilentRunProbability = 0;       ///< Probability that a run returns no bytes.
  /* Probability that a message or an answer to an order is lost. */
  double mLostMessageProbability = 0;
  double mLoadTimeFactor = 1; ///< Multiplies the time that a model load takes.
};

} // namespace rhubarbtrail::matrix

#endif

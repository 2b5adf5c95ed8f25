/* Deterministic simulation of several daemons. It has one thread, one queue of tasks ordered by
 * time and one seeded random generator. It carries out the actions of the daemons' Nodes on
 * simulated versions of the table service, the runners and a plain service, injects faults, and
 * records every violated invariant. */
#ifndef RHUBARBTRAIL_TESTS_MATRIX_WORLD_H
#define RHUBARBTRAIL_TESTS_MATRIX_WORLD_H

#include "decision/decision.h"

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
  kLoad,
  kRequest,
  kClaim,
  kConfiguration,
  kTakeover,
  kShutdown,
  kCount,
};

enum class Fault : std::uint8_t
{
  kNone,
  kDeath,         ///< A daemon process is killed and started again later.
  kFreeze,        ///< A daemon process is paused, at once or when it sends its next order.
  kCut,           ///< A daemon cannot reach its peers, the table, the runners, or several of these.
  kSilence,       ///< Half of the runs return no bytes, and 30 % of the messages are lost.
  kTableDown,     ///< The table service does not answer.
  kTableSlow,     ///< The table service answers late, in part after the time limit.
  kAnswerLost,    ///< Half of the answers to table transactions are lost.
  kStoreSlow,     ///< Loading a model takes six times as long.
  kEndpointCrash, ///< An endpoint loses its process and starts again.
  kLeaving,       ///< An endpoint announces that it is leaving, and ends 7 s later.
  kLaggingList,   ///< An endpoint leaves while the daemons get host lists that are 8 s old.
  kRacingOperators, ///< Two operators change the configuration at the same time.
  kLateOrders,      ///< Orders arrive late, in part after the time limit.
  kEndpointCut,     ///< A runner keeps running but cannot be reached.
  kCount,
};

const char* NameOf(Step aStep);
const char* NameOf(Fault aFault);

struct Scenario
{
  std::uint64_t seed = 1;
  Step step = Step::kLoad;
  std::vector<Fault> faults;
  OrderCheck check = OrderCheck::kChecked;
  MechanismSet disabled;
  Duration spread = 1500ms; ///< The faults begin within this time after the step.
};

/* Result of the run of one scenario. */
struct Verdict
{
  std::vector<std::string> violations; ///< "invariant: what was observed at which time".
  std::uint64_t events = 0;            ///< Tasks that the simulation ran.
  std::uint32_t answered = 0;          ///< Requests that ended with the result code kOk.
  std::uint32_t refused = 0;           ///< Requests that ended with any other result code.
};

/* Runs a scenario from start to end. */
Verdict Play(const Scenario& aScenario);

/* Returns the step, faults, order check and seed of a scenario, as text for a report. */
std::string Describe(const Scenario& aScenario);

using Clock = Duration; ///< Simulated time since the start of the run.

/* A host that runs one daemon process. The host remains while the process is dead. */
struct Host
{
  DaemonId id;
  std::unique_ptr<Node> node;   ///< Null while the process is dead.
  std::uint32_t generation = 0; ///< Number of starts of the process.
  double rate = 1.0;            ///< Speed of its clock relative to simulated time.
  Duration offset{};            ///< What its clock shows at the start of the simulation.
  bool isFrozen = false;
  bool isStopping = false;
  bool isPeerCut = false;
  bool isTableCut = false;
  bool isRunnerCut = false;
  Clock resumedAt{}; ///< End of the last freeze.
  Clock bootedAt{};
  std::vector<std::function<void()>> backlog; ///< Tasks deferred until the process is resumed.
  std::uint64_t wakeNumber = 0;               ///< Only the newest wake-up request is delivered.
  ConfigVersion version;
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
  std::uint32_t boot = 1; ///< Increases with each crash.
  bool isAlive = true;
  bool isCut = false;
  bool isListed = true;
  std::optional<Clock> leavingSince;
  std::optional<Clock> noticedAt; ///< Earliest time at which a daemon can know that it is leaving.
  Fence fence;                    ///< Highest fencing token of the orders that it got.
  std::map<ModelId, FakeModel> models;
  std::map<OrderId, OrderOutcome> orders; ///< Outcomes, given again when an order is repeated.
  std::map<RequestId, std::pair<std::size_t, ModelId>> running; ///< Host and model by request.
};

/* A request from the caller's point of view. */
struct Call
{
  std::size_t host = 0;
  std::uint32_t generation = 0;
  Artifact artifact;
  IdempotencyKey key;
  Duration work{};           ///< Time that a run takes on the endpoint.
  Clock due{};               ///< When the daemon must have answered. Zero until it has the request.
  std::uint32_t answers = 0; ///< A refused connection counts as an answer.
  std::uint32_t runs = 0;    ///< Runs that an endpoint began.
  bool saidNotRun = false;   ///< The caller was told that the request did not run.
  bool mustSucceed = false;  ///< Sent after all faults have ended, so it must be answered.
  std::uint32_t resends = 0;
};

class World
{
public:
  explicit World(const Scenario& aScenario);
  Verdict Run();

private:
  struct Due
  {
    Clock time;
    std::uint64_t number;
    std::function<void()> act;
    bool operator<(const Due& aOther) const
    {
      return std::tie(time, number) > std::tie(aOther.time, aOther.number);
    }
  };

  // world.cpp: simulated time, processes and actions
  void After(Duration aDelay, std::function<void()> aAct);
  void Violate(const std::string& aPromise, const std::string& aWhat);
  Duration Between(Duration aLow, Duration aHigh);
  bool Chance(double aShare) { return std::uniform_real_distribution<>(0, 1)(mRandom) < aShare; }
  std::size_t Pick(std::size_t aCount) { return mRandom() % aCount; }
  void Boot(std::size_t aHost);
  void Kill(std::size_t aHost);
  void Freeze(std::size_t aHost, Duration aLength);
  void Deliver(std::size_t aHost, std::uint32_t aGeneration, Event aEvent, Duration aDelay);
  void Apply(std::size_t aHost, const Event& aEvent);
  /* Schedules something that the host's process sends. It is dropped when the process has died in
   * the meantime, and deferred while the process is frozen. */
  void Depart(std::size_t aHost, std::function<void()> aAct);
  void PublishHosts();
  std::size_t HolderOr(std::size_t aElse) const;

  void Carry(std::size_t aHost, const StartAttempt& aAction);
  void Carry(std::size_t aHost, const StopAttempt& aAction);
  void Carry(std::size_t aHost, const FinishRequest& aAction);
  void Carry(std::size_t aHost, const TableTransaction& aAction);
  void Carry(std::size_t aHost, const TableRead& aAction);
  void Carry(std::size_t aHost, const SendOrder& aAction);
  void Carry(std::size_t aHost, const SendMessage& aAction);
  void Carry(std::size_t aHost, const WakeAt& aAction);
  void Carry(std::size_t aHost, const PublishConfiguration& aAction);
  void Carry(std::size_t aHost, const PublishReadiness& aAction);
  void Carry(std::size_t aHost, const ShutdownComplete& aAction);

  // world_platform.cpp: table service, endpoints and host list
  TransactionResult Commit(const TableTransaction& aTransaction);
  OrderResult Execute(std::size_t aHost, const SendOrder& aOrder);
  void CheckPlacement(const SendOrder& aOrder);
  void CheckRunners();
  Inventory InventoryOf(const FakeEndpoint& aEndpoint) const;
  void CrashEndpoint(std::size_t aEndpoint, Duration aDowntime);
  void Leave(std::size_t aEndpoint);
  void AcceptConfiguration(bool aIsRace);
  FakeEndpoint* FindEndpoint(const EndpointId& aEndpoint);

  // world_script.cpp: steps, faults and client requests
  RequestId Send(std::size_t aHost,
                 const Artifact& aArtifact,
                 IdempotencyKey aKey,
                 Duration aLimit);
  void CheckAnswered(const RequestId& aRequest);
  void Resend(const RequestId& aRequest);
  void Begin(Step aStep);
  void Begin(Fault aFault);
  void Background();

  Scenario mScenario;
  std::mt19937_64 mRandom;
  Verdict mVerdict;
  Clock mNow{};
  std::uint64_t mNumber = 0;
  std::priority_queue<Due> mQueue;
  std::vector<Host> mHosts;
  std::vector<FakeEndpoint> mEndpoints;
  std::map<RowKey, Row> mRows;
  std::map<std::uint64_t, std::shared_ptr<const Configuration>> mConfigurations;
  std::map<std::uint64_t, Clock> mAcceptedAt;
  std::map<RequestId, Call> mCalls;
  std::map<IdempotencyKey, std::uint32_t> mRunsByKey;
  std::set<std::pair<RequestId, std::uint32_t>> mStopped;
  std::vector<std::pair<Clock, std::vector<HostEntry>>> mLists;
  /* This host is frozen when it has decided on its next order, before the order is sent. */
  std::optional<std::size_t> mFreezeOnOrder;
  Duration mListLag = 300ms; ///< Age of the host lists that the daemons get.
  Duration mOrderDelay{};    ///< Upper limit of the delay added to each order.
  bool mIsTableDown = false;
  Duration mTableDelay{};   ///< Upper limit of the delay added in each direction.
  double mLostAnswers = 0;  ///< Probability that the answer to a transaction is lost.
  double mSilence = 0;      ///< Probability that a run returns no bytes.
  double mLostMessages = 0; ///< Probability that a message or an answer to an order is lost.
  double mLoadFactor = 1;   ///< Multiplies the time that a model load takes.
};

} // namespace rhubarbtrail::matrix

#endif

/* A small deterministic world around several Nodes: one thread, one queue of events ordered by
 * time, one seeded generator. It carries out the nodes' actions on fakes of the table, the runners
 * and a plain service, brings about faults, and notes every broken promise. */
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
  kDeath,
  kFreeze,
  kCut,
  kSilence,
  kTableDown,
  kTableSlow,
  kAnswerLost,
  kStoreSlow,
  kEndpointCrash,
  kLeaving,
  kLaggingList,
  kRacingOperators,
  kLateOrders,
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
};

/* What a run came to. */
struct Verdict
{
  std::vector<std::string> violations; ///< "promise: what was seen at which time".
  std::uint64_t events = 0;
  std::uint32_t answered = 0; ///< Requests that got their whole answer.
  std::uint32_t refused = 0;
};

/* Plays a scenario from start to end. */
Verdict Play(const Scenario& aScenario);

/* Describes a scenario so that it can be played again. */
std::string Describe(const Scenario& aScenario);

using Clock = Duration; ///< Time of the world since its start.

/* A daemon process, or the place where one stood. */
struct Host
{
  DaemonId id;
  std::unique_ptr<Node> node; ///< None while the process is dead.
  std::uint32_t generation = 0;
  double rate = 1.0; ///< Of its clock.
  Duration offset{};
  bool isFrozen = false;
  bool isStopping = false;
  bool isPeerCut = false;
  bool isTableCut = false;
  bool isRunnerCut = false;
  Clock resumedAt{};
  Clock bootedAt{};
  std::vector<std::function<void()>> backlog; ///< What waits for the frozen process.
  std::uint64_t wakeNumber = 0;
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

/* An endpoint: a runner, or one of the plain service. */
struct FakeEndpoint
{
  EndpointId id;
  ServiceId service;
  std::uint32_t boot = 1;
  bool isAlive = true;
  bool isListed = true;
  std::optional<Clock> leavingSince;
  std::optional<Clock> noticedAt; ///< When the first daemon could know that it is leaving.
  Fence fence;
  std::map<ModelId, FakeModel> models;
  std::map<OrderId, OrderOutcome> orders;
  std::map<RequestId, std::pair<std::size_t, ModelId>> running; ///< With host and model.
};

/* A request as its caller sees it. */
struct Call
{
  std::size_t host = 0;
  std::uint32_t generation = 0;
  Artifact artifact;
  IdempotencyKey key;
  Duration work{};
  Clock due{}; ///< When the process that read it must have answered.
  std::uint32_t answers = 0;
  std::uint32_t runs = 0;
  bool saidNotRun = false;
  bool mustSucceed = false;
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

  // world.cpp: the machinery
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
  /* Runs an effect of the host's process unless it is dead; later when it is frozen. */
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

  // world_platform.cpp: the fakes
  TransactionResult Commit(const TableTransaction& aTransaction);
  OrderResult Execute(std::size_t aHost, const SendOrder& aOrder);
  void CheckPlacement(const SendOrder& aOrder);
  void CheckRunners();
  Inventory InventoryOf(const FakeEndpoint& aEndpoint) const;
  void CrashEndpoint(std::size_t aEndpoint, Duration aDowntime);
  void Leave(std::size_t aEndpoint);
  void AcceptConfiguration(bool aIsRace);
  FakeEndpoint* FindEndpoint(const EndpointId& aEndpoint);

  // world_script.cpp: steps, faults and callers
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
  std::optional<std::size_t> mFreezeOnOrder; ///< Freezes this host between deciding and sending.
  Duration mListLag = 300ms;
  Duration mOrderDelay{};
  bool mIsTableDown = false;
  Duration mTableDelay{};
  double mLostAnswers = 0;
  double mSilence = 0;
  double mLostMessages = 0;
  double mLoadFactor = 1;
};

} // namespace rhubarbtrail::matrix

#endif

/* A fleet in given time: runners that carry out orders and requests, and the dispatcher before
 * them. What a runner must never be ordered or given is noted as a violation. */
#ifndef RHUBARBTRAIL_TESTS_FLEET_FLEET_WORLD_H
#define RHUBARBTRAIL_TESTS_FLEET_FLEET_WORLD_H

#include "decision/fleet/dispatcher.h"

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
  std::uint32_t models = 9; ///< Named m0, m1, ...
  std::uint32_t placesPerRunner = 3;
  std::uint32_t adapters = 0; ///< Of each model; named a1, a2, ...
  std::uint32_t adapterSlots = 8;
  std::size_t adaptersAtOnce = 8; ///< That the store brings at full speed; more share it.
  std::uint32_t slots = 64;
  Duration storeLoadTime = 6s;
  Duration diskLoadTime = 1s;
  Duration reportLag = 100ms;
  bool hasAllOnDisk = true;
  std::uint32_t seed = 1;
};

/* A runner as it really is. */
struct SimRunner
{
  struct Order
  {
    OrderKind kind = OrderKind::kLoad;
    ModelRef subject;
    TimePoint doneAt{};
    bool isFromStore = false;
    double left = 0.0; ///< Part of a load from the store that is still to come.
  };
  struct Run
  {
    ModelRef model;
    TimePoint endsAt{};
  };

  std::string id;
  std::int64_t startedAtMs = 1;
  std::uint64_t orderCount = 0;
  std::map<ModelId, std::set<AdapterId>> models;
  std::set<ModelRef> arriving; ///< Adapters on their way.
  std::set<ModelRef> leaving;  ///< Adapters that go when no request uses them.
  std::set<ModelId> onDisk;
  std::optional<Order> order;
  std::map<std::uint64_t, Run> runs;                      ///< By question.
  std::deque<std::pair<TimePoint, RunnerReport>> history; ///< For reports that lag.
};

/* How a request ended. */
struct SimOutcome
{
  std::string model;
  TimePoint askedAt{};
  std::optional<TimePoint> startedAt;
  bool isRefused = false;
};

class FleetWorld
{
public:
  explicit FleetWorld(WorldOptions aOptions);

  /* Asks for a model, or one of its adapters, and returns the question's number. */
  std::uint64_t Ask(const std::string& aModel,
                    const std::string& aAdapter = {},
                    std::uint32_t aPriority = 1,
                    Duration aTimeLeft = 20s);
  /* Lets time pass in steps of 10 ms. */
  void Run(Duration aTime);
  /* Another daemon becomes the dispatcher: it knows what the entries say, and nothing else. It may
   * give orders after the lease's spacing. */
  void TakeOver();
  void SetOrders(bool aMayOrder);
  /* A runner starts anew; it holds nothing. */
  void Restart(std::size_t aRunner);
  /* Tells the dispatcher what the entry of a runner says now. */
  void Announce(std::size_t aRunner);
  void Leave(std::size_t aRunner);
  /* The caller gives up before it was answered. */
  void Withdraw(std::uint64_t aNumber);
  /* A runner leaves an order unanswered and takes it after some time, if it still may. */
  OrderOutcome TakeLate(const RunnerOrder& aOrder, Duration aTime);

  std::size_t Served() const;
  std::size_t Refused() const;
  std::size_t Waiting() const;
  std::size_t StoreLoadsUnderWay() const;
  /* Returns the longest wait of the requests that were given a place. */
  Duration LongestWait() const;
  std::uint32_t Holding(const std::string& aModel) const;

  WorldOptions options;
  TimePoint now{ 1'000s };
  Dispatcher dispatcher;
  std::vector<SimRunner> runners;
  std::map<std::uint64_t, SimOutcome> outcomes;
  std::vector<std::string> violations;
  std::uint64_t orders = 0;
  std::uint64_t storeLoads = 0;
  std::uint32_t storeLoadsAtOnce = 100; ///< At full speed; more share it.
  Duration slowness{};                  ///< Of loads from disk, beyond the stated time.
  std::uint64_t refusedByRunner = 0;    ///< Requests sent to a runner that did not hold the model.
  Duration runTime = 1'500ms;           ///< Of each request.
  std::mt19937 random;
  /* Decides what becomes of an order; nothing: the runner takes it at once. */
  std::function<std::optional<OrderOutcome>(const RunnerOrder&)> interfere;

private:
  struct Pending
  {
    TimePoint at{};
    std::function<void()> action;
    bool isAnswer = false; ///< To the dispatcher of that time.
  };

  SimRunner& Find(const EndpointId& aRunner);
  RunnerEntry EntryOf(const SimRunner& aRunner) const;
  RunnerReport ReportOf(const SimRunner& aRunner) const;
  OrderOutcome Take(const RunnerOrder& aOrder);
  void AskAgain(std::uint64_t aNumber);
  static bool IsUsed(const SimRunner& aRunner, const ModelRef& aAdapter);
  void Step();
  void Carry(const DispatchAction& aAction);
  void Later(Duration aTime, std::function<void()> aAction, bool aIsAnswer = false);

  std::shared_ptr<FleetConfiguration> mConfiguration;
  std::deque<Pending> mPending;
  std::map<std::uint64_t, PlacementRequest> mAsks;
  std::uint64_t mNextAsk = 1;
  std::uint64_t mFence = 1;
};

} // namespace rhubarbtrail::fleet::test

#endif

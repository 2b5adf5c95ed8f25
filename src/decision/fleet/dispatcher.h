/* The dispatcher: one daemon that sees the whole fleet's requests for models, gives each a place at
 * a runner, and orders the runners to hold what is asked for. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_DISPATCHER_H
#define RHUBARBTRAIL_DECISION_FLEET_DISPATCHER_H

#include "decision/fleet/demand.h"
#include "decision/fleet/dispatch_type.h"
#include "decision/fleet/endpoint_health.h"
#include "decision/fleet/fleet_configuration_type.h"
#include "decision/fleet/order_type.h"
#include "decision/fleet/pace.h"
#include "decision/fleet/prompt_cache.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace rhubarbtrail::fleet {

/* A report of this runner is wanted. */
struct ReportWanted
{
  EndpointId runner;
  std::string address;
};

/* A decision, for the logs. */
struct DispatchNote
{
  std::string_view event;
  std::string request; ///< Empty when it touches none.
  EndpointId runner;
  ModelRef model;
  std::string_view why;
  Duration time{}; ///< What the decision expects or has waited; the event tells which.
  std::uint64_t count = 0;
};

using DispatchAction = std::variant<PlacementReply, RunnerOrder, ReportWanted, DispatchNote>;

/* Whether orders may leave now, and under which name and number. */
struct OrderRight
{
  bool mayOrder = false;
  std::string holder;
  Fence fence;
};

/* An adapter that a runner holds or is getting. */
struct HeldAdapter
{
  bool isOrdered = false; ///< The runner has not taken the order yet.
  TimePoint readyAt{};
  TimePoint lastUsed{};
  std::uint32_t inFlight = 0;
};

/* A model that a runner holds. */
struct HeldModel
{
  std::map<AdapterId, HeldAdapter> adapters;
  TimePoint lastUsed{};
  std::uint32_t inFlight = 0;
  bool isLeaving = false; ///< To be unloaded; gets no more requests.
  /* What keeping it is worth, as last worked out, and when that was. */
  mutable double keepValue = 0.0;
  mutable TimePoint keepValueAt{};
};

/* An order that a runner has not been seen to have carried out. */
struct PendingOrder
{
  enum class Phase : std::uint8_t
  {
    kSent,     ///< Its answer is awaited.
    kAccepted, ///< It is being carried out.
    kUnsure,   ///< There was no answer: it may be carried out, now or later.
  };

  RunnerOrder order;
  Phase phase = Phase::kSent;
  TimePoint sentAt{};
  TimePoint expectedAt{}; ///< When it should have been carried out.
  Duration expected{};    ///< Its duration at full speed.
  Duration longest{};     ///< The same without the copy in memory, which may have gone.
  bool isFromStore = false;
  std::size_t besides = 0; ///< Other loads from the store when it was given.
  /* A load that was ordered while this unload may still have been under way; its acceptance shows
   * that the unload is done, since a runner carries out one order at a time. */
  std::optional<ModelId> after;
  /* From when on a load counts as done although no report has shown it yet. */
  std::optional<TimePoint> presumedDoneAt;
  bool isPresumedDone = false;

  bool IsAboutAdapter() const { return !order.subject.adapter.empty(); }
};

/* What the weights of a service's runners can be used for. */
struct EngineRoom
{
  MemoryMb models;   ///< Without the part that is kept for adapters.
  MemoryMb largest;  ///< Of the models; those that the configuration does not name count as this.
  MemoryMb smallest; ///< Of the models.
};

/* A runner as the dispatcher believes it to be. */
struct ManagedRunner
{
  RunnerEntry entry;
  const Engine* engine = nullptr; ///< Of its service; null for plain services.
  EngineRoom room;                ///< Of the engine.
  bool isGone = false;
  bool isVerified = false; ///< A report was read since orders may be given.
  std::map<ModelId, HeldModel> models;
  std::set<ModelId> inHostMemory;
  std::set<ModelId> onDisk;
  std::uint64_t orderCount = 0;
  std::optional<PendingOrder> order;
  TimePoint nextOrder{};             ///< No order before this time.
  TimePoint lastOrderAt{};           ///< When an order was last accepted, or may have been.
  std::optional<TimePoint> reportAt; ///< A report is wanted from this time on.
  bool isReportUnderWay = false;
  std::uint32_t inFlight = 0;
  std::uint64_t tokens = 0; ///< Of the requests in flight, at most.
  TimePoint readingUntil{}; ///< When the prompts sent so far have been read.
  PromptCache cache;
  EndpointHealth health;
};

class Dispatcher
{
public:
  void SetConfiguration(std::shared_ptr<const FleetConfiguration> aConfiguration);
  void SetOrderRight(const OrderRight& aRight);

  void OnRunner(TimePoint aNow, const RunnerEntry& aEntry);
  void OnRunnerGone(const EndpointId& aRunner);
  void OnAsk(TimePoint aNow, const PlacementAsk& aAsk, const ZoneId& aZone);
  void OnReleased(TimePoint aNow, const PlaceReleased& aReleased);
  void OnPlaceInUse(TimePoint aNow, const PlaceInUse& aPlace);
  /* A daemon has gone: its questions are dropped and its places are free. */
  void OnDaemonLost(const DaemonId& aDaemon);
  /* This daemon is not the dispatcher any more. */
  void Clear();
  void OnOrderResult(TimePoint aNow, const EndpointId& aRunner, OrderOutcome aOutcome);
  void OnReport(TimePoint aNow, const EndpointId& aRunner, const RunnerReport* aReport);

  /* Decides what can be decided now. */
  std::vector<DispatchAction> Tick(TimePoint aNow);
  /* When to call Tick() next if nothing happens before. */
  TimePoint nextWake() const { return mNextWake; }

  std::size_t waiting() const { return mWaiting.size(); }
  std::size_t placesInUse() const { return mPlaces.size(); }
  const std::map<EndpointId, ManagedRunner>& runners() const { return mRunners; }

  /* Limits on loads from the weight store. */
  struct StoreLimits
  {
    Duration window = 5s;
    double overage = 1.0; ///< Loads in the window, in times of the stated rate.
  };
  void SetStoreLimits(const StoreLimits& aLimits) { mStoreLimits = aLimits; }

private:
  struct Waiting
  {
    PlacementAsk ask;
    ZoneId zone;
    TimePoint askedAt{};
    TimePoint deadline{};
  };

  struct Place
  {
    EndpointId runner;
    ModelRef model;
    std::uint64_t tokens = 0;
    Duration expected{}; ///< Time to the first event, as expected when it was given.
  };

  /* A model that takes the place of others at a runner. */
  struct Swap
  {
    EndpointId runner;
    ServiceId service;
    ModelId model;
    std::vector<ModelId> victims;
    Duration loadTime{};
    bool isFromStore = false;
    TimePoint plannedAt{};
    double cost = 0.0; ///< Expected delay of callers, in seconds.
  };

  /* What an order is expected to take, and why it is given. */
  struct OrderDetails
  {
    Duration expected{};
    Duration longest{};
    bool isFromStore = false;
    std::string_view why;
  };

  // dispatcher.cpp
  void Wake(TimePoint aTime);
  void Note(DispatchNote aNote) { mActions.emplace_back(std::move(aNote)); }
  void Reset(TimePoint aNow, ManagedRunner& aRunner, const RunnerEntry& aEntry);
  void AdoptHoldings(TimePoint aNow, ManagedRunner& aRunner, const RunnerHoldings& aHoldings);
  void Occupy(TimePoint aNow, const PlacementAsk& aAsk, ManagedRunner& aRunner, Duration aExpected);
  void Free(TimePoint aNow, const AskId& aAsk);
  /* Frees the places of a daemon, or of all when none is named. */
  void FreePlacesOf(const std::optional<DaemonId>& aDaemon);
  void ForgetSwaps();
  const Engine* EngineOf(const ServiceId& aService) const;
  static EngineRoom RoomOf(const Engine& aEngine);
  void SetEngine(ManagedRunner& aRunner) const;

  // dispatcher_grant.cpp
  void ServeWaiting(TimePoint aNow);
  /* Tries to give a place; returns whether the question is settled. */
  bool Serve(TimePoint aNow, const Waiting& aWaiting);
  bool IsUsable(const ManagedRunner& aRunner) const;
  std::optional<Duration> EstimateStart(TimePoint aNow,
                                        const ManagedRunner& aRunner,
                                        const Waiting& aWaiting) const;
  void Refuse(TimePoint aNow, const Waiting& aWaiting, ResultCode aCode, std::string_view aWhy);
  void Grant(TimePoint aNow, const Waiting& aWaiting, ManagedRunner& aRunner, Duration aExpected);

  // dispatcher_plan.cpp
  void PlanModels(TimePoint aNow);
  /* Plans a replica where it costs least, if that is below its benefit; returns whether it did. */
  bool PlanSwap(TimePoint aNow,
                const ServiceId& aService,
                const ModelId& aModel,
                double aBenefit,
                std::string_view aWhy);
  /* Returns whether a runner has neither a swap ahead nor a model on its way. */
  bool IsFree(const ManagedRunner& aRunner) const;
  std::optional<Swap> FindSwap(TimePoint aNow,
                               const ManagedRunner& aRunner,
                               const Model& aModel) const;
  double KeepValue(TimePoint aNow,
                   const ManagedRunner& aRunner,
                   const ModelId& aModel,
                   const HeldModel& aHeld) const;
  double WorkOutKeepValue(TimePoint aNow,
                          const ManagedRunner& aRunner,
                          const ModelId& aModel,
                          const HeldModel& aHeld) const;
  void AddSwap(Swap aSwap, std::string_view aWhy);
  std::uint32_t Replicas(const ServiceId& aService, const ModelId& aModel) const;
  /* Returns the runners that hold a model, of all services. */
  const std::vector<ManagedRunner*>& Holders(const ModelId& aModel) const;
  void PlanMissing(TimePoint aNow);
  double ValueOf(TimePoint aNow, const Waiting& aWaiting, Duration aLoadTime) const;
  void PlanCrowded(TimePoint aNow);
  void PlanRoom(TimePoint aNow);
  std::optional<ModelId> BestForRoom(TimePoint aNow, const ManagedRunner& aRunner) const;
  bool HasCopy(const ServiceId& aService, const ModelId& aModel) const;
  void NoteComing();
  std::uint32_t Coming(const ServiceId& aService, const ModelId& aModel) const;
  const Swap* SwapAt(const EndpointId& aRunner) const;
  void FollowSwaps(TimePoint aNow);
  bool FollowSwap(TimePoint aNow, const Swap& aSwap);

  // dispatcher_order.cpp
  void PlanAdapter(TimePoint aNow, const ModelRef& aAdapter, ManagedRunner& aRunner);
  bool IsOrderable(TimePoint aNow, const ManagedRunner& aRunner) const;
  bool MayOrderTo(TimePoint aNow, const ManagedRunner& aRunner) const;
  std::size_t ArrivingAdapters(TimePoint aNow) const;
  static bool HasArrivingAdapter(TimePoint aNow, const HeldModel& aModel);
  bool MayLoadAfterUnload(TimePoint aNow, const ManagedRunner& aRunner) const;
  void OnConflict(TimePoint aNow, ManagedRunner& aRunner);
  void SendOrder(TimePoint aNow,
                 ManagedRunner& aRunner,
                 OrderKind aKind,
                 const ModelRef& aSubject,
                 const OrderDetails& aDetails);
  void OnAccepted(TimePoint aNow, ManagedRunner& aRunner);
  void OnHeld(TimePoint aNow, ManagedRunner& aRunner);
  void DropOrder(ManagedRunner& aRunner);
  void FinishOrder(TimePoint aNow, ManagedRunner& aRunner);
  void PresumeLoads(TimePoint aNow);
  void DoubtLoad(ManagedRunner& aRunner, const ModelId& aModel);
  void FollowReports(TimePoint aNow);
  void WantReport(TimePoint aAt, ManagedRunner& aRunner);
  void SettleByReport(TimePoint aNow, ManagedRunner& aRunner, const RunnerReport& aReport);
  void GiveUpOrder(TimePoint aNow,
                   ManagedRunner& aRunner,
                   const RunnerReport& aReport,
                   std::string_view aWhy);
  bool MayLoadFromStore(TimePoint aNow, const Engine& aEngine) const;
  std::size_t StoreLoadsUnderWay() const;
  void LearnStoreSpeed(const PendingOrder& aLoad, Duration aTook);

  std::shared_ptr<const FleetConfiguration> mConfiguration;
  OrderRight mRight;
  std::map<ServiceId, EngineRoom> mRooms;
  std::map<EndpointId, ManagedRunner> mRunners;
  /* The runners by the models that they hold; made anew when it is asked for after a change. */
  mutable std::unordered_map<ModelId, std::vector<ManagedRunner*>> mHolders;
  mutable bool mIsIndexStale = true;
  std::deque<Waiting> mWaiting; ///< The most urgent first; among equals, the oldest.
  TimePoint mNextPlan{};
  TimePoint mNextCrowdedCheck{};
  /* How many replicas of a model are planned for or on their way. */
  std::map<std::pair<ServiceId, ModelId>, std::uint32_t> mComing;
  std::map<AskId, Place> mPlaces;
  std::map<EndpointId, Swap> mSwaps; ///< By runner.
  DemandBook mDemand;
  PaceBook mPaces;
  StoreLimits mStoreLimits;
  double mStoreLoadsAtOnce = 4.0;    ///< That run at full speed, as far as seen.
  std::deque<TimePoint> mStoreLoads; ///< Starts of loads from the weight store.
  std::vector<DispatchAction> mActions;
  TimePoint mNextWake{};
};

} // namespace rhubarbtrail::fleet

#endif

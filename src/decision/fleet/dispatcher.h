/* The dispatcher: the one daemon that receives the placement requests of all daemons. It assigns
 * each request to a runner and orders the runners to load and unload models and adapters to match
 * demand. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_DISPATCHER_H
#define RHUBARBTRAIL_DECISION_FLEET_DISPATCHER_H

#include "decision/fleet/assignment_order.h"
#include "decision/fleet/demand_tracker.h"
#include "decision/fleet/dispatch_type.h"
#include "decision/fleet/endpoint_health.h"
#include "decision/fleet/endpoint_slowness.h"
#include "decision/fleet/endpoint_window.h"
#include "decision/fleet/fleet_configuration_type.h"
#include "decision/fleet/model_worth.h"
#include "decision/fleet/order_type.h"
#include "decision/fleet/prompt_cache.h"
#include "decision/fleet/recorded_versions.h"
#include "decision/fleet/request_allowance.h"
#include "decision/fleet/returning_copies.h"
#include "decision/fleet/service_time_tracker.h"
#include "decision/fleet/slot_forecast.h"
#include "decision/fleet/stated_limit.h"
#include "decision/fleet/stream_origins.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace rhubarbtrail::fleet {

/* Asks the caller of Tick() to fetch a report from this runner and to pass it to OnReport(). */
struct ReportRequest
{
  EndpointId runner;
  std::string address;
};

/* A decision, to be written to the event log. */
struct DispatchLogRecord
{
  std::string_view event;
  std::string request; ///< Empty when the decision is not about a single request.
  EndpointId runner;
  ModelRef model;
  std::string_view why;
  ClientAccountId account; ///< Empty when the decision is not about a single request.
  /* The account's part of its entitlement to runner time. 0 where there are no accounts. */
  double accountUse = 0.0;
  /* An expected or elapsed duration, or the age of the last order, depending on the event. */
  Duration time{};
  /* Requests, orders or victims, depending on the event. */
  std::uint64_t count = 0;
};

using DispatchAction = std::variant<PlacementReply, RunnerOrder, ReportRequest, DispatchLogRecord>;

/* Whether this daemon may send orders now, and with which holder name and fencing token. */
struct OrderPermission
{
  bool mayOrder = false;
  /* When orders will be allowed, while this daemon waits after the orders of a former holder. */
  std::optional<TimePoint> allowedFrom;
  std::string holder;
  FencingToken fence;
};

/* An adapter that a runner holds or is loading. */
struct HeldAdapter
{
  /* A load was sent and is not accepted yet, or an unload was accepted and no holdings have been
   * adopted since. Requests for the adapter wait meanwhile. */
  bool isOrdered = false;
  TimePoint readyAt{}; ///< When the adapter is expected to be loaded.
  TimePoint lastUsed{};
  std::uint32_t inFlight = 0;
};

/* A model that a runner holds. */
struct HeldModel
{
  std::map<AdapterId, HeldAdapter> adapters;
  TimePoint lastUsed{};
  std::uint32_t inFlight = 0;
  bool isLeaving = false; ///< A planned swap will unload the model. It gets no more requests.
  EndpointWindow window;  ///< For requests of all daemons after the model was loaded.
  /* Cached result of RetentionValue(), in seconds, and when it was computed. */
  mutable double retentionValue = 0.0;
  mutable TimePoint retentionValueAt{};
};

/* An order that was sent to a runner and is not known to be carried out yet. */
struct PendingOrder
{
  enum class Phase : std::uint8_t
  {
    kSent,       ///< The runner has not answered yet.
    kAccepted,   ///< The runner accepted the order and carries it out.
    kUnanswered, ///< The answer was lost. The runner may carry the order out, now or later.
  };

  RunnerOrder order;
  Phase phase = Phase::kSent;
  TimePoint sentAt{};
  TimePoint expectedDoneAt{};  ///< When the order should be carried out.
  Duration expectedDuration{}; ///< Duration when the weight store is not slowed by other loads.
  /* Duration of a model load if the copy in host memory is gone and the disk is read instead. */
  Duration durationWithoutMemoryCopy{};
  bool isFromStore = false;
  /* Other weight store loads in progress or planned when the order was sent. */
  std::size_t otherStoreLoads = 0;
  /* Set for a load that was sent while the accepted unload of this model was not known to be done.
   * A runner carries out one order at a time, so the unload is done when it accepts the load. */
  std::optional<ModelId> precedingUnload;
  /* Time from which a load counts as done even if no report has shown it yet. */
  std::optional<TimePoint> presumedDoneAt;
  bool isPresumedDone = false;

  bool IsAboutAdapter() const { return !order.subject.adapter.empty(); }
};

/* How the weight memory of each runner of a service is divided, and the sizes of the service's
 * models. */
struct WeightMemory
{
  MemoryMb availableToModels; ///< All weight memory but the part reserved for adapters.
  MemoryMb largestModel;  ///< Weights of the largest model, also assumed for models not configured.
  MemoryMb smallestModel; ///< Weights of the smallest model.
};

/* Longest time without requests for a runner that could not be reached. Daemons may reach it while
 * the dispatcher, which waits for its report, is cut off from it. */
constexpr Duration kMaxUnreachableTime = 3s;

/* Time after a report within which a daemon that cannot reach the runner counts as cut off itself.
 */
constexpr Duration kTrustedReportTime = 500ms;

/* Time after which a report that states more than the runner has room for is read again. Doubles
 * with each such report, up to the maximum. */
constexpr Duration kMinDoubtfulReportPause = 400ms;
constexpr Duration kMaxDoubtfulReportPause = 12'800ms;

/* What a runner that states a limit on requests may get from this dispatcher. */
struct LimitedTraffic
{
  RequestAllowance requests; ///< Clients' requests.
  RequestAllowance control;  ///< Orders and calls for reports.
  /* Requests that wait for the runner's allowance, as far as they were tried in this full round. */
  std::size_t waiting = 0;
};

/* The state of a runner as the dispatcher assumes it from entries, reports and its own orders. */
struct ManagedRunner
{
  RunnerEntry entry;
  const Engine* engine = nullptr; ///< Engine of the runner's service. Null for plain services.
  WeightMemory weightMemory;
  bool isGone = false;      ///< The entry was removed, but requests are still in flight.
  bool saysLeaving = false; ///< The present process has stated in an answer that it is leaving.
  /* Since when requests do not reach the runner, although its entry is there. It gets none until it
   * gives a sign of life, for kMaxUnreachableTime at most. */
  std::optional<TimePoint> unreachableSince;
  std::optional<TimePoint> lastReportAt;        ///< When its last report arrived.
  StatedLimit limit;                            ///< Of the present process.
  std::optional<LimitedTraffic> limitedTraffic; ///< Set while there is a limit.
  /* What is assumed below is all that the runner may hold after `orderCount` orders: a report of
   * that count has been adopted, and nothing has happened since that makes it doubtful. Orders are
   * sent only while this is set. It is cleared by Clear(), a new fencing token, a restart of the
   * runner, a refused request, an answer that contradicts it, and a report that the runner carries
   * out an order that is not pending here. */
  bool areHoldingsConfirmed = false;
  bool isReported = false; ///< A report has been adopted since Clear() or a new fencing token.
  RunnerHoldings adopted;  ///< What the runner stated in the entry or report adopted last.
  TimePoint adoptedAt{};
  std::map<ModelId, HeldModel> models;
  /* Models and adapters that the runner stated beyond those kept here. They take memory and slots,
   * and are kept in turn as others are unloaded. */
  std::size_t furtherModels = 0;
  std::size_t furtherAdapters = 0;
  std::set<ModelId> inHostMemory; ///< Without models that the configuration does not name.
  std::set<ModelId> onDisk;       ///< The same.
  std::uint64_t orderCount = 0;
  std::optional<PendingOrder> order; ///< To load or unload a model.
  /* To load or unload an adapter. It may be sent before a report has confirmed a model load that is
   * presumed done. */
  std::optional<PendingOrder> adapterOrder;
  TimePoint ordersPausedUntil{}; ///< No order is sent before this time.
  TimePoint lastOrderAt{};       ///< When an order was last accepted or its answer was lost.
  std::optional<TimePoint> nextReportAt; ///< When to fetch the next report.
  bool isReportRequested = false;
  /* Time until the next report after one that states more than the runner has room for. */
  Duration doubtfulReportPause = kMinDoubtfulReportPause;
  TimePoint reportRequestedAt{}; ///< When the last report was requested.
  std::uint32_t inFlight = 0;
  std::uint64_t tokens = 0;  ///< Upper bound for the tokens of the requests in flight.
  TimePoint promptsDoneAt{}; ///< When all prompts sent so far are expected to be processed.
  PromptCache cache;
  EndpointHealth health;
  SlotHoldTime holdTime;
  SlownessEstimate slowness; ///< Of the present process.
  EndpointWindow window;     ///< For requests of all daemons after a start or a recovery.
};

/* Returns whether the models that a runner is assumed to hold take more than all of its weight
 * memory. */
bool HoldsMoreThanFits(const ManagedRunner& aRunner);

/* Returns the time to load a model from the fastest source that the runner has: host memory, its
 * disk, or the weight store. */
Duration LoadTime(const ManagedRunner& aRunner, const Model& aModel);

/* The dispatcher's state and decisions. Events are passed in, and Tick() returns the actions that
 * follow from them. Only a daemon with order permission sends orders and requests reports. */
class Dispatcher
{
public:
  /* aStreamOrigins has the origins of streams that clients may resume, and aRecordedVersions the
   * versions at which streams may begin. Both must outlive this. */
  Dispatcher(const StreamOrigins& aStreamOrigins, const RecordedVersions& aRecordedVersions)
    : mStreamOrigins(&aStreamOrigins)
    , mRecordedVersions(&aRecordedVersions)
  {
  }

  void SetConfiguration(std::shared_ptr<const FleetConfiguration> aConfiguration);
  void SetOrderPermission(const OrderPermission& aPermission);

  void OnRunnerEntry(TimePoint aNow, const RunnerEntry& aEntry);
  void OnRunnerGone(TimePoint aNow, const EndpointId& aRunner);
  /* A runner's process, which started at this time, has stated that it is leaving. */
  void OnRunnerLeaving(const EndpointId& aRunner, std::int64_t aStartedAtMs);
  /* Takes what a runner's process has stated about its limit on requests. Returns whether that
   * changes the limit. */
  bool OnLimitStatement(TimePoint aNow, const LimitStatement& aStatement);
  /* Takes the slowness that a runner's process has stated. Returns what is usual for its service,
   * or nothing if the dispatcher does not assign requests to this process. */
  std::optional<Slowness> OnSlownessStatement(TimePoint aNow, const SlownessStatement& aStatement);
  /* Returns how slow a runner is expected to be, or nothing if no runner of its service states it.
   */
  std::optional<Slowness> SlownessOf(TimePoint aNow, const ManagedRunner& aRunner) const;
  void OnPlacementRequest(TimePoint aNow, const PlacementRequest& aRequest, const ZoneId& aZone);
  void OnAssignmentReleased(TimePoint aNow, const AssignmentReleased& aReleased);
  void OnAssignmentInUse(TimePoint aNow, const AssignmentInUse& aAssignment);
  /* Drops the placement requests of a daemon that is gone and releases its assignments. */
  void OnDaemonLost(const DaemonId& aDaemon);
  /* Drops requests, assignments, swaps and pending orders when this daemon stops being the
   * dispatcher. Assumed holdings are kept. */
  void Clear();
  /* Takes the outcome of an order. */
  void OnOrderResult(TimePoint aNow, const RunnerOrder& aOrder, OrderOutcome aOutcome);
  /* Takes the result of a report request. The report is null when it could not be read. */
  void OnReport(TimePoint aNow, const EndpointId& aRunner, const RunnerReport* aReport);

  /* Assigns waiting requests, plans and sends orders, and returns the actions for the caller to
   * carry out. */
  std::vector<DispatchAction> Tick(TimePoint aNow);
  /* When to call Tick() next if no event arrives before. */
  TimePoint nextTickAt() const { return mNextTickAt; }

  /* Requests that went to another runner because the best one was beyond its window. */
  std::uint64_t pacedRequests() const { return mPacedRequests; }
  std::size_t waitingRequests() const { return mWaitingRequests.size(); }
  std::size_t activeAssignments() const { return mAssignments.size(); }
  /* Number of requests refused because no slot was expected in time. */
  std::uint64_t refusedWithoutSlot() const { return mRefusedWithoutSlot; }
  const AssignmentOrder& assignmentOrder() const { return mAssignmentOrder; }
  const std::map<EndpointId, ManagedRunner>& runners() const { return mRunners; }
  const DemandTracker& demand() const { return mDemand; }

  /* Limits on loads from the weight store. */
  struct StoreLimits
  {
    Duration window = 5s;
    double overage = 1.0; ///< Factor on the configured load rate that is allowed over the window.
  };
  void SetStoreLimits(const StoreLimits& aLimits) { mStoreLimits = aLimits; }
  /* Sets whether runners get requests at a limited pace after a start, a recovery or a load. */
  void SetPaced(bool aIsPaced) { mIsPaced = aIsPaced; }

  /* The decisions under overload that are in force where the configuration has accounts. Each can
   * be measured without the others. */
  struct OverloadDecisions
  {
    bool isOrderFair = true;
    bool refusesWithoutSlot = true;
    bool spreadsRetries = true;
    bool ordersLoadsByWorth = true;
  };
  void SetOverloadDecisions(const OverloadDecisions& aDecisions)
  {
    mOverloadDecisions = aDecisions;
  }

private:
  static constexpr double kSwapRateTimeConstantS = 20.0;

  struct WaitingRequest
  {
    PlacementRequest request;
    ZoneId zone;
    TimePoint receivedAt{};
    TimePoint deadline{};
    bool wasTried = false; ///< It could not be assigned when it arrived.
    /* The limited runner whose allowance it waits for. Empty if it waits for something else. */
    EndpointId awaitedRunner;
    /* When to forecast again whether it gets a slot in time. Empty until the first forecast. */
    std::optional<TimePoint> nextForecastAt;
  };

  /* A request that runs at a runner. */
  struct Assignment
  {
    EndpointId runner;
    ModelRef model;
    std::uint64_t tokens = 0;
    ClientAccountId account;
    Duration runnerTime{}; ///< Estimated.
    TimePoint assignedAt{};
    Duration latencyObjective{};         ///< From the assignment on.
    Duration expectedTimeToFirstEvent{}; ///< 0 if this dispatcher did not assign the request.
    bool usesAllowance = false;          ///< This dispatcher counted it against the runner's limit.
  };

  /* A planned load of a model at a runner, and the models to unload for it, if any. */
  struct Swap
  {
    EndpointId runner;
    ServiceId service;
    ModelId model;
    std::vector<ModelId> victims;
    Duration loadTime{};
    bool isFromStore = false;
    TimePoint plannedAt{};
    double cost = 0.0; ///< Delay that the swap is expected to cause for callers, in seconds.
  };

  struct IncomingReplicaCount
  {
    std::uint32_t count = 0;
    TimePoint firstReadyAt = TimePoint::max(); ///< When the first of them should be loaded.
  };

  /* A model that waiting or refused requests need and that no runner holds. */
  struct MissingModel
  {
    ServiceId service;
    ModelId model;
    SoftwareVersion version; ///< Only runners of this version count. Empty for any.

    auto operator<=>(const MissingModel&) const = default;
    bool operator==(const MissingModel&) const = default;
  };

  struct LocalCopyCheck
  {
    bool hasCopy = false;
    TimePoint checkedAt{};
  };

  /* Expected durations of an order and the reason for it. PendingOrder explains the durations. */
  struct OrderDetails
  {
    Duration expectedDuration{};
    Duration durationWithoutMemoryCopy{};
    bool isFromStore = false;
    std::string_view why;
  };

  // dispatcher.cpp
  void ScheduleTick(TimePoint aTime);
  void LogDecision(DispatchLogRecord aRecord) { mActions.emplace_back(std::move(aRecord)); }
  void ResetRunner(TimePoint aNow, ManagedRunner& aRunner, const RunnerEntry& aEntry);
  void AdoptHoldings(TimePoint aNow, ManagedRunner& aRunner, const RunnerHoldings& aHoldings);
  static void DropUnlistedHoldings(ManagedRunner& aRunner, const RunnerHoldings& aHoldings);
  static void AdoptModels(ManagedRunner& aRunner, const LoadedModels& aModels);
  static void AdoptAdapters(TimePoint aNow,
                            ManagedRunner& aRunner,
                            const RunnerHoldings& aHoldings);
  static void AddCopies(ManagedRunner& aRunner);
  void AddAssignment(TimePoint aNow,
                     const PlacementRequest& aRequest,
                     ManagedRunner& aRunner,
                     Duration aTimeToFirstEvent);
  void ReleaseAssignment(TimePoint aNow, const PlacementRequestId& aRequest);
  /* Starts the window of a runner, or of a model at it. */
  void StartWindow(TimePoint aAt,
                   const ManagedRunner& aRunner,
                   const ModelId& aModel,
                   EndpointWindow& aWindow,
                   std::string_view aWhy);
  /* Opens or closes the windows of a runner and a model by the end of an assignment. */
  void RecordPace(TimePoint aNow,
                  const Assignment& aAssignment,
                  const AssignmentReleased& aReleased);
  /* Returns whether one more request for the model is within the windows of the runner and the
   * model. */
  bool HasRoom(TimePoint aNow, const ManagedRunner& aRunner, const ModelId& aModel) const;
  /* Compares the time to the first event with that of other runners. */
  void RecordSlowness(TimePoint aNow, const Assignment& aAssignment, Duration aTimeToFirstEvent);
  /* Releases the assignments of a daemon, or of all daemons if none is given. */
  void ReleaseAssignmentsOf(const std::optional<DaemonId>& aDaemon);
  void CancelSwaps();
  const Engine* EngineOf(const ServiceId& aService) const;
  static WeightMemory WeightMemoryOf(const Engine& aEngine);
  void SetEngine(ManagedRunner& aRunner) const;

  // dispatcher_limit.cpp
  void UpdateLimitedTraffic(TimePoint aNow, ManagedRunner& aRunner);
  /* Empties the allowances, because a former dispatcher may have used them. */
  void RestartLimitedTraffic(TimePoint aNow);
  /* Orders requests of equal priority by how much of the limits their accounts have used, and
   * counts anew what waits for each runner. */
  void PrepareLimitedRound(TimePoint aNow);
  /* Returns whether a request may be assigned to the runner now, as far as its limit goes. */
  static bool HasRequestAllowance(TimePoint aNow, const ManagedRunner& aRunner);
  static bool HasControlAllowance(TimePoint aNow, const ManagedRunner& aRunner);
  void UseRequestAllowance(TimePoint aNow, const ClientAccountId& aAccount, ManagedRunner& aRunner);
  void GiveBackRequestAllowance(TimePoint aNow, const Assignment& aAssignment);
  static void UseControlAllowance(TimePoint aNow, ManagedRunner& aRunner);
  /* Returns the part of the order among requests of equal priority: how much of the limits the
   * account has used. */
  double LimitedUse(TimePoint aNow, const ClientAccountId& aAccount) const;
  /* Returns when the runner's allowance is expected to reach a waiting request. */
  TimePoint AllowedAt(TimePoint aNow,
                      const WaitingRequest& aWaiting,
                      const ManagedRunner& aRunner) const;
  /* Decides about a request that only paused and limited runners can serve, the first of them at
   * aAllowedAt. Returns whether it was refused. */
  bool RefuseOrWaitForAllowance(TimePoint aNow,
                                WaitingRequest& aWaiting,
                                ManagedRunner& aRunner,
                                TimePoint aAllowedAt);
  /* Refuses a request for an adapter that cannot be ordered in time because of the runner's limit.
   * Returns whether it did. */
  bool RefuseWithoutOrder(TimePoint aNow,
                          const WaitingRequest& aWaiting,
                          const ManagedRunner& aRunner);
  /* Assigns a request to an endpoint without models. */
  bool TryToAssignPlain(TimePoint aNow, WaitingRequest& aWaiting);
  /* Returns how many replicas of a model there are, a limited runner counted by the part of the
   * requests for the model that its limit allows. */
  double EffectiveReplicas(TimePoint aNow,
                           const ServiceId& aService,
                           const ModelId& aModel,
                           const SoftwareVersion& aVersion = {}) const;
  /* Returns the extra time that a swap takes at a runner with a limit, in seconds. */
  static double LimitedSwapDelay(const ManagedRunner& aRunner);

  // dispatcher_assign.cpp
  void AssignWaitingRequests(TimePoint aNow);
  /* Tries the requests that are due in the order that is fair over the accounts. */
  void AssignInFairOrder(TimePoint aNow, bool aAreAllDue);
  /* Tries to assign a request. Returns whether it was answered and need not wait any longer. */
  bool TryToAssign(TimePoint aNow, WaitingRequest& aWaiting);
  bool IsUsable(const ManagedRunner& aRunner) const;
  /* Returns the expected time to the first event, or nothing if the runner cannot serve now. */
  std::optional<Duration> EstimateTimeToFirstEvent(TimePoint aNow,
                                                   const ManagedRunner& aRunner,
                                                   const WaitingRequest& aWaiting) const;
  /* Returns whether the runner has no room for the request besides those that it runs. */
  static bool IsFull(const ManagedRunner& aRunner, const PlacementRequest& aRequest);

  // dispatcher_refuse.cpp
  /* Returns the forecast for a request that waits for a slot, or nothing if it does not wait for
   * one or no forecast is possible. */
  std::optional<SlotForecast> ForecastFor(TimePoint aNow, const WaitingRequest& aWaiting) const;
  /* Refuses a request that gets no slot in time at the runners that hold its model. Returns whether
   * it did. */
  bool RefuseWithoutSlot(TimePoint aNow, WaitingRequest& aWaiting);
  /* Refuses a request for which no usable runner has the model, if a replica cannot be there in
   * time. Returns whether it did. */
  bool RefuseWithoutReplica(TimePoint aNow, const WaitingRequest& aWaiting, const Model& aModel);
  // dispatcher_resume.cpp
  /* Sets the origin of a resumed stream if it is known. Returns whether the request has one or
   * needs none. */
  bool ResolveOrigin(TimePoint aNow, WaitingRequest& aWaiting) const;
  /* Refuses a request whose stream's origin has not become known in time. Returns whether it did.
   */
  bool RefuseUnknownOrigin(TimePoint aNow, const WaitingRequest& aWaiting);
  /* Refuses a request that no runner of its stream's version can serve in time. Returns whether it
   * did. */
  bool RefuseResumed(TimePoint aNow, const WaitingRequest& aWaiting);
  static bool HasVersion(const ManagedRunner& aRunner, const SoftwareVersion& aVersion);
  /* Returns whether a request may begin at the version of this runner. */
  bool MayBeginAt(const PlacementRequest& aRequest, const ManagedRunner& aRunner) const;
  /* Returns the version that a runner must have to serve the request, or an empty one if each
   * usable runner of the service will do: the request is not bound to a version, or all have that
   * one. Then it counts as demand for its model like any other request. */
  SoftwareVersion RequiredVersion(const PlacementRequest& aRequest) const;
  /* Returns when the first planned or ordered replica at a runner of this version is loaded, or
   * nothing if there is none. */
  std::optional<TimePoint> ReplicaReadyAt(TimePoint aNow, const MissingModel& aModel) const;
  /* Returns whether a replica that counts for the missing model is planned or ordered. */
  bool HasIncomingReplica(TimePoint aNow, const MissingModel& aModel) const;

  // dispatcher_refuse.cpp
  void Refuse(TimePoint aNow,
              const WaitingRequest& aWaiting,
              ResultCode aCode,
              Duration aRetryAfter,
              std::string_view aWhy);

  // dispatcher_assign.cpp
  /* Returns when the runner's pause for the requesting daemon ends, or nothing if it has ended or
   * there is none. */
  static std::optional<TimePoint> PauseEnd(TimePoint aNow,
                                           const WaitingRequest& aWaiting,
                                           const EndpointId& aRunner);
  void Assign(TimePoint aNow,
              const WaitingRequest& aWaiting,
              ManagedRunner& aRunner,
              Duration aTimeToFirstEvent);

  // dispatcher_plan.cpp
  void RunPlanningRound(TimePoint aNow);
  /* Plans a replica at the runner where it costs least, unless it costs more than the benefit. Cost
   * and benefit are seconds of caller delay. Returns whether a swap was planned. */
  bool PlanSwap(TimePoint aNow,
                const ServiceId& aService,
                const ModelId& aModel,
                double aBenefit,
                std::string_view aWhy);
  /* Returns the swap that costs least, or nothing if the model fits no runner. */
  std::optional<Swap> FindCheapestSwap(TimePoint aNow,
                                       const ServiceId& aService,
                                       const Model& aModel,
                                       const SoftwareVersion& aVersion = {}) const;
  /* Plans the first replica of a model that requests wait for or were refused for, unless it serves
   * fewer requests than it makes others lose. */
  void PlanMissingModel(TimePoint aNow,
                        const MissingModel& aMissing,
                        const std::vector<const WaitingRequest*>& aWaiting);
  /* Returns what a load of the model is worth to these requests if it begins now. */
  LoadWorth WorthOfLoadNow(TimePoint aNow,
                           const MissingModel& aMissing,
                           const std::vector<const WaitingRequest*>& aWaiting);
  /* Returns whether a swap can be planned at the runner: it is ready, its holdings are confirmed,
   * no other swap is planned and no model order is pending. */
  bool CanPlanSwap(const ManagedRunner& aRunner) const;
  /* Returns a swap that loads the model at this runner by unloading the models of least value, or
   * nothing if the model does not fit. */
  std::optional<Swap> FindSwap(TimePoint aNow,
                               const ManagedRunner& aRunner,
                               const Model& aModel) const;
  double RetentionValue(TimePoint aNow,
                        const ManagedRunner& aRunner,
                        const ModelId& aModel,
                        const HeldModel& aHeld) const;
  double ComputeRetentionValue(TimePoint aNow,
                               const ManagedRunner& aRunner,
                               const ModelId& aModel,
                               const HeldModel& aHeld) const;
  void AddSwap(TimePoint aNow, Swap aSwap, std::string_view aWhy);
  /* Returns when the model of a planned swap should be loaded. */
  TimePoint SwapDoneAt(TimePoint aNow, const Swap& aSwap) const;

  // dispatcher_value.cpp
  /* Returns how many requests a replica is expected to serve that would be lost without it,
   * counting a late answer as a part of one in time. */
  double ExpectedGain(TimePoint aNow,
                      const Swap& aSwap,
                      const Model& aModel,
                      const std::vector<const WaitingRequest*>& aWaiting) const;
  /* Returns how many requests a swap is expected to delay or lose: those for the models that it
   * unloads, and those for models that the runner cannot swap in meanwhile. */
  double ExpectedLoss(TimePoint aNow, const Swap& aSwap) const;
  /* Returns the time until the first planned or ordered replica of the model is loaded, or nothing
   * if there is none. */
  std::optional<Duration> TimeUntilReplica(TimePoint aNow,
                                           const ServiceId& aService,
                                           const ModelId& aModel) const;
  /* Returns how many ready runners of the service, of this version or of any if it is empty, hold
   * the model and will not unload it. */
  std::uint32_t CountReplicas(const ServiceId& aService,
                              const ModelId& aModel,
                              const SoftwareVersion& aVersion = {}) const;
  /* Returns the runners of all services that hold a model. */
  const std::vector<ManagedRunner*>& RunnersWithModel(const ModelId& aModel) const;
  void PlanMissingModels(TimePoint aNow);
  void PlanOverloadedModels(TimePoint aNow);
  void FillFreeMemory(TimePoint aNow);
  double FillValue(TimePoint aNow,
                   const ManagedRunner& aRunner,
                   const ModelId& aModel,
                   const std::unordered_set<ModelId>& aCopiedModels) const;
  /* Return the model that is worth most in a runner's free memory, among those that it has copies
   * of and among all, or nothing if none is worth its load. aCopiedModels are the models that any
   * runner has a copy of. */
  std::optional<ModelId> BestLocalModelForFreeMemory(
    TimePoint aNow,
    const ManagedRunner& aRunner,
    const std::unordered_set<ModelId>& aCopiedModels) const;
  std::optional<ModelId> BestModelForFreeMemory(
    TimePoint aNow,
    const ManagedRunner& aRunner,
    const std::unordered_set<ModelId>& aCopiedModels) const;
  /* Returns whether a runner of the service has a copy of the model on disk or in host memory. */
  bool HasLocalCopy(const ServiceId& aService, const ModelId& aModel) const;
  /* Returns the same, from a result that may be some hundred milliseconds old. */
  bool HadLocalCopy(TimePoint aNow, const ServiceId& aService, const ModelId& aModel);
  /* Returns whether a load of the model from the weight store should wait, because a runner that
   * crashed or cannot be reached now should be back soon with a copy. */
  bool ShouldWaitForCopy(TimePoint aNow, const ServiceId& aService, const Model& aModel);
  /* Returns whether a runner has a copy of the model that it could load long before the first
   * replica that is planned or being loaded is ready. */
  bool HasFasterCopy(TimePoint aNow, const ServiceId& aService, const Model& aModel);
  /* Records the copies of a runner whose process ended without notice. */
  void RecordLostCopies(TimePoint aNow, const ManagedRunner& aRunner);
  void CountIncomingReplicas(TimePoint aNow);
  void CountIncomingReplica(const ServiceId& aService, const ModelId& aModel, TimePoint aReadyAt);
  /* Returns how many replicas of the model the service has planned or is loading. */
  std::uint32_t IncomingReplicas(const ServiceId& aService, const ModelId& aModel) const;
  /* Returns the swap planned for a runner, or null. */
  const Swap* PlannedSwap(const EndpointId& aRunner) const;
  void AdvanceSwaps(TimePoint aNow);
  bool AdvanceSwap(TimePoint aNow, const Swap& aSwap);

  // dispatcher_order.cpp
  void OrderAdapter(TimePoint aNow, const ModelRef& aAdapter, ManagedRunner& aRunner);
  bool MayReceiveOrders(TimePoint aNow, const ManagedRunner& aRunner) const;
  bool MayReceiveNewOrder(TimePoint aNow, const ManagedRunner& aRunner) const;
  bool MayReceiveAdapterOrder(TimePoint aNow, const ManagedRunner& aRunner) const;
  std::size_t CountAdapterLoads(TimePoint aNow);
  static bool HasAdapterLoad(TimePoint aNow, const HeldModel& aModel);
  bool MayLoadAfterUnload(TimePoint aNow, const ManagedRunner& aRunner) const;
  static void OnOrderNotAccepted(ManagedRunner& aRunner);
  void SendOrder(TimePoint aNow,
                 ManagedRunner& aRunner,
                 OrderKind aKind,
                 const ModelRef& aSubject,
                 const OrderDetails& aDetails);
  void OnAccepted(TimePoint aNow, ManagedRunner& aRunner);
  void OnAdapterOrderAccepted(TimePoint aNow, ManagedRunner& aRunner);
  void OnAdapterOrderAlreadyDone(TimePoint aNow, ManagedRunner& aRunner);
  static void DropAdapterOrder(ManagedRunner& aRunner);
  void FinishOrder(TimePoint aNow, ManagedRunner& aRunner);
  void PresumeLoads(TimePoint aNow);
  void OnUnreachable(TimePoint aNow, ManagedRunner& aRunner);
  void ForgetUnreachable(TimePoint aNow);
  void RevokePresumedLoad(ManagedRunner& aRunner, const ModelId& aModel);
  void RequestDueReports(TimePoint aNow);
  void RequireReport(TimePoint aNow, ManagedRunner& aRunner);
  static bool IsOutdated(const ManagedRunner& aRunner, const RunnerReport& aReport);
  void AdoptReport(TimePoint aNow, ManagedRunner& aRunner, const RunnerReport& aReport);
  void ScheduleReport(TimePoint aAt, ManagedRunner& aRunner);
  void ResolveOrderByReport(TimePoint aNow, ManagedRunner& aRunner, const RunnerReport& aReport);
  void ResolveAdapterOrderByReport(TimePoint aNow,
                                   ManagedRunner& aRunner,
                                   const RunnerReport& aReport);
  void LogUnanswered(TimePoint aNow,
                     const PendingOrder& aPending,
                     const RunnerReport& aReport,
                     std::string_view aWhy);
  void AbandonOrder(TimePoint aNow,
                    ManagedRunner& aRunner,
                    const RunnerReport& aReport,
                    std::string_view aWhy);
  bool MayLoadFromStore(TimePoint aNow, const Engine& aEngine) const;
  std::size_t CountStoreLoads() const;
  void AdjustStoreConcurrency(const PendingOrder& aLoad, Duration aTook);

  const StreamOrigins* mStreamOrigins;
  const RecordedVersions* mRecordedVersions;
  /* When the first message arrived since this daemon became the dispatcher. */
  std::optional<TimePoint> mActiveSince;
  std::shared_ptr<const FleetConfiguration> mConfiguration;
  OrderPermission mOrderPermission;
  std::map<ServiceId, WeightMemory> mWeightMemories;
  std::map<EndpointId, ManagedRunner> mRunners;
  /* Runners by the models that they hold. RunnersWithModel() rebuilds the index after a change. */
  mutable std::unordered_map<ModelId, std::vector<ManagedRunner*>> mRunnersByModel;
  mutable bool mIsModelIndexStale = true;
  /* Ordered by priority, the most urgent first, and then by arrival. */
  std::deque<WaitingRequest> mWaitingRequests;
  AssignmentOrder mAssignmentOrder;
  /* Models of the runners where requests have ended since the last assignments. */
  std::unordered_set<ModelId> mFreedModels;
  WaitingCounts mWaitingCounts; ///< Of the requests that are tried in this round.
  RetryPacing mRetryPacing;
  OverloadDecisions mOverloadDecisions;
  std::uint64_t mRefusedWithoutSlot = 0;
  bool mIsTakingOver = false; ///< Allowances are emptied at the next tick.
  /* Statements of processes whose entries have not arrived yet. */
  std::map<EndpointId, LimitStatement> mEarlyLimits;
  std::set<EndpointId> mLimitedRunners; ///< That state a limit. Some may be gone.
  /* Requests per second of each client account at runners with limits. */
  std::map<ClientAccountId, DecayingRate> mLimitedUse;
  /* All waiting requests are tried in this round, in order. */
  bool mIsFullRound = true;
  TimePoint mNextAssignmentAt{}; ///< When all waiting requests are tried again.
  TimePoint mNextPlanAt{};
  TimePoint mNextOverloadCheckAt{};
  /* Replicas that are planned or being loaded. Recounted at each tick. */
  std::map<std::pair<ServiceId, ModelId>, IncomingReplicaCount> mIncomingReplicas;
  std::map<PlacementRequestId, Assignment> mAssignments;
  std::map<EndpointId, Swap> mSwaps;                ///< By runner.
  DecayingRate mSwapRate{ kSwapRateTimeConstantS }; ///< Planned swaps per second.
  std::map<std::pair<ServiceId, ModelId>, LocalCopyCheck> mLocalCopyChecks;
  ReturningCopies mReturningCopies;
  /* Missing models for which no swap was worth its cost, and when to weigh them again. */
  std::map<MissingModel, TimePoint> mNextPlanAtByModel;
  /* When a request was last refused because its model had no replica, by service and model. */
  std::map<std::pair<ServiceId, ModelId>, TimePoint> mRefusedModels;
  DemandTracker mDemand;
  ServiceTimeTracker mServiceTimes;
  std::map<ServiceId, ServiceSlowness> mSlowness; ///< Of services whose runners state it.
  StoreLimits mStoreLimits;
  bool mIsPaced = false;
  std::uint64_t mPacedRequests = 0;
  /* Estimated number of concurrent weight store loads that run at full speed. */
  double mStoreConcurrency = 4.0;
  std::vector<TimePoint> mAdapterLoadEnds; ///< When the adapter loads in progress should end.
  std::deque<TimePoint> mStoreLoadStarts;  ///< Of weight store loads within the limit's window.
  std::vector<DispatchAction> mActions;
  TimePoint mNextTickAt{};
};

} // namespace rhubarbtrail::fleet

#endif

/* Passes each event to the view, the router and the scheduler, as far as it concerns them. */
#include "decision/decision.h"

#include "decision/context_type.h"
#include "decision/router/router_base.h"
#include "decision/scheduler/scheduler_base.h"
#include "decision/view/view_base.h"

namespace rhubarbtrail {

struct Node::Impl
{
  explicit Impl(NodeOptions aOptions)
    : options(std::move(aOptions))
  {
  }

  void Handle(Context& aContext, const RequestArrived& aEvent)
  {
    router.OnRequest(aContext, view, aEvent);
  }
  void Handle(Context& aContext, const RequestCancelled& aEvent)
  {
    router.OnCancelled(aContext, view, aEvent);
  }
  void Handle(Context& aContext, const AttemptEnded& aEvent)
  {
    router.OnAttemptEnded(aContext, view, aEvent);
  }
  void Handle(Context& aContext, const TransactionResult& aEvent)
  {
    router.OnTransactionResult(aContext, view, aEvent);
    scheduler.OnTransactionResult(aContext, view, aEvent);
  }
  void Handle(Context& aContext, const ReadResult& aEvent)
  {
    view.OnReadResult(aContext, aEvent);
    scheduler.OnReadResult(aContext, view, aEvent);
  }
  void Handle(Context& aContext, const OrderResult& aEvent)
  {
    scheduler.OnOrderResult(aContext, view, aEvent);
  }
  void Handle(Context& aContext, const HostListReceived& aEvent)
  {
    view.OnHostList(aContext, aEvent);
    view.OnWake(aContext);
    router.OnViewChanged(aContext, view);
    scheduler.OnWake(aContext, view);
  }
  void Handle(Context& aContext, const ConfigurationLoaded& aEvent)
  {
    view.OnConfiguration(aContext, aEvent);
    scheduler.OnWake(aContext, view);
  }
  void Handle(Context& aContext, const ShutdownRequested& /*aEvent*/)
  {
    view.SetStopping(aContext);
    isStopping = true;
  }
  void Handle(Context& aContext, const Wake& /*aEvent*/)
  {
    view.OnWake(aContext);
    router.OnWake(aContext, view);
    scheduler.OnWake(aContext, view);
  }
  void Handle(Context& aContext, const QuarantineReleased& aEvent)
  {
    router.OnQuarantineReleased(aContext, view, aEvent);
  }
  void Handle(Context& aContext, const MessageReceived& aEvent);

  /* Releases the leases, and emits ShutdownComplete once the process may end. Called after each
   * event while the node is stopping. */
  void FinishShutdown(Context& aContext);

  NodeOptions options;
  std::uint64_t lastIdNumber = 0; ///< Counter for Context::NewUniqueId().
  View view;
  Router router;
  Scheduler scheduler;
  TimePoint now{};                       ///< Latest time of any event.
  TimePoint wakeTime = TimePoint::max(); ///< Time of the last WakeAt, until a Wake is handled.
  bool isStopping = false;
  bool isShutdownComplete = false;
};

void Node::Impl::Handle(Context& aContext, const MessageReceived& aEvent)
{
  const DaemonId& from = aEvent.from.daemon;
  // The view has no entry for this daemon itself.
  if (from != options.self.daemon) {
    view.OnMessage(aContext, aEvent);
  }
  if (const auto* reply = std::get_if<DemandReplyMessage>(&aEvent.message)) {
    router.OnDemandReply(aContext, view, from, *reply);
  } else if (const auto* drain = std::get_if<DrainMessage>(&aEvent.message)) {
    router.OnDrain(aContext, view, from, *drain);
  } else if (const auto* suspects = std::get_if<SuspectsMessage>(&aEvent.message)) {
    router.OnSuspects(aContext, view, *suspects);
  } else if (const auto* convicted = std::get_if<ConvictedMessage>(&aEvent.message)) {
    router.OnConvicted(aContext, *convicted);
  } else if (const auto* cleared = std::get_if<ClearedMessage>(&aEvent.message)) {
    router.OnCleared(*cleared);
  } else if (const auto* grant = std::get_if<IsolationGrantMessage>(&aEvent.message)) {
    router.OnIsolationGrant(aContext, view, from, *grant);
  } else {
    scheduler.OnMessage(aContext, view, aEvent);
  }
}

void Node::Impl::FinishShutdown(Context& aContext)
{
  scheduler.ReleaseLeases(aContext, view);
  const bool mayStopRouter = router.IsIdle() || !aContext.IsEnabled(Mechanism::kShutdownDrain);
  if (!isShutdownComplete && mayStopRouter && scheduler.IsIdle()) {
    isShutdownComplete = true;
    aContext.Emit(ShutdownComplete{});
  }
  aContext.WakeBy(aContext.now() + options.settings.tableRetryDelay);
}

Node::Node(NodeOptions aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

Node::~Node() = default;
Node::Node(Node&&) noexcept = default;
Node& Node::operator=(Node&&) noexcept = default;

std::vector<Action> Node::Apply(TimePoint aNow, const Event& aEvent)
{
  mImpl->now = std::max(mImpl->now, aNow);
  Context context(mImpl->now, mImpl->options, mImpl->lastIdNumber);
  const bool isWake = std::holds_alternative<Wake>(aEvent);
  const bool isOverdue = mImpl->wakeTime <= mImpl->now;
  if (isWake || isOverdue) {
    mImpl->wakeTime = TimePoint::max();
  }
  // After a pause of the process, an event may be applied before a Wake that is overdue. Timers are
  // handled first.
  if (isOverdue && !isWake) {
    mImpl->Handle(context, Wake{});
  }
  std::visit([&](const auto& aTypedEvent) { mImpl->Handle(context, aTypedEvent); }, aEvent);
  if (mImpl->isStopping) {
    mImpl->FinishShutdown(context);
  }
  if (context.wakeTime() < mImpl->wakeTime) {
    mImpl->wakeTime = context.wakeTime();
    context.Emit(WakeAt{ mImpl->wakeTime });
  }
  std::vector<Action> actions = context.TakeActions();
  mImpl->scheduler.RecordOrders(actions);
  return actions;
}

std::vector<DumpEntry> Node::Dump() const
{
  std::vector<DumpEntry> entries;
  entries.push_back({ "daemon", mImpl->options.self.daemon.str() });
  entries.push_back({ "incarnation", mImpl->options.self.id.str() });
  mImpl->view.Dump(entries, mImpl->now);
  mImpl->router.Dump(entries, mImpl->now);
  mImpl->scheduler.Dump(entries);
  return entries;
}

} // namespace rhubarbtrail

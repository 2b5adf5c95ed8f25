/* Applies events from many threads to the decision library, one at a time. */
#include "daemon/decision_loop.h"

#include <algorithm>
#include <chrono>

namespace rhubarbtrail {

namespace {

/* Longest sleep of the separate thread. If no wake event is due afterwards, it sleeps again. */
constexpr Duration kMaxSleep = 60s;
/* Limit on the events that a thread applies in one Post(). The separate thread applies the rest. */
constexpr std::size_t kMaxEventsPerPost = 32;

} // namespace

TimePoint DaemonNow()
{
  return TimePoint{ std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()) };
}

DecisionLoop::DecisionLoop(NodeOptions aOptions, std::function<void(Action)> aExecuteAction)
  : mExecuteAction(std::move(aExecuteAction))
  , mNode(std::move(aOptions))
{
}

DecisionLoop::~DecisionLoop()
{
  Stop();
}

void DecisionLoop::Start()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStarted = true;
  }
  mThread = std::thread([this] { Run(); });
}

void DecisionLoop::Stop()
{
  {
    std::unique_lock lock(mMutex);
    mIsStopping = true;
    mStateChanged.notify_all();
    mStateChanged.wait(lock, [this] { return !mIsApplying; });
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

void DecisionLoop::Post(Event aEvent)
{
  std::unique_lock lock(mMutex);
  mEvents.push_back(std::move(aEvent));
  if (mIsStarted && !mIsApplying && !mIsStopping) {
    ApplyQueuedEvents(lock, kMaxEventsPerPost);
  }
}

std::vector<DumpEntry> DecisionLoop::Dump()
{
  const std::lock_guard lock(mNodeMutex);
  return mNode.Dump();
}

void DecisionLoop::ApplyQueuedEvents(std::unique_lock<std::mutex>& aLock, std::size_t aLimit)
{
  mIsApplying = true;
  for (std::size_t count = 0; count < aLimit && !mEvents.empty() && !mIsStopping; ++count) {
    const Event event = std::move(mEvents.front());
    mEvents.pop_front();
    aLock.unlock();
    Apply(event);
    aLock.lock();
  }
  mIsApplying = false;
  if (mIsStopping || !mEvents.empty() || mNextWakeAt < mSleepingUntil) {
    mStateChanged.notify_all();
  }
}

void DecisionLoop::Apply(const Event& aEvent)
{
  std::vector<Action> actions;
  {
    const std::lock_guard lock(mNodeMutex);
    actions = mNode.Apply(DaemonNow(), aEvent);
  }
  for (Action& action : actions) {
    if (const auto* wake = std::get_if<WakeAt>(&action)) {
      const std::lock_guard lock(mMutex);
      mNextWakeAt = wake->time;
      continue;
    }
    mExecuteAction(std::move(action));
  }
}

bool DecisionLoop::CanApplyNow() const
{
  return !mIsApplying && (!mEvents.empty() || mNextWakeAt <= DaemonNow());
}

void DecisionLoop::Run()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    if (!CanApplyNow()) {
      // A thread that applies events notifies this one when it stops, if events are left or if the
      // next wake event is due before this thread wakes up.
      const TimePoint next = mIsApplying ? TimePoint::max() : mNextWakeAt;
      mSleepingUntil = std::min(next, DaemonNow() + kMaxSleep);
      mStateChanged.wait_until(
        lock, std::chrono::steady_clock::time_point{ mSleepingUntil.time_since_epoch() });
      continue;
    }
    if (mNextWakeAt <= DaemonNow()) {
      mNextWakeAt = TimePoint::max();
      mEvents.push_back(Wake{});
    }
    ApplyQueuedEvents(lock, mEvents.size());
  }
}

} // namespace rhubarbtrail

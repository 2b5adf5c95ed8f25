/* The decision thread. */
#include "daemon/decision_loop.h"

#include <algorithm>
#include <chrono>

namespace rhubarbtrail {

namespace {

/* Longest sleep of the thread; a later wish to be woken is looked at again then. */
constexpr Duration kLongestSleep = 60s;

} // namespace

TimePoint DaemonNow()
{
  return TimePoint{ std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()) };
}

DecisionLoop::DecisionLoop(NodeOptions aOptions, std::function<void(Action)> aPerform)
  : mPerform(std::move(aPerform))
  , mNode(std::move(aOptions))
{
}

DecisionLoop::~DecisionLoop()
{
  Stop();
}

void DecisionLoop::Start()
{
  mThread = std::thread([this] { Run(); });
}

void DecisionLoop::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mChanged.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void DecisionLoop::Post(Event aEvent)
{
  {
    const std::lock_guard lock(mMutex);
    mEvents.push_back(std::move(aEvent));
  }
  mChanged.notify_one();
}

std::vector<DumpEntry> DecisionLoop::Dump()
{
  const std::lock_guard lock(mNodeMutex);
  return mNode.Dump();
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
      mWake = wake->time;
      continue;
    }
    mPerform(std::move(action));
  }
}

void DecisionLoop::Run()
{
  while (true) {
    std::deque<Event> batch;
    {
      std::unique_lock lock(mMutex);
      const TimePoint wake = std::min(mWake, DaemonNow() + kLongestSleep);
      const auto until = std::chrono::steady_clock::time_point{ wake.time_since_epoch() };
      mChanged.wait_until(lock, until, [this] { return mIsStopping || !mEvents.empty(); });
      if (mIsStopping) {
        return;
      }
      batch.swap(mEvents);
    }
    for (const Event& event : batch) {
      Apply(event);
    }
    if (mWake <= DaemonNow()) {
      mWake = TimePoint::max();
      Apply(Wake{});
    }
  }
}

} // namespace rhubarbtrail

/* Applies events from many threads to the decision library, one at a time. */
#ifndef RHUBARBTRAIL_DAEMON_DECISION_LOOP_H
#define RHUBARBTRAIL_DAEMON_DECISION_LOOP_H

#include "decision/decision.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace rhubarbtrail {

/* Applies events in the order in which they are posted. If no thread is applying events, the thread
 * that posts one applies the queued events itself, so that a request need not switch threads. It
 * also applies events that other threads post in the meantime, up to a limit. A separate thread
 * applies the rest, and the wake events that the node requests. */
class DecisionLoop
{
public:
  /* aExecuteAction executes one action, on the thread that applies the event. It must not block,
   * because no other event is applied in the meantime. */
  DecisionLoop(NodeOptions aOptions, std::function<void(Action)> aExecuteAction);
  ~DecisionLoop();
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  /* Starts the separate thread. Events posted before are queued until then. */
  void Start();
  /* Stops the separate thread and waits until no event is being applied. Events that are still
   * queued, or are posted later, are never applied. */
  void Stop();

  /* Queues an event. Between Start() and Stop() it also applies queued events, up to a limit,
   * unless another thread is doing so. May be called on any thread. */
  void Post(Event aEvent);

  /* Returns the state of the node for operators. May be called on any thread. */
  std::vector<DumpEntry> Dump();

private:
  void Run();
  bool CanApplyNow() const;
  /* Applies at most aLimit queued events. aLock holds mMutex and is released while an event is
   * applied. */
  void ApplyQueuedEvents(std::unique_lock<std::mutex>& aLock, std::size_t aLimit);
  void Apply(const Event& aEvent);

  std::function<void(Action)> mExecuteAction;
  std::mutex mNodeMutex; ///< Guards mNode.
  Node mNode;
  std::mutex mMutex; ///< Guards the members below, except mThread.
  std::condition_variable mStateChanged;
  std::deque<Event> mEvents;
  bool mIsStarted = false;
  bool mIsStopping = false;
  bool mIsApplying = false;   ///< A thread is applying events. Others only queue theirs.
  TimePoint mNextWakeAt{};    ///< When the next wake event is due.
  TimePoint mSleepingUntil{}; ///< When the separate thread wakes up without a notification.
  std::thread mThread;
};

/* Returns the current time of this daemon's clock, which stands still while the host is
 * suspended. */
TimePoint DaemonNow();

} // namespace rhubarbtrail

#endif

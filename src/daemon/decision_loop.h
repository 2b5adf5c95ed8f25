/* Applies events to the decisions, one at a time, on whichever thread brings them. */
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

/* A thread that posts an event while nobody applies any applies it itself, and all that are posted
 * meanwhile, so that a request is not handed from thread to thread. A thread of the loop's own
 * applies wakes, and takes over from a thread that has applied many events. */
class DecisionLoop
{
public:
  /* The performer carries one action out, on the thread that applies; it must not block. */
  DecisionLoop(NodeOptions aOptions, std::function<void(Action)> aPerform);
  ~DecisionLoop();
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  /* Events posted earlier are kept until then. */
  void Start();
  /* Returns when no event is being applied; later ones are dropped. */
  void Stop();

  /* Applies an event, or leaves it to the thread that is applying; safe from any thread. */
  void Post(Event aEvent);

  /* Describes the state; safe from any thread. */
  std::vector<DumpEntry> Dump();

private:
  void Run();
  bool IsDue() const;
  void ApplyQueued(std::unique_lock<std::mutex>& aLock, std::size_t aLimit);
  void Apply(const Event& aEvent);

  std::function<void(Action)> mPerform;
  std::mutex mNodeMutex; ///< Held while the node is used.
  Node mNode;
  std::mutex mMutex; ///< Guards all members below.
  std::condition_variable mChanged;
  std::deque<Event> mEvents;
  bool mIsStarted = false;
  bool mIsStopping = false;
  bool mIsApplying = false; ///< Some thread applies events; the others only queue theirs.
  TimePoint mWake{};
  TimePoint mSleepsUntil{}; ///< When the loop's own thread looks again by itself.
  std::thread mThread;
};

/* Returns the time of this daemon's clock. */
TimePoint DaemonNow();

} // namespace rhubarbtrail

#endif

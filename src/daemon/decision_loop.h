/* The thread that applies events to the decisions. */
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

class DecisionLoop
{
public:
  /* The performer carries one action out; it is called by the loop's thread and must not block. */
  DecisionLoop(NodeOptions aOptions, std::function<void(Action)> aPerform);
  ~DecisionLoop();
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  void Start();
  void Stop();

  /* Queues an event; safe from any thread. */
  void Post(Event aEvent);

  /* Describes the state; safe from any thread. */
  std::vector<DumpEntry> Dump();

private:
  void Run();
  void Apply(const Event& aEvent);

  std::function<void(Action)> mPerform;
  std::mutex mNodeMutex; ///< Held while the node is used.
  Node mNode;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<Event> mEvents;
  bool mIsStopping = false;
  TimePoint mWake{};
  std::thread mThread;
};

/* Returns the time of this daemon's clock. */
TimePoint DaemonNow();

} // namespace rhubarbtrail

#endif

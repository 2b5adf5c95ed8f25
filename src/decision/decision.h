/* The interface of the decision library. A Node makes all decisions of one daemon as a
 * deterministic state machine. It is given events with their times and returns actions.
 *
 * A Node has no threads, sockets, clocks or global state. For the same options and the same
 * sequence of events and times it returns the same actions. One process can have any number of
 * nodes, each with its own time. The driver, which is the rest of the daemon or a test, carries the
 * actions out and reports their results as events. Messages, transactions, orders and answers may
 * be delayed, lost, duplicated or reordered, as in a network.
 *
 * Requirements for the driver:
 * - Apply() is called by one thread at a time, with times that never decrease.
 * - One AttemptEnded follows each StartAttempt, one TransactionResult each TableTransaction, one
 *   ReadResult each TableRead, and at least one OrderResult each SendOrder. An unknown result
 *   is reported as such and never guessed.
 * - A Wake event follows at the time of the last WakeAt or later.
 */
#ifndef RHUBARBTRAIL_DECISION_DECISION_H
#define RHUBARBTRAIL_DECISION_DECISION_H

#include "decision/action_type.h"
#include "decision/decision_settings_type.h"
#include "decision/event_type.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace rhubarbtrail {

struct NodeOptions
{
  Incarnation self;
  ZoneId zone;
  DecisionSettings settings;
  MechanismSet disabledMechanisms; ///< Mechanisms that a test disables. Empty in a daemon.
};

/* One value of a state dump. */
struct DumpEntry
{
  std::string path; ///< Names separated by dots, such as cells.s.holder.
  std::string value;
};

/* The state machine of one daemon. */
class Node
{
public:
  explicit Node(NodeOptions aOptions);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  Node(Node&&) noexcept;
  Node& operator=(Node&&) noexcept;

  /* Applies an event and returns the actions to carry out, in order. Timers that are due by aNow
   * are handled first. */
  std::vector<Action> Apply(TimePoint aNow, const Event& aEvent);

  /* Returns the state that operators can inspect. */
  std::vector<DumpEntry> Dump() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail

#endif

/* The decisions of one daemon: events in, actions out, with the time given.
 *
 * A Node has no threads, sockets, clocks or global state. For the same options and the same
 * sequence of events it returns the same actions. Any number of nodes can live side by side in
 * one process, each with its own time. The driver carries actions out and reports what came of
 * them as events; it may delay, drop, double or reorder messages, transactions, orders and
 * answers as a network would.
 *
 * Duties of a driver:
 * - Apply() is called by one thread at a time, with a time that never goes back.
 * - Every StartAttempt is followed by one AttemptEnded, every TableTransaction by one
 *   TransactionResult, every TableRead by one ReadResult and every SendOrder by at least one
 *   OrderResult. An outcome that cannot be known is reported as such, never guessed.
 * - WakeAt is answered by a Wake event at that time or later.
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
  MechanismSet disabled; ///< Mechanisms switched off, for tests that show what each is for.
};

/* One line of a state dump: a dotted path and its value. */
struct DumpEntry
{
  std::string path;
  std::string value;
};

class Node
{
public:
  explicit Node(NodeOptions aOptions);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  Node(Node&&) noexcept;
  Node& operator=(Node&&) noexcept;

  /* Takes one event and returns what is to be done, in order. */
  std::vector<Action> Apply(TimePoint aNow, const Event& aEvent);

  /* Describes the whole state for operators. */
  std::vector<DumpEntry> Dump() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail

#endif

/* The context in which a Node applies an event. */
#ifndef RHUBARBTRAIL_DECISION_CONTEXT_TYPE_H
#define RHUBARBTRAIL_DECISION_CONTEXT_TYPE_H

#include "decision/decision.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace rhubarbtrail {

class View;

/* The time and the options that apply to one event, and the actions that it leads to. */
class Context
{
public:
  Context(TimePoint aNow, const NodeOptions& aOptions, std::uint64_t& aLastIdNumber)
    : mNow(aNow)
    , mOptions(aOptions)
    , mLastIdNumber(aLastIdNumber)
  {
  }

  TimePoint now() const { return mNow; }
  const NodeOptions& options() const { return mOptions; }
  const DecisionSettings& settings() const { return mOptions.settings; }
  const Incarnation& self() const { return mOptions.self; }

  bool IsEnabled(Mechanism aMechanism) const
  {
    return !mOptions.disabledMechanisms.test(static_cast<std::size_t>(aMechanism));
  }

  void Emit(Action aAction) { mActions.push_back(std::move(aAction)); }
  std::vector<Action> TakeActions() { return std::move(mActions); }

  /* Requests a Wake event at aTime, unless an earlier one is requested. A past time means now. */
  void WakeBy(TimePoint aTime) { mWakeTime = std::min(mWakeTime, std::max(aTime, mNow)); }
  TimePoint wakeTime() const { return mWakeTime; }

  /* Returns an id that no other call returns, in this or any other daemon process. */
  std::string NewUniqueId()
  {
    return mOptions.self.daemon.str() + "." + mOptions.self.id.str() + "." +
           std::to_string(++mLastIdNumber);
  }

private:
  TimePoint mNow;
  const NodeOptions& mOptions;
  std::uint64_t& mLastIdNumber;
  std::vector<Action> mActions;
  TimePoint mWakeTime = TimePoint::max();
};

} // namespace rhubarbtrail

#endif

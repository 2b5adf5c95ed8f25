/* The pace at which an endpoint gets requests after a start or a recovery. */
#include "decision/fleet/endpoint_window.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtrail::fleet {

namespace {

/* Time in which the window doubles without an answer, so that an endpoint whose answers take long,
 * such as streams, is not left idle. */
constexpr double kDoublingTimeS = 0.5;
/* Time in which the window grows by its full size after the first decrease. */
constexpr double kLinearTimeS = 4.0;
constexpr double kDecreaseFactor = 0.5;
/* Least time between two decreases. The requests that were sent before the first one are still
 * answered meanwhile and say nothing about the smaller window. */
constexpr Duration kDecreaseInterval = 300ms;

} // namespace

void EndpointWindow::Start(TimePoint aAt, const WindowLimits& aLimits)
{
  mState = State{ .limits = aLimits, .size = aLimits.first, .at = aAt };
}

double EndpointWindow::SizeAt(TimePoint aNow) const
{
  if (!mState) {
    return 0.0;
  }
  const double seconds = std::max(std::chrono::duration<double>(aNow - mState->at).count(), 0.0);
  const double size = mState->isDoubling
                        ? mState->size * std::exp2(seconds / kDoublingTimeS)
                        : mState->size + mState->limits.full * seconds / kLinearTimeS;
  return std::min(size, mState->limits.full);
}

void EndpointWindow::Record(TimePoint aNow, PaceSignal aSignal)
{
  if (!IsOpening(aNow) || aNow < mState->at) {
    return;
  }
  State& state = *mState;
  const double size = SizeAt(aNow);
  if (aSignal == PaceSignal::kInTime) {
    state.size = size + (state.isDoubling ? std::min(1.0, size) : 1.0 / std::max(size, 1.0));
  } else if (state.isDoubling || aNow - state.decreasedAt >= kDecreaseInterval) {
    state.size = std::max(size * kDecreaseFactor, state.limits.first);
    state.isDoubling = false;
    state.decreasedAt = aNow;
  } else {
    state.size = size;
  }
  state.at = aNow;
}

bool EndpointWindow::HasRoom(TimePoint aNow, std::uint32_t aInFlight, double aDraw) const
{
  if (!IsOpening(aNow)) {
    return true;
  }
  const double size = SizeAt(aNow);
  return size < 1.0 ? aInFlight == 0 && aDraw < size : aInFlight + 1.0 <= size;
}

} // namespace rhubarbtrail::fleet

/* The pace at which an endpoint gets requests after a start or a recovery. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_ENDPOINT_WINDOW_H
#define RHUBARBTRAIL_DECISION_FLEET_ENDPOINT_WINDOW_H

#include "core/unit_type.h"

#include <cstdint>
#include <optional>

namespace rhubarbtrail::fleet {

/* How an endpoint has answered, as far as it shows whether it can take more requests. */
enum class PaceSignal : std::uint8_t
{
  kInTime,
  kLate,
  kRefused, ///< Or failed.
};

/* Limits of a window in requests in flight. Below 1, only that share of requests may go there. */
struct WindowLimits
{
  double first = 1.0; ///< At the start.
  double full = 1.0;  ///< From this size on, there is no limit any more.
};

/* The number of requests that an endpoint should have in flight while it opens after a start or a
 * recovery. The window doubles with time and grows with each answer in time until the first late or
 * refused one, which halves it. From then on it grows linearly (AIMD). Once it has reached its full
 * size, it imposes no limit until the next Start(). It only orders the choice among endpoints and
 * refuses nothing. */
class EndpointWindow
{
public:
  /* Starts at a time, which may be in the future: before it, the window has its first size. */
  void Start(TimePoint aAt, const WindowLimits& aLimits);
  void Record(TimePoint aNow, PaceSignal aSignal);
  bool IsOpening(TimePoint aNow) const { return mState && SizeAt(aNow) < mState->limits.full; }
  /* Returns whether one more request is within the window. The draw, from 0 to 1, decides while the
   * window is smaller than one request. */
  bool HasRoom(TimePoint aNow, std::uint32_t aInFlight, double aDraw) const;
  /* Returns the size, or 0 if there was no start. */
  double SizeAt(TimePoint aNow) const;

private:
  struct State
  {
    WindowLimits limits;
    double size = 0.0; ///< As of the time below.
    TimePoint at{};
    bool isDoubling = true; ///< No answer was late or refused yet.
    TimePoint decreasedAt{};
  };

  std::optional<State> mState; ///< Empty if there is no limit.
};

} // namespace rhubarbtrail::fleet

#endif

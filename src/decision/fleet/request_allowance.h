/* Allowances for calls to endpoints that state a limit on requests. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_REQUEST_ALLOWANCE_H
#define RHUBARBTRAIL_DECISION_FLEET_REQUEST_ALLOWANCE_H

#include "core/unit_type.h"

#include <cstddef>
#include <optional>

namespace rhubarbtrail::fleet {

/* A token bucket: allows calls at a rate, and some at once after a time without calls. It starts
 * empty, because calls may have been made that it does not know of. */
class RequestAllowance
{
public:
  struct Options
  {
    double perSecond = 0.0;
    double burst = 1.0; ///< Calls that may be made at once. At least 1.
  };

  RequestAllowance(TimePoint aNow, const Options& aOptions);

  /* Changes the rate and the burst. The calls allowed so far stay, up to the new burst. */
  void SetOptions(TimePoint aNow, const Options& aOptions);
  /* Returns whether a call is allowed now. */
  bool Has(TimePoint aNow) const { return TimeUntil(aNow, 1) == Duration::zero(); }
  /* Uses one call if it is allowed now. Returns whether it was. */
  bool Take(TimePoint aNow);
  /* Takes back a call that was not made. */
  void GiveBack(TimePoint aNow);
  /* Returns the time until this many calls are allowed, if none is used meanwhile. Duration::max()
   * if that is never. */
  Duration TimeUntil(TimePoint aNow, std::size_t aCalls) const;

private:
  double TokensAt(TimePoint aNow) const;

  Options mOptions;
  double mTokens = 0.0;
  TimePoint mUpdatedAt;
};

/* The following divide what an endpoint with a limit of L requests per second may get. The
 * operators allow it 6 L + 5 calls in any 4 s, and state no exception for orders and reports. The
 * parts, each with its burst, add up to 5.5 L + 4 at most:
 * - the clients' requests that the dispatcher assigns: 4.25 L + 1,
 * - its orders and calls for reports: 0.25 L + 2,
 * - requests of daemons that cannot ask the dispatcher, while it serves the others: 1.25 L + 1. */

/* Returns the allowance for clients' requests. One that states 0 gets a request now and then, since
 * only an answer shows that the limit has ended. */
RequestAllowance::Options RequestAllowanceOf(RequestRate aLimit);
/* Returns the allowance for orders and calls for reports. */
RequestAllowance::Options ControlAllowanceOf(RequestRate aLimit);
/* Returns the allowance of one daemon that cannot ask the dispatcher, or nothing if the daemons
 * together could exceed their part. They cannot coordinate, so each may use its burst at the same
 * time. */
std::optional<RequestAllowance::Options> OwnShareOf(RequestRate aLimit, std::size_t aDaemons);

} // namespace rhubarbtrail::fleet

#endif

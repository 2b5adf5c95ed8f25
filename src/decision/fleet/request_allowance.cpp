/* Allowances for calls to endpoints that state a limit on requests. */
#include "decision/fleet/request_allowance.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtrail::fleet {

namespace {

/* Rate of requests to an endpoint with a lower limit, per second. */
constexpr double kMinRequestsPerSecond = 0.1;
/* Time for which an endpoint's unused requests are kept, in seconds. */
constexpr double kBurstTimeS = 0.25;
/* Orders and reports: a fixed rate per second, and a part of the limit. */
constexpr double kControlCallsPerSecond = 0.25;
constexpr double kControlShare = 0.05;
/* Part of the limit that all daemons without a dispatcher may use. */
constexpr double kUncoordinatedShare = 0.25;
/* Tolerance for rounding, in calls. */
constexpr double kRounding = 1e-6;

} // namespace

RequestAllowance::RequestAllowance(TimePoint aNow, const Options& aOptions)
  : mOptions(aOptions)
  , mUpdatedAt(aNow)
{
}

double RequestAllowance::TokensAt(TimePoint aNow) const
{
  const double seconds = std::max(std::chrono::duration<double>(aNow - mUpdatedAt).count(), 0.0);
  return std::min(mOptions.burst, mTokens + seconds * mOptions.perSecond);
}

void RequestAllowance::SetOptions(TimePoint aNow, const Options& aOptions)
{
  mTokens = std::min(TokensAt(aNow), aOptions.burst);
  mUpdatedAt = aNow;
  mOptions = aOptions;
}

bool RequestAllowance::Take(TimePoint aNow)
{
  if (!Has(aNow)) {
    return false;
  }
  mTokens = std::max(TokensAt(aNow) - 1.0, 0.0);
  mUpdatedAt = aNow;
  return true;
}

void RequestAllowance::GiveBack(TimePoint aNow)
{
  mTokens = std::min(TokensAt(aNow) + 1.0, mOptions.burst);
  mUpdatedAt = aNow;
}

Duration RequestAllowance::TimeUntil(TimePoint aNow, std::size_t aCalls) const
{
  const double missing = static_cast<double>(aCalls) - TokensAt(aNow);
  if (missing <= kRounding) {
    return Duration::zero();
  }
  if (mOptions.perSecond <= 0.0) {
    return Duration::max();
  }
  const double microseconds = missing / mOptions.perSecond * 1e6;
  return Duration{ static_cast<Duration::rep>(std::ceil(microseconds)) };
}

RequestAllowance::Options RequestAllowanceOf(RequestRate aLimit)
{
  return { .perSecond = std::max(aLimit.perSecond, kMinRequestsPerSecond),
           .burst = 1.0 + kBurstTimeS * aLimit.perSecond };
}

RequestAllowance::Options ControlAllowanceOf(RequestRate aLimit)
{
  return { .perSecond = kControlCallsPerSecond + kControlShare * aLimit.perSecond,
           .burst = 1.0 + kControlShare * aLimit.perSecond };
}

std::optional<RequestAllowance::Options> OwnShareOf(RequestRate aLimit, std::size_t aDaemons)
{
  const double uncoordinated = kUncoordinatedShare * aLimit.perSecond;
  const auto daemons = static_cast<double>(aDaemons);
  if (aDaemons == 0 || daemons > uncoordinated + 1.0) {
    return std::nullopt;
  }
  return RequestAllowance::Options{ .perSecond = uncoordinated / daemons, .burst = 1.0 };
}

} // namespace rhubarbtrail::fleet

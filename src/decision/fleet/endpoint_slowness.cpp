/* How long work takes at endpoints that share their hosts with other workloads. */
#include "decision/fleet/endpoint_slowness.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtrail::fleet {

namespace {

/* Time constant with which a statement loses its weight, in seconds. The operators state that the
 * figure changes about every 600 ms. */
constexpr double kStatementLifetimeS = 0.6;
/* Time constant with which measured ratios lose their weight, in seconds. An endpoint that gets no
 * requests because it was slow is tried again after some of these. */
constexpr double kMeasurementLifetimeS = 15.0;
/* Measurements that speak for the usual speed before there are any, so that one slow answer alone
 * moves little. */
constexpr double kPriorMeasurements = 1.0;
/* Limits of one measured ratio. Endpoints that fail by slowness are up to 8 times as slow. */
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 16.0;
/* Lower limit of the measured part. Answers whose time is mostly that of the network are less slow
 * than their endpoint states, so a much lower one would cancel what is stated. */
constexpr double kMinMeasured = 0.7;
/* Weight of a new value in the moving average over a service. */
constexpr double kTimeWeight = 0.05;
/* Shorter times, in microseconds, count as this. */
constexpr double kMinTimeUs = 1'000.0;

double Decay(Duration aAge, double aLifetimeS)
{
  return std::exp(-std::max(std::chrono::duration<double>(aAge).count(), 0.0) / aLifetimeS);
}

} // namespace

void SlownessEstimate::RecordStated(TimePoint aStatedAt, Slowness aSlowness)
{
  if (!mStated || aStatedAt >= mStatedAt) {
    mStated = aSlowness;
    mStatedAt = aStatedAt;
  }
}

void SlownessEstimate::RecordMeasured(TimePoint aNow, double aRatio)
{
  const double decay = Decay(aNow - mMeasuredAt, kMeasurementLifetimeS);
  mLogRatios = mLogRatios * decay + std::log(std::clamp(aRatio, kMinRatio, kMaxRatio));
  mMeasurements = mMeasurements * decay + 1.0;
  mMeasuredAt = aNow;
}

Slowness SlownessEstimate::MeasuredAt(TimePoint aNow) const
{
  const double decay = Decay(aNow - mMeasuredAt, kMeasurementLifetimeS);
  const double ratio = std::exp(mLogRatios * decay / (mMeasurements * decay + kPriorMeasurements));
  return { std::max(ratio, kMinMeasured) };
}

Slowness SlownessEstimate::At(TimePoint aNow, Slowness aUsual) const
{
  double stated = aUsual.factor;
  if (mStated) {
    stated += (mStated->factor - aUsual.factor) * Decay(aNow - mStatedAt, kStatementLifetimeS);
  }
  return { stated * MeasuredAt(aNow).factor };
}

/* The usual slowness is not learned from statements. Only endpoints that get requests state theirs,
 * so an endpoint that is never asked would count as slow as the one that is always asked. */
void ServiceSlowness::RecordStated(Slowness /*aSlowness*/)
{
  mIsStated = true;
}

double ServiceSlowness::RecordTime(const std::string& aKind, Duration aTime)
{
  const double logTime = std::log(std::max(static_cast<double>(aTime.count()), kMinTimeUs));
  double& usual = mLogTimes.try_emplace(aKind, logTime).first->second;
  const double ratio = std::exp(logTime - usual);
  usual += kTimeWeight * (logTime - usual);
  return ratio;
}

} // namespace rhubarbtrail::fleet

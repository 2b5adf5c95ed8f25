/* How long work takes at endpoints that share their hosts with other workloads. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_ENDPOINT_SLOWNESS_H
#define RHUBARBTRAIL_DECISION_FLEET_ENDPOINT_SLOWNESS_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rhubarbtrail::fleet {

/* What an endpoint's process has stated about its slowness. */
struct SlownessStatement
{
  EndpointId endpoint;
  std::int64_t startedAtMs = 0; ///< Unix time of the process's start.
  Slowness slowness;
  Duration age{}; ///< Time since the answer that stated it.
};

/* The slowness of one endpoint's present process: what it stated last, and how its answers compare
 * with those of others. Both count less the older they are. */
class SlownessEstimate
{
public:
  /* Records a statement. One that is older than the last one is ignored. */
  void RecordStated(TimePoint aStatedAt, Slowness aSlowness);
  /* Records an answer that took this many times as long as the service's answers usually do, apart
   * from the stated slowness and the queue at the endpoint. */
  void RecordMeasured(TimePoint aNow, double aRatio);
  /* Returns the expected slowness, where aUsual is the mean over the service's endpoints. */
  Slowness At(TimePoint aNow, Slowness aUsual) const;

  const std::optional<Slowness>& stated() const { return mStated; }
  TimePoint statedAt() const { return mStatedAt; }
  /* Returns the part of the estimate that comes from the times of answers. */
  Slowness MeasuredAt(TimePoint aNow) const;

private:
  std::optional<Slowness> mStated;
  TimePoint mStatedAt{};
  /* Sum of the logarithms of the measured ratios, and their number, both as of mMeasuredAt. */
  double mLogRatios = 0.0;
  double mMeasurements = 0.0;
  TimePoint mMeasuredAt{};
};

/* What the endpoints of one service have in common. */
class ServiceSlowness
{
public:
  void RecordStated(Slowness aSlowness);
  /* Records how long an answer to a request of some kind took, apart from the stated slowness and
   * the queue. Returns its ratio to the usual time of that kind. */
  double RecordTime(const std::string& aKind, Duration aTime);

  /* Whether any endpoint has stated a slowness. The choice of endpoints uses it only then. */
  bool isStated() const { return mIsStated; }
  Slowness usual() const { return mUsual; } ///< Assumed where nothing is known.

private:
  bool mIsStated = false;
  Slowness mUsual;
  std::map<std::string, double> mLogTimes; ///< Moving averages of logarithms, by kind.
};

} // namespace rhubarbtrail::fleet

#endif

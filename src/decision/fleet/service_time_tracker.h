/* Tracks how fast each model runs, by the times from sending a request to its first event. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_SERVICE_TIME_TRACKER_H
#define RHUBARBTRAIL_DECISION_FLEET_SERVICE_TIME_TRACKER_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace rhubarbtrail::fleet {

/* Keeps one factor for each model by which estimated times are multiplied. Larger models run
 * slower, and the configuration does not say by how much. The factor is 1 until the first
 * measurement. */
class ServiceTimeTracker
{
public:
  double Factor(const ModelId& aModel) const
  {
    const auto found = mFactors.find(aModel);
    return found == mFactors.end() ? 1.0 : found->second;
  }

  /* Adjusts the model's factor by the expected and the measured time from sending a request to its
   * first event. A measured time of 0 means that there was no event and is ignored. */
  void Record(const ModelId& aModel, Duration aExpected, Duration aMeasured)
  {
    if (aMeasured <= Duration::zero()) {
      return;
    }
    const double expected =
      std::max<double>(static_cast<double>(aExpected.count()), kMinDurationUs);
    const double measured =
      std::max<double>(static_cast<double>(aMeasured.count()), kMinDurationUs);
    const double ratio = std::clamp(measured / expected, 1.0 / kMaxSampleRatio, kMaxSampleRatio);
    double& factor = mFactors.try_emplace(aModel, 1.0).first->second;
    factor = std::clamp(factor * std::pow(ratio, kSampleWeight), kMinFactor, kMaxFactor);
  }

private:
  /* Shorter times, in microseconds, count as this. */
  static constexpr double kMinDurationUs = 5'000.0;
  static constexpr double kMaxSampleRatio = 3.0; ///< Limit of one sample's ratio and its inverse.
  static constexpr double kSampleWeight = 0.08;  ///< Exponent that a sample's ratio is raised to.
  static constexpr double kMinFactor = 0.15;
  static constexpr double kMaxFactor = 4.0;

  std::map<ModelId, double> mFactors;
};

} // namespace rhubarbtrail::fleet

#endif

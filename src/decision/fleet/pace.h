/* Tracks how fast each model runs, by the times from sending a request to its first event. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_PACE_H
#define RHUBARBTRAIL_DECISION_FLEET_PACE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace rhubarbtrail::fleet {

/* Keeps one factor for each model by which estimated times are multiplied. Larger models run
 * slower, and the configuration does not say by how much. The factor is 1 until the first
 * measurement. */
class PaceBook
{
public:
  double Factor(const ModelId& aModel) const
  {
    const auto found = mFactors.find(aModel);
    return found == mFactors.end() ? 1.0 : found->second;
  }

  /* Adjusts the model's factor by the expected and the measured time from sending a request to its
   * first event. A measured time of 0 means that there was no event and is ignored. */
  void Note(const ModelId& aModel, Duration aExpected, Duration aSeen)
  {
    if (aSeen <= Duration::zero()) {
      return;
    }
    const double expected = std::max<double>(static_cast<double>(aExpected.count()), kLeastUs);
    const double seen = std::max<double>(static_cast<double>(aSeen.count()), kLeastUs);
    const double ratio = std::clamp(seen / expected, 1.0 / kLargestStep, kLargestStep);
    double& factor = mFactors.try_emplace(aModel, 1.0).first->second;
    factor = std::clamp(factor * std::pow(ratio, kWeight), kLeastFactor, kLargestFactor);
  }

private:
  static constexpr double kLeastUs = 5'000.0; ///< Shorter times, in microseconds, count as this.
  static constexpr double kLargestStep = 3.0; ///< Limit of one sample's ratio and its inverse.
  static constexpr double kWeight = 0.08;     ///< Exponent that a sample's ratio is raised to.
  static constexpr double kLeastFactor = 0.15;
  static constexpr double kLargestFactor = 4.0;

  std::map<ModelId, double> mFactors;
};

} // namespace rhubarbtrail::fleet

#endif

/* How fast models run, from the times to the first event that requests have seen. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_PACE_H
#define RHUBARBTRAIL_DECISION_FLEET_PACE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace rhubarbtrail::fleet {

/* A factor for each model on the times that the estimates give: larger models run slower, and the
 * configuration does not say how much. */
class PaceBook
{
public:
  double Factor(const ModelId& aModel) const
  {
    const auto found = mFactors.find(aModel);
    return found == mFactors.end() ? 1.0 : found->second;
  }

  /* Notes how long a request took to its first event, and what was expected. */
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
  static constexpr double kLeastUs = 5'000.0; ///< Shorter times are taken for this one.
  static constexpr double kLargestStep = 3.0; ///< One sample counts as no more than that.
  static constexpr double kWeight = 0.08;     ///< Of one sample, in the logarithm.
  static constexpr double kLeastFactor = 0.15;
  static constexpr double kLargestFactor = 4.0;

  std::map<ModelId, double> mFactors;
};

} // namespace rhubarbtrail::fleet

#endif

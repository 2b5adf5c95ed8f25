/* Tracks the rate of requests for each model and the runner time that these requests need. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_DEMAND_TRACKER_H
#define RHUBARBTRAIL_DECISION_FLEET_DEMAND_TRACKER_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace rhubarbtrail::fleet {

/* An exponentially decaying average of weighted events per second. */
class DecayingRate
{
public:
  explicit DecayingRate(double aTimeConstantS)
    : mTimeConstantS(aTimeConstantS)
  {
  }

  void Add(TimePoint aNow, double aWeight)
  {
    mValue = ValueAt(aNow) + aWeight / mTimeConstantS;
    mUpdatedAt = aNow;
  }

  double ValueAt(TimePoint aNow) const
  {
    const double seconds = std::chrono::duration<double>(aNow - mUpdatedAt).count();
    return mValue * std::exp(-seconds / mTimeConstantS);
  }

private:
  double mTimeConstantS;
  double mValue = 0.0;
  TimePoint mUpdatedAt{};
};

/* Keeps the recent demand for each model. Demand moves to other models several times a minute. A
 * short average follows a rise within the time of one or two model swaps. A long average keeps the
 * demand of a model up during gaps between its requests, so that the model stays loaded. */
class DemandTracker
{
public:
  /* Records a request that needs aWork of a runner's time. */
  void Record(TimePoint aNow, const ModelId& aModel, Duration aWork)
  {
    ModelDemand& demand = mDemandByModel[aModel];
    const double work = std::chrono::duration<double>(aWork).count();
    demand.requestRate.Add(aNow, 1.0);
    demand.sustainedRequestRate.Add(aNow, 1.0);
    demand.longTermWork.Add(aNow, work);
    demand.shortTermWork.Add(aNow, work);
  }

  /* Returns the requests for a model per second. */
  double RequestRate(TimePoint aNow, const ModelId& aModel) const
  {
    const auto found = mDemandByModel.find(aModel);
    return found == mDemandByModel.end() ? 0.0 : found->second.requestRate.ValueAt(aNow);
  }

  /* Returns the requests for a model per second, averaged over a long time. A single request
   * changes it little, so it fits decisions whose effect comes late. */
  double SustainedRequestRate(TimePoint aNow, const ModelId& aModel) const
  {
    const auto found = mDemandByModel.find(aModel);
    return found == mDemandByModel.end() ? 0.0 : found->second.sustainedRequestRate.ValueAt(aNow);
  }

  /* Returns the number of runners that the requests for a model keep busy: the larger of both
   * averages. */
  double BusyRunners(TimePoint aNow, const ModelId& aModel) const
  {
    const auto found = mDemandByModel.find(aModel);
    return found == mDemandByModel.end() ? 0.0
                                         : std::max(found->second.longTermWork.ValueAt(aNow),
                                                    found->second.shortTermWork.ValueAt(aNow));
  }

  /* Returns all models with a recorded request. */
  std::vector<ModelId> Models() const
  {
    std::vector<ModelId> models;
    models.reserve(mDemandByModel.size());
    for (const auto& item : mDemandByModel) {
      models.push_back(item.first);
    }
    return models;
  }

private:
  static constexpr double kLongTimeConstantS = 6.0;
  static constexpr double kShortTimeConstantS = 1.5;
  static constexpr double kSustainedTimeConstantS = 30.0;

  struct ModelDemand
  {
    DecayingRate requestRate{ kLongTimeConstantS };
    DecayingRate sustainedRequestRate{ kSustainedTimeConstantS };
    DecayingRate longTermWork{ kLongTimeConstantS };
    DecayingRate shortTermWork{ kShortTimeConstantS };
  };

  std::map<ModelId, ModelDemand> mDemandByModel;
};

} // namespace rhubarbtrail::fleet

#endif

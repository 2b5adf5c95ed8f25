/* Tracks the rate of requests for each model and the runner time that these requests need. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_DEMAND_H
#define RHUBARBTRAIL_DECISION_FLEET_DEMAND_H

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
    mValue = Read(aNow) + aWeight / mTimeConstantS;
    mAt = aNow;
  }

  double Read(TimePoint aNow) const
  {
    const double seconds = std::chrono::duration<double>(aNow - mAt).count();
    return mValue * std::exp(-seconds / mTimeConstantS);
  }

private:
  double mTimeConstantS;
  double mValue = 0.0;
  TimePoint mAt{};
};

/* Keeps the recent demand for each model. Demand moves to other models several times a minute. A
 * short average follows a rise within the time of one or two model swaps. A long average keeps the
 * demand of a model up during gaps between its requests, so that the model stays loaded. */
class DemandBook
{
public:
  /* Records a request that needs aWork of a runner's time. */
  void Note(TimePoint aNow, const ModelId& aModel, Duration aWork)
  {
    Entry& entry = mEntries[aModel];
    const double work = std::chrono::duration<double>(aWork).count();
    entry.rate.Add(aNow, 1.0);
    entry.longWork.Add(aNow, work);
    entry.shortWork.Add(aNow, work);
  }

  /* Returns the requests for a model per second. */
  double Rate(TimePoint aNow, const ModelId& aModel) const
  {
    const auto found = mEntries.find(aModel);
    return found == mEntries.end() ? 0.0 : found->second.rate.Read(aNow);
  }

  /* Returns the number of runners that the requests for a model keep busy: the larger of both
   * averages. */
  double Work(TimePoint aNow, const ModelId& aModel) const
  {
    const auto found = mEntries.find(aModel);
    return found == mEntries.end()
             ? 0.0
             : std::max(found->second.longWork.Read(aNow), found->second.shortWork.Read(aNow));
  }

  /* Returns all models with a recorded request. */
  std::vector<ModelId> Models() const
  {
    std::vector<ModelId> models;
    models.reserve(mEntries.size());
    for (const auto& item : mEntries) {
      models.push_back(item.first);
    }
    return models;
  }

private:
  static constexpr double kLongS = 6.0;
  static constexpr double kShortS = 1.5;

  struct Entry
  {
    DecayingRate rate{ kLongS };
    DecayingRate longWork{ kLongS };
    DecayingRate shortWork{ kShortS };
  };

  std::map<ModelId, Entry> mEntries;
};

} // namespace rhubarbtrail::fleet

#endif

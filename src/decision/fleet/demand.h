/* How often each model is asked for, and how much work that is. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_DEMAND_H
#define RHUBARBTRAIL_DECISION_FLEET_DEMAND_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace rhubarbtrail::fleet {

/* A moving average of events a second, with a weight each. */
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

/* Demand moves to other models several times in a minute. A short average follows a rise within a
 * swap or two, a long one keeps models over the gaps between their callers. */
class DemandBook
{
public:
  /* Notes a request that needs the runner for a time. */
  void Note(TimePoint aNow, const ModelId& aModel, Duration aWork)
  {
    Entry& entry = mEntries[aModel];
    const double work = std::chrono::duration<double>(aWork).count();
    entry.rate.Add(aNow, 1.0);
    entry.longWork.Add(aNow, work);
    entry.shortWork.Add(aNow, work);
  }

  /* Returns requests a second. */
  double Rate(TimePoint aNow, const ModelId& aModel) const
  {
    const auto found = mEntries.find(aModel);
    return found == mEntries.end() ? 0.0 : found->second.rate.Read(aNow);
  }

  /* Returns the work, in runners: 1 keeps one runner busy. */
  double Work(TimePoint aNow, const ModelId& aModel) const
  {
    const auto found = mEntries.find(aModel);
    return found == mEntries.end()
             ? 0.0
             : std::max(found->second.longWork.Read(aNow), found->second.shortWork.Read(aNow));
  }

  /* Returns the models that were asked for. */
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

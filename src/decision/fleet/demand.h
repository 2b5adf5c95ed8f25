/* How often each model is asked for, and how much work that is. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_DEMAND_H
#define RHUBARBTRAIL_DECISION_FLEET_DEMAND_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cmath>
#include <cstdint>
#include <map>
#include <vector>

namespace rhubarbtrail::fleet {

/* Moving averages with a time constant of some seconds: demand moves to other models several times
 * in a minute, and a swap takes about a second. */
class DemandBook
{
public:
  /* Notes a request that needs the runner for a time. */
  void Note(TimePoint aNow, const ModelId& aModel, Duration aWork)
  {
    Entry& entry = mEntries[aModel];
    Decay(aNow, entry);
    entry.rate += 1.0 / kTimeConstant;
    entry.work += std::chrono::duration<double>(aWork).count() / kTimeConstant;
  }

  /* Returns requests a second. */
  double Rate(TimePoint aNow, const ModelId& aModel) const { return Read(aNow, aModel).rate; }
  /* Returns the work, in runners: 1 keeps one runner busy. */
  double Work(TimePoint aNow, const ModelId& aModel) const { return Read(aNow, aModel).work; }

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
  static constexpr double kTimeConstant = 6.0; ///< Seconds.

  struct Entry
  {
    double rate = 0.0;
    double work = 0.0;
    TimePoint at{};
  };

  static void Decay(TimePoint aNow, Entry& aEntry)
  {
    const double seconds = std::chrono::duration<double>(aNow - aEntry.at).count();
    const double factor = std::exp(-seconds / kTimeConstant);
    aEntry.rate *= factor;
    aEntry.work *= factor;
    aEntry.at = aNow;
  }

  Entry Read(TimePoint aNow, const ModelId& aModel) const
  {
    const auto found = mEntries.find(aModel);
    if (found == mEntries.end()) {
      return {};
    }
    Entry entry = found->second;
    Decay(aNow, entry);
    return entry;
  }

  std::map<ModelId, Entry> mEntries;
};

} // namespace rhubarbtrail::fleet

#endif

/* Forecasts when a waiting request gets a slot at the runners that hold its model, and when a
 * refused client should come back. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_SLOT_FORECAST_H
#define RHUBARBTRAIL_DECISION_FLEET_SLOT_FORECAST_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rhubarbtrail::fleet {

/* How long requests hold a slot of a runner, as an average of the last ones. */
class SlotHoldTime
{
public:
  void Record(Duration aTime);
  /* Returns the average, or nothing until enough requests have ended. */
  std::optional<Duration> Average() const;

private:
  double mAverageS = 0.0;
  std::uint32_t mCount = 0;
};

/* Counts waiting requests during one round of assignments, by model, priority and account. */
class WaitingCounts
{
public:
  /* Counts a request that waits when the round begins. */
  void AddWaiting(const ModelId& aModel, std::uint32_t aPriority, const ClientAccountId& aAccount);
  /* A request that was counted has been answered. */
  void RemoveWaiting(const ModelId& aModel,
                     std::uint32_t aPriority,
                     const ClientAccountId& aAccount);
  /* A request was tried and has to wait. The older ones of its account come before it. */
  void AddTried(const ModelId& aModel, std::uint32_t aPriority, const ClientAccountId& aAccount);
  /* Returns how many requests for the model are expected to get a slot before one of this priority
   * and account that follows aOwnAhead requests of its account. Accounts of equal priority take
   * turns. Requests that arrive later are not foreseen. */
  std::size_t Ahead(const ModelId& aModel,
                    std::uint32_t aPriority,
                    const ClientAccountId& aAccount,
                    std::size_t aOwnAhead) const;
  /* Returns how many of the account's requests of this priority for the model were tried. */
  std::size_t Tried(const ModelId& aModel,
                    std::uint32_t aPriority,
                    const ClientAccountId& aAccount) const;

private:
  struct Count
  {
    std::size_t waiting = 0;
    std::size_t tried = 0;
  };
  using CountsByAccount = std::map<std::pair<std::uint32_t, ClientAccountId>, Count>;

  std::unordered_map<ModelId, CountsByAccount> mCounts;
};

/* A runner that holds the model of a waiting request and has no room for it now. */
struct FullRunner
{
  std::uint32_t slots = 0;
  std::uint32_t inFlight = 0;
  std::optional<Duration> holdTime; ///< Average for which a request holds a slot.
};

/* A forecast for a request that none of these runners has room for. */
struct SlotForecast
{
  Duration wait{};     ///< Until it gets a slot.
  Duration interval{}; ///< Between two slots that become free.
};

/* Returns the forecast for a request with so many requests ahead, or nothing if there is too little
 * to go by: under half of a runner's slots are taken, or it is not known how long they are held. */
std::optional<SlotForecast> ForecastSlot(const std::vector<FullRunner>& aRunners, double aAhead);

/* Returns whether a request should be refused because it gets no slot in the time it has left.
 * Load pattern: demand for loaded models above what their runners can serve. Without this, a
 * request waits until its deadline for a slot that others get. Forecasts err, and a refused client
 * comes back only once, so there must be a clear difference, and a larger one for a request that
 * was let wait before. */
bool IsTooLongToWait(const SlotForecast& aForecast, Duration aTimeLeft, bool aWasAdmitted);

/* Spreads the times at which refused clients are told to come back. Load pattern: many requests are
 * refused at once. With one time for all, their retries arrive together and are refused again. */
class RetryPacing
{
public:
  /* Returns the time until the client should come back, which is at least aWait. The times given
   * for one model are aInterval apart. */
  Duration Next(TimePoint aNow, const ModelId& aModel, Duration aWait, Duration aInterval);

private:
  std::map<ModelId, TimePoint> mNextAt;
};

} // namespace rhubarbtrail::fleet

#endif

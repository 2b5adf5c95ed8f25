/* The endpoints that a daemon may use, as it believes them to be. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_RUNNER_REGISTRY_H
#define RHUBARBTRAIL_DECISION_FLEET_RUNNER_REGISTRY_H

#include "decision/fleet/endpoint_health.h"
#include "decision/fleet/runner_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarbtrail::fleet {

/* Time after the store's return within which entries that lapsed meanwhile come back. The store's
 * operators state about two seconds; the rest is for the way here. */
constexpr Duration kLapsedEntryGrace = 2'300ms;

struct KnownRunner
{
  RunnerEntry entry;
  TimePoint changedAt{};
  std::optional<TimePoint> missingSince; ///< Its entry has gone.
  std::uint32_t inFlight = 0;            ///< Requests of this daemon.
  StatedLoad load;
  TimePoint loadAt{};
  EndpointHealth health;
};

/* Why a runner is left out. */
enum class Exclusion : std::uint8_t
{
  kNone,
  kLeaving,
  kGone,
  kDoubted,
};

class RunnerRegistry
{
public:
  enum class Change : std::uint8_t
  {
    kNone,
    kJoined,
    kLeaving,
    kRestarted,
    kUpdated,
  };

  /* Takes a runner's entry and returns what it changes. */
  Change Apply(TimePoint aNow, RunnerEntry aEntry);
  /* Takes note that an entry has gone. */
  void Remove(TimePoint aNow, const EndpointId& aRunner);
  /* Takes note that the store has answered again after it had not. */
  void OnStoreRegained(TimePoint aNow) { mRegainedAt = aNow; }
  void OnStoreLost() { mRegainedAt.reset(); }

  void NoteStart(const EndpointId& aRunner);
  void NoteEnd(TimePoint aNow, const EndpointId& aRunner, EndpointSign aSign);
  void NoteLoad(TimePoint aNow, const EndpointId& aRunner, const StatedLoad& aLoad);

  /* Returns whether new requests may go to a runner. */
  Exclusion Check(TimePoint aNow, const KnownRunner& aRunner) const;

  /* What to choose an endpoint for. */
  struct Wanted
  {
    ServiceId service;
    ZoneId zone;
    const ModelRef* model = nullptr; ///< Null for plain services.
    std::uint64_t affinity = 0;      ///< Requests with the same value go to the same runner.
    const std::set<EndpointId>* excluded = nullptr;
  };

  /* Returns the endpoint that is expected to answer first, or nothing. Doubted ones are taken when
   * there is no other. */
  std::optional<EndpointId> Choose(TimePoint aNow, const Wanted& aWanted) const;

  const KnownRunner* Find(const EndpointId& aRunner) const;
  const std::map<EndpointId, KnownRunner>& runners() const { return mRunners; }

private:
  bool IsGone(TimePoint aNow, const KnownRunner& aRunner) const;

  std::map<EndpointId, KnownRunner> mRunners;
  std::optional<TimePoint> mRegainedAt{ TimePoint{} }; ///< Empty while the store is away.
};

} // namespace rhubarbtrail::fleet

#endif

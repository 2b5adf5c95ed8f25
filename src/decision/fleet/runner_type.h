/* What a runner says of itself: its entry in the platform's list, and its report. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_RUNNER_TYPE_H
#define RHUBARBTRAIL_DECISION_FLEET_RUNNER_TYPE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace rhubarbtrail::fleet {

/* A model with one of its adapters; without an adapter, the model itself. */
struct ModelRef
{
  ModelId model;
  AdapterId adapter;

  auto operator<=>(const ModelRef&) const = default;
  bool operator==(const ModelRef&) const = default;
};

/* What a runner holds and has copies of. */
struct RunnerHoldings
{
  std::map<ModelId, std::set<AdapterId>> models;
  std::set<ModelRef> arriving; ///< Adapters on their way to the runner.
  std::set<ModelId> inHostMemory;
  std::set<ModelId> onDisk;

  bool operator==(const RunnerHoldings&) const = default;
};

enum class RunnerState : std::uint8_t
{
  kReady,
  kDraining,
};

/* The entry by which a runner announces itself. */
struct RunnerEntry
{
  EndpointId id;
  ServiceId service;
  ZoneId zone;
  std::string address;
  std::uint32_t slots = 1;
  RunnerState state = RunnerState::kReady;
  std::optional<Duration> leavesIn; ///< Time until the runner is gone, whatever it runs.
  std::int64_t startedAtMs = 0;     ///< Unix time of its start; tells one life from the next.
  RunnerHoldings holdings;

  bool operator==(const RunnerEntry&) const = default;
};

/* The answer to a question about a runner's state; some hundred milliseconds old. */
struct RunnerReport
{
  bool isBusy = false;          ///< An order about a model is being carried out.
  std::uint64_t orderCount = 0; ///< Orders that it has accepted since it started.
  std::int64_t startedAtMs = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  RunnerState state = RunnerState::kReady;
  RunnerHoldings holdings;
};

/* The load that an endpoint states with an answer. */
struct StatedLoad
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

} // namespace rhubarbtrail::fleet

#endif

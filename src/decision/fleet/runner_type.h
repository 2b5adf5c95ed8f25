/* The state that a runner publishes: its entry in the platform's runner table and its reports. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_RUNNER_TYPE_H
#define RHUBARBTRAIL_DECISION_FLEET_RUNNER_TYPE_H

#include "core/id_type.h"
#include "core/unit_type.h"
#include "decision/fleet/loaded_models.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rhubarbtrail::fleet {

/* A model with one of its adapters, or the model itself when the adapter is empty. */
struct ModelRef
{
  ModelId model;
  AdapterId adapter;

  auto operator<=>(const ModelRef&) const = default;
  bool operator==(const ModelRef&) const = default;
};

/* The name of an adapter that is being loaded: MODEL/ADAPTER. */
using LoadingAdapterId = Id<struct LoadingAdapterTag>;

LoadingAdapterId LoadingAdapterOf(const ModelRef& aModel);
/* Returns the model and the adapter, which the first slash of the name separates. */
ModelRef ModelRefOf(const LoadingAdapterId& aAdapter);

/* The models and adapters that a runner states to have loaded, and its other copies of model
 * weights. Nothing limits the lists but the size of the row or report, and the names may be
 * unknown. So they are kept packed, and all copies share them. */
struct RunnerHoldings
{
  LoadedModels models;                       ///< With their loaded adapters.
  NameSet<LoadingAdapterId> loadingAdapters; ///< Adapters that are being loaded.
  NameSet<ModelId> inHostMemory;
  NameSet<ModelId> onDisk;

  /* Returns the bytes that this takes on the heap, shared or not. */
  std::size_t heapBytes() const;

  bool operator==(const RunnerHoldings&) const = default;
};

enum class RunnerState : std::uint8_t
{
  kReady,
  kDraining,
};

/* The row by which a runner announces itself. Endpoints that load no models have one, too. */
struct RunnerEntry
{
  EndpointId id;
  ServiceId service;
  ZoneId zone;
  std::string address;
  SoftwareVersion softwareVersion; ///< Not of the weights. Versions have no order.
  std::uint32_t slots = 1;
  RunnerState state = RunnerState::kReady;
  /* Time until the runner stops, even if it still runs requests. */
  std::optional<Duration> timeUntilStop;
  /* Unix time of the runner's start. A changed value means that it restarted. */
  std::int64_t startedAtMs = 0;
  /* Number of this write of the entry, which the process counts from its start. It orders the
   * entries of one process. 0 if it is not stated. */
  std::uint64_t writeNumber = 0;
  RunnerHoldings holdings;

  bool operator==(const RunnerEntry&) const = default;
};

/* A runner's answer about its state. The state may be some hundred milliseconds old. */
struct RunnerReport
{
  bool isBusy = false;          ///< The runner is carrying out an order to load or unload a model.
  std::uint64_t orderCount = 0; ///< Orders that the runner has accepted since it started.
  std::int64_t startedAtMs = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  RunnerState state = RunnerState::kReady;
  RunnerHoldings holdings;
};

/* The load that an endpoint reports in the header of an answer. */
struct EndpointLoad
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  std::optional<Slowness> slowness; ///< Set if the endpoint states it.
};

} // namespace rhubarbtrail::fleet

#endif

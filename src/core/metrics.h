/* Counters and request latencies of a daemon, in the text exposition format of Prometheus. */
#ifndef RHUBARBTRAIL_CORE_METRICS_H
#define RHUBARBTRAIL_CORE_METRICS_H

#include "core/id_type.h"
#include "core/result_code_type.h"
#include "core/unit_type.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbtrail {

/* Events that are counted, without further data. */
enum class Counter : std::uint8_t
{
  kAttempts,
  kRetries,
  kModelLoads,
  kModelUnloads,
  kAdapterLoads,
  kReports,
  kTableReads,
  kTableTransactions,
  kHandlerExceptions,
  kCount, ///< Number of the counters above.
};

/* A request that has ended, with its result and its latency. */
struct RequestSample
{
  ResultCode code = ResultCode::kOk;
  ClassId requestClass;
  Duration latency{};
};

/* A value that the caller of ToText() supplies. */
struct Gauge
{
  std::string name;
  std::string help;
  std::uint64_t value = 0;
};

/* Collects metrics of many threads. To keep lock contention low, each thread adds its samples to
 * one of several stripes, each with its own lock. Collect() and ToText() move the samples to the
 * accumulators. */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /* Adds 1 to a counter. */
  void Count(Counter aCounter)
  {
    mCounters[static_cast<std::size_t>(aCounter)].fetch_add(1, std::memory_order_relaxed);
  }

  /* Adds the sample of a finished request, or drops it if its stripe is full. */
  void Record(RequestSample aSample);

  /* Moves the samples from the stripes to the accumulators. */
  void Collect();

  /* Collects the samples and returns all metrics and the given gauges as text. */
  std::string ToText(const std::vector<Gauge>& aGauges);

private:
  static constexpr std::size_t kStripeCount = 16;
  struct Stripe
  {
    std::mutex mutex;
    std::vector<RequestSample> samples;
    std::uint64_t droppedSamples = 0; ///< Samples beyond the limit since the last collection.
  };
  struct LatencySeries;

  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::kCount)> mCounters{};
  std::array<Stripe, kStripeCount> mStripes;
  std::mutex mMutex; ///< Guards the members below. Request threads never lock it.
  std::map<std::pair<ResultCode, ClassId>, std::uint64_t> mRequestCounts;
  std::map<ClassId, std::unique_ptr<LatencySeries>> mLatencies;
  std::uint64_t mDroppedSamples = 0;
};

} // namespace rhubarbtrail

#endif

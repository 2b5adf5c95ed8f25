/* Counters and latency quantiles of a daemon, written in the plain text exposition format. */
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

/* Events that are only counted. */
enum class Counter : std::uint8_t
{
  kAttempts,
  kRetries,
  kModelLoads,
  kModelUnloads,
  kAdapterLoads,
  kTableReads,
  kTableTransactions,
  kCount,
};

/* A finished request. */
struct RequestSample
{
  ResultCode code = ResultCode::kOk;
  ClassId requestClass;
  Duration latency{};
};

/* A value read when the metrics are written. */
struct Gauge
{
  std::string name;
  std::string help;
  std::uint64_t value = 0;
};

/* Request threads write to one of several stripes, each with a lock of its own; the samples are
 * moved to the accumulators by whoever collects or writes the metrics. */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Count(Counter aCounter)
  {
    mCounters[static_cast<std::size_t>(aCounter)].fetch_add(1, std::memory_order_relaxed);
  }

  /* Notes a finished request. */
  void Note(RequestSample aSample);

  /* Moves the samples noted so far to the accumulators. */
  void Collect();

  /* Returns all metrics as text. */
  std::string ToText(const std::vector<Gauge>& aGauges);

private:
  static constexpr std::size_t kStripes = 16;
  struct Stripe
  {
    std::mutex mutex;
    std::vector<RequestSample> samples;
    std::uint64_t dropped = 0; ///< Samples beyond the bound since the last collection.
  };
  struct Series;

  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::kCount)> mCounters{};
  std::array<Stripe, kStripes> mStripes;
  std::mutex mMutex; ///< Guards the members below; never taken by a request.
  std::map<std::pair<ResultCode, ClassId>, std::uint64_t> mRequests;
  std::map<ClassId, std::unique_ptr<Series>> mLatencies;
  std::uint64_t mDropped = 0;
};

} // namespace rhubarbtrail

#endif

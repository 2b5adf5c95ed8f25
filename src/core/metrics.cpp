/* Counters and latencies: quantiles by Boost.Accumulators, buckets by Boost.Histogram. */
#include "core/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <functional>
#include <sstream>
#include <string_view>
#include <thread>

namespace rhubarbtrail {

namespace {

namespace accumulators = boost::accumulators;
using Quantile =
  accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::p_square_quantile>>;
using Total = accumulators::
  accumulator_set<double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum>>;

/* Largest number of samples that a stripe holds between two collections. More are dropped. */
constexpr std::size_t kMaxSamplesPerStripe = 8'192;
constexpr std::array kQuantiles{ 0.5, 0.95, 0.99 };

/* Bounds of the latency buckets in seconds. They range from the latency of a plain call to beyond
 * the default deadline of 30 s. Longer latencies count only in the bucket "+Inf". */
using LatencyAxis = boost::histogram::axis::variable<double>;
const LatencyAxis kLatencyAxis{ 0.0, 0.005, 0.01, 0.025, 0.05, 0.1,  0.25,
                                0.5, 1.0,   2.5,  5.0,   10.0, 20.0, 60.0 };
using LatencyHistogram = decltype(boost::histogram::make_histogram(kLatencyAxis));

/* Name and help text of a counter. */
struct CounterInfo
{
  std::string_view name;
  std::string_view help;
};

constexpr std::array<CounterInfo, static_cast<std::size_t>(Counter::kCount)> kCounterInfos{
  CounterInfo{ "attempts_total", "Attempts of requests at endpoints." },
  CounterInfo{ "retries_total", "Attempts after the first one." },
  CounterInfo{ "model_loads_total", "Orders to load a model." },
  CounterInfo{ "model_unloads_total", "Orders to unload a model." },
  CounterInfo{ "adapter_loads_total", "Orders to load an adapter." },
  CounterInfo{ "reports_total", "Calls to runners for reports." },
  CounterInfo{ "table_reads_total", "Reads of the table service." },
  CounterInfo{ "table_transactions_total", "Transactions at the table service." },
  CounterInfo{ "handler_exceptions_total", "Handlers of events that ended with an exception." },
};

/* Writes the HELP and TYPE lines of a metric. */
void WriteMetricHeader(std::ostringstream& aText,
                       std::string_view aName,
                       std::string_view aType,
                       std::string_view aHelp)
{
  aText << "# HELP rhubarbtrail_" << aName << " " << aHelp << "\n# TYPE rhubarbtrail_" << aName
        << " " << aType << "\n";
}

} // namespace

/* The latency statistics of one request class. */
struct Metrics::LatencySeries
{
  void Add(Duration aLatency)
  {
    const double seconds = std::chrono::duration<double>(aLatency).count();
    total(seconds);
    histogram(seconds);
    for (Quantile& quantile : quantiles) {
      quantile(seconds);
    }
  }

  Total total;
  LatencyHistogram histogram = boost::histogram::make_histogram(kLatencyAxis);
  std::array<Quantile, kQuantiles.size()> quantiles{
    Quantile{ accumulators::quantile_probability = kQuantiles[0] },
    Quantile{ accumulators::quantile_probability = kQuantiles[1] },
    Quantile{ accumulators::quantile_probability = kQuantiles[2] }
  };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Record(RequestSample aSample)
{
  const std::size_t hash = std::hash<std::thread::id>{}(std::this_thread::get_id());
  Stripe& stripe = mStripes[hash % kStripeCount];
  const std::lock_guard lock(stripe.mutex);
  if (stripe.samples.size() >= kMaxSamplesPerStripe) {
    ++stripe.droppedSamples;
    return;
  }
  stripe.samples.push_back(std::move(aSample));
}

void Metrics::Collect()
{
  const std::lock_guard lock(mMutex);
  for (Stripe& stripe : mStripes) {
    std::vector<RequestSample> samples;
    {
      const std::lock_guard stripeLock(stripe.mutex);
      samples.swap(stripe.samples);
      mDroppedSamples += std::exchange(stripe.droppedSamples, 0);
    }
    for (const RequestSample& sample : samples) {
      ++mRequestCounts[{ sample.code, sample.requestClass }];
      auto& series = mLatencies[sample.requestClass];
      if (series == nullptr) {
        series = std::make_unique<LatencySeries>();
      }
      series->Add(sample.latency);
    }
  }
}

std::string Metrics::ToText(const std::vector<Gauge>& aGauges)
{
  Collect();
  const std::lock_guard lock(mMutex);
  std::ostringstream text;
  WriteMetricHeader(
    text, "requests_total", "counter", "Finished requests by result code and class.");
  for (const auto& [key, count] : mRequestCounts) {
    text << "rhubarbtrail_requests_total{code=\"" << static_cast<int>(key.first) << "\",name=\""
         << Describe(key.first).name << "\",class=\"" << key.second.str() << "\"} " << count
         << "\n";
  }
  WriteMetricHeader(
    text, "request_seconds", "summary", "Time from arrival to the end of the answer.");
  for (const auto& [requestClass, series] : mLatencies) {
    const std::string label = "{class=\"" + requestClass.str() + "\"";
    for (std::size_t index = 0; index < kQuantiles.size(); ++index) {
      text << "rhubarbtrail_request_seconds" << label << ",quantile=\"" << kQuantiles[index]
           << "\"} " << accumulators::p_square_quantile(series->quantiles[index]) << "\n";
    }
    text << "rhubarbtrail_request_seconds_sum" << label << "} " << accumulators::sum(series->total)
         << "\nrhubarbtrail_request_seconds_count" << label << "} "
         << accumulators::count(series->total) << "\n";
  }
  WriteMetricHeader(text, "request_latency_seconds", "histogram", "The same times in buckets.");
  for (const auto& [requestClass, series] : mLatencies) {
    const std::string name = "rhubarbtrail_request_latency_seconds";
    const std::string label = "{class=\"" + requestClass.str() + "\"";
    double cumulativeCount = 0.0;
    for (const auto& bucket : boost::histogram::indexed(series->histogram)) {
      cumulativeCount += *bucket;
      text << name << "_bucket" << label << ",le=\"" << bucket.bin().upper() << "\"} "
           << cumulativeCount << "\n";
    }
    const auto count = accumulators::count(series->total);
    text << name << "_bucket" << label << ",le=\"+Inf\"} " << count << "\n"
         << name << "_sum" << label << "} " << accumulators::sum(series->total) << "\n"
         << name << "_count" << label << "} " << count << "\n";
  }
  WriteMetricHeader(text, "samples_dropped_total", "counter", "Requests that were not measured.");
  text << "rhubarbtrail_samples_dropped_total " << mDroppedSamples << "\n";
  for (std::size_t index = 0; index < kCounterInfos.size(); ++index) {
    WriteMetricHeader(text, kCounterInfos[index].name, "counter", kCounterInfos[index].help);
    text << "rhubarbtrail_" << kCounterInfos[index].name << " " << mCounters[index] << "\n";
  }
  for (const Gauge& gauge : aGauges) {
    WriteMetricHeader(text, gauge.name, "gauge", gauge.help);
    text << "rhubarbtrail_" << gauge.name << " " << gauge.value << "\n";
  }
  return text.str();
}

} // namespace rhubarbtrail

/* Compares two configurations part by part and field by field. */
#include "config/configuration_diff.h"

#include "core/overloaded.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace rhubarbtrail {

namespace {

/* The values of one part as texts, by field name. */
using Fields = std::map<std::string, std::string>;
/* The parts of a configuration, by path, such as "models.NAME". */
using Parts = std::map<std::string, Fields>;

std::string FormatMilliseconds(Duration aDuration)
{
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

std::string FormatNumber(double aNumber)
{
  std::ostringstream text;
  text << aNumber;
  return text.str();
}

template<typename Ids>
std::string JoinIds(const Ids& aIds)
{
  std::string text;
  for (const auto& id : aIds) {
    text += (text.empty() ? "" : ", ") + id.str();
  }
  return "[" + text + "]";
}

void AddKeepAlive(Fields& aFields, const KeepAlivePolicy& aPolicy)
{
  std::visit(
    Overloaded{ [&](const FixedKeepAlive& aFixed) {
                 aFields["keep_alive.policy"] = "fixed";
                 aFields["keep_alive.idle_limit_ms"] = FormatMilliseconds(aFixed.idleLimit);
               },
                [&](const HistogramKeepAlive& aHistogram) {
                  aFields["keep_alive.policy"] = "histogram";
                  aFields["keep_alive.percentile"] = std::to_string(aHistogram.percentile);
                  aFields["keep_alive.minimum_ms"] = FormatMilliseconds(aHistogram.minimum);
                  aFields["keep_alive.maximum_ms"] = FormatMilliseconds(aHistogram.maximum);
                },
                [&](const CostAwareKeepAlive& aCost) {
                  aFields["keep_alive.policy"] = "cost_aware";
                  aFields["keep_alive.cold_start_weight"] = FormatNumber(aCost.coldStartWeight);
                } },
    aPolicy);
}

Fields ToFields(const ServiceSpec& aService)
{
  Fields fields{ { "endpoint_concurrency", std::to_string(aService.endpointConcurrency) },
                 { "drained", JoinIds(aService.drained) } };
  if (aService.kind == ServiceKind::kPlain) {
    fields["kind"] = "plain";
    for (const RouteSpec& route : aService.routes) {
      fields["routes"] += (fields["routes"].empty() ? "" : ", ") +
                          (route.method.empty() ? "any" : route.method) + " " + route.pathPrefix +
                          " as " + route.requestClass.str();
    }
    return fields;
  }
  fields["kind"] = "models";
  fields["orders"] = aService.orderCheck == OrderCheck::kChecked ? "checked" : "unchecked";
  fields["runner_memory_mb"] = std::to_string(aService.runnerMemory.value);
  fields["kv_cache_reserve_mb"] = std::to_string(aService.kvCacheReserve.value);
  fields["store.concurrent_loads"] = std::to_string(aService.store.concurrentLoads);
  fields["store.loads_per_second"] = FormatNumber(aService.store.loadsPerSecond);
  fields["store.adapters_in_transit"] = std::to_string(aService.store.adaptersInTransit);
  AddKeepAlive(fields, aService.keepAlive);
  return fields;
}

Fields ToFields(const ModelSpec& aModel)
{
  return { { "service", aModel.service.str() },
           { "version", aModel.version },
           { "memory_mb", std::to_string(aModel.memory.value) },
           { "expected_load_ms", FormatMilliseconds(aModel.expectedLoad) },
           { "max_replicas", std::to_string(aModel.maxReplicas) } };
}

Fields ToFields(const ClassSpec& aClass)
{
  return { { "priority", std::to_string(aClass.priority) },
           { "deadline_ms", FormatMilliseconds(aClass.deadline) },
           { "repeat", aClass.repeatability == Repeatability::kAtMostOnce ? "never" : "allowed" } };
}

Fields ToFields(const CustomerSpec& aCustomer)
{
  auto hashes = aCustomer.keyHashes;
  std::sort(hashes.begin(), hashes.end());
  std::string keys;
  constexpr std::size_t kShownHashDigits = 12;
  for (const std::string& hash : hashes) {
    keys += (keys.empty() ? "" : ", ") + hash.substr(0, kShownHashDigits);
  }
  return { { "key_hashes", "[" + keys + "]" },
           { "models", aCustomer.allModels ? "all" : JoinIds(aCustomer.models) },
           { "services", JoinIds(aCustomer.services) },
           { "weight", std::to_string(aCustomer.weight) },
           { "queue_limit", std::to_string(aCustomer.queueLimit) } };
}

Parts ToParts(const Configuration& aConfiguration)
{
  Parts parts;
  for (const auto& [id, service] : aConfiguration.services) {
    parts["services." + id.str()] = ToFields(service);
  }
  for (const auto& [id, model] : aConfiguration.models) {
    const std::string path = "models." + id.str();
    parts[path] = ToFields(model);
    for (const auto& [adapterId, adapter] : model.adapters) {
      parts[path + ".adapters." + adapterId.str()] = { { "memory_mb",
                                                         std::to_string(adapter.memory.value) } };
    }
  }
  for (const auto& [id, requestClass] : aConfiguration.classes) {
    parts["classes." + id.str()] = ToFields(requestClass);
  }
  for (const auto& [id, customer] : aConfiguration.customers) {
    parts["customers." + id.str()] = ToFields(customer);
  }
  return parts;
}

/* Appends a change for each field whose values differ. A field that one side lacks has the value
 * "none" there. */
void DiffFields(const std::string& aPath,
                const Fields& aBefore,
                const Fields& aAfter,
                std::vector<ConfigurationChange>& aOut)
{
  Fields allFields = aBefore;
  allFields.insert(aAfter.begin(), aAfter.end());
  const auto valueIn = [](const Fields& aFields, const std::string& aName) {
    const auto found = aFields.find(aName);
    return found == aFields.end() ? std::string{ "none" } : found->second;
  };
  for (const auto& [name, value] : allFields) {
    const std::string before = valueIn(aBefore, name);
    const std::string after = valueIn(aAfter, name);
    if (before != after) {
      aOut.push_back({ ChangeKind::kChanged, aPath + "." + name, before, after });
    }
  }
}

} // namespace

std::vector<ConfigurationChange> DiffConfigurations(const Configuration& aBefore,
                                                    const Configuration& aAfter)
{
  const Parts before = ToParts(aBefore);
  const Parts after = ToParts(aAfter);
  std::vector<ConfigurationChange> changes;
  for (const auto& [path, fields] : before) {
    const auto found = after.find(path);
    if (found == after.end()) {
      changes.push_back({ ChangeKind::kRemoved, path, {}, {} });
      continue;
    }
    DiffFields(path, fields, found->second, changes);
  }
  for (const auto& [path, fields] : after) {
    if (!before.contains(path)) {
      changes.push_back({ ChangeKind::kAdded, path, {}, {} });
    }
  }
  std::stable_sort(changes.begin(), changes.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.path < aRight.path;
  });
  return changes;
}

std::string_view ToString(ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
  }
  return "unknown";
}

std::string ToText(const ConfigurationChange& aChange)
{
  std::string text{ ToString(aChange.kind) };
  text += " " + aChange.path;
  if (aChange.kind == ChangeKind::kChanged) {
    text += ": " + aChange.before + " -> " + aChange.after;
  }
  return text;
}

} // namespace rhubarbtrail

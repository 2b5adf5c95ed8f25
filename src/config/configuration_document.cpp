/* Reads the operators' YAML document. */
#include "config/configuration_document.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <functional>
#include <optional>

namespace rhubarbtrail {

namespace {

/* Collects faults while a document is read. */
class Reader
{
public:
  void Fail(const YAML::Node& aNode, const std::string& aPath, std::string aReason)
  {
    mErrors.push_back({ aNode.IsDefined() ? aNode.Mark().line + 1 : 0, aPath, std::move(aReason) });
  }

  /* Visits the members of a mapping; a member without a handler is a fault. */
  void Members(
    const YAML::Node& aNode,
    const std::string& aPath,
    const std::map<std::string, std::function<void(const YAML::Node&, const std::string&)>>&
      aHandlers)
  {
    if (!aNode.IsMap()) {
      Fail(aNode, aPath, "must be a mapping");
      return;
    }
    std::set<std::string> seen;
    for (const auto& item : aNode) {
      const auto name = item.first.Scalar();
      const std::string path = aPath.empty() ? name : aPath + "." + name;
      const auto handler = aHandlers.find(name);
      if (handler == aHandlers.end()) {
        Fail(item.first, path, "unknown key");
      } else if (!seen.insert(name).second) {
        Fail(item.first, path, "appears twice");
      } else {
        handler->second(item.second, path);
      }
    }
  }

  /* Visits the entries of a mapping from names to values. */
  void Entries(
    const YAML::Node& aNode,
    const std::string& aPath,
    const std::function<void(const std::string&, const YAML::Node&, const std::string&)>& aHandler)
  {
    if (!aNode.IsMap()) {
      Fail(aNode, aPath, "must be a mapping from names to values");
      return;
    }
    std::set<std::string> seen;
    for (const auto& item : aNode) {
      const auto name = item.first.Scalar();
      const std::string path = aPath + "." + name;
      if (name.empty() || name.size() > 128 || name.find('/') != std::string::npos) {
        Fail(item.first, path, "names have 1 to 128 characters and no slash");
      } else if (!seen.insert(name).second) {
        Fail(item.first, path, "appears twice");
      } else {
        aHandler(name, item.second, path);
      }
    }
  }

  template<typename Number>
  void ReadNumber(const YAML::Node& aNode,
                  const std::string& aPath,
                  Number aLow,
                  Number aHigh,
                  Number& aOut)
  {
    Number value{};
    if (!aNode.IsScalar() || !YAML::convert<Number>::decode(aNode, value)) {
      Fail(aNode, aPath, "must be a number");
      return;
    }
    if (value < aLow || value > aHigh) {
      Fail(aNode, aPath, "is out of range");
      return;
    }
    aOut = value;
  }

  void ReadMilliseconds(const YAML::Node& aNode, const std::string& aPath, Duration& aOut)
  {
    std::int64_t value = 0;
    const std::size_t before = mErrors.size();
    ReadNumber<std::int64_t>(aNode, aPath, 1, 86'400'000, value);
    if (mErrors.size() == before) {
      aOut = std::chrono::milliseconds{ value };
    }
  }

  void ReadMemory(const YAML::Node& aNode, const std::string& aPath, MemoryMb& aOut)
  {
    ReadNumber<std::int64_t>(aNode, aPath, 1, 10'000'000, aOut.value);
  }

  void ReadText(const YAML::Node& aNode, const std::string& aPath, std::string& aOut)
  {
    if (!aNode.IsScalar() || aNode.Scalar().empty()) {
      Fail(aNode, aPath, "must be a text");
      return;
    }
    aOut = aNode.Scalar();
  }

  template<typename Enum>
  void ReadWord(const YAML::Node& aNode,
                const std::string& aPath,
                const std::map<std::string, Enum>& aWords,
                Enum& aOut)
  {
    const auto found = aNode.IsScalar() ? aWords.find(aNode.Scalar()) : aWords.end();
    if (found == aWords.end()) {
      std::string words;
      for (const auto& [word, value] : aWords) {
        words += (words.empty() ? "" : ", ") + word;
      }
      Fail(aNode, aPath, "must be one of: " + words);
      return;
    }
    aOut = found->second;
  }

  template<typename Item>
  void ReadList(const YAML::Node& aNode,
                const std::string& aPath,
                const std::function<void(Item)>& aAdd)
  {
    if (!aNode.IsSequence()) {
      Fail(aNode, aPath, "must be a list");
      return;
    }
    for (const auto& item : aNode) {
      std::string text;
      ReadText(item, aPath, text);
      if (!text.empty()) {
        aAdd(Item{ text });
      }
    }
  }

  std::vector<DocumentError> TakeErrors() { return std::move(mErrors); }

private:
  std::vector<DocumentError> mErrors;
};

using NodeRef = const YAML::Node&;
using PathRef = const std::string&;

void ReadKeepAlive(Reader& aReader, NodeRef aNode, PathRef aPath, KeepAlivePolicy& aOut)
{
  enum class Kind : std::uint8_t
  {
    kFixed,
    kHistogram,
    kCostAware
  };
  auto kind = Kind::kFixed;
  FixedKeepAlive fixed;
  HistogramKeepAlive histogram;
  CostAwareKeepAlive costAware;
  aReader.Members(aNode,
                  aPath,
                  { { "policy",
                      [&](NodeRef aValue, PathRef aAt) {
                        aReader.ReadWord<Kind>(aValue,
                                               aAt,
                                               { { "fixed", Kind::kFixed },
                                                 { "histogram", Kind::kHistogram },
                                                 { "cost_aware", Kind::kCostAware } },
                                               kind);
                      } },
                    { "idle_limit_ms",
                      [&](NodeRef aValue, PathRef aAt) {
                        aReader.ReadMilliseconds(aValue, aAt, fixed.idleLimit);
                      } },
                    { "percentile",
                      [&](NodeRef aValue, PathRef aAt) {
                        aReader.ReadNumber<std::uint32_t>(aValue, aAt, 1, 99, histogram.percentile);
                      } },
                    { "minimum_ms",
                      [&](NodeRef aValue, PathRef aAt) {
                        aReader.ReadMilliseconds(aValue, aAt, histogram.minimum);
                      } },
                    { "maximum_ms",
                      [&](NodeRef aValue, PathRef aAt) {
                        aReader.ReadMilliseconds(aValue, aAt, histogram.maximum);
                      } },
                    { "cold_start_weight", [&](NodeRef aValue, PathRef aAt) {
                       aReader.ReadNumber<double>(
                         aValue, aAt, 0.001, 1'000.0, costAware.coldStartWeight);
                     } } });
  if (histogram.minimum > histogram.maximum) {
    aReader.Fail(aNode, aPath, "minimum_ms is larger than maximum_ms");
  }
  switch (kind) {
    case Kind::kFixed:
      aOut = fixed;
      return;
    case Kind::kHistogram:
      aOut = histogram;
      return;
    case Kind::kCostAware:
      aOut = costAware;
      return;
  }
}

void ReadStore(Reader& aReader, NodeRef aNode, PathRef aPath, StoreLimits& aOut)
{
  aReader.Members(
    aNode,
    aPath,
    { { "concurrent_loads",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadNumber<std::uint32_t>(aValue, aAt, 1, 1'000, aOut.concurrentLoads);
        } },
      { "loads_per_second",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadNumber<double>(aValue, aAt, 0.01, 1'000.0, aOut.loadsPerSecond);
        } },
      { "adapters_in_transit", [&](NodeRef aValue, PathRef aAt) {
         aReader.ReadNumber<std::uint32_t>(aValue, aAt, 1, 1'000, aOut.adaptersInTransit);
       } } });
}

void ReadRoutes(Reader& aReader, NodeRef aNode, PathRef aPath, std::vector<RouteSpec>& aOut)
{
  if (!aNode.IsSequence()) {
    aReader.Fail(aNode, aPath, "must be a list");
    return;
  }
  for (const auto& item : aNode) {
    RouteSpec route;
    std::string requestClass;
    aReader.Members(
      item,
      aPath,
      { { "method",
          [&](NodeRef aValue, PathRef aAt) { aReader.ReadText(aValue, aAt, route.method); } },
        { "path",
          [&](NodeRef aValue, PathRef aAt) { aReader.ReadText(aValue, aAt, route.pathPrefix); } },
        { "class",
          [&](NodeRef aValue, PathRef aAt) { aReader.ReadText(aValue, aAt, requestClass); } } });
    route.requestClass = ClassId{ requestClass };
    if (!route.pathPrefix.starts_with('/')) {
      aReader.Fail(item, aPath, "a route's path starts with a slash");
    }
    aOut.push_back(std::move(route));
  }
}

void ReadService(Reader& aReader, NodeRef aNode, PathRef aPath, ServiceSpec& aOut)
{
  aReader.Members(
    aNode,
    aPath,
    { { "kind",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadWord<ServiceKind>(
            aValue,
            aAt,
            { { "models", ServiceKind::kModels }, { "plain", ServiceKind::kPlain } },
            aOut.kind);
        } },
      { "orders",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadWord<OrderCheck>(
            aValue,
            aAt,
            { { "checked", OrderCheck::kChecked }, { "unchecked", OrderCheck::kUnchecked } },
            aOut.orderCheck);
        } },
      { "endpoint_concurrency",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadNumber<std::uint32_t>(aValue, aAt, 1, 10'000, aOut.endpointConcurrency);
        } },
      { "runner_memory_mb",
        [&](NodeRef aValue, PathRef aAt) { aReader.ReadMemory(aValue, aAt, aOut.runnerMemory); } },
      { "kv_cache_reserve_mb",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadMemory(aValue, aAt, aOut.kvCacheReserve);
        } },
      { "routes",
        [&](NodeRef aValue, PathRef aAt) { ReadRoutes(aReader, aValue, aAt, aOut.routes); } },
      { "store",
        [&](NodeRef aValue, PathRef aAt) { ReadStore(aReader, aValue, aAt, aOut.store); } },
      { "keep_alive", [&](NodeRef aValue, PathRef aAt) {
         ReadKeepAlive(aReader, aValue, aAt, aOut.keepAlive);
       } } });
}

void ReadModel(Reader& aReader, NodeRef aNode, PathRef aPath, ModelSpec& aOut)
{
  std::string service;
  aReader.Members(
    aNode,
    aPath,
    { { "service", [&](NodeRef aValue, PathRef aAt) { aReader.ReadText(aValue, aAt, service); } },
      { "version",
        [&](NodeRef aValue, PathRef aAt) { aReader.ReadText(aValue, aAt, aOut.version); } },
      { "memory_mb",
        [&](NodeRef aValue, PathRef aAt) { aReader.ReadMemory(aValue, aAt, aOut.memory); } },
      { "expected_load_ms",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadMilliseconds(aValue, aAt, aOut.expectedLoad);
        } },
      { "max_replicas",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadNumber<std::uint32_t>(aValue, aAt, 1, 1'000, aOut.maxReplicas);
        } },
      { "adapters", [&](NodeRef aValue, PathRef aAt) {
         aReader.Entries(aValue, aAt, [&](PathRef aName, NodeRef aAdapter, PathRef aAdapterPath) {
           AdapterSpec adapter{ .id = AdapterId{ aName }, .memory = { 1 } };
           aReader.Members(
             aAdapter, aAdapterPath, { { "memory_mb", [&](NodeRef aMemory, PathRef aMemoryPath) {
                                          aReader.ReadMemory(aMemory, aMemoryPath, adapter.memory);
                                        } } });
           aOut.adapters[adapter.id] = adapter;
         });
       } } });
  aOut.service = ServiceId{ service };
  if (service.empty()) {
    aReader.Fail(aNode, aPath, "service is missing");
  }
  if (aOut.memory.value == 0) {
    aReader.Fail(aNode, aPath, "memory_mb is missing");
  }
}

void ReadClass(Reader& aReader, NodeRef aNode, PathRef aPath, ClassSpec& aOut)
{
  aReader.Members(aNode,
                  aPath,
                  { { "priority",
                      [&](NodeRef aValue, PathRef aAt) {
                        aReader.ReadNumber<std::uint32_t>(aValue, aAt, 0, 9, aOut.priority);
                      } },
                    { "deadline_ms",
                      [&](NodeRef aValue, PathRef aAt) {
                        aReader.ReadMilliseconds(aValue, aAt, aOut.deadline);
                      } },
                    { "repeat", [&](NodeRef aValue, PathRef aAt) {
                       aReader.ReadWord<Repeatability>(aValue,
                                                       aAt,
                                                       { { "allowed", Repeatability::kIdempotent },
                                                         { "never", Repeatability::kAtMostOnce } },
                                                       aOut.repeatability);
                     } } });
}

void ReadCustomer(Reader& aReader, NodeRef aNode, PathRef aPath, CustomerSpec& aOut)
{
  aReader.Members(
    aNode,
    aPath,
    { { "key_hashes",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadList<std::string>(aValue, aAt, [&](std::string aHash) {
            const bool isHash = aHash.size() == 64 &&
                                aHash.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (!isHash) {
              aReader.Fail(aValue, aAt, "a key hash is a SHA-256 in 64 lower-case hex digits");
            }
            aOut.keyHashes.push_back(std::move(aHash));
          });
        } },
      { "models",
        [&](NodeRef aValue, PathRef aAt) {
          if (aValue.IsScalar() && aValue.Scalar() == "all") {
            aOut.allModels = true;
            return;
          }
          aReader.ReadList<ModelId>(
            aValue, aAt, [&](ModelId aModel) { aOut.models.insert(std::move(aModel)); });
        } },
      { "services",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadList<ServiceId>(
            aValue, aAt, [&](ServiceId aService) { aOut.services.insert(std::move(aService)); });
        } },
      { "weight",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadNumber<std::uint32_t>(aValue, aAt, 1, 1'000, aOut.weight);
        } },
      { "queue_limit", [&](NodeRef aValue, PathRef aAt) {
         aReader.ReadNumber<std::uint32_t>(aValue, aAt, 1, 1'000'000, aOut.queueLimit);
       } } });
}

/* Checks references between the parts, and limits that contradict each other. */
void CheckReferences(Reader& aReader, NodeRef aRoot, const Configuration& aConfiguration)
{
  for (const auto& [id, model] : aConfiguration.models) {
    const std::string path = "models." + id.str();
    const YAML::Node node = aRoot["models"][id.str()];
    const auto service = aConfiguration.services.find(model.service);
    if (service == aConfiguration.services.end()) {
      aReader.Fail(node, path, "names the unknown service '" + model.service.str() + "'");
      continue;
    }
    if (service->second.kind != ServiceKind::kModels) {
      aReader.Fail(node, path, "names the plain service '" + model.service.str() + "'");
    }
    MemoryMb needed = model.memory;
    for (const auto& [adapterId, adapter] : model.adapters) {
      needed += adapter.memory;
    }
    if (needed + service->second.kvCacheReserve > service->second.runnerMemory) {
      aReader.Fail(node, path, "does not fit into a runner's memory with its adapters");
    }
  }
  for (const auto& [id, service] : aConfiguration.services) {
    for (const RouteSpec& route : service.routes) {
      if (!aConfiguration.classes.contains(route.requestClass)) {
        aReader.Fail(aRoot["services"][id.str()],
                     "services." + id.str() + ".routes",
                     "names the unknown class '" + route.requestClass.str() + "'");
      }
    }
  }
  std::map<std::string, CustomerId> owners;
  for (const auto& [id, customer] : aConfiguration.customers) {
    const std::string path = "customers." + id.str();
    const YAML::Node node = aRoot["customers"][id.str()];
    for (const ModelId& model : customer.models) {
      if (!aConfiguration.models.contains(model)) {
        aReader.Fail(node, path, "names the unknown model '" + model.str() + "'");
      }
    }
    for (const ServiceId& service : customer.services) {
      if (!aConfiguration.services.contains(service)) {
        aReader.Fail(node, path, "names the unknown service '" + service.str() + "'");
      }
    }
    for (const std::string& hash : customer.keyHashes) {
      if (!owners.emplace(hash, id).second) {
        aReader.Fail(node, path, "shares a key with customer '" + owners.at(hash).str() + "'");
      }
    }
  }
}

void ReadDocument(Reader& aReader, NodeRef aRoot, Configuration& aOut)
{
  aReader.Members(
    aRoot,
    "",
    { { "services",
        [&](NodeRef aNode, PathRef aPath) {
          aReader.Entries(aNode, aPath, [&](PathRef aName, NodeRef aEntry, PathRef aAt) {
            ServiceSpec& service = aOut.services[ServiceId{ aName }];
            service.id = ServiceId{ aName };
            ReadService(aReader, aEntry, aAt, service);
          });
        } },
      { "models",
        [&](NodeRef aNode, PathRef aPath) {
          aReader.Entries(aNode, aPath, [&](PathRef aName, NodeRef aEntry, PathRef aAt) {
            ModelSpec& model = aOut.models[ModelId{ aName }];
            model.id = ModelId{ aName };
            ReadModel(aReader, aEntry, aAt, model);
          });
        } },
      { "classes",
        [&](NodeRef aNode, PathRef aPath) {
          aReader.Entries(aNode, aPath, [&](PathRef aName, NodeRef aEntry, PathRef aAt) {
            ClassSpec& requestClass = aOut.classes[ClassId{ aName }];
            requestClass.id = ClassId{ aName };
            ReadClass(aReader, aEntry, aAt, requestClass);
          });
        } },
      { "customers", [&](NodeRef aNode, PathRef aPath) {
         aReader.Entries(aNode, aPath, [&](PathRef aName, NodeRef aEntry, PathRef aAt) {
           CustomerSpec& customer = aOut.customers[CustomerId{ aName }];
           customer.id = CustomerId{ aName };
           ReadCustomer(aReader, aEntry, aAt, customer);
         });
       } } });
  if (aOut.classes.empty()) {
    aReader.Fail(aRoot, "classes", "at least one request class is needed");
  }
  CheckReferences(aReader, aRoot, aOut);
}

} // namespace

tl::expected<Configuration, std::vector<DocumentError>> ParseConfiguration(
  const std::string& aDocument,
  ConfigVersion aVersion)
{
  Configuration configuration;
  configuration.version = aVersion;
  Reader reader;
  try {
    const YAML::Node root = YAML::Load(aDocument);
    ReadDocument(reader, root, configuration);
  } catch (const YAML::Exception& error) {
    return tl::make_unexpected(
      std::vector<DocumentError>{ { error.mark.line + 1, "", error.msg } });
  }
  auto errors = reader.TakeErrors();
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return configuration;
}

} // namespace rhubarbtrail

/* Converts the YAML document into a configuration. */
#include "config/configuration_document.h"

#include "config/configuration_check.h"
#include "config/document_reader.h"
#include "config/document_shape.h"

#include <algorithm>
#include <array>

namespace rhubarbtrail {

namespace {

using NodeRef = const YAML::Node&;
using PathRef = const std::string&;

enum class KeepAliveKind : std::uint8_t
{
  kFixed,
  kHistogram,
  kCostAware,
};

/* Reports parameters of other keep-alive policies than the chosen one. */
void RefuseForeign(DocumentReader& aReader, PathRef aPath, KeepAliveKind aKind)
{
  struct Parameter
  {
    const char* name;
    KeepAliveKind kind;
  };
  constexpr std::array kParameters{ Parameter{ "idle_limit_ms", KeepAliveKind::kFixed },
                                    Parameter{ "percentile", KeepAliveKind::kHistogram },
                                    Parameter{ "minimum_ms", KeepAliveKind::kHistogram },
                                    Parameter{ "maximum_ms", KeepAliveKind::kHistogram },
                                    Parameter{ "cold_start_weight", KeepAliveKind::kCostAware } };
  for (const Parameter& parameter : kParameters) {
    const std::string path = aPath + "." + parameter.name;
    if (parameter.kind != aKind && aReader.Has(path)) {
      aReader.FailAt(path, "belongs to another policy");
    }
  }
}

void ReadKeepAlive(DocumentReader& aReader, NodeRef aNode, PathRef aPath, KeepAlivePolicy& aOut)
{
  using Kind = KeepAliveKind;
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
    aReader.FailAt(aPath + ".minimum_ms", "minimum_ms is larger than maximum_ms");
  }
  RefuseForeign(aReader, aPath, kind);
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

void ReadStore(DocumentReader& aReader, NodeRef aNode, PathRef aPath, StoreLimits& aOut)
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

void ReadRoute(DocumentReader& aReader, NodeRef aNode, PathRef aPath, RouteSpec& aOut)
{
  std::string requestClass;
  aReader.Members(
    aNode,
    aPath,
    { { "method",
        [&](NodeRef aValue, PathRef aAt) {
          const std::map<std::string, std::string> methods{
            { "DELETE", "DELETE" }, { "GET", "GET" }, { "PATCH", "PATCH" },
            { "POST", "POST" },     { "PUT", "PUT" },
          };
          aReader.ReadWord<std::string>(aValue, aAt, methods, aOut.method);
        } },
      { "path",
        [&](NodeRef aValue, PathRef aAt) { aReader.ReadText(aValue, aAt, aOut.pathPrefix); } },
      { "class",
        [&](NodeRef aValue, PathRef aAt) { aReader.ReadText(aValue, aAt, requestClass); } } });
  aOut.requestClass = ClassId{ requestClass };
  for (const char* key : { "path", "class" }) {
    if (aNode.IsMap() && !aReader.Has(aPath + "." + key)) {
      aReader.FailAt(aPath + "." + key, "is missing");
    }
  }
  const bool isPath =
    aOut.pathPrefix.starts_with('/') && aOut.pathPrefix.find_first_of(" ?#") == std::string::npos;
  if (!aOut.pathPrefix.empty() && !isPath) {
    aReader.FailAt(aPath + ".path", "starts with a slash and has no blank, question mark or hash");
  }
}

void ReadRoutes(DocumentReader& aReader, NodeRef aNode, PathRef aPath, std::vector<RouteSpec>& aOut)
{
  aReader.Items(aNode, aPath, [&](NodeRef aItem, PathRef aAt) {
    ReadRoute(aReader, aItem, aAt, aOut.emplace_back());
  });
}

void ReadService(DocumentReader& aReader, NodeRef aNode, PathRef aPath, ServiceSpec& aOut)
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
      { "drained",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadList<EndpointId>(aValue, aAt, [&](EndpointId aEndpoint, PathRef) {
            aOut.drained.insert(std::move(aEndpoint));
          });
        } },
      { "store",
        [&](NodeRef aValue, PathRef aAt) { ReadStore(aReader, aValue, aAt, aOut.store); } },
      { "keep_alive", [&](NodeRef aValue, PathRef aAt) {
         ReadKeepAlive(aReader, aValue, aAt, aOut.keepAlive);
       } } });
}

void ReadModel(DocumentReader& aReader, NodeRef aNode, PathRef aPath, ModelSpec& aOut)
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
  for (const char* key : { "service", "memory_mb" }) {
    if (aNode.IsMap() && !aReader.Has(aPath + "." + key)) {
      aReader.FailAt(aPath + "." + key, "is missing");
    }
  }
}

void ReadClass(DocumentReader& aReader, NodeRef aNode, PathRef aPath, ClassSpec& aOut)
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

void ReadCustomer(DocumentReader& aReader, NodeRef aNode, PathRef aPath, CustomerSpec& aOut)
{
  aReader.Members(
    aNode,
    aPath,
    { { "key_hashes",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadList<std::string>(aValue, aAt, [&](std::string aHash, PathRef aItem) {
            const bool isHash = aHash.size() == 64 &&
                                aHash.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (!isHash) {
              aReader.FailAt(aItem, "a key hash is a SHA-256 in 64 lower-case hex digits");
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
            aValue, aAt, [&](ModelId aModel, PathRef) { aOut.models.insert(std::move(aModel)); });
        } },
      { "services",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadList<ServiceId>(aValue, aAt, [&](ServiceId aService, PathRef) {
            aOut.services.insert(std::move(aService));
          });
        } },
      { "weight",
        [&](NodeRef aValue, PathRef aAt) {
          aReader.ReadNumber<std::uint32_t>(aValue, aAt, 1, 1'000, aOut.weight);
        } },
      { "queue_limit", [&](NodeRef aValue, PathRef aAt) {
         aReader.ReadNumber<std::uint32_t>(aValue, aAt, 1, 1'000'000, aOut.queueLimit);
       } } });
}

void ReadDocument(DocumentReader& aReader, NodeRef aRoot, Configuration& aOut)
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
  CheckConfiguration(aReader, aOut);
}

} // namespace

tl::expected<Configuration, std::vector<DocumentError>> ParseConfiguration(
  const std::string& aDocument,
  ConfigVersion aVersion)
{
  Configuration configuration;
  configuration.version = aVersion;
  DocumentReader reader;
  try {
    if (auto faults = CheckShape(aDocument); !faults.empty()) {
      return tl::make_unexpected(std::move(faults));
    }
    ReadDocument(reader, YAML::Load(aDocument), configuration);
  } catch (const YAML::Exception& error) {
    return tl::make_unexpected(
      std::vector<DocumentError>{ { std::max(error.mark.line + 1, 1), "", error.msg } });
  }
  auto errors = reader.TakeErrors();
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return configuration;
}

} // namespace rhubarbtrail

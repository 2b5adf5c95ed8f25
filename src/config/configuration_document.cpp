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
void ReportParametersOfOtherPolicies(DocumentReader& aReader,
                                     PathRef aPath,
                                     KeepAliveKind aChosenKind)
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
    if (parameter.kind != aChosenKind && aReader.HasPath(path)) {
      aReader.AddErrorAt(path, "belongs to another policy");
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
  aReader.ReadMembers(
    aNode,
    aPath,
    { { "policy",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadChoice<Kind>(aValue,
                                   aValuePath,
                                   { { "fixed", Kind::kFixed },
                                     { "histogram", Kind::kHistogram },
                                     { "cost_aware", Kind::kCostAware } },
                                   kind);
        } },
      { "idle_limit_ms",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadMilliseconds(aValue, aValuePath, fixed.idleLimit);
        } },
      { "percentile",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadNumber<std::uint32_t>(aValue, aValuePath, 1, 99, histogram.percentile);
        } },
      { "minimum_ms",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadMilliseconds(aValue, aValuePath, histogram.minimum);
        } },
      { "maximum_ms",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadMilliseconds(aValue, aValuePath, histogram.maximum);
        } },
      { "cold_start_weight", [&](NodeRef aValue, PathRef aValuePath) {
         aReader.ReadNumber<double>(aValue, aValuePath, 0.001, 1'000.0, costAware.coldStartWeight);
       } } });
  if (histogram.minimum > histogram.maximum) {
    aReader.AddErrorAt(aPath + ".minimum_ms", "minimum_ms is larger than maximum_ms");
  }
  ReportParametersOfOtherPolicies(aReader, aPath, kind);
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
  aReader.ReadMembers(
    aNode,
    aPath,
    { { "concurrent_loads",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadNumber<std::uint32_t>(aValue, aValuePath, 1, 1'000, aOut.concurrentLoads);
        } },
      { "loads_per_second",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadNumber<double>(aValue, aValuePath, 0.01, 1'000.0, aOut.loadsPerSecond);
        } },
      { "adapters_in_transit", [&](NodeRef aValue, PathRef aValuePath) {
         aReader.ReadNumber<std::uint32_t>(aValue, aValuePath, 1, 1'000, aOut.adaptersInTransit);
       } } });
}

void ReadRoute(DocumentReader& aReader, NodeRef aNode, PathRef aPath, RouteSpec& aOut)
{
  std::string requestClass;
  aReader.ReadMembers(aNode,
                      aPath,
                      { { "method",
                          [&](NodeRef aValue, PathRef aValuePath) {
                            const std::map<std::string, std::string> methods{
                              { "DELETE", "DELETE" }, { "GET", "GET" }, { "PATCH", "PATCH" },
                              { "POST", "POST" },     { "PUT", "PUT" },
                            };
                            aReader.ReadChoice<std::string>(
                              aValue, aValuePath, methods, aOut.method);
                          } },
                        { "path",
                          [&](NodeRef aValue, PathRef aValuePath) {
                            aReader.ReadText(aValue, aValuePath, aOut.pathPrefix);
                          } },
                        { "class", [&](NodeRef aValue, PathRef aValuePath) {
                           aReader.ReadText(aValue, aValuePath, requestClass);
                         } } });
  aOut.requestClass = ClassId{ requestClass };
  for (const char* key : { "path", "class" }) {
    if (aNode.IsMap() && !aReader.HasPath(aPath + "." + key)) {
      aReader.AddErrorAt(aPath + "." + key, "is missing");
    }
  }
  const bool isValidPath =
    aOut.pathPrefix.starts_with('/') && aOut.pathPrefix.find_first_of(" ?#") == std::string::npos;
  if (!aOut.pathPrefix.empty() && !isValidPath) {
    aReader.AddErrorAt(aPath + ".path",
                       "starts with a slash and has no blank, question mark or hash");
  }
}

void ReadRoutes(DocumentReader& aReader, NodeRef aNode, PathRef aPath, std::vector<RouteSpec>& aOut)
{
  aReader.ReadItems(aNode, aPath, [&](NodeRef aItem, PathRef aItemPath) {
    ReadRoute(aReader, aItem, aItemPath, aOut.emplace_back());
  });
}

void ReadService(DocumentReader& aReader, NodeRef aNode, PathRef aPath, ServiceSpec& aOut)
{
  aReader.ReadMembers(
    aNode,
    aPath,
    { { "kind",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadChoice<ServiceKind>(
            aValue,
            aValuePath,
            { { "models", ServiceKind::kModels }, { "plain", ServiceKind::kPlain } },
            aOut.kind);
        } },
      { "orders",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadChoice<OrderCheck>(
            aValue,
            aValuePath,
            { { "checked", OrderCheck::kChecked }, { "unchecked", OrderCheck::kUnchecked } },
            aOut.orderCheck);
        } },
      { "endpoint_concurrency",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadNumber<std::uint32_t>(
            aValue, aValuePath, 1, 10'000, aOut.endpointConcurrency);
        } },
      { "runner_memory_mb",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadMemory(aValue, aValuePath, aOut.runnerMemory);
        } },
      { "kv_cache_reserve_mb",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadMemory(aValue, aValuePath, aOut.kvCacheReserve);
        } },
      { "routes",
        [&](NodeRef aValue, PathRef aValuePath) {
          ReadRoutes(aReader, aValue, aValuePath, aOut.routes);
        } },
      { "drained",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadList<EndpointId>(aValue, aValuePath, [&](EndpointId aEndpoint, PathRef) {
            aOut.drained.insert(std::move(aEndpoint));
          });
        } },
      { "store",
        [&](NodeRef aValue, PathRef aValuePath) {
          ReadStore(aReader, aValue, aValuePath, aOut.store);
        } },
      { "keep_alive", [&](NodeRef aValue, PathRef aValuePath) {
         ReadKeepAlive(aReader, aValue, aValuePath, aOut.keepAlive);
       } } });
}

void ReadModel(DocumentReader& aReader, NodeRef aNode, PathRef aPath, ModelSpec& aOut)
{
  std::string service;
  aReader.ReadMembers(
    aNode,
    aPath,
    { { "service",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadText(aValue, aValuePath, service);
        } },
      { "version",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadText(aValue, aValuePath, aOut.version);
        } },
      { "memory_mb",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadMemory(aValue, aValuePath, aOut.memory);
        } },
      { "expected_load_ms",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadMilliseconds(aValue, aValuePath, aOut.expectedLoad);
        } },
      { "max_replicas",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadNumber<std::uint32_t>(aValue, aValuePath, 1, 1'000, aOut.maxReplicas);
        } },
      { "adapters", [&](NodeRef aValue, PathRef aValuePath) {
         aReader.ReadEntries(
           aValue, aValuePath, [&](PathRef aName, NodeRef aAdapter, PathRef aAdapterPath) {
             AdapterSpec adapter{ .id = AdapterId{ aName }, .memory = { 1 } };
             aReader.ReadMembers(aAdapter,
                                 aAdapterPath,
                                 { { "memory_mb", [&](NodeRef aMemory, PathRef aMemoryPath) {
                                      aReader.ReadMemory(aMemory, aMemoryPath, adapter.memory);
                                    } } });
             aOut.adapters[adapter.id] = adapter;
           });
       } } });
  aOut.service = ServiceId{ service };
  for (const char* key : { "service", "memory_mb" }) {
    if (aNode.IsMap() && !aReader.HasPath(aPath + "." + key)) {
      aReader.AddErrorAt(aPath + "." + key, "is missing");
    }
  }
}

void ReadClass(DocumentReader& aReader, NodeRef aNode, PathRef aPath, ClassSpec& aOut)
{
  aReader.ReadMembers(
    aNode,
    aPath,
    { { "priority",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadNumber<std::uint32_t>(aValue, aValuePath, 0, 9, aOut.priority);
        } },
      { "deadline_ms",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadMilliseconds(aValue, aValuePath, aOut.deadline);
        } },
      { "repeat", [&](NodeRef aValue, PathRef aValuePath) {
         aReader.ReadChoice<Repeatability>(
           aValue,
           aValuePath,
           { { "allowed", Repeatability::kIdempotent }, { "never", Repeatability::kAtMostOnce } },
           aOut.repeatability);
       } } });
}

void ReadCustomer(DocumentReader& aReader, NodeRef aNode, PathRef aPath, CustomerSpec& aOut)
{
  aReader.ReadMembers(
    aNode,
    aPath,
    { { "key_hashes",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadList<std::string>(
            aValue, aValuePath, [&](std::string aHash, PathRef aItemPath) {
              const bool isValidHash =
                aHash.size() == 64 &&
                aHash.find_first_not_of("0123456789abcdef") == std::string::npos;
              if (!isValidHash) {
                aReader.AddErrorAt(aItemPath,
                                   "a key hash is a SHA-256 in 64 lower-case hex digits");
              }
              aOut.keyHashes.push_back(std::move(aHash));
            });
        } },
      { "models",
        [&](NodeRef aValue, PathRef aValuePath) {
          if (aValue.IsScalar() && aValue.Scalar() == "all") {
            aOut.allModels = true;
            return;
          }
          aReader.ReadList<ModelId>(aValue, aValuePath, [&](ModelId aModel, PathRef) {
            aOut.models.insert(std::move(aModel));
          });
        } },
      { "services",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadList<ServiceId>(aValue, aValuePath, [&](ServiceId aService, PathRef) {
            aOut.services.insert(std::move(aService));
          });
        } },
      { "weight",
        [&](NodeRef aValue, PathRef aValuePath) {
          aReader.ReadNumber<std::uint32_t>(aValue, aValuePath, 1, 1'000, aOut.weight);
        } },
      { "queue_limit", [&](NodeRef aValue, PathRef aValuePath) {
         aReader.ReadNumber<std::uint32_t>(aValue, aValuePath, 1, 1'000'000, aOut.queueLimit);
       } } });
}

void ReadDocument(DocumentReader& aReader, NodeRef aRoot, Configuration& aOut)
{
  aReader.ReadMembers(
    aRoot,
    "",
    { { "services",
        [&](NodeRef aNode, PathRef aPath) {
          aReader.ReadEntries(aNode, aPath, [&](PathRef aName, NodeRef aEntry, PathRef aEntryPath) {
            ServiceSpec& service = aOut.services[ServiceId{ aName }];
            service.id = ServiceId{ aName };
            ReadService(aReader, aEntry, aEntryPath, service);
          });
        } },
      { "models",
        [&](NodeRef aNode, PathRef aPath) {
          aReader.ReadEntries(aNode, aPath, [&](PathRef aName, NodeRef aEntry, PathRef aEntryPath) {
            ModelSpec& model = aOut.models[ModelId{ aName }];
            model.id = ModelId{ aName };
            ReadModel(aReader, aEntry, aEntryPath, model);
          });
        } },
      { "classes",
        [&](NodeRef aNode, PathRef aPath) {
          aReader.ReadEntries(aNode, aPath, [&](PathRef aName, NodeRef aEntry, PathRef aEntryPath) {
            ClassSpec& requestClass = aOut.classes[ClassId{ aName }];
            requestClass.id = ClassId{ aName };
            ReadClass(aReader, aEntry, aEntryPath, requestClass);
          });
        } },
      { "customers", [&](NodeRef aNode, PathRef aPath) {
         aReader.ReadEntries(aNode, aPath, [&](PathRef aName, NodeRef aEntry, PathRef aEntryPath) {
           CustomerSpec& customer = aOut.customers[CustomerId{ aName }];
           customer.id = CustomerId{ aName };
           ReadCustomer(aReader, aEntry, aEntryPath, customer);
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
    if (auto shapeErrors = CheckShape(aDocument); !shapeErrors.empty()) {
      return tl::make_unexpected(std::move(shapeErrors));
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

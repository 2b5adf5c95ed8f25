/* Decodes runners' entries and reports, and encodes orders to runners. */
#include "platform/runner_decoder.h"

#include "core/digest_func.h"
#include "core/json_text.h"
#include "core/text_func.h"
#include "http/socket_options.h"
#include "platform/json_reader.h"
#include "platform/wire_names.h"

#include <algorithm>

namespace rhubarbtrail::platform {

namespace {

/* Largest number of slots that an endpoint can state. */
constexpr std::uint64_t kMaxSlots = 1'000'000;
/* Largest start time that an endpoint can state: the year 9999, in milliseconds. */
constexpr std::uint64_t kMaxStartTimeMs = 253'402'300'800'000;

/* Returns a name in a list, or throws if it is not a text. */
std::string_view NameIn(const char* aList, const Json& aItem)
{
  if (!aItem.is_string()) {
    throw DecodeError(std::string{ aList } + " has an item that is not a string");
  }
  return aItem.get_ref<const std::string&>();
}

/* Returns an adapter's name, which begins at a position, without "@" and the version that may
 * follow it. */
std::string_view WithoutVersion(std::string_view aText, std::size_t aNameBegin = 0)
{
  return aText.substr(0, aText.find('@', aNameBegin));
}

NameSet<ModelId> DecodeModelNames(const Json& aObject, const char* aList)
{
  std::vector<std::string_view> names;
  if (aObject.contains(aList)) {
    for (const Json& item : ArrayMember(aObject, aList)) {
      names.push_back(NameIn(aList, item));
    }
  }
  return NameSet<ModelId>{ std::move(names) };
}

fleet::LoadedModels DecodeLoadedModels(const Json& aObject)
{
  std::vector<fleet::LoadedModels::Item> models;
  if (!aObject.contains("models")) {
    return {};
  }
  for (const Json& item : ArrayMember(aObject, "models")) {
    models.push_back({ StringMember(item, "name"), {} });
    if (!item.contains("adapters")) {
      continue;
    }
    for (const Json& adapter : ArrayMember(item, "adapters")) {
      models.back().second.push_back(WithoutVersion(NameIn("adapters", adapter)));
    }
  }
  return fleet::LoadedModels{ std::move(models) };
}

/* Decodes the list of adapters that are being loaded. Its items are MODEL/ADAPTER or
 * MODEL/ADAPTER@VERSION. */
NameSet<fleet::LoadingAdapterId> DecodeLoadingAdapters(const Json& aObject)
{
  std::vector<std::string_view> adapters;
  if (!aObject.contains("coming")) {
    return {};
  }
  for (const Json& item : ArrayMember(aObject, "coming")) {
    const std::string_view name = NameIn("coming", item);
    const std::size_t slash = name.find('/');
    if (slash == std::string_view::npos) {
      throw DecodeError("coming has an adapter without its model");
    }
    adapters.push_back(WithoutVersion(name, slash));
  }
  return NameSet<fleet::LoadingAdapterId>{ std::move(adapters) };
}

fleet::RunnerHoldings DecodeHoldings(const Json& aObject)
{
  fleet::RunnerHoldings holdings{ .models = DecodeLoadedModels(aObject),
                                  .loadingAdapters = DecodeLoadingAdapters(aObject) };
  if (const auto copies = aObject.find("atHand"); copies != aObject.end()) {
    holdings.inHostMemory = DecodeModelNames(*copies, "inMemory");
    holdings.onDisk = DecodeModelNames(*copies, "onDisk");
  }
  return holdings;
}

fleet::RunnerState DecodeState(const std::string& aState)
{
  if (aState == "ready") {
    return fleet::RunnerState::kReady;
  }
  if (aState == "draining") {
    return fleet::RunnerState::kDraining;
  }
  throw DecodeError("state is unknown: " + aState);
}

/* Returns the Unix time of the runner's start in milliseconds, or 0 if it is missing. */
std::int64_t DecodeStartTime(const Json& aObject)
{
  return aObject.contains("born")
           ? static_cast<std::int64_t>(UnsignedMemberUpTo(aObject, "born", kMaxStartTimeMs))
           : 0;
}

/* Runs a decoder and returns its result, or the message of the exception that it throws. */
template<typename Result, typename Decoder>
tl::expected<Result, std::string> CatchDecodeErrors(const Decoder& aDecoder)
{
  try {
    return aDecoder();
  } catch (const DecodeError& error) {
    return tl::make_unexpected(std::string{ error.what() });
  } catch (const Json::exception& error) {
    return tl::make_unexpected(std::string{ error.what() });
  }
}

/* Returns a member that names something. Throws if it is too long for a name. */
const std::string& DecodeName(const Json& aObject, const char* aMember)
{
  const std::string& name = StringMember(aObject, aMember);
  if (!IsName(name)) {
    throw DecodeError(std::string{ aMember } + " is not a name");
  }
  return name;
}

/* Returns a software version. Versions are only compared, so a long one is replaced by its digest:
 * each daemon keeps it for minutes and passes it on. */
SoftwareVersion DecodeSoftwareVersion(const std::string& aText)
{
  constexpr std::size_t kMaxBytes = 128;
  return SoftwareVersion{ aText.size() <= kMaxBytes ? aText : "sha256:" + Sha256Hex(aText) };
}

/* Returns whether an endpoint can listen at an address: an IP address and a port above 0. */
bool IsEndpointAddress(const std::string& aText)
{
  const auto address = http::ParseSocketAddress(aText);
  return address && address->port() != 0;
}

} // namespace

tl::expected<fleet::RunnerEntry, std::string> DecodeRunnerEntry(const std::string& aId,
                                                                const std::string& aDocument)
{
  return CatchDecodeErrors<fleet::RunnerEntry>([&] {
    const Json document = ParseJson(aDocument);
    fleet::RunnerEntry entry;
    if (aId.empty() || !IsName(aId)) {
      throw DecodeError("the key is not a name"); // It becomes a header field of each request.
    }
    entry.id = EndpointId{ aId };
    entry.service = ServiceId{ DecodeName(document, "backend") };
    entry.zone = ZoneId{ DecodeName(document, "zone") };
    entry.address = StringMember(document, "address");
    if (!IsEndpointAddress(entry.address)) {
      throw DecodeError("address is not IP:PORT");
    }
    entry.softwareVersion = DecodeSoftwareVersion(StringMember(document, "version"));
    entry.slots = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(UnsignedMemberUpTo(document, "slots", kMaxSlots)));
    entry.state = DecodeState(StringMember(document, "state"));
    if (document.contains("remainingMs")) {
      entry.timeUntilStop = FromMilliseconds(NumberMember(document, "remainingMs"));
    }
    // In an entry "seq" counts the writes of the entry, but in a report the accepted orders.
    entry.writeNumber = UnsignedMemberOr(document, "seq", 0);
    entry.startedAtMs = DecodeStartTime(document);
    entry.holdings = DecodeHoldings(document);
    return entry;
  });
}

tl::expected<fleet::RunnerReport, std::string> DecodeRunnerReport(const std::string& aDocument)
{
  return CatchDecodeErrors<fleet::RunnerReport>([&] {
    const Json document = ParseJson(aDocument);
    fleet::RunnerReport report;
    report.isBusy = BoolMemberOr(document, "busy", false);
    report.orderCount =
      UnsignedMemberOr(document, "seq", 0); // Accepted orders, unlike in an entry.
    report.startedAtMs = DecodeStartTime(document);
    report.running = static_cast<std::uint32_t>(UnsignedMemberOr(document, "running", 0));
    report.waiting = static_cast<std::uint32_t>(UnsignedMemberOr(document, "waiting", 0));
    if (document.contains("state")) {
      report.state = DecodeState(StringMember(document, "state"));
    }
    report.holdings = DecodeHoldings(document);
    return report;
  });
}

http::Request EncodeReportRequest(const EndpointId& aRunner)
{
  return { .method = "GET",
           .target = std::string{ path::kReport },
           .fields = { { std::string{ field::kTargetEndpoint }, aRunner.str() } },
           .body = {} };
}

tl::expected<http::Request, std::string> EncodeOrder(const fleet::RunnerOrder& aOrder)
{
  Json body{ { "operation",
               aOrder.kind == fleet::OrderKind::kLoad ? "model_load" : "model_unload" },
             { "model", aOrder.subject.model.str() },
             { "holder", aOrder.holder },
             { "fencingToken", aOrder.fence.value },
             { "expectedRev", aOrder.expectedOrderCount } }; // The runner's order count.
  if (!aOrder.subject.adapter.empty()) {
    body["adapter"] = aOrder.subject.adapter.str();
  }
  return EncodeJson(body).map([&](std::string aText) {
    return http::Request{ .method = "POST",
                          .target = std::string{ path::kOrder },
                          .fields = { { "Content-Type", "application/json" },
                                      { std::string{ field::kTargetEndpoint },
                                        aOrder.runner.str() } },
                          .body = std::move(aText) };
  });
}

fleet::OrderOutcome DecodeOrderOutcome(unsigned aStatus)
{
  switch (aStatus) {
    case 202:
      return fleet::OrderOutcome::kAccepted;
    case 200:
      return fleet::OrderOutcome::kAlreadyDone;
    case 409:
      return fleet::OrderOutcome::kConflict;
    case 412:
      return fleet::OrderOutcome::kFenced;
    case 400:
    case 421:
      return fleet::OrderOutcome::kRejected;
    default:
      return fleet::OrderOutcome::kUnknown;
  }
}

} // namespace rhubarbtrail::platform

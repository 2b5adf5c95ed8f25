/* Decodes and encodes the header fields of clients' requests and endpoints' answers. */
#include "platform/request_headers.h"

#include "core/digest_func.h"
#include "core/text_func.h"
#include "platform/wire_names.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <spdlog/fmt/fmt.h>
#include <unordered_set>
#include <xxhash.h>

namespace rhubarbtrail::platform {

namespace {

/* Fields that only a daemon may set on a request to an endpoint. Those that a client sends are
 * dropped. */
constexpr std::array kDaemonOnlyFields{
  field::kTargetEndpoint, field::kPriority,  field::kHold,          field::kPin,     field::kBackup,
  field::kResumeFrom,     field::kFetchFrom, field::kExpectVersion, field::kDeadline
};

template<typename Integer>
std::optional<Integer> ParseInteger(std::string_view aText, int aBase = 10)
{
  Integer value{};
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value, aBase);
  if (error != std::errc{} || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

/* Removes the first item of a list, with the separator that follows it, and returns the item. */
std::string_view RemoveFirstItem(std::string_view& aList, char aSeparator)
{
  const auto end = aList.find(aSeparator);
  const std::string_view item = aList.substr(0, end);
  aList = end == std::string_view::npos ? std::string_view{} : aList.substr(end + 1);
  return item;
}

/* Returns a figure of a list without the spaces around it. */
std::string_view TrimSpaces(std::string_view aText)
{
  const auto begin = std::min(aText.find_first_not_of(" \t"), aText.size());
  aText.remove_prefix(begin);
  return aText.substr(0, aText.find_last_not_of(" \t") + 1);
}

/* What is ignored of a field, as log lines name it. */
constexpr std::string_view kLoadExtraFigures = "X-Server-Load, figures after the fourth";
constexpr std::string_view kLoadSlowness = "X-Server-Load, fourth figure";
constexpr std::string_view kTokensExtraFigures = "X-Token-Usage, figures after the second";
constexpr std::string_view kPartExtraFigures = "X-Prompt-Prefix, figures after a part's tokens";

std::vector<fleet::PromptPart> DecodeParts(std::string_view aList,
                                           std::vector<std::string_view>& aIgnored)
{
  std::vector<fleet::PromptPart> parts;
  while (!aList.empty() && parts.size() < fleet::kMaxPlacementParts) {
    std::string_view item = RemoveFirstItem(aList, ',');
    const auto id = ParseInteger<std::uint64_t>(RemoveFirstItem(item, ':'), 16);
    const auto tokens = ParseInteger<std::uint32_t>(RemoveFirstItem(item, ':'));
    if (!id || !tokens) {
      aIgnored.push_back(field::kPromptParts);
      break; // Only prefixes can be reused, so the parts after an invalid one are of no use.
    }
    if (!item.empty()) {
      aIgnored.push_back(kPartExtraFigures);
    }
    parts.push_back({ .id = *id, .tokens = *tokens });
  }
  parts.shrink_to_fit();
  return parts;
}

/* Decodes the ids of all parts but the last. An id that is not a number is replaced by its hash. */
std::vector<fleet::PromptPartId> DecodeLeadingParts(std::string_view aList)
{
  std::vector<fleet::PromptPartId> parts;
  while (!aList.empty()) {
    std::string_view item = RemoveFirstItem(aList, ',');
    const std::string_view id = RemoveFirstItem(item, ':');
    if (!id.empty()) {
      const auto number = ParseInteger<std::uint64_t>(id, 16);
      parts.push_back({ number ? *number : XXH3_64bits(id.data(), id.size()) });
    }
  }
  if (!parts.empty()) {
    parts.pop_back();
  }
  std::unordered_set<fleet::PromptPartId> known;
  std::erase_if(parts, [&](fleet::PromptPartId aPart) { return !known.insert(aPart).second; });
  parts.shrink_to_fit();
  return parts;
}

std::optional<fleet::ModelWork> DecodeModelWork(const http::Fields& aFields,
                                                std::vector<std::string_view>& aIgnored)
{
  const auto model = http::Find(aFields, field::kModel);
  if (!model) {
    return std::nullopt;
  }
  fleet::ModelWork work;
  std::string_view name = *model;
  work.target.model = ModelId{ std::string{ RemoveFirstItem(name, '/') } };
  work.target.adapter = AdapterId{ std::string{ name } };
  if (auto tokens = http::Find(aFields, field::kTokens)) {
    const auto prompt = ParseInteger<std::uint32_t>(TrimSpaces(RemoveFirstItem(*tokens, ',')));
    const auto output = ParseInteger<std::uint32_t>(TrimSpaces(RemoveFirstItem(*tokens, ',')));
    work.promptTokens = prompt.value_or(0);
    work.outputTokens = output.value_or(0);
    if (!prompt || !output) {
      aIgnored.push_back(field::kTokens);
    } else if (!tokens->empty()) {
      aIgnored.push_back(kTokensExtraFigures);
    }
  }
  if (const auto parts = http::Find(aFields, field::kPromptParts)) {
    work.parts = DecodeParts(*parts, aIgnored);
  }
  return work;
}

bool IsDaemonOnlyField(std::string_view aName)
{
  return std::any_of(
    kDaemonOnlyFields.begin(), kDaemonOnlyFields.end(), [&](std::string_view aDaemonField) {
      return http::EqualsIgnoringCase(aDaemonField, aName);
    });
}

/* Returns whether a field states who the client is. */
bool IsAccountField(std::string_view aName)
{
  return http::EqualsIgnoringCase(aName, field::kAuthorization) ||
         http::EqualsIgnoringCase(aName, field::kAccount);
}

bool IsFramingField(std::string_view aName)
{
  return http::EqualsIgnoringCase(aName, "Content-Length") ||
         http::EqualsIgnoringCase(aName, "Transfer-Encoding");
}

/* Longest time until a client's deadline. Longer ones are shortened to it. */
constexpr double kMaxTimeLeftMs = 86'400'000.0;

/* Greatest slowness that an endpoint can state, and the figure that stands for the usual speed.
 * Greater figures are lowered. */
constexpr double kMaxSlowness = 100.0;
constexpr double kUsualSlownessFigure = 100.0;

/* Longest pause that an endpoint can ask for. Longer ones are shortened to it. */
constexpr Duration kMaxPause = std::chrono::hours{ 1 };

/* Highest limit on requests that an endpoint can state. Higher ones are lowered to it. */
constexpr double kMaxRequestsPerSecond = 1e6;

/* Decodes a decimal number, with or without a fraction, and lowers it to a maximum. Returns nothing
 * for anything else, such as a date, a sign, an exponent or a list. */
std::optional<double> DecodeDecimal(std::string_view aText, double aMaximum)
{
  double value = 0.0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value, std::chars_format::fixed);
  const bool isOverflow = error == std::errc::result_out_of_range;
  if (aText.empty() || aText.front() < '0' || aText.front() > '9' ||
      end != aText.data() + aText.size() || (error != std::errc{} && !isOverflow)) {
    return std::nullopt;
  }
  return isOverflow ? aMaximum : std::min(value, aMaximum);
}

/* Decodes a time in seconds. */
std::optional<Duration> DecodeSeconds(std::string_view aText)
{
  const auto seconds = DecodeDecimal(aText, std::chrono::duration<double>(kMaxPause).count());
  return seconds ? std::optional{ std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(*seconds)) }
                 : std::nullopt;
}

/* Of several fields, the one with the longest time counts. */
void DecodePause(const http::Fields& aFields, EndpointAnswer& aAnswer)
{
  for (const http::Field item : aFields) {
    if (!http::EqualsIgnoringCase(item.name, field::kRetryAfter)) {
      continue;
    }
    if (const auto pause = DecodeSeconds(item.value)) {
      aAnswer.pause = std::max(aAnswer.pause.value_or(Duration::zero()), *pause);
    } else {
      aAnswer.ignoredFields.push_back(field::kRetryAfter);
    }
  }
}

/* Of several fields, the one with the lowest limit counts. */
void DecodeRequestLimit(const http::Fields& aFields, EndpointAnswer& aAnswer)
{
  for (const http::Field item : aFields) {
    if (!http::EqualsIgnoringCase(item.name, field::kRequestLimit)) {
      continue;
    }
    if (const auto rate = DecodeDecimal(item.value, kMaxRequestsPerSecond)) {
      aAnswer.requestLimit = RequestRate{ std::min(
        aAnswer.requestLimit.value_or(RequestRate{ *rate }).perSecond, *rate) };
    } else {
      aAnswer.ignoredFields.push_back(field::kRequestLimit);
    }
  }
}

/* One field with the defined value is enough. Other values are ignored. */
void DecodeLeaving(const http::Fields& aFields, EndpointAnswer& aAnswer)
{
  for (const http::Field item : aFields) {
    if (!http::EqualsIgnoringCase(item.name, field::kLeaving)) {
      continue;
    }
    if (item.value == "1") {
      aAnswer.isLeaving = true;
    } else {
      aAnswer.ignoredFields.push_back(field::kLeaving);
    }
  }
}

/* An endpoint that takes no time at all is not plausible, so a slowness of 0 is ignored. */
std::optional<Slowness> DecodeSlowness(std::string_view aFigure)
{
  const auto figure = DecodeDecimal(aFigure, kMaxSlowness * kUsualSlownessFigure);
  return figure && *figure > 0.0 ? std::optional{ Slowness{ *figure / kUsualSlownessFigure } }
                                 : std::nullopt;
}

/* Later releases of endpoints may state more figures, so those that are not known are ignored and
 * leave the others in use. */
void DecodeLoad(std::string_view aList, EndpointAnswer& aAnswer)
{
  const auto next = [&] { return TrimSpaces(RemoveFirstItem(aList, ',')); };
  const auto running = ParseInteger<std::uint32_t>(next());
  const auto waiting = ParseInteger<std::uint32_t>(next());
  const auto slots = ParseInteger<std::uint32_t>(next());
  if (!running || !waiting || !slots) {
    aAnswer.ignoredFields.push_back(field::kLoad);
    return;
  }
  aAnswer.load = { .running = *running, .waiting = *waiting, .slots = *slots };
  if (aList.empty()) {
    return;
  }
  aAnswer.load->slowness = DecodeSlowness(next());
  if (!aAnswer.load->slowness) {
    aAnswer.ignoredFields.push_back(kLoadSlowness);
  }
  if (!aList.empty()) {
    aAnswer.ignoredFields.push_back(kLoadExtraFigures);
  }
}

} // namespace

ClientRequest DecodeClientRequest(const http::Request& aRequest)
{
  ClientRequest decoded;
  for (const std::string_view name :
       { field::kRequestId, field::kModel, field::kLastEventId, field::kResumes }) {
    const auto value = http::Find(aRequest.fields, name);
    if (value && !IsName(*value)) {
      decoded.invalidField = name;
      return decoded;
    }
  }
  decoded.requestId = std::string{ http::Find(aRequest.fields, field::kRequestId).value_or("") };
  if (const auto deadline = http::Find(aRequest.fields, field::kDeadline)) {
    if (const auto value = DecodeDecimal(*deadline, kMaxTimeLeftMs)) {
      decoded.timeLeft =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(*value));
    } else {
      decoded.ignoredFields.push_back(field::kDeadline);
    }
  }
  if (auto tokens = http::Find(aRequest.fields, field::kTokens)) {
    const auto prompt = ParseInteger<std::uint32_t>(RemoveFirstItem(*tokens, ','));
    const auto output = ParseInteger<std::uint32_t>(RemoveFirstItem(*tokens, ','));
    if (prompt && output) {
      decoded.tokens = std::uint64_t{ *prompt } + *output;
    }
  }
  decoded.work = DecodeModelWork(aRequest.fields, decoded.ignoredFields);
  if (decoded.work) {
    decoded.leadingParts =
      DecodeLeadingParts(http::Find(aRequest.fields, field::kPromptParts).value_or(""));
  }
  decoded.lastEventId =
    std::string{ http::Find(aRequest.fields, field::kLastEventId).value_or("") };
  decoded.resumedRequestId =
    std::string{ http::Find(aRequest.fields, field::kResumes).value_or("") };
  return decoded;
}

fleet::ClientCredential DecodeCredential(const http::Fields& aFields)
{
  std::optional<std::string_view> found;
  for (const http::Field item : aFields) {
    if (!http::EqualsIgnoringCase(item.name, field::kAuthorization)) {
      continue;
    }
    if (found) {
      return fleet::UnreadableKey{};
    }
    found = item.value;
  }
  if (!found) {
    return fleet::NoKey{};
  }
  std::string_view key = *found;
  const bool hasScheme = RemoveFirstItem(key, ' ') == kKeyScheme;
  if (!hasScheme || key.empty()) {
    return fleet::UnreadableKey{};
  }
  return Sha256Hex(key);
}

http::Request EncodeForwardedRequest(const http::Request& aRequest, const ForwardOptions& aOptions)
{
  http::Request forward{
    .method = aRequest.method, .target = aRequest.target, .fields = {}, .body = aRequest.body
  };
  constexpr std::size_t kAddedFields = 5;
  constexpr std::size_t kAddedBytes = 512; // Their names, and values of the usual length.
  forward.fields.Reserve(aRequest.fields.size() + kAddedFields,
                         aRequest.fields.textBytes() + kAddedBytes);
  const http::HopByHopFields hopByHop{ aRequest.fields };
  for (const http::Field item : aRequest.fields) {
    const bool isReplaced =
      !aOptions.lastEventId.empty() && http::EqualsIgnoringCase(item.name, field::kLastEventId);
    if (hopByHop.Has(item.name) || IsFramingField(item.name) || IsDaemonOnlyField(item.name) ||
        isReplaced || (aOptions.account && IsAccountField(item.name))) {
      continue;
    }
    forward.fields.push_back(item);
  }
  const auto add = [&](std::string_view aName, std::string_view aValue) {
    forward.fields.push_back({ aName, aValue });
  };
  using std::chrono::milliseconds;
  const auto left = std::chrono::duration_cast<milliseconds>(aOptions.timeLeft).count();
  add(field::kDeadline, std::to_string(std::max<std::int64_t>(left, 1)));
  add(field::kTargetEndpoint, aOptions.endpoint.str());
  if (aOptions.hasPriority) {
    add(field::kPriority, std::to_string(std::min<std::uint32_t>(aOptions.priority, 9)));
  }
  if (!aOptions.lastEventId.empty()) {
    add(field::kLastEventId, aOptions.lastEventId);
  }
  if (aOptions.account && !aOptions.account->empty()) {
    add(field::kAccount, aOptions.account->str());
  }
  return forward;
}

EndpointAnswer DecodeEndpointAnswer(const http::AnswerHead& aHead)
{
  constexpr unsigned kMisdirected = 421;
  constexpr unsigned kUnavailable = 503;
  EndpointAnswer answer;
  answer.requestId = std::string{ http::Find(aHead.fields, field::kRequestId).value_or("") };
  answer.hasSignature = http::Find(aHead.fields, field::kSignature).has_value();
  answer.isNotRun =
    http::Find(aHead.fields, field::kNotExecuted).has_value() || aHead.status == kMisdirected;
  DecodeLeaving(aHead.fields, answer);
  DecodeRequestLimit(aHead.fields, answer);
  if (aHead.status == kUnavailable) {
    DecodePause(aHead.fields, answer);
  }
  const auto encoding = http::Find(aHead.fields, field::kContentEncoding);
  answer.isEncoded = encoding && !http::EqualsIgnoringCase(*encoding, "identity");
  if (const auto load = http::Find(aHead.fields, field::kLoad)) {
    DecodeLoad(*load, answer);
  }
  if (answer.load && aHead.status == kMisdirected) {
    answer.load->slowness.reset(); // It is that of another endpoint.
  }
  return answer;
}

bool AnswersRequest(const http::AnswerHead& aHead)
{
  return !http::Find(aHead.fields, field::kRequestId).value_or("").empty();
}

http::AnswerHead EncodeForwardedAnswer(const http::AnswerHead& aHead)
{
  http::AnswerHead answer{ .status = aHead.status, .reason = aHead.reason };
  const http::HopByHopFields hopByHop{ aHead.fields };
  for (const http::Field item : aHead.fields) {
    if (hopByHop.Has(item.name) || IsFramingField(item.name) ||
        http::EqualsIgnoringCase(item.name, field::kLoad)) {
      continue;
    }
    answer.fields.push_back(item);
  }
  return answer;
}

http::AnswerHead EncodeDaemonAnswer(unsigned aStatus,
                                    const std::string& aRequestId,
                                    Duration aRetryAfter)
{
  http::AnswerHead head{ .status = aStatus };
  if (!aRequestId.empty()) {
    head.fields.push_back({ std::string{ field::kRequestId }, aRequestId });
  }
  if (aRetryAfter > Duration::zero()) {
    const double seconds = std::chrono::duration<double>(aRetryAfter).count();
    head.fields.push_back({ std::string{ field::kRetryAfter }, fmt::format("{:.3f}", seconds) });
  }
  if (constexpr unsigned kUnauthorized = 401; aStatus == kUnauthorized) {
    head.fields.push_back({ std::string{ field::kAuthenticate }, std::string{ kKeyScheme } });
  }
  head.fields.push_back({ "Content-Type", "application/json" });
  return head;
}

bool IsReadinessCheck(const http::Request& aRequest)
{
  return aRequest.method == "GET" && aRequest.target == path::kReady;
}

std::string DecodeEventId(std::string_view aEvent)
{
  constexpr std::string_view kName = "id:";
  while (!aEvent.empty()) {
    const auto end = aEvent.find_first_of("\r\n");
    std::string_view line = aEvent.substr(0, end);
    aEvent = end == std::string_view::npos ? std::string_view{} : aEvent.substr(end + 1);
    if (!line.starts_with(kName)) {
      continue;
    }
    line.remove_prefix(kName.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    return std::string{ line };
  }
  return {};
}

} // namespace rhubarbtrail::platform

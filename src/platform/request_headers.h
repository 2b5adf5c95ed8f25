/* Decodes and encodes the header fields of clients' requests and endpoints' answers. */
#ifndef RHUBARBTRAIL_PLATFORM_REQUEST_HEADERS_H
#define RHUBARBTRAIL_PLATFORM_REQUEST_HEADERS_H

#include "decision/fleet/client_account_index.h"
#include "decision/fleet/runner_type.h"
#include "decision/fleet/work_type.h"
#include "http/http_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbtrail::platform {

/* The header fields of a client's request that the daemon uses. */
struct ClientRequest
{
  std::string requestId;
  std::optional<Duration> timeLeft;     ///< Until the client's deadline. At most 24 h.
  std::optional<fleet::ModelWork> work; ///< Set if the request names a model.
  std::optional<std::uint64_t> tokens;  ///< Sum of both numbers of tokens, if they are stated.
  /* All but the last part of the prompt of such a request, each once, in order. Unlike the parts in
   * work, they include those without a valid number of tokens and those after them. */
  std::vector<fleet::PromptPartId> leadingParts;
  std::string lastEventId; ///< Last event that the client has of a stream that it resumes.
  /* Id of the request that brought the first event of the stream that the client resumes. */
  std::string resumedRequestId;
  /* Names of fields that were ignored, as a whole or in part. */
  std::vector<std::string_view> ignoredFields;
  /* Name of a field whose value cannot be the name of anything, or empty. Such a value is in none
   * of the members above. */
  std::string_view invalidField;
};

/* Decodes a client's header fields. Invalid figures are ignored, as if they were missing. Figures
 * after those that are known are ignored alone. */
ClientRequest DecodeClientRequest(const http::Request& aRequest);

/* Decodes a client's API key to its digest. A field that is given twice, another scheme and a key
 * that is not separated from the scheme by one space are unreadable. */
fleet::ClientCredential DecodeCredential(const http::Fields& aFields);

/* Values of the header fields that the daemon adds to a client's request. */
struct ForwardOptions
{
  EndpointId endpoint;
  Duration timeLeft{};        ///< Until the request's deadline. At least 1 ms is sent.
  std::uint32_t priority = 0; ///< Values above 9 are sent as 9.
  bool hasPriority = false;   ///< The priority is sent.
  std::string lastEventId;    ///< Of a stream that is resumed. If empty, the client's field stays.
  /* Set in deployments with accounts: the client's key and account fields are dropped, and the
   * account is sent unless it is empty. Otherwise these fields stay. */
  std::optional<ClientAccountId> account;
};

/* Returns the request to send to an endpoint: the client's, with the given values added. Fields
 * that concern only the client's connection or the framing are left out, and so are those that only
 * a daemon may set. */
http::Request EncodeForwardedRequest(const http::Request& aRequest, const ForwardOptions& aOptions);

/* The header fields of an endpoint's answer that the daemon uses. */
struct EndpointAnswer
{
  std::string requestId;
  bool hasSignature = false; ///< The answer has a signature. It is not verified.
  bool isNotRun = false;  ///< The endpoint has not run the request, by its own statement or because
                          ///< the request was addressed to another endpoint (status 421).
  bool isEncoded = false; ///< The body has a content encoding, for example compression.
  bool isLeaving = false; ///< The endpoint states that its process is about to end.
  /* Set if the endpoint refuses the request and asks the daemon to send nothing for this time. */
  std::optional<Duration> pause;
  /* Set if the endpoint states how many requests it takes from all daemons together. */
  std::optional<RequestRate> requestLimit;
  std::optional<fleet::EndpointLoad> load;
  /* Names of fields whose values are not defined. They are ignored, as a whole or in part. */
  std::vector<std::string_view> ignoredFields;
};

/* Decodes the header fields of an endpoint's answer. A load that is invalid is left out. */
EndpointAnswer DecodeEndpointAnswer(const http::AnswerHead& aHead);

/* Returns whether an endpoint's answer is to a client's request, and not to an order or a call for
 * a report, which have no request id. */
bool AnswersRequest(const http::AnswerHead& aHead);

/* Returns the header to send to the client: the endpoint's without its load and without fields that
 * concern only its connection or the framing. */
http::AnswerHead EncodeForwardedAnswer(const http::AnswerHead& aHead);

/* Returns the header of an answer that the daemon itself gives, with a JSON body. A retry time
 * above zero is sent as well, in seconds with three decimals, and with status 401 the scheme of the
 * keys. */
http::AnswerHead EncodeDaemonAnswer(unsigned aStatus,
                                    const std::string& aRequestId,
                                    Duration aRetryAfter);

/* Returns whether a request is the balancer's readiness check. */
bool IsReadinessCheck(const http::Request& aRequest);

/* Returns the id of a server-sent event, or an empty string if it has none. */
std::string DecodeEventId(std::string_view aEvent);

} // namespace rhubarbtrail::platform

#endif

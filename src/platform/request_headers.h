/* Decodes the header fields of clients' requests and endpoints' answers, and sets our own. */
#ifndef RHUBARBTRAIL_PLATFORM_REQUEST_HEADERS_H
#define RHUBARBTRAIL_PLATFORM_REQUEST_HEADERS_H

#include "decision/fleet/runner_type.h"
#include "decision/fleet/work_type.h"
#include "http/http_type.h"

#include <optional>
#include <string>

namespace rhubarbtrail::platform {

/* What a client's header fields say. */
struct ClientRequest
{
  std::string requestId;
  std::optional<Duration> timeLeft; ///< How long the client will wait.
  std::optional<fleet::ModelWork> work;
  std::string lastEventId;
};

ClientRequest DecodeClientRequest(const http::Request& aRequest);

/* What is set on a request to an endpoint, besides what the client sent. */
struct ForwardOptions
{
  EndpointId endpoint;
  Duration timeLeft{};
  std::uint32_t priority = 0;
  bool hasPriority = false;
  std::string lastEventId; ///< Of a stream that goes on; empty: as the client sent it.
};

/* Returns the client's request as it goes to an endpoint. */
http::Request EncodeForward(const http::Request& aRequest, const ForwardOptions& aOptions);

/* What an endpoint's header fields say. */
struct EndpointAnswer
{
  std::string requestId;
  bool isSigned = false;  ///< It carries the endpoint's signature.
  bool isNotRun = false;  ///< The endpoint states that it has not run the request.
  bool isEncoded = false; ///< The body is not the endpoint's own.
  std::optional<fleet::EndpointLoad> load;
};

EndpointAnswer DecodeEndpointAnswer(const http::AnswerHead& aHead);

/* Returns the answer as it goes to the client. */
http::AnswerHead EncodeAnswer(const http::AnswerHead& aHead);

/* Returns an answer of our own. Its status and body carry the result; a retry time above zero is
 * added. */
http::AnswerHead EncodeOwnAnswer(unsigned aStatus,
                                 const std::string& aRequestId,
                                 Duration aRetryAfter);

/* Returns whether a request is the balancer's question whether new connections are welcome. */
bool IsReadinessCheck(const http::Request& aRequest);

/* Returns the id of a stream's event, or an empty text. */
std::string EventId(std::string_view aEvent);

} // namespace rhubarbtrail::platform

#endif

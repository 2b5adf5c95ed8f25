/* Checks callers' requests against the snapshot, before the decision code receives them. */
#ifndef RHUBARBTRAIL_CALLER_REQUEST_CHECK_H
#define RHUBARBTRAIL_CALLER_REQUEST_CHECK_H

#include "caller/session.h"
#include "caller/snapshot_type.h"
#include "decision/event_type.h"
#include "http/http_type.h"

#include <string>
#include <tl/expected.hpp>

namespace rhubarbtrail {

/* A valid request: the event for the decision code, and the call to be made at an endpoint. */
struct CheckedRequest
{
  RequestArrived arrivedEvent;
  EndpointCall call;
};

/* Why a request is refused without reaching the decision code. */
struct Refusal
{
  ResultCode code = ResultCode::kRequestMalformed;
  std::string detail; ///< Addition to the message of the code for the caller; may be empty.
};

using CheckResult = tl::expected<CheckedRequest, Refusal>;

/* Finds the customer by the API key of a request. Fails with kKeyMissing or kKeyWrong. */
tl::expected<CustomerId, Refusal> Authenticate(const Snapshot& aSnapshot,
                                               const http::Request& aRequest);

/* Returns the path of a request without its query, percent-decoded. */
std::string DecodePath(const http::Request& aRequest);

/* Checks a completion request or a call to a plain service. aPath is the result of DecodePath().
 * Other requests fail with kServiceUnknown. */
CheckResult CheckRequest(const Snapshot& aSnapshot,
                         const http::Request& aRequest,
                         const std::string& aPath);

} // namespace rhubarbtrail

#endif

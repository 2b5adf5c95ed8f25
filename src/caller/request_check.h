/* Checks callers' requests against the snapshot, before anything is decided about them. */
#ifndef RHUBARBTRAIL_CALLER_REQUEST_CHECK_H
#define RHUBARBTRAIL_CALLER_REQUEST_CHECK_H

#include "caller/session.h"
#include "caller/snapshot_type.h"
#include "decision/event_type.h"
#include "http/http_type.h"

#include <string>
#include <tl/expected.hpp>

namespace rhubarbtrail {

/* A request that was checked as far as the snapshot allows. */
struct CheckedRequest
{
  RequestArrived arrived;
  EndpointCall call;
};

/* A refusal at the door. */
struct Refusal
{
  ResultCode code = ResultCode::kRequestMalformed;
  std::string detail;
};

using CheckResult = tl::expected<CheckedRequest, Refusal>;

/* Finds the customer by the key that the request bears. */
tl::expected<CustomerId, Refusal> Authenticate(const Snapshot& aSnapshot,
                                               const http::Request& aRequest);

/* Returns the path that a request names, without its query and escapes. */
std::string PathOf(const http::Request& aRequest);

/* Checks any request that is passed on, whose path is given: a completion, or a call to a plain
 * service. */
CheckResult CheckRequest(const Snapshot& aSnapshot,
                         const http::Request& aRequest,
                         const std::string& aPath);

} // namespace rhubarbtrail

#endif

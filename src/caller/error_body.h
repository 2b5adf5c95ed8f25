/* The JSON error in the body of every refusal. */
#ifndef RHUBARBTRAIL_CALLER_ERROR_BODY_H
#define RHUBARBTRAIL_CALLER_ERROR_BODY_H

#include "core/id_type.h"
#include "core/result_code_type.h"
#include "core/unit_type.h"

#include <string>

namespace rhubarbtrail {

/* Returns {"error":{"code":…,"name":…,"execution":…,"message":…,"request_id":…}}, with "detail"
 * unless aDetail is empty. */
std::string MakeErrorBody(ResultCode aCode,
                          const RequestId& aRequest,
                          const std::string& aDetail = {});

/* Returns the value of the Retry-After header: seconds, rounded up. */
std::string RetryAfterSeconds(Duration aDuration);

} // namespace rhubarbtrail

#endif

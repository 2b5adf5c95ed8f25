/* The JSON error that every refusal carries. */
#ifndef RHUBARBTRAIL_CALLER_ERROR_BODY_H
#define RHUBARBTRAIL_CALLER_ERROR_BODY_H

#include "core/id_type.h"
#include "core/result_code_type.h"
#include "core/unit_type.h"

#include <string>

namespace rhubarbtrail {

/* Returns {"error":{"code":…,"name":…,"execution":…,"message":…,"request_id":…}}. */
std::string MakeErrorBody(ResultCode aCode,
                          const RequestId& aRequest,
                          const std::string& aDetail = {});

/* Returns the Retry-After value in whole seconds, rounded up. */
std::string RetryAfterSeconds(Duration aDuration);

} // namespace rhubarbtrail

#endif

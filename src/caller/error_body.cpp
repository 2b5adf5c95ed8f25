/* Makes the JSON error bodies of refusals. */
#include "caller/error_body.h"

#include <nlohmann/json.hpp>

namespace rhubarbtrail {

std::string MakeErrorBody(ResultCode aCode, const RequestId& aRequest, const std::string& aDetail)
{
  const ResultCodeInfo& info = Describe(aCode);
  nlohmann::json error{ { "code", static_cast<int>(aCode) },
                        { "name", info.name },
                        { "execution", ToString(info.execution) },
                        { "message", info.message },
                        { "request_id", aRequest.str() } };
  if (!aDetail.empty()) {
    error["detail"] = aDetail;
  }
  return nlohmann::json{ { "error", error } }.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string RetryAfterSeconds(Duration aDuration)
{
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(aDuration).count());
}

} // namespace rhubarbtrail

/* JSON texts of values whose strings may come from outside the process. */
#include "core/json_text.h"

namespace rhubarbtrail {

tl::expected<std::string, std::string> EncodeJson(const nlohmann::json& aValue)
{
  try {
    return aValue.dump();
  } catch (const nlohmann::json::exception& error) {
    return tl::make_unexpected(std::string{ error.what() });
  }
}

std::string DescribeJson(const nlohmann::ordered_json& aValue)
{
  return aValue.dump(1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace rhubarbtrail

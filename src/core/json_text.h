/* JSON texts of values whose strings may come from outside the process. The functions do not throw.
 */
#ifndef RHUBARBTRAIL_CORE_JSON_TEXT_H
#define RHUBARBTRAIL_CORE_JSON_TEXT_H

#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>

namespace rhubarbtrail {

/* Returns the text of a value, or what is wrong with it: a string that is not UTF-8 has none. */
tl::expected<std::string, std::string> EncodeJson(const nlohmann::json& aValue);

/* Returns the text of a value for people, with an indentation of one space. Invalid parts of
 * strings are replaced. */
std::string DescribeJson(const nlohmann::ordered_json& aValue);

} // namespace rhubarbtrail

#endif

/* Strict reading of decimal numbers. */
#ifndef RHUBARBTRAIL_CORE_NUMBER_FUNC_H
#define RHUBARBTRAIL_CORE_NUMBER_FUNC_H

#include <charconv>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace rhubarbtrail {

/* Reads a decimal number within bounds; the whole text must be the number. Signs of unsigned
 * numbers, hexadecimal or octal forms, infinity and NaN are refused. */
template<typename Number>
tl::expected<Number, std::string> ParseNumber(std::string_view aText, Number aLow, Number aHigh)
{
  const std::string quoted = "'" + std::string{ aText } + "'";
  Number value{};
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error == std::errc::result_out_of_range) {
    return tl::make_unexpected(quoted + " is out of range");
  }
  if (error != std::errc{} || end != aText.data() + aText.size()) {
    return tl::make_unexpected(quoted + " is not a number");
  }
  const bool isInRange = value >= aLow && value <= aHigh; // False for NaN.
  if (!isInRange) {
    return tl::make_unexpected(quoted + " is out of range");
  }
  return value;
}

} // namespace rhubarbtrail

#endif

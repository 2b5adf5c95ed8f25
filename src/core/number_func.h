/* Strict parsing of decimal numbers. */
#ifndef RHUBARBTRAIL_CORE_NUMBER_FUNC_H
#define RHUBARBTRAIL_CORE_NUMBER_FUNC_H

#include <charconv>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace rhubarbtrail {

/* Parses a decimal number from aLow to aHigh, both included. The whole text must be the number.
 * Rejects a leading plus, a minus before an unsigned number, hexadecimal notation, NaN, and
 * infinity beyond the bounds. A leading zero does not mean octal. */
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

/* Parses a decimal number from aLow to aHigh, with or without a fraction. Rejects what
 * ParseNumber() does, and exponents. */
inline tl::expected<double, std::string> ParseDecimal(std::string_view aText,
                                                      double aLow,
                                                      double aHigh)
{
  if (aText.find_first_not_of("-.0123456789") != std::string_view::npos) {
    return tl::make_unexpected("'" + std::string{ aText } + "' is not a number");
  }
  return ParseNumber<double>(aText, aLow, aHigh);
}

} // namespace rhubarbtrail

#endif

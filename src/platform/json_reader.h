/* Type-checked access to members of JSON objects. */
#ifndef RHUBARBTRAIL_PLATFORM_JSON_READER_H
#define RHUBARBTRAIL_PLATFORM_JSON_READER_H

#include "core/unit_type.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace rhubarbtrail::platform {

using Json = nlohmann::json;

/* Thrown by the functions below if a value is missing or has the wrong type. The public decoders
 * catch it and return its message. */
class DecodeError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/* Parses a JSON text. Throws DecodeError if it is invalid. */
inline Json ParseJson(const std::string& aText)
{
  Json value = Json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    throw DecodeError("not JSON");
  }
  return value;
}

/* Returns a member. Throws DecodeError if it is missing or the value is not an object. */
inline const Json& RequiredMember(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (!aObject.is_object() || found == aObject.end()) {
    throw DecodeError(std::string{ aName } + " is missing");
  }
  return *found;
}

inline const std::string& StringMember(const Json& aObject, const char* aName)
{
  const Json& value = RequiredMember(aObject, aName);
  if (!value.is_string()) {
    throw DecodeError(std::string{ aName } + " is not a string");
  }
  return value.get_ref<const std::string&>();
}

/* Returns a finite number of 0 or more. Throws DecodeError for any other value. */
inline double NumberMember(const Json& aObject, const char* aName)
{
  const Json& value = RequiredMember(aObject, aName);
  if (!value.is_number() || !(value.get<double>() >= 0.0) || !std::isfinite(value.get<double>())) {
    throw DecodeError(std::string{ aName } + " is not a number of 0 or more");
  }
  return value.get<double>();
}

inline double NumberMemberOr(const Json& aObject, const char* aName, double aDefault)
{
  return aObject.contains(aName) ? NumberMember(aObject, aName) : aDefault;
}

/* Returns an integer of 0 or more. Throws DecodeError for any other value. */
inline std::uint64_t UnsignedMember(const Json& aObject, const char* aName)
{
  const Json& value = RequiredMember(aObject, aName);
  if (!value.is_number_integer() ||
      (value.is_number_integer() && !value.is_number_unsigned() && value.get<std::int64_t>() < 0)) {
    throw DecodeError(std::string{ aName } + " is not an integer of 0 or more");
  }
  return value.get<std::uint64_t>();
}

inline std::uint64_t UnsignedMemberOr(const Json& aObject,
                                      const char* aName,
                                      std::uint64_t aDefault)
{
  return aObject.contains(aName) ? UnsignedMember(aObject, aName) : aDefault;
}

/* Returns an integer from 0 to a maximum. Throws DecodeError for any other value. */
inline std::uint64_t UnsignedMemberUpTo(const Json& aObject,
                                        const char* aName,
                                        std::uint64_t aMaximum)
{
  const std::uint64_t value = UnsignedMember(aObject, aName);
  if (value > aMaximum) {
    throw DecodeError(std::string{ aName } + " is above " + std::to_string(aMaximum));
  }
  return value;
}

inline bool BoolMemberOr(const Json& aObject, const char* aName, bool aDefault)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return aDefault;
  }
  if (!found->is_boolean()) {
    throw DecodeError(std::string{ aName } + " is not true or false");
  }
  return found->get<bool>();
}

inline const Json& ArrayMember(const Json& aObject, const char* aName)
{
  const Json& value = RequiredMember(aObject, aName);
  if (!value.is_array()) {
    throw DecodeError(std::string{ aName } + " is not an array");
  }
  return value;
}

/* Longest time that a document can state. Longer ones are shortened to it, so that sums with points
 * in time do not overflow. */
constexpr double kMaxTimeMs = 10.0 * 365 * 24 * 3'600'000;

inline Duration FromMilliseconds(double aValue)
{
  return Duration{ static_cast<Duration::rep>(std::min(aValue, kMaxTimeMs) * 1e3) };
}

inline Duration FromSeconds(double aValue)
{
  return FromMilliseconds(std::min(aValue, kMaxTimeMs) * 1e3);
}

} // namespace rhubarbtrail::platform

#endif

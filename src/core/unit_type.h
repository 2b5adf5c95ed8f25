/* Strong types for time, memory, versions and fencing tokens. */
#ifndef RHUBARBTRAIL_CORE_UNIT_TYPE_H
#define RHUBARBTRAIL_CORE_UNIT_TYPE_H

#include <chrono>
#include <compare>
#include <cstdint>

namespace rhubarbtrail {

using namespace std::chrono_literals;

using Duration = std::chrono::microseconds;

/* The monotonic clock of one daemon. Its times are never compared with another daemon's. */
struct DaemonClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DaemonClock>;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using TimePoint = DaemonClock::time_point;

/* Memory of an accelerator in megabytes. */
struct MemoryMb
{
  std::int64_t value = 0;

  auto operator<=>(const MemoryMb&) const = default;
  MemoryMb operator+(MemoryMb aOther) const { return { value + aOther.value }; }
  MemoryMb operator-(MemoryMb aOther) const { return { value - aOther.value }; }
  MemoryMb& operator+=(MemoryMb aOther)
  {
    value += aOther.value;
    return *this;
  }
};

/* A rate of requests. */
struct RequestRate
{
  double perSecond = 0.0;

  auto operator<=>(const RequestRate&) const = default;
};

/* How long work takes at an endpoint, as a multiple of the usual time. */
struct Slowness
{
  double factor = 1.0;

  auto operator<=>(const Slowness&) const = default;
};

/* A fencing token. Runners that check it reject an order whose token is lower than one that they
 * have seen, so that a former lease holder can no longer give orders. */
struct FencingToken
{
  std::uint64_t value = 0;

  auto operator<=>(const FencingToken&) const = default;
};

/* The version of an accepted configuration; 0 if none has been accepted yet. */
struct ConfigVersion
{
  std::uint64_t value = 0;

  auto operator<=>(const ConfigVersion&) const = default;
};

/* Counts how often a store has come back from an older copy of its rows. Versions that it gave out
 * since that copy are given out again in the next era. 0 for a store that states no era. */
struct StoreEra
{
  std::uint64_t value = 0;

  auto operator<=>(const StoreEra&) const = default;
};

/* The version of a row in the table service; 0 if the row does not exist. Versions of a later era
 * are newer than all of an earlier one. */
struct RowVersion
{
  std::uint64_t value = 0;
  StoreEra era;

  bool operator==(const RowVersion&) const = default;
  std::strong_ordering operator<=>(const RowVersion& aOther) const
  {
    const auto order = era <=> aOther.era;
    return order != 0 ? order : value <=> aOther.value;
  }
};

/* The number of an attempt of one request, from 1. */
struct AttemptNumber
{
  std::uint32_t value = 0;

  auto operator<=>(const AttemptNumber&) const = default;
};

} // namespace rhubarbtrail

#endif

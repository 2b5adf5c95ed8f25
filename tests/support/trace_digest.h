/* A digest of what happens in a seeded simulation. It is the same on every kind of machine; a test
 * that compares it with a constant fails if a seed leads to another scenario there, which the
 * checks of the search would not show. A change of the decisions that a search plays changes its
 * constant.
 *
 * What could differ is fixed elsewhere: the sign of `char` and fused multiplications by flags of
 * the build, the order of draws by one draw a statement. The order of unordered containers and the
 * distributions are the library's, which is the same on both kinds of machine. */
#ifndef RHUBARBTRAIL_TESTS_SUPPORT_TRACE_DIGEST_H
#define RHUBARBTRAIL_TESTS_SUPPORT_TRACE_DIGEST_H

#include "core/unit_type.h"

#include <cstdint>
#include <string_view>
#include <type_traits>

#include <xxhash.h>

namespace rhubarbtrail {

class TraceDigest
{
public:
  void Add(std::string_view aText) { mValue = XXH64(aText.data(), aText.size(), mValue); }
  template<typename Number>
  requires std::is_integral_v<Number> || std::is_enum_v<Number>
  void Add(Number aNumber)
  {
    const auto wide = static_cast<std::uint64_t>(aNumber);
    mValue = XXH64(&wide, sizeof(wide), mValue);
  }
  void Add(Duration aTime) { Add(aTime.count()); }
  void Add(TimePoint aTime) { Add(aTime.time_since_epoch()); }

  std::uint64_t value() const { return mValue; }

private:
  std::uint64_t mValue = 0;
};

} // namespace rhubarbtrail

#endif

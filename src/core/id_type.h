/* Strong types for identifiers, so that the compiler rejects, for example, a model where a customer
 * is expected. */
#ifndef RHUBARBTRAIL_CORE_ID_TYPE_H
#define RHUBARBTRAIL_CORE_ID_TYPE_H

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace rhubarbtrail {

/* An identifier of the kind named by Tag. Empty means "none". */
template<typename Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  const std::string& str() const { return mValue; }
  bool empty() const { return mValue.empty(); }

  auto operator<=>(const Id&) const = default;
  bool operator==(const Id&) const = default;

private:
  std::string mValue;
};

using AdapterId = Id<struct AdapterTag>;
using CellId = Id<struct CellTag>;
using ChangeId = Id<struct ChangeTag>;
using ClassId = Id<struct ClassTag>;
using ClientAccountId = Id<struct ClientAccountTag>;
using CustomerId = Id<struct CustomerTag>;
using DaemonId = Id<struct DaemonTag>;
using EndpointId = Id<struct EndpointTag>;
using FingerprintId = Id<struct FingerprintTag>;
using IdempotencyKey = Id<struct IdempotencyKeyTag>;
using IncarnationId = Id<struct IncarnationTag>;
using ModelId = Id<struct ModelTag>;
using OrderId = Id<struct OrderTag>;
using RequestId = Id<struct RequestTag>;
using RowKey = Id<struct RowKeyTag>;
using ServiceId = Id<struct ServiceTag>;
using SoftwareVersion = Id<struct SoftwareVersionTag>;
using ZoneId = Id<struct ZoneTag>;

} // namespace rhubarbtrail

template<typename Tag>
struct std::hash<rhubarbtrail::Id<Tag>>
{
  std::size_t operator()(const rhubarbtrail::Id<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.str());
  }
};

#endif

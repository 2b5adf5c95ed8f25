/* The keys of rows in the table service. */
#include "decision/row_type.h"

namespace rhubarbtrail {

RowKey CellLeaseKey(const CellId& aCell)
{
  return RowKey{ "cell/" + aCell.str() };
}

RowKey PlacementKey(const CellId& aCell)
{
  return RowKey{ "placement/" + aCell.str() };
}

RowKey ClaimKey(const CustomerId& aCustomer, const IdempotencyKey& aKey)
{
  return RowKey{ "claim/" + aCustomer.str() + "/" + aKey.str() };
}

RowKey ConfigurationHeadKey()
{
  return RowKey{ "configuration/head" };
}

RowKey ConfigurationHistoryKey(ConfigVersion aVersion)
{
  return RowKey{ "configuration/history/" + std::to_string(aVersion.value) };
}

} // namespace rhubarbtrail

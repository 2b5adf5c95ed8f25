/* Client of the platform's transactional table service. */
#ifndef RHUBARBTRAIL_TABLE_TABLE_CLIENT_H
#define RHUBARBTRAIL_TABLE_TABLE_CLIENT_H

#include "decision/action_type.h"
#include "decision/event_type.h"

#include <string>

namespace rhubarbtrail {

struct TableClientOptions
{
  std::string address;   ///< host:port
  Duration timeout = 2s; ///< For the connect, and for each read and each write.
};

/* Makes blocking calls to the table service. May be used by several threads at once. */
class TableClient
{
public:
  explicit TableClient(TableClientOptions aOptions);

  /* Executes a transaction. Without a valid answer the outcome is kUnknown, even if no connection
   * could be opened. */
  TransactionResult Commit(const TableTransaction& aTransaction) const;

  /* Reads rows. The read has succeeded only if the service returns a row for each key, in the order
   * of the keys. A row that does not exist has version 0. */
  ReadResult Read(const TableRead& aRead) const;

private:
  TableClientOptions mOptions;
};

} // namespace rhubarbtrail

#endif

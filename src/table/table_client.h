/* The platform's transactional table service. */
#ifndef RHUBARBTRAIL_TABLE_TABLE_CLIENT_H
#define RHUBARBTRAIL_TABLE_TABLE_CLIENT_H

#include "decision/action_type.h"
#include "decision/event_type.h"

#include <string>

namespace rhubarbtrail {

struct TableClientOptions
{
  std::string address; ///< host:port
  Duration timeout = 2s;
};

/* Calls the table service; safe to use from several threads. */
class TableClient
{
public:
  explicit TableClient(TableClientOptions aOptions);

  /* Carries out a transaction. An answer that is lost or late gives kUnknown. */
  TransactionResult Commit(const TableTransaction& aTransaction) const;

  /* Reads rows; absent ones are given with version 0, in the order asked for. */
  ReadResult Read(const TableRead& aRead) const;

private:
  TableClientOptions mOptions;
};

} // namespace rhubarbtrail

#endif

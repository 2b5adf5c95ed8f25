/* All cells of a daemon: those that it holds, and those that it is ready to take over. */
#ifndef RHUBARBTRAIL_DECISION_SCHEDULER_SCHEDULER_BASE_H
#define RHUBARBTRAIL_DECISION_SCHEDULER_SCHEDULER_BASE_H

#include "decision/scheduler/cell_base.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace rhubarbtrail {

class Scheduler
{
public:
  void OnWake(Context& aContext, const View& aView);
  void OnReadResult(Context& aContext, const View& aView, const ReadResult& aResult);
  void OnTransactionResult(Context& aContext, const View& aView, const TransactionResult& aResult);
  void OnOrderResult(Context& aContext, const View& aView, const OrderResult& aResult);
  void OnMessage(Context& aContext, const View& aView, const MessageReceived& aReceived);
  void HandOver(Context& aContext, const View& aView);

  /* Remembers the orders that the actions contain until their outcome is reported. */
  void NoteOrders(const std::vector<Action>& aActions);

  /* Returns whether no lease is held or being taken. */
  bool IsIdle() const;
  void Dump(std::vector<DumpEntry>& aOut) const;

private:
  void SyncCells(const View& aView);
  void OnWithdraw(Context& aContext,
                  const View& aView,
                  const DaemonId& aFrom,
                  const WithdrawOrderMessage& aWithdraw);

  std::map<CellId, Cell> mCells;
  std::multiset<OrderId> mOrdersInFlight;
};

} // namespace rhubarbtrail

#endif

/* The cells of a daemon: those whose lease it holds, and those whose lease it may take over. */
#ifndef RHUBARBTRAIL_DECISION_SCHEDULER_SCHEDULER_BASE_H
#define RHUBARBTRAIL_DECISION_SCHEDULER_SCHEDULER_BASE_H

#include "decision/scheduler/cell_base.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace rhubarbtrail {

/* Has a cell for each service with models, and keeps track of the orders in flight. */
class Scheduler
{
public:
  void OnWake(Context& aContext, const View& aView);
  void OnReadResult(Context& aContext, const View& aView, const ReadResult& aResult);
  void OnTransactionResult(Context& aContext, const View& aView, const TransactionResult& aResult);
  void OnOrderResult(Context& aContext, const View& aView, const OrderResult& aResult);
  void OnMessage(Context& aContext, const View& aView, const MessageReceived& aReceived);
  /* Releases the leases that this daemon holds. Called repeatedly while the daemon stops. */
  void ReleaseLeases(Context& aContext, const View& aView);

  /* Records the orders among the actions as in flight until their results are reported. */
  void RecordOrders(const std::vector<Action>& aActions);

  /* Returns whether no lease is held or being acquired. */
  bool IsIdle() const;
  void Dump(std::vector<DumpEntry>& aOut) const;

private:
  void SyncCells(const View& aView);
  /* Confirms the withdrawal of an order of this process, unless the order is still in flight. */
  void OnWithdrawOrder(Context& aContext,
                       const View& aView,
                       const DaemonId& aFrom,
                       const WithdrawOrderMessage& aWithdraw);

  std::map<CellId, Cell> mCells;
  std::multiset<OrderId> mOrdersInFlight; ///< One order can be in flight more than once.
};

} // namespace rhubarbtrail

#endif

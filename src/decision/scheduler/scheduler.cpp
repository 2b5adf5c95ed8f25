/* Passes events to the cells, and dumps their state for operators. */
#include "decision/scheduler/scheduler_base.h"

#include <algorithm>
#include <array>

namespace rhubarbtrail {

void Scheduler::SyncCells(const View& aView)
{
  for (const auto& [id, service] : aView.configuration().services) {
    if (service.kind == ServiceKind::kModels) {
      mCells.try_emplace(CellId{ id.str() }, CellId{ id.str() });
    }
  }
}

void Scheduler::OnWake(Context& aContext, const View& aView)
{
  SyncCells(aView);
  for (auto& [id, cell] : mCells) {
    cell.OnWake(aContext, aView);
  }
}

void Scheduler::OnReadResult(Context& aContext, const View& aView, const ReadResult& aResult)
{
  for (auto& [id, cell] : mCells) {
    cell.OnReadResult(aContext, aView, aResult);
  }
}

void Scheduler::OnTransactionResult(Context& aContext,
                                    const View& aView,
                                    const TransactionResult& aResult)
{
  for (auto& [id, cell] : mCells) {
    cell.OnTransactionResult(aContext, aView, aResult);
  }
}

void Scheduler::OnOrderResult(Context& aContext, const View& aView, const OrderResult& aResult)
{
  const auto inFlight = mOrdersInFlight.find(aResult.order);
  if (inFlight != mOrdersInFlight.end()) {
    mOrdersInFlight.erase(inFlight);
  }
  const auto cell = mCells.find(aResult.cell);
  if (cell != mCells.end()) {
    cell->second.OnOrderResult(aContext, aView, aResult);
  }
}

void Scheduler::OnMessage(Context& aContext, const View& aView, const MessageReceived& aReceived)
{
  const DaemonId& from = aReceived.from.daemon;
  if (const auto* demand = std::get_if<DemandMessage>(&aReceived.message)) {
    const auto cell = mCells.find(demand->cell);
    if (cell != mCells.end()) {
      cell->second.OnDemand(aContext, aView, from, *demand);
    }
  } else if (const auto* drained = std::get_if<DrainedMessage>(&aReceived.message)) {
    const auto cell = mCells.find(drained->cell);
    if (cell != mCells.end()) {
      cell->second.OnDrained(aContext, aView, from, *drained);
    }
  } else if (const auto* withdrawn = std::get_if<OrderWithdrawnMessage>(&aReceived.message)) {
    const auto cell = mCells.find(withdrawn->cell);
    if (cell != mCells.end()) {
      cell->second.OnOrderWithdrawn(aContext, aView, *withdrawn);
    }
  } else if (const auto* isolation = std::get_if<IsolationRequestMessage>(&aReceived.message)) {
    const auto cell = mCells.find(isolation->cell);
    if (cell != mCells.end()) {
      cell->second.OnIsolationRequest(aContext, aView, aReceived.from, *isolation);
    }
  } else if (const auto* release = std::get_if<IsolationReleaseMessage>(&aReceived.message)) {
    const auto cell = mCells.find(release->cell);
    if (cell != mCells.end()) {
      cell->second.OnIsolationRelease(aContext, aView, *release);
    }
  } else if (const auto* withdraw = std::get_if<WithdrawOrderMessage>(&aReceived.message)) {
    OnWithdrawOrder(aContext, aView, from, *withdraw);
  }
}

void Scheduler::OnWithdrawOrder(Context& aContext,
                                const View& aView,
                                const DaemonId& aFrom,
                                const WithdrawOrderMessage& aWithdraw)
{
  if (aWithdraw.issuer != aContext.self()) {
    return;
  }
  const auto cell = mCells.find(aWithdraw.cell);
  if (cell != mCells.end()) {
    cell->second.OnWithdrawOrder(aContext, aWithdraw.order);
  }
  if (mOrdersInFlight.contains(aWithdraw.order)) {
    return; // The result is still open. The new holder repeats its message.
  }
  aView.SendTo(
    aContext, aFrom, OrderWithdrawnMessage{ aWithdraw.cell, aWithdraw.order, aWithdraw.issuer });
}

void Scheduler::RecordOrders(const std::vector<Action>& aActions)
{
  for (const Action& action : aActions) {
    if (const auto* order = std::get_if<SendOrder>(&action)) {
      mOrdersInFlight.insert(order->order);
    }
  }
}

void Scheduler::ReleaseLeases(Context& aContext, const View& aView)
{
  for (auto& [id, cell] : mCells) {
    cell.ReleaseLease(aContext, aView);
  }
}

bool Scheduler::IsIdle() const
{
  return std::all_of(
    mCells.begin(), mCells.end(), [](const auto& aItem) { return aItem.second.IsIdle(); });
}

void Scheduler::Dump(std::vector<DumpEntry>& aOut) const
{
  for (const auto& [id, cell] : mCells) {
    cell.Dump(aOut);
  }
}

void Cell::Dump(std::vector<DumpEntry>& aOut) const
{
  const std::string path = "cells." + mId.str();
  aOut.push_back({ path + ".held", HoldsLease() ? "yes" : "no" });
  aOut.push_back({ path + ".holder", mHolder.daemon.str() });
  aOut.push_back({ path + ".fence", std::to_string(mFence.value) });
  aOut.push_back({ path + ".demands", std::to_string(mDemands.size()) });
  constexpr std::array<const char*, 6> kPhaseNames{ "load decided", "loading",        "loaded",
                                                    "draining",     "unload decided", "unloading" };
  for (const auto& [id, runner] : mRunners) {
    const std::string runnerPath = path + ".runners." + id.str();
    aOut.push_back({ runnerPath + ".memory_mb", std::to_string(runner.memory.value) });
    for (const auto& [model, replica] : runner.replicas) {
      aOut.push_back(
        { runnerPath + "." + model.str(), kPhaseNames[static_cast<std::size_t>(replica.phase)] });
    }
  }
}

} // namespace rhubarbtrail

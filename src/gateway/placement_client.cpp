/* Client of the fleet's dispatcher, which assigns requests for models to runners. */
#include "gateway/placement_client.h"

#include "core/overloaded.h"

namespace rhubarbtrail {

PlacementClient::PlacementClient(Sender aSender)
  : mSender(std::move(aSender))
{
}

bool PlacementClient::RequestAssignment(const fleet::PlacementRequest& aRequest, Handler aHandler)
{
  // Stored before sending, so that even a reply that arrives during the call finds its request.
  mPendingRequests.insert_or_assign(aRequest.id, PendingRequest{ aRequest, std::move(aHandler) });
  if (!mSender(fleet::DispatchMessage{ aRequest })) {
    mPendingRequests.erase(aRequest.id);
    return false;
  }
  return true;
}

void PlacementClient::Release(const fleet::AssignmentReleased& aReleased)
{
  if (mPendingRequests.erase(aReleased.id) + mAssignments.erase(aReleased.id) > 0) {
    // The result does not matter: a dispatcher that receives no more messages from this daemon
    // releases its assignments by itself.
    mSender(fleet::DispatchMessage{ aReleased });
  }
}

void PlacementClient::OnReply(const fleet::PlacementReply& aReply)
{
  const auto found = mPendingRequests.find(aReply.id);
  if (found == mPendingRequests.end()) {
    // The request was answered before, here or by OnDispatcherLost(), or Release() has withdrawn it
    // and notified the dispatcher.
    return;
  }
  const PendingRequest pending = std::move(found->second);
  mPendingRequests.erase(found);
  if (const auto* assigned = std::get_if<fleet::RunnerAssigned>(&aReply.answer)) {
    mAssignments.insert_or_assign(aReply.id,
                                  fleet::AssignmentInUse{ pending.request, assigned->runner });
  }
  pending.handler(aReply);
}

void PlacementClient::OnNewDispatcher()
{
  for (const auto& [id, assignment] : mAssignments) {
    mSender(fleet::DispatchMessage{ assignment });
  }
  const auto pending = mPendingRequests;
  for (const auto& [id, pendingRequest] : pending) {
    if (mPendingRequests.contains(id)) {
      mSender(fleet::DispatchMessage{ pendingRequest.request });
    }
  }
}

void PlacementClient::OnDispatcherLost()
{
  const auto pending = std::exchange(mPendingRequests, {});
  for (const auto& [id, pendingRequest] : pending) {
    pendingRequest.handler({ .id = id, .answer = fleet::PlacementUndecided{} });
  }
}

} // namespace rhubarbtrail

/* Client of the fleet's dispatcher, which assigns requests for models to runners. */
#include "gateway/placement_client.h"

#include "core/overloaded.h"

namespace rhubarbtrail {

namespace {

/* Greatest number of releases that wait for a dispatcher. */
constexpr std::size_t kMaxUnsentReleases = 4'096;

} // namespace

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
    SendRelease(aReleased);
  }
}

void PlacementClient::SendRelease(const fleet::AssignmentReleased& aReleased)
{
  if (mSender(fleet::DispatchMessage{ aReleased })) {
    return;
  }
  // If more are lost, the dispatcher has long forgotten this daemon and its assignments.
  if (mUnsentReleases.size() < kMaxUnsentReleases) {
    mUnsentReleases.push_back(aReleased);
  }
}

void PlacementClient::OnReply(const fleet::PlacementReply& aReply)
{
  const auto found = mPendingRequests.find(aReply.id);
  if (found == mPendingRequests.end()) {
    // The request was answered before, here or by OnDispatcherLost(), or Release() has withdrawn
    // it. An assignment that is not in use would stay taken.
    if (std::holds_alternative<fleet::RunnerAssigned>(aReply.answer) &&
        !mAssignments.contains(aReply.id)) {
      SendRelease({ .id = aReply.id, .end = fleet::AssignmentEnd::kWithdrawn });
    }
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
  const auto unsent = std::exchange(mUnsentReleases, {});
  for (const fleet::AssignmentReleased& released : unsent) {
    SendRelease(released);
  }
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
    // The dispatcher may still assign it, and may be found again.
    SendRelease({ .id = id, .end = fleet::AssignmentEnd::kWithdrawn });
    pendingRequest.handler({ .id = id, .answer = fleet::PlacementUndecided{} });
  }
}

} // namespace rhubarbtrail

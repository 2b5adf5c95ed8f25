/* Client of the fleet's dispatcher, which assigns requests for models to runners. */
#ifndef RHUBARBTRAIL_GATEWAY_PLACEMENT_CLIENT_H
#define RHUBARBTRAIL_GATEWAY_PLACEMENT_CLIENT_H

#include "decision/fleet/dispatch_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rhubarbtrail {

/* Keeps this daemon's pending placement requests and its assignments. The dispatcher may be this
 * daemon or another one. OnNewDispatcher() sends both to a dispatcher that does not know them. */
class PlacementClient
{
public:
  using Handler = std::function<void(const fleet::PlacementReply&)>;
  /* Sends a message to the dispatcher. Returns false if none can be reached. */
  using Sender = std::function<bool(const fleet::DispatchMessage&)>;

  explicit PlacementClient(Sender aSender);

  /* Requests an assignment. The handler is called once, unless Release() withdraws the request
   * first. Returns false if no dispatcher can be reached. The request is not kept then, and the
   * handler is not called. */
  bool RequestAssignment(const fleet::PlacementRequest& aRequest, Handler aHandler);
  /* Withdraws a pending placement request, or releases an assignment. Notifies the dispatcher, now
   * or when one is found. Does nothing if neither exists. */
  void Release(const fleet::AssignmentReleased& aReleased);

  /* Handles a reply of the dispatcher. */
  void OnReply(const fleet::PlacementReply& aReply);
  /* Sends all assignments and pending placement requests to a dispatcher that does not know them,
   * because it is new or was restarted. */
  void OnNewDispatcher();
  /* No dispatcher can be reached: answers all pending placement requests with
   * PlacementUndecided. */
  void OnDispatcherLost();

  std::size_t pendingRequestCount() const { return mPendingRequests.size(); }

private:
  /* Sends a release, or keeps it until a dispatcher is found. */
  void SendRelease(const fleet::AssignmentReleased& aReleased);

  struct PendingRequest
  {
    fleet::PlacementRequest request;
    Handler handler;
  };

  Sender mSender;
  std::map<fleet::PlacementRequestId, PendingRequest> mPendingRequests;
  std::map<fleet::PlacementRequestId, fleet::AssignmentInUse> mAssignments;
  std::vector<fleet::AssignmentReleased> mUnsentReleases; ///< Oldest first.
};

} // namespace rhubarbtrail

#endif

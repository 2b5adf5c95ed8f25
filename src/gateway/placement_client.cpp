/* Client of the fleet's dispatcher, which assigns requests for models to runners. */
#include "gateway/placement_client.h"

#include "core/overloaded.h"

namespace rhubarbtrail {

PlacementClient::PlacementClient(Sender aSender)
  : mSender(std::move(aSender))
{
}

bool PlacementClient::Ask(const fleet::PlacementAsk& aAsk, Handler aHandler)
{
  // Stored before sending, so that even a reply that arrives during the call finds its request.
  mOpen.insert_or_assign(aAsk.id, Open{ aAsk, std::move(aHandler) });
  if (!mSender(fleet::DispatchMessage{ aAsk })) {
    mOpen.erase(aAsk.id);
    return false;
  }
  return true;
}

void PlacementClient::Release(const fleet::PlaceReleased& aReleased)
{
  if (mOpen.erase(aReleased.id) + mPlaces.erase(aReleased.id) > 0) {
    // The result does not matter: a dispatcher that receives no more messages from this daemon
    // releases its assignments by itself.
    mSender(fleet::DispatchMessage{ aReleased });
  }
}

void PlacementClient::OnReply(const fleet::PlacementReply& aReply)
{
  const auto found = mOpen.find(aReply.id);
  if (found == mOpen.end()) {
    // Answered already, given up by OnLost(), or withdrawn by Release(), which notified the
    // dispatcher.
    return;
  }
  const Open open = std::move(found->second);
  mOpen.erase(found);
  if (const auto* granted = std::get_if<fleet::PlaceGranted>(&aReply.answer)) {
    mPlaces.insert_or_assign(aReply.id, fleet::PlaceInUse{ open.ask, granted->runner });
  }
  open.handler(aReply);
}

void PlacementClient::OnNewDispatcher()
{
  for (const auto& [id, place] : mPlaces) {
    mSender(fleet::DispatchMessage{ place });
  }
  const auto open = mOpen;
  for (const auto& [id, question] : open) {
    if (mOpen.contains(id)) {
      mSender(fleet::DispatchMessage{ question.ask });
    }
  }
}

void PlacementClient::OnLost()
{
  const auto open = std::exchange(mOpen, {});
  for (const auto& [id, question] : open) {
    question.handler({ .id = id, .answer = fleet::PlaceUnknown{} });
  }
}

} // namespace rhubarbtrail

/* Asks the fleet's dispatcher where a request for a model may run. */
#ifndef RHUBARBTRAIL_GATEWAY_PLACEMENT_CLIENT_H
#define RHUBARBTRAIL_GATEWAY_PLACEMENT_CLIENT_H

#include "decision/fleet/dispatch_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace rhubarbtrail {

/* Keeps the questions of this daemon's requests to the dispatcher, and hands its answers over. The
 * dispatcher may be this daemon or another one; questions are asked again when it changes. */
class PlacementClient
{
public:
  using Handler = std::function<void(const fleet::PlacementReply&)>;
  /* Sends a message to the dispatcher; false when none can be reached. */
  using Sender = std::function<bool(const fleet::DispatchMessage&)>;

  explicit PlacementClient(Sender aSender);

  /* Asks for a place. The handler is called once, or not at all after Cancel(). Returns false, and
   * keeps nothing, when no dispatcher can be reached. */
  bool Ask(const fleet::PlacementAsk& aAsk, Handler aHandler);
  /* Withdraws a question, or gives a place back. */
  void Release(const fleet::PlaceReleased& aReleased);

  /* Takes an answer of the dispatcher. */
  void OnReply(const fleet::PlacementReply& aReply);
  /* The dispatcher has changed or has lost its memory: open questions are asked again, and places
   * in use are made known. */
  void OnNewDispatcher();
  /* No dispatcher can be reached: all open questions are answered so. */
  void OnLost();

  std::size_t openQuestions() const { return mOpen.size(); }

private:
  struct Open
  {
    fleet::PlacementAsk ask;
    Handler handler;
  };

  Sender mSender;
  std::map<fleet::AskId, Open> mOpen;
  std::map<fleet::AskId, fleet::PlaceInUse> mPlaces;
};

} // namespace rhubarbtrail

#endif

/* Orders to a runner's engine. */
#ifndef RHUBARBTRAIL_ENDPOINT_ORDER_CLIENT_H
#define RHUBARBTRAIL_ENDPOINT_ORDER_CLIENT_H

#include "decision/action_type.h"
#include "decision/event_type.h"

namespace rhubarbtrail {

struct OrderClientOptions
{
  Duration timeout = 2s;
  Incarnation issuer;
};

/* Sends an order; kAccepted means that the engine takes time for it. */
OrderResult GiveOrder(const OrderClientOptions& aOptions, const SendOrder& aOrder);

/* Waits a moment for the end of an accepted order; kAccepted means that it is still running. */
OrderResult FollowOrder(const OrderClientOptions& aOptions, const SendOrder& aOrder);

} // namespace rhubarbtrail

#endif

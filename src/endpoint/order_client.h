/* Sends orders to the engine of a runner. */
#ifndef RHUBARBTRAIL_ENDPOINT_ORDER_CLIENT_H
#define RHUBARBTRAIL_ENDPOINT_ORDER_CLIENT_H

#include "decision/action_type.h"
#include "decision/event_type.h"

namespace rhubarbtrail {

struct OrderClientOptions
{
  Duration timeout = 2s; ///< For the connect, and for each read and each write.
  Incarnation issuer;    ///< The daemon process that sends the orders.
};

/* Sends an order. kAccepted means that the engine has accepted it and is still running it. */
OrderResult SendOrderToRunner(const OrderClientOptions& aOptions, const SendOrder& aOrder);

/* Waits up to 1 s for the end of an accepted order, on top of the timeout of the call. kAccepted
 * means that it is still running. */
OrderResult WaitForOrder(const OrderClientOptions& aOptions, const SendOrder& aOrder);

} // namespace rhubarbtrail

#endif

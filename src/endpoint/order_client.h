/* Orders to a runner's engine. */
#ifndef RHUBARBTRAIL_ENDPOINT_ORDER_CLIENT_H
#define RHUBARBTRAIL_ENDPOINT_ORDER_CLIENT_H

#include "decision/action_type.h"
#include "decision/event_type.h"

#include <functional>

namespace rhubarbtrail {

struct OrderClientOptions
{
  Duration timeout = 2s;
  Incarnation issuer;
};

/* Sends an order and follows it to its end. The sink gets kAccepted at once when the engine
 * takes time, and then the final outcome. */
void CarryOutOrder(const OrderClientOptions& aOptions,
                   const SendOrder& aOrder,
                   const std::function<void(OrderResult)>& aSink);

} // namespace rhubarbtrail

#endif

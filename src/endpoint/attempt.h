/* One attempt of a request at an endpoint. */
#ifndef RHUBARBTRAIL_ENDPOINT_ATTEMPT_H
#define RHUBARBTRAIL_ENDPOINT_ATTEMPT_H

#include "caller/session.h"

namespace rhubarbtrail {

/* Sends the request of a session to an endpoint, passes the answer on and says how it ended. */
AttemptEnded RunAttempt(Session& aSession, const StartAttempt& aStart);

} // namespace rhubarbtrail

#endif

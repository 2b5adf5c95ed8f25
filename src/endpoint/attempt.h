/* One attempt to send a request to an endpoint. */
#ifndef RHUBARBTRAIL_ENDPOINT_ATTEMPT_H
#define RHUBARBTRAIL_ENDPOINT_ATTEMPT_H

#include "caller/session.h"

namespace rhubarbtrail {

/* Sends a session's request to an endpoint and forwards the answer to the session. Blocks until the
 * attempt has ended, and returns its outcome. */
AttemptEnded RunAttempt(Session& aSession, const StartAttempt& aStart);

} // namespace rhubarbtrail

#endif

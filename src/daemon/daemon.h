/* The daemon of the `serve` command. It connects the decision library with callers, endpoints, the
 * platform's services, operators and other daemons. */
#ifndef RHUBARBTRAIL_DAEMON_DAEMON_H
#define RHUBARBTRAIL_DAEMON_DAEMON_H

#include "settings/settings_base.h"

namespace rhubarbtrail {

/* Runs a daemon until a signal or an operator stops it. Returns the exit code of the process. */
int RunDaemon(const Settings& aSettings);

} // namespace rhubarbtrail

#endif

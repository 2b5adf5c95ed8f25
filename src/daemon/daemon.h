/* One daemon: the decisions, joined to callers, endpoints, the platform, operators and peers. */
#ifndef RHUBARBTRAIL_DAEMON_DAEMON_H
#define RHUBARBTRAIL_DAEMON_DAEMON_H

#include "settings/settings_base.h"

namespace rhubarbtrail {

/* Runs a daemon until it is told to stop; returns the exit code of the process. */
int RunDaemon(const Settings& aSettings);

} // namespace rhubarbtrail

#endif

/* The daemon on the users' platform: forwards clients' requests to endpoints. */
#ifndef RHUBARBTRAIL_DAEMON_EDGE_DAEMON_H
#define RHUBARBTRAIL_DAEMON_EDGE_DAEMON_H

#include "settings/settings_base.h"

#include <string>

namespace rhubarbtrail {

/* Runs the daemon until SIGTERM or SIGINT and the shutdown after it, and returns the exit code of
 * the process. SIGHUP reloads the settings from the given file. */
int RunEdgeDaemon(const Settings& aSettings, const std::string& aSettingsFile);

} // namespace rhubarbtrail

#endif

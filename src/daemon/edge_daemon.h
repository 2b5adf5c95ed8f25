/* The daemon on the users' platform: one event loop between clients and endpoints. */
#ifndef RHUBARBTRAIL_DAEMON_EDGE_DAEMON_H
#define RHUBARBTRAIL_DAEMON_EDGE_DAEMON_H

#include "settings/settings_base.h"

#include <string>

namespace rhubarbtrail {

/* Runs until SIGTERM; returns the exit code. The file is read again on SIGHUP. */
int RunEdgeDaemon(const Settings& aSettings, const std::string& aSettingsFile);

} // namespace rhubarbtrail

#endif

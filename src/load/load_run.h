/* Sends the requests of a scenario to running daemons. */
#ifndef RHUBARBTRAIL_LOAD_LOAD_RUN_H
#define RHUBARBTRAIL_LOAD_LOAD_RUN_H

#include "load/load_report.h"

#include <string>
#include <vector>

namespace rhubarbtrail {

/* Sends each request of a scenario at its planned time and returns the results when all requests
 * have ended. aDaemonAddresses are the addresses (host:port) of the daemons' caller APIs. Prints
 * the progress to standard error. */
std::vector<RequestOutcome> RunScenario(const Scenario& aScenario,
                                        const std::vector<std::string>& aDaemonAddresses);

} // namespace rhubarbtrail

#endif

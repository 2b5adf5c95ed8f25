/* Sends the requests of a scenario to real daemons, each at its intended time. */
#ifndef RHUBARBTRAIL_LOAD_LOAD_RUN_H
#define RHUBARBTRAIL_LOAD_LOAD_RUN_H

#include "load/load_report.h"

#include <string>
#include <vector>

namespace rhubarbtrail {

/* Runs a scenario against the daemons' caller addresses; progress goes to standard error. */
std::vector<RequestOutcome> RunScenario(const Scenario& aScenario,
                                        const std::vector<std::string>& aDaemons);

} // namespace rhubarbtrail

#endif

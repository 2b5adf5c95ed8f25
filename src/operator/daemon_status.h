/* Status overview for operators: the daemons, cells, runners, models, endpoints and quarantined
 * requests that one daemon knows. */
#ifndef RHUBARBTRAIL_OPERATOR_DAEMON_STATUS_H
#define RHUBARBTRAIL_OPERATOR_DAEMON_STATUS_H

#include "caller/snapshot_type.h"
#include "decision/decision.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rhubarbtrail {

/* Returns the name that the status and the log use for a readiness state. */
std::string_view ToString(Readiness aReadiness);

/* Builds the status document from a snapshot and a state dump. */
nlohmann::json MakeStatus(const Snapshot& aSnapshot, const std::vector<DumpEntry>& aDump);

/* Formats a status document as text: tables of other daemons, cells, runners and endpoints, and a
 * line for each quarantined request. */
std::string StatusToText(const nlohmann::json& aStatus);

} // namespace rhubarbtrail

#endif

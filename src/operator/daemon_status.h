/* What operators ask first: daemons, cells, runners and models as one daemon sees them. */
#ifndef RHUBARBTRAIL_OPERATOR_DAEMON_STATUS_H
#define RHUBARBTRAIL_OPERATOR_DAEMON_STATUS_H

#include "caller/snapshot_type.h"
#include "decision/decision.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rhubarbtrail {

/* Returns the word for a state of readiness. */
std::string_view ToString(Readiness aReadiness);

/* Builds the status from a snapshot and a state dump. */
nlohmann::json MakeStatus(const Snapshot& aSnapshot, const std::vector<DumpEntry>& aDump);

/* Returns a status as readable tables. */
std::string StatusToText(const nlohmann::json& aStatus);

} // namespace rhubarbtrail

#endif

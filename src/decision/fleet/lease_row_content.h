/* What the lease row names besides the lease, cut to the size that the platform's store accepts. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_LEASE_ROW_CONTENT_H
#define RHUBARBTRAIL_DECISION_FLEET_LEASE_ROW_CONTENT_H

#include "decision/fleet/prompt_part_guard.h"
#include "decision/fleet/recorded_versions.h"

#include <cstddef>
#include <vector>

namespace rhubarbtrail::fleet {

struct LeaseRowContent
{
  /* Software versions that the holder knew. A daemon that starts learns from them of versions that
   * may have begun streams and have no endpoint any more. */
  VersionsByService versions;
  std::vector<PartGroup> quarantinedParts; ///< Those that the holder knew.
  std::vector<PartTrials> partTrials;      ///< Of these groups, in the same order.
  /* Quarantined requests that the holder knew, those with the latest crashes first. */
  std::vector<FingerprintId> quarantinedRequests;

  bool operator==(const LeaseRowContent&) const = default;
};

/* Returns the content that takes at most aBytes of the row's text. Load pattern: entries of another
 * writer name more versions than the row has room for, and a holder whose row is refused loses the
 * lease, as does each one after it.
 *
 * Kept first are versions at which streams may have begun, which are those that the row names
 * already, then other versions, then quarantined parts with their trials, then quarantined
 * requests. Services take turns, so that one with many versions does not push out those of others.
 * If a version is left out, the content has kUnknownVersions as well, so that nobody takes the
 * others for all there are. */
LeaseRowContent FitLeaseRow(const LeaseRowContent& aContent,
                            const RecordedVersions& aRecorded,
                            std::size_t aBytes);

} // namespace rhubarbtrail::fleet

#endif

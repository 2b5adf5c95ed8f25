/* The software versions that the platform's lease row names. Load pattern: a second version joins,
 * begins streams, and is gone together with all daemons. Daemons that start then know the former
 * versions from the row alone, so a version must be in it before its first resumable stream. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_RECORDED_VERSIONS_H
#define RHUBARBTRAIL_DECISION_FLEET_RECORDED_VERSIONS_H

#include "core/id_type.h"
#include "decision/fleet/stream_origins.h"

namespace rhubarbtrail::fleet {

class RecordedVersions
{
public:
  /* Takes what the row is known to contain. Empty after the store came back from an older copy. */
  void Set(VersionsByService aVersions) { mVersions = std::move(aVersions); }

  /* Returns whether a resumable stream may begin at this version. */
  bool Has(const ServiceId& aService, const SoftwareVersion& aVersion) const
  {
    const auto found = mVersions.find(aService);
    return found != mVersions.end() && found->second.contains(aVersion);
  }

  const VersionsByService& versions() const { return mVersions; }

private:
  VersionsByService mVersions;
};

/* Returns the number of versions of all services. */
inline std::size_t CountVersions(const VersionsByService& aVersions)
{
  std::size_t count = 0;
  for (const auto& [service, versions] : aVersions) {
    count += versions.size();
  }
  return count;
}

/* Stands for versions that are not known because the row could not be read, has no room for them,
 * or is of an older copy of the store. While it is among the recent versions, no version counts as
 * the only one. */
inline const VersionsByService kUnknownVersions{ { ServiceId{}, { SoftwareVersion{} } } };

} // namespace rhubarbtrail::fleet

#endif

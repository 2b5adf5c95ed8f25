/* Fingerprints of requests that are suspected of crashing endpoints or quarantined for it. */
#ifndef RHUBARBTRAIL_DECISION_ROUTER_QUARANTINE_BASE_H
#define RHUBARBTRAIL_DECISION_ROUTER_QUARANTINE_BASE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <unordered_map>

namespace rhubarbtrail {

/* A set of fingerprints with expiry times and a limited size. */
class FingerprintSet
{
public:
  /* Adds a fingerprint or replaces its expiry time. Does nothing while the set is full. */
  void Add(const FingerprintId& aFingerprint, TimePoint aUntil, TimePoint aNow);
  void Remove(const FingerprintId& aFingerprint) { mExpiries.erase(aFingerprint); }
  bool Contains(const FingerprintId& aFingerprint, TimePoint aNow) const;
  std::size_t size() const { return mExpiries.size(); }
  const std::unordered_map<FingerprintId, TimePoint>& entries() const { return mExpiries; }

private:
  std::unordered_map<FingerprintId, TimePoint> mExpiries;
};

/* Suspects run isolated. A suspect that crashes an endpoint while it runs isolated is quarantined:
 * requests with its fingerprint are refused. */
struct FingerprintSets
{
  FingerprintSet suspects;
  FingerprintSet quarantined;
};

} // namespace rhubarbtrail

#endif

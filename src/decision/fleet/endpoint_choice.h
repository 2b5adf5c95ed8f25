/* Chooses among the endpoints of a plain service that state how slow they are. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_ENDPOINT_CHOICE_H
#define RHUBARBTRAIL_DECISION_FLEET_ENDPOINT_CHOICE_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <cstdint>
#include <span>

namespace rhubarbtrail::fleet {

/* An endpoint that may get a request. */
struct EndpointCandidate
{
  EndpointId id;
  double requestsAhead = 0.0; ///< Expected number that run or wait there.
  std::uint32_t slots = 1;
  Slowness slowness;
  bool isAvoided = false; ///< Chosen only if there is no other.
  /* Chosen only if all others are avoided or have no free slot. */
  bool isLimited = false;
  bool isInOtherZone = false;
  /* One more request would exceed the endpoint's window. Chosen only if all others are avoided,
   * beyond their windows or have no free slot. */
  bool isBeyondWindow = false;
};

/* Returns the time until the endpoint would have answered one more request, in multiples of the
 * time that a request takes at usual speed. */
double ExpectedTime(const EndpointCandidate& aCandidate);

/* Load pattern: hundreds of daemons choose among few endpoints by the same reports, which are up to
 * a second old. If each took the best, all would turn to the same endpoint at once. So each request
 * goes to the best of a random sample, which the seed determines. Returns null if there is no
 * candidate. */
const EndpointCandidate* ChooseFromSample(std::span<const EndpointCandidate> aCandidates,
                                          std::uint64_t aSeed);

} // namespace rhubarbtrail::fleet

#endif

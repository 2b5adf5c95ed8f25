/* Decides how a daemon shares its descriptors between clients, the requests that it sends on, and
 * its own calls. The load it answers: clients that open connections, begin a request on each and
 * send nothing more, until no descriptor is left for the store, other daemons, endpoints, the
 * readiness check and the metrics. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_DESCRIPTOR_BUDGET_H
#define RHUBARBTRAIL_DECISION_FLEET_DESCRIPTOR_BUDGET_H

#include <algorithm>
#include <cstddef>

namespace rhubarbtrail::fleet {

/* The descriptors of one daemon. All figures are numbers of descriptors. */
struct DescriptorBudget
{
  std::size_t limit = 1'024; ///< That the process may have open, files among them.

  /* From this number of clients on, a new one takes the place of one that is idle or whose request
   * progresses least. The other half is for the connections to endpoints. */
  std::size_t sharedClients() const { return limit / 2; }
  /* Returns whether a client's connection may be kept that would be one more than these. */
  bool HasRoomForClient(std::size_t aOpen) const { return aOpen < limit - 2 * reserve(); }
  /* Returns whether a client's request may open a connection to an endpoint, or a client be told
   * that it is refused. */
  bool HasRoomForRequest(std::size_t aOpen) const { return aOpen < limit - reserve(); }
  /* Connections to the addresses for the balancer and for metrics, each. */
  std::size_t ownClients() const { return std::clamp<std::size_t>(limit / 32, 8, 64); }
  /* Accepted connections of which no message of another daemon has come yet. */
  std::size_t unprovenDaemons() const { return std::clamp<std::size_t>(limit / 16, 8, 256); }

private:
  /* Kept for own calls. */
  std::size_t reserve() const { return limit / 8; }
};

} // namespace rhubarbtrail::fleet

#endif

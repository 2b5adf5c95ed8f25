/* How a daemon shares its descriptors. The load: clients that open as many connections as they can
 * and do not end their requests. */
#include "decision/fleet/descriptor_budget.h"

#include <doctest/doctest.h>

using namespace rhubarbtrail::fleet;

/* Guards against clients, or the requests sent on for them, that leave none for own calls. */
TEST_CASE("clients and their requests leave descriptors for own calls, whatever the limit")
{
  for (const std::size_t limit : { 256, 1'024, 1'100, 4'100, 1'000'000 }) {
    const DescriptorBudget budget{ .limit = limit };
    std::size_t open = 0;
    while (budget.HasRoomForClient(open)) {
      ++open;
    }
    CHECK(open >= budget.sharedClients());
    const std::size_t clients = open;
    while (budget.HasRoomForRequest(open)) {
      ++open;
    }
    CAPTURE(limit);
    CHECK(open - clients >= limit / 8);
    CHECK(limit - open >= 32);
    // Both of the other addresses and new daemons, at their limits, fit into what is left.
    CHECK(limit - open >= 2 * budget.ownClients() + budget.unprovenDaemons());
  }
}

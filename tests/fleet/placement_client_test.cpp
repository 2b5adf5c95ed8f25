/* The daemon's side of placement requests and assignments. Guards against places at runners that
 * stay taken at the dispatcher although no request uses them. */
#include "gateway/placement_client.h"

#include <doctest/doctest.h>

#include <set>
#include <variant>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

/* A placement client and the messages that have reached its dispatcher. */
struct Fixture
{
  PlacementClient client{ [this](const DispatchMessage& aMessage) {
    if (isConnected) {
      if (const auto* released = std::get_if<AssignmentReleased>(&aMessage)) {
        releasedIds.insert(released->id.number);
      }
    }
    return isConnected;
  } };
  bool isConnected = true;
  std::set<std::uint64_t> releasedIds;
  int answerCount = 0;

  static PlacementRequestId IdOf(std::uint64_t aNumber)
  {
    return { .daemon = DaemonId{ "d0" }, .number = aNumber };
  }
  void Request(std::uint64_t aNumber)
  {
    client.RequestAssignment({ .id = IdOf(aNumber) },
                             [this](const PlacementReply&) { ++answerCount; });
  }
  void Assign(std::uint64_t aNumber)
  {
    client.OnReply({ .id = IdOf(aNumber),
                     .answer = RunnerAssigned{ .runner = EndpointId{ "r0" }, .version = {} } });
  }
  void LoseDispatcher()
  {
    isConnected = false;
    client.OnDispatcherLost();
  }
  void FindDispatcher()
  {
    isConnected = true;
    client.OnNewDispatcher();
  }
};

} // namespace

TEST_CASE("placement client: a release that could not be sent is sent to the dispatcher later")
{
  Fixture fixture;
  fixture.Request(1);
  fixture.Assign(1);
  fixture.LoseDispatcher();
  fixture.client.Release({ .id = Fixture::IdOf(1) });
  fixture.FindDispatcher();
  CHECK(fixture.releasedIds == std::set<std::uint64_t>{ 1 });
}

TEST_CASE("placement client: requests that were pending when the dispatcher was lost are withdrawn")
{
  Fixture fixture;
  fixture.Request(1);
  fixture.LoseDispatcher();
  CHECK(fixture.answerCount == 1);
  fixture.FindDispatcher();
  CHECK(fixture.releasedIds == std::set<std::uint64_t>{ 1 });
}

TEST_CASE(
  "placement client: an assignment that no request waits for is released, one in use is not")
{
  Fixture fixture;
  fixture.Request(1);
  fixture.Request(2);
  fixture.LoseDispatcher();
  fixture.FindDispatcher();
  fixture.releasedIds.clear();
  fixture.Assign(1);
  CHECK(fixture.releasedIds == std::set<std::uint64_t>{ 1 });

  fixture.releasedIds.clear();
  fixture.Request(3);
  fixture.Assign(3);
  fixture.Assign(3); // The reply is repeated, because the first may have been lost.
  CHECK(fixture.releasedIds.empty());
}

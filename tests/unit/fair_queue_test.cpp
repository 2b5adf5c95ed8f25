/* Customers with few requests are served beside a customer with many: queue order, queue limits and
 * the estimate of the time to an answer. */
#include "decision/router/fair_queue_base.h"
#include "tests/unit/router_world.h"

#include <doctest/doctest.h>

using namespace rhubarbtrail;
using namespace rhubarbtrail::test;

// The urgent request is ahead of all requests of lower priority. Customers of equal priority take
// turns, in proportion to their weights. So for a customer without waiting requests, one request of
// each other customer counts, or half of one if its own weight is 2.
TEST_CASE("the number of requests ahead depends on the backlog of the same customer")
{
  struct Case
  {
    const char* name;
    const char* customer;
    std::uint32_t weight;
    std::uint32_t priority;
    double ahead;
  };
  FairQueue queue;
  for (int index = 0; index < 100; ++index) {
    queue.Push({ .request = RequestId{ "b" + std::to_string(index) },
                 .customer = CustomerId{ "big" },
                 .priority = 1 });
  }
  queue.Push({ .request = RequestId{ "u" }, .customer = CustomerId{ "urgent" }, .priority = 0 });
  const std::vector<Case> cases{
    { "the large customer", "big", 1, 1, 101 },
    { "a small customer", "small", 1, 1, 2 },
    { "a small customer of weight 2", "small", 2, 1, 1.5 },
    { "an urgent request", "small", 1, 0, 1 },
    { "a request that can wait", "small", 1, 2, 101 },
  };
  for (const Case& row : cases) {
    INFO(row.name);
    CHECK(queue.EstimateAhead({ .request = RequestId{ "new" },
                                .customer = CustomerId{ row.customer },
                                .weight = row.weight,
                                .priority = row.priority }) == doctest::Approx(row.ahead));
  }
  CHECK(queue.LastRequestOf(CustomerId{ "urgent" }) == RequestId{ "u" });
  CHECK(!queue.LastRequestOf(CustomerId{ "nobody" }));
}

// The large customer alone exceeds the daemon's queue limit of 100. A request of a small customer
// must be queued nevertheless, in place of a request of the large one.
TEST_CASE(
  "a large customer does not fill the daemon's queue or delay a small one past its deadline")
{
  World world({ .configure = [](Configuration& aConfiguration, DecisionSettings& aSettings) {
    aConfiguration.customers.at(CustomerId{ "big" }).queueLimit = 1'000;
    aSettings.queueLimit = 100;
  } });
  world.endOfAttempt = [](const StartedAttempt&) {
    return std::optional{ SimulatedEnd{ AttemptOutcome::kCompleted, 1s } };
  };
  world.SendRequest({}); // Loads the model and gives the router a service time.
  world.Run(3s);
  std::vector<RequestId> large;
  for (int index = 0; index < 200; ++index) {
    large.push_back(world.SendRequest({}));
  }
  const RequestId small = world.SendRequest({ .customer = CustomerId{ "small" }, .timeLeft = 4s });
  const RequestId refused = world.SendRequest({ .timeLeft = 4s });
  CHECK(world.CodeOf(refused) == 2101);
  world.Run(30s);
  CHECK(world.CodeOf(small) == 1000);
  std::size_t answered = 0;
  for (const RequestId& request : large) {
    const bool isAnswered = world.CodeOf(request) == 1000;
    answered += isAnswered ? 1 : 0;
    CHECK((isAnswered || world.CodeOf(request) == 2101));
  }
  CHECK(answered == 99);
}

TEST_CASE("a request that cannot be answered in time is refused at once with a retry-after time")
{
  World world({});
  world.endOfAttempt = [](const StartedAttempt&) {
    return std::optional{ SimulatedEnd{ AttemptOutcome::kCompleted, 1s } };
  };
  world.SendRequest({});
  world.Run(3s);
  for (int index = 0; index < 80; ++index) {
    world.SendRequest({});
  }
  const RequestId shortDeadline = world.SendRequest({ .timeLeft = 3s });
  CHECK(world.CodeOf(shortDeadline) == 2102);
  CHECK(world.finished.at(shortDeadline).finish.retryAfter > 2s);
  const RequestId longDeadline = world.SendRequest({ .timeLeft = 9s });
  CHECK(world.CodeOf(longDeadline) == 0);
  world.Run(9s);
  CHECK(world.CodeOf(longDeadline) == 1000);
}

// The first request takes 10 s, and the second one has only 2 s left. It can start at once and may
// take much less time, so it must not be refused because of the first one.
TEST_CASE("long service times of earlier requests cause no refusal while slots are free")
{
  World world({});
  Duration time = 10s;
  world.endOfAttempt = [&](const StartedAttempt&) {
    return std::optional{ SimulatedEnd{ AttemptOutcome::kCompleted, time } };
  };
  world.SendRequest({});
  world.Run(15s);
  time = 100ms;
  const RequestId request = world.SendRequest({ .timeLeft = 2s });
  world.Run(2s);
  CHECK(world.CodeOf(request) == 1000);
}

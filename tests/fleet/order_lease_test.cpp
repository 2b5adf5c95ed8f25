/* The order lease under faults. Runners do not compare fencing tokens, so only the lease keeps the
 * orders of two holders apart. They must be at least the spacing apart, also when processes end,
 * restart or are suspended, when the store cannot be reached and when answers to writes are lost.
 */
#include "decision/fleet/order_lease.h"

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

constexpr Duration kStep = 10ms;
constexpr Duration kSpacing = 3s;

/* The lease row in a store, and daemons that compete for the lease. Reads and writes end within the
 * step in which they begin. The daemons send each other no heartbeats, so they see each other only
 * in the row. A daemon that may send orders is assumed to send one in each step. */
class LeaseWorld
{
public:
  explicit LeaseWorld(std::size_t aDaemons)
  {
    for (std::size_t number = 0; number < aDaemons; ++number) {
      daemons.push_back(MakeDaemon(number, 0));
    }
  }

  struct Daemon
  {
    std::string name;
    int restarts = 0;
    OrderLease lease;
    bool isDown = false;             ///< The process does not run.
    bool isSuspended = false;        ///< The process is stopped and keeps its state.
    bool isStoreUnreachable = false; ///< All of its reads and writes fail.
  };

  static Daemon MakeDaemon(std::size_t aNumber, int aRestarts)
  {
    const std::string name = "d" + std::to_string(aNumber);
    return { .name = name,
             .restarts = aRestarts,
             .lease =
               OrderLease({ .self = DaemonId{ name },
                            .incarnation = IncarnationId{ name + "." + std::to_string(aRestarts) },
                            .address = "10.0.0.1:1",
                            .spacing = kSpacing }) };
  }

  void Restart(std::size_t aNumber)
  {
    daemons[aNumber] = MakeDaemon(aNumber, daemons[aNumber].restarts + 1);
  }

  void Run(Duration aTime)
  {
    for (const TimePoint end = now + aTime; now < end;) {
      now += kStep;
      Step();
    }
  }

  /* Returns the number of running or suspended daemons that may send orders now. */
  std::size_t CountDaemonsThatMayOrder() const
  {
    std::size_t count = 0;
    for (const Daemon& daemon : daemons) {
      count += !daemon.isDown && daemon.lease.MayOrder(now) ? 1 : 0;
    }
    return count;
  }

  std::vector<Daemon> daemons;
  TimePoint now{ 1'000s };
  OrderLeaseRow row;
  RowVersion version;
  std::uint64_t nextVersion = 1;
  double lostAnswerProbability = 0.0; ///< For the answers to successful writes.
  std::mt19937 random{ 1 };
  std::string lastSender;
  FencingToken lastFence;
  TimePoint lastOrderAt{};
  std::vector<std::string> violations;

private:
  void Step()
  {
    for (Daemon& daemon : daemons) {
      if (daemon.isDown || daemon.isSuspended) {
        continue;
      }
      if (const auto action = daemon.lease.Tick(now)) {
        Execute(daemon, *action);
      }
      if (daemon.lease.MayOrder(now)) {
        RecordOrder(daemon);
      }
    }
  }

  void Execute(Daemon& aDaemon, const LeaseAction& aAction)
  {
    const auto* write = std::get_if<WriteLease>(&aAction);
    if (aDaemon.isStoreUnreachable) {
      write == nullptr ? aDaemon.lease.OnReadFailed(now) : aDaemon.lease.OnWriteFailed(now, false);
      return;
    }
    if (write == nullptr) {
      aDaemon.lease.OnRead(now, row, version);
      return;
    }
    if (write->expectedVersion != version) {
      aDaemon.lease.OnConflict(now, row, version);
      return;
    }
    row = write->row;
    version = { nextVersion++ };
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    if (chance(random) < lostAnswerProbability) {
      aDaemon.lease.OnWriteFailed(now, true);
      return;
    }
    aDaemon.lease.OnWritten(now, version);
  }

  /* Checks an order that the daemon sends now. If the order before it came from another daemon,
   * that must be at least the spacing ago, and this daemon's fencing token must be higher. */
  void RecordOrder(const Daemon& aDaemon)
  {
    if (!lastSender.empty() && lastSender != aDaemon.name && now - lastOrderAt < kSpacing) {
      violations.push_back(aDaemon.name + " sends orders too soon after " + lastSender);
    }
    if (lastSender != aDaemon.name && aDaemon.lease.fence() <= lastFence) {
      violations.push_back(aDaemon.name + " has no higher fencing token than " + lastSender);
    }
    lastSender = aDaemon.name;
    lastOrderAt = now;
    lastFence = std::max(lastFence, aDaemon.lease.fence());
  }
};

} // namespace

TEST_CASE("exactly one daemon gets a new lease, within a second")
{
  LeaseWorld world(3);
  world.Run(1s);
  CHECK(world.CountDaemonsThatMayOrder() == 1);
  CHECK(world.violations.empty());
}

// The other daemons cannot tell an ended process from one that still sends orders. They must wait
// before their first order, but not for ever.
TEST_CASE("a holder whose process has ended is replaced, but not before the spacing has passed")
{
  LeaseWorld world(3);
  world.Run(2s);
  REQUIRE(world.CountDaemonsThatMayOrder() == 1);
  for (auto& daemon : world.daemons) {
    daemon.isDown = daemon.lease.isHolder();
  }
  world.Run(3s);
  CHECK(world.CountDaemonsThatMayOrder() == 0);
  world.Run(4s);
  CHECK(world.CountDaemonsThatMayOrder() == 1);
  CHECK(world.violations.empty());
}

// A suspended process still has the lease in its memory when it resumes, but another daemon has
// taken the lease in the meantime. The time since the last renewal must stop its orders before it
// reads the row again.
TEST_CASE("a holder that was suspended sends no order when it resumes")
{
  LeaseWorld world(2);
  world.Run(2s);
  const std::size_t holder = world.daemons[0].lease.isHolder() ? 0 : 1;
  world.daemons[holder].isSuspended = true;
  world.Run(8s);
  CHECK(world.daemons[1 - holder].lease.MayOrder(world.now));
  world.daemons[holder].isSuspended = false;
  CHECK_FALSE(world.daemons[holder].lease.MayOrder(world.now));
  world.Run(2s);
  CHECK(world.violations.empty());
  CHECK(world.CountDaemonsThatMayOrder() == 1);
}

// The row still names this daemon as the holder, so no other daemon has sent orders since. Waiting
// for the spacing as after a change of holders would only delay its orders.
TEST_CASE("the last holder may send orders within a second after its process restarts")
{
  LeaseWorld world(1);
  world.Run(2s);
  world.Restart(0);
  world.Run(1s);
  CHECK(world.CountDaemonsThatMayOrder() == 1);
  CHECK(world.violations.empty());
}

// A released lease needs no time-out, and the former holder sends no orders after the release. So
// the next holder waits only for the delivery of the last orders and for the spacing: another
// daemon may send orders 5 s after the release.
TEST_CASE("a holder that shuts down releases the lease, and another daemon soon takes it")
{
  LeaseWorld world(2);
  world.Run(2s);
  const std::size_t holder = world.daemons[0].lease.isHolder() ? 0 : 1;
  world.daemons[holder].lease.Release();
  world.Run(1s);
  CHECK(world.daemons[holder].lease.isReleased());
  world.daemons[holder].isDown = true;
  world.Run(4s);
  CHECK(world.CountDaemonsThatMayOrder() == 1);
  CHECK(world.violations.empty());
}

// After the outage, all daemons find a row that was not renewed for longer than the takeover delay.
// If one of them took the lease at once, orders would stop for the spacing once more. So they first
// give the holder time to renew.
TEST_CASE("an outage of the store stops orders, and the same holder continues after it")
{
  LeaseWorld world(3);
  world.Run(2s);
  const std::string holder = world.lastSender;
  for (auto& daemon : world.daemons) {
    daemon.isStoreUnreachable = true;
  }
  world.Run(8s);
  CHECK(world.CountDaemonsThatMayOrder() == 0);
  for (auto& daemon : world.daemons) {
    daemon.isStoreUnreachable = false;
  }
  world.Run(2s);
  CHECK(world.CountDaemonsThatMayOrder() == 1);
  CHECK(world.lastSender == holder);
  CHECK(world.violations.empty());
}

TEST_CASE("a holder that is the only daemon without access to the store is replaced")
{
  LeaseWorld world(3);
  world.Run(2s);
  const std::string holder = world.lastSender;
  for (auto& daemon : world.daemons) {
    daemon.isStoreUnreachable = daemon.lease.isHolder();
  }
  world.Run(8s);
  CHECK(world.CountDaemonsThatMayOrder() == 1);
  CHECK(world.lastSender != holder);
  CHECK(world.violations.empty());
}

// The daemons also release the lease at random times. After a write whose answer was lost, a daemon
// does not know whether it holds the lease.
TEST_CASE("random process ends, suspensions, outages and lost answers never break the spacing")
{
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    INFO("seed ", seed);
    LeaseWorld world(4);
    world.random.seed(seed);
    world.lostAnswerProbability = 0.1;
    std::uniform_int_distribution<std::size_t> which(0, 3);
    std::uniform_int_distribution<int> what(0, 7);
    for (int step = 0; step < 120; ++step) {
      auto& daemon = world.daemons[which(world.random)];
      switch (what(world.random)) {
        case 0:
          daemon.isDown = true;
          break;
        case 1:
          daemon.isSuspended = !daemon.isSuspended;
          break;
        case 2:
          daemon.isStoreUnreachable = !daemon.isStoreUnreachable;
          break;
        case 3:
          if (daemon.isDown) {
            world.Restart(which(world.random));
          }
          break;
        case 4:
          daemon.lease.Release();
          break;
        default:
          break;
      }
      world.Run(400ms);
    }
    CHECK(world.violations.empty());
  }
}

/* The lease of the order giver: never two within the spacing, whatever fails. */
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

/* The row of the lease in a store, and daemons that want it. */
class LeaseWorld
{
public:
  explicit LeaseWorld(std::size_t aDaemons)
  {
    for (std::size_t number = 0; number < aDaemons; ++number) {
      daemons.push_back(Make(number, 0));
    }
  }

  struct Daemon
  {
    std::string name;
    int life = 0;
    OrderLease lease;
    bool isDown = false;   ///< Its process does not run.
    bool isFrozen = false; ///< Its process stands still.
    bool isCut = false;    ///< The store turns it away.
  };

  static Daemon Make(std::size_t aNumber, int aLife)
  {
    const std::string name = "d" + std::to_string(aNumber);
    return { .name = name,
             .life = aLife,
             .lease =
               OrderLease({ .self = DaemonId{ name },
                            .incarnation = IncarnationId{ name + "." + std::to_string(aLife) },
                            .address = "10.0.0.1:1",
                            .spacing = kSpacing }) };
  }

  void Restart(std::size_t aNumber) { daemons[aNumber] = Make(aNumber, daemons[aNumber].life + 1); }

  void Run(Duration aTime)
  {
    for (const TimePoint end = now + aTime; now < end;) {
      now += kStep;
      Step();
    }
  }

  std::size_t Holders() const
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
  double lostAnswers = 0.0;
  std::mt19937 random{ 1 };
  std::string lastOrderer;
  Fence lastFence;
  TimePoint lastOrderAt{};
  std::vector<std::string> violations;

private:
  void Step()
  {
    for (Daemon& daemon : daemons) {
      if (daemon.isDown || daemon.isFrozen) {
        continue;
      }
      if (const auto action = daemon.lease.Tick(now)) {
        Carry(daemon, *action);
      }
      if (daemon.lease.MayOrder(now)) {
        NoteOrder(daemon);
      }
    }
  }

  void Carry(Daemon& aDaemon, const LeaseAction& aAction)
  {
    const auto* write = std::get_if<WriteLease>(&aAction);
    if (aDaemon.isCut) {
      write == nullptr ? aDaemon.lease.OnReadFailed(now) : aDaemon.lease.OnWriteFailed(now, false);
      return;
    }
    if (write == nullptr) {
      aDaemon.lease.OnRead(now, row, version);
      return;
    }
    if (write->expected != version) {
      aDaemon.lease.OnConflict(now, row, version);
      return;
    }
    row = write->row;
    version = { nextVersion++ };
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    if (chance(random) < lostAnswers) {
      aDaemon.lease.OnWriteFailed(now, true);
      return;
    }
    aDaemon.lease.OnWritten(now, version);
  }

  /* Judges an order that leaves now, as runners would that do not compare fences. */
  void NoteOrder(const Daemon& aDaemon)
  {
    if (!lastOrderer.empty() && lastOrderer != aDaemon.name && now - lastOrderAt < kSpacing) {
      violations.push_back(aDaemon.name + " orders too soon after " + lastOrderer);
    }
    if (lastOrderer != aDaemon.name && aDaemon.lease.fence() <= lastFence) {
      violations.push_back(aDaemon.name + " has no higher fence than " + lastOrderer);
    }
    lastOrderer = aDaemon.name;
    lastOrderAt = now;
    lastFence = std::max(lastFence, aDaemon.lease.fence());
  }
};

} // namespace

TEST_CASE("the first daemon gets the lease at once, and only one does")
{
  LeaseWorld world(3);
  world.Run(1s);
  CHECK(world.Holders() == 1);
  CHECK(world.violations.empty());
}

TEST_CASE("a dead holder is replaced, and not before the spacing has passed")
{
  LeaseWorld world(3);
  world.Run(2s);
  REQUIRE(world.Holders() == 1);
  for (auto& daemon : world.daemons) {
    daemon.isDown = daemon.lease.isHolder();
  }
  world.Run(3s);
  CHECK(world.Holders() == 0);
  world.Run(4s);
  CHECK(world.Holders() == 1);
  CHECK(world.violations.empty());
}

TEST_CASE("a holder that was frozen gives no order when it wakes")
{
  LeaseWorld world(2);
  world.Run(2s);
  const std::size_t holder = world.daemons[0].lease.isHolder() ? 0 : 1;
  world.daemons[holder].isFrozen = true;
  world.Run(8s);
  CHECK(world.daemons[1 - holder].lease.MayOrder(world.now));
  world.daemons[holder].isFrozen = false;
  CHECK_FALSE(world.daemons[holder].lease.MayOrder(world.now));
  world.Run(2s);
  CHECK(world.violations.empty());
  CHECK(world.Holders() == 1);
}

TEST_CASE("a host whose process starts anew goes on without waiting")
{
  LeaseWorld world(1);
  world.Run(2s);
  world.Restart(0);
  world.Run(1s);
  CHECK(world.Holders() == 1);
  CHECK(world.violations.empty());
}

TEST_CASE("a holder that stops hands the lease back, and the next one waits for the spacing only")
{
  LeaseWorld world(2);
  world.Run(2s);
  const std::size_t holder = world.daemons[0].lease.isHolder() ? 0 : 1;
  world.daemons[holder].lease.Release();
  world.Run(1s);
  CHECK(world.daemons[holder].lease.isReleased());
  world.daemons[holder].isDown = true;
  world.Run(4s);
  CHECK(world.Holders() == 1);
  CHECK(world.violations.empty());
}

TEST_CASE("an outage of the store stops orders, and the holder goes on after it")
{
  LeaseWorld world(3);
  world.Run(2s);
  const std::string holder = world.lastOrderer;
  for (auto& daemon : world.daemons) {
    daemon.isCut = true;
  }
  world.Run(8s);
  CHECK(world.Holders() == 0);
  for (auto& daemon : world.daemons) {
    daemon.isCut = false;
  }
  world.Run(2s);
  CHECK(world.Holders() == 1);
  CHECK(world.lastOrderer == holder);
  CHECK(world.violations.empty());
}

TEST_CASE("a holder that alone cannot reach the store is replaced")
{
  LeaseWorld world(3);
  world.Run(2s);
  const std::string holder = world.lastOrderer;
  for (auto& daemon : world.daemons) {
    daemon.isCut = daemon.lease.isHolder();
  }
  world.Run(8s);
  CHECK(world.Holders() == 1);
  CHECK(world.lastOrderer != holder);
  CHECK(world.violations.empty());
}

TEST_CASE("random deaths, freezes, cuts and lost answers never bring two order givers together")
{
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    INFO("seed ", seed);
    LeaseWorld world(4);
    world.random.seed(seed);
    world.lostAnswers = 0.1;
    std::uniform_int_distribution<std::size_t> which(0, 3);
    std::uniform_int_distribution<int> what(0, 7);
    for (int step = 0; step < 120; ++step) {
      auto& daemon = world.daemons[which(world.random)];
      switch (what(world.random)) {
        case 0:
          daemon.isDown = true;
          break;
        case 1:
          daemon.isFrozen = !daemon.isFrozen;
          break;
        case 2:
          daemon.isCut = !daemon.isCut;
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

/* The order lease under faults. Runners do not compare fencing tokens, so only the lease keeps the
 * orders of two holders apart. They must be at least the spacing apart, also when processes end,
 * restart or are suspended, when the store cannot be reached and when answers to writes are lost.
 */
#include "decision/fleet/order_lease.h"
#include "tests/support/trace_digest.h"

#include <doctest/doctest.h>

#include <algorithm>
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
    bool isDown = false;                ///< The process does not run.
    bool isSuspended = false;           ///< The process is stopped and keeps its state.
    bool isStoreUnreachable = false;    ///< All of its reads and writes fail.
    std::string address = "10.0.0.1:1"; ///< Distinguishes hosts that bear one name.
    double clockRate = 1.0;             ///< Speed of its clock relative to the simulated time.

    std::string host() const { return name + "@" + address; }
    TimePoint Local(TimePoint aNow) const
    {
      return clockRate == 1.0 ? aNow
                              : TimePoint{ std::chrono::duration_cast<Duration>(
                                  aNow.time_since_epoch() * clockRate) };
    }
  };

  static Daemon MakeDaemon(std::size_t aNumber,
                           int aRestarts,
                           const std::string& aAddress = "10.0.0.1:1")
  {
    const std::string name = "d" + std::to_string(aNumber);
    const std::string incarnation = name + "@" + aAddress + "." + std::to_string(aRestarts);
    return { .name = name,
             .restarts = aRestarts,
             .lease = OrderLease({ .self = DaemonId{ name },
                                   .incarnation = IncarnationId{ incarnation },
                                   .address = aAddress,
                                   .spacing = kSpacing }),
             .address = aAddress };
  }

  void Restart(std::size_t aNumber)
  {
    Daemon& daemon = daemons[aNumber];
    const std::string number = daemon.name.substr(1);
    const double clockRate = daemon.clockRate;
    daemon = MakeDaemon(std::stoul(number), daemon.restarts + 1, daemon.address);
    daemon.clockRate = clockRate;
  }

  /* Adds a host at a new address under the name of another one, which stays as it is. */
  Daemon& AddReplacement(std::size_t aNumber)
  {
    const std::string number = daemons[aNumber].name.substr(1);
    const std::string address = "10.0.0." + std::to_string(daemons.size() + 1) + ":1";
    return daemons.emplace_back(MakeDaemon(std::stoul(number), 0, address));
  }

  void Run(Duration aTime)
  {
    for (const TimePoint end = now + aTime; now < end;) {
      now += kStep;
      ApplyLateWrites();
      Step();
      copies.push_back({ .at = now, .row = row, .version = version, .nextVersion = nextVersion });
      if (copies.size() > kKeptCopies) {
        copies.pop_front();
      }
    }
  }

  /* Lets the store come back from the copy of some time ago, or empty if there was none. Writes
   * that are on their way reach the store that came back. */
  void RestoreStore(Duration aAge)
  {
    Copy chosen{ .version = {}, .nextVersion = 1 };
    for (const Copy& copy : copies) {
      if (copy.at <= now - aAge) {
        chosen = copy;
      }
    }
    row = chosen.row;
    version = chosen.version;
    nextVersion = chosen.nextVersion;
    copies.clear();
    ++era.value;
  }

  /* Returns the number of running or suspended daemons that may send orders now. */
  std::size_t CountDaemonsThatMayOrder() const
  {
    std::size_t count = 0;
    for (const Daemon& daemon : daemons) {
      count += !daemon.isDown && daemon.lease.MayOrder(daemon.Local(now)) ? 1 : 0;
    }
    return count;
  }

  std::vector<Daemon> daemons;
  TimePoint now{ 1'000s };
  OrderLeaseRow row;
  RowVersion version;
  std::uint64_t nextVersion = 1;
  StoreEra era{ 1 };
  bool isEraStated = true;            ///< The store states its era in its answers.
  bool hasHeartbeats = false;         ///< Each holder tells the others of the row that it knows.
  double lostAnswerProbability = 0.0; ///< For the answers to successful writes.
  double lateWriteProbability = 0.0;  ///< For writes that take effect later, without an answer.
  std::mt19937 random{ 1 };
  std::string lastSender;
  FencingToken lastFence;
  TimePoint lastOrderAt{};
  std::vector<std::string> violations;
  TraceDigest trace; ///< Of the orders.

private:
  struct Copy
  {
    TimePoint at{};
    OrderLeaseRow row;
    RowVersion version;
    std::uint64_t nextVersion = 1;
  };

  struct LateWrite
  {
    TimePoint at{};
    WriteLease write;
  };

  static constexpr std::size_t kKeptCopies = 1'000;

  /* Writes the row if it has the expected version, which is all that the store compares. */
  bool Apply(const WriteLease& aWrite)
  {
    if (aWrite.expectedVersion.value != version.value) {
      return false;
    }
    row = aWrite.row;
    version = { nextVersion++ };
    return true;
  }

  void ApplyLateWrites()
  {
    for (const LateWrite& late : lateWrites) {
      if (late.at <= now) {
        Apply(late.write);
      }
    }
    std::erase_if(lateWrites, [this](const LateWrite& aLate) { return aLate.at <= now; });
  }

  /* Returns the version as a daemon learns it from an answer. */
  RowVersion StatedVersion() const { return { version.value, isEraStated ? era : StoreEra{} }; }

  void Step()
  {
    for (Daemon& daemon : daemons) {
      if (daemon.isDown || daemon.isSuspended) {
        continue;
      }
      if (const auto action = daemon.lease.Tick(daemon.Local(now))) {
        Execute(daemon, *action);
      }
      if (hasHeartbeats && daemon.lease.isHolder()) {
        SendHeartbeats(daemon);
      }
      if (daemon.lease.MayOrder(daemon.Local(now))) {
        RecordOrder(daemon);
        trace.Add(now);
        trace.Add(daemon.name);
        trace.Add(daemon.lease.fence().value);
      }
    }
  }

  void SendHeartbeats(const Daemon& aHolder)
  {
    for (Daemon& daemon : daemons) {
      if (&daemon != &aHolder && !daemon.isDown && !daemon.isSuspended) {
        daemon.lease.OnHolderHeartbeat(daemon.Local(now),
                                       aHolder.lease.row(),
                                       aHolder.lease.version(),
                                       aHolder.lease.state(aHolder.Local(now)));
      }
    }
  }

  void Execute(Daemon& aDaemon, const LeaseAction& aAction)
  {
    const auto* write = std::get_if<WriteLease>(&aAction);
    const TimePoint local = aDaemon.Local(now);
    if (aDaemon.isStoreUnreachable) {
      write == nullptr ? aDaemon.lease.OnReadFailed(local)
                       : aDaemon.lease.OnWriteFailed(local, false);
      return;
    }
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    if (write != nullptr && chance(random) < lateWriteProbability) {
      std::uniform_int_distribution<int> delayMs(10, 3'000);
      lateWrites.push_back(
        { .at = now + std::chrono::milliseconds{ delayMs(random) }, .write = *write });
      aDaemon.lease.OnWriteFailed(local, true);
      return;
    }
    const bool isWritten = write != nullptr && Apply(*write);
    if (isWritten && chance(random) < lostAnswerProbability) {
      aDaemon.lease.OnWriteFailed(local, true);
      return;
    }
    aDaemon.lease.OnEra(local, StatedVersion().era);
    if (write == nullptr) {
      aDaemon.lease.OnRead(local, row, StatedVersion());
    } else if (isWritten) {
      aDaemon.lease.OnWritten(local, StatedVersion());
    } else {
      aDaemon.lease.OnConflict(local, row, StatedVersion());
    }
  }

  std::deque<Copy> copies; ///< Of the last 10 s, the oldest first.
  std::vector<LateWrite> lateWrites;

  /* Checks an order that the daemon sends now. If the order before it came from another daemon,
   * that must be at least the spacing ago, and this daemon's fencing token must be higher. */
  void RecordOrder(const Daemon& aDaemon)
  {
    if (!lastSender.empty() && lastSender != aDaemon.host() && now - lastOrderAt < kSpacing) {
      violations.push_back(aDaemon.host() + " sends orders too soon after " + lastSender);
    }
    if (lastSender != aDaemon.host() && aDaemon.lease.fence() <= lastFence) {
      violations.push_back(aDaemon.host() + " has no higher fencing token than " + lastSender);
    }
    lastSender = aDaemon.host();
    lastOrderAt = now;
    lastFence = std::max(lastFence, aDaemon.lease.fence());
  }
};

} // namespace

TEST_CASE("exactly one daemon gets a new lease, within a second")
{
  LeaseWorld world(3);
  world.isEraStated = false; // Else a missing row may be one that the store has forgotten.
  world.Run(1s);
  CHECK(world.CountDaemonsThatMayOrder() == 1);
  CHECK(world.violations.empty());
}

// The other daemons cannot tell an ended process from one that still sends orders. They must wait
// before their first order, but not for ever.
TEST_CASE("a holder whose process has ended is replaced, but not before the spacing has passed")
{
  LeaseWorld world(3);
  world.Run(6s);
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
  world.Run(6s);
  const std::size_t holder = world.daemons[0].lease.isHolder() ? 0 : 1;
  world.daemons[holder].isSuspended = true;
  world.Run(8s);
  CHECK(world.daemons[1 - holder].lease.MayOrder(world.now));
  world.daemons[holder].isSuspended = false;
  CHECK_FALSE(world.daemons[holder].lease.MayOrder(world.now));
  world.Run(6s);
  CHECK(world.violations.empty());
  CHECK(world.CountDaemonsThatMayOrder() == 1);
}

// The row still names this daemon as the holder, so no other daemon has sent orders since. Waiting
// for the spacing as after a change of holders would only delay its orders.
TEST_CASE("the last holder may send orders within a second after its process restarts")
{
  LeaseWorld world(1);
  world.Run(6s);
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
  world.Run(6s);
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
  world.Run(6s);
  const std::string holder = world.lastSender;
  for (auto& daemon : world.daemons) {
    daemon.isStoreUnreachable = true;
  }
  world.Run(8s);
  CHECK(world.CountDaemonsThatMayOrder() == 0);
  for (auto& daemon : world.daemons) {
    daemon.isStoreUnreachable = false;
  }
  world.Run(6s);
  CHECK(world.CountDaemonsThatMayOrder() == 1);
  CHECK(world.lastSender == holder);
  CHECK(world.violations.empty());
}

TEST_CASE("a holder that is the only daemon without access to the store is replaced")
{
  LeaseWorld world(3);
  world.Run(6s);
  const std::string holder = world.lastSender;
  for (auto& daemon : world.daemons) {
    daemon.isStoreUnreachable = daemon.lease.isHolder();
  }
  world.Run(8s);
  CHECK(world.CountDaemonsThatMayOrder() == 1);
  CHECK(world.lastSender != holder);
  CHECK(world.violations.empty());
}

// Guards against a holder that the store turns away and that remains its own dispatcher for the
// whole outage, with endpoints as old as that.
TEST_CASE("a holder that cannot reach the store gives up when it hears of a newer holder")
{
  LeaseWorld world(3);
  world.Run(6s);
  const auto holder = std::find_if(world.daemons.begin(),
                                   world.daemons.end(),
                                   [](const auto& aDaemon) { return aDaemon.lease.isHolder(); });
  REQUIRE(holder != world.daemons.end());
  const auto tell = [&] {
    holder->lease.OnHolderHeartbeat(holder->Local(world.now),
                                    world.row,
                                    { world.version.value, world.era },
                                    HolderState::kRenewing);
  };
  tell(); // Its own row proves nothing.
  CHECK(holder->lease.isHolder());
  holder->isStoreUnreachable = true;
  world.Run(8s);
  REQUIRE(world.row.holder != DaemonId{ holder->name });
  CHECK(holder->lease.isHolder());
  tell();
  CHECK_FALSE(holder->lease.isHolder());
  CHECK(holder->lease.row() == world.row);
  // The answer to a renewal from before arrives late.
  holder->lease.OnWritten(holder->Local(world.now), { world.version.value - 1, world.era });
  CHECK_FALSE(holder->lease.isHolder());
  holder->isStoreUnreachable = false;
  world.Run(5s);
  CHECK(world.CountDaemonsThatMayOrder() == 1);
  CHECK(world.violations.empty());
}

// The daemons also release the lease at random times. After a write whose answer was lost, a daemon
// does not know whether it holds the lease.
TEST_CASE("random process ends, suspensions, outages and lost answers never break the spacing")
{
  TraceDigest trace;
  for (std::uint32_t run = 1; run <= 100; ++run) {
    const std::uint32_t seed = (run - 1) % 50 + 1;
    const bool hasHeartbeats = run > 50;
    INFO("seed ", seed, hasHeartbeats ? " with heartbeats" : "");
    LeaseWorld world(4);
    world.random.seed(seed);
    world.hasHeartbeats = hasHeartbeats;
    world.lostAnswerProbability = 0.1;
    std::uniform_int_distribution<std::size_t> which(0, 3);
    std::uniform_int_distribution<int> what(0, 7);
    for (int step = 0; step < 120; ++step) {
      const std::size_t number = which(world.random);
      auto& daemon = world.daemons[number];
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
            world.Restart(number);
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
    if (!hasHeartbeats) {
      trace.Add(world.trace.value());
    }
  }
  CHECK(trace.value() == 0x0d35'a1f5'0642'6375);
}

// A host that is replaced under its name may have sent orders a moment ago.
TEST_CASE("a host under the name of the former holder waits before its first order")
{
  LeaseWorld world(2);
  world.Run(6s);
  const std::size_t holder = world.daemons[0].lease.isHolder() ? 0 : 1;
  world.daemons[holder].isDown = true;
  world.daemons[1 - holder].isDown = true;
  world.AddReplacement(holder);
  world.Run(4s);
  CHECK(world.CountDaemonsThatMayOrder() == 0);
  world.Run(4s);
  CHECK(world.CountDaemonsThatMayOrder() == 1);
  CHECK(world.violations.empty());
}

TEST_CASE("a process that is restarted on the holder's host may order at once")
{
  LeaseWorld world(2);
  world.Run(6s);
  const std::size_t holder = world.daemons[0].lease.isHolder() ? 0 : 1;
  world.Restart(holder);
  world.Run(500ms);
  CHECK(world.daemons[holder].lease.MayOrder(world.now));
  CHECK(world.violations.empty());
}

namespace {

/* Returns whether hosts that come under the names of others, which end, are suspended, wake or are
 * cut off from the store, break the spacing. Clocks differ by up to 1 %. */
bool ReplacementsBreakSpacing(std::uint32_t aSeed)
{
  LeaseWorld world(3);
  world.random.seed(aSeed);
  world.lostAnswerProbability = 0.05;
  const auto draw = [&](std::uint32_t aCount) {
    return std::uniform_int_distribution<std::uint32_t>{ 0, aCount - 1 }(world.random);
  };
  const auto setClock = [&](LeaseWorld::Daemon& aDaemon) {
    aDaemon.clockRate = 1.0 + (static_cast<double>(draw(3)) - 1.0) * 0.005;
  };
  for (LeaseWorld::Daemon& daemon : world.daemons) {
    setClock(daemon);
  }
  world.Run(5s);
  for (int step = 0; step < 12; ++step) {
    const std::size_t number = draw(static_cast<std::uint32_t>(world.daemons.size()));
    LeaseWorld::Daemon& daemon = world.daemons[number];
    switch (draw(6)) {
      case 0:
        daemon.isDown = !daemon.isDown;
        if (!daemon.isDown) {
          world.Restart(number);
        }
        break;
      case 1:
        daemon.isSuspended = !daemon.isSuspended;
        break;
      case 2:
        daemon.isStoreUnreachable = !daemon.isStoreUnreachable;
        break;
      case 3:
      case 4: {
        const auto fate = draw(3);
        (fate == 0   ? daemon.isDown
         : fate == 1 ? daemon.isSuspended
                     : daemon.isStoreUnreachable) = true;
        if (world.daemons.size() < 8) {
          setClock(world.AddReplacement(number));
        }
        break;
      }
      default:
        break;
    }
    world.Run(std::chrono::milliseconds{ draw(3'000) });
  }
  return !world.violations.empty();
}

} // namespace

TEST_CASE("random replacements of hosts under their names never break the spacing")
{
  constexpr std::uint32_t kSeeds = 10'000;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed ", seed);
    CHECK_FALSE(ReplacementsBreakSpacing(seed));
  }
}

namespace {

/* Runs a world of three daemons in which the store comes back from a copy of the given age, at an
 * unfavourable moment, and returns the violations. */
std::vector<std::string> RunRestore(const char* aScenario, Duration aAge, bool aIsEraStated)
{
  const std::string scenario = aScenario;
  LeaseWorld world(3);
  world.isEraStated = aIsEraStated;
  world.Run(6s);
  const auto holder = [&] {
    return static_cast<std::size_t>(
      std::find_if(world.daemons.begin(),
                   world.daemons.end(),
                   [](const auto& aDaemon) { return aDaemon.lease.isHolder(); }) -
      world.daemons.begin());
  };
  const std::size_t first = holder();
  if (scenario == "renewal") {
    world.RestoreStore(aAge);
  } else if (scenario == "takeover") {
    world.daemons[first].isStoreUnreachable = true;
    world.Run(8s);
    world.daemons[first].isStoreUnreachable = false;
    world.Run(100ms);
    world.RestoreStore(aAge);
  } else if (scenario == "release") {
    world.daemons[first].lease.Release();
    world.Run(8s);
    world.RestoreStore(aAge);
  } else if (scenario == "restart") {
    world.daemons[first].isStoreUnreachable = true;
    world.Run(8s);
    world.RestoreStore(aAge);
    world.Restart(first);
  } else if (scenario == "late write") {
    world.lateWriteProbability = 1.0;
    world.Run(300ms);
    world.lateWriteProbability = 0.0;
    world.RestoreStore(aAge);
  } else if (scenario == "lost answer") {
    world.lostAnswerProbability = 1.0;
    world.Run(300ms);
    world.RestoreStore(aAge);
    world.Run(500ms);
    world.lostAnswerProbability = 0.0;
  } else if (scenario == "holder unaware") {
    world.daemons[first].isStoreUnreachable = true;
    world.RestoreStore(aAge);
    world.Run(3s);
    world.daemons[first].isStoreUnreachable = false;
  }
  world.Run(20s);
  if (world.CountDaemonsThatMayOrder() != 1) {
    world.violations.push_back("no daemon may send orders at the end");
  }
  return world.violations;
}

} // namespace

// The copy may name a former holder, who finds itself holder again while the present one sends
// orders by a renewal that the store has forgotten. Or the row is missing, and a successor does not
// wait. Versions that are given out again let a conditional write succeed on another row.
TEST_CASE("a store that comes back from an older copy never makes two holders")
{
  for (const char* scenario : { "renewal",
                                "takeover",
                                "release",
                                "restart",
                                "late write",
                                "lost answer",
                                "holder unaware" }) {
    for (Duration age = 100ms; age <= 9s; age += 100ms) {
      INFO(scenario, " ", age.count());
      CHECK(RunRestore(scenario, age, true).empty());
    }
  }
}

namespace {

/* Returns whether random faults with stores that come back from older copies break the spacing. */
bool BreaksSpacing(std::uint32_t aSeed, bool aIsEraStated)
{
  LeaseWorld world(3);
  world.random.seed(aSeed);
  world.isEraStated = aIsEraStated;
  world.lostAnswerProbability = 0.05;
  world.lateWriteProbability = 0.05;
  std::uniform_int_distribution<std::size_t> which(0, 2);
  std::uniform_int_distribution<int> what(0, 7);
  std::uniform_int_distribution<int> ageMs(10, 9'000);
  world.Run(5s);
  for (int step = 0; step < 12; ++step) {
    const std::size_t number = which(world.random);
    auto& daemon = world.daemons[number];
    switch (what(world.random)) {
      case 0:
        daemon.isDown = !daemon.isDown;
        if (!daemon.isDown) {
          world.Restart(number);
        }
        break;
      case 1:
        daemon.isSuspended = !daemon.isSuspended;
        break;
      case 2:
        daemon.isStoreUnreachable = !daemon.isStoreUnreachable;
        break;
      case 3:
        daemon.lease.Release();
        break;
      case 4:
      case 5:
        world.RestoreStore(std::chrono::milliseconds{ ageMs(world.random) });
        break;
      default:
        break;
    }
    world.Run(std::chrono::milliseconds{ ageMs(world.random) / 3 });
  }
  return !world.violations.empty();
}

} // namespace

TEST_CASE("random restores of the store beside other faults never break the spacing")
{
  constexpr std::uint32_t kSeeds = 10'000;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed ", seed);
    CHECK_FALSE(BreaksSpacing(seed, true));
  }
}

TEST_CASE("the search for broken spacing finds a second holder if the era is not compared")
{
  std::uint32_t found = 0;
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    found += BreaksSpacing(seed, false) ? 1 : 0;
  }
  CHECK(found > 0);
}

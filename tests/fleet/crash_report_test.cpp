/* Reports of crashed runners in fleets of several sizes, in simulated time. Each daemon that knew a
 * suspected part to be sound told all others so, which grew with the square of the fleet and
 * delayed the dispatcher's heartbeats until daemons took it for lost. */
#include "daemon/crash_reports.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unistd.h>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

const ClientAccountId kAccount{ "a.example" };
constexpr std::size_t kCopies = 8;
constexpr Duration kStep = 10ms;

class CrashFleet
{
public:
  explicit CrashFleet(std::size_t aDaemons)
    : mOutput(open("/dev/null", O_WRONLY | O_CLOEXEC))
  {
    for (std::size_t number = 0; number < aDaemons; ++number) {
      mDaemons.push_back(std::make_unique<Daemon>(*this, number, mOutput));
    }
  }
  ~CrashFleet()
  {
    mDaemons.clear();
    close(mOutput);
  }
  CrashFleet(const CrashFleet&) = delete;
  CrashFleet& operator=(const CrashFleet&) = delete;

  void Run(Duration aTime)
  {
    for (const TimePoint end = now + aTime; now < end; now += kStep) {
      while (!mEvents.empty() && mEvents.begin()->first <= now) {
        const auto event = mEvents.begin()->second;
        mEvents.erase(mEvents.begin());
        event();
      }
      for (const auto& daemon : mDaemons) {
        Send(daemon->number, daemon->queue.TakeDue(now));
      }
    }
  }

  void Answer(std::size_t aDaemon, const std::vector<PromptPartId>& aParts)
  {
    mDaemons[aDaemon]->reports.OnOwnAnswer(now, kAccount, aParts);
  }

  void Crash(std::size_t aDaemon, int aRunner, int aRequest, std::vector<PromptPartId> aParts)
  {
    mDaemons[aDaemon]->reports.OnOwnCrash(
      now,
      { .endpoint = EndpointId{ "r" + std::to_string(aRunner) }, .startedAtMs = 7 },
      { .request = FingerprintId{ std::to_string(aRequest) },
        .account = kAccount,
        .parts = std::move(aParts),
        .hasHead = true });
  }

  /* The dispatcher gets a report of a daemon whose address it does not know. */
  void ReceiveFromStranger(int aRunner, std::vector<PromptPartId> aParts)
  {
    mDaemons[0]->reports.OnReport(
      now,
      {},
      { .request = FingerprintId{ std::to_string(aRunner) },
        .process = { .endpoint = EndpointId{ "r" + std::to_string(aRunner) }, .startedAtMs = 7 },
        .account = kAccount,
        .parts = std::move(aParts),
        .hasHead = true });
  }

  bool IsQuarantined(std::size_t aDaemon, PromptPartId aPart)
  {
    return mDaemons[aDaemon]->parts.IsQuarantined(now, std::vector{ aPart });
  }

  bool IsRequestQuarantined(std::size_t aDaemon, int aRequest)
  {
    return mDaemons[aDaemon]->crashes.IsQuarantined(now, FingerprintId{ std::to_string(aRequest) });
  }

  /* The dispatcher's heartbeat: the members take over what it has quarantined. */
  void SendHeartbeat()
  {
    for (const auto& daemon : mDaemons) {
      if (daemon->number != 0) {
        daemon->reports.OnQuarantined(
          now, mDaemons[0]->parts.quarantined(), mDaemons[0]->parts.trials(now));
      }
    }
  }

  std::size_t messages = 0;
  std::size_t reports = 0; ///< In these messages.
  TimePoint now{ 1'000s };

private:
  struct Daemon
  {
    Daemon(CrashFleet& aFleet, std::size_t aNumber, int aOutput)
      : number(aNumber)
      , log({ .daemon = std::to_string(aNumber), .descriptor = aOutput })
      , reports({ .crashes = crashes,
                  .promptParts = parts,
                  .log = log,
                  .isDispatcher = [aNumber] { return aNumber == 0; },
                  .versionsInUse = [] { return std::set<SoftwareVersion>{}; },
                  .send =
                    [this, &aFleet](ReportAudience aAudience,
                                    const std::string& aAddress,
                                    const SuspectMessage& aReport) {
                      queue.Add(aAudience, aAddress, aReport);
                      aFleet.Send(number, queue.TakeDue(aFleet.now));
                    },
                  .onPartsChanged = [] {} })
    {
    }

    std::size_t number;
    CrashGuard crashes;
    PromptPartGuard parts;
    EventLog log;
    ReportQueue queue;
    CrashReports reports;
  };

  void Send(std::size_t aFrom, const std::vector<ReportBatch>& aBatches)
  {
    for (const ReportBatch& batch : aBatches) {
      if (batch.audience == ReportAudience::kSender) {
        Deliver(aFrom, std::stoul(batch.address), batch);
      } else if (aFrom != 0) {
        Deliver(aFrom, 0, batch);
      } else {
        const bool isForAll = batch.audience == ReportAudience::kAllMembers;
        for (std::size_t to = 1; to < mDaemons.size() && (isForAll || to <= kCopies); ++to) {
          Deliver(aFrom, to, batch);
        }
      }
    }
  }

  void Deliver(std::size_t aFrom, std::size_t aTo, const ReportBatch& aBatch)
  {
    ++messages;
    reports += aBatch.reports.size();
    mEvents.emplace(now + 3ms, [this, aFrom, aTo, aBatch] {
      for (const SuspectMessage& report : aBatch.reports) {
        mDaemons[aTo]->reports.OnReport(now, std::to_string(aFrom), report);
      }
    });
  }

  int mOutput;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::multimap<TimePoint, std::function<void()>> mEvents;
};

} // namespace

TEST_CASE("messages for the crash of a rack are linear in the fleet, whatever it knows to be sound")
{
  constexpr int kRack = 10; ///< Runners that crash within half a second.
  constexpr int kRequestsPerRunner = 5;
  constexpr PromptPartId kShared{ 1 }; ///< All requests and all daemons know it.
  for (const std::size_t daemons : { 8U, 30U, 100U, 295U }) {
    CrashFleet fleet(daemons);
    std::mt19937 random(1);
    for (std::size_t daemon = 1; daemon < daemons; ++daemon) {
      fleet.Answer(daemon, { kShared, { 100 + daemon % 20 } });
    }
    int request = 0;
    for (int runner = 0; runner < kRack; ++runner) {
      for (int index = 0; index < kRequestsPerRunner; ++index, ++request) {
        const std::size_t daemon = random() % daemons;
        fleet.Crash(
          daemon, runner, request, { kShared, { 100 + random() % 40 }, { 1'000U + request } });
      }
      fleet.Run(50ms);
    }
    for (int beat = 0; beat < 5; ++beat) {
      fleet.SendHeartbeat();
      fleet.Run(400ms);
    }
    const double perDaemon = static_cast<double>(fleet.messages) / static_cast<double>(daemons);
    MESSAGE(daemons, " daemons: ", fleet.messages, " messages, ", fleet.reports, " reports");
    // One second and a half of crashes: at most one message every 200 ms from the dispatcher to
    // each member and back for each audience.
    CHECK(perDaemon < 25.0);
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
      CHECK_FALSE(fleet.IsQuarantined(daemon, kShared));
    }
  }
}

// A daemon that is not a member yet has no address, and a message to none must not be sent.
TEST_CASE("the report of a daemon that is no member is counted and not answered")
{
  CrashFleet fleet(2);
  fleet.Answer(0, { { 1 } });
  for (int runner = 0; runner < 3; ++runner) {
    fleet.ReceiveFromStranger(runner, { { 1 }, { 7 } });
  }
  fleet.Run(500ms);
  CHECK_FALSE(fleet.IsQuarantined(0, { 1 }));
  CHECK(fleet.IsQuarantined(0, { 7 }));
}

TEST_CASE("what a single daemon knows to be sound still counts")
{
  for (const std::size_t daemons : { 8U, 295U }) {
    CrashFleet fleet(daemons);
    fleet.Answer(daemons - 1, { { 1 } });
    for (int runner = 0; runner < 5; ++runner) {
      fleet.Crash(1 + static_cast<std::size_t>(runner), runner, runner, { { 1 } });
      fleet.Run(300ms);
      fleet.SendHeartbeat();
      fleet.Run(100ms);
    }
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
      CHECK_FALSE(fleet.IsQuarantined(daemon, { 1 }));
    }
  }
}

TEST_CASE("a crashing part and a crashing request are quarantined at all daemons of a large fleet")
{
  for (const std::size_t daemons : { 8U, 295U }) {
    CrashFleet fleet(daemons);
    for (int runner = 0; runner < 3; ++runner) {
      const auto daemon = daemons / 2 + static_cast<std::size_t>(runner);
      fleet.Crash(daemon, runner, runner, { { 7 }, { 100U + runner } });
      fleet.Crash(daemon, runner, 999, {});
    }
    fleet.Run(500ms);
    fleet.SendHeartbeat();
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
      CHECK(fleet.IsQuarantined(daemon, { 7 }));
      CHECK(fleet.IsRequestQuarantined(daemon, 999));
    }
  }
}

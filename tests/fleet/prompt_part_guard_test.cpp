/* Finding the prompt parts that crash runners. Without it, each request with such a part crashes
 * one more runner. With a wrong decision, sound requests that share parts with it are turned away.
 */
#include "decision/fleet/prompt_part_guard.h"
#include "tests/support/trace_digest.h"

#include <doctest/doctest.h>

#include <random>
#include <set>
#include <string>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

const TimePoint kStart{ 1'000s };
const ClientAccountId kAccount{ "a.example" };

EndpointProcess Process(int aNumber)
{
  return { .endpoint = EndpointId{ "e" + std::to_string(aNumber % 9) },
           .startedAtMs = 1'000 + aNumber };
}

std::vector<PromptPartId> Parts(std::initializer_list<std::uint64_t> aIds)
{
  std::vector<PromptPartId> parts;
  for (const std::uint64_t id : aIds) {
    parts.push_back({ id });
  }
  return parts;
}

CrashSuspect Suspect(int aRequest, std::vector<PromptPartId> aParts, bool aHasHead = true)
{
  return { .request = FingerprintId{ std::to_string(aRequest) },
           .account = kAccount,
           .parts = std::move(aParts),
           .hasHead = aHasHead };
}

} // namespace

TEST_CASE("a part is quarantined when three runners have crashed under requests with it")
{
  PromptPartGuard guard;
  guard.RecordSound(kStart, kAccount, Parts({ 1 }));
  guard.RecordCrash(kStart, Process(1), Suspect(1, Parts({ 1, 7, 101 })));
  guard.RecordCrash(kStart, Process(2), Suspect(2, Parts({ 1, 102, 7 })));
  CHECK_FALSE(guard.IsQuarantined(kStart, Parts({ 7 })));
  const auto change = guard.RecordCrash(kStart, Process(3), Suspect(3, Parts({ 7, 103 })));
  CHECK(change.quarantined == std::vector<PartGroup>{ Parts({ 7 }) });
  CHECK(change.crashes == 3);
  // It does not expire.
  CHECK(guard.IsQuarantined(kStart + 10'000'000s, Parts({ 1, 55, 7 })));
  CHECK_FALSE(guard.IsQuarantined(kStart, Parts({ 1, 101, 102, 103 })));
  CHECK_FALSE(guard.IsQuarantined(kStart, {}));
}

TEST_CASE("one crash and one request count once, however often they are reported")
{
  PromptPartGuard guard;
  for (int number = 0; number < 9; ++number) {
    guard.RecordCrash(kStart, Process(1), Suspect(number, Parts({ 7 })));
  }
  CHECK_FALSE(guard.IsQuarantined(kStart, Parts({ 7 })));
  for (int number = 2; number < 9; ++number) {
    guard.RecordCrash(kStart, Process(number), Suspect(1, Parts({ 8 })));
  }
  CHECK_FALSE(guard.IsQuarantined(kStart, Parts({ 8 })));
}

TEST_CASE("a sound part is no suspect, and an answer ends its quarantine")
{
  PromptPartGuard guard;
  guard.RecordSound(kStart, kAccount, Parts({ 1 }));
  for (int number = 0; number < 5; ++number) {
    guard.RecordCrash(kStart, Process(number), Suspect(number, Parts({ 1 })));
  }
  CHECK_FALSE(guard.IsQuarantined(kStart, Parts({ 1 })));
  CHECK(guard.recordCount() == 0);
  for (int number = 0; number < 3; ++number) {
    guard.RecordCrash(kStart, Process(number), Suspect(number, Parts({ 2 })));
  }
  REQUIRE(guard.IsQuarantined(kStart, Parts({ 2 })));
  const auto change = guard.RecordSound(kStart, kAccount, Parts({ 1, 2 }));
  CHECK(change.cleared == Parts({ 2 }));
  CHECK(change.released == std::vector<PartGroup>{ Parts({ 2 }) });
  CHECK_FALSE(guard.IsQuarantined(kStart, Parts({ 2 })));
  // What others still state about it changes nothing, and they learn that it is sound.
  CHECK(guard.RecordQuarantined(kStart, Parts({ 2 })).cleared == Parts({ 2 }));
  CHECK_FALSE(guard.IsQuarantined(kStart, Parts({ 2 })));
}

// Load pattern: a release whose software crashes on a part that the former one answered.
TEST_CASE("a part is sound only at the versions that answered it")
{
  const SoftwareVersion former{ "v1" };
  const SoftwareVersion newer{ "v2" };
  PromptPartGuard guard;
  guard.RecordSound(kStart, kAccount, Parts({ 1, 7 }), former);
  guard.RecordSound(kStart, kAccount, Parts({ 1 }), newer);
  CHECK(guard.SoundAmong(kStart, Parts({ 1, 7 }), newer) == Parts({ 1 }));
  const auto crash = [&](int aNumber, const SoftwareVersion& aVersion) {
    CrashSuspect suspect = Suspect(aNumber, Parts({ 1, 7 }));
    suspect.version = aVersion;
    guard.RecordCrash(kStart, Process(aNumber), suspect);
  };
  for (int number = 0; number < 5; ++number) {
    crash(number, former); // By chance.
  }
  CHECK(guard.quarantinedCount() == 0);
  for (int number = 5; number < 8; ++number) {
    // Answers at the former version are no evidence against crashes of the newer one.
    guard.RecordSound(kStart, kAccount, Parts({ 1, 7 }), former);
    crash(number, newer);
  }
  CHECK_FALSE(guard.IsQuarantined(kStart, Parts({ 1 })));
  CHECK(guard.IsQuarantined(kStart, Parts({ 7 })));
  // An answer ends a quarantine at any version: it may be a trial after the release was taken back.
  CHECK(guard.RecordSound(kStart, kAccount, Parts({ 7 }), former).cleared == Parts({ 7 }));
  // What others state counts unless the part is sound at all versions in use.
  guard.RecordQuarantined(kStart, Parts({ 1 }), std::nullopt, { former, newer });
  CHECK_FALSE(guard.IsQuarantined(kStart, Parts({ 1 })));
  guard.RecordQuarantined(kStart, Parts({ 7 }), std::nullopt, { former, newer });
  CHECK(guard.IsQuarantined(kStart, Parts({ 7 })));
}

TEST_CASE("an answer of long ago does not protect a part")
{
  PromptPartGuard guard;
  guard.RecordSound(kStart, kAccount, Parts({ 1 }));
  const TimePoint later = kStart + kSoundPartLifetime + 1s;
  for (int number = 0; number < 3; ++number) {
    guard.RecordCrash(later, Process(number), Suspect(number, Parts({ 1 })));
  }
  CHECK(guard.IsQuarantined(later, Parts({ 1 })));
}

TEST_CASE("parts of bystanders of explained crashes are not quarantined")
{
  PromptPartGuard guard;
  for (int number = 0; number < 4; ++number) {
    guard.RecordCrash(kStart, Process(number), Suspect(number, Parts({ 7 })));
    if (number > 0) { // A conversation whose requests were each time on the crashed runner.
      guard.RecordCrash(kStart, Process(number), Suspect(100 + number, Parts({ 50 })));
    }
  }
  CHECK(guard.quarantined() == std::vector<PartGroup>{ Parts({ 7 }) });
}

TEST_CASE("parts that came only together are quarantined together until it is known which crashes")
{
  PromptPartGuard guard;
  // This runner had begun to answer another request than the one with the shared part.
  guard.RecordCrash(kStart, Process(10), Suspect(70, Parts({ 1, 96 }), false));
  guard.RecordCrash(kStart, Process(10), Suspect(71, Parts({ 8 })));
  for (int number = 0; number < 3; ++number) {
    guard.RecordCrash(kStart, Process(number), Suspect(number, Parts({ 1, 7 })));
    guard.RecordCrash(kStart, Process(number), Suspect(50, Parts({ 1, 99 }), false));
  }
  CHECK(guard.quarantined() == std::vector<PartGroup>{ Parts({ 1, 7 }) });
  CHECK(guard.IsQuarantined(kStart, Parts({ 5, 7, 6, 1 })));
  CHECK_FALSE(guard.IsQuarantined(kStart, Parts({ 1, 99 })));
  SUBCASE("by an answer")
  {
    guard.RecordSound(kStart, kAccount, Parts({ 1, 98 }));
  }
  SUBCASE("by a crash")
  {
    guard.RecordCrash(kStart, Process(4), Suspect(60, Parts({ 7, 97 })));
  }
  CHECK(guard.quarantined() == std::vector<PartGroup>{ Parts({ 7 }) });
  CHECK(guard.IsQuarantined(kStart, Parts({ 7 })));
  CHECK_FALSE(guard.IsQuarantined(kStart, Parts({ 1 })));
}

TEST_CASE("quarantined parts that others state are taken over once")
{
  PromptPartGuard guard;
  CHECK(guard.RecordQuarantined(kStart, Parts({ 7 })).quarantined.size() == 1);
  CHECK(guard.RecordQuarantined(kStart, Parts({ 7 })).quarantined.empty());
  CHECK(guard.RecordQuarantined(kStart, Parts({ 1, 7 })).quarantined.empty());
  CHECK(guard.RecordQuarantined(kStart, {}).quarantined.empty());
  CHECK(guard.quarantined() == std::vector<PartGroup>{ Parts({ 7 }) });
}

TEST_CASE("the state stays bounded, and an account cannot push out the parts of others")
{
  PromptPartGuard guard;
  const ClientAccountId victim{ "victim.example" };
  guard.RecordSound(kStart, victim, Parts({ 1 }));
  std::uint64_t id = 1'000;
  for (int number = 0; number < 400; ++number) {
    std::vector<PromptPartId> parts(5'000);
    for (PromptPartId& part : parts) {
      part.value = ++id;
    }
    guard.RecordSound(kStart, kAccount, parts);
  }
  CHECK(guard.soundCount() == kMaxSoundParts);
  CHECK(guard.SoundAmong(kStart, Parts({ 1 })) == Parts({ 1 }));
  for (int number = 0; number < 70; ++number) {
    // The flood fills its share of each record before the request of another account arrives.
    for (int flood = 0; flood < 4; ++flood) {
      std::vector<PromptPartId> parts(5'000);
      for (PromptPartId& part : parts) {
        part.value = ++id;
      }
      guard.RecordCrash(kStart, Process(number), Suspect(10 * number + flood, std::move(parts)));
    }
    CrashSuspect suspect = Suspect(100'000 + number, Parts({ 7 }));
    suspect.account = victim;
    guard.RecordCrash(kStart, Process(number), suspect);
  }
  CHECK(guard.recordCount() <= kMaxCrashRecords);
  CHECK(guard.IsQuarantined(kStart, Parts({ 7 })));
  for (std::uint64_t number = 0; number < 300; ++number) {
    guard.IsQuarantined(kStart + 1s + std::chrono::seconds{ number }, Parts({ 7 }));
    guard.RecordQuarantined(kStart + std::chrono::seconds{ number }, Parts({ 900'000 + number }));
  }
  CHECK(guard.quarantinedCount() <= kMaxQuarantinedGroups);
  CHECK(guard.IsQuarantined(kStart, Parts({ 7 }))); // Asked for more recently than the others.
}

namespace {

/* Daemons that share their evidence through lossy, late and doubled reports, runners that crash by
 * a part or by chance, and callers whose requests share parts. */
class PartWorld
{
public:
  explicit PartWorld(unsigned aSeed)
    : mRandom(aSeed)
    , mGuards(2 + AnyOf(2))
    , mHasBadPart(AnyOf(4) != 0)
    , mIsBadFirst(AnyOf(3) == 0)
    , mLosesReports(AnyOf(2) == 0)
  {
    for (std::size_t number = 0; number < 4 * kCallers; ++number) { // Traffic from before.
      RecordAnswer(AnyDaemon(), { Shared(number % kCallers), Next() });
    }
  }

  void Run()
  {
    for (int step = 0; step < 250; ++step) {
      mNow += std::chrono::milliseconds{ 5 + AnyOf(60) };
      DeliverReports();
      switch (AnyOf(8)) {
        case 0:
        case 1:
          SendBad();
          break;
        case 2:
          if (mChanceCrashes < 5 && AnyOf(3) == 0) {
            ++mChanceCrashes;
            Crash({});
          }
          break;
        case 3:
          ExchangeQuarantined();
          break;
        default:
          SendSound();
      }
    }
    mNow += 1s;
    DeliverReports();
    ExchangeQuarantined();
    ExchangeQuarantined();
  }

  /* Returns what is wrong at the end, or an empty string. */
  std::string FindViolation()
  {
    const std::size_t crashes = mBadCrashes.size();
    if (crashes > 5 && !mLosesReports) {
      return "the part crashed " + std::to_string(crashes) + " runners";
    }
    if (crashes > 8 && mBadCrashes[8] > mBadCrashes[4] + 3s) {
      return "the part crashed " + std::to_string(crashes) + " runners though reports were lost";
    }
    for (PromptPartGuard& guard : mGuards) {
      if (crashes >= 5 && !guard.IsQuarantined(mNow, { &kBad, 1 })) {
        return "a daemon does not know the crashing part";
      }
      for (std::size_t caller = 0; caller < kCallers; ++caller) {
        mAnsweredLast.insert(Shared(caller)); // All have answers from before.
      }
      for (const PromptPartId part : mAnsweredLast) {
        if (guard.IsQuarantined(mNow, { &part, 1 })) {
          return "the sound part " + std::to_string(part.value) + " is quarantined";
        }
      }
      if (guard.recordCount() > kMaxCrashRecords || guard.soundCount() > kMaxSoundParts) {
        return "too much is kept";
      }
    }
    return {};
  }

  std::size_t crashesByPart() const { return mBadCrashes.size(); }
  void AddTo(TraceDigest& aTrace) const
  {
    for (const TimePoint crash : mBadCrashes) {
      aTrace.Add(crash);
    }
    aTrace.Add(mLastRequest);
    aTrace.Add(mLastProcess);
  }

private:
  static constexpr std::size_t kCallers = 3;
  static constexpr PromptPartId kBad{ 7 };

  /* A crash with a suspect, or sound parts. */
  struct Report
  {
    std::size_t to = 0;
    TimePoint at{};
    EndpointProcess process;
    CrashSuspect suspect;
    std::vector<PromptPartId> soundParts;
  };
  struct InFlight
  {
    std::size_t daemon = 0;
    CrashSuspect suspect;
    bool hasEvent = false;
  };

  std::size_t AnyOf(std::size_t aCount) { return mRandom() % aCount; }
  std::size_t AnyDaemon() { return AnyOf(mGuards.size()); }
  PromptPartId Next() { return { 10'000 + ++mLastPart }; }
  static PromptPartId Shared(std::size_t aCaller) { return { 100 + aCaller }; }

  InFlight MakeRequest(std::vector<PromptPartId> aParts)
  {
    InFlight request{ .daemon = AnyDaemon(),
                      .suspect = Suspect(++mLastRequest, std::move(aParts)) };
    request.hasEvent = AnyOf(2) == 0;
    request.suspect.hasHead = request.hasEvent || AnyOf(3) == 0;
    return request;
  }

  /* Sends a request with the parts of a caller and of a conversation, and one of its own. */
  void SendSound()
  {
    const std::size_t caller = AnyOf(kCallers);
    const PromptPartId conversation{ 1'000 + caller * 10 + AnyOf(6) };
    const InFlight request = MakeRequest({ Shared(caller), conversation, Next() });
    if (mGuards[request.daemon].IsQuarantined(mNow, request.suspect.parts)) {
      return;
    }
    mInFlight.push_back(request);
    if (mInFlight.size() > 6) {
      RecordAnswer(mInFlight.front().daemon, mInFlight.front().suspect.parts);
      mInFlight.erase(mInFlight.begin());
    }
  }

  /* Sends a request with the crashing part, up to twice. */
  void SendBad()
  {
    if (!mHasBadPart) {
      return;
    }
    std::vector<PromptPartId> parts{ Shared(AnyOf(kCallers)), Next(), Next() };
    parts[mIsBadFirst ? 0 : AnyOf(parts.size())] = kBad;
    InFlight request = MakeRequest(parts);
    request.hasEvent = false;
    request.suspect.hasHead = AnyOf(5) != 0;
    for (std::size_t attempt = 0; attempt <= AnyOf(2); ++attempt) {
      if (mGuards[request.daemon].IsQuarantined(mNow, parts)) {
        return;
      }
      mBadCrashes.push_back(mNow);
      Crash({ request });
    }
  }

  /* Ends a runner with the given requests and some of those in flight. */
  void Crash(std::vector<InFlight> aRequests)
  {
    const EndpointProcess process = Process(++mLastProcess);
    std::erase_if(mInFlight, [&](const InFlight& aRequest) {
      const bool isHit = AnyOf(3) == 0;
      if (isHit) {
        aRequests.push_back(aRequest);
      }
      return isHit;
    });
    for (const InFlight& request : aRequests) {
      for (const PromptPartId part : request.suspect.parts) {
        mAnsweredLast.erase(part);
      }
      if (!request.hasEvent) {
        Tell(request.daemon, { .process = process, .suspect = request.suspect });
      }
    }
  }

  void RecordAnswer(std::size_t aDaemon, const std::vector<PromptPartId>& aParts)
  {
    mAnsweredLast.insert(aParts.begin(), aParts.end());
    const auto change = mGuards[aDaemon].RecordSound(mNow, kAccount, aParts);
    if (!change.cleared.empty()) {
      Tell(aDaemon, { .soundParts = change.cleared });
    }
  }

  /* Applies a report at its daemon and sends it to the others: late, and lost or doubled. */
  void Tell(std::size_t aFrom, Report aReport)
  {
    aReport.to = aFrom;
    Apply(aReport);
    for (std::size_t daemon = 0; daemon < mGuards.size(); ++daemon) {
      const bool isLost = mLosesReports && AnyOf(4) == 0;
      const std::size_t copies = daemon == aFrom || isLost ? 0 : 1 + AnyOf(2);
      for (std::size_t copy = 0; copy < copies; ++copy) {
        aReport.to = daemon;
        aReport.at = mNow + std::chrono::milliseconds{ AnyOf(5) };
        mReports.push_back(aReport);
      }
    }
  }

  void Apply(const Report& aReport)
  {
    PromptPartGuard& guard = mGuards[aReport.to];
    if (!aReport.soundParts.empty()) {
      guard.RecordSound(mNow, kAccount, aReport.soundParts);
      return;
    }
    const auto sound = guard.SoundAmong(mNow, aReport.suspect.parts);
    guard.RecordCrash(mNow, aReport.process, aReport.suspect);
    TellSound(aReport.to, sound);
  }

  void TellSound(std::size_t aFrom, const std::vector<PromptPartId>& aParts)
  {
    for (std::size_t daemon = 0; daemon < mGuards.size(); ++daemon) {
      if (daemon != aFrom && !aParts.empty()) {
        mReports.push_back({ .to = daemon, .at = mNow, .soundParts = aParts });
      }
    }
  }

  void DeliverReports()
  {
    std::vector<Report> due;
    std::erase_if(mReports, [&](const Report& aReport) {
      if (aReport.at > mNow) {
        return false;
      }
      due.push_back(aReport);
      return true;
    });
    for (const Report& report : due) {
      Apply(report);
    }
  }

  /* What heartbeats and hellos do. */
  void ExchangeQuarantined()
  {
    for (std::size_t from = 0; from < mGuards.size(); ++from) {
      for (std::size_t to = 0; to < mGuards.size(); ++to) {
        for (const PartGroup& group : mGuards[from].quarantined()) {
          TellSound(to, mGuards[to].RecordQuarantined(mNow, group).cleared);
        }
      }
    }
    DeliverReports();
  }

  std::mt19937 mRandom;
  std::vector<PromptPartGuard> mGuards;
  bool mHasBadPart = false;
  bool mIsBadFirst = false;
  bool mLosesReports = false;
  TimePoint mNow = kStart;
  std::uint64_t mLastPart = 0;
  int mLastRequest = 0;
  int mLastProcess = 0;
  int mChanceCrashes = 0;
  std::vector<TimePoint> mBadCrashes;
  std::vector<InFlight> mInFlight;
  std::vector<Report> mReports;
  std::set<PromptPartId> mAnsweredLast; ///< Parts with an answer after their last crash.
};

} // namespace

TEST_CASE("random crowds: a crashing part is found at its fifth crash, and sound parts are served")
{
  constexpr unsigned kSeeds = 2'000;
  std::size_t crashes = 0;
  TraceDigest trace;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    PartWorld world{ seed };
    world.Run();
    const std::string violation = world.FindViolation();
    CHECK_MESSAGE(violation.empty(), "seed " << seed << ": " << violation);
    crashes += world.crashesByPart();
    world.AddTo(trace);
  }
  CHECK(crashes > kSeeds);
  CHECK(trace.value() == 0x1f5a'b5da'7e15'093f);
}

// Without a trial, nothing ends the quarantine of a sound part. With too many, a crashing part ends
// more runners than operators accept.
TEST_CASE("a quarantined part is tried at growing intervals, and a limited number of times in all")
{
  PromptPartGuard guard;
  for (int number = 1; number <= 3; ++number) {
    guard.RecordCrash(kStart, Process(number), Suspect(number, Parts({ 7 })));
  }
  REQUIRE(guard.IsQuarantined(kStart, Parts({ 7 })));
  std::vector<Duration> trials;
  PromptPartGuard successor; // Takes over from the first one after its first trial.
  for (Duration time{}; time < 600s; time += 100ms) {
    const TimePoint now = kStart + time;
    PromptPartGuard& holder = trials.empty() ? guard : successor;
    if (holder.StartTrial(now, Parts({ 1, 7 }))) {
      trials.push_back(time);
      CHECK_FALSE(holder.StartTrial(now, Parts({ 1, 7 })));
    }
    successor.RecordQuarantined(now, guard.quarantined().front(), guard.trials(now).front());
  }
  REQUIRE(trials.size() == kMaxPartTrials);
  CHECK(trials[0] == kFirstTrialDelay);
  CHECK(trials[1] == kFirstTrialDelay + kTrialDelayFactor * kFirstTrialDelay);
}

TEST_CASE("a group that is found to be smaller keeps the trials of the larger one")
{
  PromptPartGuard guard;
  for (int number = 1; number <= 3; ++number) {
    guard.RecordCrash(kStart, Process(number), Suspect(number, Parts({ 7, 8 })));
  }
  const TimePoint later = kStart + kFirstTrialDelay;
  REQUIRE(guard.StartTrial(later, Parts({ 7, 8 })));
  guard.RecordSound(later, kAccount, Parts({ 8 }));
  CHECK(guard.IsQuarantined(later, Parts({ 7 })));
  CHECK(guard.trials(later).front().count == 1);
  CHECK_FALSE(guard.StartTrial(later, Parts({ 7 })));
}

// A dispatcher of a former release counts no trials, so it would permit each request.
TEST_CASE("a daemon asks for a trial only if another one has stated the trials")
{
  PromptPartGuard guard;
  const TimePoint later = kStart + 600s;
  guard.RecordQuarantined(kStart, Parts({ 7 }));
  CHECK(guard.IsTrialDue(later, Parts({ 7 })));
  CHECK_FALSE(guard.IsTrialOffered(later, Parts({ 7 })));
  guard.RecordQuarantined(kStart, Parts({ 7 }), PartTrials{ .count = 1, .timeUntilNext = 20s });
  CHECK_FALSE(guard.IsTrialOffered(kStart + 19s, Parts({ 7 })));
  CHECK(guard.IsTrialOffered(later, Parts({ 7 })));
}

TEST_CASE("the answer to a trial ends the quarantine")
{
  PromptPartGuard guard;
  for (int number = 1; number <= 3; ++number) {
    guard.RecordCrash(kStart, Process(number), Suspect(number, Parts({ 7 })));
  }
  REQUIRE(guard.StartTrial(kStart + kFirstTrialDelay, Parts({ 7 })));
  CHECK(guard.RecordSound(kStart + 10s, kAccount, Parts({ 7 })).cleared == Parts({ 7 }));
  CHECK_FALSE(guard.IsQuarantined(kStart + 10s, Parts({ 7 })));
}

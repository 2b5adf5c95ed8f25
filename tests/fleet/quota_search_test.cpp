/* A seeded search in simulated time for faults that let an account exceed its quota, or that refuse
 * requests below it. It prints the most that was admitted in a window, against what is allowed, and
 * the share refused of traffic at 55 to 90 % of the limit.
 *
 * QUOTA_RUNS and QUOTA_SEED set the number of runs and the first seed. */
#include "decision/fleet/quota_ledger.h"
#include "decision/fleet/quota_share.h"
#include "tests/support/trace_digest.h"

#include <doctest/doctest.h>

#include <cmath>
#include <cstdlib>
#include <functional>
#include <queue>
#include <random>
#include <string>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

const ClientAccountId kAccount{ "large" };
const QuotaRules kRules;
constexpr Duration kHeartbeatInterval = 400ms;
constexpr Duration kDispatcherTimeout = 1'300ms;
constexpr Duration kSilentTime = 1'200ms;
constexpr Duration kTickInterval = 50ms;
constexpr Duration kRunTime = 30s;
/* Time after a fault within which refusals are counted separately. */
constexpr Duration kFaultTime = 10s;

enum class Fault
{
  kNone,
  kDispatcherKilled,
  kDispatcherFrozen,
  kPartition,
  kDaemonsFrozen,
  kAllKilled,
  kNoDispatcher,
  kLimitsChanging,
  kDaemonsAdded,
  kCount,
};

struct Admitted
{
  TimePoint at;
  double cost = 0.0;
};

struct Result
{
  double largestRatio = 0.0; ///< Most that was admitted in a window, as a part of what is allowed.
  std::uint64_t sent = 0;
  std::uint64_t refused = 0;
  std::uint64_t sentInFaults = 0;
  std::uint64_t refusedInFaults = 0;
  std::uint64_t messages = 0;
};

class QuotaSimulation
{
public:
  explicit QuotaSimulation(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    const double size = std::exp(Uniform(std::log(2'700.0), std::log(160'000.0)));
    mQuota = { .unit = QuotaUnit::kTokens, .perSecond = size, .burst = size * Uniform(0.5, 2.0) };
    mRequestsPerSecond = Uniform(5.0, 60.0) * (size > 20'000.0 ? 3.0 : 1.0);
    constexpr double kDemands[] = { 0.55, 0.9, 0.9, 3.0, 7.0 };
    mDemand = kDemands[mRandom() % 5];
    const auto count = static_cast<std::size_t>(std::exp(Uniform(0.0, std::log(300.0))));
    mDaemons.resize(std::clamp<std::size_t>(count, 1, 300));
    constexpr double kSkews[] = { 0.0, 0.0, 1.0, 20.0 }; // The last: all at one daemon.
    mSkew = kSkews[mRandom() % 4];
    mPlainShare = Uniform(0.0, 1.0);
    mUnavailableShare = mRandom() % 4 == 0 ? 0.3 : 0.0;
    mLatency = Duration{ static_cast<Duration::rep>(Uniform(200.0, 10'000.0)) };
    mFault = static_cast<Fault>(mRandom() % static_cast<std::uint64_t>(Fault::kCount));
  }

  Result Run()
  {
    mAllowed.push_back({ TimePoint{}, mQuota });
    SetQuotas();
    BecomeDispatcher(0);
    for (std::size_t daemon = 0; daemon < mDaemons.size(); ++daemon) {
      StartDaemon(daemon);
    }
    At(kStart + 5s, [this] { mIsWarm = true; });
    if (mFault != Fault::kNone) {
      const std::uint64_t repeats = 1 + mRandom() % 2;
      for (std::uint64_t repeat = 0; repeat < repeats; ++repeat) {
        At(kStart + Seconds(Uniform(8.0, 22.0)), [this] { StartFault(); });
      }
    }
    ScheduleArrival();
    ScheduleDispatcherWork();
    while (!mEvents.empty() && mEvents.top().at < kStart + kRunTime) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.at;
      event.run();
    }
    mResult.largestRatio = LargestRatio();
    return mResult;
  }

private:
  static constexpr TimePoint kStart{ 1'000s };

  struct Event
  {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : number > aOther.number;
    }
  };

  struct Daemon
  {
    QuotaShare share;
    std::unique_ptr<QuotaLedger> ledger; ///< Set while it acts as the dispatcher.
    std::uint64_t term = 0;              ///< Of its ledger, or of the dispatcher that it knows.
    std::size_t dispatcher = 0;
    TimePoint heartbeatAt{};
    TimePoint frozenUntil{};
    int side = 0; ///< Daemons on different sides of a partition cannot reach each other.
    std::map<std::uint64_t, double> waiting;  ///< Costs of the requests that wait for grants.
    std::map<std::size_t, TimePoint> heardAt; ///< As the dispatcher: the others.
  };

  double Uniform(double aFrom, double aTo)
  {
    return std::uniform_real_distribution<double>(aFrom, aTo)(mRandom);
  }
  static Duration Seconds(double aSeconds)
  {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
  }
  void At(TimePoint aAt, std::function<void()> aRun)
  {
    mEvents.push({ .at = aAt, .number = mEventCount++, .run = std::move(aRun) });
  }
  bool IsFrozen(std::size_t aDaemon) const { return mNow < mDaemons[aDaemon].frozenUntil; }
  DaemonId IdOf(std::size_t aDaemon) const { return DaemonId{ std::to_string(aDaemon) }; }

  /* Delivers a message. A frozen receiver handles it when it runs again. */
  void Send(std::size_t aFrom, std::size_t aTo, std::function<void()> aHandle)
  {
    ++mResult.messages;
    const std::uint64_t starts = mDaemonStarts[aTo];
    const Duration latency = aFrom == aTo ? Duration::zero() : mLatency;
    At(mNow + latency, [this, aFrom, aTo, starts, handle = std::move(aHandle)] {
      Deliver(aFrom, aTo, starts, handle);
    });
  }
  void Deliver(std::size_t aFrom,
               std::size_t aTo,
               std::uint64_t aStarts,
               const std::function<void()>& aHandle)
  {
    if (mDaemonStarts[aTo] != aStarts || mDaemons[aFrom].side != mDaemons[aTo].side) {
      return;
    }
    if (IsFrozen(aTo)) {
      At(mDaemons[aTo].frozenUntil,
         [this, aFrom, aTo, aStarts, aHandle] { Deliver(aFrom, aTo, aStarts, aHandle); });
      return;
    }
    aHandle();
  }

  void SetQuotas()
  {
    auto accounts = std::make_shared<ClientAccounts>();
    accounts->byId[kAccount] = { .id = kAccount, .priority = {}, .quota = mQuota };
    mAccounts = accounts;
    for (Daemon& daemon : mDaemons) {
      SetQuotas(daemon);
    }
  }
  void SetQuotas(Daemon& aDaemon) const
  {
    aDaemon.share.SetQuotas(mNow, mAccounts, kRules);
    if (aDaemon.ledger) {
      aDaemon.ledger->SetQuotas(mNow, mAccounts, kRules);
    }
  }

  void StartDaemon(std::size_t aDaemon)
  {
    SetQuotas(mDaemons[aDaemon]);
    ++mDaemonStarts[aDaemon];
    Tick(aDaemon, mDaemonStarts[aDaemon]);
    SayHello(aDaemon, mDaemonStarts[aDaemon]);
  }
  void SayHello(std::size_t aDaemon, std::uint64_t aStarts)
  {
    if (mDaemonStarts[aDaemon] != aStarts) {
      return;
    }
    if (!IsFrozen(aDaemon) && mDaemons[aDaemon].dispatcher != aDaemon) {
      const std::size_t to = mDaemons[aDaemon].dispatcher;
      Send(aDaemon, to, [this, aDaemon, to] { Hear(to, aDaemon); });
    }
    At(mNow + 800ms, [this, aDaemon, aStarts] { SayHello(aDaemon, aStarts); });
  }
  void Hear(std::size_t aDispatcher, std::size_t aFrom)
  {
    Daemon& dispatcher = mDaemons[aDispatcher];
    if (dispatcher.ledger) {
      dispatcher.heardAt[aFrom] = mNow;
      dispatcher.ledger->OnDaemonHeard(mNow, IdOf(aFrom));
    }
  }

  void BecomeDispatcher(std::size_t aDaemon)
  {
    Daemon& daemon = mDaemons[aDaemon];
    daemon.ledger = std::make_unique<QuotaLedger>();
    daemon.ledger->Start(mNow, IdOf(aDaemon));
    daemon.ledger->SetQuotas(mNow, mAccounts, kRules);
    daemon.heardAt.clear();
    daemon.term = ++mTerm;
    daemon.dispatcher = aDaemon;
    daemon.share.OnDispatcherFound(mNow);
    mHolder = aDaemon;
  }

  void ScheduleDispatcherWork()
  {
    ++mDispatcherTicks;
    for (std::size_t index = 0; index < mDaemons.size(); ++index) {
      if (!mDaemons[index].ledger || IsFrozen(index)) {
        continue;
      }
      Daemon& daemon = mDaemons[index];
      // One that was replaced while it could not read the store steps down when it can.
      if (index != mHolder && daemon.side == 0) {
        daemon.ledger.reset();
        LoseDispatcher(index);
        continue;
      }
      daemon.ledger->Tick(mNow);
      for (const auto& [other, heardAt] : daemon.heardAt) {
        if (mNow - heardAt > kSilentTime) {
          daemon.ledger->OnDaemonSilent(mNow, IdOf(other));
        }
      }
      if (mDispatcherTicks % (kHeartbeatInterval / kTickInterval) == 0) {
        SendHeartbeats(index);
      }
    }
    At(mNow + kTickInterval, [this] { ScheduleDispatcherWork(); });
  }
  void SendHeartbeats(std::size_t aFrom)
  {
    const auto statements =
      std::make_shared<const std::vector<QuotaStatement>>(mDaemons[aFrom].ledger->Statements(mNow));
    for (std::size_t to = 0; to < mDaemons.size(); ++to) {
      const std::uint64_t term = mDaemons[aFrom].term;
      Send(aFrom, to, [this, aFrom, to, term, statements] {
        OnHeartbeat(aFrom, to, term, *statements);
      });
    }
  }
  void OnHeartbeat(std::size_t aFrom,
                   std::size_t aTo,
                   std::uint64_t aTerm,
                   const std::vector<QuotaStatement>& aStatements)
  {
    Daemon& daemon = mDaemons[aTo];
    if (aTerm < daemon.term || (daemon.ledger && aFrom != aTo)) {
      return;
    }
    daemon.heartbeatAt = mNow;
    const bool isNew = !daemon.share.hasDispatcher() || aTerm != daemon.term;
    daemon.term = aTerm;
    daemon.dispatcher = aFrom;
    if (isNew) {
      daemon.share.OnDispatcherFound(mNow);
      SendReport(aTo); // It states what the daemon has saved, before that is set anew.
    }
    daemon.share.SetDaemonCount(static_cast<std::uint32_t>(mDaemons.size()));
    daemon.share.OnStatements(mNow, aStatements);
  }
  void LoseDispatcher(std::size_t aDaemon, bool aHasEnded = false)
  {
    Daemon& daemon = mDaemons[aDaemon];
    if (daemon.share.hasDispatcher()) {
      Apply(aDaemon, daemon.share.OnDispatcherLost(mNow, aHasEnded));
    }
  }

  void Tick(std::size_t aDaemon, std::uint64_t aStarts)
  {
    if (mDaemonStarts[aDaemon] != aStarts) {
      return;
    }
    Daemon& daemon = mDaemons[aDaemon];
    if (!IsFrozen(aDaemon)) {
      if (!daemon.ledger && mNow - daemon.heartbeatAt > kDispatcherTimeout) {
        LoseDispatcher(aDaemon);
      }
      Apply(aDaemon, daemon.share.Tick(mNow));
      SendReport(aDaemon);
    }
    At(mNow + kTickInterval, [this, aDaemon, aStarts] { Tick(aDaemon, aStarts); });
  }
  void SendReport(std::size_t aDaemon)
  {
    const auto report = mDaemons[aDaemon].share.TakeReport(mNow);
    if (!report) {
      return;
    }
    const std::size_t to = mDaemons[aDaemon].dispatcher;
    Send(aDaemon, to, [this, aDaemon, to, report] {
      if (!mDaemons[to].ledger) {
        return;
      }
      Hear(to, aDaemon);
      const QuotaReply reply = mDaemons[to].ledger->OnReport(mNow, IdOf(aDaemon), *report);
      Send(to, aDaemon, [this, aDaemon, reply] {
        Apply(aDaemon, mDaemons[aDaemon].share.OnReply(mNow, reply));
      });
    });
  }

  void ScheduleArrival()
  {
    const double rate = mRequestsPerSecond * mDemand;
    At(mNow + Seconds(std::exponential_distribution<double>(rate)(mRandom)), [this] {
      Arrive();
      ScheduleArrival();
    });
    if (mNow < kStart) {
      mNow = kStart;
    }
  }
  void Arrive()
  {
    const double position = std::pow(Uniform(0.0, 1.0), 1.0 + mSkew * 3.0);
    auto index = static_cast<std::size_t>(position * static_cast<double>(mDaemons.size()));
    if (mSkew > 10.0) {
      index = mDaemons.size() / 2;
    }
    std::size_t tries = 0;
    while (IsFrozen(index)) { // Clients turn to another daemon.
      if (++tries == mDaemons.size()) {
        return;
      }
      index = (index + 1) % mDaemons.size();
    }
    const double mean = mQuota.perSecond / mRequestsPerSecond;
    const double cost =
      std::min(std::exponential_distribution<double>(1 / mean)(mRandom), mean * 4);
    const std::uint64_t request = ++mRequestCount;
    mSentAt[request] = mNow;
    if (Uniform(0.0, 1.0) >= mPlainShare) {
      Place(index, request, cost);
      return;
    }
    const QuotaDecision decision = mDaemons[index].share.Take(mNow, request, kAccount, cost);
    if (std::holds_alternative<QuotaUndecided>(decision)) {
      mDaemons[index].waiting[request] = cost;
      SendReport(index);
    } else {
      Decide(request, decision, cost);
    }
  }
  /* A request for a model. */
  void Place(std::size_t aDaemon, std::uint64_t aRequest, double aCost)
  {
    QuotaShare& share = mDaemons[aDaemon].share;
    const std::size_t to = mDaemons[aDaemon].dispatcher;
    if (!share.hasDispatcher()) {
      Decide(aRequest, share.TakeAlone(mNow, kAccount, aCost), aCost);
      return;
    }
    Send(aDaemon, to, [this, aDaemon, to, aRequest, aCost] {
      QuotaLedger* ledger = mDaemons[to].ledger.get();
      if (ledger == nullptr) {
        return;
      }
      PlacementRequest placement;
      placement.id = { .daemon = IdOf(aDaemon), .number = aRequest };
      placement.account = kAccount;
      placement.quotaCost = aCost;
      const auto exceeded = ledger->Charge(mNow, placement);
      if (exceeded) {
        Decide(aRequest, *exceeded, aCost);
      } else if (Uniform(0.0, 1.0) < mUnavailableShare) {
        At(mNow + Seconds(Uniform(0.0, 6.0)), [this, to, id = placement.id] {
          if (mDaemons[to].ledger) {
            mDaemons[to].ledger->End(mNow, id, false);
          }
        });
      } else {
        Decide(aRequest, QuotaAdmitted{}, aCost);
        ledger->End(mNow, placement.id, true);
        mDaemons[aDaemon].share.RecordCharged(mNow, kAccount, aCost);
      }
    });
  }
  void Apply(std::size_t aDaemon, const std::vector<QuotaShare::Decided>& aDecided)
  {
    for (const auto& [request, decision] : aDecided) {
      Decide(request, decision, mDaemons[aDaemon].waiting.at(request));
      mDaemons[aDaemon].waiting.erase(request);
    }
  }
  void Decide(std::uint64_t aRequest, const QuotaDecision& aDecision, double aCost)
  {
    const TimePoint sentAt = mSentAt.at(aRequest);
    mSentAt.erase(aRequest);
    const bool isRefused = std::holds_alternative<QuotaExceeded>(aDecision);
    if (!isRefused) {
      mAdmitted.push_back({ .at = sentAt, .cost = aCost });
    }
    if (!mIsWarm || mDemand > 1.0 || mFault == Fault::kLimitsChanging) {
      return;
    }
    const bool isInFault = mNow < mFaultEnd;
    ++(isInFault ? mResult.sentInFaults : mResult.sent);
    if (isRefused) {
      ++(isInFault ? mResult.refusedInFaults : mResult.refused);
    }
  }

  void KillDaemon(std::size_t aDaemon)
  {
    for (Daemon& other : mDaemons) {
      if (other.ledger) {
        other.ledger->OnDaemonEnded(mNow, IdOf(aDaemon));
        other.heardAt.erase(aDaemon);
      }
    }
    mDaemons[aDaemon] = Daemon{};
    StartDaemon(aDaemon);
  }
  void ElectAfter(Duration aTime)
  {
    At(mNow + aTime, [this] {
      for (std::size_t tries = 0; tries < 100; ++tries) {
        const std::size_t candidate = mRandom() % mDaemons.size();
        if (candidate != mHolder && !IsFrozen(candidate) && mDaemons[candidate].side == 0) {
          LoseDispatcher(candidate);
          BecomeDispatcher(candidate);
          return;
        }
      }
      if (!mDaemons[mHolder].ledger) {
        BecomeDispatcher(mHolder);
      }
    });
  }
  void StartFault()
  {
    const Duration duration = Seconds(Uniform(0.5, 8.0));
    mFaultEnd = std::max(mFaultEnd, mNow + duration + kFaultTime);
    const std::size_t holder = mHolder;
    switch (mFault) {
      case Fault::kDispatcherKilled:
      case Fault::kNoDispatcher:
        KillDaemon(holder);
        for (std::size_t index = 0; index < mDaemons.size(); ++index) {
          LoseDispatcher(index, true); // The connection ends.
        }
        ElectAfter(mFault == Fault::kNoDispatcher ? duration : Seconds(Uniform(0.5, 3.0)));
        return;
      case Fault::kDispatcherFrozen:
        mDaemons[holder].frozenUntil = mNow + duration;
        if (duration > 3s) {
          ElectAfter(3s);
        }
        return;
      case Fault::kPartition: {
        const double share = Uniform(0.0, 1.0);
        for (Daemon& daemon : mDaemons) {
          daemon.side = Uniform(0.0, 1.0) < share ? 1 : 0;
        }
        if (mDaemons[holder].side == 1 && duration > 3s) { // Only side 0 reaches the store.
          ElectAfter(3s);
        }
        At(mNow + duration, [this] {
          for (Daemon& daemon : mDaemons) {
            daemon.side = 0;
          }
        });
        return;
      }
      case Fault::kDaemonsFrozen:
        for (std::size_t index = 0; index + 1 < mDaemons.size(); ++index) {
          if (index != holder && Uniform(0.0, 1.0) < 0.3) {
            mDaemons[index].frozenUntil = mNow + duration;
          }
        }
        return;
      case Fault::kAllKilled:
        for (std::size_t index = 0; index < mDaemons.size(); ++index) {
          KillDaemon(index);
        }
        ElectAfter(Seconds(Uniform(0.5, 2.0)));
        return;
      case Fault::kLimitsChanging:
        ChangeLimits(8);
        return;
      case Fault::kDaemonsAdded:
        mDaemons.resize(std::min<std::size_t>(mDaemons.size() + 1 + mDaemons.size() / 4, 300));
        for (std::size_t index = 0; index < mDaemons.size(); ++index) {
          if (mDaemonStarts[index] == 0) {
            StartDaemon(index);
          }
        }
        return;
      default:
        return;
    }
  }
  void ChangeLimits(int aTimes)
  {
    mQuota.perSecond *= aTimes % 2 == 0 ? 0.3 : 1 / 0.3;
    mQuota.burst *= aTimes % 2 == 0 ? 0.3 : 1 / 0.3;
    mAllowed.push_back({ mNow, mQuota });
    SetQuotas();
    if (aTimes > 1) {
      At(mNow + 1s, [this, aTimes] { ChangeLimits(aTimes - 1); });
    }
  }

  /* Returns what was allowed in a window: the highest quota since a window and 3 s before it. */
  double AllowedIn(TimePoint aFrom) const
  {
    double allowed = 0.0;
    for (std::size_t index = 0; index < mAllowed.size(); ++index) {
      const auto& [from, quota] = mAllowed[index];
      const bool hasEnded =
        index + 1 < mAllowed.size() && mAllowed[index + 1].first < aFrom - kRules.window - 3s;
      if (from < aFrom + kRules.window && !hasEnded) {
        const double inWindow = quota.perSecond * 8.0 + quota.burst;
        allowed = std::max(allowed, inWindow * (1.0 + kRules.overage) + kRules.slack);
      }
    }
    return allowed;
  }
  double LargestRatio()
  {
    std::sort(mAdmitted.begin(),
              mAdmitted.end(),
              [](const Admitted& aLeft, const Admitted& aRight) { return aLeft.at < aRight.at; });
    double largest = 0.0;
    double sum = 0.0;
    std::size_t first = 0;
    for (const Admitted& last : mAdmitted) {
      sum += last.cost;
      while (mAdmitted[first].at < last.at - kRules.window) {
        sum -= mAdmitted[first++].cost;
      }
      largest = std::max(largest, sum / AllowedIn(mAdmitted[first].at));
    }
    return largest;
  }

  std::mt19937_64 mRandom;
  AccountQuota mQuota;
  double mRequestsPerSecond = 0.0;
  double mDemand = 0.0;
  double mSkew = 0.0;
  double mPlainShare = 0.0;
  double mUnavailableShare = 0.0; ///< Of the requests for models: they wait and are refused.
  Duration mLatency{};
  Fault mFault = Fault::kNone;
  TimePoint mNow = kStart;
  TimePoint mFaultEnd{};
  bool mIsWarm = false;
  std::vector<std::pair<TimePoint, AccountQuota>> mAllowed;
  std::shared_ptr<const ClientAccounts> mAccounts;
  std::vector<Daemon> mDaemons;
  std::map<std::size_t, std::uint64_t> mDaemonStarts; ///< How often each was started.
  std::size_t mHolder = 0;
  std::uint64_t mTerm = 0;
  std::uint64_t mDispatcherTicks = 0;
  std::priority_queue<Event> mEvents;
  std::uint64_t mEventCount = 0;
  std::uint64_t mRequestCount = 0;
  std::map<std::uint64_t, TimePoint> mSentAt;
  std::vector<Admitted> mAdmitted;
  Result mResult;

public:
  Fault fault() const { return mFault; }
  double demand() const { return mDemand; }
  std::string Describe() const
  {
    return "fault " + std::to_string(static_cast<int>(mFault)) + " daemons " +
           std::to_string(mDaemons.size()) + " skew " + std::to_string(mSkew) + " demand " +
           std::to_string(mDemand) + " rate " + std::to_string(mQuota.perSecond) + " plain " +
           std::to_string(mPlainShare) + " unavailable " + std::to_string(mUnavailableShare) +
           " rps " + std::to_string(mRequestsPerSecond);
  }
};

std::uint64_t EnvironmentNumber(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

double Share(std::uint64_t aPart, std::uint64_t aAll)
{
  return aAll == 0 ? 0.0 : static_cast<double>(aPart) / static_cast<double>(aAll);
}

} // namespace

TEST_CASE("quota search: a seed is the same scenario on every machine")
{
  TraceDigest trace;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    QuotaSimulation simulation(seed);
    const Result result = simulation.Run();
    trace.Add(result.messages);
    trace.Add(result.sent);
    trace.Add(result.refused);
    trace.Add(result.sentInFaults);
    trace.Add(result.refusedInFaults);
  }
  CHECK(trace.value() == 0x5ceb'e604'e423'd6c3);
}

TEST_CASE("quota search: no fault lets an account exceed its quota or refuses much below it")
{
  const std::uint64_t first = EnvironmentNumber("QUOTA_SEED", 1);
  const std::uint64_t runs = EnvironmentNumber("QUOTA_RUNS", 60);
  const bool isVerbose = std::getenv("QUOTA_VERBOSE") != nullptr;
  Result total;
  std::uint64_t worstSeed = first;
  std::map<std::pair<int, int>, Result> byKind;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    QuotaSimulation simulation(seed);
    const Result result = simulation.Run();
    if (result.largestRatio > total.largestRatio) {
      total.largestRatio = result.largestRatio;
      worstSeed = seed;
    }
    Result& kind = byKind[{ static_cast<int>(simulation.fault()), simulation.demand() > 1.0 }];
    kind.largestRatio = std::max(kind.largestRatio, result.largestRatio);
    for (Result* sum : { &total, &kind }) {
      sum->sent += result.sent;
      sum->refused += result.refused;
      sum->sentInFaults += result.sentInFaults;
      sum->refusedInFaults += result.refusedInFaults;
      sum->messages += result.messages;
    }
    if (isVerbose && (result.largestRatio > 0.98 || Share(result.refused, result.sent) > 0.03 ||
                      Share(result.refusedInFaults, result.sentInFaults) > 0.1)) {
      MESSAGE("seed ",
              seed,
              " ratio ",
              result.largestRatio,
              " refused ",
              result.refused,
              "/",
              result.sent,
              " faults ",
              result.refusedInFaults,
              "/",
              result.sentInFaults,
              " ",
              simulation.Describe());
    }
  }
  if (isVerbose) {
    for (const auto& [kind, sum] : byKind) {
      MESSAGE("fault ",
              kind.first,
              " flood ",
              kind.second,
              ": ratio ",
              sum.largestRatio,
              " refused ",
              Share(sum.refused, sum.sent),
              " in faults ",
              Share(sum.refusedInFaults, sum.sentInFaults));
    }
  }
  MESSAGE(runs,
          " runs from seed ",
          first,
          ": most admitted in a window, of what is allowed: ",
          total.largestRatio,
          " (seed ",
          worstSeed,
          "); refused below the limit: ",
          Share(total.refused, total.sent),
          " of ",
          total.sent,
          ", within 10 s of faults ",
          Share(total.refusedInFaults, total.sentInFaults),
          " of ",
          total.sentInFaults);
  CHECK(total.largestRatio <= 1.0);
  CHECK(Share(total.refused, total.sent) < 0.01);
  WARN(Share(total.refusedInFaults, total.sentInFaults) < 0.03); // KNOWN-RED.txt
}

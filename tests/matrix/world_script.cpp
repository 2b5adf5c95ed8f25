/* What happens during a run: steps, faults and client requests. */
#include "tests/matrix/world.h"

#include <array>
#include <sstream>

namespace rhubarbtrail::matrix {

namespace {

constexpr std::array kStepNames{
  "load", "request", "claim", "configuration", "takeover", "shutdown"
};
constexpr std::array kFaultNames{ "none",       "death",       "freeze",      "cut",
                                  "silence",    "table down",  "table slow",  "answer lost",
                                  "store slow", "crash",       "leaving",     "lagging list",
                                  "operators",  "late orders", "endpoint cut" };
constexpr Clock kTrafficEnd = 20s;
constexpr std::uint32_t kResends = 5;

} // namespace

const char* NameOf(Step aStep)
{
  return kStepNames.at(static_cast<std::size_t>(aStep));
}

const char* NameOf(Fault aFault)
{
  return kFaultNames.at(static_cast<std::size_t>(aFault));
}

std::string Describe(const Scenario& aScenario)
{
  std::ostringstream text;
  text << "step " << NameOf(aScenario.step) << ", faults";
  for (const Fault fault : aScenario.faults) {
    text << " '" << NameOf(fault) << "'";
  }
  text << (aScenario.check == OrderCheck::kChecked ? ", checked" : ", unchecked") << ", seed "
       << aScenario.seed;
  return text.str();
}

Verdict Play(const Scenario& aScenario)
{
  return World(aScenario).Run();
}

RequestId World::Send(std::size_t aHost,
                      const Artifact& aArtifact,
                      IdempotencyKey aKey,
                      Duration aLimit)
{
  const bool isPlain = aArtifact.model.empty();
  const RequestId id{ (isPlain ? "ledger" : aArtifact.model.str()) + "/" +
                      std::to_string(++mNumber) };
  Host& host = mHosts[aHost];
  Call& call = mCalls[id];
  call = { .host = aHost, .generation = host.generation, .artifact = aArtifact, .key = aKey };
  call.work = Chance(0.2) ? Between(3s, 9s) : Between(20ms, 900ms);
  RequestArrived arrived{ .request = id,
                          .customer = CustomerId{ "c" },
                          .service = ServiceId{ isPlain ? "ledger" : "models" },
                          .artifact = aArtifact,
                          .requestClass = ClassId{ isPlain ? "pay" : "chat" },
                          .timeLeft = aLimit,
                          .key = aKey,
                          .fingerprint = FingerprintId{ aKey.empty() ? id.str() : aKey.str() } };
  if (host.node == nullptr) {
    call.answers = 1; // Connection refused.
    After(300ms, [this, id] { Resend(id); });
    return id;
  }
  Deliver(aHost, host.generation, arrived, 1ms);
  After(aLimit * 11 / 10 + 100ms, [this, id] { CheckAnswered(id); });
  return id;
}

void World::CheckAnswered(const RequestId& aRequest)
{
  const Call& call = mCalls[aRequest];
  const Host& host = mHosts[call.host];
  if (call.answers > 0) {
    return;
  }
  if (host.node == nullptr || host.generation != call.generation) {
    After(300ms, [this, aRequest] { Resend(aRequest); });
    return;
  }
  if (host.isFrozen || mNow < call.due || mNow - host.resumedAt < 300ms) {
    After(500ms, [this, aRequest] { CheckAnswered(aRequest); });
    return;
  }
  Violate("in time", aRequest.str() + " has no answer after its deadline");
}

void World::Resend(const RequestId& aRequest)
{
  const Call call = mCalls[aRequest];
  if (call.key.empty() || call.resends >= kResends) {
    return;
  }
  const RequestId again = Send((call.host + 1) % mHosts.size(), call.artifact, call.key, 5s);
  mCalls[again].resends = call.resends + 1;
}

void World::Background()
{
  if (mNow > kTrafficEnd) {
    return;
  }
  const Artifact artifact{ ModelId{ "m" + std::to_string(Pick(4)) },
                           AdapterId{ Chance(0.15) ? "a" : "" } };
  Send(Pick(mHosts.size()), artifact, {}, Between(2s, 10s));
  After(Between(50ms, 800ms), [this] { Background(); });
}

void World::Begin(Step aStep)
{
  const std::size_t holder = HolderOr(Pick(mHosts.size()));
  switch (aStep) {
    case Step::kLoad:
    case Step::kRequest:
      for (std::size_t count = 0; count < 9; ++count) {
        const ModelId model{ "m" + std::to_string(aStep == Step::kLoad ? Pick(4) : 0) };
        After(Between(0ms, 400ms), [=, this] { Send(count % 3, { model, {} }, {}, 10s); });
      }
      return;
    case Step::kClaim:
      for (int count = 0; count < 8; ++count) {
        const IdempotencyKey key{ "k" + std::to_string(count) };
        After(Between(0ms, 1s), [=, this] { Send(Pick(3), {}, key, 5s); });
        After(Between(0ms, 1s), [=, this] { Send(Pick(3), {}, key, 5s); });
      }
      return;
    case Step::kConfiguration:
      AcceptConfiguration(true);
      After(Between(0ms, 2s), [this] { AcceptConfiguration(true); });
      return;
    case Step::kTakeover:
      Send(Pick(3), { ModelId{ "m" + std::to_string(Pick(4)) }, {} }, {}, 10s);
      After(Between(0ms, 300ms), [=, this] {
        if (Chance(0.5)) {
          Freeze(holder, Between(4s, 8s));
          return;
        }
        Kill(holder);
        After(Between(500ms, 6s), [=, this] { Boot(holder); });
      });
      return;
    case Step::kShutdown: {
      const std::size_t leaver = Chance(0.7) ? holder : Pick(mHosts.size());
      Send(leaver, { ModelId{ "m1" }, {} }, {}, 10s);
      After(Between(0ms, 1s), [=, this] {
        Host& host = mHosts[leaver];
        if (host.node == nullptr) {
          return;
        }
        host.isStopping = true;
        Deliver(leaver, host.generation, ShutdownRequested{}, {});
        After(25s, [=, this, generation = host.generation] {
          if (mHosts[leaver].node != nullptr && mHosts[leaver].generation == generation) {
            Violate("shutdown",
                    mHosts[leaver].id.str() + " has not ended 25 s after the shutdown request");
          }
        });
      });
      return;
    }
    case Step::kCount:
      return;
  }
}

void World::Begin(Fault aFault)
{
  const std::size_t host = Chance(0.6) ? HolderOr(0) : Pick(mHosts.size());
  const Duration length = Between(500ms, 9s);
  switch (aFault) {
    case Fault::kDeath:
      if (!mHosts[host].isStopping) {
        Kill(host);
        After(Between(200ms, 5s), [=, this] { Boot(host); });
      }
      return;
    case Fault::kFreeze:
      if (Chance(0.5)) {
        mFreezeOnOrder = host;
      } else {
        Freeze(host, length);
      }
      return;
    case Fault::kCut: {
      const std::uint64_t kinds = 1 + Pick(7);
      mHosts[host].isPeerCut = (kinds & 1) != 0;
      mHosts[host].isTableCut = (kinds & 2) != 0;
      mHosts[host].isRunnerCut = (kinds & 4) != 0;
      After(length, [=, this] {
        Host& cut = mHosts[host];
        cut.isPeerCut = cut.isTableCut = cut.isRunnerCut = false;
      });
      return;
    }
    case Fault::kSilence:
      mSilence = 0.5;
      mLostMessages = 0.3;
      After(length, [this] { mSilence = mLostMessages = 0; });
      return;
    case Fault::kTableDown:
      mIsTableDown = true;
      After(length, [this] { mIsTableDown = false; });
      return;
    case Fault::kTableSlow:
      mTableDelay = 700ms;
      After(length, [this] { mTableDelay = {}; });
      return;
    case Fault::kAnswerLost:
      mLostAnswers = 0.5;
      After(length, [this] { mLostAnswers = 0; });
      return;
    case Fault::kStoreSlow:
      mLoadFactor = 6;
      After(length, [this] { mLoadFactor = 1; });
      return;
    case Fault::kEndpointCrash:
      CrashEndpoint(Pick(mEndpoints.size()), Chance(0.5) ? 1ms : Between(1ms, 3s));
      return;
    case Fault::kLeaving:
      Leave(Pick(mEndpoints.size()));
      return;
    case Fault::kLaggingList:
      mListLag = 8s;
      Leave(Pick(mEndpoints.size()));
      After(10s, [this] { mListLag = 300ms; });
      return;
    case Fault::kRacingOperators:
      AcceptConfiguration(true);
      After(200ms, [this] { AcceptConfiguration(true); });
      return;
    case Fault::kLateOrders:
      mOrderDelay = 990ms;
      After(length, [this] { mOrderDelay = {}; });
      return;
    case Fault::kEndpointCut: {
      const std::size_t endpoint = Pick(3);
      mEndpoints[endpoint].isCut = true;
      After(Between(3s, 14s), [=, this] { mEndpoints[endpoint].isCut = false; });
      return;
    }
    case Fault::kNone:
    case Fault::kCount:
      return;
  }
}

} // namespace rhubarbtrail::matrix

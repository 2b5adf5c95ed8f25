/* What happens during a run: steps, faults and client requests. */
#include "tests/matrix/world.h"

#include <array>
#include <sstream>

namespace rhubarbtrail::matrix {

namespace {

constexpr std::array kStepNames{
  "load", "request", "claim", "configuration", "takeover", "shutdown"
};
constexpr std::array kFaultNames{ "none",
                                  "daemon crash",
                                  "daemon freeze",
                                  "daemon partition",
                                  "lossy network",
                                  "table down",
                                  "table slow",
                                  "table answer lost",
                                  "slow loads",
                                  "endpoint crash",
                                  "endpoint leaving",
                                  "stale host list",
                                  "concurrent operators",
                                  "late orders",
                                  "runner partition" };
constexpr SimulatedTime kBackgroundTrafficEnd = 20s;
constexpr std::uint32_t kMaxResends = 5;

} // namespace

const char* NameOf(Step aStep)
{
  return kStepNames.at(static_cast<std::size_t>(aStep));
}

const char* NameOf(Fault aFault)
{
  return kFaultNames.at(static_cast<std::size_t>(aFault));
}

std::string DescribeScenario(const Scenario& aScenario)
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

ScenarioResult RunScenario(const Scenario& aScenario)
{
  return World(aScenario).Run();
}

RequestId World::SendRequest(std::size_t aHost,
                             const Artifact& aArtifact,
                             IdempotencyKey aKey,
                             Duration aTimeLimit)
{
  const bool isPlain = aArtifact.model.empty();
  const RequestId id{ (isPlain ? "ledger" : aArtifact.model.str()) + "/" +
                      std::to_string(++mLastNumber) };
  DaemonHost& host = mHosts[aHost];
  ClientRequest& request = mRequests[id];
  request = { .host = aHost, .generation = host.generation, .artifact = aArtifact, .key = aKey };
  request.runTime = RandomBool(0.2) ? RandomDuration(3s, 9s) : RandomDuration(20ms, 900ms);
  RequestArrived arrived{ .request = id,
                          .customer = CustomerId{ "c" },
                          .service = ServiceId{ isPlain ? "ledger" : "models" },
                          .artifact = aArtifact,
                          .requestClass = ClassId{ isPlain ? "pay" : "chat" },
                          .timeLeft = aTimeLimit,
                          .key = aKey,
                          .fingerprint = FingerprintId{ aKey.empty() ? id.str() : aKey.str() } };
  if (host.node == nullptr) {
    request.answerCount = 1; // Connection refused.
    Schedule(300ms, [this, id] { ResendRequest(id); });
    return id;
  }
  DeliverEvent(aHost, host.generation, arrived, 1ms);
  Schedule(aTimeLimit * 11 / 10 + 100ms, [this, id] { CheckAnswered(id); });
  return id;
}

void World::CheckAnswered(const RequestId& aRequest)
{
  const ClientRequest& request = mRequests[aRequest];
  const DaemonHost& host = mHosts[request.host];
  if (request.answerCount > 0) {
    return;
  }
  if (host.node == nullptr || host.generation != request.generation) {
    Schedule(300ms, [this, aRequest] { ResendRequest(aRequest); });
    return;
  }
  if (host.isFrozen || mNow < request.answerDue || mNow - host.resumedAt < 300ms) {
    Schedule(500ms, [this, aRequest] { CheckAnswered(aRequest); });
    return;
  }
  RecordViolation("in time", aRequest.str() + " has no answer after its deadline");
}

void World::ResendRequest(const RequestId& aRequest)
{
  const ClientRequest request = mRequests[aRequest];
  if (request.key.empty() || request.resendCount >= kMaxResends) {
    return;
  }
  const RequestId resent =
    SendRequest((request.host + 1) % mHosts.size(), request.artifact, request.key, 5s);
  mRequests[resent].resendCount = request.resendCount + 1;
}

void World::SendBackgroundTraffic()
{
  if (mNow > kBackgroundTrafficEnd) {
    return;
  }
  const Artifact artifact{ ModelId{ "m" + std::to_string(RandomIndex(4)) },
                           AdapterId{ RandomBool(0.15) ? "a" : "" } };
  const auto [host, timeLimit] = DrawBoth([this] { return RandomIndex(mHosts.size()); },
                                          [this] { return RandomDuration(2s, 10s); });
  SendRequest(host, artifact, {}, timeLimit);
  Schedule(RandomDuration(50ms, 800ms), [this] { SendBackgroundTraffic(); });
}

void World::StartStep(Step aStep)
{
  const std::size_t holder = LeaseHolderOr(RandomIndex(mHosts.size()));
  switch (aStep) {
    case Step::kLoad:
    case Step::kRequest:
      for (std::size_t count = 0; count < 9; ++count) {
        const ModelId model{ "m" + std::to_string(aStep == Step::kLoad ? RandomIndex(4) : 0) };
        Schedule(RandomDuration(0ms, 400ms), [=, this] {
          SendRequest(count % 3, { model, {} }, {}, 10s);
        });
      }
      return;
    case Step::kClaim:
      for (int count = 0; count < 8; ++count) {
        const IdempotencyKey key{ "k" + std::to_string(count) };
        Schedule(RandomDuration(0ms, 1s), [=, this] { SendRequest(RandomIndex(3), {}, key, 5s); });
        Schedule(RandomDuration(0ms, 1s), [=, this] { SendRequest(RandomIndex(3), {}, key, 5s); });
      }
      return;
    case Step::kConfiguration:
      AcceptConfiguration(true);
      Schedule(RandomDuration(0ms, 2s), [this] { AcceptConfiguration(true); });
      return;
    case Step::kTakeover: {
      const auto [host, model] =
        DrawBoth([this] { return RandomIndex(3); }, [this] { return RandomIndex(4); });
      SendRequest(host, { ModelId{ "m" + std::to_string(model) }, {} }, {}, 10s);
      Schedule(RandomDuration(0ms, 300ms), [holder, this] {
        if (RandomBool(0.5)) {
          FreezeDaemon(holder, RandomDuration(4s, 8s));
          return;
        }
        KillDaemon(holder);
        Schedule(RandomDuration(500ms, 6s), [=, this] { StartDaemon(holder); });
      });
      return;
    }
    case Step::kShutdown: {
      const std::size_t stoppingHost = RandomBool(0.7) ? holder : RandomIndex(mHosts.size());
      SendRequest(stoppingHost, { ModelId{ "m1" }, {} }, {}, 10s);
      Schedule(RandomDuration(0ms, 1s), [=, this] {
        DaemonHost& host = mHosts[stoppingHost];
        if (host.node == nullptr) {
          return;
        }
        host.isStopping = true;
        DeliverEvent(stoppingHost, host.generation, ShutdownRequested{}, {});
        Schedule(25s, [=, this, generation = host.generation] {
          if (mHosts[stoppingHost].node != nullptr &&
              mHosts[stoppingHost].generation == generation) {
            RecordViolation("shutdown",
                            mHosts[stoppingHost].id.str() +
                              " has not ended 25 s after the shutdown request");
          }
        });
      });
      return;
    }
    case Step::kCount:
      return;
  }
}

void World::InjectFault(Fault aFault)
{
  const std::size_t host = RandomBool(0.6) ? LeaseHolderOr(0) : RandomIndex(mHosts.size());
  const Duration length = RandomDuration(500ms, 9s);
  switch (aFault) {
    case Fault::kDaemonCrash:
      if (!mHosts[host].isStopping) {
        KillDaemon(host);
        Schedule(RandomDuration(200ms, 5s), [=, this] { StartDaemon(host); });
      }
      return;
    case Fault::kDaemonFreeze:
      if (RandomBool(0.5)) {
        mFreezeOnNextOrder = host;
      } else {
        FreezeDaemon(host, length);
      }
      return;
    case Fault::kDaemonPartition: {
      const std::uint64_t cutLinks = 1 + RandomIndex(7);
      mHosts[host].isCutFromPeers = (cutLinks & 1) != 0;
      mHosts[host].isCutFromTable = (cutLinks & 2) != 0;
      mHosts[host].isCutFromRunners = (cutLinks & 4) != 0;
      Schedule(length, [=, this] {
        DaemonHost& cutHost = mHosts[host];
        cutHost.isCutFromPeers = cutHost.isCutFromTable = cutHost.isCutFromRunners = false;
      });
      return;
    }
    case Fault::kLossyNetwork:
      mSilentRunProbability = 0.5;
      mLostMessageProbability = 0.3;
      Schedule(length, [this] { mSilentRunProbability = mLostMessageProbability = 0; });
      return;
    case Fault::kTableDown:
      mIsTableDown = true;
      Schedule(length, [this] { mIsTableDown = false; });
      return;
    case Fault::kTableSlow:
      mMaxTableDelay = 700ms;
      Schedule(length, [this] { mMaxTableDelay = {}; });
      return;
    case Fault::kTableAnswerLost:
      mLostTableAnswerProbability = 0.5;
      Schedule(length, [this] { mLostTableAnswerProbability = 0; });
      return;
    case Fault::kSlowLoads:
      mLoadTimeFactor = 6;
      Schedule(length, [this] { mLoadTimeFactor = 1; });
      return;
    case Fault::kEndpointCrash: {
      const auto [endpoint, downtime] =
        DrawBoth([this] { return RandomIndex(mEndpoints.size()); },
                 [this] { return RandomBool(0.5) ? 1ms : RandomDuration(1ms, 3s); });
      CrashEndpoint(endpoint, downtime);
      return;
    }
    case Fault::kEndpointLeaving:
      StartLeaving(RandomIndex(mEndpoints.size()));
      return;
    case Fault::kStaleHostList:
      mHostListAge = 8s;
      StartLeaving(RandomIndex(mEndpoints.size()));
      Schedule(10s, [this] { mHostListAge = 300ms; });
      return;
    case Fault::kConcurrentOperators:
      AcceptConfiguration(true);
      Schedule(200ms, [this] { AcceptConfiguration(true); });
      return;
    case Fault::kLateOrders:
      mMaxOrderDelay = 990ms;
      Schedule(length, [this] { mMaxOrderDelay = {}; });
      return;
    case Fault::kRunnerPartition: {
      const std::size_t endpoint = RandomIndex(3);
      mEndpoints[endpoint].isUnreachable = true;
      Schedule(RandomDuration(3s, 14s), [=, this] { mEndpoints[endpoint].isUnreachable = false; });
      return;
    }
    case Fault::kNone:
    case Fault::kCount:
      return;
  }
}

void World::InjectDirectedFault(const DirectedFault& aFault)
{
  switch (aFault.fault) {
    case Fault::kDaemonCrash: {
      const std::size_t holder = LeaseHolderOr(0);
      KillDaemon(holder);
      Schedule(aFault.length, [this, holder] { StartDaemon(holder); });
      return;
    }
    case Fault::kTableDown:
      mIsTableDown = true;
      Schedule(aFault.length, [this] { mIsTableDown = false; });
      return;
    case Fault::kRunnerPartition:
      for (FakeEndpoint& endpoint : mEndpoints) {
        if (endpoint.models.empty()) {
          continue;
        }
        endpoint.isUnreachable = true;
        Schedule(aFault.length, [&endpoint] { endpoint.isUnreachable = false; });
      }
      return;
    default:
      RecordViolation("scenario", "this fault cannot be directed");
      return;
  }
}

} // namespace rhubarbtrail::matrix

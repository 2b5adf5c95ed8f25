/* Executes the actions of the decision library and posts the results to it as events. */
#include "daemon/daemon.h"

#include "caller/caller_server.h"
#include "config/configuration_document.h"
#include "core/digest_func.h"
#include "core/exit_code_type.h"
#include "core/log_func.h"
#include "core/metrics.h"
#include "core/worker_pool.h"
#include "daemon/decision_loop.h"
#include "endpoint/attempt.h"
#include "endpoint/order_client.h"
#include "operator/admin_server.h"
#include "operator/daemon_status.h"
#include "peer/peer_transport.h"
#include "table/host_list_client.h"
#include "table/table_client.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <pthread.h>

namespace rhubarbtrail {

namespace {

/* Threads for calls to the table service. */
constexpr std::size_t kTableThreads = 4;
/* Threads that stop attempts. Stopping an attempt can block until its connect has ended. */
constexpr std::size_t kStopAttemptThreads = 2;
/* Divides the number of order threads into the number that one runner may use, which is at least 1.
 * With two or more threads, a slow runner thus leaves some for orders to other runners. */
constexpr std::size_t kOrderThreadsDivisor = 4;

class Daemon
{
public:
  Daemon(Settings aSettings, std::vector<OperatorKey> aKeys);

  /* Binds all ports and starts the threads. Returns false if a port cannot be bound. */
  bool Start();
  /* Waits for SIGTERM, SIGINT or a drain request of an operator, then shuts down. Open requests may
   * finish within the shutdown limit. Returns the exit code, or ends the process with
   * kExitRequestsLeft when the limit has passed. */
  int WaitAndStop();

private:
  void ExecuteAction(Action aAction);
  void Execute(StartAttempt aAction);
  void Execute(const StopAttempt& aAction);
  void Execute(FinishRequest aAction);
  void Execute(TableTransaction aAction);
  void Execute(TableRead aAction);
  void Execute(SendOrder aAction);
  void PollOrder(SendOrder aOrder);
  void Execute(SendMessage aAction);
  void Execute(const WakeAt& /*aAction*/) {} // DecisionLoop handles it.
  void Execute(const PublishConfiguration& aAction);
  void Execute(const PublishReadiness& aAction);
  void Execute(const ShutdownComplete& /*aAction*/) { mIsShutdownComplete = true; }

  void LoadConfiguration(const ConfigurationRow& aRow);
  void PublishSnapshot();
  std::vector<Gauge> Gauges();
  void PollHostList();
  void MarkDrainedHosts(HostListReceived& aList) const;
  void WriteAddressFile(std::uint16_t aCaller, std::uint16_t aAdmin, std::uint16_t aPeer) const;

  Settings mSettings;
  Incarnation mSelf;
  TableClient mTableClient;
  ConfigurationStore mConfigurationStore;
  RcuPointer<Snapshot> mSnapshot;
  Snapshot mNextSnapshot; ///< Used only while an action is executed, so by one thread at a time.
  std::atomic<std::uint64_t> mConfigurationVersion{ 0 }; ///< Version of the configuration in force.
  std::atomic<std::uint64_t> mNewestParsedVersion{ 0 };  ///< Newest whose parsing has begun.
  SessionMap mSessions;
  Metrics mMetrics;
  WorkerPool mTableThreads;
  WorkerPool mOrderThreads;
  WorkerPool mAttemptThreads;
  WorkerPool mStopAttemptThreads;
  DecisionLoop mLoop;
  PeerTransport mPeerTransport;
  CallerServer mCallerServer;
  AdminServer mAdminServer;
  std::thread mHostListThread;
  std::mutex mStopMutex;
  std::condition_variable mStopChanged;   ///< Wakes mHostListThread when mIsStopping is set.
  std::atomic<bool> mIsStopping{ false }; ///< Ends mHostListThread, after the open requests.
  /* The decision library has no request left and holds no lease. */
  std::atomic<bool> mIsShutdownComplete{ false };
  std::atomic<bool> mIsDrainRequested{ false }; ///< An operator requested the shutdown.
};

NodeOptions MakeNodeOptions(const Settings& aSettings, const Incarnation& aSelf)
{
  return { .self = aSelf,
           .zone = ZoneId{ aSettings.zone },
           .settings = aSettings.decision,
           .disabledMechanisms = {} };
}

Daemon::Daemon(Settings aSettings, std::vector<OperatorKey> aKeys)
  : mSettings(std::move(aSettings))
  , mSelf{ DaemonId{ mSettings.daemonId }, IncarnationId{ RandomHex() } }
  , mTableClient({ .address = mSettings.table, .timeout = mSettings.callTimeout })
  , mConfigurationStore(mTableClient)
  , mSnapshot(std::make_unique<const Snapshot>())
  , mTableThreads(kTableThreads)
  , mOrderThreads(mSettings.orderThreads,
                  std::max<std::size_t>(1, mSettings.orderThreads / kOrderThreadsDivisor))
  , mAttemptThreads(mSettings.attemptThreads)
  , mStopAttemptThreads(kStopAttemptThreads)
  , mLoop(MakeNodeOptions(mSettings, mSelf),
          [this](Action aAction) { ExecuteAction(std::move(aAction)); })
  , mPeerTransport(
      { .address = mSettings.listenAddress, .port = mSettings.peerPort },
      [this](Envelope aEnvelope) {
        if (const auto* message = std::get_if<ConfigurationMessage>(&aEnvelope.message)) {
          LoadConfiguration(message->row);
        }
        mLoop.Post(MessageReceived{ .from = std::move(aEnvelope.from),
                                    .senderConfigVersion = aEnvelope.senderConfigVersion,
                                    .message = std::move(aEnvelope.message) });
      })
  , mCallerServer(
      { .address = mSettings.listenAddress,
        .port = mSettings.callerPort,
        .connectionLimit = mSettings.callerConnections,
        .bodyLimit = mSettings.bodyLimit,
        .requestIdPrefix = mSettings.daemonId + "-" + mSelf.id.str(),
        .onRequestEnded = [this](RequestSample aSample) { mMetrics.Record(std::move(aSample)); } },
      mSnapshot,
      mSessions,
      [this](Event aEvent) { mLoop.Post(std::move(aEvent)); })
  , mAdminServer(
      { .address = mSettings.listenAddress, .port = mSettings.adminPort, .keys = std::move(aKeys) },
      mSnapshot,
      mConfigurationStore,
      { .dump = [this] { return mLoop.Dump(); },
        .metrics = [this] { return mMetrics.ToText(Gauges()); },
        .onConfigurationAccepted =
          [this](const ConfigurationRow& aRow) { LoadConfiguration(aRow); },
        .drain = [this] { mIsDrainRequested = true; },
        .releaseFromQuarantine =
          [this](FingerprintId aFingerprint) {
            mLoop.Post(QuarantineReleased{ std::move(aFingerprint) });
          } })
{
}

bool Daemon::Start()
{
  const std::uint16_t peer = mPeerTransport.Start();
  const std::uint16_t admin = mAdminServer.Start();
  const std::uint16_t caller = mCallerServer.Start();
  if (peer == 0 || admin == 0 || caller == 0) {
    Log(log_part::kDaemon)
      ->error(
        "A port cannot be bound on {}, and the daemon exits. Bound ports: callers {}, operators "
        "{}, other daemons {} (0: not bound).",
        mSettings.listenAddress,
        caller,
        admin,
        peer);
    return false;
  }
  WriteAddressFile(caller, admin, peer);
  mLoop.Start();
  mLoop.Post(Wake{});
  mHostListThread = std::thread([this] { PollHostList(); });
  Log(log_part::kDaemon)
    ->info("Daemon {} listens on port {} for callers, {} for operators and {} for other daemons.",
           mSettings.daemonId,
           caller,
           admin,
           peer);
  return true;
}

void Daemon::WriteAddressFile(std::uint16_t aCaller,
                              std::uint16_t aAdmin,
                              std::uint16_t aPeer) const
{
  if (mSettings.addressFile.empty()) {
    return;
  }
  const std::string partial = mSettings.addressFile + ".partial";
  std::ofstream file(partial);
  file << "caller: " << mSettings.listenAddress << ":" << aCaller << "\n"
       << "admin: " << mSettings.listenAddress << ":" << aAdmin << "\n"
       << "peer: " << mSettings.listenAddress << ":" << aPeer << "\n";
  file.close();
  std::rename(partial.c_str(), mSettings.addressFile.c_str());
}

void Daemon::PollHostList()
{
  while (!mIsStopping) {
    if (auto list =
          ReadHostList({ .address = mSettings.hostList, .timeout = mSettings.callTimeout })) {
      MarkDrainedHosts(*list);
      mLoop.Post(std::move(*list));
    }
    mMetrics.Collect();
    std::unique_lock lock(mStopMutex);
    mStopChanged.wait_for(lock, mSettings.hostListInterval, [this] { return mIsStopping.load(); });
  }
}

/* Marks endpoints that the configuration drains, unless the host list reports them as leaving.
 * Neither gets new work, but only a drained endpoint becomes live again when operators change the
 * configuration. */
void Daemon::MarkDrainedHosts(HostListReceived& aList) const
{
  mSnapshot.Read([&](const Snapshot& aSnapshot) {
    const auto& services = aSnapshot.configuration->services;
    for (HostEntry& host : aList.hosts) {
      const auto service = services.find(host.service);
      if (service != services.end() && host.state != HostState::kLeaving &&
          service->second.drained.contains(EndpointId{ host.id })) {
        host.state = HostState::kDrained;
      }
    }
  });
}

int Daemon::WaitAndStop()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  const timespec poll{ .tv_sec = 0, .tv_nsec = 100'000'000 };
  while (!mIsDrainRequested && sigtimedwait(&signals, nullptr, &poll) < 0) {
  }
  Log(log_part::kDaemon)->info("Shutting down. Waiting for {} open requests.", mSessions.size());
  mLoop.Post(ShutdownRequested{});
  const TimePoint end = DaemonNow() + mSettings.shutdownLimit;
  while (!mIsShutdownComplete || mSessions.size() > 0) {
    if (DaemonNow() >= end) {
      Log(log_part::kDaemon)
        ->error("The shutdown limit has passed. Exiting with {} open requests.", mSessions.size());
      // The threads are not joined, because some may be blocked by callers that do not read their
      // answers.
      std::_Exit(kExitRequestsLeft);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
  }
  {
    const std::lock_guard lock(mStopMutex);
    mIsStopping = true;
  }
  mStopChanged.notify_all();
  mCallerServer.Stop();
  mAdminServer.Stop();
  mHostListThread.join();
  mLoop.Stop();
  mPeerTransport.Stop();
  mStopAttemptThreads.Stop();
  mAttemptThreads.Stop();
  mOrderThreads.Stop();
  mTableThreads.Stop();
  Log(log_part::kDaemon)->info("Stopped.");
  return kExitOk;
}

void Daemon::ExecuteAction(Action aAction)
{
  std::visit([this](auto& aKind) { Execute(std::move(aKind)); }, aAction);
}

void Daemon::Execute(StartAttempt aAction)
{
  mMetrics.Count(Counter::kAttempts);
  if (aAction.attempt.value > 1) {
    mMetrics.Count(Counter::kRetries);
  }
  const auto session = mSessions.Find(aAction.request);
  if (session == nullptr) {
    mLoop.Post(AttemptEnded{ .request = aAction.request,
                             .attempt = aAction.attempt,
                             .outcome = AttemptOutcome::kCancelled });
    return;
  }
  const TimePoint end = DaemonNow() + aAction.timeLeft;
  mAttemptThreads.Submit([this, session, end, start = std::move(aAction)]() mutable {
    // The job may have waited until one of the threads was free.
    start.timeLeft = end - DaemonNow();
    if (start.timeLeft <= Duration{ 0 }) {
      mLoop.Post(AttemptEnded{ .request = start.request,
                               .attempt = start.attempt,
                               .outcome = AttemptOutcome::kNotConnected,
                               .deliveredEvents = session->delivered() });
      return;
    }
    mLoop.Post(RunAttempt(*session, start));
  });
}

void Daemon::Execute(const StopAttempt& aAction)
{
  if (auto session = mSessions.Find(aAction.request)) {
    mStopAttemptThreads.Submit(
      [session = std::move(session), attempt = aAction.attempt] { session->StopAttempt(attempt); });
  }
}

void Daemon::Execute(FinishRequest aAction)
{
  if (const auto session = mSessions.Find(aAction.request)) {
    session->Finish(std::move(aAction));
  }
}

void Daemon::Execute(TableTransaction aAction)
{
  mMetrics.Count(Counter::kTableTransactions);
  mTableThreads.Submit(
    [this, transaction = std::move(aAction)] { mLoop.Post(mTableClient.Commit(transaction)); });
}

void Daemon::Execute(TableRead aAction)
{
  mMetrics.Count(Counter::kTableReads);
  mTableThreads.Submit([this, read = std::move(aAction)] {
    ReadResult result = mTableClient.Read(read);
    for (const Row& row : result.rows) {
      const auto* configuration = row.value ? std::get_if<ConfigurationRow>(&*row.value) : nullptr;
      if (configuration != nullptr) {
        LoadConfiguration(*configuration);
      }
    }
    mLoop.Post(std::move(result));
  });
}

void Daemon::Execute(SendOrder aAction)
{
  switch (aAction.kind) {
    case OrderKind::kInventory:
      break;
    case OrderKind::kLoadModel:
      mMetrics.Count(Counter::kModelLoads);
      break;
    case OrderKind::kUnloadModel:
      mMetrics.Count(Counter::kModelUnloads);
      break;
    case OrderKind::kLoadAdapter:
      mMetrics.Count(Counter::kAdapterLoads);
      break;
  }
  std::string runner = aAction.runner.str();
  mOrderThreads.Submit(
    [this, order = std::move(aAction)]() mutable {
      OrderResult result =
        SendOrderToRunner({ .timeout = mSettings.callTimeout, .issuer = mSelf }, order);
      const bool isRunning = result.outcome == OrderOutcome::kAccepted;
      mLoop.Post(std::move(result));
      if (isRunning) {
        PollOrder(std::move(order));
      }
    },
    std::move(runner));
}

/* Polls the runner until an accepted order has ended or a poll fails, then posts the result. Each
 * poll is a separate job, so that long loads do not keep threads from other orders. */
void Daemon::PollOrder(SendOrder aOrder)
{
  std::string runner = aOrder.runner.str();
  mOrderThreads.Submit(
    [this, order = std::move(aOrder)]() mutable {
      OrderResult result =
        WaitForOrder({ .timeout = mSettings.callTimeout, .issuer = mSelf }, order);
      if (result.outcome == OrderOutcome::kAccepted) {
        PollOrder(std::move(order));
      } else {
        mLoop.Post(std::move(result));
      }
    },
    std::move(runner));
}

void Daemon::Execute(SendMessage aAction)
{
  const ConfigVersion version{ mConfigurationVersion };
  if (aAction.to == mSelf.daemon) {
    mLoop.Post(MessageReceived{
      .from = mSelf, .senderConfigVersion = version, .message = std::move(aAction.message) });
    return;
  }
  mPeerTransport.Send(aAction.address, { mSelf, version, std::move(aAction.message) });
}

std::vector<Gauge> Daemon::Gauges()
{
  std::uint64_t waiting = 0;
  std::uint64_t quarantined = 0;
  for (const DumpEntry& entry : mLoop.Dump()) {
    if (entry.path.starts_with("router.targets.") && entry.path.ends_with(".waiting")) {
      waiting += std::strtoull(entry.value.c_str(), nullptr, 10);
    }
    quarantined += entry.path.starts_with("router.quarantined.") ? 1 : 0;
  }
  const PeerCounters peers = mPeerTransport.counters();
  return { { "requests_open", "Requests that are open.", mSessions.size() },
           { "requests_waiting", "Requests that wait for a replica or an endpoint.", waiting },
           { "requests_quarantined", "Requests that are refused for crashes.", quarantined },
           { "configuration_version", "Version in force.", mConfigurationVersion },
           { "peer_sent_bytes", "Bytes sent to other daemons.", peers.sentBytes },
           { "peer_received_bytes", "Bytes received from other daemons.", peers.receivedBytes },
           { "peer_sent_messages", "Messages sent to other daemons.", peers.sentMessages },
           { "peer_lost_messages", "Messages that could not be delivered.", peers.lostMessages } };
}

void Daemon::Execute(const PublishConfiguration& aAction)
{
  mConfigurationVersion = aAction.configuration->version.value;
  mNextSnapshot.configuration = aAction.configuration;
  mNextSnapshot.customersByKeyHash.clear();
  for (const auto& [id, customer] : aAction.configuration->customers) {
    for (const std::string& hash : customer.keyHashes) {
      mNextSnapshot.customersByKeyHash.emplace(hash, id);
    }
  }
  Log(log_part::kConfiguration)
    ->info("Configuration version {} is in force.", mConfigurationVersion.load());
  PublishSnapshot();
}

void Daemon::Execute(const PublishReadiness& aAction)
{
  mNextSnapshot.readiness = aAction.readiness;
  Log(log_part::kDaemon)->info("Readiness is now {}.", ToString(aAction.readiness));
  PublishSnapshot();
}

void Daemon::PublishSnapshot()
{
  mSnapshot.Publish(std::make_unique<const Snapshot>(mNextSnapshot));
}

void Daemon::LoadConfiguration(const ConfigurationRow& aRow)
{
  // Several daemons may send the same version at the same time. It is parsed only once.
  std::uint64_t newest = mNewestParsedVersion;
  do {
    if (aRow.version.value <= newest) {
      return;
    }
  } while (!mNewestParsedVersion.compare_exchange_weak(newest, aRow.version.value));
  auto parsed = ParseConfiguration(aRow.document, aRow.version);
  if (!parsed) {
    Log(log_part::kConfiguration)
      ->error("Configuration version {} cannot be parsed and is ignored: {}.",
              aRow.version.value,
              parsed.error()[0].reason);
    return;
  }
  mLoop.Post(ConfigurationLoaded{
    .row = aRow, .configuration = std::make_shared<const Configuration>(std::move(*parsed)) });
}

} // namespace

int RunDaemon(const Settings& aSettings)
{
  // Only WaitAndStop() takes these signals. They are blocked before any other thread is started,
  // because threads inherit the signal mask.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  SetUpLogs({ .level = aSettings.logLevel, .asJson = aSettings.logFormat == LogFormat::kJson });
  std::vector<OperatorKey> keys;
  if (!aSettings.operatorKeys.empty()) {
    auto loaded = LoadOperatorKeys(aSettings.operatorKeys);
    if (!loaded) {
      Log(log_part::kOperator)
        ->error("The operator keys cannot be loaded: {}. The daemon exits.", loaded.error());
      return kExitBadInput;
    }
    keys = std::move(*loaded);
  }
  Daemon daemon(aSettings, std::move(keys));
  if (!daemon.Start()) {
    return kExitCannotListen;
  }
  return daemon.WaitAndStop();
}

} // namespace rhubarbtrail

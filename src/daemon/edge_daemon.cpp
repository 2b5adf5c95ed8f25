/* The daemon on the users' platform. It forwards clients' requests to endpoints, takes part in the
 * fleet and serves the readiness check and the metrics, all on one event loop in one thread. */
#include "daemon/edge_daemon.h"

#include "core/boot_clock.h"
#include "core/digest_func.h"
#include "core/exit_code_type.h"
#include "core/guarded_loop.h"
#include "core/json_text.h"
#include "core/reload_signal_func.h"
#include "daemon/crash_reports.h"
#include "fleet/fleet_member.h"
#include "fleet/store_client.h"
#include "fleet/table_feed.h"
#include "gateway/gateway.h"
#include "gateway/reader_guard.h"
#include "platform/configuration_decoder.h"
#include "platform/request_headers.h"
#include "platform/runner_decoder.h"
#include "platform/wire_names.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <xxhash.h>

namespace rhubarbtrail {

namespace {

namespace asio = boost::asio;

/* Time between two flushes of the log. The metrics are collected at the same times. */
constexpr Duration kFlushInterval = 100ms;
/* Time after the stop signal for which new requests are still accepted. The readiness check fails
 * from the signal on. The balancer makes this check once per second, and only after two failures it
 * sends no more connections. */
constexpr Duration kDeregistrationDelay = 2'500ms;
/* Time before the end of the grace period at which the process exits even if requests are open.
 * This way it exits by itself before it is killed. */
constexpr Duration kExitMargin = 700ms;
/* Time before the end of the grace period at which requests that are not in flight at an endpoint
 * are ended, so that their clients can send them to another daemon. */
constexpr Duration kWaitingRequestMargin = 2'500ms;
/* Time between two checks whether a stopping daemon can exit. */
constexpr Duration kShutdownCheckInterval = 50ms;
/* Greatest age of the store's last answer about the runners with which this daemon's view of them
 * counts as current. A watch without changes is answered after less than that. */
constexpr Duration kMaxRunnersAge = 3s;
/* Time between two "status" log lines. */
constexpr Duration kStatusLogInterval = 10s;
/* Time between two checks for runners whose missing entries now count as removed. While the store
 * is unreachable, and for a grace period afterwards, a missing entry does not count as removed,
 * because it may return. */
constexpr Duration kRunnerSweepInterval = 250ms;
/* Minimum time between two watches of the runner table on a daemon that is not the dispatcher, as
 * a share of the drain limit. The rest of the limit is left for the call to the store. */
constexpr double kRunnerWatchIntervalRatio = 0.6;
/* Minimum time between two watches of the runner table on the dispatcher. */
constexpr Duration kDispatcherRunnerWatchInterval = 300ms;
/* How long the store may hold a watch without changes open, on the dispatcher as a share of the
 * drain limit. */
constexpr Duration kWatchTimeout = 2'300ms;
constexpr double kDispatcherWatchRatio = 0.25;
/* With fail_closed, watches that end without changes must confirm the configuration in time, also
 * if one of them is lost. */
constexpr int kWatchesPerRevokeLimit = 4;
/* Shortest time that the store may hold a watch open, whatever the limit. */
constexpr Duration kMinWatchTimeout = 50ms;
/* Greatest age of the store's answer that a notice of the dispatcher may rest on, as a share of the
 * drain limit. A change may be that old when a daemon begins to read the store itself. */
constexpr double kMaxNoticeAgeRatio = 0.6;
/* Time without a confirmation of the configuration after which other daemons are asked for it. It
 * is longer than a watch, and leaves most of the 9 s within which a daemon that the store does not
 * answer must know of a change. */
constexpr Duration kSilenceLimit = 3s;
/* Longest time from the crash of an endpoint until its entry shows the next process, and greatest
 * number of possible crashes that wait for that. */
constexpr Duration kMaxRestartTime = 15s;
constexpr std::size_t kMaxPossibleCrashes = 256;
/* Greatest number of quarantined requests that the lease row names. */
constexpr std::size_t kMaxRecordedRequests = 64;
/* Limits on requests to the addresses for the balancer, for metrics and for the state: they have no
 * body. */
constexpr http::ServerLimits kOwnServerLimits{ .headerBytes = 8U << 10U,
                                               .bodyBytes = 1U << 10U,
                                               .bodyTimeout = 3s };
/* Size of the kernel's receive buffer of a connection there, in bytes. */
constexpr std::size_t kOwnReceiveBuffer = 8U << 10U;

/* The same of a connection of another daemon. */
constexpr std::size_t kLinkReceiveBuffer = 32U << 10U;

/* Time for which a client may read nothing although its receive window is full, before the kernel
 * closes its connection. A client that reads 1 KB a second opens its window only after some tens of
 * seconds if the window is large, so it gets more time where its memory is accounted for. */
constexpr Duration kClientTimeout = 10s;
constexpr Duration kSlowClientTimeout = 30s;

/* Returns the extra time that a host waits before it takes the order lease. A host with less than
 * a quarter of a core waits, so that better equipped hosts can take the lease first: the dispatcher
 * of a large fleet needs about a third of a core. */
Duration AdditionalTakeoverDelay(double aCpuShare)
{
  constexpr double kSufficientCores = 0.25;
  constexpr Duration kLowCpuDelay = 700ms;
  return aCpuShare >= kSufficientCores ? Duration::zero() : kLowCpuDelay;
}

/* Returns the loaded models of a runner for logs: their names, separated by commas. The name of a
 * model with loaded adapters is followed by "+" and the number of these adapters. Of a long list,
 * only the first names are returned, and the number of the others. */
std::string DescribeLoadedModels(const fleet::LoadedModels& aModels)
{
  constexpr std::size_t kMaxNames = 20;
  std::string names;
  for (std::size_t index = 0; index < std::min(aModels.size(), kMaxNames); ++index) {
    names += (names.empty() ? "" : ",") + aModels.model(index).str();
    if (aModels.adapterCount(index) > 0) {
      names += "+" + std::to_string(aModels.adapterCount(index));
    }
  }
  if (aModels.size() > kMaxNames) {
    names += " and " + std::to_string(aModels.size() - kMaxNames) + " more";
  }
  return names;
}

class EdgeDaemon
{
public:
  EdgeDaemon(Settings aSettings, std::string aSettingsFile)
    : mSettings(std::move(aSettings))
    , mSettingsFile(std::move(aSettingsFile))
    , mLoop(1)
    , mIncarnation(RandomHex())
    , mLog({ .daemon = mSettings.daemonId })
    , mClient(
        mLoop,
        { .onLimitExceeded =
            [this](const http::ExceededLimit& aExceeded) {
              mLog.Write("answer_limit_exceeded",
                         { { "address", aExceeded.address },
                           { "target", aExceeded.target },
                           { "part", http::ToString(aExceeded.part) },
                           { "value", aExceeded.value },
                           { "limit", aExceeded.limit },
                           { "action", "connection_closed" } });
            },
          .account = &mBytes,
          .sockets = &mSockets,
          .receiveBufferLimit =
            [this] {
              return fleet::ReceiveBufferLimit(mGateway.readerBudget, mGateway.openRequests.size());
            },
          .sendBacklogLimit =
            [this] {
              return fleet::SendBacklogLimit(mGateway.readerBudget, mGateway.openRequests.size());
            } })
    , mStore(mClient, mSettings.edge.storeAddress, [this](StoreEra aEra) { OnStoreEra(aEra); })
    , mConfigurationExchange(BootClockNow(),
                             mSettings.edge.linkAddress,
                             std::hash<std::string>{}(mSettings.daemonId))
    , mPlacement([this](const fleet::DispatchMessage& aMessage) {
      return mMember.SendToDispatcher(aMessage);
    })
    , mGateway{
      .loop = mLoop,
      .client = mClient,
      .log = mLog,
      .metrics = mMetrics,
      .runners = mRunners,
      .streamOrigins = mStreamOrigins,
      .recordedVersions = mRecordedVersions,
      .placement = mPlacement,
      .sockets = mSockets,
      .bytes = mBytes,
      .self = DaemonId{ mSettings.daemonId },
      .zone = ZoneId{ mSettings.zone },
      .onCrash =
        [this](const fleet::EndpointProcess& aProcess, const fleet::CrashSuspect& aSuspect) {
          mCrashReports.OnOwnCrash(BootClockNow(), aProcess, aSuspect);
        },
      .onPossibleCrash =
        [this](const fleet::EndpointProcess& aProcess, const fleet::CrashSuspect& aSuspect) {
          mPossibleCrashes.push_back({ aProcess, aSuspect, BootClockNow() });
          if (mPossibleCrashes.size() > kMaxPossibleCrashes) {
            mPossibleCrashes.pop_front();
          }
        },
      .onSoundAnswer =
        [this](const ClientAccountId& aAccount,
               std::span<const fleet::PromptPartId> aParts,
               const SoftwareVersion& aVersion) {
          mCrashReports.OnOwnAnswer(BootClockNow(), aAccount, aParts, aVersion);
        },
      .isTrialOffered =
        [this](std::span<const fleet::PromptPartId> aParts) {
          const TimePoint now = BootClockNow();
          return mMember.isDispatcher() ? mGateway.promptParts.IsTrialDue(now, aParts)
                                        : mGateway.promptParts.IsTrialOffered(now, aParts);
        },
      .mayTryQuarantined = [this] { return mMember.isDispatcher() || !mMember.HasDispatcher(); },
      .onCleared =
        [this](const FingerprintId& aRequest, bool aWasQuarantined) {
          mCrashReports.OnOwnCleared(aRequest, aWasQuarantined);
        },
      .onEndpointAnswer =
        [this](const AnswerSource& aSource, const platform::EndpointAnswer& aAnswer) {
          OnEndpointAnswer(aSource, aAnswer);
        },
      .onStreamBegun = [this](const fleet::BegunStream& aStream) { mMember.ReportStream(aStream); },
      .wasDelayed = [this] { return mMember.WasDelayed(); },
      .areRunnersCurrent = [this] { return AreRunnersCurrent(); },
      .hasDispatcher = [this] { return mMember.HasDispatcher(); },
      .mayUseKeys = [this] { return !mSettings.edge.failClosed || IsConfigurationConfirmed(); },
      .onReadingPaused = [this] { mReaderGuard.OnReadingPaused(); },
      .configuration = nullptr,
      .descriptors = Descriptors()
    }
    , mMember(
        { .loop = mLoop,
          .client = mClient,
          .store = mStore,
          .log = mLog,
          .metrics = mMetrics,
          .placement = mPlacement,
          .dispatcher = mDispatcher,
          .quotas = mGateway.quotas,
          .quotaLedger = mQuotaLedger,
          .streamOrigins = mStreamOrigins,
          .configuration = mConfigurationExchange,
          .onConfiguration =
            [this](ConfigVersion aVersion, const std::string& aDocument) {
              OnSentConfiguration(aVersion, aDocument);
            },
          .onSuspect =
            [this](const std::string& aSender, const SuspectMessage& aSuspect) {
              mCrashReports.OnReport(BootClockNow(), aSender, aSuspect);
            },
          .onRunnerLeaving =
            [this](const RunnerLeavingMessage& aLeaving) {
              return RecordLeaving(aLeaving, "told");
            },
          .onLimitStatement =
            [this](const fleet::LimitStatement& aStatement) { RecordLimit(aStatement, "told"); },
          .limits = [this] { return mRunners.Limits(); },
          .onRunnerAnswer =
            [this](const EndpointId& aEndpoint,
                   std::int64_t aStartedAtMs,
                   const http::AnswerHead& aHead) {
              OnEndpointAnswer({ .endpoint = aEndpoint, .startedAtMs = aStartedAtMs },
                               platform::DecodeEndpointAnswer(aHead));
            },
          .isPaused =
            [this](const EndpointId& aEndpoint) {
              const fleet::KnownRunner* runner = mRunners.Find(aEndpoint);
              return runner != nullptr && BootClockNow() < runner->pausedUntil;
            },
          .onDaemonCount = [this](std::uint32_t aCount) { OnDaemonCount(aCount); },
          .tableNotices = [this] { return TableNotices(); },
          .onTableNotices =
            [this](const std::map<std::string, fleet::TableNotice>& aNotices) {
              OnTableNotices(aNotices);
            },
          .onTableChanges =
            [this](const TableChangesMessage& aChanges) {
              if (aChanges.table == platform::table::kRunners) {
                mRunnerFeed.OnRelayedRows(aChanges.from, aChanges.to, aChanges.rows);
              }
            },
          .onTableNoticesLost =
            [this] {
              mConfigurationFeed.OnNoticesLost();
              mRunnerFeed.OnNoticesLost();
            },
          .recentVersions = [this] { return ConfiguredVersions(); },
          .onRecentVersions =
            [this](const fleet::VersionsByService& aVersions) {
              mRunners.RecordVersions(BootClockNow(), aVersions);
            },
          .recordedVersions = mRecordedVersions,
          .quarantinedParts = [this] { return mGateway.promptParts.quarantined(); },
          .onQuarantinedParts =
            [this](const std::vector<fleet::PartGroup>& aGroups,
                   const std::vector<fleet::PartTrials>& aTrials) {
              mCrashReports.OnQuarantined(BootClockNow(), aGroups, aTrials);
            },
          .partTrials = [this] { return mGateway.promptParts.trials(BootClockNow()); },
          .startTrial =
            [this](const std::vector<fleet::PromptPartId>& aParts) { return StartTrial(aParts); },
          .quarantinedRequests =
            [this] { return mGateway.crashes.Quarantined(BootClockNow(), kMaxRecordedRequests); },
          .onQuarantinedRequests =
            [this](const std::vector<FingerprintId>& aRequests) {
              for (const FingerprintId& request : aRequests) {
                mGateway.crashes.RecordQuarantined(BootClockNow(), request);
              }
            },
          .quarantineReports = [this] { return mCrashReports.QuarantineReports(BootClockNow()); },
          .onStoreEra = [this](StoreEra aEra) { mStore.ObserveEra(aEra); } },
        { .self = DaemonId{ mSettings.daemonId },
          .incarnation = IncarnationId{ mIncarnation },
          .zone = ZoneId{ mSettings.zone },
          .link = { .address = mSettings.edge.linkAddress,
                    .unprovenConnections = Descriptors().unprovenDaemons(),
                    .incompleteMessagesLimit =
                      [this] { return fleet::MessageBytesLimit(mGateway.readerBudget); },
                    .account = &mBytes,
                    .sockets = &mSockets,
                    .receiveBufferBytes =
                      mSettings.edge.memoryLimitMb > 0 ? kLinkReceiveBuffer : 0 },
          .leaseSpacing = mSettings.edge.leaseSpacing,
          .additionalTakeoverDelay = AdditionalTakeoverDelay(mSettings.edge.cpuShare) })
    , mConfigurationFeed(
        mLoop,
        mStore,
        mLog,
        { .table = std::string{ platform::table::kOperator }, .maxNoticeAge = MaxNoticeAge() },
        ConfigurationHandlers())
    , mRunnerFeed(mLoop,
                  mStore,
                  mLog,
                  { .table = std::string{ platform::table::kRunners },
                    .minInterval = RunnerWatchInterval(),
                    .maxNoticeAge = MaxNoticeAge() },
                  RunnerHandlers())
    , mClientServer(
        mLoop,
        { .address = mSettings.edge.frontAddress,
          .connectionLimit = Descriptors().sharedClients(),
          .sockets = &mSockets,
          .hasRoom = [this] { return mGateway.descriptors.HasRoomForClient(mSockets.open()); },
          .hasRoomForRefusal =
            [this] { return mGateway.descriptors.HasRoomForRequest(mSockets.open()); },
          .onRejected =
            [this](const http::RejectedRequest& aRejected) {
              mLog.Write("request_rejected",
                         { { "status", aRejected.status },
                           { "part", aRejected.part },
                           { "received_bytes", aRejected.receivedBytes },
                           { "limit", aRejected.limit },
                           { "action", "connection_closed" } });
            },
          .account = &mBytes,
          .intake = &mGateway.intake,
          .onIntakeWait = [this] { mReaderGuard.OnIntakeWait(); },
          .receiveBufferLimit =
            [this](std::size_t aConnections) {
              return fleet::UploadBufferLimit(mGateway.readerBudget, aConnections);
            },
          .initialReceiveBuffer =
            fleet::UploadBufferLimit(fleet::ReaderBudgetOf(mSettings.edge.memoryLimitMb),
                                     Descriptors().sharedClients()),
          .sendBacklogLimit =
            [this] {
              return fleet::SendBacklogLimit(mGateway.readerBudget,
                                             mClientServer.counts().connections);
            },
          .userTimeout = mSettings.edge.memoryLimitMb > 0 ? kSlowClientTimeout : kClientTimeout },
        [this](http::Request aRequest, std::shared_ptr<http::Responder> aResponder) {
          ServeRequest(mGateway, std::move(aRequest), std::move(aResponder));
        })
    , mReadinessServer(
        mLoop,
        OwnServerOptions(mSettings.edge.readyAddress, mReadinessServer),
        [this](const http::Request& aRequest, const std::shared_ptr<http::Responder>& aResponder) {
          AnswerReadiness(aRequest, *aResponder);
        })
    , mMetricsServer(
        mLoop,
        OwnServerOptions(mSettings.edge.metricsAddress, mMetricsServer),
        [this](const http::Request& aRequest, const std::shared_ptr<http::Responder>& aResponder) {
          AnswerMetricsOrState(aRequest, *aResponder);
        })
    , mSignals(mLoop, SIGTERM, SIGINT, SIGHUP)
    , mFlushTimer(mLoop)
    , mStopTimer(mLoop)
    , mSweepTimer(mLoop)
    , mStatusTimer(mLoop)
  {
  }

  int Run()
  {
    mReadinessServer.SetLimits(kOwnServerLimits);
    mMetricsServer.SetLimits(kOwnServerLimits);
    for (http::Server* server : { &mClientServer, &mReadinessServer }) {
      if (const std::string error = server->Listen(); !error.empty()) {
        std::fprintf(stderr, "cannot listen: %s\n", error.c_str());
        return kExitCannotListen;
      }
    }
    if (!mSettings.edge.metricsAddress.empty()) {
      if (const std::string error = mMetricsServer.Listen(); !error.empty()) {
        mLog.Write("metrics_unavailable", { { "reason", error } });
      }
    }
    mLog.Write("start",
               { { "incarnation", mIncarnation },
                 { "zone", mSettings.zone },
                 { "front", mSettings.edge.frontAddress },
                 { "store", mSettings.edge.storeAddress } });
    mRunners.SetSampleSeed(XXH3_64bits(mIncarnation.data(), mIncarnation.size()));
    ApplySettings();
    mGateway.retries.Start(BootClockNow());
    mGateway.quotas.OnWaiting([this] { mMember.OnQuotaWaiting(); });
    WaitForSignal();
    UnblockReloadSignal();
    ScheduleFlush();
    if (const std::string error = mMember.Start(); !error.empty()) {
      std::fprintf(stderr, "cannot listen: %s\n", error.c_str());
      return kExitCannotListen;
    }
    mConfigurationFeed.Start();
    mRunnerFeed.Start();
    ScheduleRunnerSweep();
    ScheduleStatusLog();
    RunGuarded(mLoop, [this](const char* aReason) {
      mMetrics.Count(Counter::kHandlerExceptions);
      mLog.Write("handler_exception", { { "reason", aReason } });
    });
    mLog.Flush();
    if (!mGateway.openRequests.empty()) {
      // The handlers of open requests refer to each other and to this object, so nothing is
      // destroyed. The kernel closes the connections.
      std::_Exit(mExitCode);
    }
    return mExitCode;
  }

private:
  /* Returns the options of a server for the platform and operators, whose requests are small. */
  http::ServerOptions OwnServerOptions(const std::string& aAddress, const http::Server& aServer)
  {
    const std::size_t limit = Descriptors().ownClients();
    return { .address = aAddress,
             .connectionLimit = limit,
             .sockets = &mSockets,
             .hasRoom = [&aServer, limit] { return aServer.counts().connections < limit; },
             .hasRoomForRefusal = [] { return false; },
             .account = &mBytes,
             .initialReceiveBuffer = kOwnReceiveBuffer };
  }

  fleet::DescriptorBudget Descriptors() const
  {
    return { .limit = mSettings.edge.descriptorLimit };
  }

  Duration RunnerWatchInterval() const
  {
    return std::chrono::duration_cast<Duration>(mSettings.edge.drainLimit *
                                                kRunnerWatchIntervalRatio);
  }

  Duration MaxNoticeAge() const
  {
    return std::chrono::duration_cast<Duration>(mSettings.edge.drainLimit * kMaxNoticeAgeRatio);
  }

  /* Returns how long the store may hold a watch without changes open. On the dispatcher, the
   * notices to the other daemons rest on the answers. */
  Duration WatchTimeout() const
  {
    const Duration timeout =
      mMember.isDispatcher()
        ? std::chrono::duration_cast<Duration>(mSettings.edge.drainLimit * kDispatcherWatchRatio)
        : kWatchTimeout;
    return mSettings.edge.failClosed
             ? std::clamp(
                 mSettings.edge.revokeLimit / kWatchesPerRevokeLimit, kMinWatchTimeout, timeout)
             : timeout;
  }

  /* Returns whether a daemon that knows the store's state has confirmed a short time ago that there
   * is no newer configuration. */
  bool IsConfigurationConfirmed() const
  {
    return !mMember.WasDelayed() &&
           mConfigurationExchange.IsConfirmed(BootClockNow(), mSettings.edge.revokeLimit);
  }

  /* Returns what this daemon states about the tables while it is the dispatcher. */
  std::map<std::string, fleet::TableNotice> TableNotices() const
  {
    const TimePoint now = BootClockNow();
    std::map<std::string, fleet::TableNotice> notices;
    if (mConfigurationFeed.isSynced()) {
      notices[std::string{ platform::table::kOperator }] = {
        .version = mConfigurationChangedAt, .age = now - mConfigurationFeed.answeredAt()
      };
    }
    if (mRunnerFeed.isSynced()) {
      notices[std::string{ platform::table::kRunners }] = { .version = mRunnersChangedAt,
                                                            .age = now - mRunnerFeed.answeredAt() };
    }
    return notices;
  }

  /* The store's era has risen: what it acknowledged since some earlier moment is lost, and its
   * versions are given out again. Requests go on with the last view while the tables are read. */
  void OnStoreEra(StoreEra aEra)
  {
    const TimePoint now = BootClockNow();
    mLog.Write("store_era",
               { { "from", std::exchange(mStoreEra, aEra).value },
                 { "to", aEra.value },
                 { "configuration_age_ms", ToMilliseconds(now - mConfigurationFeed.answeredAt()) },
                 { "runners_age_ms", ToMilliseconds(now - mRunnerFeed.answeredAt()) } });
    if (mRunnerFeed.isSynced()) {
      mRunners.OnStoreRestored(now);
    }
    mConfigurationFeed.OnEra();
    mRunnerFeed.OnEra();
    mMember.OnStoreEra(aEra);
  }

  void OnTableNotices(const std::map<std::string, fleet::TableNotice>& aNotices)
  {
    for (const auto& [table, notice] : aNotices) {
      if (table == platform::table::kOperator) {
        mConfigurationFeed.OnNotice(notice);
        if (mConfigurationFeed.version() >= notice.version) {
          // No row has changed, so the dispatcher's answer of the store confirms the own version.
          mConfigurationExchange.OnStatement(
            BootClockNow(),
            { .version = mConfigurationExchange.Statement(BootClockNow()).version,
              .age = notice.age });
        }
      } else if (table == platform::table::kRunners) {
        mRunnerFeed.OnNotice(notice);
      }
    }
  }

  /* Relays what other daemons must know of the last answer of the store about the runners. */
  void OnRunnersSynced()
  {
    if (mChangedRunnerRows.size.rows == 0) {
      return;
    }
    const RowVersion former = std::exchange(mRunnersChangedAt, mRunnerFeed.version());
    ChangedRows changed = std::exchange(mChangedRunnerRows, {});
    auto rows = std::move(changed.rows);
    if (!fleet::ShouldRelayRows(former, changed.size)) {
      rows.clear(); // The notice of the change makes the other daemons read the table.
    }
    mMember.RelayTableChanges({ .table = std::string{ platform::table::kRunners },
                                .from = former,
                                .to = mRunnersChangedAt,
                                .rows = std::move(rows) });
  }

  /* Keeps a changed row of the runner table for OnRunnersSynced(). */
  void AddChangedRunnerRow(const platform::StoreRow& aRow)
  {
    ++mChangedRunnerRows.size.rows;
    mChangedRunnerRows.size.bytes += aRow.key.size() + aRow.value.size();
    if (mChangedRunnerRows.size.IsRelayable()) {
      mChangedRunnerRows.rows.push_back(aRow);
    } else {
      mChangedRunnerRows.rows.clear();
    }
  }

  /* Passes the settings that a reload can change to the parts that keep a copy of them. */
  void ApplySettings()
  {
    mGateway.fleetSize.SetWindow(mSettings.edge.retryWindow);
    mGateway.retries.SetOptions({ .ratio = mSettings.decision.retryBudgetRatio,
                                  .slack = mSettings.edge.retrySlack,
                                  .window = mSettings.edge.retryWindow });
    mConfigurationExchange.SetOptions(
      { .silenceLimit = mSettings.edge.failClosed
                          ? std::min(kSilenceLimit, mSettings.edge.revokeLimit / 2)
                          : kSilenceLimit });
    mRunners.SetPaced(mSettings.edge.isPaced);
    mDispatcher.SetPaced(mSettings.edge.isPaced);
    mReaderGuard.SetMemoryLimit(mSettings.edge.memoryLimitMb);
    mDispatcher.SetStoreLimits(
      { .window = mSettings.edge.loadWindow, .overage = mSettings.edge.loadOverage });
    mGateway.quotas.share().SetDaemonCount(mMember.HasDispatcher() ? mGateway.fleetSize.daemons()
                                                                   : 0);
    ApplyQuotas();
  }

  void ApplyQuotas()
  {
    const TimePoint now = BootClockNow();
    const auto accounts = mGateway.configuration ? mGateway.configuration->accounts : nullptr;
    const fleet::QuotaRules rules{ .window = mSettings.edge.quotaWindow,
                                   .overage = mSettings.edge.quotaOverage,
                                   .slack = mSettings.edge.quotaSlack };
    mQuotaLedger.SetQuotas(now, accounts, rules);
    mGateway.quotas.share().SetQuotas(now, accounts, rules);
  }

  /* Takes the number of daemons that the dispatcher states. */
  void OnDaemonCount(std::uint32_t aCount)
  {
    const TimePoint now = BootClockNow();
    const std::uint32_t former = mGateway.fleetSize.daemons();
    mGateway.fleetSize.Record(now, aCount);
    const std::uint32_t count = mGateway.fleetSize.daemons();
    mGateway.quotas.share().SetDaemonCount(count);
    if (count != former) {
      mRunners.SetDaemonCount(now, count);
    }
    if (count != former || aCount != mStatedDaemons) {
      mLog.Write("daemon_count",
                 { { "stated", aCount }, { "count", count }, { "former", former } });
      mStatedDaemons = aCount;
    }
  }

  /* Logs the figures that an on-call engineer looks at first. The counts of calls to the store and
   * of log lines left out are since the start. */
  void LogStatus()
  {
    const auto& store = mStore.counts();
    mLog.Write("status",
               { { "open_requests", mGateway.openRequests.size() },
                 { "connections", mClientServer.counts().connections },
                 { "bytes_held", mBytes.held() },
                 { "bytes_held_peak", mBytes.peak() },
                 { "readers_ended", mReaderGuard.endedCount() },
                 { "questions_open", mPlacement.pendingRequestCount() },
                 { "dispatcher", mMember.lease().holder },
                 { "dispatcher_reachable", mMember.HasDispatcher() },
                 { "daemons", mGateway.fleetSize.daemons() },
                 { "retries_known", mGateway.retries.IsPastKnown(BootClockNow()) },
                 { "store_reads", store.reads },
                 { "store_writes", store.writes },
                 { "store_watches", store.watches },
                 { "store_failures", store.failures },
                 { "runners", mRunners.runners().size() },
                 { "lines_left_out", mLog.leftOut() } });
  }

  void ScheduleStatusLog()
  {
    mStatusTimer.expires_after(kStatusLogInterval);
    mStatusTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        LogStatus();
        ScheduleStatusLog();
      }
    });
  }

  /* Schedules a check that removes runners from the dispatcher when their missing entries count as
   * removed, and that adapts the watch interval of the runner table to this daemon's role. */
  void ScheduleRunnerSweep()
  {
    mSweepTimer.expires_after(kRunnerSweepInterval);
    mSweepTimer.async_wait([this](boost::system::error_code aError) {
      if (aError) {
        return;
      }
      const TimePoint now = BootClockNow();
      mRunnerFeed.SetMinInterval(mMember.isDispatcher() ? kDispatcherRunnerWatchInterval
                                                        : RunnerWatchInterval());
      ApplyHeldRunnerRows(now);
      mRunnerFeed.SetWatchTimeout(WatchTimeout());
      mConfigurationFeed.SetWatchTimeout(WatchTimeout());
      LogConfirmation(now);
      for (const auto& [id, runner] : mRunners.runners()) {
        const auto managed = mDispatcher.runners().find(id);
        if (runner.missingSince && managed != mDispatcher.runners().end() &&
            !managed->second.isGone && mRunners.Check(now, runner) == fleet::Exclusion::kGone) {
          mLog.Write(
            "runner_given_up",
            { { "endpoint", id }, { "missing_ms", ToMilliseconds(now - *runner.missingSince) } });
          mDispatcher.OnRunnerGone(now, id);
        }
      }
      mRunners.ForgetGone(now);
      ScheduleRunnerSweep();
    });
  }

  /* Logs when the configuration of a deployment with accounts becomes unconfirmed, and when it is
   * confirmed again. */
  void LogConfirmation(TimePoint aNow)
  {
    const bool isConfirmed = IsConfigurationConfirmed();
    if (!mGateway.configuration || !mGateway.configuration->accounts ||
        std::exchange(mWasConfirmed, isConfirmed) == isConfirmed) {
      return;
    }
    mLog.Write(isConfirmed ? "configuration_confirmed" : "configuration_unconfirmed",
               { { "version", mGateway.configuration->version.value },
                 { "heard_version", mConfigurationExchange.heardVersion().value },
                 { "age_ms", ConfigurationAge(aNow) },
                 { "limit_ms", ToMilliseconds(mSettings.edge.revokeLimit) },
                 { "fail_closed", mSettings.edge.failClosed } });
  }

  TableFeedHandlers ConfigurationHandlers()
  {
    return { .onRow = [this](const platform::StoreRow& aRow) { OnConfigurationRow(aRow); },
             .onRemoved =
               [this](const platform::StoreRow& aRow) {
                 mLog.Write("configuration_row_removed", { { "key", aRow.key } });
               },
             .onSynced = [] {},
             .onStoreLost = [] {},
             .onStoreRecovered = [] {},
             .onConfirmed =
               [this](TimePoint aCallStartedAt) {
                 mConfigurationExchange.OnStoreAnswer(aCallStartedAt);
               } };
  }

  TableFeedHandlers RunnerHandlers()
  {
    return { .onRow = [this](const platform::StoreRow& aRow) { OnRunnerRow(aRow); },
             .onRemoved = [this](const platform::StoreRow& aRow) { OnRunnerRemoved(aRow); },
             .onSynced = [this] { OnRunnersSynced(); },
             .onStoreLost = [this] { mRunners.OnStoreUnreachable(BootClockNow()); },
             .onStoreRecovered = [this] { mRunners.OnStoreReachable(BootClockNow()); },
             .onConfirmed = nullptr };
  }

  void OnConfigurationRow(const platform::StoreRow& aRow)
  {
    if (aRow.key != platform::kConfigurationKey) {
      return;
    }
    if (auto decoded = DecodeConfiguration(aRow.value, "store")) {
      mConfigurationChangedAt = aRow.version;
      ApplyConfiguration(std::move(*decoded), aRow.value, "store");
    }
  }

  /* Takes a document from a daemon that states this version for it. */
  void OnSentConfiguration(ConfigVersion aVersion, const std::string& aDocument)
  {
    auto decoded = DecodeConfiguration(aDocument, "daemon");
    if (!decoded || decoded->version != aVersion) {
      mConfigurationExchange.OnRejected(aVersion);
      return;
    }
    ApplyConfiguration(std::move(*decoded), aDocument, "daemon");
  }

  /* Returns the configuration, or nothing if the document is invalid. */
  std::optional<fleet::FleetConfiguration> DecodeConfiguration(const std::string& aDocument,
                                                               std::string_view aSource)
  {
    auto decoded = platform::DecodeConfiguration(aDocument);
    if (!decoded) {
      mLog.Write("configuration_rejected",
                 { { "source", aSource }, { "reason", decoded.error() } });
      return std::nullopt;
    }
    return std::move(*decoded);
  }

  /* Puts a configuration in force unless it is older than the present one. */
  void ApplyConfiguration(fleet::FleetConfiguration aConfiguration,
                          const std::string& aDocument,
                          std::string_view aSource)
  {
    const auto& current = mGateway.configuration;
    if (current && aConfiguration.version <= current->version) {
      mLog.Write("configuration_ignored",
                 { { "version", aConfiguration.version.value },
                   { "current", current->version.value },
                   { "source", aSource } });
      return;
    }
    const auto& accounts = aConfiguration.accounts;
    mLog.Write("configuration_applied",
               { { "version", aConfiguration.version.value },
                 { "former", current ? current->version.value : 0 },
                 { "source", aSource },
                 { "routes", aConfiguration.routeCount() },
                 { "services", aConfiguration.services.size() },
                 { "accounts", accounts ? accounts->byId.size() : 0 },
                 { "keys", accounts ? accounts->byKey.size() : 0 },
                 { "row_version", mConfigurationChangedAt.value } });
    mConfigurationExchange.OnApplied(aConfiguration.version, aDocument, accounts != nullptr);
    mReaderGuard.SetBodyLimit(aConfiguration.limits.bodyBytes);
    mClientServer.SetLimits({ .headerBytes = aConfiguration.limits.headerBytes,
                              .bodyBytes = aConfiguration.limits.bodyBytes,
                              .headerTimeout = aConfiguration.limits.headerTimeout,
                              .idleTimeout = aConfiguration.limits.idleTimeout });
    mGateway.formerConfiguration =
      std::exchange(mGateway.configuration,
                    std::make_shared<const fleet::FleetConfiguration>(std::move(aConfiguration)));
    mGateway.configurationAppliedAt = BootClockNow();
    std::erase_if(mGateway.keyChecks.accepted, [this](const auto& aItem) {
      const auto& known = mGateway.configuration->accounts;
      return !known || known->Find(aItem.first) == nullptr;
    });
    mDispatcher.SetConfiguration(mGateway.configuration);
    ApplyQuotas();
    mMember.OnDispatcherInputChanged();
    mMember.RelayTableChanges({ .table = std::string{ platform::table::kOperator } });
  }

  void OnRunnerRow(const platform::StoreRow& aRow)
  {
    auto entry = platform::DecodeRunnerEntry(aRow.key, aRow.value);
    if (!entry) {
      mLog.Write("runner_entry_rejected",
                 { { "endpoint", aRow.key },
                   { "row_version", aRow.version.value },
                   { "reason", entry.error() } });
      return;
    }
    if (mRunners.IsSuperseded(BootClockNow(), *entry)) {
      HoldRunnerRow(aRow, *entry);
      return;
    }
    mHeldRunnerRows.erase(aRow.key);
    ApplyRunnerEntry(aRow, *entry);
  }

  /* Keeps a row with a superseded entry until the runner writes its entry again, or until the entry
   * counts as the present one. Further such rows do not extend that time. */
  void HoldRunnerRow(const platform::StoreRow& aRow, const fleet::RunnerEntry& aEntry)
  {
    const TimePoint now = BootClockNow();
    const fleet::RunnerEntry& known = mRunners.Find(aEntry.id)->entry;
    HeldRunnerRow& held =
      mHeldRunnerRows.try_emplace(aRow.key, HeldRunnerRow{ .row = {}, .heldSince = now })
        .first->second;
    held.row = aRow;
    mLog.Write("runner_entry_superseded",
               { { "endpoint", aEntry.id },
                 { "row_version", aRow.version.value },
                 { "is_draining", aEntry.state == fleet::RunnerState::kDraining },
                 { "started_at_ms", aEntry.startedAtMs },
                 { "known_started_at_ms", known.startedAtMs },
                 { "write", aEntry.writeNumber },
                 { "known_write", known.writeNumber },
                 { "held_ms", ToMilliseconds(now - held.heldSince) },
                 { "limit_ms", ToMilliseconds(fleet::kSupersededEntryHoldTime) } });
  }

  /* Applies the rows with superseded entries that no runner has replaced in time. */
  void ApplyHeldRunnerRows(TimePoint aNow)
  {
    for (auto held = mHeldRunnerRows.begin(); held != mHeldRunnerRows.end();) {
      if (aNow - held->second.heldSince < fleet::kSupersededEntryHoldTime) {
        ++held;
        continue;
      }
      const platform::StoreRow row = std::move(held->second.row);
      held = mHeldRunnerRows.erase(held);
      if (const auto entry = platform::DecodeRunnerEntry(row.key, row.value)) {
        ApplyRunnerEntry(row, *entry);
      }
    }
  }

  void ApplyRunnerEntry(const platform::StoreRow& aRow, const fleet::RunnerEntry& aEntry)
  {
    mDispatcher.OnRunnerEntry(BootClockNow(), aEntry);
    mMember.OnDispatcherInputChanged();
    const auto change = mRunners.Apply(BootClockNow(), aEntry);
    if (IsConfigured(aEntry.service)) {
      mMember.OnSoftwareVersion(aEntry.service, aEntry.softwareVersion);
    }
    if (change != fleet::RunnerRegistry::Change::kHoldings) {
      AddChangedRunnerRow(aRow);
    }
    if (change == fleet::RunnerRegistry::Change::kUpdated ||
        change == fleet::RunnerRegistry::Change::kHoldings ||
        change == fleet::RunnerRegistry::Change::kNone) {
      return;
    }
    mLog.Write(change == fleet::RunnerRegistry::Change::kJoined    ? "runner_joined"
               : change == fleet::RunnerRegistry::Change::kLeaving ? "runner_leaving"
                                                                   : "runner_restarted",
               { { "endpoint", aEntry.id },
                 { "service", aEntry.service },
                 { "address", aEntry.address },
                 { "software", aEntry.softwareVersion },
                 { "models", DescribeLoadedModels(aEntry.holdings.models) },
                 { "on_disk", aEntry.holdings.onDisk.size() },
                 { "row_version", aRow.version.value } });
    if (change != fleet::RunnerRegistry::Change::kJoined) {
      mClient.CloseIdleTo(aEntry.address);
    }
    if (change == fleet::RunnerRegistry::Change::kRestarted) {
      ConfirmPossibleCrashes(aEntry);
    }
  }

  bool IsConfigured(const ServiceId& aService) const
  {
    return mGateway.configuration && mGateway.configuration->Find(aService) != nullptr;
  }

  /* Returns the recent versions without those of services that the configuration does not name. No
   * stream can begin there or be resumed. */
  fleet::VersionsByService ConfiguredVersions() const
  {
    fleet::VersionsByService versions = mRunners.RecentVersions(BootClockNow());
    if (mGateway.configuration) {
      std::erase_if(versions, [this](const auto& aItem) {
        return !IsConfigured(aItem.first) && !fleet::kUnknownVersions.contains(aItem.first);
      });
    }
    return versions;
  }

  bool StartTrial(const std::vector<fleet::PromptPartId>& aParts)
  {
    const bool isStarted = mGateway.promptParts.StartTrial(BootClockNow(), aParts);
    if (isStarted) {
      mLog.Write("part_trial",
                 { { "parts", aParts.size() },
                   { "quarantined", mGateway.promptParts.quarantinedCount() },
                   { "limit", fleet::kMaxPartTrials } });
    }
    return isStarted;
  }

  /* Reports the requests whose connections broke a short time before the endpoint restarted. */
  void ConfirmPossibleCrashes(const fleet::RunnerEntry& aEntry)
  {
    const TimePoint now = BootClockNow();
    for (const PossibleCrash& crash : std::exchange(mPossibleCrashes, {})) {
      if (now - crash.at > kMaxRestartTime) {
        continue;
      }
      if (crash.process.endpoint != aEntry.id || crash.process.startedAtMs >= aEntry.startedAtMs) {
        mPossibleCrashes.push_back(crash);
        continue;
      }
      mLog.Write("request_suspected",
                 { { "endpoint", aEntry.id }, { "bytes", crash.suspect.request } });
      mCrashReports.OnOwnCrash(now, crash.process, crash.suspect);
    }
  }

  /* Takes what an endpoint's process states about itself in the head of any answer. */
  void OnEndpointAnswer(const AnswerSource& aSource, const platform::EndpointAnswer& aAnswer)
  {
    const EndpointId& endpoint = aSource.endpoint;
    for (const std::string_view name : aAnswer.ignoredFields) {
      if (mLoggedFields.emplace(endpoint, name).second) {
        mLog.Write("answer_field_ignored", { { "endpoint", endpoint }, { "field", name } });
      }
    }
    if (aAnswer.pause &&
        mRunners.RecordPause(BootClockNow(), endpoint, aSource.startedAtMs, *aAnswer.pause)) {
      mLog.Write("endpoint_pauses",
                 { { "endpoint", endpoint }, { "pause_ms", ToMilliseconds(*aAnswer.pause) } });
    }
    RecordStatedLimit(aSource, aAnswer);
    if (aAnswer.load && aAnswer.load->slowness) {
      RecordSlowness({ .endpoint = endpoint,
                       .startedAtMs = aSource.startedAtMs,
                       .slowness = *aAnswer.load->slowness });
    }
    const RunnerLeavingMessage leaving{ .runner = endpoint, .startedAtMs = aSource.startedAtMs };
    if (aAnswer.isLeaving && RecordLeaving(leaving, "answer")) {
      mMember.ReportRunnerLeaving(leaving);
    }
  }

  void RecordSlowness(const fleet::SlownessStatement& aStatement)
  {
    if (mRunners.RecordSlowness(BootClockNow(), aStatement)) {
      mLog.Write("endpoints_state_slowness",
                 { { "endpoint", aStatement.endpoint },
                   { "service", mRunners.Find(aStatement.endpoint)->entry.service },
                   { "slowness", aStatement.slowness.factor } });
    }
    mMember.ReportSlowness(aStatement);
  }

  void RecordStatedLimit(const AnswerSource& aSource, const platform::EndpointAnswer& aAnswer)
  {
    const TimePoint now = BootClockNow();
    const bool isIgnored = std::find(aAnswer.ignoredFields.begin(),
                                     aAnswer.ignoredFields.end(),
                                     platform::field::kRequestLimit) != aAnswer.ignoredFields.end();
    if (!aAnswer.requestLimit && (isIgnored || !aSource.requestSentAt)) {
      return; // The answer states nothing that can be relied on.
    }
    const fleet::LimitStatement statement{ .endpoint = aSource.endpoint,
                                           .startedAtMs = aSource.startedAtMs,
                                           .limit = aAnswer.requestLimit,
                                           .age = aAnswer.requestLimit
                                                    ? Duration::zero()
                                                    : now - *aSource.requestSentAt };
    if (RecordLimit(statement, "answer")) {
      mMember.ReportLimit(statement);
    }
  }

  /* Returns whether the statement changes the limit. */
  bool RecordLimit(const fleet::LimitStatement& aStatement, std::string_view aSource)
  {
    if (!mRunners.RecordLimit(BootClockNow(), aStatement)) {
      return false;
    }
    if (aStatement.limit) {
      mLog.Write("endpoint_limited",
                 { { "endpoint", aStatement.endpoint },
                   { "per_second", aStatement.limit->perSecond },
                   { "source", aSource } });
    } else {
      mLog.Write("endpoint_limit_ended",
                 { { "endpoint", aStatement.endpoint }, { "source", aSource } });
    }
    return true;
  }

  /* Sends no new requests to a runner that has stated that it is leaving. Returns whether that is
   * news. */
  bool RecordLeaving(const RunnerLeavingMessage& aLeaving, std::string_view aSource)
  {
    mDispatcher.OnRunnerLeaving(aLeaving.runner, aLeaving.startedAtMs);
    if (!mRunners.RecordLeaving(aLeaving.runner, aLeaving.startedAtMs)) {
      return false;
    }
    mLog.Write("runner_says_leaving", { { "endpoint", aLeaving.runner }, { "source", aSource } });
    mMember.OnDispatcherInputChanged();
    return true;
  }

  void OnRunnerRemoved(const platform::StoreRow& aRow)
  {
    const EndpointId runnerId{ aRow.key };
    mHeldRunnerRows.erase(aRow.key);
    AddChangedRunnerRow(aRow);
    mRunners.Remove(BootClockNow(), runnerId);
    const fleet::KnownRunner* runner = mRunners.Find(runnerId);
    if (runner == nullptr || mRunners.Check(BootClockNow(), *runner) == fleet::Exclusion::kGone) {
      mDispatcher.OnRunnerGone(BootClockNow(), runnerId);
      mMember.OnDispatcherInputChanged();
    }
    mLog.Write("runner_gone",
               { { "endpoint", runnerId }, { "store_lost", mRunnerFeed.isStoreLost() } });
  }

  /* Returns the software versions of the runners, of services that load models, that serve now. */
  std::set<SoftwareVersion> RunnerVersionsInUse() const
  {
    std::set<SoftwareVersion> versions;
    const TimePoint now = BootClockNow();
    for (const auto& [id, runner] : mRunners.runners()) {
      const auto exclusion = mRunners.Check(now, runner);
      const bool isServing =
        exclusion != fleet::Exclusion::kGone && exclusion != fleet::Exclusion::kLeaving;
      if (isServing && LoadsModels(runner.entry.service)) {
        versions.insert(runner.entry.softwareVersion);
      }
    }
    return versions;
  }

  bool LoadsModels(const ServiceId& aService) const
  {
    if (mGateway.configuration == nullptr) {
      return false;
    }
    const auto service = mGateway.configuration->services.find(aService);
    return service != mGateway.configuration->services.end() && service->second.engine;
  }

  /* Returns whether the store or the dispatcher has confirmed a short time ago that no change of
   * the runners is missing here. */
  bool AreRunnersCurrent() const
  {
    return mMember.hasReadLease() && mRunnerFeed.isSynced() && !mRunnerFeed.isStoreLost() &&
           mRunnerFeed.IsCurrent(BootClockNow(), kMaxRunnersAge);
  }

  bool IsReady() const { return !mIsStopping && mGateway.configuration && mRunnerFeed.isSynced(); }

  void AnswerReadiness(const http::Request& aRequest, http::Responder& aResponder)
  {
    constexpr unsigned kOk = 200;
    constexpr unsigned kUnavailable = 503;
    constexpr unsigned kNotFound = 404;
    if (!platform::IsReadinessCheck(aRequest)) {
      aResponder.Send({ .status = kNotFound, .reason = "Not Found" }, "");
      return;
    }
    aResponder.Send(IsReady() ? http::AnswerHead{ .status = kOk, .reason = "OK" }
                              : http::AnswerHead{ .status = kUnavailable, .reason = "Not Ready" },
                    "");
  }

  void AnswerMetricsOrState(const http::Request& aRequest, http::Responder& aResponder)
  {
    constexpr unsigned kOk = 200;
    constexpr unsigned kNotFound = 404;
    if (aRequest.target == "/metrics") {
      aResponder.Send({ .status = kOk,
                        .reason = "OK",
                        .fields = { { "Content-Type", "text/plain; version=0.0.4" } } },
                      mMetrics.ToText(Gauges()));
      return;
    }
    if (aRequest.target == "/state") {
      aResponder.Send(
        { .status = kOk, .reason = "OK", .fields = { { "Content-Type", "application/json" } } },
        DescribeState());
      return;
    }
    aResponder.Send({ .status = kNotFound, .reason = "Not Found" }, "");
  }

  /* Returns what is buffered for readers, and the readers with the most. */
  nlohmann::ordered_json DescribeReaders() const
  {
    constexpr std::size_t kMaxReaders = 20;
    auto readers = mReaderGuard.Readers();
    nlohmann::ordered_json state{ { "budget", mGateway.readerBudget.bytes },
                                  { "held", mBytes.held() },
                                  { "held_peak", mBytes.peak() },
                                  { "kernel_unread", mReaderGuard.kernelBytes() },
                                  { "count", readers.size() },
                                  { "share", mGateway.readerBudget.ShareOf(readers.size()) },
                                  { "waiting", mGateway.intake.waitingCount() },
                                  { "in_turn", mGateway.intake.turns().size() },
                                  { "ended", mReaderGuard.endedCount() },
                                  { "ended_bytes", mReaderGuard.endedBytes() },
                                  { "largest", nlohmann::ordered_json::array() } };
    std::sort(readers.begin(), readers.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.state.bytes > aRight.state.bytes;
    });
    readers.resize(std::min(readers.size(), kMaxReaders));
    for (const HeldReader& reader : readers) {
      state["largest"].push_back({ { "id", reader.requestId },
                                   { "bytes", reader.state.bytes },
                                   { "behind_ms", ToMilliseconds(reader.state.behindFor) } });
    }
    return state;
  }

  /* Returns the state of this daemon as JSON, for operators. */
  std::string DescribeState() const
  {
    const TimePoint now = BootClockNow();
    nlohmann::ordered_json state{
      { "daemon", mSettings.daemonId },
      { "incarnation", mIncarnation },
      { "ready", IsReady() },
      { "configuration", mGateway.configuration ? mGateway.configuration->version.value : 0 },
      { "open_requests", mGateway.openRequests.size() },
      { "dispatcher", mMember.lease().holder.str() },
      { "is_dispatcher", mMember.isDispatcher() },
      { "members", mMember.memberCount() },
      { "configuration_age_ms", ConfigurationAge(now) },
      { "configuration_heard", mConfigurationExchange.heardVersion().value },
      { "accounts", DescribeAccounts() },
      { "quotas", DescribeQuotas() },
      { "readers", DescribeReaders() },
      { "runners", nlohmann::ordered_json::array() }
    };
    for (const ClientAccountId& account : mDispatcher.assignmentOrder().Accounts()) {
      state["account_use"].push_back(
        { { "account", account.str() },
          { "runner_use", mDispatcher.assignmentOrder().RelativeUse(now, account) },
          { "starved", mDispatcher.assignmentOrder().IsStarved(now, account) } });
    }
    for (const auto& [id, runner] : mRunners.runners()) {
      const auto managed = mDispatcher.runners().find(id);
      nlohmann::ordered_json item{
        { "endpoint", id.str() },
        { "service", runner.entry.service.str() },
        { "address", runner.entry.address },
        { "software", runner.entry.softwareVersion.str() },
        { "usable", mRunners.Check(now, runner) == fleet::Exclusion::kNone },
        { "in_flight_here", runner.inFlight },
        { "bytes_in_flight_here", runner.bytesInFlight },
        { "failure_share", runner.health.failureShare() },
        { "limited", runner.limit.rate().has_value() },
        { "limit_per_second", runner.limit.rate().value_or(RequestRate{}).perSecond },
        { "entry_age_ms", ToMilliseconds(now - runner.changedAt) },
      };
      if (const auto slowness = mRunners.SlownessOf(now, runner)) {
        item["slowness"] = slowness->factor;
        item["slowness_measured"] = runner.slowness.MeasuredAt(now).factor;
        if (const auto& stated = runner.slowness.stated()) {
          item["slowness_stated"] = stated->factor;
          item["slowness_age_ms"] = ToMilliseconds(now - runner.slowness.statedAt());
        }
      }
      if (runner.window.IsOpening(now)) {
        item["window_here"] = runner.window.SizeAt(now);
      }
      if (mMember.isDispatcher() && managed != mDispatcher.runners().end()) {
        item["models"] = nlohmann::ordered_json::array();
        for (const auto& [model, held] : managed->second.models) {
          item["models"].push_back({ { "model", model.str() },
                                     { "in_flight", held.inFlight },
                                     { "leaving", held.isLeaving },
                                     { "adapters", held.adapters.size() } });
        }
        if (managed->second.window.IsOpening(now)) {
          item["window"] = managed->second.window.SizeAt(now);
        }
        if (const auto slowness = mDispatcher.SlownessOf(now, managed->second)) {
          item["slowness_assumed"] = slowness->factor;
        }
        item["order_count"] = managed->second.orderCount;
        item["order_under_way"] = managed->second.order.has_value();
      }
      state["runners"].push_back(std::move(item));
    }
    return DescribeJson(state);
  }

  /* Returns the time since the configuration was last confirmed in milliseconds, or -1. */
  std::int64_t ConfigurationAge(TimePoint aNow) const
  {
    const auto confirmedAt = mConfigurationExchange.confirmedAt();
    return confirmedAt ? ToMilliseconds(aNow - *confirmedAt) : -1;
  }

  /* Returns the quotas of the accounts with limits: this daemon's part and, at the dispatcher,
   * the buckets. */
  nlohmann::ordered_json DescribeQuotas() const
  {
    const TimePoint now = BootClockNow();
    const fleet::QuotaShare& share = mGateway.quotas.share();
    nlohmann::ordered_json described{ { "has_dispatcher", share.hasDispatcher() },
                                      { "statement_age_ms",
                                        ToMilliseconds(now - share.statedAt()) },
                                      { "waiting", share.waitingCount() },
                                      { "here", nlohmann::ordered_json::array() },
                                      { "buckets", nlohmann::ordered_json::array() } };
    for (const auto& account : share.View(now)) {
      described["here"].push_back({ { "account", account.account.str() },
                                    { "held", account.held },
                                    { "share", account.share },
                                    { "own_level", account.ownLevel },
                                    { "use_per_second", account.usePerSecond } });
    }
    if (mMember.isDispatcher()) {
      for (const auto& account : mQuotaLedger.View(now)) {
        described["buckets"].push_back({ { "account", account.account.str() },
                                         { "per_second", account.perSecond },
                                         { "level", account.level },
                                         { "capacity", account.capacity },
                                         { "use_per_second", account.usePerSecond },
                                         { "granted", account.granted },
                                         { "withheld", account.withheld } });
      }
    }
    return described;
  }

  /* Returns the accounts and the results of the checks of keys, or null without accounts. */
  nlohmann::ordered_json DescribeAccounts() const
  {
    if (!mGateway.configuration || !mGateway.configuration->accounts) {
      return nullptr;
    }
    const KeyCheckCounts& checks = mGateway.keyChecks;
    nlohmann::ordered_json described{ { "keys", mGateway.configuration->accounts->byKey.size() },
                                      { "key_missing", checks.missing },
                                      { "key_unreadable", checks.unreadable },
                                      { "key_unknown", checks.unknown },
                                      { "unconfirmed", checks.unconfirmed },
                                      { "without_account", checks.anonymous },
                                      { "by_former_configuration", checks.former },
                                      { "accepted", nlohmann::ordered_json::object() } };
    for (const auto& [account, count] : checks.accepted) {
      described["accepted"][account.str()] = count;
    }
    return described;
  }

  std::vector<Gauge> Gauges() const
  {
    const auto front = mClientServer.counts();
    const auto client = mClient.counts();
    const auto& store = mStore.counts();
    std::vector<Gauge> gauges{
      { "front_connections", "Open connections of clients.", front.connections },
      { "front_accepted", "Connections of clients taken so far.", front.accepted },
      { "front_rejected", "Malformed or oversized requests so far.", front.rejected },
      { "front_refused", "Of these, refused for lack of descriptors.", front.refusedConnections },
      { "sockets_open", "Open connections of all kinds.", mSockets.open() },
      { "intake_waiting",
        "Requests that arrive and are not read for lack of memory.",
        mGateway.intake.waitingCount() },
      { "open_requests", "Requests without a final answer.", mGateway.openRequests.size() },
      { "bytes_held", "Bytes buffered for clients and endpoints.", mBytes.held() },
      { "bytes_held_peak", "The most of them so far.", mBytes.peak() },
      { "bytes_held_budget", "The most that may be; 0: no limit.", mGateway.readerBudget.bytes },
      { "readers_ended", "Slow readers ended for the budget so far.", mReaderGuard.endedCount() },
      { "endpoint_connects", "Connections opened so far.", client.connects },
      { "endpoint_spoiled",
        "Connections dropped for unasked bytes so far.",
        client.unsolicitedData },
      { "store_reads", "Reads of the store so far.", store.reads },
      { "store_writes", "Writes to the store so far.", store.writes },
      { "store_watches", "Waits for changes of the store so far.", store.watches },
      { "store_failures", "Calls to the store that failed so far.", store.failures },
      { "quarantined_parts",
        "Groups of prompt parts that crash runners.",
        mGateway.promptParts.quarantinedCount() },
      { "dispatcher", "1 while this daemon gives the orders.", mMember.isDispatcher() ? 1U : 0U },
      { "dispatcher_reachable", "1 while one can be asked.", mMember.HasDispatcher() ? 1U : 0U },
      { "questions_open", "Requests that wait for a place.", mPlacement.pendingRequestCount() },
      { "places_waiting",
        "Requests of all daemons that wait here.",
        mDispatcher.waitingRequests() },
      { "places_in_use", "Places given out here.", mDispatcher.activeAssignments() },
      { "places_refused_without_slot",
        "Requests refused here because no slot was expected in time.",
        mDispatcher.refusedWithoutSlot() },
      { "requests_paced",
        "Requests sent elsewhere because the best runner was beyond its window.",
        mDispatcher.pacedRequests() },
      { "runners_known", "Runners that are known.", mRunners.runners().size() },
      { "runner_holdings_bytes",
        "Bytes of the models and adapters in the entries of all runners.",
        mRunners.holdingsBytes() },
      { "configuration_version",
        "Version in force.",
        mGateway.configuration ? mGateway.configuration->version.value : 0 },
      { "keys_missing", "Requests refused without a key so far.", mGateway.keyChecks.missing },
      { "keys_unreadable",
        "Requests refused with a key not in the defined form so far.",
        mGateway.keyChecks.unreadable },
      { "keys_unknown",
        "Requests refused with an unknown key so far.",
        mGateway.keyChecks.unknown },
      { "keys_unconfirmed",
        "Requests refused because the configuration is unconfirmed so far.",
        mGateway.keyChecks.unconfirmed },
      { "configuration_queries",
        "Queries to other daemons about the configuration so far.",
        mConfigurationExchange.queries() },
      { "configuration_replies",
        "Replies to such queries of other daemons so far.",
        mConfigurationExchange.replies() },
      { "requests_without_account",
        "Requests without a known key on public routes so far.",
        mGateway.keyChecks.anonymous },
      { "requests_by_former_configuration",
        "Requests accepted under the former configuration only so far.",
        mGateway.keyChecks.former },
      { "log_lines_left_out", "Log lines beyond the budget so far.", mLog.leftOut() },
      { "quota_admitted",
        "Requests admitted by quotas so far.",
        mGateway.quotas.counts().admitted },
      { "quota_refused", "Requests over their quotas so far.", mGateway.quotas.counts().refused },
      { "quota_waited",
        "Requests that waited for a grant so far.",
        mGateway.quotas.counts().waited },
      { "quota_alone",
        "Requests decided without the dispatcher so far.",
        mGateway.quotas.counts().alone },
    };
    for (const auto& sent : mMember.sentMessages()) {
      const std::string kind{ sent.kind };
      gauges.push_back({ "messages_" + kind, "Messages sent to daemons so far.", sent.count });
      gauges.push_back({ "message_bytes_" + kind, "Their size in bytes.", sent.bytes });
    }
    return gauges;
  }

  void ScheduleFlush()
  {
    mFlushTimer.expires_after(kFlushInterval);
    mFlushTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        mLog.Flush();
        mMetrics.Collect();
        ScheduleFlush();
      }
    });
  }

  void WaitForSignal()
  {
    mSignals.async_wait([this](boost::system::error_code aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        ReloadSettings();
      } else {
        BeginShutdown();
      }
      WaitForSignal();
    });
  }

  /* Reads the settings file again. Addresses and other values that are used only at the start
   * change nothing until a restart, except that /state shows a new daemon_id at once. An invalid
   * file is rejected as a whole. */
  void ReloadSettings()
  {
    auto settings = LoadSettings(mSettingsFile, SettingsUse::kEdge);
    if (!settings) {
      mLog.Write("reload_rejected",
                 { { "file", mSettingsFile },
                   { "line", settings.error().front().line },
                   { "reason", settings.error().front().reason } });
      return;
    }
    mSettings = std::move(*settings);
    ApplySettings();
    mLog.Write("reload", { { "file", mSettingsFile } });
  }

  void BeginShutdown()
  {
    if (mIsStopping) {
      return;
    }
    mIsStopping = true;
    mShutdownStartedAt = BootClockNow();
    mLog.Write("stopping", { { "open_requests", mGateway.openRequests.size() } });
    mClientServer.Drain();
    mMember.Release();
    CheckShutdown();
  }

  void CheckShutdown()
  {
    const Duration passed = BootClockNow() - mShutdownStartedAt;
    if (passed >= kDeregistrationDelay && !std::exchange(mGateway.isLeaving, true)) {
      // The balancer sends no more connections here. Idle connections are closed, and requests
      // that arrive on others are refused with a retry time, so that clients use another daemon.
      mClientServer.CloseIdle();
    }
    if (passed >= mSettings.edge.shutdownGrace - kWaitingRequestMargin) {
      EndWaitingRequests(mGateway);
    }
    const bool isIdle =
      passed >= kDeregistrationDelay && mGateway.openRequests.empty() && mClientServer.IsDrained();
    // The daemon must be idle at two checks in a row, because the last bytes of an answer may
    // still be in transit at the first one.
    const bool wasIdle = std::exchange(mWasIdle, isIdle);
    const bool canExit = isIdle && wasIdle;
    const bool mustExit = passed >= mSettings.edge.shutdownGrace - kExitMargin;
    if (canExit || mustExit) {
      LogStatus();
      mLog.Write("stop",
                 { { "open_requests", mGateway.openRequests.size() },
                   { "took_ms", ToMilliseconds(passed) } });
      mExitCode = mGateway.openRequests.empty() ? kExitOk : kExitRequestsLeft;
      mLog.Flush();
      mLoop.stop();
      return;
    }
    mStopTimer.expires_after(kShutdownCheckInterval);
    mStopTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        CheckShutdown();
      }
    });
  }

  /* A row with an entry that is older than the last one of its runner. */
  struct HeldRunnerRow
  {
    platform::StoreRow row; ///< The newest such row.
    TimePoint heldSince{};  ///< When the first of them arrived.
  };

  struct ChangedRows
  {
    fleet::RelaySize size;                ///< Of all of them.
    std::vector<platform::StoreRow> rows; ///< Empty if they are too many to be relayed.
  };

  /* A connection that broke under a request at an endpoint that was not called afterwards. */
  struct PossibleCrash
  {
    fleet::EndpointProcess process;
    fleet::CrashSuspect suspect;
    TimePoint at{};
  };

  Settings mSettings;
  std::string mSettingsFile;
  SocketCount mSockets;
  ByteAccount mBytes; ///< What is buffered; connections that the loop still holds refer to it.
  asio::io_context mLoop;
  std::string mIncarnation;
  EventLog mLog;
  Metrics mMetrics;
  http::Client mClient;
  StoreClient mStore;
  fleet::RunnerRegistry mRunners;
  fleet::StreamOrigins mStreamOrigins;
  fleet::RecordedVersions mRecordedVersions;
  fleet::ConfigurationExchange mConfigurationExchange;
  /* Fields of answers whose values were ignored, by endpoint, so that each is logged once. */
  std::set<std::pair<EndpointId, std::string_view>> mLoggedFields;
  fleet::Dispatcher mDispatcher{ mStreamOrigins, mRecordedVersions };
  fleet::QuotaLedger mQuotaLedger;
  PlacementClient mPlacement;
  GatewayContext mGateway;
  FleetMember mMember;
  CrashReports mCrashReports{
    { .crashes = mGateway.crashes,
      .promptParts = mGateway.promptParts,
      .log = mLog,
      .isDispatcher = [this] { return mMember.isDispatcher(); },
      .versionsInUse = [this] { return RunnerVersionsInUse(); },
      .send =
        [this](ReportAudience aAudience,
               const std::string& aAddress,
               const SuspectMessage& aReport) {
          mMember.ReportSuspect(aAudience, aAddress, aReport);
        },
      // Later, because the change may come from a request that is just about to end.
      .onPartsChanged =
        [this] { asio::post(mLoop, [this] { EndQuarantinedRequests(mGateway); }); } }
  };
  TableFeed mConfigurationFeed;
  TableFeed mRunnerFeed;
  http::Server mClientServer;
  ReaderGuard mReaderGuard{ mGateway, mClientServer };
  http::Server mReadinessServer;
  http::Server mMetricsServer;
  asio::signal_set mSignals;
  asio::steady_timer mFlushTimer;
  asio::steady_timer mStopTimer;
  asio::steady_timer mSweepTimer;
  asio::steady_timer mStatusTimer;
  std::uint32_t mStatedDaemons = 0; ///< The last number that a dispatcher stated.
  StoreEra mStoreEra;               ///< The highest era of the store that is known.
  std::map<std::string, HeldRunnerRow> mHeldRunnerRows; ///< By key.
  RowVersion mConfigurationChangedAt;                   ///< Version of the configuration's row.
  RowVersion mRunnersChangedAt; ///< Last change of the runner table that all daemons must know.
  /* Rows of the runner table whose changes the other daemons must know, to be relayed. */
  ChangedRows mChangedRunnerRows;
  std::deque<PossibleCrash> mPossibleCrashes; ///< Oldest first.
  bool mWasConfirmed = true;                  ///< The configuration, at the last check.
  bool mIsStopping = false;
  bool mWasIdle = false; ///< At the last check of a stopping daemon.
  TimePoint mShutdownStartedAt{};
  int mExitCode = kExitOk;
};

} // namespace

int RunEdgeDaemon(const Settings& aSettings, const std::string& aSettingsFile)
{
  std::signal(SIGPIPE, SIG_IGN);
  return EdgeDaemon{ aSettings, aSettingsFile }.Run();
}

} // namespace rhubarbtrail

/* Handles one client request: the attempts at endpoints and the answer to the client. */
#ifndef RHUBARBTRAIL_GATEWAY_REQUEST_FLOW_H
#define RHUBARBTRAIL_GATEWAY_REQUEST_FLOW_H

#include "core/boot_clock.h"
#include "decision/fleet/attempt_policy.h"
#include "gateway/event_splitter.h"
#include "gateway/gateway.h"
#include "platform/request_headers.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rhubarbtrail {

/* One client request. Its timers, its call and the responder's handler keep the object alive until
 * the request has ended. */
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
  RequestFlow(GatewayContext& aContext,
              http::Request aRequest,
              std::shared_ptr<http::Responder> aResponder);
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  void Start();
  /* Ends the request unless it is in flight at an endpoint. */
  void EndIfWaiting();
  /* Ends the request if parts of its prompt are quarantined and its attempt in flight, if there is
   * one, has no event. Returns whether it did. */
  bool EndIfPartQuarantined();

  // request_readers.cpp
  /* Which reader a request waits for. */
  enum class ReaderSide : std::uint8_t
  {
    kClient,   ///< Its client has not read the answer.
    kEndpoint, ///< The endpoint has not read the request.
    kWaiting,  ///< No endpoint has been found yet.
    kNone,     ///< The endpoint works on it, or its answer is arriving.
  };
  /* What a request holds, without what its connections hold. */
  struct HeldState
  {
    std::uint64_t connection = 0; ///< Of the client; 0 if it has closed.
    std::size_t bytes = 0;
    std::size_t kernelBytes = 0; ///< Of the answer, unread; only known while reading is paused.
    ReaderSide side = ReaderSide::kNone;
    Duration behindFor{}; ///< Of an endpoint, or of a wait for one.
  };
  HeldState DescribeHeld() const;
  /* Ends the request, because the daemon holds more than its budget. */
  void EndSlowReader(const fleet::ReaderToEnd& aReader);
  const std::string& requestId() const { return mClient.requestId; }
  bool isEnded() const { return mIsEnded; }
  bool isReadingPaused() const { return mAttempt.call && mAttempt.isReadingPaused; }

private:
  /* An attempt at an endpoint. */
  struct Attempt
  {
    std::uint64_t number = 0; ///< Among the attempts of this request, from 1.
    EndpointId endpoint;
    SoftwareVersion version;              ///< Of the endpoint; empty if not known.
    std::int64_t endpointStartedAtMs = 0; ///< Unix time of the start of the endpoint's process.
    TimePoint startedAt{};
    Duration timeToFirstEvent{}; ///< From the start to the first event; 0: none has arrived.
    bool isProvenSound = false;  ///< The parts of the prompt have not crashed the endpoint.
    std::unique_ptr<http::Call> call;
    std::optional<http::AnswerHead> head;
    platform::EndpointAnswer decodedHead;
    std::string body;        ///< Of an answer that is buffered before it is forwarded.
    bool isStream = false;   ///< The body is forwarded event by event as it arrives.
    bool isInvalid = false;  ///< The answer is unsigned or encoded, or one of its events too large.
    TimePoint lastBytesAt{}; ///< When the last bytes of the answer arrived, or the start.
    bool isReadingPaused = false; ///< The client reads more slowly than the endpoint sends.
    TimePoint pausedAt{};         ///< Start of the last pause.
    TimePoint resumedAt{};        ///< End of the last pause.
    std::size_t requestBytes = 0; ///< Counted as in flight at the endpoint.
    bool isReportedSilent = false;
  };

  /* An attempt that is to take the place of the current one, whose endpoint is silent. */
  struct Replacement
  {
    Attempt attempt;
    std::optional<fleet::PlacementRequestId> placementId;
  };

  void OnRouted();
  /* Why a request may not be sent. */
  struct Rejection
  {
    ResultCode code = ResultCode::kOk;
    std::string_view reason; ///< A literal.
    std::optional<fleet::KeyRefusal> keyRefusal;
  };
  /* Finds the route and the account and checks that the request may be sent. Returns nothing if it
   * may. */
  std::optional<Rejection> AdmitRequest();
  /* Finds the route and the account in the configuration in force or, for a request that arrived
   * before that was applied, in the former one. */
  std::optional<Rejection> FindRouteAndAccount();
  /* Returns whether this quarantined request is sent to find out whether it is sound after all. */
  bool StartCrashTrial();
  std::optional<Rejection> ApplyConfiguration(
    std::shared_ptr<const fleet::FleetConfiguration> aConfiguration);
  void CountKeyCheck(const std::optional<Rejection>& aRejection);
  void ChooseService();
  /* Sets the origin of a stream that the client resumes, as far as this daemon knows it. */
  void FindOrigin();
  /* Refuses a request for a model or an adapter that the configuration does not name. Returns
   * whether it did. */
  bool RefuseUnknownModel();
  /* Refuses a request to resume a stream that cannot go on whatever the dispatcher knows. Returns
   * whether it did. */
  bool RefuseImpossibleResume();
  /* Returns the only origin that any stream of the service can have, or nothing if several software
   * versions are or were a short time ago in service. */
  std::optional<fleet::StreamOrigin> OnlyOrigin() const;
  void RefuseUnknownOrigin(Duration aRetryAfter);
  /* Sets the origin of a stream that begins with the event that has just arrived. */
  void RecordOrigin();

  /* Counts the request against the quota of its account, unless the dispatcher does that, and goes
   * on when it is admitted. */
  void CheckQuota();
  void OnQuotaDecision(const fleet::QuotaDecision& aDecision, std::string_view aDecidedBy);
  void RefuseOverQuota(Duration aRetryAfter, std::string_view aDecidedBy);

  /* Selects an endpoint for the next attempt, through the dispatcher for requests for models. */
  void SelectEndpoint();
  void SelectByDispatcher();
  fleet::PlacementRequest MakePlacementRequest();
  void OnPlacementReply(const fleet::PlacementReply& aReply);
  void OnRunnerAssigned(const fleet::RunnerAssigned& aAssigned);
  void SelectLocally(std::string_view aSelectionReason);
  /* Logs the inputs of the choice of an endpoint that states its slowness. */
  void LogChoice(const EndpointId& aEndpoint) const;
  /* The query for endpoints of this daemon's own data that could serve the request. */
  fleet::RunnerRegistry::EndpointQuery OwnQuery() const;
  /* Returns how long this request waits beyond the end of an endpoint's pause, so that the requests
   * that wait for it do not arrive together. */
  Duration PauseSpread() const;
  /* Waits until the first of the paused endpoints takes requests again, or ends the request if that
   * is too late for it. */
  void WaitForPauseEnd(TimePoint aEnd);
  /* Returns the latest time at which the client still waits for the next event or the answer. */
  TimePoint PatienceEnd() const;
  /* Selects an endpoint again after a pause, or ends the request if it has waited too long. */
  void WaitForEndpoint();

  /* Returns how an assignment of an endpoint ends to which the request cannot be sent now, or
   * nothing if it can. The version is the dispatcher's statement (RunnerAssigned::version). */
  std::optional<fleet::AssignmentEnd> ObstacleAt(
    const EndpointId& aEndpoint,
    const std::optional<SoftwareVersion>& aAssignedVersion) const;
  void SendToEndpoint(const EndpointId& aEndpoint, std::string_view aSelectionReason);
  /* Records and returns an attempt that is about to be sent. */
  Attempt BeginAttempt(const fleet::KnownRunner& aRunner,
                       const std::optional<SoftwareVersion>& aAssignedVersion,
                       std::string_view aSelectionReason);
  void StartCall(Attempt& aAttempt, const fleet::KnownRunner& aRunner, http::Reuse aReuse);

  // request_silence.cpp
  /* Returns the time without bytes after which the request looks for another endpoint, or 0 if it
   * never does. */
  Duration SilenceLimit() const;
  Duration TimeWithoutBytes() const;
  bool IsSilent() const;
  /* Calls OnSilenceTimer() after a time, in place of an earlier call. */
  void WatchForSilence(Duration aTime);
  void OnSilenceTimer();
  /* Returns the endpoints that have sent nothing to some request of this daemon for half of its
   * limit or longer. */
  std::set<EndpointId> SilentEndpoints() const;
  /* Looks for another endpoint while the attempt at the silent one goes on. */
  void RequestReplacement();
  void OnReplacementReply(const fleet::PlacementReply& aReply);
  void ReplaceLocally();
  /* Sends the request to an endpoint in place of the silent one, by the dispatcher's assignment if
   * there is one. */
  void SendReplacement(const EndpointId& aEndpoint,
                       const std::optional<fleet::PlacementRequestId>& aPlacementId,
                       const std::optional<SoftwareVersion>& aAssignedVersion);
  bool IsReplacement(std::uint64_t aAttemptNumber) const
  {
    return mReplacement && mReplacement->attempt.number == aAttemptNumber;
  }
  /* Ends the attempt at the silent endpoint and goes on with the replacement. */
  void PromoteReplacement();
  void AdoptReplacement();
  void OnReplacementEnd(http::CallResult aResult);
  /* Ends the search for another endpoint, and the attempt there. */
  void WithdrawReplacement();
  /* Records that bytes of the answer have arrived. */
  void RecordBytes();
  /* Passes on what an answer states about the endpoint itself. */
  void ReportAnswer(std::uint64_t aAttemptNumber, const platform::EndpointAnswer& aAnswer);
  /* Takes the head of the endpoint's answer. Returns false, which skips the answer, if it belongs
   * to another request. */
  bool OnHead(std::uint64_t aAttemptNumber, const http::AnswerHead& aHead);
  /* Returns whether the connection of an attempt has carried another call before. */
  bool IsConnectionReused(bool aIsReplacement) const;
  static void LimitAnswer(const Attempt& aAttempt);
  /* Returns whether a successful answer can go on with the stream of which the client has a part:
   * an answer of another kind would put its text into the stream, or end it early. */
  bool ContinuesStream(const http::AnswerHead& aHead) const;
  void OnBody(std::uint64_t aAttemptNumber, std::string_view aBytes);
  /* Pauses the reading of the answer if the client is too far behind. */
  void PauseIfBehind();
  void OnCaughtUp();
  /* Returns whether the endpoint may have cut off the answer because it stayed unread. */
  bool WasLeftUnread() const;
  /* Updates what the daemon's account counts for this request. */
  void UpdateHeld();
  /* Records the end of an attempt in the endpoint's health and in its bytes in flight. */
  void RecordEnd(const Attempt& aAttempt, fleet::EndpointOutcome aOutcome);
  void OnEnd(std::uint64_t aAttemptNumber, http::CallResult aResult);
  bool IsStreamUnfinished() const;
  bool IsPartQuarantined() const
  {
    return !mIsPartTrial &&
           mContext.promptParts.IsQuarantined(BootClockNow(), mClient.leadingParts);
  }
  /* Records once for each attempt that the parts of the prompt crash no runner. */
  void RecordSoundParts();
  /* Returns whether an event or a part of the body has arrived. */
  static bool HasAnswerBegun(const Attempt& aAttempt)
  {
    return aAttempt.timeToFirstEvent > Duration::zero() || !aAttempt.body.empty();
  }
  /* Classifies the attempt that has just ended. */
  fleet::AttemptEnd ClassifyAttempt(http::CallResult aResult) const;
  /* Returns whether an answer came within the route's latency objective. */
  fleet::PaceSignal PaceSignalOf(const Attempt& aAttempt) const;
  /* Sets what changes in the attempt state while an attempt runs. */
  void UpdateAttemptState();
  /* Counts and logs an attempt that has ended. */
  void RecordAttempt(fleet::AttemptEnd aEnd, std::string_view aResult);
  /* Decides what follows an attempt: another one, the answer, or a failure. */
  void OnAttemptEnded(fleet::AttemptEnd aEnd, std::string_view aResult);
  void ReleaseAssignment(fleet::AssignmentEnd aEnd);
  /* Asks the endpoint for a report after its connection broke. If it cannot be connected to, or
   * another process answers, its process has ended, and the request is reported as suspected of
   * crashing runners. */
  void ProbeEndpoint(const Attempt& aAttempt);

  void EndTooLargeEvent();
  void ForwardEvents();
  void SendHeadOnce();
  void ForwardAnswer();
  bool MayAnswer(std::string_view aReason);
  void Refuse(ResultCode aCode, Duration aRetryAfter, std::string_view aReason);
  void Fail(ResultCode aCode, std::string_view aReason);
  void BreakOffAnswer(std::string_view aReason);
  void End(std::string_view aOutcome, ResultCode aCode, unsigned aStatus);
  void SendOwnAnswer(ResultCode aCode, unsigned aStatus, Duration aRetryAfter);

  void OnClientGone();
  void OnDeadline();
  void StopAttempt();
  void StopAttempt(fleet::EndpointOutcome aOutcome);
  Duration TimeLeft() const;
  Duration ClientTimeout() const;
  /* The account's priority, or the route's if the account has none. */
  std::uint32_t Priority() const
  {
    return mClientAccount != nullptr ? mClientAccount->priority.value_or(mRoute->priority)
                                     : mRoute->priority;
  }
  /* Returns the account for logs; empty in deployments without accounts. */
  std::string_view AccountName() const
  {
    return mClientAccount != nullptr ? std::string_view{ mAccount.str() } : std::string_view{};
  }
  /* Returns the account to state to endpoints, or nothing in deployments without accounts. */
  std::optional<ClientAccountId> ForwardedAccount() const
  {
    return mConfiguration->accounts ? std::optional{ mAccount } : std::nullopt;
  }
  bool UsesModels() const { return mClient.work.has_value(); }
  bool IsResumedByClient() const
  {
    return mRoute->kind == fleet::RouteKind::kStream && !mClient.lastEventId.empty();
  }
  /* Returns how the endpoint marks the end of the last answer, for log events. */
  std::string_view FramingName() const
  {
    return mAttempt.head ? http::ToString(mAttempt.head->framing) : "no_answer";
  }

  GatewayContext& mContext;
  http::Request mRequest;
  std::shared_ptr<http::Responder> mResponder;
  platform::ClientRequest mClient;
  std::shared_ptr<const fleet::FleetConfiguration> mConfiguration; ///< The one in force at arrival.
  const fleet::Route* mRoute = nullptr;
  ServiceId mService;
  /* The account where there are accounts, empty for a request without one on a public route.
   * Elsewhere the host that the client named. */
  ClientAccountId mAccount;
  /* The account in mConfiguration; null if there is none. */
  const fleet::ClientAccount* mClientAccount = nullptr;
  FingerprintId mFingerprint;
  double mQuotaCost = 0.0; ///< What it counts as against the account's quota. 0 without a limit.
  /* When this daemon counted it. Not set if only the dispatcher did. */
  std::optional<TimePoint> mQuotaTakenAt;
  std::optional<std::uint64_t> mQuotaWaitId; ///< While it waits for a decision about the quota.
  bool mIsQuotaCharged = false;              ///< The dispatcher has admitted it.
  TimePoint mArrivedAt{};
  /* When the last event was forwarded; before the first, the arrival. */
  TimePoint mLastProgressAt{};
  TimePoint mDeadline{};
  std::optional<TimePoint> mWaitStartedAt; ///< Set while the request waits for an endpoint.
  boost::asio::steady_timer mDeadlineTimer;
  boost::asio::steady_timer mWaitTimer;
  boost::asio::steady_timer mSilenceTimer;
  fleet::AttemptState mAttemptState;
  Attempt mAttempt; ///< The current one, or the last one.
  std::uint64_t mAttemptCount = 0;
  std::optional<Replacement> mReplacement;
  std::set<EndpointId> mFailedEndpoints;
  std::set<EndpointId> mRefusedBy; ///< Endpoints that have stated that they did not run it.
  /* Where the stream began. Only endpoints of this service and version can go on with it. */
  std::optional<fleet::StreamOrigin> mOrigin;
  /* The dispatcher's statement about the endpoint of the next attempt (RunnerAssigned::version). */
  std::optional<SoftwareVersion> mAssignedVersion;
  /* Id of the pending placement request or of the assignment in use. */
  std::optional<fleet::PlacementRequestId> mPlacementId;
  /* Id of the pending placement request for an endpoint in place of a silent one. */
  std::optional<fleet::PlacementRequestId> mReplacementId;
  EventSplitter mEventSplitter;
  HeldBytes mHeld;
  std::size_t mRequestSize = 0; ///< Bytes of the request, body and fields.
  std::size_t mFieldBytes = 0;  ///< That the request takes on the heap without its body.
  std::string mLastEventId;     ///< Last event id that was forwarded to the client.
  std::uint32_t mEventsForwarded = 0;
  TimePoint mFirstByteAt{};
  /* The request is to show whether its quarantined parts are sound. It is sent once, with the
   * dispatcher's permission. */
  bool mIsPartTrial = false;
  bool mIsHeadSent = false;
  http::AnswerHead mStreamHead; ///< The head that was sent to the client.
  bool mIsEnded = false;
};

} // namespace rhubarbtrail

#endif

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

private:
  /* The current attempt at an endpoint, or the last one. */
  struct Attempt
  {
    EndpointId endpoint;
    SoftwareVersion version;              ///< Of the endpoint; empty if not known.
    std::int64_t endpointStartedAtMs = 0; ///< Unix time of the start of the endpoint's process.
    TimePoint startedAt{};
    Duration timeToFirstEvent{}; ///< From the start to the first event; 0: none has arrived.
    std::unique_ptr<http::Call> call;
    std::optional<http::AnswerHead> head;
    platform::EndpointAnswer decodedHead;
    std::string body;       ///< Of an answer that is buffered before it is forwarded.
    bool isStream = false;  ///< The body is forwarded event by event as it arrives.
    bool isInvalid = false; ///< The answer is unsigned, encoded or too large to be forwarded.
  };

  void OnRouted();
  /* Finds the route and checks that the request may be sent. Otherwise returns false and sets the
   * reason and the result code. */
  bool AdmitRequest(std::string& aReason, ResultCode& aCode);
  void ChooseService();
  /* Sets the origin of a stream that the client resumes, as far as this daemon knows it. */
  void FindOrigin();
  /* Refuses a request to resume a stream that cannot go on whatever the dispatcher knows. Returns
   * whether it did. */
  bool RefuseImpossibleResume();
  /* Returns the only origin that any stream of the service can have, or nothing if several software
   * versions are or were a short time ago in service. */
  std::optional<fleet::StreamOrigin> OnlyOrigin() const;
  void RefuseUnknownOrigin(Duration aRetryAfter);
  /* Sets the origin of a stream that begins with the event that has just arrived. */
  void RecordOrigin();

  /* Selects an endpoint for the next attempt, through the dispatcher for requests for models. */
  void SelectEndpoint();
  void SelectByDispatcher();
  void OnPlacementReply(const fleet::PlacementReply& aReply);
  void OnRunnerAssigned(const fleet::RunnerAssigned& aAssigned);
  void SelectLocally(std::string_view aSelectionReason);
  /* The query for endpoints of this daemon's own data that could serve the request. */
  fleet::RunnerRegistry::EndpointQuery OwnQuery() const;
  /* Returns how long this request waits beyond the end of an endpoint's pause, so that the requests
   * that wait for it do not arrive together. */
  Duration PauseSpread() const;
  /* Waits until the first of the paused endpoints takes requests again, or ends the request if that
   * is too late for it. */
  void WaitForPauseEnd(TimePoint aEnd);
  /* Returns the latest time at which the client still waits for a first event or answer. */
  TimePoint PatienceEnd() const;
  /* Selects an endpoint again after a pause, or ends the request if it has waited too long. */
  void WaitForEndpoint();

  void SendToEndpoint(const EndpointId& aEndpoint, std::string_view aSelectionReason);
  /* Passes on what an answer states about the endpoint itself. */
  void ReportAnswer(const platform::EndpointAnswer& aAnswer);
  /* Takes the head of the endpoint's answer. Returns false, which skips the answer, if it belongs
   * to another request. */
  bool OnHead(const http::AnswerHead& aHead);
  void OnBody(std::string_view aBytes);
  void OnEnd(http::CallResult aResult);
  bool IsStreamUnfinished() const;
  bool IsPartQuarantined() const
  {
    return mContext.promptParts.IsQuarantined(BootClockNow(), mClient.leadingParts);
  }
  /* Returns whether an event or a part of the body of the current attempt has arrived. */
  bool HasAnswerBegun() const
  {
    return mAttempt.timeToFirstEvent > Duration::zero() || !mAttempt.body.empty();
  }
  /* Classifies the attempt that has just ended. */
  fleet::AttemptEnd ClassifyAttempt(http::CallResult aResult) const;
  /* Decides what follows an attempt: another one, the answer, or a failure. */
  void OnAttemptEnded(fleet::AttemptEnd aEnd, std::string_view aResult);
  void ReleaseAssignment(fleet::AssignmentEnd aEnd);
  /* Asks the endpoint for a report after its connection broke. If it cannot be connected to, or
   * another process answers, its process has ended, and the request is reported as suspected of
   * crashing runners. */
  void ProbeEndpoint();

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
  Duration TimeLeft() const;
  Duration AnswerTimeout() const;
  Duration ClientTimeout() const;
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
  ClientAccountId mAccount; ///< The host that the client named.
  FingerprintId mFingerprint;
  TimePoint mArrivedAt{};
  TimePoint mDeadline{};
  boost::asio::steady_timer mDeadlineTimer;
  boost::asio::steady_timer mWaitTimer;
  fleet::AttemptState mAttemptState;
  Attempt mAttempt;
  std::set<EndpointId> mFailedEndpoints;
  /* Where the stream began. Only endpoints of this service and version can go on with it. */
  std::optional<fleet::StreamOrigin> mOrigin;
  /* The dispatcher's statement about the endpoint of the next attempt (RunnerAssigned::version). */
  std::optional<SoftwareVersion> mAssignedVersion;
  /* Id of the pending placement request or of the assignment in use. */
  std::optional<fleet::PlacementRequestId> mPlacementId;
  EventSplitter mEventSplitter;
  std::string mLastEventId; ///< Last event id that was forwarded to the client.
  std::uint32_t mEventsForwarded = 0;
  TimePoint mFirstByteAt{};
  bool mIsHeadSent = false;
  bool mIsEnded = false;
};

} // namespace rhubarbtrail

#endif

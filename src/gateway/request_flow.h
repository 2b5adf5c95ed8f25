/* Handles one client request: the attempts at endpoints and the answer to the client. */
#ifndef RHUBARBTRAIL_GATEWAY_REQUEST_FLOW_H
#define RHUBARBTRAIL_GATEWAY_REQUEST_FLOW_H

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

/* Its timers, its call and the responder's handler keep it alive while the request is open. */
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

private:
  /* The current attempt at an endpoint, or the last one. */
  struct Attempt
  {
    EndpointId endpoint;
    TimePoint startedAt{};
    Duration firstEvent{}; ///< From the start to the first event; 0: none has arrived.
    std::unique_ptr<http::Call> call;
    std::optional<http::AnswerHead> head;
    platform::EndpointAnswer meaning;
    std::string body;       ///< Of an answer that is buffered before it is forwarded.
    bool isStream = false;  ///< The body is forwarded event by event as it arrives.
    bool isInvalid = false; ///< The answer is unsigned, encoded or too large to be forwarded.
  };

  void OnRouted();
  /* Finds the route and checks that the request may be sent. Otherwise returns false and sets the
   * reason and the result code. */
  bool CheckRoute(std::string& aReason, ResultCode& aCode);
  void ChooseService();

  /* Selects an endpoint for the next attempt, through the dispatcher for requests for models. */
  void Place();
  void PlaceByDispatcher();
  void OnPlaced(const fleet::PlacementReply& aReply);
  void PlaceLocally(std::string_view aWhy);
  /* Selects an endpoint again after a pause, or ends the request if it has waited too long. */
  void WaitForEndpoint();

  void Send(const EndpointId& aEndpoint, std::string_view aWhy);
  bool OnHead(const http::AnswerHead& aHead);
  void OnBody(std::string_view aBytes);
  void OnEnd(http::CallResult aResult);
  /* Classifies the attempt that has just ended. */
  fleet::AttemptEnd Judge(http::CallResult aResult) const;
  /* Decides what follows an attempt: another one, the answer, or a failure. */
  void Follow(fleet::AttemptEnd aEnd, std::string_view aResult);
  void ReleasePlace(fleet::PlaceEnd aEnd);
  /* Connects to the endpoint after its connection broke. If that fails, its process has probably
   * ended, and the request is reported as suspected of crashing runners. */
  void ProbeEndpoint();

  void PassEvents();
  void SendHeadOnce();
  void PassAnswer();
  bool MayAnswer(std::string_view aReason);
  void Refuse(ResultCode aCode, Duration aRetryAfter, std::string_view aReason);
  void Fail(ResultCode aCode, std::string_view aReason);
  void Cut(std::string_view aReason);
  void End(std::string_view aOutcome, ResultCode aCode, unsigned aStatus);
  void Answer(ResultCode aCode, unsigned aStatus, Duration aRetryAfter);

  void OnClientGone();
  void OnDeadline();
  void StopAttempt();
  Duration TimeLeft() const;
  Duration AnswerLimit() const;
  Duration Patience() const;
  bool UsesModels() const { return mClient.work.has_value(); }

  GatewayContext& mContext;
  http::Request mRequest;
  std::shared_ptr<http::Responder> mResponder;
  platform::ClientRequest mClient;
  std::shared_ptr<const fleet::FleetConfiguration> mConfiguration; ///< The one in force at arrival.
  const fleet::Route* mRoute = nullptr;
  ServiceId mService;
  FingerprintId mFingerprint;
  TimePoint mArrivedAt{};
  TimePoint mDeadline{};
  boost::asio::steady_timer mDeadlineTimer;
  boost::asio::steady_timer mWaitTimer;
  fleet::AttemptState mState;
  Attempt mAttempt;
  std::set<EndpointId> mFailedAt;
  std::optional<fleet::AskId> mPlace; ///< Id of the pending placement request or held assignment.
  EventSplitter mEvents;
  std::string mLastEventId; ///< Last event id that was forwarded to the client.
  std::uint32_t mEventsPassed = 0;
  TimePoint mFirstByteAt{};
  bool mIsHeadSent = false;
  bool mIsEnded = false;
};

} // namespace rhubarbtrail

#endif

/* One request on its way: the attempts at endpoints and the answer to the client. */
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

/* Owns itself while the request is open. */
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
  /* Ends the request unless an endpoint is at work on it. */
  void EndIfWaiting();

private:
  /* An attempt under way, or the last one. */
  struct Attempt
  {
    EndpointId endpoint;
    TimePoint startedAt{};
    Duration firstEvent{}; ///< From the start to the first event; 0: there was none yet.
    std::unique_ptr<http::Call> call;
    std::optional<http::AnswerHead> head;
    platform::EndpointAnswer meaning;
    std::string body;       ///< Of an answer that is passed on as a whole.
    bool isStream = false;  ///< The body is passed on as it comes.
    bool isInvalid = false; ///< What came cannot be passed on.
  };

  void OnRouted();
  bool CheckRoute(std::string& aReason, ResultCode& aCode);
  void ChooseService();

  /* Finds an endpoint for the next attempt. */
  void Place();
  void PlaceByDispatcher();
  void OnPlaced(const fleet::PlacementReply& aReply);
  void PlaceLocally(std::string_view aWhy);
  /* Waits for something to change while no endpoint is known. */
  void WaitForEndpoint();

  void Send(const EndpointId& aEndpoint, std::string_view aWhy);
  bool OnHead(const http::AnswerHead& aHead);
  void OnBody(std::string_view aBytes);
  void OnEnd(http::CallResult aResult);
  fleet::AttemptEnd Judge(http::CallResult aResult) const;
  void Follow(fleet::AttemptEnd aEnd, std::string_view aResult);
  void ReleasePlace(fleet::PlaceEnd aEnd);
  /* Finds out whether the endpoint's process has ended, and suspects the request if so. */
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
  std::shared_ptr<const fleet::FleetConfiguration> mConfiguration; ///< In force at arrival.
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
  std::optional<fleet::AskId> mPlace; ///< The question asked or the place held.
  EventSplitter mEvents;
  std::string mLastEventId; ///< Of the last event that the client has.
  std::uint32_t mEventsPassed = 0;
  TimePoint mFirstByteAt{};
  bool mIsHeadSent = false;
  bool mIsEnded = false;
};

} // namespace rhubarbtrail

#endif

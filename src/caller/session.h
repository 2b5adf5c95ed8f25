/* One caller's request while it is open: what was read of it, and the answer as it comes. */
#ifndef RHUBARBTRAIL_CALLER_SESSION_H
#define RHUBARBTRAIL_CALLER_SESSION_H

#include "decision/action_type.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarbtrail {

enum class AnswerForm : std::uint8_t
{
  kWhole,
  kStream,
};

/* The call to be made at an endpoint. */
struct EndpointCall
{
  std::string method;
  std::string path;
  std::string contentType;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  AnswerForm form = AnswerForm::kWhole;
  Repeatability repeatability = Repeatability::kIdempotent;
};

/* A part of the answer that is ready to be passed on. */
struct AnswerPart
{
  std::string data;
  std::optional<FinishRequest> finish; ///< Set on the last part.
};

/* Joins the caller's thread, the thread of the attempt and the decisions. */
class Session
{
public:
  Session(RequestId aId, EndpointCall aCall);

  const RequestId& id() const { return mId; }
  const EndpointCall& call() const { return mCall; }

  /* Starts an attempt: only its parts are taken from now on. */
  void BeginAttempt(AttemptNumber aAttempt);

  /* Passes on stream event number aIndex, counted from 0. Events that the caller already has
   * are dropped. Returns false when the attempt is not the current one or an event is missing. */
  bool PushEvent(AttemptNumber aAttempt, std::uint32_t aIndex, std::string aData);

  /* Passes on a whole answer. Returns false when the attempt is not the current one. */
  bool PushWhole(AttemptNumber aAttempt, int aStatus, std::string aContentType, std::string aBody);

  /* Returns how many stream events the caller has or will get. */
  std::uint32_t delivered() const;

  /* Ends the request with its final outcome. */
  void Finish(FinishRequest aFinish);

  /* Stops the current attempt; the canceller closes its connection. */
  void StopAttempt(AttemptNumber aAttempt);
  void SetCanceller(AttemptNumber aAttempt, std::function<void()> aCanceller);

  /* Waits for the next part of the answer. */
  AnswerPart WaitPart();

  /* The status and type of a whole answer; valid after the last part was taken. */
  int status() const { return mStatus; }
  const std::string& contentType() const { return mContentType; }

private:
  const RequestId mId;
  const EndpointCall mCall;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  AttemptNumber mAttempt;
  std::uint32_t mDelivered = 0;
  std::deque<std::string> mParts;
  std::optional<FinishRequest> mFinish;
  std::function<void()> mCanceller;
  AttemptNumber mStopped;
  int mStatus = 200;
  std::string mContentType = "application/json";
};

/* The open sessions by request id. */
class SessionMap
{
public:
  void Add(std::shared_ptr<Session> aSession);
  void Remove(const RequestId& aRequest);
  std::shared_ptr<Session> Find(const RequestId& aRequest) const;
  std::size_t size() const;

private:
  mutable std::mutex mMutex;
  std::unordered_map<RequestId, std::shared_ptr<Session>> mSessions;
};

} // namespace rhubarbtrail

#endif

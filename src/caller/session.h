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

  /* Starts an attempt: only its parts are taken from now on. Returns false when the attempt was
   * stopped or the request has ended. */
  bool BeginAttempt(AttemptNumber aAttempt);

  /* Passes on stream event number aIndex, counted from 0, and waits while a slow caller has too
   * much to take. Events that the caller already has are dropped. Returns false when the attempt
   * is no longer wanted or an event is missing. */
  bool PushEvent(AttemptNumber aAttempt, std::uint32_t aIndex, std::string aData);

  /* Passes on a whole answer. Returns false when the attempt is not the current one. */
  bool PushWhole(AttemptNumber aAttempt, int aStatus, std::string aContentType, std::string aBody);

  /* Returns how many stream events the caller has or will get. */
  std::uint32_t delivered() const;

  /* Ends the request with its final outcome. */
  void Finish(FinishRequest aFinish);

  /* The caller has gone. A request that must not be repeated runs to its end, so that its outcome
   * can be recorded; any other one ends now. */
  void Abandon();

  /* Stops the current attempt; the canceller closes its connection. */
  void StopAttempt(AttemptNumber aAttempt);
  /* Returns false when the attempt is no longer wanted. */
  bool SetCanceller(AttemptNumber aAttempt, std::function<void()> aCanceller);
  /* Returns whether the attempt is the current one and was not stopped. */
  bool IsWanted(AttemptNumber aAttempt) const;

  /* Returns the next part of the answer; nothing while there is none. */
  std::optional<AnswerPart> TakePart();
  /* Sets whom to tell, on any thread, that there may be a part to take; null: nobody. */
  void SetListener(std::function<void()> aListener);

  /* The status and type of a whole answer; valid after the last part was taken. */
  int status() const { return mStatus; }
  const std::string& contentType() const { return mContentType; }

private:
  bool IsStopped(AttemptNumber aAttempt) const;
  bool IsCurrent(AttemptNumber aAttempt) const;
  void Tell();

  const RequestId mId;
  const EndpointCall mCall;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  AttemptNumber mAttempt;
  std::uint32_t mDelivered = 0;
  std::deque<std::string> mParts;
  std::size_t mUntakenBytes = 0; ///< Size of the stream events in mParts.
  std::optional<FinishRequest> mFinish;
  bool mIsAbandoned = false;
  std::function<void()> mCanceller;
  std::function<void()> mListener;
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

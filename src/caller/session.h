/* An open request of a caller: the call to be made, and the answer received so far. */
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

/* How the caller receives the answer. */
enum class AnswerForm : std::uint8_t
{
  kBuffered, ///< Non-streaming: in one piece, once the request has ended.
  kStream,   ///< As server-sent events, while they arrive.
};

/* The call to be made at an endpoint. */
struct EndpointCall
{
  std::string method;
  std::string path;
  std::string contentType;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  AnswerForm form = AnswerForm::kBuffered;
  Repeatability repeatability = Repeatability::kIdempotent;
};

/* A part of the answer that is ready to be forwarded to the caller. */
struct AnswerPart
{
  std::string data;
  std::optional<FinishRequest> finish; ///< Set on the last part.
};

/* Connects the thread of the caller's connection, the threads of the attempts and the decision
 * code. Safe for use by several threads, except status() and contentType(). */
class Session
{
public:
  Session(RequestId aId, EndpointCall aCall);

  const RequestId& id() const { return mId; }
  const EndpointCall& call() const { return mCall; }

  /* Makes an attempt the current one. Data of other attempts is rejected from now on. Returns false
   * when the attempt was stopped or the request has ended. */
  bool BeginAttempt(AttemptNumber aAttempt);

  /* Adds the stream event with the index aIndex, counted from 0. Blocks while too many bytes wait
   * for a slow caller. An event that an earlier attempt has already added is dropped. Returns false
   * when the attempt is not active, or when aIndex skips an event. */
  bool PushEvent(AttemptNumber aAttempt, std::uint32_t aIndex, std::string aData);

  /* Adds a complete non-streaming answer. Returns false when the attempt is not active. */
  bool PushBufferedAnswer(AttemptNumber aAttempt,
                          int aStatus,
                          std::string aContentType,
                          std::string aBody);

  /* Returns the number of stream events that were accepted for the caller. */
  std::uint32_t delivered() const;

  /* Ends the request with its final outcome. Later calls have no effect. */
  void Finish(FinishRequest aFinish);

  /* Discards the answer received so far, since the caller has disconnected. A request that may run
   * at most once continues, so that its outcome can be recorded. Any other request ends now. */
  void Abandon();

  /* Stops an attempt and all earlier ones, also if it has not begun yet. Calls the canceller when
   * the attempt is the current one. */
  void StopAttempt(AttemptNumber aAttempt);
  /* Sets the function that closes the attempt's connection. Returns false when the attempt is not
   * active. */
  bool SetCanceller(AttemptNumber aAttempt, std::function<void()> aCanceller);
  /* Returns whether the attempt is active: it is the current one, it was not stopped, and the
   * request has not ended. */
  bool IsActive(AttemptNumber aAttempt) const;

  /* Removes and returns all data that can be forwarded now, or nothing if there is none. */
  std::optional<AnswerPart> TakePart();
  /* Sets the function that is called, on any thread, when TakePart() may return a part. Null
   * removes it. */
  void SetListener(std::function<void()> aListener);

  /* HTTP status and content type of a non-streaming answer. Valid once its last part was taken. */
  int status() const { return mStatus; }
  const std::string& contentType() const { return mContentType; }

private:
  bool IsStoppedLocked(AttemptNumber aAttempt) const;
  bool IsActiveLocked(AttemptNumber aAttempt) const;
  void NotifyListener();

  const RequestId mId;
  const EndpointCall mCall;
  mutable std::mutex mMutex;
  std::condition_variable mStateChanged;
  AttemptNumber mCurrentAttempt;
  std::uint32_t mDelivered = 0; ///< Accepted stream events, of all attempts together.
  std::deque<std::string> mParts;
  std::size_t mUntakenBytes = 0; ///< Size of the stream events in mParts.
  std::optional<FinishRequest> mFinish;
  bool mIsAbandoned = false;
  std::function<void()> mCanceller;
  std::function<void()> mListener;
  AttemptNumber mLastStoppedAttempt; ///< This attempt and all earlier ones are stopped.
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

/* The state that a caller's connection, its attempts and the decision code share. */
#include "caller/session.h"

#include <algorithm>
#include <utility>

namespace rhubarbtrail {

namespace {

/* While this many bytes of a stream, or more, wait to be taken for a slow caller, PushEvent()
 * blocks, and no more is read from the endpoint. */
constexpr std::size_t kUntakenBytesLimit = 256U << 10U;

} // namespace

Session::Session(RequestId aId, EndpointCall aCall)
  : mId(std::move(aId))
  , mCall(std::move(aCall))
{
}

bool Session::BeginAttempt(AttemptNumber aAttempt)
{
  const std::lock_guard lock(mMutex);
  if (mFinish || IsStoppedLocked(aAttempt)) {
    return false;
  }
  mCurrentAttempt = aAttempt;
  mCanceller = nullptr;
  mStateChanged.notify_all();
  return true;
}

bool Session::IsStoppedLocked(AttemptNumber aAttempt) const
{
  return aAttempt <= mLastStoppedAttempt;
}

bool Session::IsActiveLocked(AttemptNumber aAttempt) const
{
  return aAttempt == mCurrentAttempt && !IsStoppedLocked(aAttempt) && !mFinish;
}

bool Session::PushEvent(AttemptNumber aAttempt, std::uint32_t aIndex, std::string aData)
{
  {
    std::unique_lock lock(mMutex);
    mStateChanged.wait(lock, [&] {
      return mUntakenBytes < kUntakenBytesLimit || mIsAbandoned || !IsActiveLocked(aAttempt);
    });
    if (!IsActiveLocked(aAttempt) || aIndex > mDelivered) {
      return false;
    }
    if (aIndex < mDelivered) {
      return true;
    }
    ++mDelivered;
    if (mIsAbandoned) {
      return true;
    }
    mUntakenBytes += aData.size();
    mParts.push_back(std::move(aData));
  }
  NotifyListener();
  return true;
}

bool Session::PushBufferedAnswer(AttemptNumber aAttempt,
                                 int aStatus,
                                 std::string aContentType,
                                 std::string aBody)
{
  const std::lock_guard lock(mMutex);
  if (!IsActiveLocked(aAttempt)) {
    return false;
  }
  mStatus = aStatus;
  mContentType = std::move(aContentType);
  mParts.push_back(std::move(aBody));
  return true;
}

std::uint32_t Session::delivered() const
{
  const std::lock_guard lock(mMutex);
  return mDelivered;
}

void Session::Finish(FinishRequest aFinish)
{
  {
    const std::lock_guard lock(mMutex);
    if (mFinish) {
      return;
    }
    mFinish = std::move(aFinish);
  }
  NotifyListener();
}

void Session::Abandon()
{
  const bool isAtMostOnce = mCall.repeatability == Repeatability::kAtMostOnce;
  {
    const std::lock_guard lock(mMutex);
    mIsAbandoned = true;
    mParts.clear();
  }
  mStateChanged.notify_all();
  if (!isAtMostOnce) {
    Finish({ .request = mId, .code = ResultCode::kDeadlinePassed });
  }
}

void Session::StopAttempt(AttemptNumber aAttempt)
{
  std::function<void()> canceller;
  {
    const std::lock_guard lock(mMutex);
    mLastStoppedAttempt = std::max(mLastStoppedAttempt, aAttempt);
    if (aAttempt == mCurrentAttempt) {
      canceller = mCanceller;
    }
  }
  mStateChanged.notify_all();
  if (canceller) {
    canceller();
  }
}

bool Session::SetCanceller(AttemptNumber aAttempt, std::function<void()> aCanceller)
{
  const std::lock_guard lock(mMutex);
  if (!IsActiveLocked(aAttempt)) {
    return false;
  }
  mCanceller = std::move(aCanceller);
  return true;
}

bool Session::IsActive(AttemptNumber aAttempt) const
{
  const std::lock_guard lock(mMutex);
  return IsActiveLocked(aAttempt);
}

std::optional<AnswerPart> Session::TakePart()
{
  AnswerPart part;
  {
    const std::lock_guard lock(mMutex);
    // Only stream events count as delivered, so a non-streaming answer is held until Finish().
    if (!mFinish && (mDelivered == 0 || mParts.empty())) {
      return std::nullopt;
    }
    while (!mParts.empty()) {
      part.data += mParts.front();
      mParts.pop_front();
    }
    mUntakenBytes = 0;
    part.finish = mFinish;
  }
  mStateChanged.notify_all();
  return part;
}

void Session::SetListener(std::function<void()> aListener)
{
  const std::lock_guard lock(mMutex);
  mListener = std::move(aListener);
}

void Session::NotifyListener()
{
  std::function<void()> listener;
  {
    const std::lock_guard lock(mMutex);
    listener = mListener;
  }
  mStateChanged.notify_all();
  if (listener) {
    listener();
  }
}

void SessionMap::Add(std::shared_ptr<Session> aSession)
{
  const std::lock_guard lock(mMutex);
  mSessions[aSession->id()] = std::move(aSession);
}

void SessionMap::Remove(const RequestId& aRequest)
{
  const std::lock_guard lock(mMutex);
  mSessions.erase(aRequest);
}

std::shared_ptr<Session> SessionMap::Find(const RequestId& aRequest) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mSessions.find(aRequest);
  return found == mSessions.end() ? nullptr : found->second;
}

std::size_t SessionMap::size() const
{
  const std::lock_guard lock(mMutex);
  return mSessions.size();
}

} // namespace rhubarbtrail

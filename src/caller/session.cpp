/* The meeting point of a caller, its attempts and the decisions. */
#include "caller/session.h"

#include <utility>

namespace rhubarbtrail {

Session::Session(RequestId aId, EndpointCall aCall)
  : mId(std::move(aId))
  , mCall(std::move(aCall))
{
}

void Session::BeginAttempt(AttemptNumber aAttempt)
{
  const std::lock_guard lock(mMutex);
  mAttempt = aAttempt;
  mCanceller = nullptr;
}

bool Session::PushEvent(AttemptNumber aAttempt, std::uint32_t aIndex, std::string aData)
{
  {
    const std::lock_guard lock(mMutex);
    if (aAttempt != mAttempt || mFinish || aIndex > mDelivered) {
      return false;
    }
    if (aIndex < mDelivered) {
      return true;
    }
    ++mDelivered;
    mParts.push_back(std::move(aData));
  }
  mChanged.notify_all();
  return true;
}

bool Session::PushWhole(AttemptNumber aAttempt,
                        int aStatus,
                        std::string aContentType,
                        std::string aBody)
{
  const std::lock_guard lock(mMutex);
  if (aAttempt != mAttempt || mFinish) {
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
  mChanged.notify_all();
}

void Session::StopAttempt(AttemptNumber aAttempt)
{
  std::function<void()> canceller;
  {
    const std::lock_guard lock(mMutex);
    mStopped = aAttempt;
    if (aAttempt == mAttempt) {
      canceller = mCanceller;
    }
  }
  if (canceller) {
    canceller();
  }
}

void Session::SetCanceller(AttemptNumber aAttempt, std::function<void()> aCanceller)
{
  const std::lock_guard lock(mMutex);
  if (aAttempt == mAttempt) {
    mCanceller = std::move(aCanceller);
  }
}

AnswerPart Session::WaitPart()
{
  std::unique_lock lock(mMutex);
  // Parts of a whole answer are held until the outcome is known.
  const bool isStream = mCall.form == AnswerForm::kStream;
  mChanged.wait(lock, [&] { return mFinish || (isStream && !mParts.empty()); });
  AnswerPart part;
  while (!mParts.empty()) {
    part.data += mParts.front();
    mParts.pop_front();
  }
  part.finish = mFinish;
  return part;
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

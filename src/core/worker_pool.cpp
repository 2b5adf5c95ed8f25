/* A fixed pool of threads. */
#include "core/worker_pool.h"

#include <algorithm>
#include <utility>

namespace rhubarbtrail {

WorkerPool::WorkerPool(std::size_t aThreadCount, std::size_t aMaxThreadsPerKey)
  : mMaxThreadsPerKey(aMaxThreadsPerKey)
{
  mThreads.reserve(aThreadCount);
  for (std::size_t index = 0; index < aThreadCount; ++index) {
    mThreads.emplace_back([this] { RunJobs(); });
  }
}

WorkerPool::~WorkerPool()
{
  Stop();
}

void WorkerPool::Submit(std::function<void()> aJob, std::string aKey)
{
  {
    const std::lock_guard lock(mMutex);
    if (mIsStopping) {
      return;
    }
    mJobs.push_back({ std::move(aJob), std::move(aKey) });
  }
  mJobsChanged.notify_one();
}

void WorkerPool::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
    mJobs.clear();
  }
  mJobsChanged.notify_all();
  for (std::thread& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::deque<WorkerPool::Job>::iterator WorkerPool::FindRunnable()
{
  return std::find_if(mJobs.begin(), mJobs.end(), [this](const Job& aJob) {
    const auto running = mRunningByKey.find(aJob.key);
    return mMaxThreadsPerKey == 0 || running == mRunningByKey.end() ||
           running->second < mMaxThreadsPerKey;
  });
}

void WorkerPool::RunJobs()
{
  std::unique_lock lock(mMutex);
  while (true) {
    auto next = mJobs.end();
    mJobsChanged.wait(lock, [&] {
      next = FindRunnable();
      return mIsStopping || next != mJobs.end();
    });
    if (mIsStopping) {
      return;
    }
    const Job job = std::move(*next);
    mJobs.erase(next);
    if (mMaxThreadsPerKey != 0) {
      ++mRunningByKey[job.key];
    }
    lock.unlock();
    job.run();
    lock.lock();
    const auto running = mRunningByKey.find(job.key);
    if (running != mRunningByKey.end() && --running->second == 0) {
      mRunningByKey.erase(running);
    }
    // A queued job with the same key may be able to run now.
    mJobsChanged.notify_one();
  }
}

} // namespace rhubarbtrail

/* A fixed pool of threads. */
#include "core/worker_pool.h"

#include <algorithm>
#include <utility>

namespace rhubarbtrail {

WorkerPool::WorkerPool(std::size_t aThreads, std::size_t aThreadsPerKey)
  : mThreadsPerKey(aThreadsPerKey)
{
  mThreads.reserve(aThreads);
  for (std::size_t index = 0; index < aThreads; ++index) {
    mThreads.emplace_back([this] { Run(); });
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
  mChanged.notify_one();
}

void WorkerPool::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
    mJobs.clear();
  }
  mChanged.notify_all();
  for (std::thread& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::deque<WorkerPool::Job>::iterator WorkerPool::FindRunnable()
{
  return std::find_if(mJobs.begin(), mJobs.end(), [this](const Job& aJob) {
    const auto running = mRunning.find(aJob.key);
    return mThreadsPerKey == 0 || running == mRunning.end() || running->second < mThreadsPerKey;
  });
}

void WorkerPool::Run()
{
  std::unique_lock lock(mMutex);
  while (true) {
    auto next = mJobs.end();
    mChanged.wait(lock, [&] {
      next = FindRunnable();
      return mIsStopping || next != mJobs.end();
    });
    if (mIsStopping) {
      return;
    }
    const Job job = std::move(*next);
    mJobs.erase(next);
    if (mThreadsPerKey != 0) {
      ++mRunning[job.key];
    }
    lock.unlock();
    job.run();
    lock.lock();
    const auto running = mRunning.find(job.key);
    if (running != mRunning.end() && --running->second == 0) {
      mRunning.erase(running);
    }
    // A queued job with the same key may be able to run now.
    mChanged.notify_one();
  }
}

} // namespace rhubarbtrail

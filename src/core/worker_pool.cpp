/* A pool of threads. */
#include "core/worker_pool.h"

#include <utility>

namespace rhubarbtrail {

WorkerPool::WorkerPool(std::size_t aThreads)
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

void WorkerPool::Submit(std::function<void()> aJob)
{
  {
    const std::lock_guard lock(mMutex);
    if (mIsStopping) {
      return;
    }
    mJobs.push_back(std::move(aJob));
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

void WorkerPool::Run()
{
  while (true) {
    std::function<void()> job;
    {
      std::unique_lock lock(mMutex);
      mChanged.wait(lock, [this] { return mIsStopping || !mJobs.empty(); });
      if (mJobs.empty()) {
        return;
      }
      job = std::move(mJobs.front());
      mJobs.pop_front();
    }
    job();
  }
}

} // namespace rhubarbtrail

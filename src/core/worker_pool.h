/* A fixed number of threads that run jobs in the order of their arrival. */
#ifndef RHUBARBTRAIL_CORE_WORKER_POOL_H
#define RHUBARBTRAIL_CORE_WORKER_POOL_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace rhubarbtrail {

class WorkerPool
{
public:
  explicit WorkerPool(std::size_t aThreads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /* Queues a job; jobs queued after Stop() are dropped. */
  void Submit(std::function<void()> aJob);

  /* Finishes the running jobs, drops the queued ones and joins the threads. */
  void Stop();

private:
  void Run();

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<std::function<void()>> mJobs;
  bool mIsStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace rhubarbtrail

#endif

/* A fixed number of threads that run jobs in the order of their arrival. */
#ifndef RHUBARBTRAIL_CORE_WORKER_POOL_H
#define RHUBARBTRAIL_CORE_WORKER_POOL_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace rhubarbtrail {

class WorkerPool
{
public:
  explicit WorkerPool(std::size_t aThreads, std::size_t aThreadsPerKey = 0);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /* Queues a job; jobs queued after Stop() are dropped. Jobs with the same key use no more than
   * the threads allowed for a key, so that one slow peer leaves room for the others. */
  void Submit(std::function<void()> aJob, std::string aKey = {});

  /* Finishes the running jobs, drops the queued ones and joins the threads. */
  void Stop();

private:
  struct Job
  {
    std::function<void()> run;
    std::string key;
  };

  void Run();
  /* Returns the first queued job whose key has a thread left. */
  std::deque<Job>::iterator FindRunnable();

  const std::size_t mThreadsPerKey; ///< 0 for no limit.

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<Job> mJobs;
  std::unordered_map<std::string, std::size_t> mRunning; ///< Threads in use by key.
  bool mIsStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace rhubarbtrail

#endif

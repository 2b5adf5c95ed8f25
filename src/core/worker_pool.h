/* A fixed pool of threads that start jobs in the order in which they were submitted, except that
 * jobs wait while their key is at its thread limit. */
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
  /* Starts the threads. Jobs of one key use at most aMaxThreadsPerKey of them; 0 for no limit. */
  explicit WorkerPool(std::size_t aThreadCount, std::size_t aMaxThreadsPerKey = 0);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /* Queues a job. Jobs submitted after Stop() are dropped. The key names the peer that a job
   * calls, so that the thread limit keeps a slow peer from occupying all threads. The limit also
   * applies to all jobs with an empty key together. */
  void Submit(std::function<void()> aJob, std::string aKey = {});

  /* Waits for the running jobs, drops the queued ones and joins the threads. */
  void Stop();

private:
  struct Job
  {
    std::function<void()> run;
    std::string key;
  };

  void RunJobs();
  /* Returns the first queued job whose key is below its thread limit, or the end. */
  std::deque<Job>::iterator FindRunnable();

  const std::size_t mMaxThreadsPerKey; ///< 0 for no limit.

  std::mutex mMutex;
  std::condition_variable mJobsChanged;
  std::deque<Job> mJobs;
  std::unordered_map<std::string, std::size_t> mRunningByKey; ///< Running jobs by key.
  bool mIsStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace rhubarbtrail

#endif

#ifndef TARRAGON_NET_THREAD_POOL_H_
#define TARRAGON_NET_THREAD_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace tarragon::net {

/**
 * Pool that creates threads on demand up to a limit and keeps them. Each thread runs one task at a
 * time. An accepted task starts at once; no task is queued behind another.
 */
class thread_pool final {
 public:
  /** @param max_threads limit on concurrent tasks. */
  explicit thread_pool(std::size_t max_threads) : max_threads_(max_threads) {}
  /** Calls `Stop`. */
  ~thread_pool() { Stop(); }

  /** @return false if `max_threads` are busy, no thread can be created, or after `Stop`. */
  bool TryRun(std::function<void()> task);

  /** Waits for a free thread. @return false if no thread can be created, or after `Stop`. */
  bool Run(std::function<void()> task);

  /** Waits for running tasks, then joins all threads. Idempotent. */
  void Stop();

  /** @return number of running tasks. */
  std::size_t RunningTaskCount() const;

 private:
  bool HasFreeThread() const;
  bool StartTask(std::function<void()> task);
  void RunTasks();

  const std::size_t max_threads_;
  mutable std::mutex mutex_;
  std::condition_variable task_or_stop_;
  std::condition_variable free_thread_or_stop_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::size_t busy_threads_ = 0;
  bool stopped_ = false;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_THREAD_POOL_H_

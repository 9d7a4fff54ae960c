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
 * Threads that are created on demand up to a bound and then kept, one task at a time on each. A
 * task starts at once or is refused; none waits for another.
 */
class thread_pool final {
 public:
  /** @param max_threads most tasks that run at the same time. */
  explicit thread_pool(std::size_t max_threads) : max_threads_(max_threads) {}
  /** Stops the pool as `Stop` does. */
  ~thread_pool() { Stop(); }

  /** @return false if all threads are busy and no more may be created, or after `Stop`. */
  bool TryRun(std::function<void()> task);

  /** As `TryRun`, but waits for a free thread. @return false after `Stop`. */
  bool Run(std::function<void()> task);

  /** Waits for running tasks, then ends all threads. Idempotent. */
  void Stop();

  /** @return number of tasks that run. */
  std::size_t Busy() const;

 private:
  bool HasRoom() const;
  bool Start(std::function<void()> task);
  void Work();

  const std::size_t max_threads_;
  mutable std::mutex mutex_;
  std::condition_variable work_or_stop_;
  std::condition_variable room_or_stop_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::size_t busy_ = 0;
  bool stopped_ = false;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_THREAD_POOL_H_

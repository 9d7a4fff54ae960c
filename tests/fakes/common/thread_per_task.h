#ifndef TARRAGON_FAKES_COMMON_THREAD_PER_TASK_H_
#define TARRAGON_FAKES_COMMON_THREAD_PER_TASK_H_

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>

namespace tarragon::fakes {

/** Runs each connection on its own thread, since a stream occupies its thread until it ends. */
class thread_per_task final : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> fn) override;
  /** Waits until all tasks have ended. */
  void shutdown() override;

 private:
  std::mutex mutex_;
  std::condition_variable ended_;
  std::size_t running_ = 0;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_COMMON_THREAD_PER_TASK_H_

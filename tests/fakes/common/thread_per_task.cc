#include "fakes/common/thread_per_task.h"

#include <thread>
#include <utility>

namespace tarragon::fakes {

void thread_per_task::enqueue(std::function<void()> fn) {
  {
    std::lock_guard lock(mutex_);
    ++running_;
  }
  std::thread([this, task = std::move(fn)] {
    task();
    // Notifies under the lock, because the queue may be destroyed as soon as the count is zero.
    std::lock_guard lock(mutex_);
    --running_;
    ended_.notify_all();
  }).detach();
}

void thread_per_task::shutdown() {
  std::unique_lock lock(mutex_);
  ended_.wait(lock, [this] { return running_ == 0; });
}

}  // namespace tarragon::fakes

#include "tarragon/net/thread_pool.h"

#include <system_error>
#include <utility>

namespace tarragon::net {

// `busy_` counts a task from the moment it is queued, so that a queued task always has a thread.
bool thread_pool::HasRoom() const {
  return busy_ < max_threads_;
}

bool thread_pool::Start(std::function<void()> task) {
  if (busy_ == threads_.size()) {
    try {
      threads_.emplace_back([this] { Work(); });
    } catch (const std::system_error&) {
      return false;
    }
  }
  ++busy_;
  tasks_.push_back(std::move(task));
  work_or_stop_.notify_one();
  return true;
}

bool thread_pool::TryRun(std::function<void()> task) {
  std::lock_guard lock(mutex_);
  return !stopped_ && HasRoom() && Start(std::move(task));
}

bool thread_pool::Run(std::function<void()> task) {
  std::unique_lock lock(mutex_);
  room_or_stop_.wait(lock, [this] { return stopped_ || HasRoom(); });
  return !stopped_ && Start(std::move(task));
}

void thread_pool::Work() {
  std::unique_lock lock(mutex_);
  while (true) {
    work_or_stop_.wait(lock, [this] { return stopped_ || !tasks_.empty(); });
    if (tasks_.empty()) {
      return;
    }
    std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
    --busy_;
    room_or_stop_.notify_one();
  }
}

void thread_pool::Stop() {
  std::vector<std::thread> threads;
  {
    std::lock_guard lock(mutex_);
    stopped_ = true;
    threads.swap(threads_);
  }
  work_or_stop_.notify_all();
  room_or_stop_.notify_all();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

std::size_t thread_pool::Busy() const {
  std::lock_guard lock(mutex_);
  return busy_;
}

}  // namespace tarragon::net

#include "tarragon/net/thread_pool.h"

#include <system_error>
#include <utility>

namespace tarragon::net {

// `busy_threads_` counts a task from the moment it is queued, so each queued task has a thread.
bool thread_pool::HasFreeThread() const {
  return busy_threads_ < max_threads_;
}

bool thread_pool::StartTask(std::function<void()> task) {
  if (busy_threads_ == threads_.size()) {
    try {
      threads_.emplace_back([this] { RunTasks(); });
    } catch (const std::system_error&) {
      return false;
    }
  }
  ++busy_threads_;
  tasks_.push_back(std::move(task));
  task_or_stop_.notify_one();
  return true;
}

bool thread_pool::TryRun(std::function<void()> task) {
  std::lock_guard lock(mutex_);
  return !stopped_ && HasFreeThread() && StartTask(std::move(task));
}

bool thread_pool::Run(std::function<void()> task) {
  std::unique_lock lock(mutex_);
  free_thread_or_stop_.wait(lock, [this] { return stopped_ || HasFreeThread(); });
  return !stopped_ && StartTask(std::move(task));
}

void thread_pool::RunTasks() {
  std::unique_lock lock(mutex_);
  while (true) {
    task_or_stop_.wait(lock, [this] { return stopped_ || !tasks_.empty(); });
    if (tasks_.empty()) {
      return;
    }
    std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
    --busy_threads_;
    free_thread_or_stop_.notify_one();
  }
}

void thread_pool::Stop() {
  std::vector<std::thread> threads;
  {
    std::lock_guard lock(mutex_);
    stopped_ = true;
    threads.swap(threads_);
  }
  task_or_stop_.notify_all();
  free_thread_or_stop_.notify_all();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

std::size_t thread_pool::RunningTaskCount() const {
  std::lock_guard lock(mutex_);
  return busy_threads_;
}

}  // namespace tarragon::net

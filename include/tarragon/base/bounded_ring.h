#ifndef TARRAGON_BASE_BOUNDED_RING_H_
#define TARRAGON_BASE_BOUNDED_RING_H_

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include "tarragon/base/clock.h"

namespace tarragon {

/**
 * Bounded queue between threads, for any number of producers and consumers. After `Close`, pushes
 * fail, and pops return the remaining items and then empty.
 */
template <typename T>
class bounded_ring final {
 public:
  /** @param capacity maximum number of items; must be positive. */
  explicit bounded_ring(std::size_t capacity) : items_(capacity) {}

  /** @return false, with `item` unmoved, if the ring is full or closed. */
  bool TryPush(T&& item) {
    {
      std::lock_guard lock(mutex_);
      if (closed_ || items_.full()) {
        return false;
      }
      items_.push_back(std::move(item));
    }
    not_empty_.notify_one();
    return true;
  }

  /** Waits for free capacity. @return false, with `item` unmoved, if the ring is closed. */
  bool Push(T&& item) {
    {
      std::unique_lock lock(mutex_);
      not_full_.wait(lock, [this] { return closed_ || !items_.full(); });
      if (closed_) {
        return false;
      }
      items_.push_back(std::move(item));
    }
    not_empty_.notify_one();
    return true;
  }

  /** @param wait longest time to wait. @return the oldest item; empty if the wait times out or the
   * ring is closed and empty. */
  std::optional<T> Pop(duration wait) {
    std::optional<T> item;
    {
      std::unique_lock lock(mutex_);
      not_empty_.wait_for(lock, wait, [this] { return closed_ || !items_.empty(); });
      if (items_.empty()) {
        return std::nullopt;
      }
      item.emplace(std::move(items_.front()));
      items_.pop_front();
    }
    not_full_.notify_one();
    return item;
  }

  /** Wakes all waiting threads; later pushes fail. */
  void Close() {
    {
      std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
    not_full_.notify_all();
  }

  bool IsClosed() const {
    std::lock_guard lock(mutex_);
    return closed_;
  }

  std::size_t Size() const {
    std::lock_guard lock(mutex_);
    return items_.size();
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  boost::circular_buffer<T> items_;
  bool closed_ = false;
};

}  // namespace tarragon

#endif  // TARRAGON_BASE_BOUNDED_RING_H_

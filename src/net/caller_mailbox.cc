#include "tarragon/net/caller_mailbox.h"

#include <utility>

namespace tarragon::net {

namespace {

std::size_t Bytes(const caller_message& message) {
  std::size_t bytes = sizeof(caller_message);
  if (const auto* token = std::get_if<decision::deliver_token>(&message)) {
    bytes += token->text.size();
  } else if (const auto* response = std::get_if<decision::deliver_response>(&message)) {
    bytes += response->body.size();
  }
  return bytes;
}

}  // namespace

bool caller_mailbox::TryPush(caller_message&& message) {
  const std::size_t bytes = Bytes(message);
  bool pushed = false;
  {
    std::lock_guard lock(mutex_);
    if (closed_) {
      return false;
    }
    // An empty mailbox takes a message of any size, such as the body of a service answer.
    pushed = entries_.empty() || bytes_ + bytes <= max_bytes_;
    if (pushed) {
      entries_.push_back({std::move(message), bytes});
      bytes_ += bytes;
    } else {
      closed_ = true;
      entries_.clear();
      bytes_ = 0;
    }
  }
  changed_.notify_one();
  return pushed;
}

std::optional<caller_message> caller_mailbox::Pop(duration wait) {
  std::unique_lock lock(mutex_);
  // A timed wait goes to the kernel even for no time at all, and the timer slack of 50 us makes
  // that a sleep. The caller's thread looks for more text this way before each write.
  if (wait > duration::zero()) {
    changed_.wait_for(lock, wait, [this] { return closed_ || !entries_.empty(); });
  }
  if (entries_.empty()) {
    return std::nullopt;
  }
  std::optional<caller_message> message(std::move(entries_.front().message));
  bytes_ -= entries_.front().bytes;
  entries_.pop_front();
  return message;
}

void caller_mailbox::Close() {
  {
    std::lock_guard lock(mutex_);
    closed_ = true;
    entries_.clear();
    bytes_ = 0;
  }
  changed_.notify_all();
}

bool caller_mailbox::IsClosed() const {
  std::lock_guard lock(mutex_);
  return closed_;
}

}  // namespace tarragon::net

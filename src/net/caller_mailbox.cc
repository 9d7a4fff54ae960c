#include "tarragon/net/caller_mailbox.h"

#include <utility>

namespace tarragon::net {

namespace {

std::size_t MessageBytes(const caller_message& message) {
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
  const std::size_t bytes = MessageBytes(message);
  bool pushed = false;
  {
    std::lock_guard lock(mutex_);
    if (closed_) {
      return false;
    }
    // An empty mailbox accepts a message of any size, such as a large service response.
    pushed = messages_.empty() || queued_bytes_ + bytes <= max_bytes_;
    if (pushed) {
      messages_.push_back({std::move(message), bytes});
      queued_bytes_ += bytes;
    } else {
      closed_ = true;
      messages_.clear();
      queued_bytes_ = 0;
    }
  }
  closed_or_not_empty_.notify_one();
  return pushed;
}

std::optional<caller_message> caller_mailbox::Pop(duration timeout) {
  std::unique_lock lock(mutex_);
  // A timed wait of zero still enters the kernel, whose timer slack of 50 us makes it sleep. The
  // thread that serves the caller polls without waiting before each write.
  if (timeout > duration::zero()) {
    closed_or_not_empty_.wait_for(lock, timeout, [this] { return closed_ || !messages_.empty(); });
  }
  if (messages_.empty()) {
    return std::nullopt;
  }
  std::optional<caller_message> message(std::move(messages_.front().message));
  queued_bytes_ -= messages_.front().bytes;
  messages_.pop_front();
  return message;
}

void caller_mailbox::Close() {
  {
    std::lock_guard lock(mutex_);
    closed_ = true;
    messages_.clear();
    queued_bytes_ = 0;
  }
  closed_or_not_empty_.notify_all();
}

bool caller_mailbox::IsClosed() const {
  std::lock_guard lock(mutex_);
  return closed_;
}

}  // namespace tarragon::net

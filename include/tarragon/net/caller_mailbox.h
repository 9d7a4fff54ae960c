#ifndef TARRAGON_NET_CALLER_MAILBOX_H_
#define TARRAGON_NET_CALLER_MAILBOX_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

#include "tarragon/base/clock.h"
#include "tarragon/decision/action.h"

namespace tarragon::net {

/** Message from the core thread to the thread that serves a caller. */
using caller_message = std::variant<decision::start_stream,
                                    decision::deliver_token,
                                    decision::restart_stream,
                                    decision::deliver_response,
                                    decision::finish_request>;

/**
 * Queue from the core thread to the thread that serves one caller. The limit is in bytes and not in
 * messages, because a class with the loss policy `kHold` delivers all tokens in one burst.
 */
class caller_mailbox final {
 public:
  /** @param max_bytes limit on the queued text plus a fixed cost per message. */
  explicit caller_mailbox(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /**
   * Does not block. A message that exceeds the limit closes the mailbox, because the caller has
   * stopped reading.
   * @return false if the mailbox is closed.
   */
  bool TryPush(caller_message&& message);

  /** @return the oldest message, or empty after `timeout` or when the mailbox is closed. */
  std::optional<caller_message> Pop(duration timeout);

  /** Drops all messages; later pushes fail and pops return empty. */
  void Close();

  bool IsClosed() const;

 private:
  struct queued_message {
    caller_message message;
    std::size_t bytes;
  };

  const std::size_t max_bytes_;
  mutable std::mutex mutex_;
  std::condition_variable closed_or_not_empty_;
  std::deque<queued_message> messages_;
  std::size_t queued_bytes_ = 0;
  bool closed_ = false;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_CALLER_MAILBOX_H_

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

/** What the core thread tells the thread that serves a caller. */
using caller_message = std::variant<decision::start_stream,
                                    decision::deliver_token,
                                    decision::restart_stream,
                                    decision::deliver_response,
                                    decision::finish_request>;

/**
 * Queue from the core thread to one caller's thread. Bounded by bytes and not by count, because an
 * answer of a held class arrives as one burst of all its tokens.
 */
class caller_mailbox final {
 public:
  /** @param max_bytes bound on the text waiting plus a fixed cost per message. */
  explicit caller_mailbox(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /**
   * Never waits. A message that does not fit closes the mailbox: the caller has stopped reading.
   * @return false if the mailbox is closed.
   */
  bool TryPush(caller_message&& message);

  /** @return the oldest message, or empty after `wait` or when the mailbox is closed. */
  std::optional<caller_message> Pop(duration wait);

  /** Drops all messages; later pushes fail and pops return empty. */
  void Close();

  bool IsClosed() const;

 private:
  struct entry {
    caller_message message;
    std::size_t bytes;
  };

  const std::size_t max_bytes_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<entry> entries_;
  std::size_t bytes_ = 0;
  bool closed_ = false;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_CALLER_MAILBOX_H_

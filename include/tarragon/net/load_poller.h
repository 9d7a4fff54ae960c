#ifndef TARRAGON_NET_LOAD_POLLER_H_
#define TARRAGON_NET_LOAD_POLLER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "tarragon/base/clock.h"
#include "tarragon/decision/event.h"
#include "tarragon/document/document_replica.h"

namespace tarragon {
class metrics;
}

namespace tarragon::net {

struct load_poller_options {
  /** Bytes per second for all polls together, out of the control budget of 8 KB/s. */
  double bytes_per_second = 3000;
  /** Bytes of one poll in both directions, headers included. */
  double bytes_per_poll = 500;
  /** No endpoint is polled more often. */
  std::chrono::milliseconds min_interval{500};
  std::chrono::milliseconds timeout{500};
  /**
   * Polls that run at the same time. Frozen endpoints hold one each, for up to two timeouts; the
   * pace starts 6 polls in that time.
   */
  std::size_t max_running = 8;
};

/**
 * Thread that starts reads of the endpoints' own load reports, one endpoint after the other, at a
 * rate that keeps to a budget of bytes whatever the number of endpoints. An endpoint that does not
 * answer delays no other.
 */
class load_poller final {
 public:
  using report_sink = std::function<void(decision::load_reported&&)>;

  load_poller(load_poller_options options,
              const document::document_replica& documents,
              report_sink sink,
              const clock& time,
              metrics& counters);
  ~load_poller();

  void Start();
  void Stop();

  /** @return pause between two polls when there are `endpoints` of them. */
  static duration Pause(const load_poller_options& options, std::size_t endpoints);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_LOAD_POLLER_H_

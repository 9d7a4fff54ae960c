#ifndef TARRAGON_NET_LOAD_POLLER_H_
#define TARRAGON_NET_LOAD_POLLER_H_

#include <chrono>
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
  double bytes_per_second = 2500;
  /** Bytes of one poll in both directions, headers included. */
  double bytes_per_poll = 600;
  /** No endpoint is polled more often. */
  std::chrono::milliseconds min_interval{500};
  std::chrono::milliseconds timeout{500};
};

/**
 * Thread that reads the endpoints' own load reports, one endpoint after the other, at a rate that
 * keeps to a budget of bytes whatever the number of endpoints.
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

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
  /** Bytes per second of all polls together, part of the 8 KB/s budget for control traffic. */
  double bytes_per_second = 3000;
  /** Estimated bytes of one poll in both directions, including headers. */
  double bytes_per_poll = 500;
  /** Minimum time between two polls of the same endpoint. */
  std::chrono::milliseconds min_interval{500};
  std::chrono::milliseconds timeout{500};
  /**
   * Limit on concurrent polls. Each unresponsive endpoint occupies one for up to two timeouts, in
   * which time the poller starts 6 polls.
   */
  std::size_t max_concurrent_polls = 8;
};

/**
 * Thread that polls the load reports of endpoints in turn. The poll rate keeps to a byte budget
 * that does not depend on the number of endpoints. An unresponsive endpoint does not delay the
 * others.
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

  /** @return time between the starts of two polls for a fleet of `endpoints` endpoints. */
  static duration PollInterval(const load_poller_options& options, std::size_t endpoints);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_LOAD_POLLER_H_

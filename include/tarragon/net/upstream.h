#ifndef TARRAGON_NET_UPSTREAM_H_
#define TARRAGON_NET_UPSTREAM_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "tarragon/base/clock.h"
#include "tarragon/decision/action.h"
#include "tarragon/decision/event.h"
#include "tarragon/net/open_request.h"

namespace tarragon {
class metrics;
}

namespace tarragon::net {

struct upstream_options {
  /** Attempts that may be open at the same time; each has a thread. */
  std::size_t max_attempts = 1024;
  std::chrono::milliseconds connect_timeout{1000};
  /** A model engine sends a byte at least each second, so longer silence is a fault. */
  std::chrono::milliseconds silence_timeout{2000};
  std::chrono::milliseconds write_timeout{2000};
  /** Bound on the answer of a plain service. */
  std::size_t max_response_bytes = std::size_t{8} << 20;
};

/**
 * Connections to endpoints, a thread for each open attempt. Each attempt has a connection of its
 * own and no request is ever repeated here, so that a dead pooled connection cannot turn one send
 * into two. Everything observed is reported as an event with the verdict that it supports.
 */
class upstream final {
 public:
  /** Receives events, from any thread; may wait until the core has room. */
  using event_sink = std::function<void(decision::event&&)>;

  upstream(upstream_options options, event_sink sink, const clock& time, metrics& counters);
  /** Closes all connections and waits for their threads. */
  ~upstream();

  /**
   * Sends a request under a new attempt. None of the calls below waits for the network.
   * @param address `ip:port` of the endpoint.
   * @return false if no thread is free; nothing was sent and no event follows.
   */
  bool Send(open_request_ptr request, const decision::send_attempt& send, std::string address);

  /** Attaches to a generation. @return as `Send`. */
  bool Resume(const decision::resume_attempt& resume, std::string address);

  /** Closes the attempt's connection and asks the endpoint to stop its generation. */
  bool Cancel(const decision::cancel_attempt& cancel, std::string address);

  /** Closes the attempt's connection; no further event of it follows. */
  void Close(attempt_id attempt);

  /** Closes all connections and waits for their threads. Idempotent. */
  void Stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_UPSTREAM_H_

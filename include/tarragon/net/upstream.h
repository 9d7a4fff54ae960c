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
  /** Limit on concurrent attempts; each occupies a thread. */
  std::size_t max_attempts = 1024;
  std::chrono::milliseconds connect_timeout{1000};
  /** Read timeout of generations; engines send a byte at least each second. */
  std::chrono::milliseconds read_idle_timeout{2000};
  std::chrono::milliseconds write_timeout{2000};
  /** Limit on the response body of a plain service. */
  std::size_t max_response_bytes = std::size_t{8} << 20;
};

/**
 * Sends requests to endpoints, on one thread for each open attempt. Each attempt uses a new
 * connection and is never retried here, so a dead pooled connection cannot turn one send into two.
 * The outcome is reported as an event, with a verdict that claims no more than was observed.
 */
class upstream final {
 public:
  /** Receives events on any thread; may block while the event ring of the core is full. */
  using event_sink = std::function<void(decision::event&&)>;

  upstream(upstream_options options, event_sink sink, const clock& time, metrics& counters);
  /** Closes all connections and waits for their threads. */
  ~upstream();

  /**
   * Sends a request as a new attempt. This and the next three functions do not block on the
   * network.
   * @param address `ip:port` of the endpoint.
   * @return false if no thread is free; nothing was sent and no event follows.
   */
  bool Send(open_request_ptr request, const decision::send_attempt& send, std::string address);

  /** Resumes the stream of a generation. @return as `Send`. */
  bool Resume(const decision::resume_attempt& resume, std::string address);

  /** Closes the attempt's connection and asks the endpoint to cancel its generation. */
  bool Cancel(const decision::cancel_attempt& cancel, std::string address);

  /** Closes the attempt's connection; the attempt reports no further events. */
  void Close(attempt_id attempt);

  /** Closes all connections and waits for their threads. Idempotent. */
  void Stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_UPSTREAM_H_

#ifndef TARRAGON_NET_CORE_THREAD_H_
#define TARRAGON_NET_CORE_THREAD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

#include "tarragon/base/clock.h"
#include "tarragon/decision/action.h"
#include "tarragon/decision/engine_options.h"
#include "tarragon/decision/event.h"
#include "tarragon/net/open_request.h"
#include "tarragon/net/upstream.h"

namespace tarragon {
class metrics;
}

namespace tarragon::net {

using claim_action =
    std::variant<decision::write_claim, decision::complete_claim, decision::release_claim>;

struct core_options {
  decision::engine_options engine;
  upstream_options upstream;
  /** Random seed of the engine, different in each process. */
  std::uint64_t seed = 1;
  /** Limit on queued events. A full ring blocks endpoint threads and rejects new requests. */
  std::size_t ring_capacity = 8192;
};

/**
 * The thread that owns the request engine. It takes events from a bounded ring and passes actions
 * to the mailboxes of callers and to `upstream`, without blocking on either.
 */
class core_thread final {
 public:
  /** Accepts a claim action without blocking. @return false if its queue is full. */
  using claim_sink = std::function<bool(const claim_action&)>;

  core_thread(const core_options& options,
              claim_sink submit_claim,
              const clock& time,
              metrics& counters);
  ~core_thread();

  void Start();
  /** Stops the thread and closes all connections to endpoints. Idempotent. */
  void Stop();

  /**
   * Queues a new or returning request without blocking.
   * @return false if the ring is full; the request does not reach the engine.
   */
  bool TryOpen(open_request_ptr request, decision::event arrival);

  /** Queues an event and blocks while the ring is full. @return false after `Stop`. */
  bool Post(decision::event event);

  /** @return number of requests that the engine has not finished. */
  std::size_t OpenRequests() const;

  /** @return the state that this entry sends to its peers, at most 250 ms old. */
  decision::peer_state LocalState() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_CORE_THREAD_H_

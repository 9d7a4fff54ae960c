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
  /** Seed of the engine; another one in each process. */
  std::uint64_t seed = 1;
  /** Events that may wait; a full ring makes endpoints' threads wait and refuses new requests. */
  std::size_t ring_capacity = 8192;
};

/**
 * The thread that owns the request engine. Events come in through a bounded ring, actions go out to
 * the callers' mailboxes and to `upstream`; the thread never waits for either.
 */
class core_thread final {
 public:
  /** Takes a claim action without waiting. @return false if it cannot be taken now. */
  using claim_sink = std::function<bool(const claim_action&)>;

  core_thread(core_options options, claim_sink claims, const clock& time, metrics& counters);
  ~core_thread();

  void Start();
  /** Closes all connections to endpoints and ends the thread. Idempotent. */
  void Stop();

  /**
   * Hands over a new or returning request without waiting.
   * @return false if the ring is full; the engine never sees the request.
   */
  bool TryOpen(open_request_ptr request, decision::event arrival);

  /** Waits for room. @return false after `Stop`. */
  bool Post(decision::event what);

  /** @return number of requests that the engine has not finished. */
  std::size_t OpenRequests() const;

  /** @return this entry's counts for the other VMs, at most 250 ms old. */
  decision::peer_state LocalState() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_CORE_THREAD_H_

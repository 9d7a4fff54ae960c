#ifndef TARRAGON_DECISION_REQUEST_ENGINE_H_
#define TARRAGON_DECISION_REQUEST_ENGINE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/decision/action.h"
#include "tarragon/decision/event.h"

namespace tarragon {
class metrics;
}

namespace tarragon::decision {

struct engine_options;

/**
 * Decides for all requests of one entry: admission, routing, retries, resumption, verdicts. Has no
 * thread, clock, socket or random device of its own; the same events, times and seed give the same
 * actions. Used by one thread.
 */
class request_engine final {
 public:
  /**
   * @param options tunable limits and the choice of policies.
   * @param seed seed of the random generator; also makes generation ids unique, so each process
   *     must use another one.
   * @param counters receives the engine's metrics; must outlive the engine.
   */
  request_engine(engine_options options, std::uint64_t seed, metrics& counters);
  ~request_engine();

  /**
   * Handles one event.
   * @param now monotonic time; must not go backwards between calls.
   * @param actions receives what the caller has to do, in order.
   */
  void Handle(time_point now, const event& what, std::vector<action>& actions);

  /** @return this entry's counts for the other VMs. */
  peer_state LocalState(time_point now) const;

  /** @return number of requests that have not finished. */
  std::size_t OpenRequests() const;

  /** Checks every invariant that spans requests; aborts the process if one is broken. */
  void Validate() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_REQUEST_ENGINE_H_

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
 * Makes all decisions on the requests of one entry: admission, routing, retries, resumption and run
 * verdicts. The engine is deterministic: it has no thread, clock, socket or random device, and the
 * same events, times and seed give the same actions. Not thread-safe.
 */
class request_engine final {
 public:
  /**
   * @param options limits and policy choices.
   * @param seed seed of the random generator. Generation ids derive from it, so each process must
   *     use a different seed.
   * @param counters receives the engine's metrics; must outlive the engine.
   */
  request_engine(engine_options options, std::uint64_t seed, metrics& counters);
  ~request_engine();

  /**
   * Handles one event.
   * @param now monotonic time; must not go backwards between calls.
   * @param input the event.
   * @param actions receives the actions to perform, appended in order.
   */
  void HandleEvent(time_point now, const event& input, std::vector<action>& actions);

  /** @return the state of this entry to send to the other VMs by gossip. */
  peer_state LocalState(time_point now) const;

  /** @return the number of unfinished requests. */
  std::size_t OpenRequestCount() const;

  /** Checks the invariants over all tables; aborts the process if one is violated. */
  void Validate() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_REQUEST_ENGINE_H_

#ifndef TARRAGON_DECISION_WORLD_ENDPOINT_FAKE_H_
#define TARRAGON_DECISION_WORLD_ENDPOINT_FAKE_H_

#include <cstdint>
#include <map>
#include <optional>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"

namespace tarragon::decision {

/** State of one simulated endpoint; `fake_world` changes it. */
struct endpoint_fake {
  struct generation_state {
    request_id request;
    std::uint64_t caller = 0;
    std::uint32_t produced = 0;
    std::uint32_t total = 0;
    bool cancelled = false;
    bool done() const { return cancelled || produced == total; }
  };

  endpoint_name name;
  bool plain = false;
  bool alive = true;
  /** Incremented at each crash, so that tasks scheduled by an earlier incarnation are dropped. */
  std::uint64_t incarnation = 0;
  time_point frozen_until;
  time_point unreachable_until;
  time_point declines_until;
  time_point slow_until;
  std::optional<time_point> leaving_since;
  /** The operating document does not list the endpoint. */
  bool removed = false;
  std::map<generation_id, generation_state> generations;

  std::uint32_t RunningCount() const {
    std::uint32_t running = 0;
    for (const auto& [id, state] : generations) {
      running += state.done() ? 0 : 1;
    }
    return running;
  }
};

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_WORLD_ENDPOINT_FAKE_H_

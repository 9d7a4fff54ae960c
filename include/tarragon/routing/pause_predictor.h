#ifndef TARRAGON_ROUTING_PAUSE_PREDICTOR_H_
#define TARRAGON_ROUTING_PAUSE_PREDICTOR_H_

#include <optional>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/endpoint_registry.h"

namespace tarragon::routing {

/**
 * Predicts the longest pause between two events of a long stream. At engines of one service all
 * intervals are proportional to the engine's slowness, so that an engine whose pace is not settled
 * yet is judged by its slowness and the paces of the others.
 */
class pause_predictor final {
 public:
  /** @param engines of one service; must not change during the predictor's life. */
  explicit pause_predictor(const std::vector<endpoint_ptr>& engines);

  /** @return the longest pause to expect; empty if neither pace nor slowness is known. */
  std::optional<duration> LongestPause(const endpoint& engine) const;

  /**
   * Longest interval between events over the pace: a prompt is read beside (8 ms on a step of 7 ms)
   * in a slow moment of the machine (2.5 times as long), by the users' site files.
   */
  static constexpr double kWorstIntervalFactor = 5.36;

 private:
  /** Pace of an engine of slowness 1; empty if no engine has both. */
  std::optional<duration> unit_pace_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_PAUSE_PREDICTOR_H_

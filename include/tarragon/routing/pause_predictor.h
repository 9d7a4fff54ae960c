#ifndef TARRAGON_ROUTING_PAUSE_PREDICTOR_H_
#define TARRAGON_ROUTING_PAUSE_PREDICTOR_H_

#include <optional>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/endpoint_registry.h"

namespace tarragon::routing {

/**
 * Predicts the longest pause between two events of a long stream. The event intervals of a
 * service's engines are proportional to their slowness. An engine with too few samples is therefore
 * predicted from its slowness and the intervals of the other engines.
 */
class pause_predictor final {
 public:
  /** @param engines all engines of one service; must not change during the predictor's life. */
  explicit pause_predictor(const std::vector<endpoint_ptr>& engines);

  /** @return the longest expected pause; empty if neither interval nor slowness is known. */
  std::optional<duration> PredictLongestPause(const endpoint& engine) const;

  /**
   * Ratio of the longest interval to the base interval, from the users' site files: a concurrent
   * prefill adds 8 ms to a decode step of 7 ms while the machine is slower by a factor of 2.5.
   */
  static constexpr double kWorstCaseIntervalFactor = 5.36;

 private:
  /** Base interval of an engine of slowness 1; empty if no engine has both values. */
  std::optional<duration> unit_interval_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_PAUSE_PREDICTOR_H_

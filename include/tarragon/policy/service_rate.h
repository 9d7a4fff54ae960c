#ifndef TARRAGON_POLICY_SERVICE_RATE_H_
#define TARRAGON_POLICY_SERVICE_RATE_H_

#include <optional>

#include "tarragon/base/clock.h"

namespace tarragon::policy {

/** Rate at which work leaves a queue, averaged over the last seconds in which some was waiting. */
class service_rate final {
 public:
  /** @param passed time during which work was waiting. */
  void RecordBusy(duration passed);

  /** @param cost of work that left after it had waited. */
  void RecordServed(double cost);

  /** Nothing waits any more, so the time without a departure starts again. */
  void RecordIdle();

  /**
   * @param mean_cost of the waiting work; positive.
   * @return cost per second; empty if too little time was observed.
   */
  std::optional<double> Estimate(double mean_cost) const;

 private:
  using seconds = std::chrono::duration<double>;

  /** Decayed cost served and time spent while work was waiting. */
  double served_cost_ = 0;
  seconds busy_{0};
  /** Time with waiting work since the last departure. */
  seconds stalled_{0};
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_SERVICE_RATE_H_

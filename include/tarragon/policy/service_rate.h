#ifndef TARRAGON_POLICY_SERVICE_RATE_H_
#define TARRAGON_POLICY_SERVICE_RATE_H_

#include <optional>

#include "tarragon/base/clock.h"

namespace tarragon::policy {

/**
 * Rate at which requests leave a queue, as an exponential average with a time constant of 2 s. Only
 * time during which requests were waiting counts.
 */
class service_rate final {
 public:
  /** @param elapsed time during which requests were waiting. */
  void RecordBusyTime(duration elapsed);

  /** @param cost of a request that left the queue after waiting. */
  void RecordDeparture(double cost);

  /** The queue became empty: restarts the time since the last departure. */
  void RecordIdle();

  /**
   * @param mean_cost mean cost of the waiting requests; positive.
   * @return cost per second; empty if requests waited for too short a time to tell.
   */
  std::optional<double> Estimate(double mean_cost) const;

 private:
  using seconds = std::chrono::duration<double>;

  /** Exponentially decayed sums of the served cost and of the time with waiting requests. */
  double served_cost_ = 0;
  seconds busy_time_{0};
  /** Time with waiting requests since the last departure. */
  seconds time_since_departure_{0};
};

}  // namespace tarragon::policy

#endif  // TARRAGON_POLICY_SERVICE_RATE_H_

#include "tarragon/policy/service_rate.h"

#include <algorithm>
#include <cmath>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

// Time constant of the average: the estimate follows a change of demand or a slowdown of the fleet
// in about this time.
constexpr std::chrono::duration<double> kAveragingTime{2.0};
constexpr std::chrono::duration<double> kMinBusyTime{0.05};

}  // namespace

void service_rate::RecordBusyTime(duration elapsed) {
  const double decay = std::exp(-seconds(elapsed) / kAveragingTime);
  busy_time_ = busy_time_ * decay + elapsed;
  served_cost_ *= decay;
  time_since_departure_ += elapsed;
}

void service_rate::RecordDeparture(double cost) {
  served_cost_ += cost;
  time_since_departure_ = seconds::zero();
}

void service_rate::RecordIdle() {
  time_since_departure_ = seconds::zero();
}

std::optional<double> service_rate::Estimate(double mean_cost) const {
  TARRAGON_INVARIANT(mean_cost > 0, "the mean cost of waiting requests must be positive");
  if (busy_time_ < kMinBusyTime) {
    return std::nullopt;
  }
  if (served_cost_ >= mean_cost) {
    return served_cost_ / busy_time_.count();
  }
  // Long requests may leave less often than once per averaging time. A time without a departure
  // then only shows that less than one request left in it, not that the rate is zero.
  return mean_cost / std::max(time_since_departure_, busy_time_).count();
}

}  // namespace tarragon::policy

#include "tarragon/policy/service_rate.h"

#include <algorithm>
#include <cmath>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

// Time over which the rate is averaged: a swing of demand or a slowed fleet shows in about this
// time.
constexpr std::chrono::duration<double> kRateTime{2.0};
constexpr std::chrono::duration<double> kMinBusy{0.05};

}  // namespace

void service_rate::RecordBusy(duration passed) {
  const double kept = std::exp(-seconds(passed) / kRateTime);
  busy_ = busy_ * kept + passed;
  served_cost_ *= kept;
  stalled_ += passed;
}

void service_rate::RecordServed(double cost) {
  served_cost_ += cost;
  stalled_ = seconds::zero();
}

void service_rate::RecordIdle() {
  stalled_ = seconds::zero();
}

std::optional<double> service_rate::Estimate(double mean_cost) const {
  TARRAGON_INVARIANT(mean_cost > 0, "waiting work has a cost");
  if (busy_ < kMinBusy) {
    return std::nullopt;
  }
  if (served_cost_ >= mean_cost) {
    return served_cost_ / busy_.count();
  }
  // Long work leaves less often than the average reaches back. A pause of some length then says
  // only that less than one piece left in it, not that nothing will leave.
  return mean_cost / std::max(stalled_, busy_).count();
}

}  // namespace tarragon::policy

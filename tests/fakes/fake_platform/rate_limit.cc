#include "fakes/fake_platform/rate_limit.h"

#include <algorithm>
#include <chrono>

namespace tarragon::fakes {

rate_limit::rate_limit(double per_second)
    : per_second_(per_second), capacity_(std::max(1.0, per_second)), available_(capacity_) {}

bool rate_limit::Take(double tokens, time_point now) {
  if (per_second_ <= 0) {
    return true;
  }
  std::lock_guard lock(mutex_);
  const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
  available_ = std::min(capacity_, available_ + std::max(0.0, elapsed) * per_second_);
  refilled_at_ = std::max(refilled_at_, now);
  const double taken = std::min(tokens, capacity_);
  if (available_ < taken) {
    return false;
  }
  available_ -= taken;
  return true;
}

}  // namespace tarragon::fakes

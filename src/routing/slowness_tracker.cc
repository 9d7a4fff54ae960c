#include "tarragon/routing/slowness_tracker.h"

#include <algorithm>

namespace tarragon::routing {

namespace {

std::optional<double> LeastOf(std::optional<double> a, std::optional<double> b) {
  return a && b ? std::min(*a, *b) : (a ? a : b);
}

}  // namespace

void slowness_tracker::Record(time_point now, double slowness) {
  if (!(slowness > 0)) {
    return;
  }
  last_ = slowness;
  last_at_ = now;
  if (!window_least_ || now - window_start_ >= kWindow) {
    previous_least_ = window_least_;
    window_least_ = slowness;
    window_start_ = now;
  } else {
    window_least_ = std::min(*window_least_, slowness);
  }
}

double slowness_tracker::Current(time_point now) const {
  return last_at_ && now < *last_at_ + kMemory ? last_ : 1;
}

std::optional<double> slowness_tracker::OwnLeast() const {
  return LeastOf(window_least_, previous_least_);
}

std::optional<double> slowness_tracker::Least() const {
  return LeastOf(OwnLeast(), told_least_);
}

}  // namespace tarragon::routing

#include "tarragon/routing/slowness_tracker.h"

#include <algorithm>

namespace tarragon::routing {

namespace {

std::optional<double> MinKnown(std::optional<double> a, std::optional<double> b) {
  return a && b ? std::min(*a, *b) : (a ? a : b);
}

}  // namespace

void slowness_tracker::Record(time_point now, double slowness) {
  if (!(slowness > 0)) {
    return;
  }
  last_slowness_ = slowness;
  last_report_at_ = now;
  if (!window_minimum_ || now - window_start_ >= kWindow) {
    previous_minimum_ = window_minimum_;
    window_minimum_ = slowness;
    window_start_ = now;
  } else {
    window_minimum_ = std::min(*window_minimum_, slowness);
  }
}

double slowness_tracker::Current(time_point now) const {
  return last_report_at_ && now < *last_report_at_ + kReportLifetime ? last_slowness_ : 1;
}

std::optional<double> slowness_tracker::OwnMinimum() const {
  return MinKnown(window_minimum_, previous_minimum_);
}

std::optional<double> slowness_tracker::Minimum() const {
  return MinKnown(OwnMinimum(), peer_minimum_);
}

}  // namespace tarragon::routing

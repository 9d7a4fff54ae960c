#include "tarragon/burn/event_history.h"

#include <algorithm>

namespace tarragon::burn {

event_counts& event_counts::operator+=(const event_counts& other) {
  good += other.good;
  total += other.total;
  return *this;
}

void event_history::Add(wall_time_point at,
                        event_counts counters,
                        std::optional<wall_time_point> reset_time) {
  if (points_.empty()) {
    if (reset_time && *reset_time < at) {
      points_.push_back({*reset_time, {}});
      points_.push_back({at, counters});
    } else {
      points_.push_back({at, {}});
    }
    last_counters_ = counters;
    return;
  }
  if (at <= points_.back().at) {
    return;
  }
  event_counts sum = points_.back().sum;
  if (reset_time && *reset_time > points_.back().at && *reset_time < at) {
    points_.push_back({*reset_time, sum});
  }
  const event_counts increase = reset_time ? counters : counters - last_counters_;
  // Clamped, so that damaged readings cause neither negative counts nor more good events than
  // total events.
  const double total = std::max(increase.total, 0.0);
  sum += event_counts{std::clamp(increase.good, 0.0, total), total};
  points_.push_back({at, sum});
  last_counters_ = counters;
}

event_counts event_history::SumAt(wall_time_point at) const {
  const auto next = std::ranges::upper_bound(points_, at, {}, &point::at);
  if (next == points_.begin()) {
    return {};
  }
  const point& before = *std::prev(next);
  if (next == points_.end()) {
    return before.sum;
  }
  const std::chrono::duration<double> elapsed = at - before.at;
  const std::chrono::duration<double> interval = next->at - before.at;
  const double share = elapsed / interval;
  const event_counts increase = next->sum - before.sum;
  return {before.sum.good + increase.good * share, before.sum.total + increase.total * share};
}

event_counts event_history::Between(wall_time_point from, wall_time_point to) const {
  return SumAt(to) - SumAt(from);
}

}  // namespace tarragon::burn

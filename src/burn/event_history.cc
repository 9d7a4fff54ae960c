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
                        std::optional<wall_time_point> zero_at) {
  if (points_.empty()) {
    if (zero_at && *zero_at < at) {
      points_.push_back({*zero_at, {}});
      points_.push_back({at, counters});
    } else {
      points_.push_back({at, {}});
    }
    last_ = counters;
    return;
  }
  if (at <= points_.back().at) {
    return;
  }
  event_counts sum = points_.back().sum;
  if (zero_at && *zero_at > points_.back().at && *zero_at < at) {
    points_.push_back({*zero_at, sum});
  }
  const event_counts gained = zero_at ? counters : counters - last_;
  // Clamped, so that damaged readings give no negative rate and no more good events than events.
  const double total = std::max(gained.total, 0.0);
  sum += event_counts{std::clamp(gained.good, 0.0, total), total};
  points_.push_back({at, sum});
  last_ = counters;
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
  const std::chrono::duration<double> part = at - before.at;
  const std::chrono::duration<double> whole = next->at - before.at;
  const double share = part / whole;
  const event_counts gained = next->sum - before.sum;
  return {before.sum.good + gained.good * share, before.sum.total + gained.total * share};
}

event_counts event_history::Between(wall_time_point from, wall_time_point to) const {
  return SumAt(to) - SumAt(from);
}

}  // namespace tarragon::burn

#ifndef TARRAGON_BURN_EVENT_HISTORY_H_
#define TARRAGON_BURN_EVENT_HISTORY_H_

#include <optional>
#include <vector>

#include "tarragon/base/clock.h"

namespace tarragon::burn {

/** Event counts of an objective; fractional if a window begins or ends between two scrapes. */
struct event_counts {
  double good = 0;
  double total = 0;

  double Bad() const { return total - good; }
  event_counts& operator+=(const event_counts& other);
  friend event_counts operator-(const event_counts& a, const event_counts& b) {
    return {a.good - b.good, a.total - b.total};
  }
};

/**
 * Events of one entry over time, from readings of counters that are zero when the process starts.
 * The events between two readings are spread evenly over the time between the readings, so that the
 * counts of adjacent windows add up, whichever scrapes are missing.
 */
class event_history final {
 public:
  /**
   * Adds a reading. A reading that is not later than the previous one is ignored.
   * @param reset_time when the counters were zero; empty if they continue from the previous
   *   reading, or, for the first reading, if the history excludes the events before it.
   */
  void Add(wall_time_point at, event_counts counters, std::optional<wall_time_point> reset_time);

  /** @return events after `from` and up to `to`. */
  event_counts Between(wall_time_point from, wall_time_point to) const;

 private:
  struct point {
    wall_time_point at;
    event_counts sum;
  };

  event_counts SumAt(wall_time_point at) const;

  /** Cumulative counts since the first point, in ascending order of time. */
  std::vector<point> points_;
  event_counts last_counters_;
};

}  // namespace tarragon::burn

#endif  // TARRAGON_BURN_EVENT_HISTORY_H_

#ifndef TARRAGON_BURN_EVENT_HISTORY_H_
#define TARRAGON_BURN_EVENT_HISTORY_H_

#include <optional>
#include <vector>

#include "tarragon/base/clock.h"

namespace tarragon::burn {

/** Events of an objective. Fractions come from scrapes that a window cuts in two. */
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
 * Events of one entry over time, from readings of counters that restart at zero with the process.
 * The events between two readings are spread evenly over the time between them, so that the counts
 * of adjoining windows add up, whichever scrapes are missing.
 */
class event_history final {
 public:
  /**
   * Adds a reading. A reading that is not later than the one before is ignored.
   * @param zero_at when the counters were zero; empty if they count on from the reading before,
   *   or, for the first reading, if the events before it are not part of the history.
   */
  void Add(wall_time_point at, event_counts counters, std::optional<wall_time_point> zero_at);

  /** @return events after `from` up to `to`. */
  event_counts Between(wall_time_point from, wall_time_point to) const;

 private:
  struct point {
    wall_time_point at;
    event_counts sum;
  };

  event_counts SumAt(wall_time_point at) const;

  /** Sums since the first point, in rising order of time. */
  std::vector<point> points_;
  event_counts last_;
};

}  // namespace tarragon::burn

#endif  // TARRAGON_BURN_EVENT_HISTORY_H_

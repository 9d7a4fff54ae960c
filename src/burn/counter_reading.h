#ifndef TARRAGON_SRC_BURN_COUNTER_READING_H_
#define TARRAGON_SRC_BURN_COUNTER_READING_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/burn/event_history.h"
#include "tarragon/burn/exposition.h"
#include "tarragon/settings/objective_settings.h"

namespace tarragon::burn {

/** Counters of one objective in one scrape. */
struct objective_reading {
  /** Event counts by request class. */
  std::map<std::string, event_counts> classes;
  /** Bucket bound that was used; 0 if no bound is at or below the threshold. */
  double counted_seconds = 0;
};

/**
 * Reads the counters of an objective. If the threshold lies between two bucket bounds, the lower
 * bound is used: events between the bounds count as bad. Without a lower bound, all events are bad.
 */
objective_reading ReadObjective(const settings::objective& objective,
                                const std::vector<metric_point>& points);

/** Relation of a scrape to the previous one. */
struct scrape_check {
  /** False if the scrape is damaged, such as by missing series; it must be treated as missing. */
  bool usable = false;
  /** Time at which the counters were zero; see `event_history::Add`. */
  std::optional<wall_time_point> reset_time = std::nullopt;
};

/** Detects restarts of one entry from its successive scrapes. */
class restart_detector final {
 public:
  /**
   * @param at time of the scrape.
   * @param history_start time of the first scrape of any entry. The events of an entry that starts
   *   later are counted from its start.
   */
  scrape_check Check(wall_time_point at,
                     wall_time_point history_start,
                     const std::vector<metric_point>& points);

  std::size_t restarts() const { return restarts_; }

 private:
  std::map<std::string, double> last_values_;
  std::optional<wall_time_point> last_start_time_;
  std::optional<wall_time_point> last_scrape_time_;
  std::size_t restarts_ = 0;
};

}  // namespace tarragon::burn

#endif  // TARRAGON_SRC_BURN_COUNTER_READING_H_

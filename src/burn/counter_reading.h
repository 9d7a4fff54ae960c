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

/** What one scrape says of one objective. */
struct objective_reading {
  /** Counters by request class. */
  std::map<std::string, event_counts> classes;
  /** Bucket bound that was used; 0 if there was none at or below the threshold. */
  double counted_seconds = 0;
};

/**
 * Reads the counters of an objective. A threshold between two bucket bounds counts at the lower
 * one, so that samples between the two are bad, and without such a bound all samples are bad.
 */
objective_reading ReadObjective(const settings::objective& objective,
                                const std::vector<metric_point>& points);

/** How a scrape follows the one before. */
struct scrape_check {
  /** False for a scrape that lost series: it has to be left out as if it were missing. */
  bool usable = false;
  /** When the counters were zero; see `event_history::Add`. */
  std::optional<wall_time_point> zero_at = std::nullopt;
};

/** Finds restarts of one entry from its successive scrapes. */
class restart_detector final {
 public:
  /**
   * @param at time of the scrape.
   * @param history_start time of the first scrape of any entry. An entry that starts later counts
   *   from its start.
   */
  scrape_check Check(wall_time_point at,
                     wall_time_point history_start,
                     const std::vector<metric_point>& points);

  std::size_t restarts() const { return restarts_; }

 private:
  std::map<std::string, double> values_;
  std::optional<wall_time_point> started_;
  std::optional<wall_time_point> last_;
  std::size_t restarts_ = 0;
};

}  // namespace tarragon::burn

#endif  // TARRAGON_SRC_BURN_COUNTER_READING_H_

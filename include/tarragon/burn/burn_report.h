#ifndef TARRAGON_BURN_BURN_REPORT_H_
#define TARRAGON_BURN_BURN_REPORT_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/burn/event_history.h"
#include "tarragon/burn/sample.h"
#include "tarragon/settings/objective_settings.h"

namespace tarragon::burn {

/** Burn rate in a window that ends at the last sample. */
struct window_burn {
  std::chrono::seconds window{0};
  event_counts events;
  /** Share of bad events divided by the error budget; empty without events. */
  std::optional<double> burn;
  /** Fraction of the window that the samples cover, from 0 to 1. */
  double covered = 0;
};

struct alert_state {
  std::string name;
  std::chrono::seconds short_window{0};
  std::chrono::seconds long_window{0};
  /** The alert fires above this burn rate. */
  double threshold = 0;
  bool firing = false;
};

struct plot_point {
  wall_time_point at;
  std::optional<double> burn;
};

/** Burn rates of one objective for one request class, over all entries. */
struct burn_row {
  std::string objective;
  /** Empty if the samples have no class for the objective. */
  std::string request_class;
  double target = 0;
  std::chrono::hours period{0};
  std::chrono::milliseconds threshold{0};
  /** Bucket bound below which events count as good; 0 for objectives without a threshold. */
  double counted_seconds = 0;
  std::vector<window_burn> windows;
  std::vector<alert_state> alerts;
  window_burn period_burn;
  /** Remaining share of the period's error budget, negative if overspent; empty without events. */
  std::optional<double> budget_left;
  /** Burn rate over time, in windows of the shortest length. */
  std::vector<plot_point> plot;

  bool IsFiring() const;
};

/** Burn rates of all objectives, from samples of any number of entries. */
struct burn_report {
  wall_time_point from;
  wall_time_point to;
  std::vector<std::string> entries;
  std::size_t samples = 0;
  std::size_t restarts = 0;
  /** Number of damaged scrapes, which are treated as missing. */
  std::size_t damaged_scrapes = 0;
  std::vector<burn_row> rows;

  /** @return empty without samples. The samples may be in any order. */
  static std::optional<burn_report> Make(const settings::objective_settings& settings,
                                         const std::vector<sample>& samples);
};

/** @return prefixes of the names of the metrics that a report needs. */
std::vector<std::string> RequiredMetricPrefixes(const settings::objective_settings& settings);

/**
 * Scales the windows to a run of length `run_duration`: the longest window is the whole run, and
 * each shorter one is half of the next longer one.
 * @return empty if the shortest window would be shorter than two scrape intervals.
 */
std::optional<settings::objective_settings> ScaleWindows(settings::objective_settings settings,
                                                         std::chrono::seconds run_duration,
                                                         std::chrono::seconds interval);

}  // namespace tarragon::burn

#endif  // TARRAGON_BURN_BURN_REPORT_H_

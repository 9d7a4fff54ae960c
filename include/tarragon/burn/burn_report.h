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

/** Burn rate in one window that ends with the last sample. */
struct window_burn {
  std::chrono::seconds window{0};
  event_counts events;
  /** Share of bad events divided by the budget; empty without events. */
  std::optional<double> burn;
  /** Part of the window that the samples cover, from 0 to 1. */
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

/** One objective for one request class, over all entries. */
struct burn_row {
  std::string objective;
  /** Empty if no class has data. */
  std::string request_class;
  double target = 0;
  std::chrono::hours period{0};
  std::chrono::milliseconds threshold{0};
  /** Bucket bound at which events were counted as good; 0 for objectives without threshold. */
  double counted_seconds = 0;
  std::vector<window_burn> windows;
  std::vector<alert_state> alerts;
  window_burn period_burn;
  /** Part of the period's budget that is left; negative if overspent; empty without events. */
  std::optional<double> budget_left;
  /** Burn rate in the shortest window, over time. */
  std::vector<plot_point> plot;

  bool IsFiring() const;
};

/** Burn of all objectives, from samples of any number of entries. */
struct burn_report {
  wall_time_point from;
  wall_time_point to;
  std::vector<std::string> entries;
  std::size_t samples = 0;
  std::size_t restarts = 0;
  /** Damaged scrapes, left out like missing ones. */
  std::size_t skipped = 0;
  std::vector<burn_row> rows;

  /** @return empty if there is no sample. Samples may be in any order. */
  static std::optional<burn_report> Make(const settings::objective_settings& settings,
                                         const std::vector<sample>& samples);
};

/** @return prefixes of the metrics that a report needs. */
std::vector<std::string> NeededMetrics(const settings::objective_settings& settings);

/**
 * Replaces the windows for a run that lasts `time`: the longest window is the run, and each shorter
 * one is half of the next.
 * @return empty if the shortest window would be under two scrape intervals.
 */
std::optional<settings::objective_settings> ShortenWindows(settings::objective_settings settings,
                                                           std::chrono::seconds time,
                                                           std::chrono::seconds interval);

}  // namespace tarragon::burn

#endif  // TARRAGON_BURN_BURN_REPORT_H_

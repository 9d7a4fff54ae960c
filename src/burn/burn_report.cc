#include "tarragon/burn/burn_report.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "burn/counter_reading.h"
#include "tarragon/base/metric_names.h"

namespace tarragon::burn {

namespace {

constexpr int kPlotPoints = 60;

/** Readings of one entry in ascending order of time. */
struct entry_readings {
  struct reading {
    wall_time_point at;
    std::optional<wall_time_point> reset_time;
    /** One reading per objective, in the order of the settings. */
    std::vector<objective_reading> objectives;
  };
  std::vector<reading> readings;
};

std::vector<const sample*> SortByTime(const std::vector<sample>& samples) {
  std::vector<const sample*> sorted;
  sorted.reserve(samples.size());
  for (const sample& scrape : samples) {
    sorted.push_back(&scrape);
  }
  std::ranges::stable_sort(sorted, {}, [](const sample* scrape) { return scrape->at; });
  return sorted;
}

/** Computes the rows of a report from the readings of all entries. */
class row_builder final {
 public:
  row_builder(const settings::objective_settings& settings,
              const burn_report& report,
              const std::map<std::string, entry_readings>& entries)
      : settings_(settings), report_(report), entries_(entries) {}

  void AddRows(std::size_t index, std::vector<burn_row>& rows) const {
    std::set<std::string> classes;
    double counted_seconds = 0;
    for (const auto& [name, entry] : entries_) {
      for (const auto& reading : entry.readings) {
        const objective_reading& objective = reading.objectives[index];
        counted_seconds = std::max(counted_seconds, objective.counted_seconds);
        for (const auto& [request_class, counts] : objective.classes) {
          classes.insert(request_class);
        }
      }
    }
    if (classes.empty()) {
      classes.insert("");
    }
    for (const std::string& request_class : classes) {
      rows.push_back(MakeRow(index, request_class));
      rows.back().counted_seconds = counted_seconds;
    }
  }

 private:
  std::vector<event_history> MakeHistories(std::size_t index,
                                           const std::string& request_class) const {
    std::vector<event_history> histories;
    for (const auto& [name, entry] : entries_) {
      event_history& history = histories.emplace_back();
      for (const auto& reading : entry.readings) {
        // The counters of a class are exposed from its first request on; until then they are zero.
        const auto& classes = reading.objectives[index].classes;
        const auto found = classes.find(request_class);
        history.Add(reading.at, found == classes.end() ? event_counts{} : found->second,
                    reading.reset_time);
      }
    }
    return histories;
  }

  window_burn ComputeBurn(const std::vector<event_history>& histories,
                          double target,
                          std::chrono::seconds window,
                          wall_time_point end) const {
    window_burn result;
    result.window = window;
    const wall_time_point from = std::max(end - window, report_.from);
    for (const event_history& history : histories) {
      result.events += history.Between(from, end);
    }
    result.covered = std::chrono::duration<double>(end - from) / window;
    if (result.events.total > 0) {
      result.burn = result.events.Bad() / result.events.total / (1 - target);
    }
    return result;
  }

  burn_row MakeRow(std::size_t index, const std::string& request_class) const {
    const settings::objective& objective = settings_.objectives[index];
    const std::vector<event_history> histories = MakeHistories(index, request_class);
    burn_row row;
    row.objective = objective.name;
    row.request_class = request_class;
    row.target = objective.target;
    row.period = objective.period;
    row.threshold = objective.threshold;
    for (const std::chrono::seconds window : settings_.windows) {
      row.windows.push_back(ComputeBurn(histories, row.target, window, report_.to));
    }
    for (const settings::burn_alert& alert : settings_.alerts) {
      const auto is_above = [&](std::chrono::seconds window) {
        return ComputeBurn(histories, row.target, window, report_.to).burn.value_or(0) > alert.burn;
      };
      row.alerts.push_back({alert.name, alert.short_window, alert.long_window, alert.burn,
                            is_above(alert.short_window) && is_above(alert.long_window)});
    }
    row.period_burn = ComputeBurn(histories, row.target, row.period, report_.to);
    if (row.period_burn.burn) {
      // At a burn rate of 1, the covered fraction of the period consumes the same fraction of the
      // budget.
      row.budget_left = 1 - *row.period_burn.burn * row.period_burn.covered;
    }
    const auto step = (report_.to - report_.from) / kPlotPoints;
    for (int i = 1; i <= kPlotPoints && step.count() > 0; ++i) {
      const wall_time_point at = report_.to - step * (kPlotPoints - i);
      row.plot.push_back(
          {at, ComputeBurn(histories, row.target, settings_.windows.front(), at).burn});
    }
    return row;
  }

  const settings::objective_settings& settings_;
  const burn_report& report_;
  const std::map<std::string, entry_readings>& entries_;
};

}  // namespace

bool burn_row::IsFiring() const {
  return std::ranges::any_of(alerts, &alert_state::firing);
}

std::optional<burn_report> burn_report::Make(const settings::objective_settings& settings,
                                             const std::vector<sample>& samples) {
  const std::vector<const sample*> sorted = SortByTime(samples);
  if (sorted.empty() || settings.windows.empty()) {
    return std::nullopt;
  }
  burn_report report;
  report.from = sorted.front()->at;
  report.to = sorted.back()->at;
  std::map<std::string, entry_readings> entries;
  std::map<std::string, restart_detector> detectors;
  for (const sample* scrape : sorted) {
    entry_readings& entry = entries[scrape->entry];
    if (!entry.readings.empty() && entry.readings.back().at == scrape->at) {
      continue;  // duplicate sample
    }
    const exposition parsed = ParseExposition(scrape->text);
    restart_detector& detector = detectors[scrape->entry];
    const scrape_check check = parsed.damaged_lines > 0
                                   ? scrape_check{}
                                   : detector.Check(scrape->at, report.from, parsed.points);
    if (!check.usable) {
      ++report.damaged_scrapes;
      continue;
    }
    ++report.samples;
    entry_readings::reading reading;
    reading.at = scrape->at;
    reading.reset_time = check.reset_time;
    for (const settings::objective& objective : settings.objectives) {
      reading.objectives.push_back(ReadObjective(objective, parsed.points));
    }
    entry.readings.push_back(std::move(reading));
  }
  for (const auto& [name, detector] : detectors) {
    report.entries.push_back(name);
    report.restarts += detector.restarts();
  }
  const row_builder builder(settings, report, entries);
  for (std::size_t i = 0; i < settings.objectives.size(); ++i) {
    builder.AddRows(i, report.rows);
  }
  return report;
}

std::vector<std::string> RequiredMetricPrefixes(const settings::objective_settings& settings) {
  std::set<std::string> names = {std::string(kOutcomesMetric), std::string(kProcessStartMetric)};
  for (const settings::objective& objective : settings.objectives) {
    if (!objective.metric.empty()) {
      names.insert(objective.metric);
    }
  }
  return {names.begin(), names.end()};
}

std::optional<settings::objective_settings> ScaleWindows(settings::objective_settings settings,
                                                         std::chrono::seconds run_duration,
                                                         std::chrono::seconds interval) {
  std::map<std::chrono::seconds, std::chrono::seconds> scaled_windows;
  std::chrono::seconds window = run_duration;
  for (auto original = settings.windows.rbegin(); original != settings.windows.rend(); ++original) {
    if (window < 2 * interval) {
      return std::nullopt;
    }
    scaled_windows[*original] = window;
    window /= 2;
  }
  for (std::chrono::seconds& scaled : settings.windows) {
    scaled = scaled_windows.at(scaled);
  }
  for (settings::burn_alert& alert : settings.alerts) {
    alert.short_window = scaled_windows.at(alert.short_window);
    alert.long_window = scaled_windows.at(alert.long_window);
  }
  return settings;
}

}  // namespace tarragon::burn

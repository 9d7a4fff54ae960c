#include "tarragon/settings/objective_settings.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <set>

#include "settings/settings_file.h"
#include "settings/settings_table.h"

namespace tarragon::settings {

namespace {

constexpr std::array<std::string_view, 6> kOutcomes = {"whole",   "late",     "failed",
                                                       "refused", "rejected", "cancelled"};
constexpr std::int64_t kMaxPeriodDays = 366;
constexpr std::int64_t kMaxWindowSeconds = kMaxPeriodDays * 24 * 3600;
constexpr double kMaxBurn = 1e6;

void ReadOutcomes(settings_table& table, std::string_view key, std::vector<std::string>& outcomes) {
  table.StringList(key, outcomes);
  const auto is_known = [](const std::string& name) { return std::ranges::count(kOutcomes, name); };
  if (outcomes.empty() || !std::ranges::all_of(outcomes, is_known)) {
    table.Fault(key, fmt::format("expected a list of {}", fmt::join(kOutcomes, ", ")));
  }
}

objective ReadObjective(settings_table& table) {
  objective read;
  table.String("name", need::kRequired, read.name);
  std::size_t kind = 0;
  table.Choice("kind", {"outcome", "latency"}, kind);
  read.kind = static_cast<objective_kind>(kind);
  if (read.kind == objective_kind::kOutcome) {
    ReadOutcomes(table, "good", read.good);
    ReadOutcomes(table, "counted", read.counted);
    const auto is_counted = [&](const std::string& name) {
      return std::ranges::count(read.counted, name) > 0;
    };
    if (!std::ranges::all_of(read.good, is_counted)) {
      table.Fault("good", "expected outcomes that are listed in counted");
    }
  } else {
    table.String("metric", need::kRequired, read.metric);
    table.Milliseconds("threshold_ms", 1, 1'000'000, read.threshold);
    if (!table.Has("threshold_ms")) {
      table.Fault("threshold_ms", "missing; expected an integer");
    }
    std::size_t request_kind = 0;
    table.Choice("request_kind", {"", "call", "generation"}, request_kind);
    read.request_kind = std::array{"", "call", "generation"}.at(request_kind);
  }
  table.StringList("classes", read.classes);
  double percent = 0;
  // At 100 the budget is zero, and no burn rate exists.
  table.Number("target_percent", need::kRequired, 0.001, 99.9999, percent);
  read.target = percent / 100;
  std::int64_t days = 30;
  table.Integer("period_days", 1, kMaxPeriodDays, days);
  read.period = std::chrono::hours(24 * days);
  table.ReportUnknownKeys();
  return read;
}

void ReadSeconds(settings_table& table, std::string_view key, std::chrono::seconds& value) {
  std::int64_t number = 0;
  table.Integer(key, 1, kMaxWindowSeconds, number);
  if (!table.Has(key)) {
    table.Fault(key, "missing; expected an integer");
  }
  value = std::chrono::seconds(number);
}

burn_alert ReadAlert(settings_table& table) {
  burn_alert alert;
  table.String("name", need::kRequired, alert.name);
  ReadSeconds(table, "short_window_s", alert.short_window);
  ReadSeconds(table, "long_window_s", alert.long_window);
  table.Number("burn", need::kRequired, 0.001, kMaxBurn, alert.burn);
  if (alert.short_window >= alert.long_window) {
    table.Fault("short_window_s", "expected less than long_window_s");
  }
  table.ReportUnknownKeys();
  return alert;
}

void ReadAll(const toml::table& root, objective_settings& settings, fault_list& faults) {
  settings_table top(&root, "", faults);
  std::set<std::string> names;
  for (const toml::table* one : top.Tables("objective")) {
    settings_table table(one, fmt::format("objective[{}]", settings.objectives.size()), faults);
    settings.objectives.push_back(ReadObjective(table));
    if (!names.insert(settings.objectives.back().name).second) {
      table.Fault("name", "expected a name that is used once");
    }
  }
  if (settings.objectives.empty()) {
    top.Fault("objective", "expected at least one [[objective]]");
  }
  std::set<std::chrono::seconds> windows;
  for (const toml::table* one : top.Tables("alert")) {
    settings_table table(one, fmt::format("alert[{}]", settings.alerts.size()), faults);
    settings.alerts.push_back(ReadAlert(table));
    windows.insert({settings.alerts.back().short_window, settings.alerts.back().long_window});
  }
  if (settings.alerts.empty()) {
    top.Fault("alert", "expected at least one [[alert]]");
  }
  settings.windows.assign(windows.begin(), windows.end());
  top.ReportUnknownKeys();
}

}  // namespace

std::optional<objective_settings> objective_settings::Make(std::string_view text,
                                                           const std::string& file,
                                                           std::vector<std::string>* errors) {
  objective_settings settings;
  const bool valid = ParseSettings(text, file, errors, [&](const auto& root, fault_list& faults) {
    ReadAll(root, settings, faults);
  });
  return valid ? std::optional(settings) : std::nullopt;
}

std::optional<objective_settings> objective_settings::Load(const std::string& file,
                                                           std::vector<std::string>* errors) {
  const std::optional<std::string> text = ReadSettingsFile(file, errors);
  return text ? Make(*text, file, errors) : std::nullopt;
}

}  // namespace tarragon::settings

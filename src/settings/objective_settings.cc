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
constexpr double kMaxBurnRate = 1e6;

void ReadOutcomes(settings_table& table, std::string_view key, std::vector<std::string>& outcomes) {
  table.StringList(key, outcomes);
  const auto is_known = [](const std::string& name) { return std::ranges::count(kOutcomes, name); };
  if (outcomes.empty() || !std::ranges::all_of(outcomes, is_known)) {
    table.ReportError(
        key, fmt::format("expected a list of one or more of {}", fmt::join(kOutcomes, ", ")));
  }
}

objective ReadObjective(settings_table& table) {
  objective result;
  table.String("name", key_presence::kRequired, result.name);
  std::size_t kind = 0;
  table.Choice("kind", {"outcome", "latency"}, kind);
  result.kind = static_cast<objective_kind>(kind);
  if (result.kind == objective_kind::kOutcome) {
    ReadOutcomes(table, "good", result.good);
    ReadOutcomes(table, "counted", result.counted);
    const auto is_counted = [&](const std::string& name) {
      return std::ranges::count(result.counted, name) > 0;
    };
    if (!std::ranges::all_of(result.good, is_counted)) {
      table.ReportError("good", "expected outcomes that are listed in counted");
    }
  } else {
    table.String("metric", key_presence::kRequired, result.metric);
    table.Milliseconds("threshold_ms", 1, 1'000'000, result.threshold);
    if (!table.Has("threshold_ms")) {
      table.ReportError("threshold_ms", "missing; expected an integer");
    }
    std::size_t request_kind = 0;
    table.Choice("request_kind", {"", "call", "generation"}, request_kind);
    result.request_kind = std::array{"", "call", "generation"}.at(request_kind);
  }
  table.StringList("classes", result.classes);
  double percent = 0;
  // At 100 percent the error budget is zero, and the burn rate is undefined.
  table.Number("target_percent", key_presence::kRequired, 0.001, 99.9999, percent);
  result.target = percent / 100;
  std::int64_t days = 30;
  table.Integer("period_days", 1, kMaxPeriodDays, days);
  result.period = std::chrono::hours(24 * days);
  table.ReportUnknownKeys();
  return result;
}

void ReadSeconds(settings_table& table, std::string_view key, std::chrono::seconds& value) {
  std::int64_t number = 0;
  table.Integer(key, 1, kMaxWindowSeconds, number);
  if (!table.Has(key)) {
    table.ReportError(key, "missing; expected an integer");
  }
  value = std::chrono::seconds(number);
}

burn_alert ReadAlert(settings_table& table) {
  burn_alert alert;
  table.String("name", key_presence::kRequired, alert.name);
  ReadSeconds(table, "short_window_s", alert.short_window);
  ReadSeconds(table, "long_window_s", alert.long_window);
  table.Number("burn", key_presence::kRequired, 0.001, kMaxBurnRate, alert.burn);
  if (alert.short_window >= alert.long_window) {
    table.ReportError("short_window_s", "expected less than long_window_s");
  }
  table.ReportUnknownKeys();
  return alert;
}

void ReadAll(const toml::table& root, objective_settings& settings, error_list& errors) {
  settings_table top(&root, "", errors);
  std::set<std::string> names;
  for (const toml::table* objective_table : top.Tables("objective")) {
    settings_table table(objective_table, fmt::format("objective[{}]", settings.objectives.size()),
                         errors);
    settings.objectives.push_back(ReadObjective(table));
    if (!names.insert(settings.objectives.back().name).second) {
      table.ReportError("name", "expected a unique name");
    }
  }
  if (settings.objectives.empty()) {
    top.ReportError("objective", "expected at least one [[objective]]");
  }
  std::set<std::chrono::seconds> windows;
  for (const toml::table* alert_table : top.Tables("alert")) {
    settings_table table(alert_table, fmt::format("alert[{}]", settings.alerts.size()), errors);
    settings.alerts.push_back(ReadAlert(table));
    windows.insert({settings.alerts.back().short_window, settings.alerts.back().long_window});
  }
  if (settings.alerts.empty()) {
    top.ReportError("alert", "expected at least one [[alert]]");
  }
  settings.windows.assign(windows.begin(), windows.end());
  top.ReportUnknownKeys();
}

}  // namespace

std::optional<objective_settings> objective_settings::Make(std::string_view text,
                                                           const std::string& file,
                                                           std::vector<std::string>* errors) {
  objective_settings settings;
  const bool valid = ParseSettings(text, file, errors, [&](const auto& root, error_list& reported) {
    ReadAll(root, settings, reported);
  });
  return valid ? std::optional(settings) : std::nullopt;
}

std::optional<objective_settings> objective_settings::Load(const std::string& file,
                                                           std::vector<std::string>* errors) {
  const std::optional<std::string> text = ReadSettingsFile(file, errors);
  return text ? Make(*text, file, errors) : std::nullopt;
}

}  // namespace tarragon::settings

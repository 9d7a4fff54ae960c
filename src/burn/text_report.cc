#include "tarragon/burn/text_report.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace tarragon::burn {

namespace {

using nlohmann::json;

// A window counts as covered from this fraction on: the last scrape of a run is slightly before
// its end.
constexpr double kMinCoverage = 0.99;

std::string FormatBurnRate(const std::optional<double>& burn) {
  return burn ? fmt::format("{:.2f}", *burn) : "-";
}

std::string FormatFiringAlerts(const burn_row& row) {
  std::string text;
  for (const alert_state& alert : row.alerts) {
    if (alert.firing) {
      text += (text.empty() ? "" : ", ") + alert.name;
    }
  }
  return text.empty() ? "-" : text;
}

json ToJson(const std::optional<double>& value) {
  return value ? json(*value) : json(nullptr);
}

json ToJson(const window_burn& window) {
  return {{"window_s", window.window.count()},
          {"good", window.events.good},
          {"total", window.events.total},
          {"burn", ToJson(window.burn)},
          {"covered", window.covered}};
}

json ToJson(const burn_row& row) {
  json windows = json::array();
  for (const window_burn& window : row.windows) {
    windows.push_back(ToJson(window));
  }
  json alerts = json::array();
  for (const alert_state& alert : row.alerts) {
    alerts.push_back({{"name", alert.name},
                      {"short_window_s", alert.short_window.count()},
                      {"long_window_s", alert.long_window.count()},
                      {"burn_above", alert.threshold},
                      {"firing", alert.firing}});
  }
  return {{"objective", row.objective},
          {"class", row.request_class},
          {"target", row.target},
          {"threshold_ms", row.threshold.count()},
          {"counted_seconds", row.counted_seconds},
          {"windows", windows},
          {"alerts", alerts},
          {"period", ToJson(row.period_burn)},
          {"budget_left", ToJson(row.budget_left)}};
}

}  // namespace

std::string FormatDuration(std::chrono::seconds span) {
  constexpr std::array<std::pair<int, char>, 3> kUnits = {{{86400, 'd'}, {3600, 'h'}, {60, 'm'}}};
  for (const auto& [seconds, unit] : kUnits) {
    if (span.count() >= seconds && span.count() % seconds == 0) {
      return fmt::format("{} {}", span.count() / seconds, unit);
    }
  }
  return fmt::format("{} s", span.count());
}

std::string FormatUtcTime(wall_time_point at) {
  return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(at)));
}

std::string RenderTable(const burn_report& report) {
  fmt::memory_buffer out;
  auto sink = std::back_inserter(out);
  fmt::format_to(sink, "{} to {}: {} samples of {} entries, {} restarts, {} damaged scrapes\n",
                 FormatUtcTime(report.from), FormatUtcTime(report.to), report.samples,
                 report.entries.size(), report.restarts, report.damaged_scrapes);
  if (report.rows.empty()) {
    return fmt::to_string(out);
  }
  std::size_t objective_width = 0;
  std::size_t class_width = 5;
  for (const burn_row& row : report.rows) {
    objective_width = std::max(objective_width, row.objective.size());
    class_width = std::max(class_width, row.request_class.size());
  }
  fmt::format_to(sink, "{:<{}}  {:<{}}  {:>8}", "objective", objective_width, "class", class_width,
                 "target");
  for (const window_burn& window : report.rows.front().windows) {
    // An asterisk marks a window that the samples cover only partly.
    fmt::format_to(sink, "  {:>7}",
                   FormatDuration(window.window) + (window.covered < kMinCoverage ? "*" : ""));
  }
  fmt::format_to(sink, "  {:>9}  {:>7}  {}\n", "events", "budget", "alerts");
  for (const burn_row& row : report.rows) {
    fmt::format_to(sink, "{:<{}}  {:<{}}  {:>7.4g}%", row.objective, objective_width,
                   row.request_class.empty() ? "-" : row.request_class, class_width,
                   row.target * 100);
    for (const window_burn& window : row.windows) {
      fmt::format_to(sink, "  {:>7}", FormatBurnRate(window.burn));
    }
    fmt::format_to(sink, "  {:>9.0f}  {:>7}  {}\n", row.period_burn.events.total,
                   row.budget_left ? fmt::format("{:.1f}%", *row.budget_left * 100) : "-",
                   FormatFiringAlerts(row));
  }
  fmt::format_to(
      sink,
      "burn rate 1 uses up exactly the error budget; *: samples cover only part of the window\n");
  return fmt::to_string(out);
}

std::string RenderJson(const burn_report& report) {
  json rows = json::array();
  for (const burn_row& row : report.rows) {
    rows.push_back(ToJson(row));
  }
  const json all = {{"from_ms", report.from.time_since_epoch().count()},
                    {"to_ms", report.to.time_since_epoch().count()},
                    {"entries", report.entries},
                    {"samples", report.samples},
                    {"restarts", report.restarts},
                    {"damaged_scrapes", report.damaged_scrapes},
                    {"rows", rows}};
  return all.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace tarragon::burn

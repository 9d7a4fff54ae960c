#include "tarragon/settings/gateway_settings.h"

#include "settings/settings_file.h"
#include "settings/settings_table.h"

namespace tarragon::settings {

namespace {

/** Reads a duration in seconds, which may have a fraction. */
void ReadSeconds(settings_table& table, std::string_view key, std::chrono::milliseconds& value) {
  constexpr double kMinSeconds = 0.1;
  constexpr double kMaxSeconds = 600;
  double seconds = std::chrono::duration<double>(value).count();
  table.Number(key, key_presence::kOptional, kMinSeconds, kMaxSeconds, seconds);
  value = std::chrono::round<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
}

/** Reads a number of things of which 0 means no limit. */
void ReadLimit(settings_table& table,
               std::string_view key,
               std::int64_t max,
               std::int64_t unit,
               std::size_t& value) {
  std::int64_t number = 0;
  table.Integer(key, 0, max, number);
  value = static_cast<std::size_t>(number * unit);
}

void ReadLimits(settings_table& limits, gateway_settings& settings) {
  constexpr std::int64_t kMegabyte = std::int64_t{1} << 20;
  ReadLimit(limits, "memory_mb", kMegabyte, kMegabyte, settings.memory_bytes);
  ReadLimit(limits, "descriptors", 10'000'000, 1, settings.descriptors);
  ReadLimit(limits, "header_lines", 1'000'000, 1, settings.header_lines);
  limits.ReportUnknownKeys();
}

void ReadAll(const toml::table& root, gateway_settings& settings, error_list& errors) {
  settings_table top(&root, "", errors);
  const auto child = [&](std::string_view key) {
    return settings_table(top.Table(key), std::string(key), errors);
  };
  settings_table vm = child("vm");
  vm.String("name", key_presence::kRequired, settings.vm_name);
  vm.String("failure_domain", key_presence::kRequired, settings.failure_domain);
  vm.ReportUnknownKeys();

  settings_table listen = child("listen");
  listen.Address("callers", key_presence::kRequired, settings.callers_address);
  listen.Address("readiness", key_presence::kRequired, settings.readiness_address);
  listen.Address("metrics", key_presence::kOptional, settings.metrics_address);
  listen.Address("peers", key_presence::kOptional, settings.peer_address);
  listen.ReportUnknownKeys();

  settings_table store = child("store");
  store.Address("address", key_presence::kRequired, settings.store_address);
  store.ReportUnknownKeys();

  settings_table start = child("start");
  start.Bool("first", settings.first_start);
  start.ReportUnknownKeys();

  settings_table shutdown = child("shutdown");
  ReadSeconds(shutdown, "grace_s", settings.grace_period);
  shutdown.ReportUnknownKeys();

  settings_table retries = child("retries");
  retries.Number("share", key_presence::kOptional, 0, 10, settings.retry_share);
  retries.Number("slack", key_presence::kOptional, 0, 1'000'000, settings.retry_slack);
  ReadSeconds(retries, "window_s", settings.retry_window);
  retries.ReportUnknownKeys();

  settings_table limits = child("limits");
  ReadLimits(limits, settings);
  top.ReportUnknownKeys();
}

}  // namespace

std::optional<gateway_settings> gateway_settings::Make(std::string_view text,
                                                       const std::string& file,
                                                       std::vector<std::string>* errors) {
  gateway_settings settings;
  const bool valid = ParseSettings(text, file, errors, [&](const auto& root, error_list& reported) {
    ReadAll(root, settings, reported);
  });
  return valid ? std::optional(settings) : std::nullopt;
}

std::optional<gateway_settings> gateway_settings::Load(const std::string& file,
                                                       std::vector<std::string>* errors) {
  const std::optional<std::string> text = ReadSettingsFile(file, errors);
  return text ? Make(*text, file, errors) : std::nullopt;
}

}  // namespace tarragon::settings

#include "tarragon/settings/control_settings.h"

#include <fmt/format.h>

#include "settings/settings_file.h"
#include "settings/settings_table.h"

namespace tarragon::settings {

namespace {

void ReadAll(const toml::table& root, control_settings& settings, error_list& errors) {
  settings_table top(&root, "", errors);
  const auto child = [&](std::string_view key) {
    return settings_table(top.Table(key), std::string(key), errors);
  };
  settings_table vm = child("vm");
  vm.String("name", key_presence::kRequired, settings.vm_name);
  vm.ReportUnknownKeys();

  settings_table listen = child("listen");
  listen.Address("health", key_presence::kRequired, settings.listen_address);
  listen.ReportUnknownKeys();

  settings_table platform = child("platform");
  platform.Address("address", key_presence::kRequired, settings.platform_address);
  platform.Milliseconds("connect_timeout_ms", 1, 60'000, settings.platform_connect_timeout);
  platform.Milliseconds("read_timeout_ms", 1, 60'000, settings.platform_read_timeout);
  platform.ReportUnknownKeys();

  settings_table lease = child("lease");
  lease.Milliseconds("term_ms", 1000, 600'000, settings.lease_term);
  lease.Milliseconds("renew_interval_ms", 100, 300'000, settings.renew_interval);
  if (settings.renew_interval * 2 > settings.lease_term) {
    lease.ReportError("renew_interval_ms", fmt::format("expected at most half of term_ms ({})",
                                                       settings.lease_term.count()));
  }
  lease.ReportUnknownKeys();

  settings_table engines = child("engines");
  engines.Milliseconds("poll_interval_ms", 100, 60'000, settings.engine_poll_interval);
  engines.Milliseconds("timeout_ms", 10, 60'000, settings.engine_timeout);
  engines.Milliseconds("load_interval_ms", 0, 600'000, settings.load_interval);
  engines.Milliseconds("load_timeout_ms", 1000, 3'600'000, settings.load_timeout);
  if (settings.engine_timeout >= settings.lease_term) {
    engines.ReportError("timeout_ms", fmt::format("expected less than lease.term_ms ({})",
                                                  settings.lease_term.count()));
  }
  engines.ReportUnknownKeys();
  top.ReportUnknownKeys();
}

}  // namespace

std::optional<control_settings> control_settings::Make(std::string_view text,
                                                       const std::string& file,
                                                       std::vector<std::string>* errors) {
  control_settings settings;
  const bool valid = ParseSettings(text, file, errors, [&](const auto& root, error_list& reported) {
    ReadAll(root, settings, reported);
  });
  return valid ? std::optional(settings) : std::nullopt;
}

std::optional<control_settings> control_settings::Load(const std::string& file,
                                                       std::vector<std::string>* errors) {
  const std::optional<std::string> text = ReadSettingsFile(file, errors);
  return text ? Make(*text, file, errors) : std::nullopt;
}

}  // namespace tarragon::settings

#include "tarragon/settings/entry_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "settings/settings_file.h"
#include "settings/settings_table.h"

namespace tarragon::settings {

namespace {

// A key shorter than the output of HMAC-SHA256 weakens the signature.
constexpr std::size_t kMinKeyBytes = 32;
constexpr std::size_t kSha256HexBytes = 64;

void ReadTickets(settings_table table, entry_settings& settings) {
  std::string key_file;
  table.String("key", key_presence::kOptional, settings.ticket_key);
  table.String("key_file", key_presence::kOptional, key_file);
  if (table.Has("key") == table.Has("key_file")) {
    table.ReportError("key", "expected exactly one of key and key_file");
  } else if (!key_file.empty()) {
    if (auto key = ReadSettingsFile(key_file, nullptr)) {
      settings.ticket_key = *std::move(key);
    } else {
      table.ReportError("key_file", fmt::format("expected a readable file, found '{}'", key_file));
    }
    while (!settings.ticket_key.empty() && settings.ticket_key.back() == '\n') {
      settings.ticket_key.pop_back();
    }
  }
  if (!settings.ticket_key.empty() && settings.ticket_key.size() < kMinKeyBytes) {
    table.ReportError(key_file.empty() ? "key" : "key_file",
                      fmt::format("expected a key of at least {} bytes", kMinKeyBytes));
  }
  table.ReportUnknownKeys();
}

void ReadTeams(const toml::table* teams, entry_settings& settings, error_list& errors) {
  if (teams == nullptr) {
    return;
  }
  settings_table reader(teams, "teams", errors);
  for (const auto& [name, node] : *teams) {
    const toml::table* team_table = reader.Table(name.str());
    if (team_table == nullptr) {
      continue;
    }
    settings_table table(team_table, reader.PathOf(name.str()), errors);
    team_settings team;
    table.String("token_sha256", key_presence::kRequired, team.token_sha256);
    const auto is_hex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    if (!team.token_sha256.empty() && (team.token_sha256.size() != kSha256HexBytes ||
                                       !std::ranges::all_of(team.token_sha256, is_hex))) {
      table.ReportError("token_sha256", "expected a SHA-256 digest in lower-case hex");
    }
    table.StringList("sections", team.sections);
    table.ReportUnknownKeys();
    settings.teams.emplace(name.str(), std::move(team));
  }
}

void ReadPolicy(settings_table table, policy_settings& policy) {
  auto selector = static_cast<std::size_t>(policy.selector);
  table.Choice("selector", {"round_robin", "least_reported_load", "two_choice"}, selector);
  policy.selector = static_cast<selector_name>(selector);
  table.Bool("fair_queue", policy.fair_queue);
  table.Bool("memory_admission", policy.memory_admission);
  table.Bool("eject_outliers", policy.eject_outliers);
  table.Bool("isolate_suspects", policy.isolate_suspects);
  table.Bool("hedge_reads", policy.hedge_reads);
  table.Bool("limit_concurrency", policy.limit_concurrency);
  table.Bool("limit_accounts", policy.limit_accounts);
  table.ReportUnknownKeys();
}

void ReadLimits(settings_table table, limit_settings& limits) {
  constexpr std::int64_t kMinute = 60'000;
  constexpr std::int64_t kDay = kMinute * 60 * 24;
  table.Integer("max_connections", 1, 16384, limits.max_connections);
  table.Integer("max_attempts", 1, 16384, limits.max_attempts);
  table.Integer("max_queued", 0, 1'000'000, limits.max_queued);
  table.Integer("max_open", 1, 1'000'000, limits.max_open);
  table.Integer("max_tokens", 1, 100'000'000, limits.max_tokens);
  table.Milliseconds("connect_timeout_ms", 1, kMinute, limits.connect_timeout);
  table.Milliseconds("request_timeout_ms", 1, 10 * kMinute, limits.request_timeout);
  table.Milliseconds("write_timeout_ms", 1, kMinute, limits.write_timeout);
  table.Milliseconds("ticket_max_age_ms", 1000, kDay, limits.ticket_max_age);
  table.Milliseconds("return_window_ms", 1, 10 * kMinute, limits.return_window);
  if (limits.max_queued > limits.max_open) {
    table.ReportError("max_queued", fmt::format("expected at most max_open ({})", limits.max_open));
  }
  if (limits.ticket_max_age < limits.return_window) {
    table.ReportError("ticket_max_age_ms", fmt::format("expected at least return_window_ms ({})",
                                                       limits.return_window.count()));
  }
  table.ReportUnknownKeys();
}

void ReadAll(const toml::table& root, entry_settings& settings, error_list& errors) {
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
  listen.Address("peer", key_presence::kOptional, settings.peer_address);
  if (!settings.peer_address.empty() && settings.peer_address == settings.callers_address &&
      !settings.peer_address.ends_with(":0")) {
    listen.ReportError("peer", "expected another port than listen.callers, since both use TCP");
  }
  listen.ReportUnknownKeys();

  settings_table platform = child("platform");
  platform.Address("address", key_presence::kOptional, settings.platform_address);
  platform.Milliseconds("connect_timeout_ms", 1, 60'000, settings.platform_connect_timeout);
  platform.Milliseconds("read_timeout_ms", 1, 60'000, settings.platform_read_timeout);
  platform.ReportUnknownKeys();

  settings_table document = child("document");
  document.String("directory", key_presence::kOptional, settings.document_directory);
  document.ReportUnknownKeys();
  if (settings.platform_address.empty() && settings.document_directory.empty() &&
      settings.peer_address.empty()) {
    platform.ReportError("address",
                         "missing; expected a source of the operating document: "
                         "platform.address, document.directory or listen.peer");
  }

  settings_table peers = child("peers");
  peers.AddressList("seeds", settings.seeds);
  if (!settings.seeds.empty() && settings.peer_address.empty()) {
    peers.ReportError("seeds", "expected listen.peer to be set as well");
  }
  peers.ReportUnknownKeys();

  ReadTickets(child("tickets"), settings);
  ReadTeams(top.Table("teams"), settings, errors);
  ReadPolicy(child("policy"), settings.policy);
  ReadLimits(child("limits"), settings.limits);
  top.ReportUnknownKeys();
}

}  // namespace

std::optional<entry_settings> entry_settings::Make(std::string_view text,
                                                   const std::string& file,
                                                   std::vector<std::string>* errors) {
  entry_settings settings;
  const bool valid = ParseSettings(text, file, errors, [&](const auto& root, error_list& reported) {
    ReadAll(root, settings, reported);
  });
  return valid ? std::optional(settings) : std::nullopt;
}

std::optional<entry_settings> entry_settings::Load(const std::string& file,
                                                   std::vector<std::string>* errors) {
  const std::optional<std::string> text = ReadSettingsFile(file, errors);
  return text ? Make(*text, file, errors) : std::nullopt;
}

}  // namespace tarragon::settings

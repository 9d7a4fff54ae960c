#ifndef TARRAGON_SETTINGS_ENTRY_SETTINGS_H_
#define TARRAGON_SETTINGS_ENTRY_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::settings {

/** A team with access to the admin interface. */
struct team_settings {
  /** SHA-256 of the team's bearer token in lower-case hex. */
  std::string token_sha256;
  /** Sections of the operating document that the team owns. */
  std::vector<std::string> sections;
};

enum class selector_name : std::uint8_t { kRoundRobin, kLeastReportedLoad, kTwoChoice };

/** Selects policies, for experiments that compare them. */
struct policy_settings {
  selector_name selector = selector_name::kTwoChoice;
  bool fair_queue = true;
  bool memory_admission = true;
  bool eject_outliers = true;
  bool isolate_suspects = true;
  bool hedge_reads = true;
  bool limit_concurrency = true;
  bool limit_accounts = true;
};

struct limit_settings {
  std::int64_t max_connections = 1024;
  std::int64_t max_attempts = 1024;
  std::int64_t max_queued = 2000;
  std::int64_t max_open = 6000;
  std::int64_t max_tokens = 1'000'000;
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds request_timeout{10000};
  std::chrono::milliseconds write_timeout{5000};
  std::chrono::milliseconds ticket_max_age{3'600'000};
  std::chrono::milliseconds return_window{15000};
};

/** Settings of one entry process. */
struct entry_settings {
  std::string vm_name;
  std::string failure_domain;
  /** `ip:port` for callers and administrators. */
  std::string callers_address;
  /** `ip:port` for the other VMs, over UDP and TCP; empty without peers. */
  std::string peer_address;
  /** `ip:port` of the platform; empty only if `document_directory` is set. */
  std::string platform_address;
  std::chrono::milliseconds platform_connect_timeout{500};
  std::chrono::milliseconds platform_read_timeout{2000};
  std::vector<std::string> seeds;
  /** Key, shared by the fleet, that signs resumption tickets. */
  std::string ticket_key;
  std::map<std::string, team_settings, std::less<>> teams;
  /** Directory of the initial `<section>.toml` files if there is no platform; may be empty. */
  std::string document_directory;
  policy_settings policy;
  limit_settings limits;

  /**
   * Parses and validates settings.
   * @param file file name for error messages.
   * @param errors receives `file:line: key: expected ...` for each error; may be null.
   * @return empty if there is any error.
   */
  static std::optional<entry_settings> Make(std::string_view text,
                                            const std::string& file,
                                            std::vector<std::string>* errors);

  /** Like `Make`, with the contents of a file. */
  static std::optional<entry_settings> Load(const std::string& file,
                                            std::vector<std::string>* errors);
};

}  // namespace tarragon::settings

#endif  // TARRAGON_SETTINGS_ENTRY_SETTINGS_H_

#ifndef TARRAGON_SETTINGS_CONTROL_SETTINGS_H_
#define TARRAGON_SETTINGS_CONTROL_SETTINGS_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::settings {

/** Settings of one control process. */
struct control_settings {
  std::string vm_name;
  /** `ip:port` for health and metrics. */
  std::string listen_address;
  /** `ip:port` of the platform. */
  std::string platform_address;
  std::chrono::milliseconds platform_connect_timeout{500};
  std::chrono::milliseconds platform_read_timeout{2000};
  /** Time that the holder of the lease may act after its last successful renewal. */
  std::chrono::milliseconds lease_term{6000};
  std::chrono::milliseconds renew_interval{2000};
  /** Time between two reads of the same engine by the holder. */
  std::chrono::milliseconds engine_poll_interval{1000};
  /** Longest wait for an engine's answer; an order is sent only if the lease lasts longer. */
  std::chrono::milliseconds engine_timeout{1000};
  /** Time between the starts of two loads, from the rate of the weight store. */
  std::chrono::milliseconds load_interval{500};
  std::chrono::milliseconds load_timeout{60000};

  /**
   * Reads settings and checks all of them.
   * @param file name used in messages.
   * @param errors receives `file:line: key: what was expected` for each fault; may be null.
   * @return empty if anything is wrong.
   */
  static std::optional<control_settings> Make(std::string_view text,
                                              const std::string& file,
                                              std::vector<std::string>* errors);

  /** As `Make`, for the contents of a file. */
  static std::optional<control_settings> Load(const std::string& file,
                                              std::vector<std::string>* errors);
};

}  // namespace tarragon::settings

#endif  // TARRAGON_SETTINGS_CONTROL_SETTINGS_H_

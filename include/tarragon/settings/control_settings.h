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
  /** `ip:port` that serves health and metrics. */
  std::string listen_address;
  /** `ip:port` of the platform. */
  std::string platform_address;
  std::chrono::milliseconds platform_connect_timeout{500};
  std::chrono::milliseconds platform_read_timeout{2000};
  /** Time for which a lease holder may act after its last successful renewal. */
  std::chrono::milliseconds lease_term{6000};
  std::chrono::milliseconds renew_interval{2000};
  /** Time between two polls of the same engine by the lease holder. */
  std::chrono::milliseconds engine_poll_interval{1000};
  /** Timeout of calls to engines; an order is sent only if the lease is valid for longer. */
  std::chrono::milliseconds engine_timeout{1000};
  /** Time between the starts of two model loads; follows from the rate of the weight store. */
  std::chrono::milliseconds load_interval{500};
  std::chrono::milliseconds load_timeout{60000};

  /**
   * Parses and validates settings.
   * @param file file name for error messages.
   * @param errors receives `file:line: key: expected ...` for each error; may be null.
   * @return empty if there is any error.
   */
  static std::optional<control_settings> Make(std::string_view text,
                                              const std::string& file,
                                              std::vector<std::string>* errors);

  /** Like `Make`, with the contents of a file. */
  static std::optional<control_settings> Load(const std::string& file,
                                              std::vector<std::string>* errors);
};

}  // namespace tarragon::settings

#endif  // TARRAGON_SETTINGS_CONTROL_SETTINGS_H_
